//! Names of the top-level JSON fields of the operator's configuration, and of the label of each item.

/// The revision that the operator gives the document.
pub(crate) const REVISION: &str = "revision";
/// The list of routes.
pub(crate) const ROUTES: &str = "routes";
/// The list of services.
pub(crate) const SERVICES: &str = "backends";
/// The list of tenants.
pub(crate) const TENANTS: &str = "customers";
/// The limits on clients.
pub(crate) const CAPS: &str = "caps";
/// The label of an item, unique in its list.
pub(crate) const LABEL: &str = "label";
