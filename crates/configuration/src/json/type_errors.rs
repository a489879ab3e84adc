//! Finds all type errors of a document that could not be deserialized.
//!
//! serde stops at the first error. Here each item of the top-level lists is deserialized separately, so that an error
//! of each item is reported with its path.

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use serde_path_to_error::Segment;

use super::{JsonCaps, JsonRoute, JsonService, JsonTenant, Object};
use crate::fields::{CAPS, REVISION, ROUTES, SERVICES, TENANTS};
use crate::validation_error::{ValidationErrorKind, ValidationErrors};

/// Text that precedes the line and column in a message of serde_json.
const POSITION_PREFIX: &str = " at line ";

/// Collects the first type error of each item of a document. `error` is the one at which deserialization stopped; it is
/// reported if no item has a type error.
pub(super) fn collect_type_errors(text: &str, error: &serde_json::Error) -> ValidationErrors {
    let Ok(Value::Object(fields)) = serde_json::from_str(text) else {
        return ValidationErrors::unreadable(error);
    };
    let mut collector = TypeErrorCollector { fields, errors: ValidationErrors::default() };
    collector.check_field::<Option<u64>>(REVISION);
    collector.check_items::<JsonRoute>(ROUTES);
    collector.check_items::<JsonService>(SERVICES);
    collector.check_field::<Option<Object<JsonCaps>>>(CAPS);
    collector.check_items::<JsonTenant>(TENANTS);
    if collector.errors.is_empty() { ValidationErrors::unreadable(error) } else { collector.errors }
}

/// Converts the error of a value that was deserialized separately. The line and column in its message are relative to
/// that value, so they are removed.
pub(crate) fn wrong_type(error: &serde_json::Error) -> ValidationErrorKind {
    let text = error.to_string();
    let message = text.split(POSITION_PREFIX).next().unwrap_or_default().to_owned();
    ValidationErrorKind::WrongType { message }
}

struct TypeErrorCollector {
    fields: Map<String, Value>,
    errors: ValidationErrors,
}

impl TypeErrorCollector {
    fn check_items<T: DeserializeOwned>(&mut self, list: &str) {
        let Some(Value::Array(items)) = self.fields.get(list) else {
            self.check_field::<Option<Vec<Object<T>>>>(list);
            return;
        };
        for (index, item) in items.iter().enumerate() {
            check_type::<Object<T>>(&mut self.errors, &format!("{list}[{index}]"), item);
        }
    }

    fn check_field<T: DeserializeOwned>(&mut self, name: &str) {
        if let Some(value) = self.fields.get(name) {
            check_type::<T>(&mut self.errors, name, value);
        }
    }
}

/// Adds an error if `value` can't be deserialized as `T`.
fn check_type<T: DeserializeOwned>(errors: &mut ValidationErrors, path: &str, value: &Value) {
    let Err(error) = serde_path_to_error::deserialize::<_, T>(value) else { return };
    let path = match error.path().iter().next() {
        None => path.to_owned(),
        Some(Segment::Seq { .. }) => format!("{path}{}", error.path()),
        Some(_) => format!("{path}.{}", error.path()),
    };
    errors.add(path, wrong_type(error.inner()));
}
