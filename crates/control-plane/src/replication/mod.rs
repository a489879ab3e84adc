//! Consensus on the control state: elects the primary, selects the members that store the data, and replicates it.
//!
//! The protocol is primary-backup replication with views (Viewstamped Replication). Views are agreed on by Paxos
//! (prepare, promise), and a change of voters needs a majority of both the old and the new ones (Raft's joint
//! consensus). An entry commits once all data replicas of the view have it on disk. The primary acts within a lease
//! that voters grant by acknowledging its heartbeats.
//!
//! The state machine does no I/O and reads no clock. Its owner passes in messages, completed durable writes and
//! the time of a monotonic clock, and carries out the [`Output`]s in order.
//! `docs/design/control.md` ("Control state") explains why it is correct.
//!
//! What the owner guarantees:
//! - the records of an [`Output::Persist`] are written and synced in order, and so are the tickets; a write that
//!   fails is retried until it succeeds, with [`Input::DiskHealthy`] reporting the fault;
//! - at startup, [`DurableState`] is the result of replaying the stored records with [`DurableState::apply`];
//! - a formatted disk has generation 0 only while `first_boot` is true, and its first record holds the
//!   generation together with [`ReplicationSettings::first_view`].
//!
//! `machine` holds the state, composed of parts with one responsibility each. The handlers of messages and timers
//! extend it in separate modules, one per exchange of the protocol; `step` dispatches to them.

// The interface to the owner, and values that all parts share.
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

// The state machine and its handlers.
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
