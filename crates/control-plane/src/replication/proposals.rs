//! Proposals of the owner that the primary has accepted and that have no outcome yet.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use tulipridge_protocol::number::SequenceNumber;

use super::interface::{FailureReason, Output};
use super::ticket::ProposalTicket;
use super::timing::MAX_PROPOSAL_WAIT;

/// A proposal that waits for the end of a view change. Its command was never replicated.
#[derive(Clone, Debug)]
pub(super) struct QueuedProposal {
    /// The owner's identifier of the proposal.
    pub(super) ticket: ProposalTicket,
    /// The encoded command.
    pub(super) command: Arc<[u8]>,
    /// When the owner made the proposal.
    pub(super) queued_at: Duration,
}

/// All proposals without an outcome.
#[derive(Clone, Debug, Default)]
pub(super) struct Proposals {
    /// Tickets by the sequence number of their entry.
    replicating: BTreeMap<SequenceNumber, ProposalTicket>,
    queued: VecDeque<QueuedProposal>,
}

impl Proposals {
    /// Records that the entry `sequence` carries the command of a proposal.
    pub(super) fn replicate(&mut self, sequence: SequenceNumber, ticket: ProposalTicket) {
        self.replicating.insert(sequence, ticket);
    }

    /// Queues a proposal until the view change has ended.
    pub(super) fn enqueue(&mut self, proposal: QueuedProposal) {
        self.queued.push_back(proposal);
    }

    /// Removes the proposal of an entry; returns its ticket.
    pub(super) fn take(&mut self, sequence: SequenceNumber) -> Option<ProposalTicket> {
        self.replicating.remove(&sequence)
    }

    /// Removes the proposals that wait for the end of a view change.
    pub(super) fn take_queued(&mut self) -> VecDeque<QueuedProposal> {
        std::mem::take(&mut self.queued)
    }

    /// Removes the next queued proposal that has exceeded [`MAX_PROPOSAL_WAIT`]; returns its failure.
    pub(super) fn expire_next(&mut self, now: Duration) -> Option<Output> {
        let is_expired =
            |queued: &QueuedProposal| now.saturating_sub(queued.queued_at) >= MAX_PROPOSAL_WAIT;
        let expired =
            self.queued.front().is_some_and(is_expired).then(|| self.queued.pop_front()).flatten();
        expired.map(|queued| failed(queued.ticket, FailureReason::NotReplicated))
    }

    /// The failures of all proposals, for a member that ceases to be primary.
    pub(super) fn into_failures(self) -> impl Iterator<Item = Output> {
        let replicating = self.replicating.into_values();
        let queued = self.queued.into_iter();
        replicating
            .map(|ticket| failed(ticket, FailureReason::OutcomeUnknown))
            .chain(queued.map(|proposal| failed(proposal.ticket, FailureReason::NotReplicated)))
    }
}

fn failed(proposal: ProposalTicket, reason: FailureReason) -> Output {
    Output::ProposalFailed { proposal, reason }
}
