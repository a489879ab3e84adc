//! Inputs and outputs of the state machine.

use std::sync::Arc;

use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::number::{Epoch, SequenceNumber};
use tulipridge_protocol::replication::Envelope;

use super::durable::DurableRecord;
use super::ticket::{ProposalTicket, WriteTicket};

/// An input from the owner.
#[derive(Clone, Debug)]
pub enum Input {
    /// A deadline has passed.
    Tick,
    /// A message has arrived.
    Message(Envelope),
    /// All records up to this ticket are durable.
    Persisted {
        /// The ticket of [`Output::Persist`].
        ticket: WriteTicket,
    },
    /// A command that the primary should replicate.
    Propose {
        /// The owner's identifier of the proposal.
        ticket: ProposalTicket,
        /// The encoded command.
        command: Arc<[u8]>,
    },
    /// A snapshot of the state after the applied entry `sequence`: the entries up to it may be dropped.
    Compact {
        /// The newest entry in the snapshot.
        sequence: SequenceNumber,
        /// The encoded state.
        snapshot: Arc<[u8]>,
    },
    /// Whether the disk completes writes in time.
    DiskHealthy(bool),
    /// Addresses at which other members may be running. Their generations are ignored.
    KnownNodes(Vec<NodeId>),
    /// The process received the signal to shut down.
    Shutdown,
}

/// An action that the owner carries out. Actions are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message. It may be lost.
    Send(Envelope),
    /// Write and sync the records in order, then report with [`Input::Persisted`].
    Persist {
        /// Increases by one with each batch.
        ticket: WriteTicket,
        /// The records to write.
        records: Vec<DurableRecord>,
    },
    /// Apply a committed entry. Entries come in order without gaps.
    Apply {
        /// The sequence number of the entry.
        sequence: SequenceNumber,
        /// The encoded command.
        command: Arc<[u8]>,
        /// The ticket of the proposal, at the member that proposed it.
        proposal: Option<ProposalTicket>,
    },
    /// Replace the state by this snapshot.
    Restore {
        /// The newest entry in the snapshot.
        sequence: SequenceNumber,
        /// The encoded state; empty for the state before the first entry.
        snapshot: Arc<[u8]>,
    },
    /// A proposal has failed: no [`Output::Apply`] will carry its ticket.
    ProposalFailed {
        /// The ticket of the proposal.
        proposal: ProposalTicket,
        /// Whether it may still take effect.
        reason: FailureReason,
    },
    /// This member's role has changed.
    RoleChanged(Role),
}

/// A member that acknowledges the heartbeats of the primary.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LiveMember {
    /// The member.
    pub node: NodeId,
    /// The zone of the member.
    pub zone: String,
}

/// Why a proposal failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// The command was never replicated and will not take effect.
    NotReplicated,
    /// The member ceased to be primary while the proposal was pending: it may or may not take effect.
    OutcomeUnknown,
}

/// The role of a member in the newest view that it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Neither votes nor stores data.
    Standby,
    /// Votes.
    Voter,
    /// Votes and stores data.
    Backup,
    /// Orders the entries of this epoch. May act only while [`super::Replication::is_primary`] holds.
    Primary {
        /// The view's epoch.
        epoch: Epoch,
    },
}
