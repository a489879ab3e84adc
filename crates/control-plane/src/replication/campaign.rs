//! A change of the view: by a holder that misses its primary, or by the primary to exchange members.

use std::collections::BTreeSet;
use std::time::Duration;

use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::replication::{ReplicationMessage, View};

use super::machine::{Replication, jitter};
use super::membership::{Candidate, Members, Selection};
use super::peers::is_recent;
use super::quorum::{electorate, has_quorum, is_settled, next_epoch};
use super::settings::{ATTEMPT_STALL, BACKUP_DEAD_AFTER, JOIN_FRESH, RESEND_INTERVAL, VOTER_DEAD_AFTER};
use super::sync::SyncPhase;

/// Failed attempts in a row beyond this number make no difference.
const MOST_COUNTED_FAILURES: u32 = 4;

/// How far a view change has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Promises come in.
    Preparing,
    /// Future holders are brought up to date.
    Syncing,
    /// Future holders record the view, so that each of them can carry on from it.
    InstallingAtHolders,
    /// The others record it.
    InstallingAtVoters,
}

/// A running change of the view.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) epoch: u64,
    pub(super) base: View,
    pub(super) phase: Phase,
    promises: BTreeSet<NodeId>,
    /// Those of them that have recorded the base.
    base_recorded: BTreeSet<NodeId>,
    /// The new view, once enough have promised.
    pub(super) view: View,
    /// Brings the future holders up to date, once they are chosen.
    pub(super) sync: Option<SyncPhase>,
    installed: BTreeSet<NodeId>,
    pub(super) resend_at: Duration,
    pub(super) stalled_at: Duration,
}

impl Attempt {
    /// When the attempt has to be looked at.
    pub(super) fn next_deadline(&self) -> Duration {
        self.resend_at.min(self.stalled_at)
    }

    /// A member that has promised has recorded the base.
    ///
    /// Once a majority of the base's voters and of its previous voters have, no other view made from the
    /// previous voters can come into force: they refuse lower epochs, and show the base to proposers of
    /// higher ones. So the previous voters are not needed any more.
    fn note_base_recorded(&mut self, member: NodeId, recorded: &View) {
        self.base_recorded.insert(member);
        if is_settled(recorded) || has_quorum(&self.base, &self.base_recorded) {
            self.base.previous_voters.clear();
        }
    }

    /// Whether a view makes this attempt pointless.
    pub(super) fn is_outdated_by(&self, view: &View) -> bool {
        view.epoch > self.base.epoch && view.epoch != self.epoch
    }
}

impl Replication {
    /// Whether this member holds all data of its newest view, and can write.
    pub(super) fn may_campaign(&self) -> bool {
        let node = self.settings.node;
        let holds = |view: &View| view.holders.contains(&node) && self.state.data.epoch >= view.epoch;
        let is_recorded = self.view_on_disk.is_some();
        is_recorded && self.disk_healthy && self.state.view.as_ref().is_some_and(holds)
    }

    /// Starts a campaign if no primary is heard and it is this member's turn.
    pub(super) fn campaign_if_due(&mut self, now: Duration) {
        let is_idle = self.leadership.is_none() && self.attempt.is_none();
        if is_idle && self.may_campaign() && now >= self.campaign_at {
            self.start_attempt(now);
        }
    }

    /// Starts a view change, unless a lease of another member may still run on this member's word.
    pub(super) fn start_attempt(&mut self, now: Duration) {
        let node = self.settings.node;
        let Some(base) = self.state.view.clone() else { return };
        if !self.may_promise_to(now, node) {
            let until = self.grant.as_ref().map_or(self.quiet_until, |grant| grant.until);
            self.campaign_at = until.max(self.quiet_until).max(now + RESEND_INTERVAL / 4);
            return;
        }
        let epoch = next_epoch(self.highest_seen.max(self.state.promised), node);
        self.attempt = Some(Attempt {
            epoch,
            base,
            phase: Phase::Preparing,
            promises: BTreeSet::new(),
            base_recorded: BTreeSet::new(),
            view: View::default(),
            sync: None,
            installed: BTreeSet::new(),
            resend_at: now + RESEND_INTERVAL,
            stalled_at: now + self.stall_term(),
        });
        self.on_prepare(now, node, epoch);
        self.send_prepares();
    }

    /// Repeats messages of the running view change, or gives it up.
    pub(super) fn run_attempt(&mut self, now: Duration) {
        let Some(attempt) = &self.attempt else { return };
        let is_hopeless = now >= attempt.stalled_at || self.misses_chosen_holder(now, attempt);
        let Some(attempt) = &mut self.attempt else { return };
        if is_hopeless {
            self.fail_attempt(now);
        } else if now >= attempt.resend_at {
            attempt.resend_at = now + RESEND_INTERVAL;
            match attempt.phase {
                Phase::Preparing => self.send_prepares(),
                Phase::Syncing => self.resend_syncs(now),
                Phase::InstallingAtHolders | Phase::InstallingAtVoters => self.send_installs(),
            }
            self.choose_if_promised(now);
        }
    }

