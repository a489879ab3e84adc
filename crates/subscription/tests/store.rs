//! Store tests: despite lost and late messages, a subscriber reaches the publisher's newest state, and no position

mod common;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use common::{configuration, membership, replica, replica_warming, weights};
use rstest::rstest;
use tulipridge_configuration::Configuration;
use tulipridge_configuration::number::Revision;
use tulipridge_protocol::feed::{
    ConfigurationUpdate, FleetUpdate, KnownPositions, ModelWeights, Position, Replica, ReplicaPhase,
    ToSubscriber, WeightsTable,
};
use tulipridge_protocol::number::{ChangeNumber, Epoch};
use tulipridge_subscription::store::{SentPositions, Table};
use tulipridge_subscription::{FeedError, FeedStore, StateChanges};

fn position(epoch: u64, sequence: u64) -> Position {
    Position { epoch: Epoch(epoch), sequence: ChangeNumber(sequence) }
}

fn apply_all(subscriber: &mut FeedStore, messages: Vec<ToSubscriber>) -> Result<(), FeedError> {
    messages.into_iter().try_for_each(|message| subscriber.apply(message).map(|_| ()))
}

fn replicas(store: &FeedStore) -> Vec<Replica> {
    store.fleet().cloned().collect()
}

fn assert_same(subscriber: &FeedStore, publisher: &FeedStore) {
    assert_eq!(subscriber.known_positions(), publisher.known_positions());
    assert_eq!(subscriber.configuration(), publisher.configuration());
    assert_eq!(replicas(subscriber), replicas(publisher));
    assert_eq!(subscriber.weights(), publisher.weights());
    assert_eq!(subscriber.cluster_membership(), publisher.cluster_membership());
}

#[test]
fn a_configuration_is_replaced_only_by_a_higher_revision() {
    let mut store = FeedStore::new();
    assert!(store.set_configuration(configuration(7, 1)));
    assert!(!store.set_configuration(configuration(7, 2)));
    assert!(!store.set_configuration(configuration(3, 2)));
    assert!(store.set_configuration(configuration(12, 2)));
    assert_eq!(store.known_positions().configuration, Revision(12));
}

#[test]
fn the_fleet_position_advances_with_differences_and_epochs() {
    let mut store = FeedStore::new();
    assert!(store.set_fleet(Epoch(4), vec![]));
    assert_eq!(store.fleet_position(), position(4, 1));
    assert!(!store.set_fleet(Epoch(4), vec![]));
    assert!(store.set_fleet(Epoch(4), vec![replica("a", 1)]));
    assert!(!store.set_fleet(Epoch(4), vec![replica("a", 1)]));
    assert!(store.set_fleet(Epoch(4), vec![replica("a", 2)]));
    assert!(store.set_fleet(Epoch(4), vec![]));
    assert_eq!(store.fleet_position(), position(4, 4));
    assert!(!store.set_fleet(Epoch(3), vec![replica("a", 1)]), "an old epoch");
    assert!(store.set_fleet(Epoch(5), vec![]), "a new epoch");
    assert_eq!(store.fleet_position(), position(5, 1));
}

#[test]
fn the_weights_position_advances_with_differences_and_epochs() {
    let mut store = FeedStore::new();
    assert!(store.set_weights(Epoch(0), vec![]));
    assert!(!store.set_weights(Epoch(0), vec![]));
    assert!(store.set_weights(Epoch(0), weights(2)));
    assert_eq!(store.weights(), &WeightsTable { position: position(0, 2), models: weights(2) });
    assert!(store.set_weights(Epoch(1), weights(2)));
    assert!(!store.set_weights(Epoch(0), weights(3)), "an old epoch");
    assert_eq!(store.weights().position, position(1, 1));
}

