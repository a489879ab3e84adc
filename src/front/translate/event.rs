//! Encoding of a server-sent event of the messages API.

use crate::front::write::Object;

/// Writes a named event with an object as its data. The field `type` of the object repeats the name.
pub(super) fn write_event(out: &mut Vec<u8>, name: &str, write: impl FnOnce(&mut Object<'_>)) {
    out.extend_from_slice(b"event: ");
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b"\ndata: ");
    write(Object::new(out).set("type", name));
    out.extend_from_slice(b"\n\n");
}
