//! Proposals that wait for their end.

use std::collections::BTreeMap;

use async_channel::{Receiver, Sender};

use crate::replication::FailureReason;
use crate::state::Applied;

/// How a proposal ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalEnd {
    /// It was agreed on and applied.
    Applied(Applied),
    /// It will never take effect.
    NotTaken,
    /// It may take effect or not.
    Unknown,
}

/// Proposals by ticket, and by the entry that they became.
#[derive(Debug, Default)]
pub struct Proposals {
    last_ticket: u64,
    waiting: BTreeMap<u64, Sender<ProposalEnd>>,
    committed: BTreeMap<u64, Sender<ProposalEnd>>,
}

impl Proposals {
    /// A new proposal: its ticket, and where its end is told.
    pub fn open(&mut self) -> (u64, Receiver<ProposalEnd>) {
        let (sender, receiver) = async_channel::bounded(1);
        self.last_ticket += 1;
        self.waiting.insert(self.last_ticket, sender);
        (self.last_ticket, receiver)
    }

    /// An entry is agreed on, which was a proposal of this member or not.
    pub fn committed(&mut self, sequence: u64, proposal: Option<u64>) {
        if let Some(sender) = proposal.and_then(|ticket| self.waiting.remove(&ticket)) {
            self.committed.insert(sequence, sender);
        }
    }

    /// The state has taken an entry; without `applied` it was restored.
    pub fn applied(&mut self, sequence: u64, applied: Option<Applied>) {
        let end = applied.map_or(ProposalEnd::Unknown, ProposalEnd::Applied);
        if let Some(sender) = self.committed.remove(&sequence) {
            let _ = sender.try_send(end);
        }
    }

    /// A proposal has failed.
    pub fn failed(&mut self, ticket: u64, reason: FailureReason) {
        let end = match reason {
            FailureReason::NotReplicated => ProposalEnd::NotTaken,
            FailureReason::OutcomeUnknown => ProposalEnd::Unknown,
        };
        if let Some(sender) = self.waiting.remove(&ticket) {
            let _ = sender.try_send(end);
        }
    }
}
