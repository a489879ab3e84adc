//! Bodies and how they are framed (RFC 9112, sections 6 and 7).

use std::str;

use memchr::memmem;
use serde::{Deserialize, Serialize};

use super::error::ParseError;
use crate::Http1Limits;

/// The end of a line.
const CRLF: &[u8] = b"\r\n";
/// Most digits of a chunk's size.
const MAX_SIZE_DIGITS: usize = 8;

/// The rest of a body that is still to be received.
///
/// It may be handed to another process, so the names of variants must stay.
#[derive(Deserialize, Serialize, Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    /// So many bytes.
    Length(usize),
    /// Chunks, up to the last one.
    Chunked(Chunk),
    /// All until the connection ends.
    UntilClose,
}

/// The part of a chunked body to which the next byte belongs.
#[derive(Deserialize, Serialize, Clone, Copy, Debug, PartialEq, Eq)]
pub enum Chunk {
    /// A chunk's size line.
    Size,
    /// The data of a chunk of this size.
    Data(usize),
    /// The data of a chunk too long to be buffered, of which so many bytes are missing.
    Long(usize),
    /// The trailers, of which so many have come.
    Trailer(usize),
    /// The next message.
    Over,
}

/// What one step of a parser has achieved.
enum Progress {
    /// A part of the body was consumed; the next may follow.
    Advanced,
    /// The next part is not there yet.
    NeedsBytes,
    /// The body is complete.
    Complete,
}

/// The bytes that were received, and how many of them are consumed.
struct Input<'a> {
    bytes: &'a [u8],
    consumed: usize,
}

impl<'a> Input<'a> {
    fn rest(&self) -> &'a [u8] {
        &self.bytes[self.consumed..]
    }

    /// Moves up to `count` bytes to `out`; how many there were.
    fn move_to(&mut self, out: &mut Vec<u8>, count: usize) -> usize {
        let moved = count.min(self.rest().len());
        out.extend_from_slice(&self.rest()[..moved]);
        self.consumed += moved;
        moved
    }
}

impl Body {
    /// Moves what has come of the body from the front of `buf` to `out`; true once the body is complete.
    ///
    /// # Errors
    /// Status 400, 413 or 431 if the framing of chunks is invalid or over a limit. What came before is moved.
    pub fn take(
        &mut self,
        buf: &mut Vec<u8>,
        out: &mut Vec<u8>,
        limits: &Http1Limits,
    ) -> Result<bool, ParseError> {
        if *self == Body::UntilClose && out.is_empty() {
            std::mem::swap(buf, out);
            return Ok(false);
        }
        // Many chunks in one read cost one move of the rest.
        let mut input = Input { bytes: buf, consumed: 0 };
        let is_complete = self.take_from(&mut input, out, limits);
        let consumed = input.consumed;
        buf.drain(..consumed);
        is_complete
    }

    fn take_from(
        &mut self,
        input: &mut Input<'_>,
        out: &mut Vec<u8>,
        limits: &Http1Limits,
    ) -> Result<bool, ParseError> {
        loop {
            let progress = match self {
                Body::Length(left) => take_length(left, input, out),
                Body::UntilClose => take_rest(input, out),
                Body::Chunked(chunk) => chunk.take(input, out, limits)?,
            };
            match progress {
                Progress::Advanced => {}
                Progress::NeedsBytes => return Ok(false),
                Progress::Complete => return Ok(true),
            }
        }
    }

    /// Whether a part of the body has begun whose rest must follow soon. `buf` has what is not consumed yet.
    #[must_use]
    pub fn is_amid(&self, buf: &[u8]) -> bool {
        !buf.is_empty()
            || matches!(self, Body::Chunked(Chunk::Data(_) | Chunk::Long(_) | Chunk::Trailer(_)))
    }
}

fn take_length(left: &mut usize, input: &mut Input<'_>, out: &mut Vec<u8>) -> Progress {
    *left -= input.move_to(out, *left);
    if *left == 0 { Progress::Complete } else { Progress::NeedsBytes }
}

fn take_rest(input: &mut Input<'_>, out: &mut Vec<u8>) -> Progress {
    input.move_to(out, usize::MAX);
    Progress::NeedsBytes
}

impl Chunk {
    fn take(
        &mut self,
        input: &mut Input<'_>,
        out: &mut Vec<u8>,
        limits: &Http1Limits,
    ) -> Result<Progress, ParseError> {
        match *self {
            Chunk::Size => self.take_size_line(input, limits),
            Chunk::Data(size) if size <= limits.chunk_hold => self.take_complete_data(size, input, out),
            Chunk::Data(left) | Chunk::Long(left) => self.take_partial_data(left, input, out),
            Chunk::Trailer(count) => self.take_trailer_line(count, input, limits),
            Chunk::Over => Ok(Progress::Complete),
        }
    }

