//! Delivery of the prefix-cache index along the feed.

use std::net::{Ipv4Addr, SocketAddrV4};

use rstest::rstest;
use tulipridge_prefix_cache_index::{CacheUpdate, CachedPrefix, Liveness, PrefixKey};
use tulipridge_protocol::feed::{CacheIndexUpdate, KnownPositions, Position, ToSubscriber};
use tulipridge_protocol::frame;
use tulipridge_protocol::number::{ChangeNumber, Epoch};
use tulipridge_subscription::store::Table;
use tulipridge_subscription::{FeedError, FeedStore};

fn address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 8080)
}

fn key(number: u64) -> PrefixKey {
    PrefixKey::new("m1", &number.to_string())
}

fn cached(number: u8, next_token: u64, prefixes: &[(u64, u32)]) -> CacheUpdate {
    CacheUpdate {
        source: address(number),
        boot: 1,
        next_token,
        liveness: Liveness::Alive,
        replace: false,
        added: prefixes
            .iter()
            .map(|(number, tokens)| CachedPrefix { key: key(*number), tokens: *tokens })
            .collect(),
        removed: Vec::new(),
    }
}

fn position(epoch: u64, sequence: u64) -> Position {
    Position { epoch: Epoch(epoch), sequence: ChangeNumber(sequence) }
}

fn pending_update(publisher: &FeedStore, subscriber: &FeedStore) -> Option<CacheIndexUpdate> {
    publisher.updates_for(&subscriber.known_positions()).into_iter().find_map(|message| match message {
        ToSubscriber::CacheIndex(update) => Some(update),
        _ => None,
    })
}

/// Brings a subscriber up to date through encoded frames.
fn deliver(publisher: &FeedStore, subscriber: &mut FeedStore) -> Result<(), FeedError> {
    let mut bytes = Vec::new();
    for message in publisher.updates_for(&subscriber.known_positions()) {
        frame::append(&message, &mut bytes).expect("encodes the message");
    }
    while let Some(message) = frame::take::<ToSubscriber>(&mut bytes).expect("decodes the message") {
        subscriber.apply(message)?;
    }
    Ok(())
}

fn assert_same(subscriber: &FeedStore, publisher: &FeedStore) {
    assert_eq!(subscriber.known_positions(), publisher.known_positions());
    assert_eq!(subscriber.cache_index().borrow().snapshot(), publisher.cache_index().borrow().snapshot());
}

#[test]
fn the_position_advances_with_changes_and_epochs() {
    let mut store = FeedStore::new();
    assert!(store.update_cache_index(Epoch(4), &[cached(1, 1, &[(1, 800)])]));
    assert_eq!(store.known_positions().cache_index, position(4, 1));
    assert!(!store.update_cache_index(Epoch(4), &[]));
    assert!(store.update_cache_index(Epoch(4), &[cached(1, 2, &[(2, 800)])]));
    assert!(!store.update_cache_index(Epoch(3), &[cached(1, 3, &[(3, 800)])]), "an old epoch");
    assert!(store.update_cache_index(Epoch(5), &[cached(1, 3, &[(3, 800)])]));
    assert_eq!(store.known_positions().cache_index, position(5, 1));
    assert_eq!(store.cache_index().borrow().len(), 3);
}

#[test]
fn a_new_subscriber_gets_a_snapshot_and_then_deltas() {
    let (mut publisher, mut subscriber) = (FeedStore::new(), FeedStore::new());
    publisher.update_cache_index(Epoch(1), &[cached(1, 1, &[(1, 800), (2, 800)])]);
    assert_eq!(pending_update(&publisher, &subscriber).map(|update| update.base), Some(None));
    deliver(&publisher, &mut subscriber).expect("the snapshot applies");
    let mut removal = cached(1, 3, &[(3, 900)]);
    removal.removed.push(key(1));
    publisher.update_cache_index(Epoch(1), &[removal]);
    let update = pending_update(&publisher, &subscriber).expect("an update is pending");
    assert_eq!((update.base, update.position), (Some(position(1, 1)), position(1, 2)));
    assert_eq!(update.updates[0].added, [CachedPrefix { key: key(3), tokens: 900 }]);
    assert_eq!(update.updates[0].removed, [key(1)]);
    deliver(&publisher, &mut subscriber).expect("the delta applies");
    assert_same(&subscriber, &publisher);
    assert_eq!(pending_update(&publisher, &subscriber), None);
}

