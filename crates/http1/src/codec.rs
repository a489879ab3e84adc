//! Incremental parsers of HTTP/1.1 and server-sent events, with limits.
//!
//! Parsers consume complete elements at the front of a buffer and leave the rest, so a message may arrive in any
//! fragments, and one read may contain the start of the next message.

mod body;
mod error;
mod head;
mod sse;
mod status;

use memchr::memmem;

pub use body::{Body, Chunk, LAST_CHUNK, chunk};
pub use error::ParseError;
pub use head::{Head, request_head, response_head};
pub use sse::{SseBlock, block_ends, sse_batch, sse_blocks};
pub use status::reason;

/// The offset of the first occurrence of `needle` in `haystack`.
#[must_use]
pub fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    memmem::find(haystack, needle)
}
