//! Typed messages between the processes of the system, encoded with musli and framed by a length prefix.
//!
//! Three protocols share the framing: [`feed`] carries state from the control plane towards the data plane,
//! [`replication`] replicates the state among the members of the control plane, and [`peer_sampling`] exchanges partial
//! views of the running processes.

pub mod feed;
pub mod frame;
pub mod node;
pub mod number;
pub mod peer_sampling;
mod queued_work_entries;
pub mod replication;
pub mod shared_bytes;
