//! What a member knows about the others: liveness, health, departure, and who is primary.

use std::collections::BTreeMap;
use std::time::Duration;

use tulipridge_protocol::node::NodeId;

use super::timing::STANDBY_TIMEOUT;

/// What is known about one other member.
#[derive(Clone, Debug, Default)]
pub(super) struct Peer {
    /// The zone of the member; empty until reported.
    pub(super) zone: String,
    /// When the member last acknowledged a heartbeat.
    pub(super) acknowledged_at: Option<Duration>,
    /// When the member last acknowledged a heartbeat and reported a healthy disk.
    pub(super) healthy_at: Option<Duration>,
    /// Whether the member has reported that it is leaving.
    pub(super) is_leaving: bool,
    /// When the member last requested to join.
    pub(super) join_requested_at: Option<Duration>,
    /// When a request to join was last forwarded to the primary.
    forwarded_at: Option<Duration>,
}

impl Peer {
    fn last_seen(&self) -> Option<Duration> {
        self.acknowledged_at.max(self.join_requested_at)
    }
}

/// What a member reports about itself when it acknowledges a heartbeat.
#[derive(Debug)]
pub(super) struct PeerReport {
    /// The zone of the member.
    pub(super) zone: String,
    /// Whether its disk completes writes in time.
    pub(super) is_disk_healthy: bool,
    /// Whether its process is about to shut down.
    pub(super) is_leaving: bool,
}

/// The primary whose heartbeat arrived last.
#[derive(Clone, Debug)]
struct KnownPrimary {
    node: NodeId,
    heartbeat_at: Duration,
}

/// Whether there is a time and it is at most `max_age` ago.
pub(super) fn is_recent(time: Option<Duration>, now: Duration, max_age: Duration) -> bool {
    time.is_some_and(|time| now.saturating_sub(time) <= max_age)
}

/// All other members that are known.
#[derive(Clone, Debug, Default)]
pub(super) struct Peers {
    peers: BTreeMap<NodeId, Peer>,
    primary: Option<KnownPrimary>,
}

impl Peers {
    /// What is known about a member.
    pub(super) fn get(&self, node: NodeId) -> Option<&Peer> {
        self.peers.get(&node)
    }

    /// All members in order.
    pub(super) fn iter(&self) -> impl Iterator<Item = (NodeId, &Peer)> {
        self.peers.iter().map(|(node, peer)| (*node, peer))
    }

    /// Records an acknowledgement from `node`.
    pub(super) fn record_acknowledgement(&mut self, node: NodeId, now: Duration, report: PeerReport) {
        let peer = self.peers.entry(node).or_default();
        peer.zone = report.zone;
        peer.is_leaving = report.is_leaving;
        peer.acknowledged_at = Some(now);
        if report.is_disk_healthy {
            peer.healthy_at = Some(now);
        }
    }

    /// Treats a member as alive and healthy at `time` without an acknowledgement.
    pub(super) fn presume_alive(&mut self, node: NodeId, time: Duration) {
        let peer = self.peers.entry(node).or_default();
        peer.acknowledged_at = Some(time);
        peer.healthy_at = Some(time);
    }

    /// Records a request to join.
    pub(super) fn record_join(&mut self, node: NodeId, now: Duration, zone: &str) {
        let peer = self.peers.entry(node).or_default();
        zone.clone_into(&mut peer.zone);
        peer.join_requested_at = Some(now);
    }

    /// Whether a member's request to join should be forwarded, because the last one was forwarded more than
    /// `interval` ago; if so, records that it is forwarded.
    pub(super) fn take_due_forward(&mut self, node: NodeId, now: Duration, interval: Duration) -> bool {
        let peer = self.peers.entry(node).or_default();
        let is_due = !is_recent(peer.forwarded_at, now, interval);
        if is_due {
            peer.forwarded_at = Some(now);
        }
        is_due
    }

    /// Another member at the address of `node` that acknowledged with a healthy disk within `max_age`.
    pub(super) fn replacement_at_address(
        &self,
        node: NodeId,
        now: Duration,
        max_age: Duration,
    ) -> Option<NodeId> {
        self.iter()
            .find(|(other, peer)| {
                other.ip == node.ip && *other != node && is_recent(peer.healthy_at, now, max_age)
            })
            .map(|(other, _)| other)
    }

    /// Removes silent members, except those for which `keep` holds.
    pub(super) fn prune(&mut self, now: Duration, keep: impl Fn(NodeId) -> bool) {
        self.peers.retain(|node, peer| keep(*node) || is_recent(peer.last_seen(), now, STANDBY_TIMEOUT));
    }

    /// Records a heartbeat from the primary.
    pub(super) fn record_primary(&mut self, node: NodeId, now: Duration) {
        self.primary = Some(KnownPrimary { node, heartbeat_at: now });
    }

    /// Clears the last known primary.
    pub(super) fn forget_primary(&mut self) {
        self.primary = None;
    }

    /// Clears the last known primary if it is `node`.
    pub(super) fn forget_primary_if(&mut self, node: NodeId) {
        self.primary.take_if(|primary| primary.node == node);
    }

    /// The primary whose heartbeat arrived last, if that was at most `max_age` ago.
    pub(super) fn primary_heard_within(&self, now: Duration, max_age: Duration) -> Option<NodeId> {
        let primary = self.primary.as_ref()?;
        is_recent(Some(primary.heartbeat_at), now, max_age).then_some(primary.node)
    }
}
