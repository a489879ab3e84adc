//! The fields of a JSON object, of which the values are not parsed.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use serde::de::{Deserializer, MapAccess, Visitor};
use serde_json::value::RawValue;

/// The fields of a JSON object by name, each as its JSON text. Of several fields with one name the last one counts.
#[derive(Debug, Default)]
pub(super) struct RawFields<'a> {
    texts: BTreeMap<String, &'a RawValue>,
    repeated_names: Vec<String>,
}

impl<'a> RawFields<'a> {
    /// The text of a field's value.
    pub(super) fn get(&self, name: &str) -> Option<&'a RawValue> {
        self.texts.get(name).copied()
    }

    /// The names and texts in the order of the names.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&str, &'a RawValue)> {
        self.texts.iter().map(|(name, text)| (name.as_str(), *text))
    }

    /// The names that occur more than once, in the order of the repetitions.
    pub(super) fn repeated_names(&self) -> impl Iterator<Item = &str> {
        self.repeated_names.iter().map(String::as_str)
    }
}

impl<'de> Deserialize<'de> for RawFields<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(RawFieldsVisitor)
    }
}

struct RawFieldsVisitor;

impl<'de> Visitor<'de> for RawFieldsVisitor {
    type Value = RawFields<'de>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<RawFields<'de>, A::Error> {
        let mut fields = RawFields::default();
        while let Some((name, text)) = entries.next_entry::<String, &'de RawValue>()? {
            if fields.texts.insert(name.clone(), text).is_some() {
                fields.repeated_names.push(name);
            }
        }
        Ok(fields)
    }
}
