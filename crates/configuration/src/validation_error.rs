//! Errors that the validation of a configuration reports: all of a document together, each with the path to the value.

use std::fmt;

use serde::Serialize;
use snafu::Snafu;

use crate::number::Revision;

/// Errors that a report lists; the rest is only counted.
pub const MAX_REPORTED_ERRORS: usize = 50;

/// The summary in the body of a refusal.
const INVALID_CONFIGURATION: &str = "the configuration is invalid";

/// One invalid value and where it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValidationError {
    /// The path to the value, as in `routes[3].timeLimitMs`; empty for the document itself.
    pub path: String,
    /// What is wrong with it.
    pub kind: ValidationErrorKind,
}

/// What may be wrong with a configuration or a change of it. The display texts are part of the operator's interface.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ValidationErrorKind {
    /// The body is not a complete JSON document.
    #[snafu(display("cannot be read: {message}"))]
    Unreadable {
        /// The message of the JSON parser.
        message: String,
    },
    /// A value has another type than its field, or is out of the type's range.
    #[snafu(display("{message}"))]
    WrongType {
        /// The type or value that was found, and the expected one.
        message: String,
    },
    /// A required field is missing.
    #[snafu(display("is missing"))]
    Missing,
    /// A label or host is empty.
    #[snafu(display("is empty"))]
    Empty,
    /// Another item of the list has the same label.
    #[snafu(display("the label is also that of {other}"))]
    DuplicateLabel {
        /// The path to the first item with that label.
        other: String,
    },
    /// Another route has the same host and path prefix.
    #[snafu(display("host and prefix are also those of {other}"))]
    DuplicateRoute {
        /// The path to the first route with them.
        other: String,
    },
    /// A path prefix doesn't start and end with a slash.
    #[snafu(display("does not start and end with '/'"))]
    MissingSlash,
    /// No service has the label that a route names.
    #[snafu(display("there is no service '{service}'"))]
    UnknownService {
        /// The label.
        service: String,
    },
    /// A route names a KV cache store, which serves no requests.
    #[snafu(display("'{service}' is a store of KV cache and takes no requests"))]
    RoutedToStore {
        /// The store's label.
        service: String,
    },
    /// A route has no service, or its weights sum to 0.
    #[snafu(display("the weights sum to 0"))]
    ZeroWeights,
    /// A weight is negative or not finite.
    #[snafu(display("the weight is not a number from 0 up"))]
    InvalidWeight,
    /// A time limit is 0.
    #[snafu(display("must be above 0"))]
    ZeroTimeLimit,
    /// Two tenants have the same API key.
    #[snafu(display("tenant '{other}' holds the same key"))]
    DuplicateApiKey {
        /// The label of the first tenant with that key.
        other: String,
    },
    /// The revision isn't above the current one.
    #[snafu(display("is not above the current revision, {current}"))]
    RevisionNotAbove {
        /// The current revision.
        current: Revision,
    },
    /// A patch was sent before any configuration.
    #[snafu(display("there is no configuration to change yet"))]
    NothingToPatch,
}

/// All validation errors of a document; never empty where it is returned as an error.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ValidationErrors {
    errors: Vec<ValidationError>,
}

impl std::error::Error for ValidationErrors {}

impl ValidationErrors {
    /// A report with one error.
    pub fn one(path: impl Into<String>, kind: ValidationErrorKind) -> Self {
        let mut errors = ValidationErrors::default();
        errors.add(path, kind);
        errors
    }

    /// The report on a body that is not a JSON document of the expected form.
    pub(crate) fn unreadable(error: &dyn fmt::Display) -> Self {
        ValidationErrors::one("", ValidationErrorKind::Unreadable { message: error.to_string() })
    }

    /// Adds an error.
    pub fn add(&mut self, path: impl Into<String>, kind: ValidationErrorKind) {
        self.errors.push(ValidationError { path: path.into(), kind });
    }

    /// The errors in the order in which they were found.
    pub fn iter(&self) -> impl Iterator<Item = &ValidationError> {
        self.errors.iter()
    }

    /// How many errors there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.errors.len()
    }

    /// Whether there are no errors.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.errors.is_empty()
    }

    /// Returns `value` if there are no errors.
    ///
    /// # Errors
    ///
    /// The errors themselves, if there are any.
    pub fn or<T>(self, value: T) -> Result<T, ValidationErrors> {
        if self.is_empty() { Ok(value) } else { Err(self) }
    }

    /// The body of a refusal: `{"problem": ..., "count": ..., "findings": [{"place": ..., "message": ...}]}`. At most
    /// [`MAX_REPORTED_ERRORS`] errors are listed.
    pub fn to_json(&self) -> Vec<u8> {
        let errors = self.reported().map(ErrorReport::new).collect();
        let report = Report { problem: INVALID_CONFIGURATION, count: self.len(), errors };
        serde_json::to_vec(&report).unwrap_or_default()
    }

    fn reported(&self) -> impl Iterator<Item = &ValidationError> {
        self.iter().take(MAX_REPORTED_ERRORS)
    }
}

/// A line for each error; at most [`MAX_REPORTED_ERRORS`] of them, and one that counts the rest.
impl fmt::Display for ValidationErrors {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.reported().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(formatter, "{separator}{error}")?;
        }
        match self.len().saturating_sub(MAX_REPORTED_ERRORS) {
            0 => Ok(()),
            hidden => write!(formatter, "\nand {hidden} more"),
        }
    }
}

impl fmt::Display for ValidationError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.path.is_empty() {
            return write!(formatter, "{}", self.kind);
        }
        write!(formatter, "{}: {}", self.path, self.kind)
    }
}

#[derive(Serialize)]
struct Report<'a> {
    problem: &'static str,
    count: usize,
    #[serde(rename = "findings")]
    errors: Vec<ErrorReport<'a>>,
}

#[derive(Serialize)]
struct ErrorReport<'a> {
    #[serde(rename = "place")]
    path: &'a str,
    message: String,
}

impl<'a> ErrorReport<'a> {
    fn new(error: &'a ValidationError) -> Self {
        ErrorReport { path: &error.path, message: error.kind.to_string() }
    }
}
