//! HTTP/1.1 and server-sent events, parsed as bytes come, each within a bound.
//!
//! Parsers take what they can from the front of a buffer and leave the rest, so a message may arrive in any
//! pieces and the next one may follow in the same read.

use std::borrow::Cow;
use std::fmt;
use std::str;

use memchr::{memchr_iter, memmem};
use serde::{Deserialize, Serialize};

use crate::Http1Limits;

/// What is wrong with a message, and the status that says so to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseError {
    /// The status.
    pub status: u16,
    /// The fault in words.
    pub what: &'static str,
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.what, self.status)
    }
}

const fn bad<T>(status: u16, what: &'static str) -> Result<T, ParseError> {
    Err(ParseError { status, what })
}

/// A message's start line and headers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Head {
    /// The three parts of the start line.
    pub start: [String; 3],
    /// The headers in their order.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// The first header of that name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// A header of that name lists this word.
    #[must_use]
    pub fn lists(&self, name: &str, word: &str) -> bool {
        let values = self.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
        values.flat_map(|(_, v)| v.split(',')).any(|w| w.trim().eq_ignore_ascii_case(word))
    }

    /// The status of a response.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.start[1].parse().unwrap_or(0)
    }

    /// Whether the connection may carry another message after this one.
    #[must_use]
    pub fn keeps_alive(&self, version: &str) -> bool {
        !self.lists("connection", "close")
            && (version != "HTTP/1.0" || self.lists("connection", "keep-alive"))
    }

    /// How the body of a request is framed. Guards against smuggling: whatever two readers could take for
    /// different lengths is refused.
    pub fn request_body(&self, limits: &Http1Limits) -> Result<Body, ParseError> {
        match self.body(limits.body_bytes)? {
            Some(body) => Ok(body),
            None => Ok(Body::Length(0)),
        }
    }

    /// How the body of a response is framed.
    pub fn response_body(&self) -> Result<Body, ParseError> {
        if matches!(self.status(), 100..=199 | 204 | 304) {
            return Ok(Body::Length(0));
        }
        // A response may be longer than a request: it is passed on in pieces.
        Ok(self.body(usize::MAX)?.unwrap_or(Body::UntilClose))
    }

    fn body(&self, most_bytes: usize) -> Result<Option<Body>, ParseError> {
        let mut lengths = self.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case("content-length"));
        let mut codings = self.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case("transfer-encoding"));
        match (lengths.next(), codings.next()) {
            (Some(_), Some(_)) => bad(400, "both a length and a transfer coding"),
            (None, None) => Ok(None),
            (None, Some((_, coding)))
                if coding.eq_ignore_ascii_case("chunked") && codings.next().is_none() =>
            {
                Ok(Some(Body::Chunked(Chunk::Size)))
            }
            (None, Some(_)) => bad(501, "an unknown transfer coding"),
            (Some((_, length)), None) => {
                if lengths.next().is_some()
                    || length.is_empty()
                    || !length.bytes().all(|b| b.is_ascii_digit())
                {
                    return bad(400, "no single whole content length");
                }
                match length.parse::<usize>() {
                    Ok(length) if length <= most_bytes => Ok(Some(Body::Length(length))),
                    _ => bad(413, "the body is too large"),
                }
            }
        }
    }
}

