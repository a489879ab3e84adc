//! Server-sent events: blocks of lines, each terminated by an empty line.

use std::str;

use memchr::memchr_iter;

use super::error::ParseError;
use crate::Http1Limits;

/// A block ends with up to 3 bytes (`\n\r\n`), of which all but the last may have arrived before the rest.
const MAX_PARTIAL_BLOCK_END_BYTES: usize = 2;

/// A block of a stream of server-sent events (an event or comments), including the empty line that terminates it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SseBlock<'a>(pub &'a [u8]);

impl<'a> SseBlock<'a> {
    fn lines(self) -> impl Iterator<Item = &'a [u8]> {
        self.0.split(|b| *b == b'\n').map(|l| l.strip_suffix(b"\r").unwrap_or(l)).filter(|l| !l.is_empty())
    }

    fn field(self, name: &'static str) -> impl Iterator<Item = &'a str> {
        self.lines().filter_map(move |line| {
            let value = line.strip_prefix(name.as_bytes())?.strip_prefix(b":")?;
            str::from_utf8(value.strip_prefix(b" ").unwrap_or(value)).ok()
        })
    }

    /// The name of the event; empty if it has none.
    #[must_use]
    pub fn name(self) -> &'a str {
        self.field("event").last().unwrap_or_default()
    }

    /// The data of the event, with its lines joined by line feeds.
    #[must_use]
    pub fn data(self) -> String {
        self.field("data").collect::<Vec<_>>().join("\n")
    }

    /// The comments, without the leading colon and surrounding whitespace.
    pub fn comments(self) -> impl Iterator<Item = &'a str> {
        self.lines().filter_map(|l| str::from_utf8(l.strip_prefix(b":")?).ok()).map(str::trim)
    }

    /// Whether the block contains only comments.
    #[must_use]
    pub fn is_comment(self) -> bool {
        self.lines().all(|l| l.starts_with(b":"))
    }

    /// Whether the block contains only line terminators.
    #[must_use]
    pub fn is_blank(self) -> bool {
        self.0.iter().all(|b| matches!(b, b'\r' | b'\n'))
    }
}

/// The end offset of each complete block in `bytes`, which must start at the beginning of a block. The search for line
/// feeds starts at offset `from`, before which no block ends.
#[must_use]
pub fn block_ends(bytes: &[u8], from: usize) -> impl DoubleEndedIterator<Item = usize> {
    memchr_iter(b'\n', &bytes[from..]).filter_map(move |at| match &bytes[from + at + 1..] {
        [b'\n', ..] => Some(from + at + 2),
        [b'\r', b'\n', ..] => Some(from + at + 3),
        _ => None,
    })
}

/// The complete blocks in `bytes`, which must start at the beginning of a block.
pub fn sse_blocks(bytes: &[u8]) -> impl Iterator<Item = SseBlock<'_>> {
    let mut start = 0;
    block_ends(bytes, 0).map(move |end| SseBlock(&bytes[std::mem::replace(&mut start, end)..end]))
}

/// Removes all complete blocks from the front of `text` and returns them; empty if there are none. `scanned` is the
/// offset up to which earlier calls have searched; its initial value is 0.
///
/// # Errors
/// Status 502 for an event larger than [`Http1Limits::event_bytes`], after the complete events before it were returned.
pub fn sse_batch(
    text: &mut Vec<u8>,
    scanned: &mut usize,
    limits: &Http1Limits,
) -> Result<Vec<u8>, ParseError> {
    let mut start = 0;
    let mut exceeds_limit = false;
    for end in block_ends(text, *scanned) {
        // Bounds the memory for an event that never ends. The complete events before it are valid and returned first.
        if end - start > limits.event_bytes {
            exceeds_limit = true;
            break;
        }
        start = end;
    }
    if start == 0 && (exceeds_limit || text.len() > limits.event_bytes) {
        return Err(ParseError::EventTooLarge);
    }
    if start == 0 {
        *scanned = text.len().saturating_sub(MAX_PARTIAL_BLOCK_END_BYTES);
        return Ok(Vec::new());
    }
    let rest = text.split_off(start);
    *scanned = if exceeds_limit { 0 } else { rest.len().saturating_sub(MAX_PARTIAL_BLOCK_END_BYTES) };
    Ok(std::mem::replace(text, rest))
}
