//! Errors found by the validation of a configuration. A report has all errors of a document, each with its path.

use std::fmt;

use serde::Serialize;
use snafu::Snafu;

use crate::number::Revision;

/// Maximum number of errors that a report lists; further errors are only counted.
pub const MAX_REPORTED_ERRORS: usize = 50;

/// Text of the `problem` field in the response to an invalid configuration.
const INVALID_CONFIGURATION: &str = "the configuration is invalid";

/// An invalid value and its path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValidationError {
    /// The path of the value, for example `routes[3].timeLimitMs`; empty for the document.
    pub path: String,
    /// The rule that the value violates.
    pub kind: ValidationErrorKind,
}

/// Rules that a configuration or a patch can violate. Operators receive the display texts in HTTP responses.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ValidationErrorKind {
    /// The body is not a complete JSON document.
    #[snafu(display("cannot be read: {message}"))]
    Unreadable {
        /// The message of the JSON parser.
        message: String,
    },
    /// A value has a type other than its field's, or is out of the range of that type.
    #[snafu(display("{message}"))]
    WrongType {
        /// The type or value that was found and the type that was expected.
        message: String,
    },
    /// A required field is missing.
    #[snafu(display("is missing"))]
    Missing,
    /// An object of a patch has two fields of this name, of which one would have no effect.
    #[snafu(display("is given more than once"))]
    RepeatedField,
    /// A label or host is empty.
    #[snafu(display("is empty"))]
    Empty,
    /// Another item of the list has the same label.
    #[snafu(display("the label is also that of {other}"))]
    DuplicateLabel {
        /// The path of the first item with that label.
        other: String,
    },
    /// Another route has the same host and path prefix.
    #[snafu(display("host and prefix are also those of {other}"))]
    DuplicateRoute {
        /// The path of the first route with that host and prefix.
        other: String,
    },
    /// A path prefix doesn't start and end with a slash.
    #[snafu(display("does not start and end with '/'"))]
    MissingSlash,
    /// A route names a service that the document does not define.
    #[snafu(display("there is no service '{service}'"))]
    UnknownService {
        /// The unknown label.
        service: String,
    },
    /// A route names a KV cache store, which doesn't serve clients' requests.
    #[snafu(display("'{service}' is a store of KV cache and takes no requests"))]
    RoutedToStore {
        /// The label of the store.
        service: String,
    },
    /// A route has no services, or the sum of its weights is 0 or not finite.
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
    /// The revision is not greater than the current one.
    #[snafu(display("is not above the current revision, {current}"))]
    RevisionNotAbove {
        /// The current revision.
        current: Revision,
    },
    /// A patch states one revision and sets another one by `upsert`.
    #[snafu(display("is not the revision of the patch, {stated}"))]
    RevisionMismatch {
        /// The revision that the patch states.
        stated: Revision,
    },
    /// A patch was sent before any configuration.
    #[snafu(display("there is no configuration to change yet"))]
    NothingToPatch,
}

/// All validation errors of a document. A list that is returned as an error is never empty.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ValidationErrors {
    errors: Vec<ValidationError>,
}

impl std::error::Error for ValidationErrors {}

impl ValidationErrors {
    /// A list of one error.
    pub fn single(path: impl Into<String>, kind: ValidationErrorKind) -> Self {
        let mut errors = ValidationErrors::default();
        errors.add(path, kind);
        errors
    }

    /// The error of a body that is not a JSON document of the expected form.
    pub(crate) fn unreadable(error: &dyn fmt::Display) -> Self {
        ValidationErrors::single("", ValidationErrorKind::Unreadable { message: error.to_string() })
    }

    /// Adds an error of the value at `path`.
    pub fn add(&mut self, path: impl Into<String>, kind: ValidationErrorKind) {
        self.errors.push(ValidationError { path: path.into(), kind });
    }

    /// The errors in the order in which they were found.
    pub fn iter(&self) -> impl Iterator<Item = &ValidationError> {
        self.errors.iter()
    }

    /// The number of errors, including those that a report only counts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.errors.len()
    }

    /// Whether the list has no errors.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.errors.is_empty()
    }

    /// Returns `value` if there are no errors.
    ///
    /// # Errors
    ///
    /// `self`, if it has errors.
    pub fn into_result<T>(self, value: T) -> Result<T, ValidationErrors> {
        if self.is_empty() { Ok(value) } else { Err(self) }
    }

    /// The body of an HTTP response: `{"problem": ..., "count": ..., "findings": [{"place": ..., "message": ...}]}`.
    /// At most [`MAX_REPORTED_ERRORS`] errors are listed.
    pub fn to_json(&self) -> Vec<u8> {
        let errors = self.reported().map(ErrorReport::new).collect();
        let report = Report { problem: INVALID_CONFIGURATION, count: self.len(), errors };
        serde_json::to_vec(&report).unwrap_or_default()
    }

    fn reported(&self) -> impl Iterator<Item = &ValidationError> {
        self.iter().take(MAX_REPORTED_ERRORS)
    }
}

/// One line per error, up to [`MAX_REPORTED_ERRORS`], and a last line with the number of errors that are not listed.
impl fmt::Display for ValidationErrors {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.reported().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(formatter, "{separator}{error}")?;
        }
        match self.len().saturating_sub(MAX_REPORTED_ERRORS) {
            0 => Ok(()),
            unlisted => write!(formatter, "\nand {unlisted} more"),
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
