//! Names of the fields that the operator's JSON has at the top, and of each item's label.

/// The version number.
pub const REVISION: &str = "revision";
/// The list of routes.
pub const ROUTES: &str = "routes";
/// The list of services.
pub const SERVICES: &str = "backends";
/// The list of tenants.
pub const TENANTS: &str = "customers";
/// The limits on clients.
pub const CAPS: &str = "caps";
/// The name of an item, unique in its list.
pub const LABEL: &str = "label";
