//! Text that is received in fragments, which may split a character: a replica that counts UTF-16 code units may split a
//! surrogate pair, so that each half arrives as a separate escape.

use std::fmt;

use serde::de::{Deserialize, Deserializer, Error, Visitor};

/// A fragment of a text: UTF-8, except that unpaired surrogates are encoded in three bytes each.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TextFragment(pub Vec<u8>);

impl From<&str> for TextFragment {
    fn from(text: &str) -> TextFragment {
        TextFragment(text.as_bytes().to_vec())
    }
}

impl<'de> Deserialize<'de> for TextFragment {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        struct Reader;
        impl Visitor<'_> for Reader {
            type Value = TextFragment;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a text")
            }

            fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<TextFragment, E> {
                Ok(TextFragment(bytes.to_vec()))
            }
        }
        // serde_json accepts unpaired surrogates if it deserializes to bytes.
        from.deserialize_bytes(Reader)
    }
}

/// Joins the fragments of one text, including split surrogate pairs.
#[derive(Clone, Debug, Default)]
pub struct FragmentJoiner {
    /// A high surrogate whose low surrogate was not received yet.
    high_surrogate: Option<u16>,
}

impl FragmentJoiner {
    /// Returns the text of the next fragment. A high surrogate at the end is buffered until the next fragment. Unpaired
    /// surrogates become U+FFFD.
    pub fn join(&mut self, fragment: TextFragment) -> String {
        let bytes = match (self.high_surrogate, String::from_utf8(fragment.0)) {
            (None, Ok(text)) => return text,
            (_, Ok(text)) => text.into_bytes(),
            (_, Err(e)) => e.into_bytes(),
        };
        let mut text = String::with_capacity(bytes.len() + 3);
        let mut rest = &bytes[..];
        while !rest.is_empty() {
            if let [0xED, a @ 0xA0..=0xBF, b @ 0x80..=0xBF, after @ ..] = rest {
                let unit = 0xD000 | u16::from(a & 0x3F) << 6 | u16::from(b & 0x3F);
                self.add_code_unit(unit, &mut text);
                rest = after;
                continue;
            }
            self.end(&mut text);
            match std::str::from_utf8(rest) {
                Ok(complete) => {
                    text.push_str(complete);
                    break;
                }
                Err(e) => {
                    let valid_length = e.valid_up_to();
                    text.push_str(&String::from_utf8_lossy(&rest[..valid_length]));
                    rest = &rest[valid_length..];
                    if !matches!(rest, [0xED, 0xA0..=0xBF, 0x80..=0xBF, ..]) {
                        text.push(char::REPLACEMENT_CHARACTER);
                        rest = &rest[e.error_len().unwrap_or(rest.len())..];
                    }
                }
            }
        }
        text
    }

    fn add_code_unit(&mut self, unit: u16, text: &mut String) {
        match (self.high_surrogate, unit) {
            (Some(first), 0xDC00..=0xDFFF) => {
                self.high_surrogate = None;
                let pair = char::decode_utf16([first, unit]).next();
                text.push(pair.and_then(Result::ok).unwrap_or(char::REPLACEMENT_CHARACTER));
            }
            (_, 0xD800..=0xDBFF) => {
                self.end(text);
                self.high_surrogate = Some(unit);
            }
            _ => text.push(char::REPLACEMENT_CHARACTER),
        }
    }

    /// Ends a run of characters: appends U+FFFD in place of a buffered high surrogate.
    pub fn end(&mut self, text: &mut String) {
        if self.high_surrogate.take().is_some() {
            text.push(char::REPLACEMENT_CHARACTER);
        }
    }
}
