//! Selection of the members of the next view, and when a primary starts a view change to install them.

use std::time::Duration;

use tulipridge_protocol::replication::View;

use super::machine::Replication;
use super::peers::is_recent;
use super::timing::{BACKUP_TIMEOUT, JOIN_REQUEST_TTL, VOTER_TIMEOUT};
use super::view_change::ViewChange;
use super::view_selection::{Candidate, ViewMembers, ViewSelection};

impl Replication {
    /// Starts a view change if the primary would select other members than those in force, a data replica has stalled,
    /// or a member has promised a higher epoch.
    pub(super) fn reconfigure_if_needed(&mut self, now: Duration) {
        let is_pending = self.is_view_change_pending();
        let Some(leadership) = &self.leadership else { return };
        let is_idle = self.view_change.is_none() && self.storage.is_healthy();
        if !is_idle || !leadership.may_change_view(now) {
            return;
        }
        if is_pending && !self.election.is_due(now) {
            return;
        }
        let Some(members) = self.choose_as_primary(now, &leadership.view) else { return };
        let is_needed = is_pending
            || members.differ_from(&leadership.view)
            || leadership.has_stalled_replica(now)
            || leadership.is_view_change_forced();
        if !is_needed {
            return;
        }
        if let Some(leadership) = &mut self.leadership {
            leadership.record_view_change_start(now);
        }
        self.start_view_change(now);
    }

    /// The members that the primary selects from those that acknowledge its heartbeats.
    pub(super) fn choose_as_primary(&self, now: Duration, base: &View) -> Option<ViewMembers> {
        let mut candidates = vec![self.own_candidate()];
        for (node, peer) in self.peers.iter() {
            let is_silent = !is_recent(peer.acknowledged_at, now, BACKUP_TIMEOUT);
            let is_replaced =
                is_silent && self.peers.replacement_at_address(node, now, BACKUP_TIMEOUT).is_some();
            let is_stalled = self
                .leadership
                .as_ref()
                .is_some_and(|leadership| leadership.progress.is_stalled(node, now));
            let is_alive = is_recent(peer.healthy_at, now, VOTER_TIMEOUT) && !is_replaced;
            let is_ready = is_recent(peer.healthy_at, now, BACKUP_TIMEOUT) && !is_stalled;
            candidates.push(Candidate {
                node,
                zone: peer.zone.clone(),
                is_alive: is_alive && !peer.is_leaving,
                is_ready: is_ready && !peer.is_leaving,
            });
        }
        let members = self.selection(base, &candidates).choose(true);
        members.or_else(|| self.choose_with_stalled(now, base, candidates))
    }

    /// As a last resort, also selects stalled backups and backups with an unhealthy disk. All of these are brought up
    /// to date again.
    fn choose_with_stalled(
        &self,
        now: Duration,
        base: &View,
        mut candidates: Vec<Candidate>,
    ) -> Option<ViewMembers> {
        for candidate in &mut candidates {
            let peer = self.peers.get(candidate.node);
            candidate.is_ready |=
                peer.is_some_and(|peer| is_recent(peer.acknowledged_at, now, BACKUP_TIMEOUT));
        }
        self.selection(base, &candidates).choose(true)
    }

    /// The members that a candidate selects: voters that promised, and standbys only if those are too few.
    pub(super) fn choose_as_candidate(
        &self,
        now: Duration,
        view_change: &ViewChange,
    ) -> Option<ViewMembers> {
        let base = &view_change.base;
        let mut candidates = self.voter_candidates(view_change);
        if let Some(members) = self.selection(base, &candidates).choose(false) {
            return Some(members);
        }
        for candidate in &mut candidates {
            candidate.is_ready |= view_change.has_promise_of(candidate.node);
        }
        if let Some(members) = self.selection(base, &candidates).choose(false) {
            return Some(members);
        }
        candidates.extend(self.standby_candidates(now, base));
        self.selection(base, &candidates).choose(true)
    }

    /// This member and the other voters of the base. Those that promised are ready, except a primary that has just
    /// released its lease.
    fn voter_candidates(&self, view_change: &ViewChange) -> Vec<Candidate> {
        let mut candidates = vec![self.own_candidate()];
        let voters = &view_change.base.voters;
        for voter in voters.iter().filter(|voter| **voter != self.settings.node) {
            candidates.push(Candidate {
                node: *voter,
                zone: self.peers.get(*voter).map_or_else(String::new, |peer| peer.zone.clone()),
                is_alive: true,
                is_ready: view_change.has_promise_of(*voter) && !self.election.is_avoided(*voter),
            });
        }
        candidates
    }

    /// Members that recently requested to join and are not voters.
    fn standby_candidates(&self, now: Duration, base: &View) -> impl Iterator<Item = Candidate> {
        let is_standby = move |node| !base.voters.contains(&node);
        self.peers
            .iter()
            .filter(move |(node, peer)| {
                is_recent(peer.join_requested_at, now, JOIN_REQUEST_TTL) && is_standby(*node)
            })
            .map(|(node, peer)| Candidate { node, zone: peer.zone.clone(), is_alive: true, is_ready: true })
    }

    fn own_candidate(&self) -> Candidate {
        let settings = &self.settings;
        Candidate { node: settings.node, zone: settings.zone.clone(), is_alive: true, is_ready: true }
    }

    fn selection<'a>(&self, base: &'a View, candidates: &'a [Candidate]) -> ViewSelection<'a> {
        // A leaving proposer needs another member to take over its roles, even if no failures are tolerated.
        let min_members = if self.lifecycle.is_leaving() { 2 } else { 1 };
        ViewSelection {
            base,
            proposer: self.settings.node,
            target_voters: self.settings.target_voters().max(min_members),
            target_data_replicas: self.settings.target_data_replicas().max(min_members),
            candidates,
        }
    }
}
