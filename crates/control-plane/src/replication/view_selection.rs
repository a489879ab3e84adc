//! Selects the voters and data replicas of the next view.

use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::replication::View;

use super::quorum::is_view_complete;

/// What the proposer knows about a member.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    /// The member.
    pub(super) node: NodeId,
    /// The zone of the member.
    pub(super) zone: String,
    /// Whether the member may remain a voter.
    pub(super) is_alive: bool,
    /// Whether the member may become a voter or a data replica.
    pub(super) is_ready: bool,
}

/// The members of the next view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ViewMembers {
    /// The voters.
    pub(super) voters: Vec<NodeId>,
    /// The data replicas, the proposer first.
    pub(super) data_replicas: Vec<NodeId>,
}

impl ViewMembers {
    /// Whether a view has other members or the same members in another order.
    pub(super) fn differ_from(&self, view: &View) -> bool {
        self.voters != view.voters || self.data_replicas != view.data_replicas
    }
}

/// The input of a selection.
pub(super) struct ViewSelection<'a> {
    /// The view that the next one follows.
    pub(super) base: &'a View,
    /// The proposer.
    pub(super) proposer: NodeId,
    /// The intended number of voters.
    pub(super) target_voters: usize,
    /// The intended number of data replicas.
    pub(super) target_data_replicas: usize,
    /// All known members, including the proposer.
    pub(super) candidates: &'a [Candidate],
}

impl ViewSelection<'_> {
    /// The members of the next view; `None` if there are too few data replicas.
    ///
    /// Voters are replaced only if the base is known to be in force: until then, a quorum must also cover the previous
    /// voters of the base, and a view has only one set of previous voters.
    pub(super) fn choose(&self, replace_voters: bool) -> Option<ViewMembers> {
        let mut voters = self.base.voters.clone();
        if replace_voters && is_view_complete(self.base) {
            self.replace_failed(&mut voters);
            self.add_missing_voters(&mut voters);
        }
        let data_replicas = self.data_replicas(&voters)?;
        Some(ViewMembers { voters, data_replicas })
    }

    fn candidate(&self, node: NodeId) -> Option<&Candidate> {
        self.candidates.iter().find(|candidate| candidate.node == node)
    }

    fn is_alive(&self, node: NodeId) -> bool {
        node == self.proposer || self.candidate(node).is_some_and(|candidate| candidate.is_alive)
    }

    fn is_ready(&self, node: NodeId) -> bool {
        self.candidate(node).is_some_and(|candidate| candidate.is_ready)
    }

    fn zone(&self, node: NodeId) -> &str {
        self.candidate(node).map_or("", |candidate| candidate.zone.as_str())
    }

    fn replace_failed(&self, voters: &mut Vec<NodeId>) {
        let failed: Vec<NodeId> = voters.iter().copied().filter(|voter| !self.is_alive(*voter)).collect();
        for voter in failed {
            let position = voters.iter().position(|other| *other == voter);
            let Some(position) = position else { continue };
            if let Some(standby) = self.replacement(voters, voter) {
                voters[position] = standby;
            } else if voters.len() > self.target_voters {
                voters.remove(position);
            }
        }
    }

    fn replacement(&self, voters: &[NodeId], failed: NodeId) -> Option<NodeId> {
        let restarted = self.candidates.iter().find(|candidate| {
            candidate.is_ready && candidate.node.ip == failed.ip && !voters.contains(&candidate.node)
        });
        if let Some(candidate) = restarted {
            return Some(candidate.node);
        }
        let others: Vec<NodeId> = voters.iter().copied().filter(|voter| *voter != failed).collect();
        self.pick_from_least_used_zone(&others, self.standbys(voters))
    }

    fn add_missing_voters(&self, voters: &mut Vec<NodeId>) {
        while voters.len() < self.target_voters {
            let Some(standby) = self.pick_from_least_used_zone(voters, self.standbys(voters)) else {
                return;
            };
            voters.push(standby);
        }
    }

    fn standbys(&self, voters: &[NodeId]) -> Vec<NodeId> {
        self.candidates
            .iter()
            .filter(|candidate| candidate.is_ready)
            .map(|candidate| candidate.node)
            .filter(|node| !voters.iter().any(|voter| voter.ip == node.ip))
            .collect()
    }

    /// The first node in `from` whose zone has the fewest members in `chosen`.
    fn pick_from_least_used_zone(&self, chosen: &[NodeId], from: Vec<NodeId>) -> Option<NodeId> {
        from.into_iter()
            .min_by_key(|node| chosen.iter().filter(|other| self.zone(**other) == self.zone(*node)).count())
    }

    fn data_replicas(&self, voters: &[NodeId]) -> Option<Vec<NodeId>> {
        let is_eligible =
            |node: &NodeId| *node != self.proposer && voters.contains(node) && self.is_ready(*node);
        let mut data_replicas = vec![self.proposer];
        data_replicas.extend(self.base.data_replicas.iter().copied().filter(is_eligible));
        data_replicas.truncate(self.target_data_replicas);
        while data_replicas.len() < self.target_data_replicas {
            let others = voters
                .iter()
                .copied()
                .filter(is_eligible)
                .filter(|node| !data_replicas.contains(node))
                .collect();
            let Some(backup) = self.pick_from_least_used_zone(&data_replicas, others) else { break };
            data_replicas.push(backup);
        }
        let required = self.target_data_replicas.min(self.base.data_replicas.len());
        (data_replicas.len() >= required).then_some(data_replicas)
    }
}
