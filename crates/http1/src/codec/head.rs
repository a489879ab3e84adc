//! Heads of requests and responses (RFC 9112, sections 2 to 5).

use std::borrow::Cow;

use memchr::memmem;

use super::body::{Body, Chunk};
use super::error::ParseError;
use crate::Http1Limits;

/// The terminator of a head: the end of its last line and an empty line.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The start line and headers of a message.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Head {
    /// The three parts of the start line.
    pub start: [String; 3],
    /// The names and values of the headers, in the order received.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// The value of the first header with this name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        self.values(name).next()
    }

    /// Whether a header with this name lists the token, ignoring case.
    #[must_use]
    pub fn lists(&self, name: &str, token: &str) -> bool {
        let mut tokens = self.values(name).flat_map(|value| value.split(','));
        tokens.any(|listed| listed.trim().eq_ignore_ascii_case(token))
    }

    /// The status code of a response; 0 if it is not a number.
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

    /// The framing of the body of a request. Ambiguous framing is rejected, since two readers that derive different
    /// lengths from it make request smuggling possible.
    ///
    /// # Errors
    /// Status 400, 413 or 501 if the framing is ambiguous or invalid, exceeds a limit or is not supported.
    pub fn request_body(&self, limits: &Http1Limits) -> Result<Body, ParseError> {
        Ok(self.body(limits.body_bytes)?.unwrap_or(Body::Length(0)))
    }

    /// The framing of the body of a response.
    ///
    /// # Errors
    /// Status 400, 413 or 501 if the framing is ambiguous or invalid, exceeds a limit or is not supported.
    pub fn response_body(&self) -> Result<Body, ParseError> {
        if matches!(self.status(), 100..=199 | 204 | 304) {
            return Ok(Body::Length(0));
        }
        // The length of a response is not limited, since its body is forwarded as it arrives.
        Ok(self.body(usize::MAX)?.unwrap_or(Body::UntilClose))
    }

    fn body(&self, max_bytes: usize) -> Result<Option<Body>, ParseError> {
        let mut lengths = self.values("content-length");
        let mut codings = self.values("transfer-encoding");
        match (lengths.next(), codings.next()) {
            (Some(_), Some(_)) => Err(ParseError::LengthAndTransferCoding),
            (None, None) => Ok(None),
            (None, Some(coding)) if coding.eq_ignore_ascii_case("chunked") && codings.next().is_none() => {
                Ok(Some(Body::Chunked(Chunk::Size)))
            }
            (None, Some(_)) => Err(ParseError::UnknownTransferCoding),
            (Some(_), None) if lengths.next().is_some() => Err(ParseError::BadContentLength),
            (Some(length), None) => Ok(Some(Body::Length(content_length(length, max_bytes)?))),
        }
    }

    /// The values of all headers with this name.
    fn values(&self, name: &str) -> impl Iterator<Item = &str> {
        let headers = self.headers.iter().filter(move |(header, _)| header.eq_ignore_ascii_case(name));
        headers.map(|(_, value)| value.as_str())
    }
}

fn content_length(value: &str, max_bytes: usize) -> Result<usize, ParseError> {
    if value.is_empty() || !value.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(ParseError::BadContentLength);
    }
    match value.parse::<usize>() {
        Ok(length) if length <= max_bytes => Ok(length),
        _ => Err(ParseError::BodyTooLarge),
    }
}

/// Removes the head of a request from the front of `buf`; none while it is incomplete.
///
/// # Errors
/// Status 400, 431 or 505 if the head is malformed, exceeds a limit or has an unsupported version.
pub fn request_head(buf: &mut Vec<u8>, limits: &Http1Limits) -> Result<Option<Head>, ParseError> {
    let Some(head) = take_head(buf, HeadBytes::Text, limits)? else { return Ok(None) };
    let [method, target, version] = &head.start;
    if !method.bytes().all(is_token) || !(target.starts_with('/') || target == "*") || target.contains(' ')
    {
        return Err(ParseError::BadRequestLine);
    }
    match version.as_str() {
        "HTTP/1.1" => {}
        // HTTP/1.0 clients cannot read a chunked stream, but old health checks send `GET` requests of this version.
        "HTTP/1.0" if method == "GET" => {}
        other if other.starts_with("HTTP/") => return Err(ParseError::UnsupportedVersion),
        _ => return Err(ParseError::BadRequestLine),
    }
    if version == "HTTP/1.1" && head.values("host").count() != 1 {
        return Err(ParseError::BadHost);
    }
    Ok(Some(head))
}