/// Takes a head from the front of `buf` once it is there whole. A strict reader refuses what is not plain text.
fn head(buf: &mut Vec<u8>, strict: bool, limits: &Http1Limits) -> Result<Option<Head>, ParseError> {
    // Empty lines before a message are allowed, but not without end.
    let blank = buf.chunks(2).take_while(|pair| *pair == b"\r\n").count() * 2;
    buf.drain(..blank);
    let Some(end) = find(buf, b"\r\n\r\n") else {
        // Guards against a peer that never ends its head, and against line ends of another kind.
        if buf.len() > limits.head_bytes {
            return bad(431, "the head is too large");
        }
        if buf.iter().enumerate().any(|(i, b)| *b == b'\n' && (i == 0 || buf[i - 1] != b'\r')) {
            return bad(400, "a line ends without a carriage return");
        }
        return Ok(None);
    };
    if end > limits.head_bytes {
        return bad(431, "the head is too large");
    }
    let bytes: Vec<u8> = buf.drain(..end + 4).take(end).collect();
    let text = String::from_utf8_lossy(&bytes);
    if strict && matches!(text, Cow::Owned(_)) {
        return bad(400, "the head is not UTF-8");
    }
    let mut lines = text.split("\r\n");
    if strict && text.replace("\r\n", "").chars().any(|c| c.is_control() && c != '\t') {
        return bad(400, "a control character in the head");
    }
    let mut parts = lines.next().unwrap_or_default().splitn(3, ' ');
    let mut part = || parts.next().unwrap_or_default().to_owned();
    let start = [part(), part(), part()];
    if start[0].is_empty() || start[1].is_empty() {
        return bad(400, "no start line");
    }
    let mut headers = Vec::new();
    for line in lines {
        let Some((name, value)) = line.split_once(':') else { return bad(400, "a header without a colon") };
        if name.is_empty() || !name.bytes().all(token) {
            return bad(400, "a header with a bad name");
        }
        if headers.len() == limits.headers {
            return bad(431, "too many headers");
        }
        headers.push((name.to_owned(), value.trim_matches([' ', '\t']).to_owned()));
    }
    Ok(Some(Head { start, headers }))
}

/// Takes a request's head, which has more to it than a response's.
pub fn request_head(buf: &mut Vec<u8>, limits: &Http1Limits) -> Result<Option<Head>, ParseError> {
    let Some(head) = head(buf, true, limits)? else { return Ok(None) };
    let [method, target, version] = &head.start;
    if !method.bytes().all(token) || !(target.starts_with('/') || target == "*") || target.contains(' ') {
        return bad(400, "a bad request line");
    }
    match version.as_str() {
        "HTTP/1.1" => {}
        // Guards against a chunked stream to a client that can't read one; health checks may be old.
        "HTTP/1.0" if method == "GET" => {}
        v if v.starts_with("HTTP/") => return bad(505, "not HTTP/1.1"),
        _ => return bad(400, "a bad request line"),
    }
    if version == "HTTP/1.1"
        && head.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case("host")).count() != 1
    {
        return bad(400, "no single host");
    }
    Ok(Some(head))
}

/// Takes a response's head. A header's value may be garbage, which alone does not spoil an answer.
pub fn response_head(buf: &mut Vec<u8>, limits: &Http1Limits) -> Result<Option<Head>, ParseError> {
    // Guards against waiting for the end of what can't become a head: noise need not have one.
    if buf.iter().zip(b"HTTP/1.").any(|(came, due)| came != due) {
        return bad(502, "no status line");
    }
    let Some(head) = head(buf, false, limits)? else { return Ok(None) };
    let [version, status, _] = &head.start;
    if !version.starts_with("HTTP/1.") || status.len() != 3 || head.status() < 100 {
        return bad(502, "a bad status line");
    }
    Ok(Some(head))
}

fn token(b: u8) -> bool {
    b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b)
}

/// Where `needle` begins in `hay`.
#[must_use]
pub fn find(hay: &[u8], needle: &[u8]) -> Option<usize> {
    memmem::find(hay, needle)
}

/// What is still to come of a body.
#[derive(Deserialize, Serialize, Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    /// So many bytes.
    Length(usize),
    /// Chunks, up to the last one.
    Chunked(Chunk),
    /// All until the connection ends.
    UntilClose,
}

/// Where in a chunked body the next byte belongs.
#[derive(Deserialize, Serialize, Clone, Copy, Debug, PartialEq, Eq)]
pub enum Chunk {
    /// To a chunk's size line.
    Size,
    /// To its data, which has this size.
    Data(usize),
    /// To the data of a chunk too long to be held, of which so much is missing.
    Long(usize),
    /// To the trailers, of which so many have come.
    Trailer(usize),
    /// To the next message.
    Over,
}

