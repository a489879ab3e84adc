//! The versioned state that travels along the feed. No I/O and no clock.
//!
//! [`FeedStore`] is the state of one process. A publisher reads from it which snapshots and deltas a subscriber
//! needs, a subscriber applies them to its own. Each table has a position that only rises.

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
use configurations::Configurations;
use fleet::FleetTable;

pub use changes::{Pong, StateChanges};
pub use configurations::REMEMBERED_CONFIGURATIONS;
pub use error::{FeedError, Table};
pub use positions::SentPositions;

/// The newest state that a process knows, and enough of its history to send deltas.
///
/// The primary writes with the `set_` functions and [`FeedStore::update_cache_index`], every other process with
/// [`FeedStore::apply`]. Revisions and positions never go back.
#[derive(Debug, Default)]
pub struct FeedStore {
    configurations: Configurations,
    fleet: FleetTable,
    weights: WeightsTable,
    cache_index: CacheIndexTable,
    loads: LoadTable,
    cluster_membership: ClusterMembership,
    cluster_membership_version: u64,
}

impl FeedStore {
    /// An empty store that remembers [`REMEMBERED_CONFIGURATIONS`].
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// An empty store that keeps `configurations` earlier ones; a store without subscribers needs none.
    #[must_use]
    pub fn remembering(configurations: usize) -> Self {
        FeedStore { configurations: Configurations::remembering(configurations), ..Self::default() }
    }

    /// Replaces the configuration if the revision is higher than the present one; whether it did.
    pub fn set_configuration(&mut self, configuration: Arc<Configuration>) -> bool {
        self.configurations.replace_if_newer(configuration)
    }

    /// Sets the table of replicas, as the primary of `epoch`; whether its position advances. It advances when a
    /// replica differs or the epoch is new. Time that has passed on `warm_left_ms` is no difference until none is
    /// left; such replicas are stored as they are, so that new subscribers get the present figure. No other store
    /// may set tables in the same epoch.
    pub fn set_fleet(&mut self, epoch: Epoch, replicas: Vec<Replica>) -> bool {
        self.fleet.set(epoch, replicas)
    }

    /// Sets the table of weights, as the primary of `epoch`; whether its position advances.
    pub fn set_weights(&mut self, epoch: Epoch, models: Vec<ModelWeights>) -> bool {
        let Some(next) = snapshot_tables::next_weights(&self.weights, epoch, models) else { return false };
        self.weights = next;
        true
    }

    /// Applies changes of the prefix-cache index, as the primary of `epoch`; whether its position advances.
    pub fn update_cache_index(&mut self, epoch: Epoch, updates: &[CacheUpdate]) -> bool {
        self.cache_index.set(epoch, updates)
    }

    /// Sets the table of loads from the work queued at replicas, as the primary of `epoch`; whether its position
    /// advances. Work that refers to another table of replicas than the present one is left out.
    pub fn set_loads(&mut self, epoch: Epoch, work: &QueuedWork) -> bool {
        let fleet = self.fleet.position();
        let replica_count = self.fleet.replicas().count();
        let next = snapshot_tables::next_loads(&self.loads, epoch, work, fleet, replica_count);
        let Some(next) = next else { return false };
        self.loads = next;
        true
    }

    /// Sets the gateways and members of the control plane. Returns whether they differ from before.
    pub fn set_cluster_membership(&mut self, membership: ClusterMembership) -> bool {
        if self.cluster_membership_version > 0 && self.cluster_membership == membership {
            return false;
        }
        self.cluster_membership = membership;
        self.cluster_membership_version += 1;
        true
    }

    /// Applies a publisher's message. What is not newer than the present state changes nothing.
    ///
    /// # Errors
    /// [`FeedError::Gap`] if a delta does not start from the present position. The store is unchanged then.
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
            ToSubscriber::CacheIndex(update) => changes.cache_index = self.cache_index.apply(update)?,
            ToSubscriber::ClusterMembership(membership) => {
                changes.cluster_membership = self.set_cluster_membership(membership);
            }
            ToSubscriber::Loads(table) => {
                changes.loads = snapshot_tables::replace_if_newer(&mut self.loads, table);
            }
            ToSubscriber::Pong { id, age_ms, revision } => {
                let age = age_ms.map(|age| Duration::from_millis(age.into()));
                changes.pong = Some(Pong { id, age, revision });
            }
        }
        Ok(changes)
    }

    /// The newest configuration.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configurations.newest().cloned()
    }

    /// The replicas, in the order of their ids.
    pub fn fleet(&self) -> impl Iterator<Item = &Replica> {
        self.fleet.replicas()
    }

    /// A replica by its id.
    pub fn replica(&self, id: &str) -> Option<&Replica> {
        self.fleet.replica(id)
    }

    /// The position of the table of replicas.
    pub fn fleet_position(&self) -> Position {
        self.fleet.position()
    }

    /// The table of weights.
    pub fn weights(&self) -> &WeightsTable {
        &self.weights
    }

    /// The prefix-cache index, shared with this store: it follows later updates.
    pub fn cache_index(&self) -> &Rc<RefCell<Index>> {
        self.cache_index.index()
    }

    /// The replicas with the units of work queued at each; none while the table of loads refers to another table of
    /// replicas than the present one.
    pub fn loads(&self) -> Option<impl Iterator<Item = (&Replica, u8)>> {
        let is_of_fleet = self.loads.fleet == self.fleet.position();
        is_of_fleet.then(|| self.fleet.replicas().zip(self.loads.queued_units.iter().copied()))
    }

    /// A report of the work queued at replicas, for the publisher of this state. `units_of` returns the units by the
    /// id of the replica; none where nothing is queued.
    pub fn queued_work(&self, units_of: impl Fn(&str) -> Option<u32>) -> QueuedWork {
        let entries = self.fleet.replicas().zip(0..).filter_map(|(replica, replica_index)| {
            let units = units_of(&replica.id)?;
            Some(QueuedWorkEntry { replica_index, units })
        });
        QueuedWork { fleet: self.fleet.position(), entries: entries.collect() }
    }

    /// The gateways and members of the control plane; empty while they are not known.
    pub fn cluster_membership(&self) -> &ClusterMembership {
        &self.cluster_membership
    }

    /// The position of each table.
    pub fn known_positions(&self) -> KnownPositions {
        KnownPositions {
            configuration: self.configurations.revision(),
            fleet: self.fleet.position(),
            weights: self.weights.position,
            cache_index: self.cache_index.position(),
            loads: Some(self.loads.position),
        }
    }

    /// The positions of a subscriber that has been sent everything.
    pub fn newest_positions(&self) -> SentPositions {
        SentPositions { known: self.known_positions(), cluster_membership: self.cluster_membership_version }
    }

    /// The updates for a subscriber that has just stated its `known` positions: deltas where these are possible, else
    /// snapshots. The cluster membership is always among them once it is known.
    pub fn updates_for(&self, known: &KnownPositions) -> Vec<ToSubscriber> {
        self.updates_since(&SentPositions::from(*known))
    }

    /// The updates for a subscriber that has been sent the state up to `sent`.
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
        if self.cluster_membership_version > sent.cluster_membership {
            messages.push(ToSubscriber::ClusterMembership(self.cluster_membership.clone()));
        }
        messages
    }
}
