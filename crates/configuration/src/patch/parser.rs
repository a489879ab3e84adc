//! Parser of the JSON form of a patch: `{"revision": ..., "caps": ..., "upsert": {...}, "remove": {...}}`.

use std::borrow::Cow;
use std::collections::HashMap;

use serde::Deserialize;
use serde_json::value::RawValue;

use super::{LabelledItem, Patch, RawFields, Removal, Replacement, Upsert, label_of};
use crate::fields::{CAPS, LABEL, REVISION, ROUTES, SERVICES, TENANTS};
use crate::json::wrong_type;
use crate::number::Revision;
use crate::validation_error::{ValidationErrorKind, ValidationErrors};

/// The field of a patch with the items to add or replace.
const UPSERT: &str = "upsert";
/// The field of a patch with the labels of items to remove.
const REMOVE: &str = "remove";

/// JSON text of a null value.
const NULL: &str = "null";

/// All fields of a patch. Fields with other names have no effect.
const PATCH_FIELDS: [&str; 4] = [REVISION, CAPS, UPSERT, REMOVE];

/// Fields of `upsert` whose values must be lists. A field with another name is merged by label if its value is a list,
/// and replaced otherwise.
const KNOWN_LISTS: [&str; 3] = [ROUTES, SERVICES, TENANTS];

/// Parses a patch and validates its form.
pub(super) fn parse_patch(bytes: &[u8]) -> Result<Patch, ValidationErrors> {
    let parser = PatchParser::read(bytes)?;
    parser.errors.into_result(parser.patch)
}

/// Parses a patch without validating its form.
pub(super) fn restore_patch(bytes: &[u8]) -> Result<Patch, ValidationErrors> {
    PatchParser::read(bytes).map(|parser| parser.patch)
}

/// Converts the JSON form of a patch and collects its errors.
#[derive(Default)]
struct PatchParser {
    patch: Patch,
    errors: ValidationErrors,
}

impl PatchParser {
    /// Parses a patch. An error means that the bytes are not a JSON object; all other errors are in the parser.
    fn read(bytes: &[u8]) -> Result<Self, ValidationErrors> {
        let fields: RawFields<'_> =
            serde_json::from_slice(bytes).map_err(|error| ValidationErrors::unreadable(&error))?;
        let mut parser = PatchParser::default();
        parser.parse(&fields);
        Ok(parser)
    }

    fn parse(&mut self, fields: &RawFields<'_>) {
        for name in fields.repeated_names().filter(|name| PATCH_FIELDS.contains(name)) {
            self.errors.add(name, ValidationErrorKind::RepeatedField);
        }
        self.patch.revision = self.revision(fields);
        if let Some(text) = fields.get(CAPS) {
            self.add_replacement(CAPS, text);
        }
        for (name, text) in self.object_fields(fields, UPSERT).iter() {
            self.add_upsert(name, text);
        }
        for (name, text) in self.object_fields(fields, REMOVE).iter() {
            self.add_removal(name, text);
        }
    }

    fn revision(&mut self, fields: &RawFields<'_>) -> Revision {
        let Some(text) = fields.get(REVISION).filter(|text| text.get() != NULL) else {
            self.errors.add(REVISION, ValidationErrorKind::Missing);
            return Revision(0);
        };
        self.parse_value(text, || REVISION.to_owned())
    }

    /// The fields of an object, of which repeated ones are reported; empty if the object is missing or null.
    fn object_fields<'a>(&mut self, fields: &RawFields<'a>, name: &str) -> RawFields<'a> {
        let Some(text) = fields.get(name).filter(|text| text.get() != NULL) else {
            return RawFields::default();
        };
        let object: RawFields<'a> = self.parse_value(text, || name.to_owned());
        for field in object.repeated_names() {
            self.errors.add(format!("{name}.{field}"), ValidationErrorKind::RepeatedField);
        }
        object
    }

    /// Adds an upsert of a list, or a replacement of any other field.
    fn add_upsert(&mut self, field: &str, text: &RawValue) {
        if field == REVISION {
            self.check_upserted_revision(text);
        }
        let is_list = text.get().starts_with('[');
        if !is_list && !KNOWN_LISTS.contains(&field) {
            self.add_replacement(field, text);
            return;
        }
        let items = self.parse_value(text, || format!("{UPSERT}.{field}"));
        let items = self.labelled_items(field, items);
        self.patch.upserts.push(Upsert { list: field.to_owned(), items });
    }

    /// Reports a revision in `upsert`, which would take effect instead of the patch's own, unless the two are equal.
    fn check_upserted_revision(&mut self, text: &RawValue) {
        let stated = self.patch.revision;
        let upserted: Option<Revision> = serde_json::from_str(text.get()).ok();
        if upserted != Some(stated) {
            let path = format!("{UPSERT}.{REVISION}");
            self.errors.add(path, ValidationErrorKind::RevisionMismatch { stated });
        }
    }

    /// The items of a list with their labels. Missing and duplicate labels are reported.
    fn labelled_items(&mut self, list: &str, items: Vec<&RawValue>) -> Vec<LabelledItem> {
        let mut first_index_by_label: HashMap<String, usize> = HashMap::new();
        let mut labelled = Vec::with_capacity(items.len());
        for (index, item) in items.into_iter().enumerate() {
            let path = || format!("{UPSERT}.{list}[{index}].{LABEL}");
            let Some(label) = label_of(item).map(Cow::into_owned) else {
                self.errors.add(path(), ValidationErrorKind::Missing);
                continue;
            };
            let first = *first_index_by_label.entry(label.clone()).or_insert(index);
            if first != index {
                let other = format!("{UPSERT}.{list}[{first}]");
                self.errors.add(path(), ValidationErrorKind::DuplicateLabel { other });
            }
            labelled.push(LabelledItem { label, text: item.to_owned() });
        }
        labelled
    }

    fn add_removal(&mut self, list: &str, text: &RawValue) {
        let labels = self.parse_value(text, || format!("{REMOVE}.{list}"));
        self.patch.removals.push(Removal { list: list.to_owned(), labels });
    }

    fn add_replacement(&mut self, field: &str, text: &RawValue) {
        self.patch.replacements.push(Replacement { field: field.to_owned(), text: text.to_owned() });
    }

    /// Parses a value of type `T`. A text of another type is reported, and the default is returned.
    fn parse_value<'a, T>(&mut self, text: &'a RawValue, path: impl FnOnce() -> String) -> T
    where
        T: Deserialize<'a> + Default,
    {
        serde_json::from_str(text.get()).unwrap_or_else(|error| {
            self.errors.add(path(), wrong_type(&error));
            T::default()
        })
    }
}
