//! Names of the top-level fields of the operator's JSON, and of each item's label.

/// The operator's version number.
pub(crate) const REVISION: &str = "revision";
/// The list of routes.
pub(crate) const ROUTES: &str = "routes";
/// The list of services.
pub(crate) const SERVICES: &str = "backends";
/// The list of tenants.
pub(crate) const TENANTS: &str = "customers";
/// The limits on clients.
pub(crate) const CAPS: &str = "caps";
/// The name of an item, unique in its list.
pub(crate) const LABEL: &str = "label";
