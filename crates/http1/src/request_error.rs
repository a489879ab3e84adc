//! Errors of reading a request from a client connection.

use std::error::Error;
use std::fmt;

use crate::codec::ParseError;

/// Why a request gets an error response without being sent to a replica. No replica has processed it, so a retry is
/// safe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// The bytes are not a valid request or exceed a limit.
    Malformed(ParseError),
    /// The request did not arrive completely before its deadline.
    TooSlow,
    /// The client sent more bytes while it waited for its response than are buffered.
    PipelinedTooMuch,
}

impl RequestError {
    /// The status code of the error response.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            RequestError::Malformed(source) => source.status(),
            RequestError::TooSlow => 408,
            RequestError::PipelinedTooMuch => 413,
        }
    }
}

impl From<ParseError> for RequestError {
    fn from(source: ParseError) -> RequestError {
        RequestError::Malformed(source)
    }
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RequestError::Malformed(source) => source.message(),
            RequestError::TooSlow => "the request took too long to arrive",
            RequestError::PipelinedTooMuch => "more was sent behind this request than is read",
        })
    }
}

impl Error for RequestError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            RequestError::Malformed(source) => Some(source),
            RequestError::TooSlow | RequestError::PipelinedTooMuch => None,
        }
    }
}
