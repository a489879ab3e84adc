//! What goes into the state machine and what comes out.

use std::sync::Arc;

use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::number::{Epoch, SequenceNumber};
use tulipridge_protocol::replication::Envelope;

use super::durable::DurableRecord;
use super::ticket::{ProposalTicket, WriteTicket};

/// What the owner hands to the state machine.
#[derive(Clone, Debug)]
pub enum Input {
    /// A deadline has come.
    Tick,
    /// A message has arrived.
    Message(Envelope),
    /// All records up to this ticket are on disk.
    Persisted {
        /// The ticket of [`Output::Persist`].
        ticket: WriteTicket,
    },
    /// A command that the primary should replicate.
    Propose {
        /// The owner's name for it.
        ticket: ProposalTicket,
        /// The encoded command.
        command: Arc<[u8]>,
    },
    /// The state after the entry `sequence`, which has been applied: older entries may go.
    Compact {
        /// The newest entry in the snapshot.
        sequence: SequenceNumber,
        /// The encoded state.
        snapshot: Arc<[u8]>,
    },
    /// Whether the disk answers within its bound.
    DiskHealthy(bool),
    /// Addresses where members may be found. Generations do not matter.
    Known(Vec<NodeId>),
    /// The process is about to end.
    Terminate,
}

/// What the owner has to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message. It may be lost.
    Send(Envelope),
    /// Write and sync the records in order, then report with [`Input::Persisted`].
    Persist {
        /// Rises by one with each batch.
        ticket: WriteTicket,
        /// What to write.
        records: Vec<DurableRecord>,
    },
    /// An entry is committed. Comes in order without gaps.
    Apply {
        /// Its number.
        sequence: SequenceNumber,
        /// The encoded command.
        command: Arc<[u8]>,
        /// The ticket of the proposal, at the member where it was made.
        proposal: Option<ProposalTicket>,
    },
    /// The state starts anew from this snapshot.
    Restore {
        /// The newest entry in the snapshot.
        sequence: SequenceNumber,
        /// The encoded state; empty stands for the state before the first entry.
        snapshot: Arc<[u8]>,
    },
    /// No [`Output::Apply`] will name this proposal.
    ProposalFailed {
        /// Its ticket.
        proposal: ProposalTicket,
        /// Whether it may still take effect.
        reason: FailureReason,
    },
    /// This member's role has changed.
    RoleChanged(Role),
}

/// A member that answers the primary.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LiveMember {
    /// The member.
    pub node: NodeId,
    /// Its zone.
    pub zone: String,
}

/// Why a proposal failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// It was never replicated and will not take effect.
    NotReplicated,
    /// The member ceased to be primary while it waited: it may or may not take effect.
    OutcomeUnknown,
}

/// A member's role in the newest view that it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Neither votes nor stores data.
    Standby,
    /// Votes.
    Voter,
    /// Votes and stores data.
    Backup,
    /// Orders the entries of this epoch. Acts only while [`super::Replication::is_primary`].
    Primary {
        /// The view's epoch.
        epoch: Epoch,
    },
}
