//! Errors for request fields that can't be translated.

use std::fmt::Display;

use crate::front::BodyError;
use crate::front::object::Text;

/// Returns the error for a field without a counterpart in the other dialect.
pub(super) fn no_counterpart<T>(field: impl Display) -> Result<T, BodyError> {
    invalid(field, "has no counterpart in the replicas' dialect")
}

/// Returns the error for an invalid field.
pub(super) fn invalid<T>(field: impl Display, problem: &str) -> Result<T, BodyError> {
    Err(BodyError::field(field, problem))
}

/// Refuses an object with unknown fields, by the name of the first one. `path` is the path of the object, with a final
/// dot unless it is empty.
pub(super) fn refuse_unknown(path: &str, unknown: &[Text<'_>]) -> Result<(), BodyError> {
    unknown.first().map_or(Ok(()), |name| no_counterpart(format_args!("{path}{}", &**name)))
}
