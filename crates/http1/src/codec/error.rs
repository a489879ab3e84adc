//! Errors of parsing a message.

use std::error::Error;
use std::fmt;

/// Why bytes are not a valid message. Each error has the status code of the response to send: for a request, the
/// response to its client; for a response of a replica, 502 unless requests can have the same error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParseError {
    /// The data of a chunk are longer than its size.
    ChunkTooLong,
    /// The number of trailers exceeds the limit.
    TooManyTrailers,
    /// A line of the chunked framing exceeds the length limit.
    LineTooLong,
    /// The size of a chunk is not a hexadecimal number, or has too many digits.
    BadChunkSize,
    /// A chunk exceeds the size limit of a request body.
    ChunkTooLarge,
    /// An event of a stream exceeds the size limit.
    EventTooLarge,
    /// A head has both a `Content-Length` and a `Transfer-Encoding` header.
    LengthAndTransferCoding,
    /// The transfer coding is not `chunked`.
    UnknownTransferCoding,
    /// The content length is not a number, or there are several `Content-Length` headers.
    BadContentLength,
    /// A body exceeds the size limit.
    BodyTooLarge,
    /// The first line is not a valid request line.
    BadRequestLine,
    /// The version is not supported: neither HTTP/1.1 nor, for a `GET` request, HTTP/1.0.
    UnsupportedVersion,
    /// An HTTP/1.1 request does not have exactly one `Host` header.
    BadHost,
    /// A response does not begin with a status line.
    NoStatusLine,
    /// The version of the status line is not HTTP/1.x, or the status code is not a number of three digits from 100.
    BadStatusLine,
    /// A head exceeds the size limit.
    HeadTooLarge,
    /// A head is not valid UTF-8.
    HeadNotUtf8,
    /// A line of a head ends with a line feed that no carriage return precedes.
    BareLineFeed,
    /// A head contains a control character.
    ControlCharacter,
    /// The start line of a head is empty or has only one part.
    NoStartLine,
    /// A header has no colon.
    HeaderWithoutColon,
    /// The name of a header is not a token.
    BadHeaderName,
    /// The number of headers exceeds the limit.
    TooManyHeaders,
}

impl ParseError {
    /// The status code of the error response.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            ParseError::ChunkTooLong
            | ParseError::LineTooLong
            | ParseError::BadChunkSize
            | ParseError::LengthAndTransferCoding
            | ParseError::BadContentLength
            | ParseError::BadRequestLine
            | ParseError::BadHost
            | ParseError::HeadNotUtf8
            | ParseError::BareLineFeed
            | ParseError::ControlCharacter
            | ParseError::NoStartLine
            | ParseError::HeaderWithoutColon
            | ParseError::BadHeaderName => 400,
            ParseError::ChunkTooLarge | ParseError::BodyTooLarge => 413,
            ParseError::TooManyTrailers | ParseError::HeadTooLarge | ParseError::TooManyHeaders => 431,
            ParseError::UnknownTransferCoding => 501,
            ParseError::EventTooLarge | ParseError::NoStatusLine | ParseError::BadStatusLine => 502,
            ParseError::UnsupportedVersion => 505,
        }
    }

    /// A description of the error for clients and logs.
    #[must_use]
    pub const fn message(self) -> &'static str {
        match self {
            ParseError::ChunkTooLong => "a chunk longer than its size",
            ParseError::TooManyTrailers => "too many trailers",
            ParseError::LineTooLong => "a line too long",
            ParseError::BadChunkSize => "a bad chunk size",
            ParseError::ChunkTooLarge => "a chunk too large",
            ParseError::EventTooLarge => "an event too large",
            ParseError::LengthAndTransferCoding => "both a length and a transfer coding",
            ParseError::UnknownTransferCoding => "an unknown transfer coding",
            ParseError::BadContentLength => "no single whole content length",
            ParseError::BodyTooLarge => "the body is too large",
            ParseError::BadRequestLine => "a bad request line",
            ParseError::UnsupportedVersion => "not HTTP/1.1",
            ParseError::BadHost => "no single host",
            ParseError::NoStatusLine => "no status line",
            ParseError::BadStatusLine => "a bad status line",
            ParseError::HeadTooLarge => "the head is too large",
            ParseError::HeadNotUtf8 => "the head is not UTF-8",
            ParseError::BareLineFeed => "a line ends without a carriage return",
            ParseError::ControlCharacter => "a control character in the head",
            ParseError::NoStartLine => "no start line",
            ParseError::HeaderWithoutColon => "a header without a colon",
            ParseError::BadHeaderName => "a header with a bad name",
            ParseError::TooManyHeaders => "too many headers",
        }
    }
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.message(), self.status())
    }
}

impl Error for ParseError {}
