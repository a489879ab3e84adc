//! What a member knows of the others.

use std::collections::BTreeMap;
use std::time::Duration;

use tulipridge_protocol::node::NodeId;

use super::settings::STANDBY_FORGOTTEN_AFTER;

/// One other member, as seen from here.
#[derive(Clone, Debug, Default)]
pub(super) struct Peer {
    /// Its zone; empty until it has told.
    pub(super) zone: String,
    /// When it last acknowledged a heartbeat.
    pub(super) acknowledged: Option<Duration>,
    /// When it last did so with a healthy disk.
    pub(super) healthy: Option<Duration>,
    /// It has said that its process ends soon.
    pub(super) leaving: bool,
    /// When it last asked to be taken in.
    pub(super) joined: Option<Duration>,
    /// When such a request was last passed on to the primary.
    pub(super) forwarded: Option<Duration>,
}

impl Peer {
    fn heard(&self) -> Option<Duration> {
        self.acknowledged.max(self.joined)
    }
}

/// Whether a moment is there and not older than a span.
pub(super) fn is_recent(moment: Option<Duration>, now: Duration, span: Duration) -> bool {
    moment.is_some_and(|moment| now.saturating_sub(moment) <= span)
}

/// All other members that are known.
#[derive(Clone, Debug, Default)]
pub(super) struct Peers {
    peers: BTreeMap<NodeId, Peer>,
}

impl Peers {
    /// The member's entry, made if there is none.
    pub(super) fn entry(&mut self, node: NodeId) -> &mut Peer {
        self.peers.entry(node).or_default()
    }

    /// The member's entry.
    pub(super) fn get(&self, node: NodeId) -> Option<&Peer> {
        self.peers.get(&node)
    }

    /// All members in order.
    pub(super) fn iter(&self) -> impl Iterator<Item = (NodeId, &Peer)> {
        self.peers.iter().map(|(node, peer)| (*node, peer))
    }

    /// Another member at the same address that acknowledged within the span.
    pub(super) fn successor(&self, node: NodeId, now: Duration, span: Duration) -> Option<NodeId> {
        self.iter()
            .find(|(other, peer)| {
                other.ip == node.ip && *other != node && is_recent(peer.healthy, now, span)
            })
            .map(|(other, _)| other)
    }

    /// Forgets standbys that are silent.
    pub(super) fn prune(&mut self, now: Duration, keep: impl Fn(NodeId) -> bool) {
        self.peers
            .retain(|node, peer| keep(*node) || is_recent(peer.heard(), now, STANDBY_FORGOTTEN_AFTER));
    }
}
