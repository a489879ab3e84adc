//! Requests to join: how a member without a primary makes itself known.

use std::time::Duration;

use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::replication::{Envelope, ReplicationMessage};

use super::machine::Replication;
use super::timing::JOIN_INTERVAL;

impl Replication {
    /// Sends requests to join to all known addresses, if due, unless a primary is heard or this member is leaving.
    pub(super) fn request_to_join_if_due(&mut self, now: Duration) {
        if self.leadership.is_some() || !self.discovery.take_due_join(now) {
            return;
        }
        let hears_primary = self.peers.primary_heard_within(now, JOIN_INTERVAL).is_some();
        if self.lifecycle.is_leaving() || hears_primary {
            return;
        }
        for target in self.join_targets() {
            let zone = self.settings.zone.clone();
            self.outbox.send(target, ReplicationMessage::Join { zone });
        }
    }

    fn join_targets(&self) -> Vec<NodeId> {
        let mut targets = self.discovery.known().to_vec();
        targets.extend(&self.settings.seeds);
        if let Some(view) = self.storage.view() {
            targets.extend(&view.voters);
        }
        targets.sort_unstable();
        targets.dedup_by_key(|node| node.ip);
        targets.retain(|target| target.ip != self.settings.node.ip);
        targets
    }

    /// Handles a request to join: records it and forwards it to the primary.
    pub(super) fn on_join(&mut self, now: Duration, from: NodeId, zone: String) {
        if from.ip == self.settings.node.ip {
            return;
        }
        let primary = self.known_primary(now).filter(|primary| *primary != self.settings.node);
        self.peers.record_join(from, now, &zone);
        let Some(primary) = primary else { return };
        if primary != from && self.peers.take_due_forward(from, now, JOIN_INTERVAL / 2) {
            self.outbox.deliver(Envelope { from, to: primary, message: ReplicationMessage::Join { zone } });
        }
    }
}
