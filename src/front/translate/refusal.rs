//! Refusals of a request's fields, in the form `field: what is wrong`.

use std::fmt::Display;

use crate::front::object::Text;

/// A field of a request that the other dialect has no words for.
pub(super) fn none<T>(field: impl Display) -> Result<T, String> {
    wrong(field, "has no counterpart in the real servers' dialect")
}

/// A field of a request that is wrong.
pub(super) fn wrong<T>(field: impl Display, what: &str) -> Result<T, String> {
    Err(format!("{field}: {what}"))
}

/// Refuses an object that has a field which this program does not know; `path` is where it stands.
pub(super) fn refuse_unknown(path: &str, unknown: &[Text<'_>]) -> Result<(), String> {
    unknown.first().map_or(Ok(()), |name| none(format_args!("{path}{}", &**name)))
}
