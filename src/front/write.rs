//! Writes JSON directly into the output, so that each string is copied only once, from its source.

use std::io::Write as _;

use serde::Serialize;

/// Writes any value that serde can serialize.
pub fn write_value(out: &mut Vec<u8>, value: &(impl Serialize + ?Sized)) {
    // Writing to a vector can't fail, and all keys are strings.
    let _ = serde_json::to_writer(out, value);
}

/// A JSON object in progress; dropping it writes the closing brace.
pub struct Object<'o> {
    out: &'o mut Vec<u8>,
    has_fields: bool,
}

impl<'o> Object<'o> {
    /// Writes the opening brace.
    pub fn new(out: &'o mut Vec<u8>) -> Object<'o> {
        out.push(b'{');
        Object { out, has_fields: false }
    }

    /// Writes the name of a field; the caller must write the value. `name` is not escaped.
    pub fn key(&mut self, name: &str) -> &mut Vec<u8> {
        if std::mem::replace(&mut self.has_fields, true) {
            self.out.push(b',');
        }
        let _ = write!(self.out, "\"{name}\":");
        self.out
    }

    /// Writes a field with a serializable value.
    pub fn set(&mut self, name: &str, content: &(impl Serialize + ?Sized)) -> &mut Self {
        write_value(self.key(name), content);
        self
    }

    /// Writes a field with a value that is JSON text already. `json` is not validated.
    pub fn raw(&mut self, name: &str, json: &str) -> &mut Self {
        self.key(name).extend_from_slice(json.as_bytes());
        self
    }

    /// Opens an object as a field.
    pub fn object(&mut self, name: &str) -> Object<'_> {
        Object::new(self.key(name))
    }

    /// Opens a list as a field.
    pub fn list(&mut self, name: &str) -> List<'_> {
        List::new(self.key(name))
    }
}

impl Drop for Object<'_> {
    fn drop(&mut self) {
        self.out.push(b'}');
    }
}

/// A JSON list in progress; dropping it writes the closing bracket.
pub struct List<'o> {
    out: &'o mut Vec<u8>,
    has_items: bool,
}

impl<'o> List<'o> {
    /// Writes the opening bracket.
    pub fn new(out: &'o mut Vec<u8>) -> List<'o> {
        out.push(b'[');
        List { out, has_items: false }
    }

    /// Starts an item; the caller must write it.
    pub fn item(&mut self) -> &mut Vec<u8> {
        if std::mem::replace(&mut self.has_items, true) {
            self.out.push(b',');
        }
        self.out
    }

    /// Opens an object as an item.
    pub fn object(&mut self) -> Object<'_> {
        Object::new(self.item())
    }
}

impl Drop for List<'_> {
    fn drop(&mut self) {
        self.out.push(b']');
    }
}
