//! The operator's configuration: its typed model, parsing and validation, patches, versions, and the routing of requests.
//! No I/O and no clock.
//!
//! An operator's request passes through the modules in this order: [`configuration_state`] decides on it, with
//! [`document`] and [`patch`] parsing and validating what was sent; an accepted change becomes an [`entry`] of the
//! replicated log; [`difference`] is what the data plane receives, and [`lookup`] is how it routes by it.

pub mod configuration_state;
pub mod delta;
pub mod difference;
pub mod document;
pub mod encoding;
pub mod entry;
mod fields;
mod json;
pub mod lookup;
pub mod model;
pub mod number;
mod parse;
pub mod patch;
mod precision;
pub mod recent_requests;
mod request_digest;
pub mod validation_error;

pub use configuration_state::{AcceptedChange, ConfigurationState, Decision, EntryOutcome, SnapshotError};
pub use delta::Delta;
pub use difference::ConfigurationChanges;
pub use document::{Document, DocumentVersion};
pub use entry::{ApplyError, ChangeEntry};
pub use lookup::RoutingTable;
pub use model::{Caps, Configuration, Route, RouteKind, Service, ServiceRuntime, ServiceWeight, Tenant};
pub use patch::Patch;
pub use recent_requests::{MAX_RECENT_REQUESTS, RecentRequests};
pub use request_digest::RequestDigest;
pub use validation_error::{ValidationError, ValidationErrorKind, ValidationErrors};
