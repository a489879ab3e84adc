//! The operator's configuration: what it holds, how it is read and checked, how a change is applied to it,
//! and how a request finds its route in it. No I/O and no clock.

pub mod change;
pub mod check;
pub mod delta;
pub mod difference;
mod digest;
pub mod document;
pub mod encoding;
pub mod entry;
mod fields;
pub mod findings;
pub mod history;
pub mod lookup;
pub mod model;
mod precision;
pub mod remembered;
mod wire;

pub use change::Patch;
pub use delta::Delta;
pub use difference::ConfigurationChanges;
pub use digest::RequestDigest;
pub use document::{Document, DocumentVersion};
pub use entry::{ApplyError, ChangeEntry};
pub use findings::{Fault, Finding, Findings};
pub use history::{AcceptedChange, ConfigurationState, Decision, EntryOutcome, SnapshotError};
pub use lookup::RoutingTable;
pub use model::{Caps, Configuration, Route, RouteKind, Service, ServiceRuntime, Share, Tenant};
pub use remembered::{REMEMBERED_CALLS, RememberedCalls};
