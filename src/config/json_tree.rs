//! Reading typed values out of a JSON document.

use serde_json::Value;

use super::error::{ValueError, ValueSnafu};
use crate::types::Nanos;

/// A value within a JSON document, which knows its path so that an error can name it.
pub(super) struct JsonTree<'a> {
    pub(super) value: &'a Value,
    pub(super) path: String,
}

impl<'a> JsonTree<'a> {
    pub(super) fn at(&self, key: &str) -> JsonTree<'a> {
        JsonTree { value: &self.value[key], path: format!("{}.{key}", self.path) }
    }

    pub(super) fn each(&self) -> Vec<JsonTree<'a>> {
        let items = self.value.as_array().map(Vec::as_slice).unwrap_or_default();
        let item = |(n, value)| JsonTree { value, path: format!("{}.{n}", self.path) };
        items.iter().enumerate().map(item).collect()
    }

    pub(super) fn fault<T>(&self, what: &str) -> Result<T, ValueError> {
        ValueSnafu { key: &self.path, problem: what }.fail()
    }

    pub(super) fn text(&self) -> Result<String, ValueError> {
        match self.value.as_str() {
            Some(text) => Ok(text.to_owned()),
            None => self.fault("a text is missing"),
        }
    }

    pub(super) fn text_or(&self, absent: &str) -> Result<String, ValueError> {
        if self.value.is_null() { Ok(absent.to_owned()) } else { self.text() }
    }

    pub(super) fn number(&self, absent: f64) -> Result<f64, ValueError> {
        match (self.value, self.value.as_f64()) {
            (Value::Null, _) => Ok(absent),
            (_, Some(number)) => Ok(number),
            _ => self.fault("not a number"),
        }
    }

    pub(super) fn nanos(&self, absent: Nanos) -> Result<Nanos, ValueError> {
        match self.number(absent as f64)? {
            span if span >= 0.0 => Ok(span as Nanos),
            _ => self.fault("negative"),
        }
    }

    pub(super) fn flag(&self) -> Result<bool, ValueError> {
        match self.value {
            Value::Null => Ok(false),
            Value::Bool(flag) => Ok(*flag),
            _ => self.fault("neither true nor false"),
        }
    }

    pub(super) fn texts(&self) -> Result<Vec<String>, ValueError> {
        self.each().iter().map(JsonTree::text).collect()
    }
}