#[test]
fn a_delta_from_another_position_is_a_gap() {
    let mut store = FeedStore::new();
    store.update_cache_index(Epoch(1), &[cached(1, 1, &[])]);
    let update =
        CacheIndexUpdate { base: Some(position(1, 7)), position: position(1, 8), updates: Vec::new() };
    assert_eq!(
        store.apply(ToSubscriber::CacheIndex(update)),
        Err(FeedError::Gap { table: Table::CacheIndex }),
        "the subscriber reconnects with its known positions"
    );
}

#[test]
fn a_subscriber_ahead_in_an_old_epoch_gets_a_snapshot() {
    let (mut old, mut new) = (FeedStore::new(), FeedStore::new());
    old.update_cache_index(Epoch(1), &[cached(1, 1, &[(1, 800)])]);
    deliver(&old, &mut new).expect("the snapshot applies");
    old.update_cache_index(Epoch(1), &[cached(1, 2, &[(2, 800)])]);
    new.update_cache_index(Epoch(2), &[cached(1, 3, &[(3, 800)])]);
    assert_eq!(pending_update(&new, &old).map(|update| update.base), Some(None));
    deliver(&new, &mut old).expect("the snapshot applies");
    assert_same(&old, &new);
    assert!(!old.update_cache_index(Epoch(1), &[cached(1, 9, &[(9, 800)])]), "an old epoch");
}

#[rstest]
fn subscribers_match_the_primary_after_takeovers(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut stores = [FeedStore::new(), FeedStore::new(), FeedStore::new()];
    let (mut primary, mut epoch) = (0, 1);
    for step in 0..1_500 {
        match random.u32(0..100) {
            0 => (primary, epoch) = ((primary + 1) % 3, epoch + 1),
            1..40 => {
                let other = (primary + random.usize(1..3)) % 3;
                let [publisher, subscriber] =
                    stores.get_disjoint_mut([primary, other]).expect("two different stores");
                deliver(publisher, subscriber).expect("the missing updates apply");
            }
            _ => {
                stores[primary].update_cache_index(Epoch(epoch), &[random_update(&mut random, step)]);
            }
        }
    }
    epoch += 1;
    stores[primary].update_cache_index(Epoch(epoch), &[cached(1, 0, &[])]);
    for other in [(primary + 1) % 3, (primary + 2) % 3] {
        let [publisher, subscriber] =
            stores.get_disjoint_mut([primary, other]).expect("two different stores");
        deliver(publisher, subscriber).expect("the missing updates apply");
        assert_same(subscriber, publisher);
    }
}

fn random_update(random: &mut fastrand::Rng, step: u64) -> CacheUpdate {
    let number = random.u8(1..5);
    match random.u32(0..20) {
        0 => CacheUpdate::gone(address(number)),
        1 => CacheUpdate { liveness: Liveness::Down, ..cached(number, step, &[]) },
        2 => CacheUpdate { replace: true, ..cached(number, step, &[(random.u64(0..30), 700)]) },
        3..7 => CacheUpdate { removed: vec![key(random.u64(0..30))], ..cached(number, step, &[]) },
        _ => cached(number, step, &[(random.u64(0..30), random.u32(256..5_000))]),
    }
}

#[test]
fn the_position_of_an_empty_index_is_zero() {
    assert_eq!(FeedStore::new().known_positions().cache_index, KnownPositions::default().cache_index);
}
