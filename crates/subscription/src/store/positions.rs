//! How far a subscriber has followed the state, and how a table's position advances.

use tulipridge_protocol::feed::{KnownPositions, Position};
use tulipridge_protocol::number::{ChangeNumber, Epoch};

/// The positions up to which a subscriber has been sent the state, or which it stated itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentPositions {
    /// The position of each table.
    pub known: KnownPositions,
    /// The version of the cluster membership, counted by the publisher; 0 before it was sent.
    pub cluster_membership: u64,
}

impl From<KnownPositions> for SentPositions {
    fn from(known: KnownPositions) -> Self {
        SentPositions { known, cluster_membership: 0 }
    }
}

impl SentPositions {
    /// The later of both, table by table.
    #[must_use]
    pub fn later(self, other: SentPositions) -> SentPositions {
        let known = KnownPositions {
            configuration: self.known.configuration.max(other.known.configuration),
            fleet: self.known.fleet.max(other.known.fleet),
            weights: self.known.weights.max(other.known.weights),
            cache_index: self.known.cache_index.max(other.known.cache_index),
            // A subscriber that does not know the table of loads is never sent it.
            loads: self.known.loads.map(|own| own.max(other.known.loads.unwrap_or_default())),
        };
        SentPositions { known, cluster_membership: self.cluster_membership.max(other.cluster_membership) }
    }
}

/// The position of a table after the primary of `epoch` has written it; none if it stays at `position`.
///
/// A new epoch always advances the position, so that subscribers take over the new primary's table even where its
/// content is the same. Within an epoch the position advances with each difference.
pub(super) fn next_position(position: Position, epoch: Epoch, differs: bool) -> Option<Position> {
    let first = Position { epoch, sequence: ChangeNumber(1) };
    if first > position && (epoch > position.epoch || position.sequence == ChangeNumber(0)) {
        return Some(first);
    }
    let advances = epoch == position.epoch && differs;
    advances.then(|| Position { epoch, sequence: position.sequence.next() })
}
