//! Server-sent events: blocks of lines that end with an empty line.

use std::str;

use memchr::memchr_iter;

use super::error::ParseError;
use crate::Http1Limits;

/// Most bytes of the end of a block that may have come without the rest of it.
const MAX_SPLIT_END: usize = 2;

/// A block of a stream of server-sent events (an event or comments), with the empty line that ends it.
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

    /// The event's name, empty if it has none.
    #[must_use]
    pub fn name(self) -> &'a str {
        self.field("event").last().unwrap_or_default()
    }

    /// The event's data, its lines joined by line feeds.
    #[must_use]
    pub fn data(self) -> String {
        self.field("data").collect::<Vec<_>>().join("\n")
    }

    /// The comments, without the colon and the surrounding blanks.
    pub fn comments(self) -> impl Iterator<Item = &'a str> {
        self.lines().filter_map(|l| str::from_utf8(l.strip_prefix(b":")?).ok()).map(str::trim)
    }

    /// Whether it has nothing but comments.
    #[must_use]
    pub fn is_comment(self) -> bool {
        self.lines().all(|l| l.starts_with(b":"))
    }

    /// Whether it has nothing but line ends.
    #[must_use]
    pub fn is_blank(self) -> bool {
        self.0.iter().all(|b| matches!(b, b'\r' | b'\n'))
    }
}

/// The offsets after each block in `bytes`, which begin with one. No block ends before `from`.
#[must_use]
pub fn block_ends(bytes: &[u8], from: usize) -> impl DoubleEndedIterator<Item = usize> {
    memchr_iter(b'\n', &bytes[from..]).filter_map(move |at| match &bytes[from + at + 1..] {
        [b'\n', ..] => Some(from + at + 2),
        [b'\r', b'\n', ..] => Some(from + at + 3),
        _ => None,
    })
}

/// The complete blocks in `bytes`, which begin with one.
pub fn sse_blocks(bytes: &[u8]) -> impl Iterator<Item = SseBlock<'_>> {
    let mut start = 0;
    block_ends(bytes, 0).map(move |end| SseBlock(&bytes[std::mem::replace(&mut start, end)..end]))
}

/// Removes all complete blocks from the front of `text`; empty if there are none. `scanned` is the offset up to which
/// earlier calls have searched, and starts at 0.
///
/// # Errors
/// Status 502 for an event over [`Http1Limits::event_bytes`], once the complete ones before it are taken.
pub fn sse_batch(
    text: &mut Vec<u8>,
    scanned: &mut usize,
    limits: &Http1Limits,
) -> Result<Vec<u8>, ParseError> {
    let mut start = 0;
    let mut is_too_large = false;
    for end in block_ends(text, *scanned) {
        // Guards against an endless event; the complete ones before it are good.
        if end - start > limits.event_bytes {
            is_too_large = true;
            break;
        }
        start = end;
    }
    if start == 0 && (is_too_large || text.len() > limits.event_bytes) {
        return Err(ParseError::EventTooLarge);
    }
    if start == 0 {
        *scanned = text.len().saturating_sub(MAX_SPLIT_END);
        return Ok(Vec::new());
    }
    let rest = text.split_off(start);
    // The end of a block may be split: it has up to three bytes.
    *scanned = if is_too_large { 0 } else { rest.len().saturating_sub(MAX_SPLIT_END) };
    Ok(std::mem::replace(text, rest))
}
