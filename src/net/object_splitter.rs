//! Splits a stream of bytes into JSON objects, however it is fragmented, indented or broken into lines.
//!
//! Each byte is examined once, so that the cost of a long list is linear in its length.

/// An element of the stream.
#[derive(Debug, PartialEq, Eq)]
pub enum Element {
    /// The bytes of an object.
    Object(Vec<u8>),
    /// A blank line outside of objects.
    BlankLine,
}

/// The state of the splitter.
#[derive(Debug, Default)]
pub struct ObjectSplitter {
    position: usize,
    depth: usize,
    quoted: bool,
    escaped: bool,
    /// An object ended on the current line.
    has_object: bool,
}

/// The stream contains something other than objects.
#[derive(Debug, PartialEq, Eq)]
pub struct NotAnObject;

impl ObjectSplitter {
    /// Takes the next element from the front of `text`; `None` if it is incomplete.
    ///
    /// # Errors
    ///
    /// [`NotAnObject`] if the text is not a sequence of objects.
    pub fn take(&mut self, text: &mut Vec<u8>) -> Result<Option<Element>, NotAnObject> {
        while let Some(byte) = text.get(self.position).copied() {
            self.position += 1;
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
                b'\n' if std::mem::take(&mut self.has_object) => {}
                b'\n' => {
                    text.drain(..std::mem::take(&mut self.position));
                    return Ok(Some(Element::BlankLine));
                }
                b' ' | b'\t' | b'\r' => {}
                _ => return Err(NotAnObject),
            }
            if byte == b'}' && self.depth == 0 {
                self.has_object = true;
                let rest = text.split_off(std::mem::take(&mut self.position));
                let object = std::mem::replace(text, rest).trim_ascii_start().to_vec();
                return Ok(Some(Element::Object(object)));
            }
        }
        if self.depth == 0 {
            // Discards whitespace between objects.
            text.clear();
            self.position = 0;
        }
        Ok(None)
    }

    /// Whether an object is incomplete.
    #[must_use]
    pub fn is_amid(&self) -> bool {
        self.depth > 0
    }
}
