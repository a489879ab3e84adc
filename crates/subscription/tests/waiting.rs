//! Work that waits at replicas, on its way up to the primary and down to all gateways.

mod common;

use std::rc::Rc;

use common::network::{self, Peer, fresh, listener, publish, store, subscribe, subscriber, until};
use common::replica;
use rstest::rstest;
use tulipridge_protocol::feed::{
    KnownPositions, LoadTable, Position, QueuedWork, SubscriberRole, ToPublisher, ToSubscriber,
};
use tulipridge_subscription::{FeedStore, PublisherSettings, waiting};

fn position(epoch: u64, sequence: u64) -> Position {
    Position { epoch, sequence }
}

fn work(fleet: Position, lines: &[(u32, u32)]) -> QueuedWork {
    QueuedWork { fleet, lines: lines.to_vec() }
}

/// A primary's store with three replicas.
fn primary() -> FeedStore {
    let mut store = FeedStore::new();
    store.set_fleet(7, vec![replica("a", 1), replica("b", 1), replica("c", 1)]);
    store
}

fn table_for(store: &FeedStore, holds: &KnownPositions) -> Option<LoadTable> {
    store.missing(holds).into_iter().find_map(|message| match message {
        ToSubscriber::Loads(table) => Some(table),
        _ => None,
    })
}

#[rstest]
#[case::nothing(&[], work(Position::default(), &[]))]
#[case::of_one_table(
    &[work(position(7, 1), &[(0, 2), (2, 5)]), work(position(7, 1), &[(2, 1)])],
    work(position(7, 1), &[(0, 2), (2, 6)])
)]
#[case::of_the_newest_table(
    &[work(position(7, 2), &[(1, 3)]), work(position(7, 1), &[(0, 2)]), work(position(7, 2), &[(1, 1)])],
    work(position(7, 2), &[(1, 4)])
)]
#[case::without_overflow(
    &[work(position(7, 1), &[(0, u32::MAX)]), work(position(7, 1), &[(0, 9)])],
    work(position(7, 1), &[(0, u32::MAX)])
)]
fn work_is_summed(#[case] parts: &[QueuedWork], #[case] sum: QueuedWork) {
    assert_eq!(waiting::sum(parts), sum);
}

#[test]
fn the_table_has_a_line_for_each_replica_and_moves_when_one_differs() {
    let mut store = primary();
    let fleet = store.fleet_position();
    assert!(store.set_loads(7, &work(fleet, &[(1, 4), (2, 900), (9, 1)])));
    let table = table_for(&store, &KnownPositions { loads: Some(Position::default()), ..store.holdings() });
    assert_eq!(table, Some(LoadTable { position: position(7, 1), fleet, waiting: vec![0, 4, 255] }));
    assert!(!store.set_loads(7, &work(fleet, &[(1, 4), (2, 900)])), "nothing differs");
    assert!(!store.set_loads(6, &work(fleet, &[(1, 5)])), "an old epoch");
    assert!(store.set_loads(7, &work(fleet, &[])));
    assert_eq!(store.holdings().loads, Some(position(7, 2)));
}

#[test]
fn work_by_another_table_of_replicas_is_left_out() {
    let mut store = primary();
    store.set_loads(7, &work(position(7, 9), &[(1, 4)]));
    let lines: Vec<u8> = store.loads().expect("a table").map(|(_, waiting)| waiting).collect();
    assert_eq!(lines, [0, 0, 0]);
}

#[test]
fn a_table_of_loads_is_not_read_beside_another_table_of_replicas() {
    let mut store = primary();
    let fleet = store.fleet_position();
    store.set_loads(7, &work(fleet, &[(1, 4)]));
    store.set_fleet(7, vec![replica("a", 1), replica("c", 1)]);
    assert!(store.loads().is_none());
}

#[test]
fn a_program_that_does_not_know_the_table_is_never_sent_it() {
    let mut store = primary();
    store.set_loads(7, &work(store.fleet_position(), &[(1, 4)]));
    let earlier = KnownPositions::default();
    assert_eq!(table_for(&store, &earlier), None);
    let sent = tulipridge_subscription::store::SentPositions::from(earlier).later(store.newest());
    store.set_loads(7, &work(store.fleet_position(), &[(1, 5)]));
    assert_eq!(table_for(&store, &sent.holdings), None);
}

#[test]
fn a_publisher_sums_what_its_subscribers_tell_and_forgets_those_that_leave() {
    network::run(|executor| async move {
        let store = store();
        let (publisher, address) = publish(&executor, &store, fresh(), PublisherSettings::default());
        let fleet = position(7, 1);
        let mut first = Peer::connect(address).await;
        first.say(&subscribe(KnownPositions::default())).await;
        first.say(&ToPublisher::Waiting(work(fleet, &[(0, 2), (1, 1)]))).await;
        let mut second = Peer::connect(address).await;
        second.say(&subscribe(KnownPositions::default())).await;
        second.say(&ToPublisher::Waiting(work(fleet, &[(1, 3)]))).await;
        until(|| publisher.waiting() == work(fleet, &[(0, 2), (1, 4)])).await;
        first.say(&ToPublisher::Waiting(work(fleet, &[]))).await;
        until(|| publisher.waiting() == work(fleet, &[(1, 3)])).await;
        drop(second);
        until(|| publisher.waiting() == work(fleet, &[])).await;
    });
}

#[test]
fn work_before_a_subscription_is_out_of_place() {
    network::run(|executor| async move {
        let (_publisher, address) = publish(&executor, &store(), fresh(), PublisherSettings::default());
        let mut peer = Peer::connect(address).await;
        peer.say(&ToPublisher::Waiting(QueuedWork::default())).await;
        assert_eq!(peer.hear().await, None);
    });
}

#[test]
fn only_a_publisher_that_sends_a_table_of_loads_is_told_of_work() {
    network::run(|executor| async move {
        let (listener, address) = listener();
        let subscriber = subscriber(&store(), SubscriberRole::Agent);
        let told = work(position(7, 1), &[(1, 3)]);
        subscriber.set_waiting(told.clone());
        executor.spawn(Rc::clone(&subscriber).run(move |_| Some(address))).detach();
        let mut peer = Peer::accept(&listener).await;
        // The subscription, and two pings without a word on work.
        assert!(matches!(peer.asked().await, Some(ToPublisher::Subscribe(_))));
        assert!(matches!(peer.asked().await, Some(ToPublisher::Ping { .. })));
        assert!(matches!(peer.asked().await, Some(ToPublisher::Ping { .. })));
        let table = LoadTable { position: position(7, 1), ..LoadTable::default() };
        peer.answer(&ToSubscriber::Loads(table)).await;
        let work = loop {
            match peer.asked().await {
                Some(ToPublisher::Waiting(work)) => break work,
                Some(ToPublisher::Ping { .. }) => {}
                other => panic!("not expected: {other:?}"),
            }
        };
        assert_eq!(work, told);
    });
}