impl Body {
    /// Moves what is there of the body from the front of `buf` to `out`; true once it is whole.
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
        let mut taken = 0;
        let whole = self.take_from(buf, &mut taken, out, limits);
        buf.drain(..taken);
        whole
    }

    /// The same, with `taken` as what was moved of `buf`: many chunks in one read cost one move of the rest.
    fn take_from(
        &mut self,
        buf: &[u8],
        taken: &mut usize,
        out: &mut Vec<u8>,
        limits: &Http1Limits,
    ) -> Result<bool, ParseError> {
        loop {
            let rest = &buf[*taken..];
            match self {
                Body::Length(left) => {
                    let some = (*left).min(rest.len());
                    out.extend_from_slice(&rest[..some]);
                    *taken += some;
                    *left -= some;
                    return Ok(*left == 0);
                }
                Body::UntilClose => {
                    out.extend_from_slice(rest);
                    *taken = buf.len();
                    return Ok(false);
                }
                Body::Chunked(Chunk::Over) => return Ok(true),
                Body::Chunked(Chunk::Data(size)) if *size <= limits.chunk_hold => {
                    // Guards against passing on what a spoilt chunk holds: it is taken whole, once its end has
                    // shown that its size was right.
                    if rest.iter().skip(*size).zip(b"\r\n").any(|(came, due)| came != due) {
                        return bad(400, "a chunk longer than its size");
                    }
                    if rest.len() < *size + 2 {
                        return Ok(false);
                    }
                    out.extend_from_slice(&rest[..*size]);
                    *taken += *size + 2;
                    *self = Body::Chunked(Chunk::Size);
                }
                // Guards against holding a chunk of any size: of a long one the bytes are taken as they come.
                Body::Chunked(Chunk::Data(left) | Chunk::Long(left)) => {
                    let some = (*left).min(rest.len());
                    out.extend_from_slice(&rest[..some]);
                    *taken += some;
                    let left = *left - some;
                    *self = Body::Chunked(Chunk::Long(left));
                    let rest = &buf[*taken..];
                    if left > 0 || rest.len() < 2 {
                        if rest.first().is_some_and(|b| *b != b'\r') {
                            return bad(400, "a chunk longer than its size");
                        }
                        return Ok(false);
                    }
                    if !rest.starts_with(b"\r\n") {
                        return bad(400, "a chunk longer than its size");
                    }
                    *taken += 2;
                    *self = Body::Chunked(Chunk::Size);
                }
                Body::Chunked(chunk) => {
                    let end = memmem::find(&rest[..rest.len().min(limits.line_bytes)], b"\r\n");
                    if *chunk == Chunk::Size {
                        // Guards against waiting for the end of what is no size, or of a size without end.
                        let line = &rest[..end.unwrap_or(rest.len())];
                        let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
                        if !matches!(line.get(digits), None | Some(b';' | b' ' | b'\t' | b'\r'))
                            || digits > 8
                        {
                            return bad(400, "a bad chunk size");
                        }
                    }
                    let Some(end) = end else {
                        let long = rest.len() >= limits.line_bytes;
                        return if long { bad(400, "a line too long") } else { Ok(false) };
                    };
                    let line = &rest[..end];
                    *taken += end + 2;
                    *chunk = match chunk {
                        Chunk::Trailer(_) if line.is_empty() => Chunk::Over,
                        Chunk::Trailer(count) if *count == limits.headers => {
                            return bad(431, "too many trailers");
                        }
                        Chunk::Trailer(count) => Chunk::Trailer(*count + 1),
                        _ => match chunk_size(line, limits)? {
                            0 => Chunk::Trailer(0),
                            size => Chunk::Data(size),
                        },
                    };
                }
            }
        }
    }

    /// What is there is a part of something: what is missing must follow soon.
    #[must_use]
    pub fn is_amid(&self, buf: &[u8]) -> bool {
        !buf.is_empty()
            || matches!(self, Body::Chunked(Chunk::Data(_) | Chunk::Long(_) | Chunk::Trailer(_)))
    }
}