#[test]
fn warming_up_is_a_change_only_at_its_start_and_end() {
    let mut store = FeedStore::new();
    assert!(store.set_fleet(Epoch(1), vec![replica_warming("a", 900)]));
    assert!(!store.set_fleet(Epoch(1), vec![replica_warming("a", 600)]));
    assert_eq!(replicas(&store)[0].warm_left_ms, 600, "new subscribers receive the current value");
    assert!(store.set_fleet(Epoch(1), vec![replica_warming("a", 0)]));
    assert!(!store.set_fleet(Epoch(1), vec![replica_warming("a", 0)]));
    assert!(store.set_fleet(Epoch(1), vec![replica_warming("a", 900)]));
}

/// Every field of an entry is compared.
#[rstest]
#[case::service(|entry: &mut Replica| entry.service.push('x'))]
#[case::address(|entry: &mut Replica| entry.address.push('1'))]
#[case::zone(|entry: &mut Replica| entry.zone.push('x'))]
#[case::capacity(|entry: &mut Replica| entry.capacity += 1)]
#[case::phase(|entry: &mut Replica| entry.phase = ReplicaPhase::Draining)]
#[case::models(|entry: &mut Replica| entry.models.clear())]
fn a_replica_that_differs_advances_the_fleet_position(#[case] change: fn(&mut Replica)) {
    let mut store = FeedStore::new();
    let mut entry = replica("a", 1);
    store.set_fleet(Epoch(1), vec![entry.clone()]);
    change(&mut entry);
    assert!(store.set_fleet(Epoch(1), vec![entry]));
}

#[test]
fn a_subscriber_with_an_earlier_fleet_position_gets_a_delta() {
    let mut publisher = FeedStore::new();
    publisher.set_fleet(Epoch(1), vec![replica("a", 1), replica("b", 1), replica("c", 1)]);
    let known = publisher.known_positions();
    publisher.set_fleet(Epoch(1), vec![replica("a", 1), replica("c", 2)]);
    publisher.set_fleet(Epoch(1), vec![replica("a", 1), replica("c", 3)]);
    let expected = FleetUpdate::Changes {
        base: position(1, 1),
        position: position(1, 3),
        changed: vec![replica("c", 3)],
        removed: vec!["b".to_owned()],
    };
    assert_eq!(publisher.updates_for(&known), vec![ToSubscriber::Fleet(expected)]);
}

#[rstest]
#[case::unknown_sequence(position(1, 7))]
#[case::other_epoch(position(0, 2))]
fn a_subscriber_with_an_unknown_fleet_position_gets_a_snapshot(#[case] known: Position) {
    let mut publisher = FeedStore::new();
    publisher.set_fleet(Epoch(1), vec![replica("a", 1)]);
    publisher.set_fleet(Epoch(2), vec![replica("a", 2)]);
    let expected = FleetUpdate::Snapshot { position: position(2, 1), replicas: vec![replica("a", 2)] };
    let known = KnownPositions { fleet: known, ..KnownPositions::default() };
    assert_eq!(publisher.updates_for(&known), vec![ToSubscriber::Fleet(expected)]);
}

#[test]
fn the_log_of_fleet_changes_is_bounded() {
    let mut publisher = FeedStore::new();
    let mut known = Vec::new();
    for capacity in 1..3_000 {
        publisher.set_fleet(Epoch(1), vec![replica("a", capacity), replica("b", 1)]);
        known.push(publisher.known_positions());
    }
    let is_snapshot = |known: &KnownPositions| {
        matches!(publisher.updates_for(known)[..], [ToSubscriber::Fleet(FleetUpdate::Snapshot { .. })])
    };
    assert!(is_snapshot(&known[0]));
    assert!(!is_snapshot(&known[2_500]));
}

#[test]
fn a_fleet_delta_with_another_base_is_a_gap() {
    let mut publisher = FeedStore::new();
    publisher.set_fleet(Epoch(1), vec![replica("a", 1), replica("b", 1)]);
    let known = publisher.known_positions();
    publisher.set_fleet(Epoch(1), vec![replica("a", 2), replica("b", 1)]);
    let mut subscriber = FeedStore::new();
    let outcome = apply_all(&mut subscriber, publisher.updates_for(&known));
    assert_eq!(outcome, Err(FeedError::Gap { table: Table::Fleet }));
    let known = subscriber.known_positions();
    apply_all(&mut subscriber, publisher.updates_for(&known))
        .expect("the updates for its known positions apply");
    assert_same(&subscriber, &publisher);
}

