//! Parsing, validation, patching and versioning of the operator's configuration, and the routing of requests by it.
//! Nothing in this package does I/O or reads a clock.
//!
//! An operator's request is processed in these steps: [`configuration_state`] decides on it and uses
//! [`document`] and [`patch`] to parse and validate the body; an accepted change becomes an [`entry`] of the
//! replicated log; the data plane receives a [`difference`] and routes requests with [`lookup`].

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
pub use model::{
    ClientLimits, Configuration, Route, RouteKind, Service, ServiceRuntime, ServiceWeight, Tenant,
};
pub use patch::Patch;
pub use recent_requests::{MAX_RECENT_REQUESTS, RecentRequests};
pub use request_digest::RequestDigest;
pub use validation_error::{ValidationError, ValidationErrorKind, ValidationErrors};
