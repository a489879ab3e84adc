//! The state that travels along the feed. No I/O and no clock.

mod configurations;
mod fleet;
mod kept;

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use snafu::Snafu;
use tulipridge_configuration::Configuration;
use tulipridge_prefix_cache_index::Index;
use tulipridge_protocol::feed::{
    CacheUpdate, Group, KnownPositions, LoadTable, ModelWeights, Position, QueuedWork, Replica,
    ToSubscriber, WeightsTable,
};

use configurations::Configurations;
use fleet::FleetTable;
use kept::KeptTable;

/// Earlier configurations that a store remembers, to tell what has changed since.
pub const REMEMBERED_CONFIGURATIONS: usize = 8;

/// Why an update can't be applied. The subscriber asks again with what it holds.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum FeedError {
    /// A change applies to another state than the one held.
    #[snafu(display("a change of the {table} does not apply to what is held"))]
    Gap {
        /// What was to be changed.
        table: Table,
    },
}

/// A part of the state that is delivered in changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Table {
    /// The operator's configuration.
    Configuration,
    /// The table of replicas.
    Fleet,
    /// The index of kept prompts.
    Kept,
}

impl std::fmt::Display for Table {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Table::Configuration => "configuration",
            Table::Fleet => "fleet",
            Table::Kept => "index of kept prompts",
        })
    }
}

/// What a message has changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Changed {
    /// The configuration.
    pub configuration: bool,
    /// The table of replicas.
    pub fleet: bool,
    /// The table of weights.
    pub weights: bool,
    /// The index of kept prompts.
    pub kept: bool,
    /// Who takes part.
    pub group: bool,
    /// The table of loads.
    pub loads: bool,
    /// The answer to a ping, which changes nothing here.
    pub pong: Option<Pong>,
}

impl Changed {
    /// Whether anything of the state is different from before.
    #[must_use]
    pub fn any(&self) -> bool {
        self.configuration || self.fleet || self.weights || self.kept || self.group || self.loads
    }

    /// Adds what a later message has changed.
    pub fn merge(&mut self, later: Changed) {
        self.configuration |= later.configuration;
        self.fleet |= later.fleet;
        self.weights |= later.weights;
        self.kept |= later.kept;
        self.group |= later.group;
        self.loads |= later.loads;
        self.pong = later.pong.or(self.pong);
    }
}

/// The answer to a ping.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pong {
    /// The ping's number.
    pub id: u64,
    /// How long ago the publisher's state was known to be the newest.
    pub age: Option<Duration>,
    /// Revision of the configuration that the publisher holds.
    pub revision: u64,
}

/// What a subscriber has been sent, or holds already.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentPositions {
    /// How far its state goes.
    pub holdings: KnownPositions,
    /// The group's version; 0 is none.
    pub group: u64,
}

impl From<KnownPositions> for SentPositions {
    fn from(holdings: KnownPositions) -> Self {
        SentPositions { holdings, group: 0 }
    }
}

impl SentPositions {
    /// The later of both, in each part.
    #[must_use]
    pub fn later(self, other: SentPositions) -> SentPositions {
        let holdings = KnownPositions {
            configuration: self.holdings.configuration.max(other.holdings.configuration),
            fleet: self.holdings.fleet.max(other.holdings.fleet),
            weights: self.holdings.weights.max(other.holdings.weights),
            kept: self.holdings.kept.max(other.holdings.kept),
            // A subscriber that does not take the table stays one.
            loads: self.holdings.loads.map(|own| own.max(other.holdings.loads.unwrap_or_default())),
        };
        SentPositions { holdings, group: self.group.max(other.group) }
    }
}

/// The newest state that a process knows, and enough of its past to tell subscribers what has changed.
///
/// The source of the state uses the `set_` functions, everyone else [`FeedStore::apply`]. Revisions and positions
/// never go back.
#[derive(Debug, Default)]
pub struct FeedStore {
    configurations: Configurations,
    fleet: FleetTable,
    weights: WeightsTable,
    kept: KeptTable,
    loads: LoadTable,
    group: Group,
    group_version: u64,
}

