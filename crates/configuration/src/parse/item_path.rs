//! Paths of a document's values, as validation errors name them.

/// An item of one of the document's lists.
#[derive(Clone, Copy)]
pub(super) struct ItemPath {
    /// The list's field name.
    pub list: &'static str,
    /// The item's index in it, from 0.
    pub index: usize,
}

impl ItemPath {
    /// The path to the item, as in `routes[3]`.
    pub(super) fn path(self) -> String {
        format!("{}[{}]", self.list, self.index)
    }

    /// The path to a field of the item, as in `routes[3].label`.
    pub(super) fn field(self, name: &str) -> String {
        format!("{}[{}].{name}", self.list, self.index)
    }
}
