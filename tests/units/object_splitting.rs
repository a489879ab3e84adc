//! Splitting a byte stream into JSON objects.

use quickcheck::{Gen, QuickCheck};
use serde_json::{Value, json};
use tulipridge::net::object_splitter::{Element, NotAnObject, ObjectSplitter};

fn pieces(text: &[u8], cut: usize) -> Result<Vec<Element>, NotAnObject> {
    let (mut objects, mut buffer, mut out) = (ObjectSplitter::default(), Vec::new(), Vec::new());
    for part in text.chunks(cut.max(1)) {
        buffer.extend_from_slice(part);
        while let Some(piece) = objects.take(&mut buffer)? {
            out.push(piece);
        }
    }
    assert_eq!(objects.is_amid(), !buffer.is_empty());
    Ok(out)
}

/// Objects with any strings in them are split correctly, indented or not, with any blank lines between
/// them.
fn splits_correctly(texts: Vec<(String, bool, u8)>, cut: usize) -> bool {
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
        Element::Object(bytes) => Some(serde_json::from_slice::<Value>(bytes).expect("complete JSON")),
        Element::BlankLine => None,
    });
    got.eq(expected)
}

#[test]
fn objects_are_split_regardless_of_chunks_and_indentation() {
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(30, 71)).tests(500);
    check.quickcheck(splits_correctly as fn(Vec<(String, bool, u8)>, usize) -> bool);
}

#[test]
fn non_objects_are_rejected_and_incomplete_objects_wait() {
    for bad in ["[1]", "}", "{} x", "\"{}\"", "no"] {
        assert_eq!(pieces(bad.as_bytes(), 1), Err(NotAnObject), "{bad}");
    }
    for part in ["{\"a\":\"}", "{\"a\":{}", "{\n\n\n"] {
        assert_eq!(pieces(part.as_bytes(), 1), Ok(vec![]), "{part}");
    }
}
