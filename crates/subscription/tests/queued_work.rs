//! Work queued at replicas, on its way up to the primary and down to all gateways.

mod common;

use std::rc::Rc;

use common::network::{self, Peer, fresh, listener, publish, store, subscribe, subscriber, until};
use common::replica;
use rstest::rstest;
use tulipridge_protocol::feed::{
    KnownPositions, LoadTable, Position, QueuedWork, QueuedWorkEntry, SubscriberRole, ToPublisher,
    ToSubscriber,
};
use tulipridge_protocol::number::{ChangeNumber, Epoch};
use tulipridge_subscription::{FeedStore, PublisherSettings, queued_work};

fn position(epoch: u64, sequence: u64) -> Position {
    Position { epoch: Epoch(epoch), sequence: ChangeNumber(sequence) }
}

fn work(fleet: Position, entries: &[(u32, u32)]) -> QueuedWork {
    let entry = |&(replica_index, units)| QueuedWorkEntry { replica_index, units };
    QueuedWork { fleet, entries: entries.iter().map(entry).collect() }
}

/// A primary's store with three replicas.
fn primary() -> FeedStore {
    let mut store = FeedStore::new();
    store.set_fleet(Epoch(7), vec![replica("a", 1), replica("b", 1), replica("c", 1)]);
    store
}

fn table_for(store: &FeedStore, known: &KnownPositions) -> Option<LoadTable> {
    store.updates_for(known).into_iter().find_map(|message| match message {
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
fn reports_are_summed(#[case] reports: &[QueuedWork], #[case] sum: QueuedWork) {
    assert_eq!(queued_work::sum(reports), sum);
}

#[test]
fn the_table_has_an_entry_for_each_replica_and_advances_when_one_differs() {
    let mut store = primary();
    let fleet = store.fleet_position();
    assert!(store.set_loads(Epoch(7), &work(fleet, &[(1, 4), (2, 900), (9, 1)])));
    let table =
        table_for(&store, &KnownPositions { loads: Some(Position::default()), ..store.known_positions() });
    assert_eq!(table, Some(LoadTable { position: position(7, 1), fleet, queued_units: vec![0, 4, 255] }));
    assert!(!store.set_loads(Epoch(7), &work(fleet, &[(1, 4), (2, 900)])), "nothing differs");
    assert!(!store.set_loads(Epoch(6), &work(fleet, &[(1, 5)])), "an old epoch");
    assert!(store.set_loads(Epoch(7), &work(fleet, &[])));
    assert_eq!(store.known_positions().loads, Some(position(7, 2)));
}

#[test]
fn work_by_another_table_of_replicas_is_left_out() {
    let mut store = primary();
    store.set_loads(Epoch(7), &work(position(7, 9), &[(1, 4)]));
    let units: Vec<u8> = store.loads().expect("a table").map(|(_, units)| units).collect();
    assert_eq!(units, [0, 0, 0]);
}

#[test]
fn a_table_of_loads_is_not_read_beside_another_table_of_replicas() {
    let mut store = primary();
    let fleet = store.fleet_position();
    store.set_loads(Epoch(7), &work(fleet, &[(1, 4)]));
    store.set_fleet(Epoch(7), vec![replica("a", 1), replica("c", 1)]);
    assert!(store.loads().is_none());
}

#[test]
fn a_program_that_does_not_know_the_table_is_never_sent_it() {
    let mut store = primary();
    store.set_loads(Epoch(7), &work(store.fleet_position(), &[(1, 4)]));
    let earlier = KnownPositions::default();
    assert_eq!(table_for(&store, &earlier), None);
    let sent = tulipridge_subscription::store::SentPositions::from(earlier).later(store.newest_positions());
    store.set_loads(Epoch(7), &work(store.fleet_position(), &[(1, 5)]));
    assert_eq!(table_for(&store, &sent.known), None);
}

#[test]
fn a_publisher_sums_the_reports_of_its_connected_subscribers() {
    network::run(|executor| async move {
        let store = store();
        let (publisher, address) = publish(&executor, &store, fresh(), PublisherSettings::default());
        let fleet = position(7, 1);
        let mut first = Peer::connect(address).await;
        first.send(&subscribe(KnownPositions::default())).await;
        first.send(&ToPublisher::QueuedWork(work(fleet, &[(0, 2), (1, 1)]))).await;
        let mut second = Peer::connect(address).await;
        second.send(&subscribe(KnownPositions::default())).await;
        second.send(&ToPublisher::QueuedWork(work(fleet, &[(1, 3)]))).await;
        until(|| publisher.queued_work() == work(fleet, &[(0, 2), (1, 4)])).await;
        first.send(&ToPublisher::QueuedWork(work(fleet, &[]))).await;
        until(|| publisher.queued_work() == work(fleet, &[(1, 3)])).await;
        drop(second);
        until(|| publisher.queued_work() == work(fleet, &[])).await;
    });
}

#[test]
fn work_before_a_subscription_ends_the_connection() {
    network::run(|executor| async move {
        let (_publisher, address) = publish(&executor, &store(), fresh(), PublisherSettings::default());
        let mut peer = Peer::connect(address).await;
        peer.send(&ToPublisher::QueuedWork(QueuedWork::default())).await;
        assert_eq!(peer.receive().await, None);
    });
}

#[test]
fn work_is_reported_only_to_a_publisher_that_sends_a_table_of_loads() {
    network::run(|executor| async move {
        let (listener, address) = listener();
        let subscriber = subscriber(&store(), SubscriberRole::Agent);
        let reported = work(position(7, 1), &[(1, 3)]);
        subscriber.set_queued_work(reported.clone());
        executor.spawn(Rc::clone(&subscriber).run(move |_| Some(address))).detach();
        let mut peer = Peer::accept(&listener).await;
        // The subscription, and two pings without a report of work.
        assert!(matches!(peer.receive_request().await, Some(ToPublisher::Subscribe(_))));
        assert!(matches!(peer.receive_request().await, Some(ToPublisher::Ping { .. })));
        assert!(matches!(peer.receive_request().await, Some(ToPublisher::Ping { .. })));
        let table = LoadTable { position: position(7, 1), ..LoadTable::default() };
        peer.reply(&ToSubscriber::Loads(table)).await;
        let work = loop {
            match peer.receive_request().await {
                Some(ToPublisher::QueuedWork(work)) => break work,
                Some(ToPublisher::Ping { .. }) => {}
                other => panic!("not expected: {other:?}"),
            }
        };
        assert_eq!(work, reported);
    });
}
