//! Reading typed values out of a JSON document.

use serde_json::Value;

use super::error::{ValueError, ValueSnafu};
use crate::types::Nanos;

/// A value within a JSON document, with its path for error messages.
pub(super) struct JsonTree<'a> {
    pub(super) value: &'a Value,
    pub(super) path: String,
}

impl<'a> JsonTree<'a> {
    pub(super) fn at(&self, key: &str) -> JsonTree<'a> {
        JsonTree { value: &self.value[key], path: format!("{}.{key}", self.path) }
    }

    /// The items of an array; none for any other value.
    pub(super) fn items(&self) -> Vec<JsonTree<'a>> {
        let items = self.value.as_array().map(Vec::as_slice).unwrap_or_default();
        let item = |(n, value)| JsonTree { value, path: format!("{}.{n}", self.path) };
        items.iter().enumerate().map(item).collect()
    }

    pub(super) fn error<T>(&self, problem: &str) -> Result<T, ValueError> {
        ValueSnafu { key: &self.path, problem }.fail()
    }

    pub(super) fn string(&self) -> Result<String, ValueError> {
        match self.value.as_str() {
            Some(text) => Ok(text.to_owned()),
            None => self.error("missing or not a string"),
        }
    }

    pub(super) fn string_or(&self, default: &str) -> Result<String, ValueError> {
        if self.value.is_null() { Ok(default.to_owned()) } else { self.string() }
    }

    pub(super) fn number_or(&self, default: f64) -> Result<f64, ValueError> {
        match (self.value, self.value.as_f64()) {
            (Value::Null, _) => Ok(default),
            (_, Some(number)) => Ok(number),
            _ => self.error("not a number"),
        }
    }

    pub(super) fn nanos_or(&self, default: Nanos) -> Result<Nanos, ValueError> {
        match self.number_or(default as f64)? {
            duration if duration >= 0.0 => Ok(duration as Nanos),
            _ => self.error("negative"),
        }
    }

    /// A boolean; false if it is missing.
    pub(super) fn bool_or_false(&self) -> Result<bool, ValueError> {
        match self.value {
            Value::Null => Ok(false),
            Value::Bool(value) => Ok(*value),
            _ => self.error("neither true nor false"),
        }
    }

    pub(super) fn strings(&self) -> Result<Vec<String>, ValueError> {
        self.items().iter().map(JsonTree::string).collect()
    }
}
