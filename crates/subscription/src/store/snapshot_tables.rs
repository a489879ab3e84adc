//! Tables that are always sent as snapshots: weights and loads.

use tulipridge_protocol::feed::{LoadTable, ModelWeights, Position, QueuedWork, WeightsTable};
use tulipridge_protocol::number::Epoch;

use super::positions::next_position;

/// A table with a position that is always replaced completely.
pub(super) trait SnapshotTable {
    /// Returns the position of the table.
    fn position(&self) -> Position;
}

impl SnapshotTable for WeightsTable {
    fn position(&self) -> Position {
        self.position
    }
}

impl SnapshotTable for LoadTable {
    fn position(&self) -> Position {
        self.position
    }
}

/// Replaces `table` if `received` has a later position. Returns whether it was replaced.
pub(super) fn replace_if_newer<T: SnapshotTable>(table: &mut T, received: T) -> bool {
    let is_newer = received.position() > table.position();
    if is_newer {
        *table = received;
    }
    is_newer
}

/// Returns the table of weights after the primary of `epoch` has set `models`; `None` if its position does not advance.
pub(super) fn next_weights(
    table: &WeightsTable,
    epoch: Epoch,
    models: Vec<ModelWeights>,
) -> Option<WeightsTable> {
    let position = next_position(table.position, epoch, table.models != models)?;
    Some(WeightsTable { position, models })
}

/// Returns the table of loads after the primary of `epoch` has set `work`; `None` if its position does not advance.
///
/// `fleet` and `replica_count` describe the current table of replicas. Work that refers to another position of that
/// table is ignored. Units above 255 are reported as 255.
pub(super) fn next_loads(
    table: &LoadTable,
    epoch: Epoch,
    work: &QueuedWork,
    fleet: Position,
    replica_count: usize,
) -> Option<LoadTable> {
    let mut queued_units = vec![0; replica_count];
    for entry in work.entries.iter().filter(|_| work.fleet == fleet) {
        if let Some(units) = queued_units.get_mut(entry.replica_index as usize) {
            *units = u8::try_from(entry.units).unwrap_or(u8::MAX);
        }
    }
    let is_different = (table.fleet, &table.queued_units) != (fleet, &queued_units);
    let position = next_position(table.position, epoch, is_different)?;
    Some(LoadTable { position, fleet, queued_units })
}
