//! How fields are read that are more lenient than their types.

use serde::{Deserialize, Deserializer};
use serde_norway::Value;

/// An integer that may be written as a fraction; it is rounded.
///
/// # Errors
/// If the value is no number, is negative or is not finite.
pub(super) fn rounded_integer<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let number = f64::deserialize(deserializer)?;
    if !number.is_finite() || number < 0.0 {
        return Err(serde::de::Error::custom(format!("{number} must be a number that is not below 0")));
    }
    Ok(number.round() as u64)
}

/// The strings of a list; entries of other types are ignored.
///
/// # Errors
/// If the value is no list.
pub(super) fn string_entries<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<String>, D::Error> {
    let values = Vec::<Value>::deserialize(deserializer)?;
    Ok(values.iter().filter_map(Value::as_str).map(str::to_owned).collect())
}
