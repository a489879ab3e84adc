//! Work queued at replicas: reports towards the primary, and the table of loads towards all gateways.

mod common;

use std::rc::Rc;

use common::network::{self, Peer, fresh, listener, publish, store, subscribe, subscriber, wait_until};
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

/// Creates a primary's store with three replicas.
fn primary() -> FeedStore {
    let mut store = FeedStore::new();
    store.set_fleet(Epoch(7), vec![replica("a", 1), replica("b", 1), replica("c", 1)]);
    store
}

fn load_table_for(store: &FeedStore, known: &KnownPositions) -> Option<LoadTable> {
    store.updates_for(known).into_iter().find_map(|message| match message {
        ToSubscriber::Loads(table) => Some(table),
        _ => None,
    })
}

#[rstest]
#[case::no_reports(&[], work(Position::default(), &[]))]
#[case::reports_for_one_table(
    &[work(position(7, 1), &[(0, 2), (2, 5)]), work(position(7, 1), &[(2, 1)])],
    work(position(7, 1), &[(0, 2), (2, 6)])
)]
#[case::report_for_an_older_table(
    &[work(position(7, 2), &[(1, 3)]), work(position(7, 1), &[(0, 2)]), work(position(7, 2), &[(1, 1)])],
    work(position(7, 2), &[(1, 4)])
)]
#[case::sum_above_the_limit(
    &[work(position(7, 1), &[(0, u32::MAX)]), work(position(7, 1), &[(0, 9)])],
    work(position(7, 1), &[(0, u32::MAX)])
)]
fn reports_are_summed(#[case] reports: &[QueuedWork], #[case] sum: QueuedWork) {
    assert_eq!(queued_work::sum(reports), sum);
}

#[test]
fn loads_have_an_entry_per_replica_and_advance_on_differences() {
    let mut store = primary();
    let fleet = store.fleet_position();
    assert!(store.set_loads(Epoch(7), &work(fleet, &[(1, 4), (2, 900), (9, 1)])));
    let table = load_table_for(
        &store,
        &KnownPositions { loads: Some(Position::default()), ..store.known_positions() },
    );
    assert_eq!(table, Some(LoadTable { position: position(7, 1), fleet, queued_units: vec![0, 4, 255] }));
    assert!(!store.set_loads(Epoch(7), &work(fleet, &[(1, 4), (2, 900)])), "nothing differs");
    assert!(!store.set_loads(Epoch(6), &work(fleet, &[(1, 5)])), "an old epoch");
    assert!(store.set_loads(Epoch(7), &work(fleet, &[])));
    assert_eq!(store.known_positions().loads, Some(position(7, 2)));
}

#[test]
fn work_for_another_table_of_replicas_is_ignored() {
    let mut store = primary();
    store.set_loads(Epoch(7), &work(position(7, 9), &[(1, 4)]));
    let units: Vec<u8> =
        store.loads().expect("the table of loads is current").map(|(_, units)| units).collect();
    assert_eq!(units, [0, 0, 0]);
}

#[test]
fn loads_for_another_table_of_replicas_are_not_returned() {
    let mut store = primary();
    let fleet = store.fleet_position();
    store.set_loads(Epoch(7), &work(fleet, &[(1, 4)]));
    store.set_fleet(Epoch(7), vec![replica("a", 1), replica("c", 1)]);
    assert!(store.loads().is_none());
}

#[test]
fn subscribers_without_support_for_loads_never_receive_them() {
    let mut store = primary();
    store.set_loads(Epoch(7), &work(store.fleet_position(), &[(1, 4)]));
    let without_loads = KnownPositions::default();
    assert_eq!(load_table_for(&store, &without_loads), None);
    let sent =
        tulipridge_subscription::store::SentPositions::from(without_loads).later(store.newest_positions());
    store.set_loads(Epoch(7), &work(store.fleet_position(), &[(1, 5)]));
    assert_eq!(load_table_for(&store, &sent.known), None);
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
        wait_until(|| publisher.queued_work() == work(fleet, &[(0, 2), (1, 4)])).await;
        first.send(&ToPublisher::QueuedWork(work(fleet, &[]))).await;
        wait_until(|| publisher.queued_work() == work(fleet, &[(1, 3)])).await;
        drop(second);
        wait_until(|| publisher.queued_work() == work(fleet, &[])).await;
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
fn work_is_reported_only_to_publishers_that_send_loads() {
    network::run(|executor| async move {
        let (listener, address) = listener();
        let subscriber = subscriber(&store(), SubscriberRole::Agent);
        let reported = work(position(7, 1), &[(1, 3)]);
        subscriber.set_queued_work(reported.clone());
        executor.spawn(Rc::clone(&subscriber).run(move |_| Some(address))).detach();
        let mut peer = Peer::accept(&listener).await;
        // The subscription and two pings arrive without a report of work.
        assert!(matches!(peer.receive_from_subscriber().await, Some(ToPublisher::Subscribe(_))));
        assert!(matches!(peer.receive_from_subscriber().await, Some(ToPublisher::Ping { .. })));
        assert!(matches!(peer.receive_from_subscriber().await, Some(ToPublisher::Ping { .. })));
        let table = LoadTable { position: position(7, 1), ..LoadTable::default() };
        peer.send_to_subscriber(&ToSubscriber::Loads(table)).await;
        let work = loop {
            match peer.receive_from_subscriber().await {
                Some(ToPublisher::QueuedWork(work)) => break work,
                Some(ToPublisher::Ping { .. }) => {}
                other => panic!("unexpected message: {other:?}"),
            }
        };
        assert_eq!(work, reported);
    });
}
