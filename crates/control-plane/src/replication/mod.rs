//! Agreement on the control state: who is primary, which members hold the data, and its replication.
//!
//! The state machine does no I/O and reads no clock. Its owner hands in messages, durable writes that have
//! finished and the time of a steady clock, and carries out the [`Output`]s in their order.
//! `docs/design/system.md` ("Control state") says why it holds.
//!
//! What the owner promises:
//! - records of a [`Output::Persist`] are written and synced in order, tickets in order; a write that was
//!   refused is tried again until it succeeds, with [`Input::DiskHealthy`] telling of the trouble;
//! - on start, [`DurableState`] is what the records read back give, by [`DurableState::apply`];
//! - a formatted disk has generation 0 only while `first_boot` is true, and its first record holds the
//!   generation together with [`ReplicationSettings::first_view`].

mod campaign;
mod departure;
mod durable;
mod follower;
mod interface;
mod journal;
mod leader;
mod machine;
mod membership;
mod peers;
mod progress;
mod quorum;
mod settings;
mod sync;
pub mod transfer;

pub use departure::Departure;
pub use durable::{DataMark, DurableRecord, DurableState};
pub use interface::{FailureReason, Input, Output, Role};
pub use machine::Replication;
pub use settings::{ReplicationSettings, longest_write};
