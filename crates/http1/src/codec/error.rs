//! The error of the parsers.

use std::error::Error;
use std::fmt;

/// A message that is refused, and the status that reports this to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseError {
    /// The status.
    pub status: u16,
    /// The fault, for clients and logs.
    pub what: &'static str,
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.what, self.status)
    }
}

impl Error for ParseError {}

pub(super) const fn refuse<T>(status: u16, what: &'static str) -> Result<T, ParseError> {
    Err(ParseError { status, what })
}
