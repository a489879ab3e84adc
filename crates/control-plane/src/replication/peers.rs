//! What a member knows of the others: who is alive, who leaves, who is primary.

use std::collections::BTreeMap;
use std::time::Duration;

use tulipridge_protocol::node::NodeId;

use super::timing::STANDBY_TIMEOUT;

/// One other member, as seen from here.
#[derive(Clone, Debug, Default)]
pub(super) struct Peer {
    /// Its zone; empty until it has reported it.
    pub(super) zone: String,
    /// When it last acknowledged a heartbeat.
    pub(super) acknowledged_at: Option<Duration>,
    /// When it last did so with a healthy disk.
    pub(super) healthy_at: Option<Duration>,
    /// It has reported that its process ends soon.
    pub(super) is_leaving: bool,
    /// When it last requested to join.
    pub(super) join_requested_at: Option<Duration>,
    /// When such a request was last forwarded to the primary.
    forwarded_at: Option<Duration>,
}

impl Peer {
    fn last_seen(&self) -> Option<Duration> {
        self.acknowledged_at.max(self.join_requested_at)
    }
}

/// What a member reports of itself when it acknowledges a heartbeat.
#[derive(Debug)]
pub(super) struct PeerReport {
    /// Its zone.
    pub(super) zone: String,
    /// Its disk answers within its bound.
    pub(super) is_disk_healthy: bool,
    /// Its process ends soon.
    pub(super) is_leaving: bool,
}

/// The primary whose heartbeat came last.
#[derive(Clone, Debug)]
struct KnownPrimary {
    node: NodeId,
    heartbeat_at: Duration,
}

/// Whether a time is there and not older than a span.
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
    /// What is known of a member.
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

    /// Counts a member as alive and healthy at `time` though it has acknowledged nothing.
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

    /// Whether a member's request to join is to be forwarded now, since the last time is longer ago than
    /// `interval`; if so, records that it is.
    pub(super) fn take_due_forward(&mut self, node: NodeId, now: Duration, interval: Duration) -> bool {
        let peer = self.peers.entry(node).or_default();
        let is_due = !is_recent(peer.forwarded_at, now, interval);
        if is_due {
            peer.forwarded_at = Some(now);
        }
        is_due
    }

    /// Another member at the same address that acknowledged within the span.
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

    /// Forgets standbys that are silent.
    pub(super) fn prune(&mut self, now: Duration, keep: impl Fn(NodeId) -> bool) {
        self.peers.retain(|node, peer| keep(*node) || is_recent(peer.last_seen(), now, STANDBY_TIMEOUT));
    }

    /// Records a heartbeat from the primary.
    pub(super) fn record_primary(&mut self, node: NodeId, now: Duration) {
        self.primary = Some(KnownPrimary { node, heartbeat_at: now });
    }

    /// There is no other primary.
    pub(super) fn forget_primary(&mut self) {
        self.primary = None;
    }

    /// `node` is primary no longer.
    pub(super) fn forget_primary_if(&mut self, node: NodeId) {
        self.primary.take_if(|primary| primary.node == node);
    }

    /// The primary whose heartbeat came last, if that is not longer ago than the span.
    pub(super) fn primary_heard_within(&self, now: Duration, max_age: Duration) -> Option<NodeId> {
        let primary = self.primary.as_ref()?;
        is_recent(Some(primary.heartbeat_at), now, max_age).then_some(primary.node)
    }
}
