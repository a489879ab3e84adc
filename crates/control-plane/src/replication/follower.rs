//! What a member does for a proposer and for a primary: promises, data, views, leases.

use std::time::Duration;

use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::replication::{Entry, Envelope, ReplicationMessage, View};

use super::durable::DurableRecord;
use super::machine::{Grant, HeardPrimary, Replication};
use super::peers::is_recent;
use super::settings::{ELECTION_TIMEOUT, GRANT_TERM, JOIN_INTERVAL};

impl Replication {
    /// A proposer asks that no lower epoch be taken part in.
    pub(super) fn on_prepare(&mut self, now: Duration, from: NodeId, epoch: u64) {
        self.highest_seen = self.highest_seen.max(epoch);
        let is_repeated = epoch == self.state.promised && self.promised_to == Some(from);
        if !is_repeated {
            if epoch <= self.state.promised || !self.may_promise_to(now, from) {
                self.refuse(from, epoch);
                return;
            }
            self.promise(epoch);
            self.promised_to = Some(from);
            self.yield_to(now, from, epoch);
        }
        let view = self.state.view.clone().unwrap_or_default();
        self.send_when_durable(from, ReplicationMessage::Promise { epoch, view });
    }

    /// Whether no lease of another member may run on this member's word.
    pub(super) fn may_promise_to(&self, now: Duration, proposer: NodeId) -> bool {
        let granted_to_other =
            self.grant.as_ref().is_some_and(|grant| grant.primary != proposer && now < grant.until);
        now >= self.quiet_until && !granted_to_other
    }

    /// Ends own efforts in favour of another proposer that has this member's promise.
    pub(super) fn yield_to(&mut self, now: Duration, proposer: NodeId, epoch: u64) {
        if proposer == self.settings.node {
            return;
        }
        if self.attempt.as_ref().is_some_and(|attempt| attempt.epoch < epoch) {
            self.attempt = None;
        }
        if self.leadership.is_some() {
            self.step_down(now);
        }
        self.postpone_campaign(now);
    }

    pub(super) fn refuse(&mut self, to: NodeId, epoch: u64) {
        self.send(to, ReplicationMessage::Refuse { epoch, promised: self.state.promised });
    }

    /// A proposer records its view here.
    pub(super) fn on_install(&mut self, now: Duration, from: NodeId, view: View) {
        let epoch = view.epoch;
        let known = self.state.view.as_ref().map_or(0, |known| known.epoch);
        if epoch < self.state.promised || epoch < known {
            self.refuse(from, epoch);
            return;
        }
        if epoch > self.state.promised {
            self.promise(epoch);
            self.promised_to = Some(from);
        }
        self.incoming.clear();
        self.learn(now, &view);
        if self.view_recorded < Some(epoch) {
            self.record_view(&view);
        }
        self.yield_to(now, from, epoch);
        self.send_when_durable(from, ReplicationMessage::Installed { epoch });
    }

    /// The primary replicates an entry.
    pub(super) fn on_append(&mut self, from: NodeId, epoch: u64, entry: Entry) {
        if epoch < self.state.promised {
            self.refuse(from, epoch);
            return;
        }
        if !self.is_holder_of(from, epoch) || entry.sequence > self.state.data.sequence + 1 {
            return;
        }
        if entry.sequence == self.state.data.sequence + 1 {
            self.record(DurableRecord::Entry(entry));
        }
        let sequence = self.state.data.sequence;
        self.send_when_durable(from, ReplicationMessage::Appended { epoch, sequence });
    }

    /// Whether the newest promise, view and data are all of this epoch, and this member is one of its
    /// holders.
    fn is_holder_of(&self, primary: NodeId, epoch: u64) -> bool {
        let node = self.settings.node;
        self.state.promised == epoch
            && self.state.data.epoch == epoch
            && self.state.view.as_ref().is_some_and(|view| {
                view.epoch == epoch
                    && view.holders.first() == Some(&primary)
                    && view.holders.contains(&node)
            })
    }

    /// The primary is there.
    pub(super) fn on_heartbeat(
        &mut self,
        now: Duration,
        from: NodeId,
        view: View,
        token: u64,
        committed: u64,
    ) {
        let epoch = view.epoch;
        let recorded = self.state.view.as_ref().map_or(0, |recorded| recorded.epoch);
        let is_released = from != self.settings.node && epoch <= self.released_epoch && epoch > 0;
        if view.holders.first() != Some(&from) || is_released {
            return;
        }
        let is_promised_to_sender = self.promised_to == Some(from);
        let is_stale = epoch < recorded && !is_promised_to_sender;
        if is_stale {
            self.refuse(from, epoch);
            return;
        }
        if from != self.settings.node {
            self.heard = Some(HeardPrimary { node: from, at: now });
            self.postpone_campaign(now);
        }
        if epoch < self.state.promised && !is_promised_to_sender {
            self.learn(now, &view);
            self.refuse(from, epoch);
            return;
        }
        if epoch >= recorded {
            self.learn(now, &view);
        }
        self.grant = Some(Grant { primary: from, epoch, until: now + GRANT_TERM });
        self.commit_as_backup(from, epoch, committed);
        self.acknowledge_heartbeat(from, &view, token);
    }

    fn commit_as_backup(&mut self, from: NodeId, epoch: u64, committed: u64) {
        if from != self.settings.node && self.is_holder_of(from, epoch) {
            self.apply_up_to(committed.min(self.state.data.sequence));
        }
    }

    fn acknowledge_heartbeat(&mut self, to: NodeId, view: &View, token: u64) {
        let message = ReplicationMessage::HeartbeatAck {
            epoch: view.epoch,
            token,
            zone: self.settings.zone.clone(),
            disk_healthy: self.disk_healthy,
            leaving: self.leaving,
        };
        let is_recorded = self.view_on_disk >= Some(view.epoch);
        if is_recorded || !view.voters.contains(&self.settings.node) {
            self.send(to, message);
        } else {
            self.send_when_durable(to, message);
        }
    }

    /// A primary has given up its lease.
    pub(super) fn on_release(&mut self, now: Duration, from: NodeId, epoch: u64, successor: NodeId) {
        self.released_epoch = self.released_epoch.max(epoch);
        let is_released =
            self.grant.as_ref().is_some_and(|grant| grant.primary == from && grant.epoch <= epoch);
        if is_released {
            self.grant = None;
        }
        if self.heard.as_ref().is_some_and(|heard| heard.node == from) {
            self.heard = None;
        }
        let is_newest = self.state.view.as_ref().is_some_and(|view| view.epoch == epoch);
        if successor == self.settings.node && is_newest {
            self.avoided = Some(from);
            self.campaign_at = now;
        } else {
            self.campaign_at = self.campaign_at.max(now + ELECTION_TIMEOUT / 2);
        }
    }

    /// A member wants to be known to the primary.
    pub(super) fn on_join(&mut self, now: Duration, from: NodeId, zone: String) {
        if from.ip == self.settings.node.ip {
            return;
        }
        let primary = self.known_primary(now).filter(|primary| *primary != self.settings.node);
        let peer = self.peers.entry(from);
        peer.zone.clone_from(&zone);
        peer.joined = Some(now);
        let Some(primary) = primary else { return };
        if primary != from && !is_recent(peer.forwarded, now, JOIN_INTERVAL / 2) {
            peer.forwarded = Some(now);
            self.deliver(Envelope { from, to: primary, message: ReplicationMessage::Join { zone } });
        }
    }
}
