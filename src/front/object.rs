//! Reads JSON objects in one pass and without copies. The names of unknown fields are collected, and a duplicate field
//! is an error.

use crate::front::BodyError;
use std::borrow::Cow;
use std::fmt;
use std::marker::PhantomData;

use serde::de::{self, Deserialize, Deserializer, Visitor};
use serde_path_to_error::Segment;

/// A string that is borrowed from the body, or owned if it contains escapes.
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

/// Declares a struct with optional fields and its deserializer, which rejects duplicate fields and collects the names
/// of unknown ones. A `null` field counts as absent.
macro_rules! object {
    ($(#[$doc:meta])* $name:ident { $($(#[$field_doc:meta])* $field:ident = $key:literal: $type:ty,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default)]
        pub struct $name<'a> {
            $($(#[$field_doc])* pub $field: Option<$type>,)*
            /// Names of unknown fields that are not `null`.
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
                        let mut parsed = $name::default();
                        while let Some(key) = map.next_key::<Text<'de>>()? {
                            match &*key {
                                $($key => {
                                    // Other parsers may use either of two duplicates.
                                    if parsed.$field.is_some() {
                                        let _ = map.next_value::<serde::de::IgnoredAny>();
                                        return Err(serde::de::Error::custom(concat!(".", $key, ": given twice")));
                                    }
                                    parsed.$field = map.next_value()?;
                                    if parsed.$field.is_none() {
                                        parsed.nulls.push($key);
                                    }
                                })*
                                _ => {
                                    if parsed.unknown.contains(&key) {
                                        let problem = format!(".{}: given twice", &*key);
                                        return Err(serde::de::Error::custom(problem));
                                    }
                                    // Bounds the name comparisons for bodies with many unknown fields.
                                    if parsed.unknown.len() == $crate::front::object::MAX_UNKNOWN_FIELDS {
                                        return Err(serde::de::Error::custom("too many unknown fields"));
                                    }
                                    if map.next_value::<Option<serde::de::IgnoredAny>>()?.is_some() {
                                        parsed.unknown.push(key);
                                    }
                                }
                            }
                        }
                        Ok(parsed)
                    }
                }
                from.deserialize_map(Reader(std::marker::PhantomData))
            }
        }
    };
}
pub(crate) use object;

/// Maximum number of unknown fields in one object.
pub const MAX_UNKNOWN_FIELDS: usize = 64;

/// A string, or a value of another form `T`.
#[derive(Clone, Debug)]
pub enum TextOr<'a, T> {
    /// The string form.
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

/// Parses a body as JSON.
///
/// # Errors
///
/// If the body is not UTF-8, not exactly one JSON value, or not of the form of `T`. In the last case the message begins
/// with the path of the wrong field, as in `messages.0.content: problem`.
pub fn read<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, BodyError> {
    let text =
        std::str::from_utf8(body).map_err(|error| BodyError::NotUtf8 { offset: error.valid_up_to() })?;
    if let Ok(read) = serde_json::from_str(text) {
        return Ok(read);
    }
    // Parses an invalid body a second time to find the path of the error.
    let mut from = serde_json::Deserializer::from_str(text);
    let error = match serde_path_to_error::deserialize::<_, T>(&mut from) {
        Ok(read) => match from.end() {
            Ok(()) => return Ok(read),
            Err(error) => return Err(BodyError::TrailingData { problem: error.to_string() }),
        },
        Err(error) => error,
    };
    let mut path = String::new();
    for part in error.path() {
        let part = match part {
            Segment::Seq { index } => index.to_string(),
            Segment::Map { key } => key.clone(),
            Segment::Enum { variant } => variant.clone(),
            Segment::Unknown => continue,
        };
        path.push_str(if path.is_empty() { "" } else { "." });
        path.push_str(&part);
    }
    let cause = error.inner();
    if !cause.is_data() {
        return Err(BodyError::NotJson { problem: cause.to_string() });
    }
    let message = cause.to_string();
    let message = message.rsplit_once(" at line ").map_or(message.as_str(), |(message, _)| message);
    // An error of a field outside the path has a dot and the field's name as its prefix.
    let problem = match (path.as_str(), message.strip_prefix('.')) {
        ("", None) => message.to_owned(),
        ("", Some(field)) => field.to_owned(),
        (path, None) => format!("{path}: {message}"),
        (path, Some(field)) => match field.split_once(':') {
            // The path already ends with the field if its key was read last.
            Some((name, problem)) if path.rsplit('.').next() == Some(name) => format!("{path}:{problem}"),
            _ => format!("{path}.{field}"),
        },
    };
    Err(BodyError::WrongForm { problem })
}

/// Tracks the nesting depth of well-formed JSON that is received in fragments.
#[derive(Clone, Copy, Debug, Default)]
pub struct Nesting {
    depth: usize,
    max_depth: usize,
    is_in_string: bool,
    is_escaped: bool,
}

impl Nesting {
    /// Adds the next fragment.
    pub fn add(&mut self, json: &str) {
        for byte in json.bytes() {
            match byte {
                _ if self.is_escaped => self.is_escaped = false,
                b'\\' if self.is_in_string => self.is_escaped = true,
                b'"' => self.is_in_string = !self.is_in_string,
                b'{' | b'[' if !self.is_in_string => {
                    self.depth += 1;
                    self.max_depth = self.max_depth.max(self.depth);
                }
                b'}' | b']' if !self.is_in_string => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
        }
    }

    /// Whether an object or a list was opened and closed, so that only whitespace can follow.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.max_depth > 0 && self.depth == 0
    }
}

/// Maximum nesting depth of a JSON text; 0 for a scalar.
#[must_use]
pub fn depth(json: &str) -> usize {
    let mut nesting = Nesting::default();
    nesting.add(json);
    nesting.max_depth
}
