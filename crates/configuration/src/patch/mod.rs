//! Patches of a configuration: items to add or replace, and labels of items to remove.
//!
//! Items are copied as the text that the operator sent, so that fields that the system doesn't know are preserved.

mod parser;
mod raw_fields;

use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap, HashSet};

use serde::Deserialize;
use serde_json::value::RawValue;

use raw_fields::RawFields;

use crate::document::Document;
use crate::fields::REVISION;
use crate::json::Object;
use crate::number::Revision;
use crate::validation_error::ValidationErrors;

/// An operator's patch with a valid form. The items are validated when the patch is applied to a document.
#[derive(Clone, Debug, Default)]
pub struct Patch {
    revision: Revision,
    upserts: Vec<Upsert>,
    removals: Vec<Removal>,
    replacements: Vec<Replacement>,
}

/// Items that replace the items of a list that have the same labels, or are appended to the list.
#[derive(Clone, Debug)]
struct Upsert {
    list: String,
    items: Vec<LabelledItem>,
}

#[derive(Clone, Debug)]
struct LabelledItem {
    label: String,
    text: Box<RawValue>,
}

/// Labels of items to remove from a list.
#[derive(Clone, Debug)]
struct Removal {
    list: String,
    labels: HashSet<String>,
}

/// A field that is not a list of items. Its new value replaces the old one completely.
#[derive(Clone, Debug)]
struct Replacement {
    field: String,
    text: Box<RawValue>,
}

impl Patch {
    /// Parses a patch and validates its form.
    ///
    /// # Errors
    ///
    /// All errors of the form, each with its path.
    pub fn parse(bytes: &[u8]) -> Result<Patch, ValidationErrors> {
        parser::parse_patch(bytes)
    }

    /// Parses a patch that was accepted earlier, without validating its form: the version that accepted it may have
    /// validated less. A new patch is parsed with [`Patch::parse`].
    ///
    /// # Errors
    ///
    /// If the bytes are not a JSON object.
    pub(crate) fn restore(bytes: &[u8]) -> Result<Patch, ValidationErrors> {
        parser::restore_patch(bytes)
    }

    /// The revision of the resulting document.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }
}

impl Document {
    /// Applies a patch. Items are removed before others are added or replaced. Remaining items keep their order, a
    /// replaced item keeps its position, and new items are appended. The removal of an unknown label has no effect.
    ///
    /// # Errors
    ///
    /// The validation errors of the resulting document.
    pub fn apply(&self, patch: &Patch) -> Result<Document, ValidationErrors> {
        Document::parse(&self.patched_text(patch)?)
    }

    /// Applies a patch that was accepted earlier, like [`Document::apply`] but without validating the result.
    ///
    /// # Errors
    ///
    /// If the resulting document can't be parsed.
    pub(crate) fn apply_accepted(&self, patch: &Patch) -> Result<Document, ValidationErrors> {
        Document::restore(&self.patched_text(patch)?)
    }

    fn patched_text(&self, patch: &Patch) -> Result<Vec<u8>, ValidationErrors> {
        patched_text(self.text(), patch).map_err(|error| ValidationErrors::unreadable(&error))
    }
}

/// The JSON text of a document after a patch.
fn patched_text(document: &[u8], patch: &Patch) -> Result<Vec<u8>, serde_json::Error> {
    let fields: RawFields<'_> = serde_json::from_slice(document)?;
    let mut merged: BTreeMap<&str, Cow<'_, RawValue>> = BTreeMap::new();
    merged.extend(fields.iter().map(|(name, text)| (name, Cow::Borrowed(text))));
    merged.insert(REVISION, Cow::Owned(to_raw_value(&patch.revision)?));
    for replacement in &patch.replacements {
        merged.insert(&replacement.field, Cow::Borrowed(&replacement.text));
    }
    for removal in &patch.removals {
        if let Some(items) = merged.get(removal.list.as_str()).and_then(|text| items_of(text)) {
            let text = to_raw_value(&removal.apply(items))?;
            merged.insert(&removal.list, Cow::Owned(text));
        }
    }
    for upsert in &patch.upserts {
        let items = merged.get(upsert.list.as_str()).and_then(|text| items_of(text)).unwrap_or_default();
        let text = to_raw_value(&upsert.apply(items))?;
        merged.insert(&upsert.list, Cow::Owned(text));
    }
    serde_json::to_vec(&merged)
}

impl Removal {
    /// Returns the remaining items.
    fn apply<'a>(&self, mut items: Vec<&'a RawValue>) -> Vec<&'a RawValue> {
        items.retain(|item| label_of(item).is_none_or(|label| !self.labels.contains(label.as_ref())));
        items
    }
}

impl Upsert {
    /// Returns the items with the replaced and appended ones.
    fn apply<'a>(&'a self, mut items: Vec<&'a RawValue>) -> Vec<&'a RawValue> {
        let labels = items.iter().enumerate().filter_map(|(index, item)| Some((label_of(item)?, index)));
        let index_by_label: HashMap<Cow<'_, str>, usize> = labels.collect();
        for item in &self.items {
            match index_by_label.get(item.label.as_str()) {
                Some(index) => items[*index] = &item.text,
                None => items.push(&item.text),
            }
        }
        items
    }
}

/// The items of a list, each as its JSON text; `None` if the text is not a JSON array.
fn items_of(text: &RawValue) -> Option<Vec<&RawValue>> {
    serde_json::from_str(text.get()).ok()
}

/// The label of an item; `None` if the label is missing or not a string.
fn label_of(item: &RawValue) -> Option<Cow<'_, str>> {
    #[derive(Deserialize)]
    struct Labelled<'a> {
        #[serde(borrow)]
        label: Cow<'a, str>,
    }
    let item: Result<Object<Labelled<'_>>, _> = serde_json::from_str(item.get());
    item.ok().map(|Object(item)| item.label)
}

fn to_raw_value<T: serde::Serialize>(value: &T) -> Result<Box<RawValue>, serde_json::Error> {
    serde_json::value::to_raw_value(value)
}
