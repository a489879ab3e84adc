//! Framing of message bodies (RFC 9112, sections 6 and 7).

use std::str;

use memchr::memmem;
use serde::{Deserialize, Serialize};

use super::error::ParseError;
use crate::Http1Limits;

/// The line terminator.
const CRLF: &[u8] = b"\r\n";
/// Maximum number of hexadecimal digits of a chunk size.
const MAX_CHUNK_SIZE_DIGITS: usize = 8;

/// The framing state of a body: how the part that has not been received yet is delimited.
///
/// The state may be sent to another process during a handover, so the names of the variants must not change.
#[derive(Deserialize, Serialize, Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    /// Delimited by its length, of which this many bytes remain.
    Length(usize),
    /// Chunked transfer coding.
    Chunked(Chunk),
    /// Delimited by the end of the connection.
    UntilClose,
}

/// The element of a chunked body to which the next byte belongs. The serialized names of the variants are part
/// of a handover too.
#[derive(Deserialize, Serialize, Clone, Copy, Debug, PartialEq, Eq)]
pub enum Chunk {
    /// The size line of a chunk.
    Size,
    /// The data of a chunk of this size.
    Data(usize),
    /// The data of a chunk too large to be buffered, of which this many bytes remain.
    #[serde(rename = "Long")]
    Unbuffered(usize),
    /// The trailer section, of which this many lines have been consumed.
    Trailer(usize),
    /// The body is complete; the next byte belongs to the next message.
    #[serde(rename = "Over")]
    Complete,
}

/// The result of one step of the body parser.
enum Progress {
    /// An element was consumed and more of the body follows.
    Advanced,
    /// More bytes are needed.
    NeedsBytes,
    /// The body is complete.
    Complete,
}

/// Received bytes and the number of them that have been consumed.
struct BodyInput<'a> {
    bytes: &'a [u8],
    consumed: usize,
}

impl<'a> BodyInput<'a> {
    fn rest(&self) -> &'a [u8] {
        &self.bytes[self.consumed..]
    }

    /// Appends up to `count` bytes to `out` and consumes them. Returns their number.
    fn move_to(&mut self, out: &mut Vec<u8>, count: usize) -> usize {
        let moved = count.min(self.rest().len());
        out.extend_from_slice(&self.rest()[..moved]);
        self.consumed += moved;
        moved
    }
}

impl Body {
    /// Moves the received part of the body from the front of `buf` to `out`. Returns true once the body is complete.
    ///
    /// # Errors
    /// Status 400, 413 or 431 if the chunked framing is invalid or exceeds a limit. Data before the error are moved.
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
        // The remaining bytes are moved to the front once per call rather than once per chunk.
        let mut input = BodyInput { bytes: buf, consumed: 0 };
        let is_complete = self.take_from(&mut input, out, limits);
        let consumed = input.consumed;
        buf.drain(..consumed);
        is_complete
    }

    fn take_from(
        &mut self,
        input: &mut BodyInput<'_>,
        out: &mut Vec<u8>,
        limits: &Http1Limits,
    ) -> Result<bool, ParseError> {
        loop {
            let progress = match self {
                Body::Length(left) => take_length(left, input, out),
                Body::UntilClose => take_until_close(input, out),
                Body::Chunked(chunk) => chunk.take(input, out, limits)?,
            };
            match progress {
                Progress::Advanced => {}
                Progress::NeedsBytes => return Ok(false),
                Progress::Complete => return Ok(true),
            }
        }
    }

    /// Whether an element of the body has been received partially, so that its rest must follow soon. `buf` contains
    /// the bytes not consumed yet.
    #[must_use]
    pub fn is_amid(&self, buf: &[u8]) -> bool {
        !buf.is_empty()
            || matches!(self, Body::Chunked(Chunk::Data(_) | Chunk::Unbuffered(_) | Chunk::Trailer(_)))
    }
}

fn take_length(left: &mut usize, input: &mut BodyInput<'_>, out: &mut Vec<u8>) -> Progress {
    *left -= input.move_to(out, *left);
    if *left == 0 { Progress::Complete } else { Progress::NeedsBytes }
}

fn take_until_close(input: &mut BodyInput<'_>, out: &mut Vec<u8>) -> Progress {
    input.move_to(out, usize::MAX);
    Progress::NeedsBytes
}

