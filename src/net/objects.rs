//! Parts a text into JSON objects as its bytes come, however it is cut, indented or broken into lines.
//!
//! It looks at each byte once, so that a long list in many pieces costs no more than its length.

/// What a text holds.
#[derive(Debug, PartialEq, Eq)]
pub enum Piece {
    /// The bytes of an object.
    Object(Vec<u8>),
    /// A line with nothing on it, outside of objects.
    Blank,
}

/// How far a text was looked through.
#[derive(Debug, Default)]
pub struct Objects {
    at: usize,
    depth: usize,
    quoted: bool,
    escaped: bool,
    /// An object ended on the line that this place is on.
    used: bool,
}

/// Something other than an object.
#[derive(Debug, PartialEq, Eq)]
pub struct NoObject;

impl Objects {
    /// Takes the next piece from the front of `text`; `None`: more has to come first.
    pub fn take(&mut self, text: &mut Vec<u8>) -> Result<Option<Piece>, NoObject> {
        while let Some(byte) = text.get(self.at).copied() {
            self.at += 1;
            if self.quoted {
                self.quoted = byte != b'"' || self.escaped;
                self.escaped = byte == b'\\' && !self.escaped;
                continue;
            }
            match byte {
                b'{' => self.depth += 1,
                b'}' if self.depth > 0 => self.depth -= 1,
                b'"' if self.depth > 0 => self.quoted = true,
                _ if self.depth > 0 => {}
                b'\n' if std::mem::take(&mut self.used) => {}
                b'\n' => {
                    text.drain(..std::mem::take(&mut self.at));
                    return Ok(Some(Piece::Blank));
                }
                b' ' | b'\t' | b'\r' => {}
                _ => return Err(NoObject),
            }
            if byte == b'}' && self.depth == 0 {
                self.used = true;
                let rest = text.split_off(std::mem::take(&mut self.at));
                let object = std::mem::replace(text, rest).trim_ascii_start().to_vec();
                return Ok(Some(Piece::Object(object)));
            }
        }
        if self.depth == 0 {
            // What lies between objects is not kept.
            text.clear();
            self.at = 0;
        }
        Ok(None)
    }

    /// An object has begun and not ended.
    pub fn is_amid(&self) -> bool {
        self.depth > 0
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::{Gen, QuickCheck};
    use serde_json::{Value, json};

    fn pieces(text: &[u8], cut: usize) -> Result<Vec<Piece>, NoObject> {
        let (mut objects, mut held, mut out) = (Objects::default(), Vec::new(), Vec::new());
        for part in text.chunks(cut.max(1)) {
            held.extend_from_slice(part);
            while let Some(piece) = objects.take(&mut held)? {
                out.push(piece);
            }
        }
        assert_eq!(objects.is_amid(), !held.is_empty());
        Ok(out)
    }

    /// Objects with any texts in them come back, indented or not, whatever stands between them.
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
            Piece::Object(bytes) => Some(serde_json::from_slice::<Value>(bytes).expect("whole")),
            Piece::Blank => None,
        });
        got.eq(expected)
    }

    #[test]
    fn objects_come_back_however_they_are_cut_and_indented() {
        let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(30, 71)).tests(500);
        check.quickcheck(comes_back as fn(Vec<(String, bool, u8)>, usize) -> bool);
    }

    #[test]
    fn what_is_no_object_is_named_and_what_is_not_whole_waits() {
        for bad in ["[1]", "}", "{} x", "\"{}\"", "no"] {
            assert_eq!(pieces(bad.as_bytes(), 1), Err(NoObject), "{bad}");
        }
        for part in ["{\"a\":\"}", "{\"a\":{}", "{\n\n\n"] {
            assert_eq!(pieces(part.as_bytes(), 1), Ok(vec![]), "{part}");
        }
    }
}