    fn fail_attempt(&mut self, now: Duration) {
        let Some(attempt) = self.attempt.take() else { return };
        self.failed_attempts = (self.failed_attempts + 1).min(MOST_COUNTED_FAILURES);
        let is_unanswered = attempt.promises.len() <= 1;
        let backoff = if is_unanswered { 100 + 250 * u64::from(self.failed_attempts) } else { 350 };
        self.campaign_at = now + jitter(&mut self.random, backoff / 2..backoff);
    }

    /// How long an attempt may go without progress.
    pub(super) fn stall_term(&self) -> Duration {
        ATTEMPT_STALL * (1 + self.failed_attempts)
    }

    /// Whether the primary does not hear from a member any more that the new view needs as a holder.
    fn misses_chosen_holder(&self, now: Duration, attempt: &Attempt) -> bool {
        let node = self.settings.node;
        let needs_holders = matches!(attempt.phase, Phase::Syncing | Phase::InstallingAtHolders);
        let is_silent = |holder: &NodeId| {
            let peer = self.peers.get(*holder);
            *holder != node && !peer.is_some_and(|peer| is_recent(peer.healthy, now, BACKUP_DEAD_AFTER))
        };
        self.leadership.is_some() && needs_holders && attempt.view.holders.iter().any(is_silent)
    }

    /// Asks for promises that are missing, when the own one is on its way to the disk.
    fn send_prepares(&mut self) {
        let Some(attempt) = &self.attempt else { return };
        let epoch = attempt.epoch;
        let missing: Vec<NodeId> =
            electorate(&attempt.base).difference(&attempt.promises).copied().collect();
        for voter in missing {
            if voter != self.settings.node {
                self.send_when_durable(voter, ReplicationMessage::Prepare { epoch });
            }
        }
    }

    /// A voter takes part in no lower epoch any more.
    pub(super) fn on_promise(&mut self, now: Duration, from: NodeId, epoch: u64, view: View) {
        let is_awaited = |attempt: &Attempt| attempt.epoch == epoch && attempt.phase == Phase::Preparing;
        if !self.attempt.as_ref().is_some_and(is_awaited) {
            return;
        }
        self.learn(now, &view);
        let stalled_at = now + self.stall_term();
        let Some(attempt) = &mut self.attempt else { return };
        if view.epoch == attempt.base.epoch && !view.voters.is_empty() {
            attempt.note_base_recorded(from, &view);
        }
        if attempt.promises.insert(from) {
            attempt.stalled_at = stalled_at;
        }
        self.choose_if_promised(now);
    }

    /// Someone cannot do what was asked.
    pub(super) fn on_refuse(&mut self, now: Duration, from: NodeId, epoch: u64, promised: u64) {
        self.highest_seen = self.highest_seen.max(promised);
        let is_outbid = promised >= epoch;
        if let Some(attempt) = &mut self.attempt
            && attempt.epoch == epoch
            && is_outbid
        {
            let retry_at = now + jitter(&mut self.random, 50..250);
            attempt.stalled_at = attempt.stalled_at.min(retry_at);
        }
        if is_outbid && from != self.settings.node {
            self.note_higher_promise(epoch, promised);
        }
    }

    /// Chooses the new view's members once a majority has promised.
    fn choose_if_promised(&mut self, now: Duration) {
        let node = self.settings.node;
        let Some(attempt) = &self.attempt else { return };
        let has_promises = attempt.promises.contains(&node) && has_quorum(&attempt.base, &attempt.promises);
        if attempt.phase != Phase::Preparing || !has_promises {
            return;
        }
        let members = if self.leadership.is_some() {
            self.choose_as_primary(now, &attempt.base)
        } else {
            self.choose_as_candidate(now, attempt)
        };
        let Some(members) = members else { return };
        let stalled_at = now + self.stall_term();
        let Some(attempt) = &mut self.attempt else { return };
        attempt.view = next_view(&attempt.base, attempt.epoch, members);
        attempt.phase = Phase::Syncing;
        attempt.stalled_at = stalled_at;
        self.start_sync(now);
    }

    /// The members that the primary wants, by whom it hears.
    pub(super) fn choose_as_primary(&self, now: Duration, base: &View) -> Option<Members> {
        let mut candidates = vec![self.own_candidate()];
        for (node, peer) in self.peers.iter() {
            let is_silent = !is_recent(peer.acknowledged, now, BACKUP_DEAD_AFTER);
            let is_replaced = is_silent && self.peers.successor(node, now, BACKUP_DEAD_AFTER).is_some();
            let is_stalled = self.leadership.as_ref().is_some_and(|own| own.is_stalled(node, now));
            candidates.push(Candidate {
                node,
                zone: peer.zone.clone(),
                alive: is_recent(peer.healthy, now, VOTER_DEAD_AFTER) && !is_replaced && !peer.leaving,
                ready: is_recent(peer.healthy, now, BACKUP_DEAD_AFTER) && !is_stalled && !peer.leaving,
            });
        }
        let selection = self.selection(base, &candidates);
        selection.choose(true).or_else(|| self.choose_with_stalled(now, base, candidates.clone()))
    }

