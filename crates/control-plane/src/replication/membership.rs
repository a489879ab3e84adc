//! Chooses the voters and holders of the next view.

use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::replication::View;

use super::quorum::is_settled;

/// What the proposer knows of a member.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    /// The member.
    pub(super) node: NodeId,
    /// Its zone.
    pub(super) zone: String,
    /// It need not be exchanged as a voter.
    pub(super) alive: bool,
    /// It may be made a holder, or a voter if it is none.
    pub(super) ready: bool,
}

/// Members of the next view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Members {
    /// Who votes.
    pub(super) voters: Vec<NodeId>,
    /// Who holds the data, the proposer first.
    pub(super) holders: Vec<NodeId>,
}

/// What a choice is made from.
pub(super) struct Selection<'a> {
    /// The view to follow.
    pub(super) base: &'a View,
    /// The proposer.
    pub(super) proposer: NodeId,
    /// Wanted number of voters.
    pub(super) wanted_voters: usize,
    /// Wanted number of holders.
    pub(super) wanted_holders: usize,
    /// All members known, the proposer included.
    pub(super) candidates: &'a [Candidate],
}

impl Selection<'_> {
    /// The next view's members; none if there are too few holders.
    ///
    /// Voters change only if the base is known to be in force: its quorum must cover all who voted on it.
    pub(super) fn choose(&self, exchange_voters: bool) -> Option<Members> {
        let mut voters = self.base.voters.clone();
        if exchange_voters && is_settled(self.base) {
            self.exchange_dead(&mut voters);
            self.fill_up(&mut voters);
        }
        let holders = self.holders(&voters)?;
        Some(Members { voters, holders })
    }

    fn candidate(&self, node: NodeId) -> Option<&Candidate> {
        self.candidates.iter().find(|candidate| candidate.node == node)
    }

    fn is_alive(&self, node: NodeId) -> bool {
        node == self.proposer || self.candidate(node).is_some_and(|candidate| candidate.alive)
    }

    fn is_ready(&self, node: NodeId) -> bool {
        self.candidate(node).is_some_and(|candidate| candidate.ready)
    }

    fn zone(&self, node: NodeId) -> &str {
        self.candidate(node).map_or("", |candidate| candidate.zone.as_str())
    }

    fn exchange_dead(&self, voters: &mut Vec<NodeId>) {
        let dead: Vec<NodeId> = voters.iter().copied().filter(|voter| !self.is_alive(*voter)).collect();
        for voter in dead {
            let position = voters.iter().position(|other| *other == voter);
            let Some(position) = position else { continue };
            if let Some(standby) = self.replacement(voters, voter) {
                voters[position] = standby;
            } else if voters.len() > self.wanted_voters {
                voters.remove(position);
            }
        }
    }

    fn replacement(&self, voters: &[NodeId], dead: NodeId) -> Option<NodeId> {
        let reborn = self.candidates.iter().find(|candidate| {
            candidate.ready && candidate.node.ip == dead.ip && !voters.contains(&candidate.node)
        });
        if let Some(candidate) = reborn {
            return Some(candidate.node);
        }
        let others: Vec<NodeId> = voters.iter().copied().filter(|voter| *voter != dead).collect();
        self.spread(&others, self.standbys(voters))
    }

    fn fill_up(&self, voters: &mut Vec<NodeId>) {
        while voters.len() < self.wanted_voters {
            let Some(standby) = self.spread(voters, self.standbys(voters)) else { return };
            voters.push(standby);
        }
    }

    fn standbys(&self, voters: &[NodeId]) -> Vec<NodeId> {
        self.candidates
            .iter()
            .filter(|candidate| candidate.ready)
            .map(|candidate| candidate.node)
            .filter(|node| !voters.iter().any(|voter| voter.ip == node.ip))
            .collect()
    }

    /// The first of those from the zone with the fewest members so far.
    fn spread(&self, chosen: &[NodeId], from: Vec<NodeId>) -> Option<NodeId> {
        from.into_iter()
            .min_by_key(|node| chosen.iter().filter(|other| self.zone(**other) == self.zone(*node)).count())
    }

    fn holders(&self, voters: &[NodeId]) -> Option<Vec<NodeId>> {
        let usable =
            |node: &NodeId| *node != self.proposer && voters.contains(node) && self.is_ready(*node);
        let mut holders = vec![self.proposer];
        holders.extend(self.base.holders.iter().copied().filter(usable));
        holders.truncate(self.wanted_holders);
        while holders.len() < self.wanted_holders {
            let others =
                voters.iter().copied().filter(usable).filter(|node| !holders.contains(node)).collect();
            let Some(backup) = self.spread(&holders, others) else { break };
            holders.push(backup);
        }
        let required = self.wanted_holders.min(self.base.holders.len());
        (holders.len() >= required).then_some(holders)
    }
}
