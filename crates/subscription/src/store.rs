//! The versioned state that the feed delivers. No I/O and no clock.
//!
//! [`FeedStore`] is the state of one process. A publisher reads the snapshots and deltas for its subscribers from it,
//! and a subscriber applies them to its own store. Each table has a position that never decreases.

mod cache_index;
mod changes;
mod configurations;
mod error;
mod fleet;
mod positions;
mod snapshot_tables;

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tulipridge_configuration::Configuration;
use tulipridge_prefix_cache_index::Index;
use tulipridge_protocol::feed::{
    CacheUpdate, ClusterMembership, KnownPositions, LoadTable, ModelWeights, Position, QueuedWork,
    QueuedWorkEntry, Replica, ToSubscriber, WeightsTable,
};
use tulipridge_protocol::number::Epoch;

use cache_index::CacheIndexTable;
use configurations::ConfigurationHistory;
use fleet::FleetTable;

pub use changes::{Pong, StateChanges};
pub use configurations::DEFAULT_EARLIER_CONFIGURATIONS;
pub use error::{FeedError, Table};
pub use positions::SentPositions;

/// The newest state known to a process, with enough history to compute deltas.
///
/// The primary writes with the `set_` functions and [`FeedStore::update_cache_index`], every other process with
/// [`FeedStore::apply`]. Revisions and positions never decrease.
#[derive(Debug, Default)]
pub struct FeedStore {
    configurations: ConfigurationHistory,
    fleet: FleetTable,
    weights: WeightsTable,
    cache_index: CacheIndexTable,
    loads: LoadTable,
    membership: ClusterMembership,
    membership_version: u64,
}

impl FeedStore {
    /// Creates an empty store that keeps [`DEFAULT_EARLIER_CONFIGURATIONS`] earlier configurations.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates an empty store that keeps at most `max_count` earlier configurations; a store without subscribers needs 0.
    #[must_use]
    pub fn with_earlier_configurations(max_count: usize) -> Self {
        FeedStore { configurations: ConfigurationHistory::with_max_earlier(max_count), ..Self::default() }
    }

    /// Replaces the configuration if the revision is higher than the current one. Returns whether it was replaced.
    pub fn set_configuration(&mut self, configuration: Arc<Configuration>) -> bool {
        self.configurations.replace_if_newer(configuration)
    }

    /// Sets the table of replicas, as the primary of `epoch`. Returns whether its position advances, which it does when
    /// a replica differs or the epoch is new. A decrease of `warm_left_ms` counts as a difference only when it reaches
    /// 0; the lower value is stored all the same, so that new subscribers receive the current one. No other store may
    /// set tables in the same epoch.
    pub fn set_fleet(&mut self, epoch: Epoch, replicas: Vec<Replica>) -> bool {
        self.fleet.set(epoch, replicas)
    }

    /// Sets the table of weights, as the primary of `epoch`. Returns whether its position advances.
    pub fn set_weights(&mut self, epoch: Epoch, models: Vec<ModelWeights>) -> bool {
        let Some(next) = snapshot_tables::next_weights(&self.weights, epoch, models) else { return false };
        self.weights = next;
        true
    }

    /// Applies changes of the prefix-cache index, as the primary of `epoch`. Returns whether its position advances.
    pub fn update_cache_index(&mut self, epoch: Epoch, updates: &[CacheUpdate]) -> bool {
        self.cache_index.apply_as_primary(epoch, updates)
    }

    /// Sets the table of loads from the work queued at replicas, as the primary of `epoch`. Returns whether its
    /// position advances. Work that refers to another position of the table of replicas is ignored.
    pub fn set_loads(&mut self, epoch: Epoch, work: &QueuedWork) -> bool {
        let fleet = self.fleet.position();
        let replica_count = self.fleet.replicas().count();
        let next = snapshot_tables::next_loads(&self.loads, epoch, work, fleet, replica_count);
        let Some(next) = next else { return false };
        self.loads = next;
        true
    }

    /// Sets the gateway count and the members of the control plane. Returns whether they differ from before.
    pub fn set_cluster_membership(&mut self, membership: ClusterMembership) -> bool {
        if self.membership_version > 0 && self.membership == membership {
            return false;
        }
        self.membership = membership;
        self.membership_version += 1;
        true
    }