    /// As a last resort, backups that hang are brought up to date again.
    fn choose_with_stalled(
        &self,
        now: Duration,
        base: &View,
        mut candidates: Vec<Candidate>,
    ) -> Option<Members> {
        for candidate in &mut candidates {
            let peer = self.peers.get(candidate.node);
            candidate.ready |=
                peer.is_some_and(|peer| is_recent(peer.acknowledged, now, BACKUP_DEAD_AFTER));
        }
        self.selection(base, &candidates).choose(true)
    }

    /// The members that a candidate can have: voters that promised, and standbys only if they are too few.
    fn choose_as_candidate(&self, now: Duration, attempt: &Attempt) -> Option<Members> {
        let mut candidates = vec![self.own_candidate()];
        let base = &attempt.base;
        for voter in base.voters.iter().filter(|voter| **voter != self.settings.node) {
            candidates.push(Candidate {
                node: *voter,
                zone: self.peers.get(*voter).map_or_else(String::new, |peer| peer.zone.clone()),
                alive: true,
                ready: attempt.promises.contains(voter) && self.avoided != Some(*voter),
            });
        }
        let standbys = self
            .peers
            .iter()
            .filter(|(node, peer)| is_recent(peer.joined, now, JOIN_FRESH) && !base.voters.contains(node));
        let standbys: Vec<Candidate> = standbys
            .map(|(node, peer)| Candidate { node, zone: peer.zone.clone(), alive: true, ready: true })
            .collect();
        if let Some(members) = self.selection(base, &candidates).choose(false) {
            return Some(members);
        }
        for candidate in &mut candidates {
            candidate.ready |= attempt.promises.contains(&candidate.node);
        }
        if let Some(members) = self.selection(base, &candidates).choose(false) {
            return Some(members);
        }
        candidates.extend(standbys);
        self.selection(base, &candidates).choose(true)
    }

    fn own_candidate(&self) -> Candidate {
        Candidate { node: self.settings.node, zone: self.settings.zone.clone(), alive: true, ready: true }
    }

    fn selection<'a>(&self, base: &'a View, candidates: &'a [Candidate]) -> Selection<'a> {
        // A proposer that leaves needs another member to take its places, whatever losses are to be withstood.
        let least = if self.leaving { 2 } else { 1 };
        Selection {
            base,
            proposer: self.settings.node,
            wanted_voters: self.settings.wanted_voters().max(least),
            wanted_holders: self.settings.wanted_holders().max(least),
            candidates,
        }
    }

    /// Sends the new view to all of this phase that have not recorded it.
    pub(super) fn send_installs(&mut self) {
        let Some(attempt) = &self.attempt else { return };
        let targets: BTreeSet<NodeId> = match attempt.phase {
            Phase::InstallingAtVoters => electorate(&attempt.view),
            _ => attempt.view.holders.iter().copied().collect(),
        };
        let missing: Vec<NodeId> = targets.difference(&attempt.installed).copied().collect();
        let message = ReplicationMessage::Install { view: attempt.view.clone() };
        for target in missing {
            self.send(target, message.clone());
        }
    }

    /// A member has recorded the new view.
    pub(super) fn on_installed(&mut self, now: Duration, from: NodeId, epoch: u64) {
        let stalled_at = now + self.stall_term();
        let Some(attempt) = &mut self.attempt else { return };
        let is_installing = matches!(attempt.phase, Phase::InstallingAtHolders | Phase::InstallingAtVoters);
        if attempt.epoch != epoch || !is_installing {
            return;
        }
        if attempt.installed.insert(from) {
            attempt.stalled_at = stalled_at;
        }
        if !attempt.view.holders.iter().all(|holder| attempt.installed.contains(holder)) {
            return;
        }
        if attempt.phase == Phase::InstallingAtHolders {
            attempt.phase = Phase::InstallingAtVoters;
            attempt.resend_at = now + RESEND_INTERVAL;
            self.send_installs();
        }
        self.lead_if_in_force(now);
    }

    fn lead_if_in_force(&mut self, now: Duration) {
        let is_in_force = |attempt: &Attempt| has_quorum(&attempt.view, &attempt.installed);
        if !self.attempt.as_ref().is_some_and(is_in_force) {
            return;
        }
        if let Some(attempt) = self.attempt.take() {
            self.failed_attempts = 0;
            self.avoided = None;
            self.become_primary(now, attempt.view);
        }
    }
}

/// The view that the chosen members form after the base.
fn next_view(base: &View, epoch: u64, members: Members) -> View {
    let is_same_voters = members.voters == base.voters;
    let previous_voters = if is_same_voters { base.previous_voters.clone() } else { base.voters.clone() };
    View { epoch, voters: members.voters, previous_voters, holders: members.holders }
}
