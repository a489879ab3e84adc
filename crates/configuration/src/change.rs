//! A change of named items: which to add or replace, and which to remove.
//!
//! Items are moved as the text that the operator sent, so fields that the system doesn't know stay as they
//! are.

use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap, HashSet};

use serde::Deserialize;
use serde_json::value::RawValue;

use crate::document::Document;
use crate::fields::{CAPS, LABEL, REVISION, ROUTES, SERVICES, TENANTS};
use crate::findings::{Fault, Findings};
use crate::wire::{self, Object};

const UPSERT: &str = "upsert";
const REMOVE: &str = "remove";
const NULL: &str = "null";

/// Lists that each configuration may have; others are merged alike where a change names them.
const KNOWN_LISTS: [&str; 3] = [ROUTES, SERVICES, TENANTS];

/// The fields of an object, each as its text.
type RawFields<'a> = BTreeMap<Cow<'a, str>, &'a RawValue>;

/// A change as the operator sent it, its form checked. Whether its items are valid shows when it is
/// applied.
#[derive(Clone, Debug, Default)]
pub struct Patch {
    revision: u64,
    upserts: Vec<Upsert>,
    removals: Vec<Removal>,
    replacements: Vec<Replacement>,
}

/// Items to add to a list, or to put in the place of those with the same label.
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

/// A field that is no list and is replaced whole.
#[derive(Clone, Debug)]
struct Replacement {
    field: String,
    text: Box<RawValue>,
}

impl Patch {
    /// Reads a change and checks its form.
    pub fn parse(bytes: &[u8]) -> Result<Patch, Findings> {
        let fields: RawFields = serde_json::from_slice(bytes).map_err(|error| wire::unreadable(&error))?;
        let mut reader = PatchReader::default();
        reader.read(&fields);
        reader.findings.or(reader.patch)
    }

    /// The revision that the change leads to.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }
}

impl Document {
    /// The document that a change leads to, checked. Removals go before additions. Items keep their order,
    /// those replaced their place, and new ones follow at the end. Removing a label that isn't there
    /// changes nothing.
    pub fn apply(&self, patch: &Patch) -> Result<Document, Findings> {
        let bytes = patched(self.text(), patch).map_err(|error| wire::unreadable(&error))?;
        Document::parse(&bytes)
    }
}

/// The text of the document that a change leads to.
fn patched(document: &[u8], patch: &Patch) -> Result<Vec<u8>, serde_json::Error> {
    let fields: RawFields = serde_json::from_slice(document)?;
    let mut changed: BTreeMap<&str, Cow<RawValue>> = BTreeMap::new();
    changed.extend(fields.iter().map(|(name, text)| (name.as_ref(), Cow::Borrowed(*text))));
    changed.insert(REVISION, Cow::Owned(raw(&patch.revision)?));
    for replacement in &patch.replacements {
        changed.insert(&replacement.field, Cow::Borrowed(&replacement.text));
    }
    for removal in &patch.removals {
        if let Some(items) = changed.get(removal.list.as_str()).and_then(|text| items_of(text)) {
            let text = raw(&removal.kept(items))?;
            changed.insert(&removal.list, Cow::Owned(text));
        }
    }
    for upsert in &patch.upserts {
        let items = changed.get(upsert.list.as_str()).and_then(|text| items_of(text)).unwrap_or_default();
        let text = raw(&upsert.merged(items))?;
        changed.insert(&upsert.list, Cow::Owned(text));
    }
    serde_json::to_vec(&changed)
}

impl Removal {
    fn kept<'a>(&self, mut items: Vec<&'a RawValue>) -> Vec<&'a RawValue> {
        items.retain(|item| label_of(item).is_none_or(|label| !self.labels.contains(label.as_ref())));
        items
    }
}

impl Upsert {
    fn merged<'a>(&'a self, mut items: Vec<&'a RawValue>) -> Vec<&'a RawValue> {
        let labels = items.iter().enumerate().filter_map(|(place, item)| Some((label_of(item)?, place)));
        let places: HashMap<Cow<str>, usize> = labels.collect();
        for item in &self.items {
            match places.get(item.label.as_str()) {
                Some(place) => items[*place] = &item.text,
                None => items.push(&item.text),
            }
        }
        items
    }
}