impl FeedStore {
    /// An empty store that remembers [`REMEMBERED_CONFIGURATIONS`].
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// An empty store that remembers `configurations` earlier ones; a store without subscribers needs none.
    #[must_use]
    pub fn remembering(configurations: usize) -> Self {
        FeedStore { configurations: Configurations::remembering(configurations), ..Self::default() }
    }

    /// Takes a configuration if its revision is higher than the one held; whether it was taken.
    pub fn set_configuration(&mut self, configuration: Arc<Configuration>) -> bool {
        self.configurations.take(configuration)
    }

    /// Sets the table of replicas, as the primary of `epoch`; whether its position moves. It moves when a line
    /// differs or the epoch is new. Time that has passed on `warm_left_ms` is no difference until none is left;
    /// such lines are taken as they are, so that newcomers get the present figure. No other store may set tables in
    /// the same epoch.
    pub fn set_fleet(&mut self, epoch: u64, replicas: Vec<Replica>) -> bool {
        self.fleet.set(epoch, replicas)
    }

    /// Sets the table of weights, as the primary of `epoch`; whether its position moves.
    pub fn set_weights(&mut self, epoch: u64, models: Vec<ModelWeights>) -> bool {
        let Some(next) = next_position(self.weights.position, epoch, self.weights.models != models) else {
            return false;
        };
        self.weights = WeightsTable { position: next, models };
        true
    }

    /// Takes changes of what sources keep, as the primary of `epoch`; whether the position moves.
    pub fn set_kept(&mut self, epoch: u64, updates: &[CacheUpdate]) -> bool {
        self.kept.set(epoch, updates)
    }

    /// Sets the work that waits at replicas, as the primary of `epoch`; whether the position moves. Work that refers to
    /// another table of replicas than the one held is left out.
    pub fn set_loads(&mut self, epoch: u64, work: &QueuedWork) -> bool {
        let fleet = self.fleet.position();
        let mut waiting = vec![0; self.fleet.replicas().count()];
        for (place, amount) in work.lines.iter().filter(|_| work.fleet == fleet) {
            if let Some(line) = waiting.get_mut(*place as usize) {
                *line = u8::try_from(*amount).unwrap_or(u8::MAX);
            }
        }
        let differs = (self.loads.fleet, &self.loads.waiting) != (fleet, &waiting);
        let Some(position) = next_position(self.loads.position, epoch, differs) else { return false };
        self.loads = LoadTable { position, fleet, waiting };
        true
    }

    /// Sets who takes part; whether that is news.
    pub fn set_group(&mut self, group: Group) -> bool {
        if self.group_version > 0 && self.group == group {
            return false;
        }
        self.group = group;
        self.group_version += 1;
        true
    }

