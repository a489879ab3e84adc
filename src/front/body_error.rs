//! Why a request's body can't be used.

use std::fmt::Display;

use snafu::Snafu;

/// Why a request's body can't be used, in words for its client.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// It is not UTF-8.
    #[snafu(display("the body is not UTF-8 from its byte {offset} on"))]
    NotUtf8 {
        /// The first byte that is not.
        offset: usize,
    },
    /// It is not JSON.
    #[snafu(display("the body is not JSON: {problem}"))]
    NotJson {
        /// The parser's error.
        problem: String,
    },
    /// Something follows the JSON value.
    #[snafu(display("the body is not one JSON value: {problem}"))]
    TrailingData {
        /// The parser's error.
        problem: String,
    },
    /// The JSON value is not of the form of a request.
    #[snafu(display("{problem}"))]
    WrongForm {
        /// The parser's error, which begins with the path of the field.
        problem: String,
    },
    /// A field is missing, out of its range, or has no counterpart in the replicas' dialect.
    #[snafu(display("{field}: {problem}"))]
    InvalidField {
        /// Its path, as in `messages.0.content`.
        field: String,
        /// What is wrong with it, or what is allowed.
        problem: String,
    },
}

impl BodyError {
    /// For the field at this path.
    pub(crate) fn field(field: impl Display, problem: impl Display) -> BodyError {
        BodyError::InvalidField { field: field.to_string(), problem: problem.to_string() }
    }
}
