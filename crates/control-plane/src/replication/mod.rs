//! Agreement on the control state: who is primary, which members store the data, and its replication.
//!
//! The protocol is primary-backup replication with views (Viewstamped Replication), where views are agreed on by
//! Paxos (prepare, promise) and changes of voters need both old and new majorities (raft's joint consensus). An entry
//! commits once all data replicas of the view have it on disk; the primary acts within a lease that voters grant by
//! acknowledging its heartbeats.
//!
//! The state machine does no I/O and reads no clock. Its owner hands in messages, durable writes that have
//! finished and the time of a steady clock, and carries out the [`Output`]s in their order.
//! `docs/design/control.md` ("Control state") says why it is correct.
//!
//! What the owner guarantees:
//! - records of a [`Output::Persist`] are written and synced in order, tickets in order; a write that was
//!   refused is retried until it succeeds, with [`Input::DiskHealthy`] reporting the fault;
//! - on start, [`DurableState`] is what the records read back give, by [`DurableState::apply`];
//! - a formatted disk has generation 0 only while `first_boot` is true, and its first record holds the
//!   generation together with [`ReplicationSettings::first_view`].
//!
//! `machine` has the state, composed of parts with one job each. The handlers of messages and timers extend it in
//! modules of their own, one an exchange of the protocol; `step` dispatches to them.

// What the owner hands in and gets back.
mod durable;
mod interface;
mod settings;
mod ticket;
mod timing;

// Parts of the state.
mod discovery;
mod election;
mod leadership;
mod lease;
mod lifecycle;
mod outbox;
mod peers;
mod pending_writes;
mod progress;
mod proposals;
mod quorum;
mod storage;
mod sync_phase;
pub mod transfer;
mod view_change;
mod view_selection;
mod vote;

// The state machine, and its handlers.
mod append;
mod campaign;
mod departure;
mod heartbeat;
mod install;
mod join;
mod machine;
mod primary;
mod reconfigure;
mod step;
mod sync;
mod voter;

pub use departure::Departure;
pub use durable::{DurableRecord, DurableState, LogPosition};
pub use interface::{FailureReason, Input, LiveMember, Output, Role};
pub use machine::Replication;
pub use settings::ReplicationSettings;
pub use ticket::{ProposalTicket, WriteTicket};
pub use timing::max_write_duration;
