//! JSON objects read field by field, in one pass and without copies: what is not known is kept by its name, and
//! nothing is taken twice.

use std::borrow::Cow;
use std::fmt;
use std::marker::PhantomData;

use serde::de::{self, Deserialize, Deserializer, Visitor};
use serde_path_to_error::Segment;

/// A text that is borrowed from the body unless it holds escapes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Text<'a>(pub Cow<'a, str>);

impl<'de: 'a, 'a> Deserialize<'de> for Text<'a> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        struct Reader;
        impl<'de> Visitor<'de> for Reader {
            type Value = Text<'de>;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a text")
            }

            fn visit_borrowed_str<E>(self, text: &'de str) -> Result<Text<'de>, E> {
                Ok(Text(Cow::Borrowed(text)))
            }

            fn visit_str<E>(self, text: &str) -> Result<Text<'de>, E> {
                Ok(Text(Cow::Owned(text.to_owned())))
            }
        }
        from.deserialize_str(Reader)
    }
}

impl std::ops::Deref for Text<'_> {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

/// Declares an object whose fields are all optional, with a reader that refuses a field given twice and notes the
/// names of those it does not know. A field of `null` counts as absent.
macro_rules! object {
    ($(#[$doc:meta])* $name:ident { $($(#[$field_doc:meta])* $field:ident = $key:literal: $type:ty,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default)]
        pub struct $name<'a> {
            $($(#[$field_doc])* pub $field: Option<$type>,)*
            /// Names of fields that this program does not know.
            pub unknown: Vec<Text<'a>>,
            /// Names of known fields that are `null`.
            pub nulls: Vec<&'static str>,
        }

        impl<'de: 'a, 'a> serde::Deserialize<'de> for $name<'a> {
            fn deserialize<D: serde::Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
                struct Reader<'a>(std::marker::PhantomData<&'a ()>);
                impl<'de: 'a, 'a> serde::de::Visitor<'de> for Reader<'a> {
                    type Value = $name<'a>;

                    fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        f.write_str("an object")
                    }

                    fn visit_map<M: serde::de::MapAccess<'de>>(self, mut map: M) -> Result<$name<'a>, M::Error> {
                        let mut read = $name::default();
                        while let Some(key) = map.next_key::<Text<'de>>()? {
                            match &*key {
                                $($key => {
                                    // Guards against two readers that each take another one of the two.
                                    if read.$field.is_some() {
                                        let _ = map.next_value::<serde::de::IgnoredAny>();
                                        return Err(serde::de::Error::custom(concat!(".", $key, ": given twice")));
                                    }
                                    read.$field = map.next_value()?;
                                    if read.$field.is_none() {
                                        read.nulls.push($key);
                                    }
                                })*
                                _ => {
                                    if read.unknown.contains(&key) {
                                        let what = format!(".{}: given twice", &*key);
                                        return Err(serde::de::Error::custom(what));
                                    }
                                    // Guards against a body of nothing but names, which would be compared at length.
                                    if read.unknown.len() == $crate::front::object::MOST_UNKNOWN {
                                        return Err(serde::de::Error::custom("too many unknown fields"));
                                    }
                                    if map.next_value::<Option<serde::de::IgnoredAny>>()?.is_some() {
                                        read.unknown.push(key);
                                    }
                                }
                            }
                        }
                        Ok(read)
                    }
                }
                from.deserialize_map(Reader(std::marker::PhantomData))
            }
        }
    };
}
pub(crate) use object;

/// Unknown fields that one object may have.
pub const MOST_UNKNOWN: usize = 64;

/// Either of two forms: a text, or whatever else `T` reads.
#[derive(Clone, Debug)]
pub enum TextOr<'a, T> {
    /// A text.
    Text(Text<'a>),
    /// The other form.
    Other(T),
}