#[test]
fn a_new_epoch_replaces_an_old_one() {
    let mut old = FeedStore::new();
    old.set_fleet(Epoch(1), vec![replica("a", 1)]);
    for capacity in 2..9 {
        old.set_fleet(Epoch(1), vec![replica("a", capacity)]);
        old.set_weights(Epoch(1), weights(capacity.into()));
    }
    let mut subscriber = FeedStore::new();
    apply_all(&mut subscriber, old.updates_for(&KnownPositions::default())).expect("the updates apply");
    let mut new = FeedStore::new();
    new.set_fleet(Epoch(2), vec![replica("z", 1)]);
    new.set_weights(Epoch(2), weights(1));
    let known = subscriber.known_positions();
    apply_all(&mut subscriber, new.updates_for(&known)).expect("the updates apply");
    assert_same(&subscriber, &new);
    assert_eq!(subscriber.fleet_position(), position(2, 1));
    apply_all(&mut subscriber, old.updates_for(&KnownPositions::default())).expect("ignores older state");
    assert_same(&subscriber, &new);
}

#[test]
fn a_publisher_that_is_behind_sends_nothing() {
    let mut publisher = FeedStore::new();
    publisher.set_configuration(configuration(5, 1));
    publisher.set_fleet(Epoch(1), vec![replica("a", 1)]);
    publisher.set_weights(Epoch(1), weights(1));
    let ahead = KnownPositions {
        configuration: Revision(6),
        fleet: position(1, 2),
        weights: position(2, 1),
        cache_index: Position::default(),
        loads: Some(Position::default()),
    };
    assert_eq!(publisher.updates_for(&ahead), vec![]);
}

#[test]
fn the_membership_is_sent_to_new_subscribers_and_on_change() {
    let mut publisher = FeedStore::new();
    assert_eq!(publisher.updates_for(&KnownPositions::default()), vec![]);
    assert!(publisher.set_cluster_membership(membership(3)));
    assert!(!publisher.set_cluster_membership(membership(3)));
    assert_eq!(
        publisher.updates_for(&KnownPositions::default()),
        vec![ToSubscriber::ClusterMembership(membership(3))]
    );
    let sent = publisher.newest_positions();
    assert_eq!(publisher.updates_since(&sent), vec![]);
    assert!(publisher.set_cluster_membership(membership(4)));
    assert_eq!(publisher.updates_since(&sent), vec![ToSubscriber::ClusterMembership(membership(4))]);
}

/// Returns the update of the configuration for a subscriber that knows revision `base`.
fn configuration_update(publisher: &FeedStore, base: u64) -> ConfigurationUpdate {
    let known = KnownPositions { configuration: Revision(base), ..KnownPositions::default() };
    match publisher.updates_for(&known).as_slice() {
        [ToSubscriber::Configuration(update)] => update.clone(),
        other => panic!("expected one update of the configuration: {other:?}"),
    }
}

#[test]
fn only_the_last_eight_configurations_lead_to_deltas() {
    let mut publisher = FeedStore::new();
    for revision in 1..=10 {
        publisher.set_configuration(configuration(revision, 0b11 | revision << 8));
    }
    let is_changes =
        |base| matches!(configuration_update(&publisher, base), ConfigurationUpdate::Changes(_));
    let delta_bases: Vec<u64> = (0..10).filter(|base| is_changes(*base)).collect();
    assert_eq!(delta_bases, vec![2, 3, 4, 5, 6, 7, 8, 9]);
}

