//! Paths of items and their fields in a document, as reported in validation errors.

/// The position of an item in one of the document's lists.
#[derive(Clone, Copy)]
pub(super) struct ItemPath {
    /// Field name of the list.
    pub list: &'static str,
    /// Index in the list, from 0.
    pub index: usize,
}

impl ItemPath {
    /// The path of the item, for example `routes[3]`.
    pub(super) fn path(self) -> String {
        format!("{}[{}]", self.list, self.index)
    }

    /// The path of a field of the item, for example `routes[3].label`.
    pub(super) fn field(self, name: &str) -> String {
        format!("{}[{}].{name}", self.list, self.index)
    }
}