impl<'de: 'a, 'a, T: Deserialize<'de>> Deserialize<'de> for TextOr<'a, T> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        struct Reader<'a, T>(PhantomData<(&'a (), T)>);
        impl<'de: 'a, 'a, T: Deserialize<'de>> Visitor<'de> for Reader<'a, T> {
            type Value = TextOr<'a, T>;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a text or its longer form")
            }

            fn visit_borrowed_str<E>(self, text: &'de str) -> Result<Self::Value, E> {
                Ok(TextOr::Text(Text(Cow::Borrowed(text))))
            }

            fn visit_str<E>(self, text: &str) -> Result<Self::Value, E> {
                Ok(TextOr::Text(Text(Cow::Owned(text.to_owned()))))
            }

            fn visit_seq<A: de::SeqAccess<'de>>(self, list: A) -> Result<Self::Value, A::Error> {
                T::deserialize(de::value::SeqAccessDeserializer::new(list)).map(TextOr::Other)
            }

            fn visit_map<A: de::MapAccess<'de>>(self, map: A) -> Result<Self::Value, A::Error> {
                T::deserialize(de::value::MapAccessDeserializer::new(map)).map(TextOr::Other)
            }
        }
        from.deserialize_any(Reader(PhantomData))
    }
}

/// Reads a body.
///
/// # Errors
///
/// If the body is not UTF-8, not exactly one JSON value, or not of the form of `T`. In the last case the text begins
/// with the path of the wrong field, as in `messages.0.content: what`.
pub fn read<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, String> {
    let text = std::str::from_utf8(body)
        .map_err(|e| format!("the body is not UTF-8 from its byte {} on", e.valid_up_to()))?;
    if let Ok(read) = serde_json::from_str(text) {
        return Ok(read);
    }
    // Only what is faulty is read again, this time with an eye on where.
    let mut from = serde_json::Deserializer::from_str(text);
    let fault = match serde_path_to_error::deserialize::<_, T>(&mut from) {
        Ok(read) => match from.end() {
            Ok(()) => return Ok(read),
            Err(e) => return Err(format!("the body is not one JSON value: {e}")),
        },
        Err(fault) => fault,
    };
    let mut path = String::new();
    for part in fault.path() {
        let part = match part {
            Segment::Seq { index } => index.to_string(),
            Segment::Map { key } => key.clone(),
            Segment::Enum { variant } => variant.clone(),
            Segment::Unknown => continue,
        };
        path.push_str(if path.is_empty() { "" } else { "." });
        path.push_str(&part);
    }
    let e = fault.inner();
    if !e.is_data() {
        return Err(format!("the body is not JSON: {e}"));
    }
    let what = e.to_string();
    let what = what.rsplit_once(" at line ").map_or(what.as_str(), |(what, _)| what);
    // A fault of a field that is not there names it after a dot.
    Err(match (path.as_str(), what.strip_prefix('.')) {
        ("", None) => what.to_owned(),
        ("", Some(field)) => field.to_owned(),
        (path, None) => format!("{path}: {what}"),
        (path, Some(field)) => match field.split_once(':') {
            // The path holds the field already where its key was the last thing read.
            Some((name, what)) if path.rsplit('.').next() == Some(name) => format!("{path}:{what}"),
            _ => format!("{path}.{field}"),
        },
    })
}

/// Follows the brackets of a JSON text that comes in pieces and is taken for well-formed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Nesting {
    depth: usize,
    deepest: usize,
    quoted: bool,
    escaped: bool,
}

impl Nesting {
    /// Takes the next piece.
    pub fn take(&mut self, json: &str) {
        for byte in json.bytes() {
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.quoted => self.escaped = true,
                b'"' => self.quoted = !self.quoted,
                b'{' | b'[' if !self.quoted => {
                    self.depth += 1;
                    self.deepest = self.deepest.max(self.depth);
                }
                b'}' | b']' if !self.quoted => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
        }
    }

    /// An object or a list has begun and ended: nothing but blanks can follow.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.deepest > 0 && self.depth == 0
    }
}

/// How deep a JSON text nests.
#[must_use]
pub fn depth(json: &str) -> usize {
    let mut nesting = Nesting::default();
    nesting.take(json);
    nesting.deepest
}
