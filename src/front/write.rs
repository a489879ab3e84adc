//! Writes JSON directly into the output: each text is copied once, from where it was read.

use std::io::Write as _;

use serde::Serialize;

/// Writes any value that serde can serialize.
pub fn value(out: &mut Vec<u8>, value: &(impl Serialize + ?Sized)) {
    // Writing to a vector can't fail, and no value that is written here has keys other than texts.
    let _ = serde_json::to_writer(out, value);
}

/// An object that is being written; it closes when it is dropped.
pub struct Object<'o> {
    out: &'o mut Vec<u8>,
    begun: bool,
}

impl<'o> Object<'o> {
    /// Opens an object.
    pub fn new(out: &'o mut Vec<u8>) -> Object<'o> {
        out.push(b'{');
        Object { out, begun: false }
    }

    /// Writes a field's name; the caller writes its value.
    pub fn key(&mut self, name: &str) -> &mut Vec<u8> {
        if std::mem::replace(&mut self.begun, true) {
            self.out.push(b',');
        }
        let _ = write!(self.out, "\"{name}\":");
        self.out
    }

    /// Writes a field.
    pub fn set(&mut self, name: &str, to: &(impl Serialize + ?Sized)) -> &mut Self {
        value(self.key(name), to);
        self
    }

    /// Writes a field whose value is JSON text.
    pub fn raw(&mut self, name: &str, json: &str) -> &mut Self {
        self.key(name).extend_from_slice(json.as_bytes());
        self
    }

    /// Opens a field that is an object.
    pub fn object(&mut self, name: &str) -> Object<'_> {
        Object::new(self.key(name))
    }

    /// Opens a field that is a list.
    pub fn list(&mut self, name: &str) -> List<'_> {
        List::new(self.key(name))
    }
}

impl Drop for Object<'_> {
    fn drop(&mut self) {
        self.out.push(b'}');
    }
}

/// A list that is being written; it closes when it is dropped.
pub struct List<'o> {
    out: &'o mut Vec<u8>,
    begun: bool,
}

impl<'o> List<'o> {
    /// Opens a list.
    pub fn new(out: &'o mut Vec<u8>) -> List<'o> {
        out.push(b'[');
        List { out, begun: false }
    }

    /// Begins an item; the caller writes it.
    pub fn item(&mut self) -> &mut Vec<u8> {
        if std::mem::replace(&mut self.begun, true) {
            self.out.push(b',');
        }
        self.out
    }

    /// Opens an item that is an object.
    pub fn object(&mut self) -> Object<'_> {
        Object::new(self.item())
    }
}

impl Drop for List<'_> {
    fn drop(&mut self) {
        self.out.push(b']');
    }
}