/// The items of a list, each as its text; none if the text is no list.
fn items_of(text: &RawValue) -> Option<Vec<&RawValue>> {
    serde_json::from_str(text.get()).ok()
}

/// An item's label; none if it has none, or one that is no text.
fn label_of(item: &RawValue) -> Option<Cow<'_, str>> {
    #[derive(Deserialize)]
    struct Labelled<'a> {
        #[serde(borrow)]
        label: Cow<'a, str>,
    }
    let item: Result<Object<Labelled>, _> = serde_json::from_str(item.get());
    item.ok().map(|Object(item)| item.label)
}

fn raw<T: serde::Serialize>(value: &T) -> Result<Box<RawValue>, serde_json::Error> {
    serde_json::value::to_raw_value(value)
}

/// Reads a change, and collects what is wrong with its form.
#[derive(Default)]
struct PatchReader {
    patch: Patch,
    findings: Findings,
}

impl PatchReader {
    fn read(&mut self, fields: &RawFields) {
        self.patch.revision = self.revision(fields);
        if let Some(text) = fields.get(CAPS) {
            self.replacement(CAPS, text);
        }
        for (name, text) in self.object(fields, UPSERT) {
            self.upsert(&name, text);
        }
        for (name, text) in self.object(fields, REMOVE) {
            self.removal(&name, text);
        }
    }

    fn revision(&mut self, fields: &RawFields) -> u64 {
        let Some(text) = fields.get(REVISION).filter(|text| text.get() != NULL) else {
            self.findings.add(REVISION, Fault::Missing);
            return 0;
        };
        self.typed(text, || REVISION.to_owned())
    }

    fn object<'a>(&mut self, fields: &RawFields<'a>, name: &str) -> RawFields<'a> {
        match fields.get(name) {
            Some(text) if text.get() != NULL => self.typed(text, || name.to_owned()),
            _ => RawFields::new(),
        }
    }

    fn upsert(&mut self, field: &str, text: &RawValue) {
        let is_list = text.get().starts_with('[');
        if !is_list && !KNOWN_LISTS.contains(&field) {
            self.replacement(field, text);
            return;
        }
        let items = self.typed(text, || format!("{UPSERT}.{field}"));
        let items = self.labelled(field, items);
        self.patch.upserts.push(Upsert { list: field.to_owned(), items });
    }

    fn labelled(&mut self, list: &str, items: Vec<&RawValue>) -> Vec<LabelledItem> {
        let mut first_at: HashMap<String, usize> = HashMap::new();
        let mut labelled = Vec::with_capacity(items.len());
        for (index, item) in items.into_iter().enumerate() {
            let place = || format!("{UPSERT}.{list}[{index}].{LABEL}");
            let Some(label) = label_of(item).map(Cow::into_owned) else {
                self.findings.add(place(), Fault::Missing);
                continue;
            };
            let first = *first_at.entry(label.clone()).or_insert(index);
            if first != index {
                self.findings.add(place(), Fault::SameLabel { other: format!("{UPSERT}.{list}[{first}]") });
            }
            labelled.push(LabelledItem { label, text: item.to_owned() });
        }
        labelled
    }

    fn removal(&mut self, list: &str, text: &RawValue) {
        let labels = self.typed(text, || format!("{REMOVE}.{list}"));
        self.patch.removals.push(Removal { list: list.to_owned(), labels });
    }

    fn replacement(&mut self, field: &str, text: &RawValue) {
        self.patch.replacements.push(Replacement { field: field.to_owned(), text: text.to_owned() });
    }

    fn typed<'a, T>(&mut self, text: &'a RawValue, place: impl FnOnce() -> String) -> T
    where
        T: Deserialize<'a> + Default,
    {
        serde_json::from_str(text.get()).unwrap_or_else(|error| {
            self.findings.add(place(), wire::wrong_value(&error));
            T::default()
        })
    }
}