fn chunk_size(line: &[u8], limits: &Http1Limits) -> Result<usize, ParseError> {
    let digits = line.split(|b| *b == b';').next().unwrap_or_default().trim_ascii_end();
    let hex = !digits.is_empty() && digits.len() <= 8 && digits.iter().all(u8::is_ascii_hexdigit);
    let size = hex.then(|| str::from_utf8(digits).ok().and_then(|d| usize::from_str_radix(d, 16).ok()));
    match size.flatten() {
        // Guards against a chunk without end: nobody sends one that is larger than a whole request.
        Some(size) if size > limits.body_bytes => bad(413, "a chunk too large"),
        Some(size) => Ok(size),
        None => bad(400, "a bad chunk size"),
    }
}

/// A body's bytes as one chunk, ready to be written.
#[must_use]
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    let mut out = format!("{:x}\r\n", bytes.len()).into_bytes();
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
    out
}

/// The last chunk.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// The words of a status that this program sends.
#[must_use]
pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        204 => "No Content",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        529 => "Overloaded",
        _ => "Status",
    }
}

/// A block of a stream of server-sent events, with the empty line that ends it.
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

    /// The event's data, its lines joined.
    #[must_use]
    pub fn data(self) -> String {
        self.field("data").collect::<Vec<_>>().join("\n")
    }

    /// Comment lines.
    pub fn comments(self) -> impl Iterator<Item = &'a str> {
        self.lines().filter_map(|l| str::from_utf8(l.strip_prefix(b":")?).ok()).map(str::trim)
    }

    /// It holds nothing but comments.
    #[must_use]
    pub fn is_comment(self) -> bool {
        self.lines().all(|l| l.starts_with(b":"))
    }

    /// It holds nothing but line ends.
    #[must_use]
    pub fn is_blank(self) -> bool {
        self.0.iter().all(|b| matches!(b, b'\r' | b'\n'))
    }
}

/// Where blocks end in bytes that begin with one, from a place up to which none did.
#[must_use]
pub fn block_ends(bytes: &[u8], from: usize) -> impl DoubleEndedIterator<Item = usize> {
    memchr_iter(b'\n', &bytes[from..]).filter_map(move |at| match &bytes[from + at + 1..] {
        [b'\n', ..] => Some(from + at + 2),
        [b'\r', b'\n', ..] => Some(from + at + 3),
        _ => None,
    })
}

/// The blocks of bytes that hold whole ones.
pub fn sse_blocks(bytes: &[u8]) -> impl Iterator<Item = SseBlock<'_>> {
    let mut start = 0;
    block_ends(bytes, 0).map(move |end| SseBlock(&bytes[std::mem::replace(&mut start, end)..end]))
}

/// Takes the whole blocks from the front of `text`, all that are there; none if there is none. `scanned` is how
/// far it was looked through before, and begins at 0.
pub fn sse_batch(
    text: &mut Vec<u8>,
    scanned: &mut usize,
    limits: &Http1Limits,
) -> Result<Vec<u8>, ParseError> {
    let (mut start, mut fault) = (0, false);
    for end in block_ends(text, *scanned) {
        // Guards against an event without end; what came whole before it is good.
        if end - start > limits.event_bytes {
            fault = true;
            break;
        }
        start = end;
    }
    if start == 0 && (fault || text.len() > limits.event_bytes) {
        return bad(502, "an event too large");
    }
    if start == 0 {
        *scanned = text.len().saturating_sub(2);
        return Ok(Vec::new());
    }
    let rest = text.split_off(start);
    // A block's end is three bytes long at the most.
    *scanned = if fault { 0 } else { rest.len().saturating_sub(2) };
    Ok(std::mem::replace(text, rest))
}
