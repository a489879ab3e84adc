//! This member's proposals that are waiting to be committed or applied.

use std::collections::BTreeMap;

use async_channel::{Receiver, Sender};
use tulipridge_protocol::number::SequenceNumber;

use crate::change::ProposalOutcome;
use crate::replication::{FailureReason, ProposalTicket};
use crate::state::Applied;

/// Pending proposals, keyed by ticket until their entry is committed and by the entry's sequence number until it is
/// applied.
#[derive(Debug, Default)]
pub struct Proposals {
    last_ticket: ProposalTicket,
    uncommitted: BTreeMap<ProposalTicket, Sender<ProposalOutcome>>,
    committed: BTreeMap<SequenceNumber, Sender<ProposalOutcome>>,
}

/// A newly opened proposal.
#[derive(Debug)]
pub struct OpenedProposal {
    /// The ticket, which is unique among the proposals of this process.
    pub ticket: ProposalTicket,
    /// Receives the outcome, once.
    pub outcome: Receiver<ProposalOutcome>,
}

impl Proposals {
    /// Opens a proposal under a new ticket.
    pub fn open(&mut self) -> OpenedProposal {
        let (sender, outcome) = async_channel::bounded(1);
        self.last_ticket = self.last_ticket.next();
        self.uncommitted.insert(self.last_ticket, sender);
        OpenedProposal { ticket: self.last_ticket, outcome }
    }

    /// Records that an entry is committed. `proposal` is its ticket if this member proposed it.
    pub fn committed(&mut self, sequence: SequenceNumber, proposal: Option<ProposalTicket>) {
        if let Some(sender) = proposal.and_then(|ticket| self.uncommitted.remove(&ticket)) {
            self.committed.insert(sequence, sender);
        }
    }

    /// Records that the state machine has reached an entry. `applied` is `None` if the state was restored from a
    /// snapshot at this entry, which leaves the outcome unknown.
    pub fn applied(&mut self, sequence: SequenceNumber, applied: Option<Applied>) {
        let outcome = applied.map_or(ProposalOutcome::Unknown, ProposalOutcome::Applied);
        if let Some(sender) = self.committed.remove(&sequence) {
            let _ = sender.try_send(outcome);
        }
    }

    /// Records that a proposal failed before its entry was known to be committed.
    pub fn failed(&mut self, ticket: ProposalTicket, reason: FailureReason) {
        let outcome = match reason {
            FailureReason::NotReplicated => ProposalOutcome::NotReplicated,
            FailureReason::OutcomeUnknown => ProposalOutcome::Unknown,
        };
        if let Some(sender) = self.uncommitted.remove(&ticket) {
            let _ = sender.try_send(outcome);
        }
    }
}