    /// Takes a publisher's message. What is not newer than the state held changes nothing.
    pub fn apply(&mut self, message: ToSubscriber) -> Result<Changed, FeedError> {
        let mut changed = Changed::default();
        match message {
            ToSubscriber::Configuration(update) => {
                changed.configuration = self.configurations.apply(update)?;
            }
            ToSubscriber::Fleet(update) => changed.fleet = self.fleet.apply(update)?,
            ToSubscriber::Weights(table) => changed.weights = self.take_weights(table),
            ToSubscriber::Kept(update) => changed.kept = self.kept.apply(update)?,
            ToSubscriber::Group(group) => changed.group = self.set_group(group),
            ToSubscriber::Loads(table) => changed.loads = self.take_loads(table),
            ToSubscriber::Pong { id, age_ms, revision } => {
                let age = age_ms.map(|age| Duration::from_millis(age.into()));
                changed.pong = Some(Pong { id, age, revision });
            }
        }
        Ok(changed)
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

    /// Where the table of replicas stands.
    pub fn fleet_position(&self) -> Position {
        self.fleet.position()
    }

    /// The table of weights.
    pub fn weights(&self) -> &WeightsTable {
        &self.weights
    }

    /// The index of kept prompts, which goes on changing with this store.
    pub fn kept(&self) -> &Rc<RefCell<Index>> {
        self.kept.index()
    }

    /// The replicas with the work that waits at each; none where the table of loads follows another table of replicas
    /// than the one held.
    pub fn loads(&self) -> Option<impl Iterator<Item = (&Replica, u8)>> {
        let is_of_fleet = self.loads.fleet == self.fleet.position();
        is_of_fleet.then(|| self.fleet.replicas().zip(self.loads.waiting.iter().copied()))
    }

    /// Work that waits at replicas, as it is told along the feed.
    pub fn waiting_work(&self, units_of: impl Fn(&str) -> Option<u32>) -> QueuedWork {
        let places = self.fleet.replicas().zip(0..);
        let lines = places.filter_map(|(replica, place)| Some((place, units_of(&replica.id)?)));
        QueuedWork { fleet: self.fleet.position(), lines: lines.collect() }
    }

    /// Who takes part; empty while that is not known.
    pub fn group(&self) -> &Group {
        &self.group
    }

    /// How far the state goes.
    pub fn holdings(&self) -> KnownPositions {
        KnownPositions {
            configuration: self.configurations.revision(),
            fleet: self.fleet.position(),
            weights: self.weights.position,
            kept: self.kept.position(),
            loads: Some(self.loads.position),
        }
    }

    /// How far a subscriber is that has been sent everything.
    pub fn newest(&self) -> SentPositions {
        SentPositions { holdings: self.holdings(), group: self.group_version }
    }

    /// What a subscriber lacks that has just said what it holds: changes where they are known, else the whole
    /// table. The group is always among it once it is known.
    pub fn missing(&self, holds: &KnownPositions) -> Vec<ToSubscriber> {
        self.missing_since(&SentPositions::from(*holds))
    }

    /// What a subscriber lacks that has been sent `sent`.
    pub fn missing_since(&self, sent: &SentPositions) -> Vec<ToSubscriber> {
        let mut messages = Vec::new();
        if let Some(update) = self.configurations.since(sent.holdings.configuration) {
            messages.push(ToSubscriber::Configuration(update));
        }
        if let Some(update) = self.fleet.since(sent.holdings.fleet) {
            messages.push(ToSubscriber::Fleet(update));
        }
        if self.weights.position > sent.holdings.weights {
            messages.push(ToSubscriber::Weights(self.weights.clone()));
        }
        if let Some(update) = self.kept.since(sent.holdings.kept) {
            messages.push(ToSubscriber::Kept(update));
        }
        if sent.holdings.loads.is_some_and(|sent| self.loads.position > sent) {
            messages.push(ToSubscriber::Loads(self.loads.clone()));
        }
        if self.group_version > sent.group {
            messages.push(ToSubscriber::Group(self.group.clone()));
        }
        messages
    }

    fn take_loads(&mut self, table: LoadTable) -> bool {
        let newer = table.position > self.loads.position;
        if newer {
            self.loads = table;
        }
        newer
    }

    fn take_weights(&mut self, table: WeightsTable) -> bool {
        let newer = table.position > self.weights.position;
        if newer {
            self.weights = table;
        }
        newer
    }
}

/// Where a table at `position` stands after the primary of `epoch` has written it; none if it does not move.
fn next_position(position: Position, epoch: u64, differs: bool) -> Option<Position> {
    let first = Position { epoch, sequence: 1 };
    if first > position && (epoch > position.epoch || position.sequence == 0) {
        return Some(first);
    }
    let moves = epoch == position.epoch && differs;
    moves.then(|| Position { epoch, sequence: position.sequence + 1 })
}
