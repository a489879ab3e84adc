//! Reads JSON objects field by field, in one pass and without copies. Unknown fields are kept by name, and a field that
//! is given twice is an error.

use crate::front::BodyError;
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

/// Declares an object whose fields are all optional, with a reader that refuses a field given twice and collects the names
/// of unknown ones. A field of `null` counts as absent.
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
                                    // Two readers could otherwise use different ones of the two.
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
                                        let problem = format!(".{}: given twice", &*key);
                                        return Err(serde::de::Error::custom(problem));
                                    }
                                    // Bounds the comparisons for a body of many unknown fields.
                                    if read.unknown.len() == $crate::front::object::MAX_UNKNOWN_FIELDS {
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

/// Maximum number of unknown fields of one object.
pub const MAX_UNKNOWN_FIELDS: usize = 64;

/// Either a text or another form, `T`.
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

/// Reads a body as JSON.
///
/// # Errors
///
/// If the body is not UTF-8, not exactly one JSON value, or not of the form of `T`. In the last case the text begins
/// with the path of the wrong field, as in `messages.0.content: problem`.
pub fn read<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, BodyError> {
    let text =
        std::str::from_utf8(body).map_err(|error| BodyError::NotUtf8 { offset: error.valid_up_to() })?;
    if let Ok(read) = serde_json::from_str(text) {
        return Ok(read);
    }
    // An invalid body is read again to find the path of the error.
    let mut from = serde_json::Deserializer::from_str(text);
    let fault = match serde_path_to_error::deserialize::<_, T>(&mut from) {
        Ok(read) => match from.end() {
            Ok(()) => return Ok(read),
            Err(error) => return Err(BodyError::TrailingData { problem: error.to_string() }),
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
        return Err(BodyError::NotJson { problem: e.to_string() });
    }
    let message = e.to_string();
    let message = message.rsplit_once(" at line ").map_or(message.as_str(), |(message, _)| message);
    // The error of a field that is not in the path names it after a dot.
    let problem = match (path.as_str(), message.strip_prefix('.')) {
        ("", None) => message.to_owned(),
        ("", Some(field)) => field.to_owned(),
        (path, None) => format!("{path}: {message}"),
        (path, Some(field)) => match field.split_once(':') {
            // The path includes the field already if its key was read last.
            Some((name, problem)) if path.rsplit('.').next() == Some(name) => format!("{path}:{problem}"),
            _ => format!("{path}.{field}"),
        },
    };
    Err(BodyError::WrongForm { problem })
}

/// Tracks the nesting of a well-formed JSON text that arrives in fragments.
#[derive(Clone, Copy, Debug, Default)]
pub struct Nesting {
    depth: usize,
    deepest: usize,
    quoted: bool,
    escaped: bool,
}

impl Nesting {
    /// Adds the next fragment.
    pub fn add(&mut self, json: &str) {
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

    /// Whether an object or a list has begun and ended, so that only whitespace can follow.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.deepest > 0 && self.depth == 0
    }
}

/// The nesting depth of a JSON text.
#[must_use]
pub fn depth(json: &str) -> usize {
    let mut nesting = Nesting::default();
    nesting.add(json);
    nesting.deepest
}