    /// Takes a chunk's data with the line end after it. Guards against forwarding the data of a corrupt chunk: it is
    /// taken as a unit, once its end has shown that its size was right.
    fn take_complete_data(
        &mut self,
        size: usize,
        input: &mut Input<'_>,
        out: &mut Vec<u8>,
    ) -> Result<Progress, ParseError> {
        let rest = input.rest();
        if rest.iter().skip(size).zip(CRLF).any(|(received, expected)| received != expected) {
            return Err(ParseError::ChunkTooLong);
        }
        if rest.len() < size + CRLF.len() {
            return Ok(Progress::NeedsBytes);
        }
        input.move_to(out, size);
        input.consumed += CRLF.len();
        *self = Chunk::Size;
        Ok(Progress::Advanced)
    }

    /// Takes what has come of a long chunk's data. Guards against buffering a chunk of any size.
    fn take_partial_data(
        &mut self,
        left: usize,
        input: &mut Input<'_>,
        out: &mut Vec<u8>,
    ) -> Result<Progress, ParseError> {
        let left = left - input.move_to(out, left);
        *self = Chunk::Long(left);
        let rest = input.rest();
        if left > 0 || rest.len() < CRLF.len() {
            if rest.first().is_some_and(|byte| *byte != b'\r') {
                return Err(ParseError::ChunkTooLong);
            }
            return Ok(Progress::NeedsBytes);
        }
        if !rest.starts_with(CRLF) {
            return Err(ParseError::ChunkTooLong);
        }
        input.consumed += CRLF.len();
        *self = Chunk::Size;
        Ok(Progress::Advanced)
    }

    fn take_size_line(
        &mut self,
        input: &mut Input<'_>,
        limits: &Http1Limits,
    ) -> Result<Progress, ParseError> {
        let rest = input.rest();
        let end = line_end(rest, limits);
        check_size_prefix(&rest[..end.unwrap_or(rest.len())])?;
        let Some(end) = end else { return incomplete_line(rest, limits) };
        input.consumed += end + CRLF.len();
        *self = match chunk_size(&rest[..end], limits)? {
            0 => Chunk::Trailer(0),
            size => Chunk::Data(size),
        };
        Ok(Progress::Advanced)
    }

    fn take_trailer_line(
        &mut self,
        count: usize,
        input: &mut Input<'_>,
        limits: &Http1Limits,
    ) -> Result<Progress, ParseError> {
        let rest = input.rest();
        let Some(end) = line_end(rest, limits) else { return incomplete_line(rest, limits) };
        input.consumed += end + CRLF.len();
        *self = match end {
            0 => Chunk::Over,
            _ if count == limits.headers => return Err(ParseError::TooManyTrailers),
            _ => Chunk::Trailer(count + 1),
        };
        Ok(Progress::Advanced)
    }
}

/// The length of the line at the front of `rest`; none if it has not ended within the limit.
fn line_end(rest: &[u8], limits: &Http1Limits) -> Option<usize> {
    memmem::find(&rest[..rest.len().min(limits.line_bytes)], CRLF)
}

fn incomplete_line(rest: &[u8], limits: &Http1Limits) -> Result<Progress, ParseError> {
    if rest.len() >= limits.line_bytes {
        return Err(ParseError::LineTooLong);
    }
    Ok(Progress::NeedsBytes)
}

/// Guards against waiting for the end of what is no size, or of an endless size.
fn check_size_prefix(line: &[u8]) -> Result<(), ParseError> {
    let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
    let is_terminated = matches!(line.get(digits), None | Some(b';' | b' ' | b'\t' | b'\r'));
    if !is_terminated || digits > MAX_SIZE_DIGITS {
        return Err(ParseError::BadChunkSize);
    }
    Ok(())
}

fn chunk_size(line: &[u8], limits: &Http1Limits) -> Result<usize, ParseError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii_end();
    let is_hex =
        !digits.is_empty() && digits.len() <= MAX_SIZE_DIGITS && digits.iter().all(u8::is_ascii_hexdigit);
    let digits = str::from_utf8(digits).ok().filter(|_| is_hex);
    match digits.and_then(|digits| usize::from_str_radix(digits, 16).ok()) {
        // Guards against an endless chunk: nobody sends one that is larger than a complete request.
        Some(size) if size > limits.body_bytes => Err(ParseError::ChunkTooLarge),
        Some(size) => Ok(size),
        None => Err(ParseError::BadChunkSize),
    }
}

/// Encodes bytes as one chunk.
#[must_use]
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    let mut out = format!("{:x}\r\n", bytes.len()).into_bytes();
    out.extend_from_slice(bytes);
    out.extend_from_slice(CRLF);
    out
}

/// The last chunk, without trailers.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
