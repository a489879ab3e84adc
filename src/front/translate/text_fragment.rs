//! Texts that arrive in fragments, which may split a character: a replica that counts UTF-16 code units may split a
//! surrogate pair, so that each half arrives as an escape of its own.

use std::fmt;

use serde::de::{Deserialize, Deserializer, Error, Visitor};

/// A fragment of a text: UTF-8, except for halves of surrogate pairs, which take three bytes each.
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
        // When asked for bytes, serde_json accepts lone surrogates.
        from.deserialize_bytes(Reader)
    }
}

/// Joins the fragments of one text.
#[derive(Clone, Debug, Default)]
pub struct FragmentJoiner {
    /// The first half of a pair whose second half has not arrived.
    half: Option<u16>,
}

impl FragmentJoiner {
    /// The text of a fragment; a half at its end waits for the next one.
    pub fn join(&mut self, fragment: TextFragment) -> String {
        let bytes = match (self.half, String::from_utf8(fragment.0)) {
            (None, Ok(text)) => return text,
            (_, Ok(text)) => text.into_bytes(),
            (_, Err(e)) => e.into_bytes(),
        };
        let mut text = String::with_capacity(bytes.len() + 3);
        let mut rest = &bytes[..];
        while !rest.is_empty() {
            if let [0xED, a @ 0xA0..=0xBF, b @ 0x80..=0xBF, after @ ..] = rest {
                let unit = 0xD000 | u16::from(a & 0x3F) << 6 | u16::from(b & 0x3F);
                self.unit(unit, &mut text);
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
                    let good = e.valid_up_to();
                    text.push_str(&String::from_utf8_lossy(&rest[..good]));
                    rest = &rest[good..];
                    if !matches!(rest, [0xED, 0xA0..=0xBF, 0x80..=0xBF, ..]) {
                        text.push(char::REPLACEMENT_CHARACTER);
                        rest = &rest[e.error_len().unwrap_or(rest.len())..];
                    }
                }
            }
        }
        text
    }

    fn unit(&mut self, unit: u16, text: &mut String) {
        match (self.half, unit) {
            (Some(first), 0xDC00..=0xDFFF) => {
                self.half = None;
                let pair = char::decode_utf16([first, unit]).next();
                text.push(pair.and_then(Result::ok).unwrap_or(char::REPLACEMENT_CHARACTER));
            }
            (_, 0xD800..=0xDBFF) => {
                self.end(text);
                self.half = Some(unit);
            }
            _ => text.push(char::REPLACEMENT_CHARACTER),
        }
    }

    /// The text ends or something else follows: a pending half is replaced.
    pub fn end(&mut self, text: &mut String) {
        if self.half.take().is_some() {
            text.push(char::REPLACEMENT_CHARACTER);
        }
    }
}
