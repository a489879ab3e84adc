//! Parsing and validation of the operator's configuration. All errors are reported together, each with its path.
//!
//! The `schematic` crate does not fit here: it stops at the first value of a wrong type, can't validate one list
//! against another, and took about twice the time.

mod item_path;
mod routes;
mod services;
mod tenants;

use std::collections::HashMap;

use item_path::ItemPath;

use crate::fields::{LABEL, REVISION};
use crate::json::{JsonCaps, JsonDocument, Object, UnsignedNumber};
use crate::model::{ClientLimits, Configuration, Labelled};
use crate::number::Revision;
use crate::validation_error::{ValidationErrorKind, ValidationErrors};

/// The typed form of a configuration, and the rules that its values violate.
pub(crate) struct ParsedConfiguration {
    /// The typed form. A value that is missing or violates a rule may be replaced by its type's default.
    pub configuration: Configuration,
    /// The violations; empty for a valid configuration.
    pub violations: ValidationErrors,
}

/// Parses a complete configuration and validates the meaning of its values.
///
/// # Errors
///
/// If the bytes can't be parsed, or if values have wrong types. The meaning of values is not validated then.
pub(crate) fn parse_configuration(bytes: &[u8]) -> Result<ParsedConfiguration, ValidationErrors> {
    let document = JsonDocument::from_bytes(bytes)?;
    let mut parser = Parser::default();
    let configuration = parser.configuration(document);
    Ok(ParsedConfiguration { configuration, violations: parser.errors })
}

/// The kind of service that a label identifies.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ServiceKind {
    Replicas,
    Store,
}

/// Converts the JSON form to the typed form and collects validation errors.
#[derive(Default)]
struct Parser {
    errors: ValidationErrors,
    service_kinds: HashMap<String, ServiceKind>,
}

impl Parser {
    fn configuration(&mut self, document: JsonDocument) -> Configuration {
        let revision = self.required(document.revision, || REVISION.to_owned());
        // The services are parsed first because routes refer to them.
        let services = self.services(document.backends);
        let routes = self.routes(document.routes);
        let requires_key = document.customers.is_some();
        let tenants = self.tenants(document.customers);
        let caps = caps(document.caps.unwrap_or_default().0);
        Configuration { revision: Revision(revision), routes, services, caps, requires_key, tenants }
    }

    /// Converts the items of a list and checks that their labels are unique.
    fn items<J, T: Labelled>(
        &mut self,
        list: &'static str,
        json_items: Vec<Object<J>>,
        convert: fn(&mut Self, ItemPath, J) -> T,
    ) -> Vec<T> {
        let mut items = Vec::with_capacity(json_items.len());
        for (index, Object(item)) in json_items.into_iter().enumerate() {
            items.push(convert(self, ItemPath { list, index }, item));
        }
        self.check_unique_labels(list, &items);
        items
    }

    fn check_unique_labels<T: Labelled>(&mut self, list: &'static str, items: &[T]) {
        let mut first_index_by_label: HashMap<&str, usize> = HashMap::new();
        let labels = items.iter().map(Labelled::label).enumerate();
        for (index, label) in labels.filter(|(_, label)| !label.is_empty()) {
            let first = *first_index_by_label.entry(label).or_insert(index);
            if first != index {
                let other = ItemPath { list, index: first }.path();
                let path = ItemPath { list, index }.field(LABEL);
                self.errors.add(path, ValidationErrorKind::DuplicateLabel { other });
            }
        }
    }

    /// Unwraps a required string; a missing or empty one is reported.
    fn non_empty_string(&mut self, item: ItemPath, field: &str, value: Option<String>) -> String {
        if value.as_deref() == Some("") {
            self.errors.add(item.field(field), ValidationErrorKind::Empty);
        }
        self.required(value, || item.field(field))
    }

    /// Unwraps a required value. If it is missing, this is reported and the default is returned.
    fn required<T: Default>(&mut self, value: Option<T>, path: impl FnOnce() -> String) -> T {
        if value.is_none() {
            self.errors.add(path(), ValidationErrorKind::Missing);
        }
        value.unwrap_or_default()
    }
}

fn caps(json: JsonCaps) -> ClientLimits {
    let default = ClientLimits::default();
    let or_default = |value: Option<UnsignedNumber>, default: u64| value.map_or(default, |value| value.0);
    ClientLimits {
        head_bytes: or_default(json.head_size_bytes, default.head_bytes),
        body_bytes: or_default(json.body_size_bytes, default.body_bytes),
        head_wait_ms: or_default(json.head_wait_ms, default.head_wait_ms),
        idle_ms: or_default(json.quiet_ms, default.idle_ms),
    }
}
