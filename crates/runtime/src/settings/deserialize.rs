//! Deserializers of fields that accept more than their Rust types do.

use serde::{Deserialize, Deserializer};
use serde_norway::Value;

/// Deserializes an integer that may be written with a fraction, and rounds it.
///
/// # Errors
/// If the value is not a number, is negative or is not finite.
pub(super) fn rounded_integer<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let number = f64::deserialize(deserializer)?;
    if !number.is_finite() || number < 0.0 {
        return Err(serde::de::Error::custom(format!("{number} must be a number that is not below 0")));
    }
    Ok(number.round() as u64)
}

/// Deserializes the strings of a list; entries of other types are ignored.
///
/// # Errors
/// If the value is not a list.
pub(super) fn string_entries<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<String>, D::Error> {
    let values = Vec::<Value>::deserialize(deserializer)?;
    Ok(values.iter().filter_map(Value::as_str).map(str::to_owned).collect())
}