impl Chunk {
    fn take(
        &mut self,
        input: &mut BodyInput<'_>,
        out: &mut Vec<u8>,
        limits: &Http1Limits,
    ) -> Result<Progress, ParseError> {
        match *self {
            Chunk::Size => self.take_size_line(input, limits),
            Chunk::Data(size) if size <= limits.buffered_chunk_bytes => {
                self.take_buffered_data(size, input, out)
            }
            Chunk::Data(left) | Chunk::Unbuffered(left) => self.take_unbuffered_data(left, input, out),
            Chunk::Trailer(count) => self.take_trailer_line(count, input, limits),
            Chunk::Complete => Ok(Progress::Complete),
        }
    }

    /// Consumes the data of a chunk and the line terminator after them. The data are moved only when the terminator has
    /// confirmed the size, so that the data of a corrupt chunk are not forwarded.
    fn take_buffered_data(
        &mut self,
        size: usize,
        input: &mut BodyInput<'_>,
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

    /// Moves the received part of the data of a large chunk, so that memory use does not depend on the size of a chunk.
    fn take_unbuffered_data(
        &mut self,
        left: usize,
        input: &mut BodyInput<'_>,
        out: &mut Vec<u8>,
    ) -> Result<Progress, ParseError> {
        let left = left - input.move_to(out, left);
        *self = Chunk::Unbuffered(left);
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
        input: &mut BodyInput<'_>,
        limits: &Http1Limits,
    ) -> Result<Progress, ParseError> {
        let rest = input.rest();
        let end = line_length(rest, limits);
        validate_size_prefix(&rest[..end.unwrap_or(rest.len())])?;
        let Some(end) = end else { return incomplete_line(rest, limits) };
        input.consumed += end + CRLF.len();
        *self = match parse_chunk_size(&rest[..end], limits)? {
            0 => Chunk::Trailer(0),
            size => Chunk::Data(size),
        };
        Ok(Progress::Advanced)
    }

    fn take_trailer_line(
        &mut self,
        count: usize,
        input: &mut BodyInput<'_>,
        limits: &Http1Limits,
    ) -> Result<Progress, ParseError> {
        let rest = input.rest();
        let Some(end) = line_length(rest, limits) else { return incomplete_line(rest, limits) };
        input.consumed += end + CRLF.len();
        *self = match end {
            0 => Chunk::Complete,
            _ if count == limits.headers => return Err(ParseError::TooManyTrailers),
            _ => Chunk::Trailer(count + 1),
        };
        Ok(Progress::Advanced)
    }
}

/// The length of the line at the front of `rest`, without its terminator; none if there is no terminator within the
/// limit.
fn line_length(rest: &[u8], limits: &Http1Limits) -> Option<usize> {
    memmem::find(&rest[..rest.len().min(limits.line_bytes)], CRLF)
}

fn incomplete_line(rest: &[u8], limits: &Http1Limits) -> Result<Progress, ParseError> {
    if rest.len() >= limits.line_bytes {
        return Err(ParseError::LineTooLong);
    }
    Ok(Progress::NeedsBytes)
}

/// Rejects an invalid or too long size before its line is complete, so that the parser does not wait for the rest.
fn validate_size_prefix(line: &[u8]) -> Result<(), ParseError> {
    let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
    let is_terminated = matches!(line.get(digits), None | Some(b';' | b' ' | b'\t' | b'\r'));
    if !is_terminated || digits > MAX_CHUNK_SIZE_DIGITS {
        return Err(ParseError::BadChunkSize);
    }
    Ok(())
}

fn parse_chunk_size(line: &[u8], limits: &Http1Limits) -> Result<usize, ParseError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii_end();
    let is_hex = !digits.is_empty()
        && digits.len() <= MAX_CHUNK_SIZE_DIGITS
        && digits.iter().all(u8::is_ascii_hexdigit);
    let digits = str::from_utf8(digits).ok().filter(|_| is_hex);
    match digits.and_then(|digits| usize::from_str_radix(digits, 16).ok()) {
        // Guards against a chunk of unbounded size. No peer sends a chunk larger than a complete request.
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

/// The last chunk, without a trailer section.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