#[test]
fn a_snapshot_is_sent_where_a_delta_would_lose_the_order() {
    let mut publisher = FeedStore::new();
    publisher.set_configuration(configuration(1, 0b10));
    publisher.set_configuration(configuration(2, 0b11));
    let newest = publisher.configuration().expect("a configuration was set");
    assert_eq!(configuration_update(&publisher, 1), ConfigurationUpdate::Snapshot(newest));
}

#[test]
fn a_configuration_delta_is_forwarded_unchanged() {
    let mut publisher = FeedStore::new();
    publisher.set_configuration(configuration(1, 0b01));
    let mut relay = FeedStore::new();
    apply_all(&mut relay, publisher.updates_for(&KnownPositions::default())).expect("the updates apply");
    publisher.set_configuration(configuration(2, 0b11));
    let relay_positions = relay.known_positions();
    apply_all(&mut relay, publisher.updates_for(&relay_positions)).expect("the updates apply");
    assert_same(&relay, &publisher);
    assert_eq!(configuration_update(&relay, 1), configuration_update(&publisher, 1));
}

#[test]
fn a_configuration_delta_with_another_base_is_a_gap() {
    let mut publisher = FeedStore::new();
    publisher.set_configuration(configuration(3, 0b01));
    publisher.set_configuration(configuration(5, 0b11));
    let changes = configuration_update(&publisher, 3);
    let mut subscriber = FeedStore::new();
    subscriber.set_configuration(configuration(2, 0b01));
    let outcome = subscriber.apply(ToSubscriber::Configuration(changes.clone()));
    assert_eq!(outcome, Err(FeedError::Gap { table: Table::Configuration }));
    subscriber.set_configuration(configuration(6, 0b01));
    let outcome = subscriber.apply(ToSubscriber::Configuration(changes));
    assert_eq!(outcome, Ok(StateChanges::default()), "an outdated delta is not a gap");
}

/// Tables that the primaries have written, by revision and position.
#[derive(Default)]
struct Reference {
    configurations: BTreeMap<Revision, Arc<Configuration>>,
    fleets: BTreeMap<Position, Vec<Replica>>,
    weights: BTreeMap<Position, Vec<ModelWeights>>,
}

impl Reference {
    fn record(&mut self, primary: &FeedStore) {
        if let Some(configuration) = primary.configuration() {
            self.configurations.insert(configuration.revision, configuration);
        }
        self.fleets.insert(primary.fleet_position(), replicas(primary));
        self.weights.insert(primary.weights().position, primary.weights().models.clone());
    }

    /// Checks that each table of a store was written by a primary.
    fn check(&self, store: &FeedStore) {
        if let Some(configuration) = store.configuration() {
            assert_eq!(self.configurations.get(&configuration.revision), Some(&configuration));
        }
        if store.fleet_position() != Position::default() {
            assert_eq!(self.fleets.get(&store.fleet_position()), Some(&replicas(store)));
        }
        if store.weights().position != Position::default() {
            assert_eq!(self.weights.get(&store.weights().position), Some(&store.weights().models));
        }
    }
}

/// A subscriber's connection: the positions that were sent, and the messages that have not arrived yet.
struct Link {
    publisher: usize,
    sent: SentPositions,
    in_flight: VecDeque<ToSubscriber>,
}

/// Stores that subscribe to each other. One of them is the primary.
struct Cluster {
    random: fastrand::Rng,
    reference: Reference,
    stores: Vec<FeedStore>,
    links: Vec<Option<Link>>,
    epoch: u64,
    primary: usize,
    revision: u64,
}

const STORE_COUNT: usize = 6;

impl Cluster {
    fn new(seed: u64) -> Self {
        let mut cluster = Cluster {
            random: fastrand::Rng::with_seed(seed),
            reference: Reference::default(),
            stores: (0..STORE_COUNT).map(|_| FeedStore::new()).collect(),
            links: (0..STORE_COUNT).map(|_| None).collect(),
            epoch: 0,
            primary: 0,
            revision: 0,
        };
        cluster.write();
        cluster
    }