    /// Applies a publisher's message. Tables that are not newer than the current ones are ignored.
    ///
    /// # Errors
    /// [`FeedError::Gap`] if a delta does not start from the current position. The store is unchanged then.
    pub fn apply(&mut self, message: ToSubscriber) -> Result<StateChanges, FeedError> {
        let mut changes = StateChanges::default();
        match message {
            ToSubscriber::Configuration(update) => {
                changes.configuration = self.configurations.apply(update)?;
            }
            ToSubscriber::Fleet(update) => changes.fleet = self.fleet.apply(update)?,
            ToSubscriber::Weights(table) => {
                changes.weights = snapshot_tables::replace_if_newer(&mut self.weights, table);
            }
            ToSubscriber::CacheIndex(update) => {
                changes.cache_index = self.cache_index.apply_received(update)?;
            }
            ToSubscriber::ClusterMembership(membership) => {
                changes.cluster_membership = self.set_cluster_membership(membership);
            }
            ToSubscriber::Loads(table) => {
                changes.loads = snapshot_tables::replace_if_newer(&mut self.loads, table);
            }
            ToSubscriber::Pong { id, age_ms, revision } => {
                let state_age = age_ms.map(|age_ms| Duration::from_millis(age_ms.into()));
                changes.pong = Some(Pong { id, state_age, revision });
            }
        }
        Ok(changes)
    }

    /// Returns the newest configuration; `None` before the first one.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configurations.newest().cloned()
    }

    /// Iterates over the replicas in the order of their ids.
    pub fn fleet(&self) -> impl Iterator<Item = &Replica> {
        self.fleet.replicas()
    }

    /// Looks up a replica by its id.
    pub fn replica(&self, id: &str) -> Option<&Replica> {
        self.fleet.replica(id)
    }

    /// Returns the position of the table of replicas.
    pub fn fleet_position(&self) -> Position {
        self.fleet.position()
    }

    /// Returns the table of weights.
    pub fn weights(&self) -> &WeightsTable {
        &self.weights
    }

    /// Returns the prefix-cache index, which is shared with this store and changes with later updates.
    pub fn cache_index(&self) -> &Rc<RefCell<Index>> {
        self.cache_index.index()
    }

    /// Iterates over the replicas with the units of work queued at each; `None` while the table of loads refers to
    /// another position of the table of replicas than the current one.
    pub fn loads(&self) -> Option<impl Iterator<Item = (&Replica, u8)>> {
        let is_for_current_fleet = self.loads.fleet == self.fleet.position();
        is_for_current_fleet.then(|| self.fleet.replicas().zip(self.loads.queued_units.iter().copied()))
    }

    /// Builds a report of the work queued at replicas, for the publisher of this state. `units_of` returns the units by
    /// the id of the replica; `None` where nothing is queued.
    pub fn queued_work(&self, units_of: impl Fn(&str) -> Option<u32>) -> QueuedWork {
        let entries = self.fleet.replicas().zip(0..).filter_map(|(replica, replica_index)| {
            let units = units_of(&replica.id)?;
            Some(QueuedWorkEntry { replica_index, units })
        });
        QueuedWork { fleet: self.fleet.position(), entries: entries.collect() }
    }

    /// Returns the gateway count and the members of the control plane; empty while they are unknown.
    pub fn cluster_membership(&self) -> &ClusterMembership {
        &self.membership
    }

    /// Returns the position of each table.
    pub fn known_positions(&self) -> KnownPositions {
        KnownPositions {
            configuration: self.configurations.revision(),
            fleet: self.fleet.position(),
            weights: self.weights.position,
            cache_index: self.cache_index.position(),
            loads: Some(self.loads.position),
        }
    }

    /// Returns the positions of a subscriber that was sent all of the current state.
    pub fn newest_positions(&self) -> SentPositions {
        SentPositions { known: self.known_positions(), membership_version: self.membership_version }
    }

    /// Returns the updates for a subscriber that has just sent its `known` positions: deltas where possible, otherwise
    /// snapshots. The cluster membership is always included once it is known.
    pub fn updates_for(&self, known: &KnownPositions) -> Vec<ToSubscriber> {
        self.updates_since(&SentPositions::from(*known))
    }

    /// Returns the updates for a subscriber that was sent the state up to `sent`.
    pub fn updates_since(&self, sent: &SentPositions) -> Vec<ToSubscriber> {
        let mut messages = Vec::new();
        if let Some(update) = self.configurations.since(sent.known.configuration) {
            messages.push(ToSubscriber::Configuration(update));
        }
        if let Some(update) = self.fleet.since(sent.known.fleet) {
            messages.push(ToSubscriber::Fleet(update));
        }
        if self.weights.position > sent.known.weights {
            messages.push(ToSubscriber::Weights(self.weights.clone()));
        }
        if let Some(update) = self.cache_index.since(sent.known.cache_index) {
            messages.push(ToSubscriber::CacheIndex(update));
        }
        if sent.known.loads.is_some_and(|sent| self.loads.position > sent) {
            messages.push(ToSubscriber::Loads(self.loads.clone()));
        }
        if self.membership_version > sent.membership_version {
            messages.push(ToSubscriber::ClusterMembership(self.membership.clone()));
        }
        messages
    }
}