/// Removes the head of a response from the front of `buf`; none while it is incomplete. A response remains valid when
/// the value of a header contains control characters or invalid UTF-8.
///
/// # Errors
/// Status 400, 431 or 502 if the head is malformed or exceeds a limit.
pub fn response_head(buf: &mut Vec<u8>, limits: &Http1Limits) -> Result<Option<Head>, ParseError> {
    // Rejects other data at once instead of waiting for the end of a head, which it may never contain.
    if buf.iter().zip(b"HTTP/1.").any(|(received, expected)| received != expected) {
        return Err(ParseError::NoStatusLine);
    }
    let Some(head) = take_head(buf, HeadBytes::Any, limits)? else { return Ok(None) };
    let [version, status, _] = &head.start;
    if !version.starts_with("HTTP/1.") || status.len() != 3 || head.status() < 100 {
        return Err(ParseError::BadStatusLine);
    }
    Ok(Some(head))
}

/// The bytes that a head may contain.
#[derive(Clone, Copy, PartialEq, Eq)]
enum HeadBytes {
    /// UTF-8 without control characters other than tabs.
    Text,
    /// Any bytes; invalid UTF-8 is replaced.
    Any,
}

fn take_head(
    buf: &mut Vec<u8>,
    allowed_bytes: HeadBytes,
    limits: &Http1Limits,
) -> Result<Option<Head>, ParseError> {
    remove_leading_empty_lines(buf);
    let Some(end) = memmem::find(buf, HEAD_END) else {
        validate_incomplete_head(buf, limits)?;
        return Ok(None);
    };
    if end > limits.head_bytes {
        return Err(ParseError::HeadTooLarge);
    }
    let bytes: Vec<u8> = buf.drain(..end + HEAD_END.len()).take(end).collect();
    let text = String::from_utf8_lossy(&bytes);
    if allowed_bytes == HeadBytes::Text {
        if matches!(text, Cow::Owned(_)) {
            return Err(ParseError::HeadNotUtf8);
        }
        reject_control_characters(&text)?;
    }
    parse_head(&text, limits).map(Some)
}

/// Removes the empty lines that may precede a message.
fn remove_leading_empty_lines(buf: &mut Vec<u8>) {
    let empty_line_bytes = buf.chunks(2).take_while(|pair| *pair == b"\r\n").count() * 2;
    buf.drain(..empty_line_bytes);
}

/// Rejects an incomplete head that exceeds the size limit, or whose lines end with a line feed alone, since its end
/// would never be found.
fn validate_incomplete_head(buf: &[u8], limits: &Http1Limits) -> Result<(), ParseError> {
    if buf.len() > limits.head_bytes {
        return Err(ParseError::HeadTooLarge);
    }
    let is_bare_line_feed =
        |(index, byte): (usize, &u8)| *byte == b'\n' && (index == 0 || buf[index - 1] != b'\r');
    if buf.iter().enumerate().any(is_bare_line_feed) {
        return Err(ParseError::BareLineFeed);
    }
    Ok(())
}

fn reject_control_characters(text: &str) -> Result<(), ParseError> {
    let is_forbidden = |character: char| character.is_control() && character != '\t';
    if text.replace("\r\n", "").chars().any(is_forbidden) {
        return Err(ParseError::ControlCharacter);
    }
    Ok(())
}

fn parse_head(text: &str, limits: &Http1Limits) -> Result<Head, ParseError> {
    let mut lines = text.split("\r\n");
    let mut parts = lines.next().unwrap_or_default().splitn(3, ' ');
    let mut part = || parts.next().unwrap_or_default().to_owned();
    let start = [part(), part(), part()];
    if start[0].is_empty() || start[1].is_empty() {
        return Err(ParseError::NoStartLine);
    }
    let mut headers = Vec::new();
    for line in lines {
        let Some((name, value)) = line.split_once(':') else {
            return Err(ParseError::HeaderWithoutColon);
        };
        if name.is_empty() || !name.bytes().all(is_token) {
            return Err(ParseError::BadHeaderName);
        }
        if headers.len() == limits.headers {
            return Err(ParseError::TooManyHeaders);
        }
        headers.push((name.to_owned(), value.trim_matches([' ', '\t']).to_owned()));
    }
    Ok(Head { start, headers })
}

fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}
