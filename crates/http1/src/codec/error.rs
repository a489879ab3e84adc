//! Why bytes can't be read as a message.

use std::error::Error;
use std::fmt;

/// Why bytes can't be read as a message. Each fault has the status of the response to it: for a request that of the
/// response to its client, for a response of a server 502 unless it is a fault that a request can have too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParseError {
    /// A chunk has more bytes than its size says.
    ChunkTooLong,
    /// There are more trailers than the limits allow.
    TooManyTrailers,
    /// A line of a chunked body is longer than any that has a meaning.
    LineTooLong,
    /// The size of a chunk is no hexadecimal number.
    BadChunkSize,
    /// A chunk is larger than the limit of a body.
    ChunkTooLarge,
    /// An event of a stream is larger than the limits allow.
    EventTooLarge,
    /// A head has a content length and a transfer coding.
    LengthAndTransferCoding,
    /// The transfer coding is not `chunked`.
    UnknownTransferCoding,
    /// The content length is no number, or there are several.
    BadContentLength,
    /// A body is larger than the limits allow.
    BodyTooLarge,
    /// The first line is no request line.
    BadRequestLine,
    /// The version is neither HTTP/1.1 nor HTTP/1.0.
    UnsupportedVersion,
    /// A request has no host, or several.
    BadHost,
    /// The first line of a response is no status line.
    NoStatusLine,
    /// The status is no number of three digits.
    BadStatusLine,
    /// A head is larger than the limits allow.
    HeadTooLarge,
    /// A head has bytes that are not UTF-8.
    HeadNotUtf8,
    /// A line of a head ends without a carriage return.
    BareLineFeed,
    /// A head has a control character.
    ControlCharacter,
    /// A head has no start line.
    NoStartLine,
    /// A header has no colon.
    HeaderWithoutColon,
    /// The name of a header is no token.
    BadHeaderName,
    /// There are more headers than the limits allow.
    TooManyHeaders,
}

impl ParseError {
    /// The status of the response.
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

    /// The fault in words, for clients and logs.
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
