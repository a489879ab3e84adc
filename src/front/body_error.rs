//! Errors for request bodies that the gateway can't use.

use std::fmt::Display;

use snafu::Snafu;

/// Why a request's body is refused; the display text is sent to the client.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// The body is not UTF-8.
    #[snafu(display("the body is not UTF-8 from its byte {offset} on"))]
    NotUtf8 {
        /// Offset of the first invalid byte.
        offset: usize,
    },
    /// The body is not JSON.
    #[snafu(display("the body is not JSON: {problem}"))]
    NotJson {
        /// The parser's error.
        problem: String,
    },
    /// The JSON value is followed by more data.
    #[snafu(display("the body is not one JSON value: {problem}"))]
    TrailingData {
        /// The parser's error.
        problem: String,
    },
    /// The JSON value does not have the form of a request.
    #[snafu(display("{problem}"))]
    WrongForm {
        /// The parser's error, prefixed with the path of the field.
        problem: String,
    },
    /// A field is missing, out of range, or has no counterpart in the replicas' dialect.
    #[snafu(display("{field}: {problem}"))]
    InvalidField {
        /// Path of the field, as in `messages.0.content`.
        field: String,
        /// The fault, or the allowed values.
        problem: String,
    },
}

impl BodyError {
    /// Creates the error for the field at the path `field`.
    pub(crate) fn field(field: impl Display, problem: impl Display) -> BodyError {
        BodyError::InvalidField { field: field.to_string(), problem: problem.to_string() }
    }
}
