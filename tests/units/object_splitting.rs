//! Splitting a byte stream into JSON objects.

use quickcheck::{Gen, QuickCheck};
use serde_json::{Value, json};
use tulipridge::net::object_splitter::{Element, NotAnObject, ObjectSplitter};

fn pieces(text: &[u8], cut: usize) -> Result<Vec<Element>, NotAnObject> {
    let (mut objects, mut held, mut out) = (ObjectSplitter::default(), Vec::new(), Vec::new());
    for part in text.chunks(cut.max(1)) {
        held.extend_from_slice(part);
        while let Some(piece) = objects.take(&mut held)? {
            out.push(piece);
        }
    }
    assert_eq!(objects.is_amid(), !held.is_empty());
    Ok(out)
}

/// ObjectSplitter with any texts in them come back, indented or not, whatever stands between them.
fn comes_back(texts: Vec<(String, bool, u8)>, cut: usize) -> bool {
    let (mut text, mut expected) = (String::new(), Vec::new());
    for (word, indented, blanks) in texts {
        let value = json!({"a": [{&word: word}, {}], "b": "\\\"}"});
        let form = if indented { serde_json::to_string_pretty } else { serde_json::to_string::<Value> };
        text += &form(&value).expect("text");
        text += &"\r\n".repeat(1 + usize::from(blanks % 3));
        expected.push(Some(value));
        expected.extend((0..blanks % 3).map(|_| None));
    }
    let got = pieces(text.as_bytes(), cut % 40).expect("objects");
    let got = got.iter().map(|piece| match piece {
        Element::Object(bytes) => Some(serde_json::from_slice::<Value>(bytes).expect("whole")),
        Element::BlankLine => None,
    });
    got.eq(expected)
}

#[test]
fn objects_come_back_however_they_are_cut_and_indented() {
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(30, 71)).tests(500);
    check.quickcheck(comes_back as fn(Vec<(String, bool, u8)>, usize) -> bool);
}

#[test]
fn what_is_no_object_is_named_and_what_is_incomplete_waits() {
    for bad in ["[1]", "}", "{} x", "\"{}\"", "no"] {
        assert_eq!(pieces(bad.as_bytes(), 1), Err(NotAnObject), "{bad}");
    }
    for part in ["{\"a\":\"}", "{\"a\":{}", "{\n\n\n"] {
        assert_eq!(pieces(part.as_bytes(), 1), Ok(vec![]), "{part}");
    }
}