    fn step(&mut self) {
        let store = self.random.usize(..STORE_COUNT);
        match self.random.u32(..100) {
            0 => self.take_over(),
            1 => self.restart(store),
            2..6 => self.connect(store),
            6..30 => self.write(),
            30..60 => self.send(store),
            _ => self.deliver(store),
        }
    }

    /// The primary writes random tables.
    fn write(&mut self) {
        let replicas = (0..self.random.u32(..12)).map(|_| {
            let name = self.random.u32(..12).to_string();
            replica(&name, self.random.u32(1..4))
        });
        let replicas = replicas.collect();
        let primary = &mut self.stores[self.primary];
        primary.set_fleet(Epoch(self.epoch), replicas);
        if self.random.bool() {
            primary.set_weights(Epoch(self.epoch), weights(self.random.u64(..4)));
        }
        if self.random.bool() {
            self.revision += self.random.u64(1..9);
            primary.set_configuration(configuration(self.revision, self.random.u64(..)));
        }
        primary.set_cluster_membership(membership(self.random.u32(..5)));
        self.reference.record(primary);
    }

    /// Any store becomes the primary, even one that is behind. As required of a primary, it writes each table in its
    /// epoch, after it has read a missing configuration from its log.
    fn take_over(&mut self) {
        self.primary = self.random.usize(..STORE_COUNT);
        self.links[self.primary] = None;
        self.epoch += 1;
        if let Some(newest) = self.reference.configurations.values().next_back() {
            self.stores[self.primary].set_configuration(Arc::clone(newest));
        }
        let epoch = self.epoch;
        self.stores[self.primary].set_weights(Epoch(epoch), weights(self.random.u64(..4)));
        self.write();
    }

    /// A store other than the primary loses its state and all connections to it.
    fn restart(&mut self, store: usize) {
        if store == self.primary {
            return;
        }
        self.stores[store] = FeedStore::new();
        self.links[store] = None;
        for link in &mut self.links {
            if link.as_ref().is_some_and(|link| link.publisher == store) {
                *link = None;
            }
        }
    }

    fn connect(&mut self, store: usize) {
        let publisher = self.random.usize(..STORE_COUNT);
        if store != self.primary && publisher != store {
            let sent = SentPositions::from(self.stores[store].known_positions());
            self.links[store] = Some(Link { publisher, sent, in_flight: VecDeque::new() });
        }
    }

    fn send(&mut self, store: usize) {
        let Some(link) = &mut self.links[store] else { return };
        let publisher = &self.stores[link.publisher];
        link.in_flight.extend(publisher.updates_since(&link.sent));
        link.sent = link.sent.later(publisher.newest_positions());
    }

    fn deliver(&mut self, store: usize) {
        let Some(message) = self.links[store].as_mut().and_then(|link| link.in_flight.pop_front()) else {
            return;
        };
        let before = self.stores[store].known_positions();
        self.stores[store].apply(message).expect("messages in order have no gaps");
        let after = self.stores[store].known_positions();
        assert!(after.configuration >= before.configuration);
        assert!(after.fleet >= before.fleet);
        assert!(after.weights >= before.weights);
    }
}

#[rstest]
fn random_histories_end_in_the_newest_state(#[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)] seed: u64) {
    let mut cluster = Cluster::new(seed);
    for _ in 0..6_000 {
        cluster.step();
        for store in &cluster.stores {
            cluster.reference.check(store);
        }
    }
    let primary = cluster.primary;
    for store in (0..STORE_COUNT).filter(|store| *store != primary) {
        let sent = SentPositions::from(cluster.stores[store].known_positions());
        cluster.links[store] = Some(Link { publisher: primary, sent, in_flight: VecDeque::new() });
        cluster.send(store);
        while cluster.links[store].as_ref().is_some_and(|link| !link.in_flight.is_empty()) {
            cluster.deliver(store);
        }
        assert_same(&cluster.stores[store], &cluster.stores[primary]);
    }
}
