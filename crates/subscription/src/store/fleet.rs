//! The table of replicas with its position and a log of changes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use tulipridge_protocol::feed::{FleetUpdate, Position, Replica};
use tulipridge_protocol::number::Epoch;

use super::error::{FeedError, Table};
use super::positions::next_position;

/// Maximum number of changes in the log; the oldest are dropped beyond it.
const MAX_LOGGED_CHANGES: usize = 1024;
/// Maximum number of ids in all logged changes together; the oldest changes are dropped beyond it.
const MAX_LOGGED_IDS: usize = 16_384;

/// The replicas by their ids, the position of the table, and the ids affected by each of the latest changes.
#[derive(Debug, Default)]
pub(super) struct FleetTable {
    position: Position,
    replicas: BTreeMap<String, Replica>,
    log: VecDeque<LoggedChange>,
    /// Number of ids in all entries of `log`.
    logged_id_count: usize,
}

/// A change of the table from the position `base` to the base of the next logged change, or to the table's position.
///
/// Deltas start only from positions that this table had: a change between two of them, or in an epoch that this process
/// did not follow to its end, may have affected replicas that seem unchanged here.
#[derive(Debug)]
struct LoggedChange {
    base: Position,
    ids: Vec<String>,
}

impl FleetTable {
    pub(super) fn position(&self) -> Position {
        self.position
    }

    pub(super) fn replicas(&self) -> impl Iterator<Item = &Replica> {
        self.replicas.values()
    }

    pub(super) fn replica(&self, id: &str) -> Option<&Replica> {
        self.replicas.get(id)
    }

    /// Replaces the table, as the primary of `epoch`. Returns whether its position advances.
    pub(super) fn set(&mut self, epoch: Epoch, replicas: Vec<Replica>) -> bool {
        if epoch < self.position.epoch {
            return false;
        }
        let replicas = by_id(replicas);
        let ids = self.changed_ids(&replicas);
        let next = next_position(self.position, epoch, !ids.is_empty());
        self.replicas = replicas;
        if let Some(next) = next {
            self.advance(next, ids);
        }
        next.is_some()
    }

    pub(super) fn apply(&mut self, update: FleetUpdate) -> Result<bool, FeedError> {
        match update {
            FleetUpdate::Snapshot { position, replicas } => {
                if position <= self.position {
                    return Ok(false);
                }
                let replicas = by_id(replicas);
                let ids = self.changed_ids(&replicas);
                self.replicas = replicas;
                self.advance(position, ids);
            }
            FleetUpdate::Changes { base, position, changed, removed } => {
                if position <= self.position {
                    return Ok(false);
                }
                if base != self.position {
                    return Err(FeedError::Gap { table: Table::Fleet });
                }
                self.apply_delta(position, changed, removed);
            }
        }
        Ok(true)
    }

    /// Returns the update from `base` to the current table; `None` if `base` is not older.
    pub(super) fn since(&self, base: Position) -> Option<FleetUpdate> {
        if base >= self.position {
            return None;
        }
        Some(self.delta_since(base).unwrap_or_else(|| self.snapshot()))
    }

    fn snapshot(&self) -> FleetUpdate {
        FleetUpdate::Snapshot {
            position: self.position,
            replicas: self.replicas.values().cloned().collect(),
        }
    }

    fn delta_since(&self, base: Position) -> Option<FleetUpdate> {
        let first_change = self.log.iter().rposition(|change| change.base == base)?;
        let ids: BTreeSet<&String> =
            self.log.range(first_change..).flat_map(|change| &change.ids).collect();
        if ids.len() > self.replicas.len() {
            return None;
        }
        let (mut changed, mut removed) = (Vec::new(), Vec::new());
        for id in ids {
            match self.replicas.get(id) {
                Some(replica) => changed.push(replica.clone()),
                None => removed.push(id.clone()),
            }
        }
        Some(FleetUpdate::Changes { base, position: self.position, changed, removed })
    }

    fn apply_delta(&mut self, position: Position, changed: Vec<Replica>, removed: Vec<String>) {
        let mut ids = Vec::with_capacity(changed.len() + removed.len());
        for id in removed {
            self.replicas.remove(&id);
            ids.push(id);
        }
        for replica in changed {
            ids.push(replica.id.clone());
            self.replicas.insert(replica.id.clone(), replica);
        }
        self.advance(position, ids);
    }

    fn advance(&mut self, position: Position, ids: Vec<String>) {
        let base = std::mem::replace(&mut self.position, position);
        if base == Position::default() {
            return;
        }
        self.logged_id_count += ids.len();
        self.log.push_back(LoggedChange { base, ids });
        while self.log.len() > MAX_LOGGED_CHANGES || self.logged_id_count > MAX_LOGGED_IDS {
            let dropped_count = self.log.pop_front().map_or(0, |change| change.ids.len());
            self.logged_id_count -= dropped_count;
        }
    }

    fn changed_ids(&self, replicas: &BTreeMap<String, Replica>) -> Vec<String> {
        let removed = self.replicas.keys().filter(|id| !replicas.contains_key(*id)).cloned();
        let changed = replicas.values().filter(|new| self.is_changed(new)).map(|new| new.id.clone());
        removed.chain(changed).collect()
    }

    fn is_changed(&self, new: &Replica) -> bool {
        self.replicas.get(&new.id).is_none_or(|old| differs(old, new))
    }
}

fn by_id(replicas: Vec<Replica>) -> BTreeMap<String, Replica> {
    replicas.into_iter().map(|replica| (replica.id.clone(), replica)).collect()
}

/// Returns whether subscribers need the new entry. A decrease of `warm_left_ms` counts only when it reaches 0.
fn differs(old: &Replica, new: &Replica) -> bool {
    let Replica { id, service, address, zone, capacity, phase, warm_left_ms, models } = new;
    let has_become_warm = *warm_left_ms == 0 && old.warm_left_ms > 0;
    let has_warm_up_changed = has_become_warm || *warm_left_ms > old.warm_left_ms;
    let is_same = (id, service, address, zone) == (&old.id, &old.service, &old.address, &old.zone)
        && (capacity, phase, models) == (&old.capacity, &old.phase, &old.models);
    has_warm_up_changed || !is_same
}
