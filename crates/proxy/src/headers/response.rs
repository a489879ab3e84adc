//! Encodes the head of the response to a client from the head of a replica's response.

use tulipridge_http1::codec::{self, Head};

use super::{
    HOP_BY_HOP, Persistence, is_one_of, is_plain, nominated_by_connection, write_line, write_number,
    write_persistence,
};

/// 204 No Content: the response has no body and must not have a length.
const NO_CONTENT: u16 = 204;

/// How the response body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By `Content-Length`.
    Length(usize),
    /// By `Transfer-Encoding: chunked`.
    Chunked,
    /// By the close of the connection.
    UntilClose,
    /// There is no body; the replica's `Content-Length` is forwarded.
    None,
}

/// Encodes the head of a replica's response for the client. Headers with control characters in their values are left
/// out: a client might read such a character as a line end, and the rest of the value as another header.
pub fn write_response_head(head: &Head, framing: Framing, persistence: Persistence, out: &mut Vec<u8>) {
    let replica_reason = &head.start[2];
    let reason = if is_plain(replica_reason) { replica_reason } else { codec::reason(head.status()) };
    write_line(out, &["HTTP/1.1 ", &head.start[1], " ", reason]);
    let nominated = nominated_by_connection(head);
    let drops_length = framing != Framing::None || head.status() == NO_CONTENT;
    for (name, value) in &head.headers {
        let is_dropped_length = drops_length && name.eq_ignore_ascii_case("content-length");
        if !is_dropped_length
            && is_plain(value)
            && !is_one_of(name, &HOP_BY_HOP)
            && !nominated.contains(name)
        {
            write_line(out, &[name, ": ", value]);
        }
    }
    match framing {
        Framing::Length(length) => write_number(out, "Content-Length", length as u64),
        Framing::Chunked => write_line(out, &["Transfer-Encoding: chunked"]),
        Framing::UntilClose | Framing::None => {}
    }
    write_persistence(persistence, out);
}
