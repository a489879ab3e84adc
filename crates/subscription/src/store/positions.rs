//! Positions that a subscriber has reached, and the rule by which a table's position advances.

use tulipridge_protocol::feed::{KnownPositions, Position};
use tulipridge_protocol::number::{ChangeNumber, Epoch};

/// Positions up to which a subscriber was sent the state, or which the subscriber sent when it subscribed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentPositions {
    /// Position of each table.
    pub known: KnownPositions,
    /// Version of the cluster membership, counted by the publisher; 0 before the first was sent.
    pub membership_version: u64,
}

impl From<KnownPositions> for SentPositions {
    fn from(known: KnownPositions) -> Self {
        SentPositions { known, membership_version: 0 }
    }
}

impl SentPositions {
    /// Combines the later positions of both, table by table.
    #[must_use]
    pub fn later(self, other: SentPositions) -> SentPositions {
        let known = KnownPositions {
            configuration: self.known.configuration.max(other.known.configuration),
            fleet: self.known.fleet.max(other.known.fleet),
            weights: self.known.weights.max(other.known.weights),
            cache_index: self.known.cache_index.max(other.known.cache_index),
            // A subscriber that does not support the table of loads is never sent it.
            loads: self.known.loads.map(|position| position.max(other.known.loads.unwrap_or_default())),
        };
        SentPositions { known, membership_version: self.membership_version.max(other.membership_version) }
    }
}

/// Returns the position of a table after a write by the primary of `epoch`; `None` if it stays at `position`.
///
/// A new epoch always advances the position, so that subscribers take over the new primary's table even if its
/// content is the same. Within an epoch, each difference advances the position.
pub(super) fn next_position(position: Position, epoch: Epoch, is_different: bool) -> Option<Position> {
    let first = Position { epoch, sequence: ChangeNumber(1) };
    if first > position && (epoch > position.epoch || position.sequence == ChangeNumber(0)) {
        return Some(first);
    }
    let should_advance = epoch == position.epoch && is_different;
    should_advance.then(|| Position { epoch, sequence: position.sequence.next() })
}
