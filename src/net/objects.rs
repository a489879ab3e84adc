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
    ///
    /// # Errors
    ///
    /// `NoObject` if the text can't be a list of objects.
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
    #[must_use]
    pub fn is_amid(&self) -> bool {
        self.depth > 0
    }
}
