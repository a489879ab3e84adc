//! Heartbeats: the primary sends them and derives its lease from the acknowledgements, by which voters grant it.

use std::collections::BTreeSet;
use std::time::Duration;

use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::number::{Epoch, SequenceNumber};
use tulipridge_protocol::replication::{ReplicationMessage, View};

use super::leadership::HeartbeatId;
use super::machine::Replication;
use super::peers::PeerReport;
use super::quorum::is_view_complete;

impl Replication {
    /// Sends a heartbeat of the primary to each known member, if due.
    pub(super) fn send_heartbeats_if_due(&mut self, now: Duration) {
        let committed = self.storage.applied();
        let Some(leadership) = &mut self.leadership else { return };
        if !leadership.take_due_heartbeat(now) {
            return;
        }
        let token = leadership.lease.next_heartbeat(now);
        let view = leadership.view.clone();
        self.peers.prune(now, |peer| view.voters.contains(&peer));
        for target in self.heartbeat_targets(&view) {
            let message = ReplicationMessage::Heartbeat { view: view.clone(), token, committed };
            self.outbox.send(target, message);
        }
    }

    fn heartbeat_targets(&self, view: &View) -> BTreeSet<NodeId> {
        let mut targets: BTreeSet<NodeId> = self.peers.iter().map(|(peer, _)| peer).collect();
        targets.extend(&view.voters);
        targets.extend(&view.previous_voters);
        targets.insert(self.settings.node);
        targets
    }

    /// Handles a heartbeat: adopts its view, grants the lease, applies committed entries and acknowledges it.
    pub(super) fn on_heartbeat(
        &mut self,
        now: Duration,
        from: NodeId,
        view: &View,
        token: u64,
        committed: SequenceNumber,
    ) {
        let epoch = view.epoch;
        let known_epoch = self.storage.view_epoch();
        let is_from_other = from != self.settings.node;
        let is_released = is_from_other && self.promises.is_released(epoch);
        if view.data_replicas.first() != Some(&from) || is_released {
            return;
        }
        let has_own_promise = self.promises.has_promised_to(from);
        if epoch < known_epoch && !has_own_promise {
            self.refuse(from, epoch);
            return;
        }
        if is_from_other {
            self.peers.record_primary(from, now);
            self.postpone_campaign(now);
        }
        if epoch < self.storage.promised() && !has_own_promise {
            self.adopt_view(now, view);
            self.refuse(from, epoch);
            return;
        }
        if epoch >= known_epoch {
            self.adopt_view(now, view);
        }
        self.promises.grant_lease(now, from, epoch);
        self.commit_as_backup(from, epoch, committed);
        self.acknowledge_heartbeat(from, view, token);
    }

    fn commit_as_backup(&mut self, primary: NodeId, epoch: Epoch, committed: SequenceNumber) {
        let node = self.settings.node;
        if primary != node && self.storage.is_replica_under(node, primary, epoch) {
            self.apply_up_to(committed.min(self.storage.last_sequence()));
        }
    }

    /// Acknowledges a heartbeat. A voter does so only once the view is durable: after a restart, the voter must still
    /// know the view while its grant is valid.
    fn acknowledge_heartbeat(&mut self, to: NodeId, view: &View, token: u64) {
        let message = ReplicationMessage::HeartbeatAck {
            epoch: view.epoch,
            token,
            zone: self.settings.zone.clone(),
            disk_healthy: self.storage.is_healthy(),
            leaving: self.lifecycle.is_leaving(),
        };
        let is_durable = self.storage.has_durable_view_of(view.epoch);
        if is_durable || !view.voters.contains(&self.settings.node) {
            self.outbox.send(to, message);
        } else {
            self.outbox.send_when_durable(to, message);
        }
    }

    /// Handles the acknowledgement of a heartbeat.
    pub(super) fn on_heartbeat_ack(
        &mut self,
        now: Duration,
        from: NodeId,
        heartbeat: HeartbeatId,
        report: PeerReport,
    ) {
        let Some(leadership) = &mut self.leadership else { return };
        let was_complete = is_view_complete(&leadership.view);
        if !leadership.acknowledge(from, heartbeat) {
            return;
        }
        if !was_complete && is_view_complete(&leadership.view) {
            // Until the other members learn that the view is in force, no election succeeds without the replaced
            // voters.
            leadership.schedule_heartbeat_now(now);
        }
        let view = leadership.view.clone();
        if self.storage.view().is_some_and(|known| known.epoch == view.epoch) {
            self.adopt_view(now, &view);
        }
        if from != self.settings.node {
            self.peers.record_acknowledgement(from, now, report);
        }
    }
}
