//! The index of kept prompts on its way along the feed.

use std::net::{Ipv4Addr, SocketAddrV4};

use rstest::rstest;
use tulipridge_prefix_cache_index::{CacheUpdate, CachedPrefix, Liveness, PrefixKey};
use tulipridge_protocol::feed::{CacheTableUpdate, KnownPositions, Position, ToSubscriber};
use tulipridge_protocol::frame;
use tulipridge_subscription::store::Table;
use tulipridge_subscription::{FeedError, FeedStore};

fn address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 8080)
}

fn key(part: u64) -> PrefixKey {
    PrefixKey::new("m1", &part.to_string())
}

fn kept(number: u8, next_token: u64, parts: &[(u64, u32)]) -> CacheUpdate {
    CacheUpdate {
        source: address(number),
        boot: 1,
        next_token,
        liveness: Liveness::Alive,
        replace: false,
        added: parts
            .iter()
            .map(|(part, tokens)| CachedPrefix { key: key(*part), tokens: *tokens })
            .collect(),
        removed: Vec::new(),
    }
}

fn position(epoch: u64, sequence: u64) -> Position {
    Position { epoch, sequence }
}

fn news(publisher: &FeedStore, subscriber: &FeedStore) -> Option<CacheTableUpdate> {
    publisher.missing(&subscriber.holdings()).into_iter().find_map(|message| match message {
        ToSubscriber::Kept(update) => Some(update),
        _ => None,
    })
}

/// Brings a subscriber up to date, by way of the bytes of the wire.
fn deliver(publisher: &FeedStore, subscriber: &mut FeedStore) -> Result<(), FeedError> {
    let mut bytes = Vec::new();
    for message in publisher.missing(&subscriber.holdings()) {
        frame::append(&message, &mut bytes).expect("a short message");
    }
    while let Some(message) = frame::take::<ToSubscriber>(&mut bytes).expect("a whole message") {
        subscriber.apply(message)?;
    }
    Ok(())
}

fn assert_same(subscriber: &FeedStore, publisher: &FeedStore) {
    assert_eq!(subscriber.holdings(), publisher.holdings());
    assert_eq!(subscriber.kept().borrow().snapshot(), publisher.kept().borrow().snapshot());
}

#[test]
fn the_position_moves_with_changes_and_epochs() {
    let mut store = FeedStore::new();
    assert!(store.set_kept(4, &[kept(1, 1, &[(1, 800)])]));
    assert_eq!(store.holdings().kept, position(4, 1));
    assert!(!store.set_kept(4, &[]));
    assert!(store.set_kept(4, &[kept(1, 2, &[(2, 800)])]));
    assert!(!store.set_kept(3, &[kept(1, 3, &[(3, 800)])]), "an old epoch");
    assert!(store.set_kept(5, &[kept(1, 3, &[(3, 800)])]));
    assert_eq!(store.holdings().kept, position(5, 1));
    assert_eq!(store.kept().borrow().len(), 3);
}

#[test]
fn a_newcomer_gets_the_whole_index_and_then_changes() {
    let (mut publisher, mut subscriber) = (FeedStore::new(), FeedStore::new());
    publisher.set_kept(1, &[kept(1, 1, &[(1, 800), (2, 800)])]);
    assert_eq!(news(&publisher, &subscriber).map(|update| update.base), Some(None));
    deliver(&publisher, &mut subscriber).expect("a snapshot");
    let mut removal = kept(1, 3, &[(3, 900)]);
    removal.removed.push(key(1));
    publisher.set_kept(1, &[removal]);
    let update = news(&publisher, &subscriber).expect("news");
    assert_eq!((update.base, update.position), (Some(position(1, 1)), position(1, 2)));
    assert_eq!(update.updates[0].added, [CachedPrefix { key: key(3), tokens: 900 }]);
    assert_eq!(update.updates[0].removed, [key(1)]);
    deliver(&publisher, &mut subscriber).expect("changes");
    assert_same(&subscriber, &publisher);
    assert_eq!(news(&publisher, &subscriber), None);
}

#[test]
fn changes_of_another_state_are_refused() {
    let mut store = FeedStore::new();
    store.set_kept(1, &[kept(1, 1, &[])]);
    let update =
        CacheTableUpdate { base: Some(position(1, 7)), position: position(1, 8), updates: Vec::new() };
    assert_eq!(
        store.apply(ToSubscriber::Kept(update)),
        Err(FeedError::Gap { table: Table::Kept }),
        "the subscriber asks again with what it holds"
    );
}

#[test]
fn a_subscriber_ahead_in_an_old_epoch_gets_the_whole_index() {
    let (mut old, mut new) = (FeedStore::new(), FeedStore::new());
    old.set_kept(1, &[kept(1, 1, &[(1, 800)])]);
    deliver(&old, &mut new).expect("a snapshot");
    old.set_kept(1, &[kept(1, 2, &[(2, 800)])]);
    new.set_kept(2, &[kept(1, 3, &[(3, 800)])]);
    assert_eq!(news(&new, &old).map(|update| update.base), Some(None));
    deliver(&new, &mut old).expect("a snapshot");
    assert_same(&old, &new);
    assert!(!old.set_kept(1, &[kept(1, 9, &[(9, 800)])]), "the old primary is deposed");
}

#[rstest]
fn subscribers_equal_their_publishers_through_takeovers(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut stores = [FeedStore::new(), FeedStore::new(), FeedStore::new()];
    let (mut primary, mut epoch) = (0, 1);
    for step in 0..1_500 {
        match random.u32(0..100) {
            0 => (primary, epoch) = ((primary + 1) % 3, epoch + 1),
            1..40 => {
                let other = (primary + random.usize(1..3)) % 3;
                let [publisher, subscriber] =
                    stores.get_disjoint_mut([primary, other]).expect("two of three stores");
                deliver(publisher, subscriber).expect("what is missing applies");
            }
            _ => drop(stores[primary].set_kept(epoch, &[random_update(&mut random, step)])),
        }
    }
    epoch += 1;
    stores[primary].set_kept(epoch, &[kept(1, 0, &[])]);
    for other in [(primary + 1) % 3, (primary + 2) % 3] {
        let [publisher, subscriber] =
            stores.get_disjoint_mut([primary, other]).expect("two of three stores");
        deliver(publisher, subscriber).expect("what is missing applies");
        assert_same(subscriber, publisher);
    }
}

fn random_update(random: &mut fastrand::Rng, step: u64) -> CacheUpdate {
    let number = random.u8(1..5);
    match random.u32(0..20) {
        0 => CacheUpdate::gone(address(number)),
        1 => CacheUpdate { liveness: Liveness::Down, ..kept(number, step, &[]) },
        2 => CacheUpdate { replace: true, ..kept(number, step, &[(random.u64(0..30), 700)]) },
        3..7 => CacheUpdate { removed: vec![key(random.u64(0..30))], ..kept(number, step, &[]) },
        _ => kept(number, step, &[(random.u64(0..30), random.u32(256..5_000))]),
    }
}

#[test]
fn holdings_without_an_index_are_zero() {
    assert_eq!(FeedStore::new().holdings().kept, KnownPositions::default().kept);
}
