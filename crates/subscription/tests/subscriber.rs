//! Subscriber tests over loopback connections.

mod common;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use common::network::{self, Peer, SharedStore, fresh, listener, publish, store, subscriber, wait_until};
use common::{configuration, membership, replica, weights};
use rstest::rstest;
use tulipridge_configuration::number::Revision;
use tulipridge_protocol::feed::{FleetUpdate, Position, SubscriberRole, ToPublisher, ToSubscriber};
use tulipridge_protocol::number::{ChangeNumber, Epoch};
use tulipridge_subscription::{EndReason, PublisherSettings, StalenessTolerance, Subscriber, clock};

/// Runs a subscriber that always selects the same publisher.
fn subscribe_to(executor: &LocalExecutor<'static>, subscriber: &Rc<Subscriber>, address: SocketAddr) {
    executor.spawn(Rc::clone(subscriber).run(move |_| Some(address))).detach();
}

/// Runs a subscriber that selects a publisher only once. Returns a cell for the reason why that connection ends.
fn subscribe_once(
    executor: &LocalExecutor<'static>,
    subscriber: &Rc<Subscriber>,
    address: SocketAddr,
) -> Rc<RefCell<Option<EndReason>>> {
    let reason = Rc::new(RefCell::new(None));
    let reported = Rc::clone(&reason);
    let mut was_selected = false;
    let select = move |context: tulipridge_subscription::SelectionContext| {
        if let Some(previous) = context.previous {
            reported.replace(Some(previous.reason));
        }
        (!std::mem::replace(&mut was_selected, true)).then_some(address)
    };
    executor.spawn(Rc::clone(subscriber).run(select)).detach();
    reason
}

fn write_tables(store: &SharedStore) {
    let mut store = store.borrow_mut();
    store.set_configuration(configuration(3, 1));
    store.set_fleet(Epoch(7), vec![replica("a", 1), replica("b", 1)]);
    store.set_weights(Epoch(7), weights(2));
    store.set_cluster_membership(membership(2));
}

#[test]
fn three_hops_carry_state_freshness_and_the_number_of_gateways() {
    network::run(|executor| async move {
        let (primary_store, relay_store, agent_store, proxy_store) = (store(), store(), store(), store());
        write_tables(&primary_store);
        let (primary, primary_address) =
            publish(&executor, &primary_store, fresh(), PublisherSettings::default());
        let hop = |store: &SharedStore, role, publisher_address| {
            let subscriber = subscriber(store, role);
            let aged = Rc::clone(&subscriber);
            let age = Rc::new(move || aged.age(clock::now()));
            let (publisher, address) = publish(&executor, store, age, PublisherSettings::default());
            let notified = Rc::clone(&publisher);
            subscriber.on_change(Box::new(move |_| notified.notify_subscribers()));
            subscribe_to(&executor, &subscriber, publisher_address);
            (subscriber, publisher, address)
        };
        let (relay, relay_publisher, relay_address) =
            hop(&relay_store, SubscriberRole::Relay, primary_address);
        let (agent, _, agent_address) = hop(&agent_store, SubscriberRole::Agent, relay_address);
        agent.set_gateway_count(1);
        let proxy = subscriber(&proxy_store, SubscriberRole::Proxy);
        let seen = Rc::new(Cell::new(Revision(0)));
        let (observed, read) = (Rc::clone(&seen), Rc::clone(&proxy_store));
        proxy.on_change(Box::new(move |_| observed.set(read.borrow().known_positions().configuration)));
        subscribe_to(&executor, &proxy, agent_address);

        wait_until(|| proxy.fresh_as_of().is_some() || proxy.age(clock::now()).is_some()).await;
        assert_eq!(proxy_store.borrow().known_positions(), primary_store.borrow().known_positions());
        assert_eq!(seen.get(), Revision(3));
        primary_store.borrow_mut().set_configuration(configuration(8, 3));
        primary_store.borrow_mut().set_fleet(Epoch(7), vec![replica("b", 2)]);
        let changed_at = clock::now();
        primary.notify_subscribers();
        wait_until(|| proxy.fresh_as_of() > Some(changed_at)).await;
        assert_eq!(proxy_store.borrow().configuration(), primary_store.borrow().configuration());
        assert_eq!(proxy_store.borrow().fleet().collect::<Vec<_>>(), vec![&replica("b", 2)]);
        assert_eq!(seen.get(), Revision(8));

        wait_until(|| relay_publisher.gateway_count() == 1).await;
        relay.set_gateway_count(relay_publisher.gateway_count());
        wait_until(|| primary.gateway_count() == 1).await;
        assert_eq!(relay.connected_to(), Some(primary_address));
    });
}

#[test]
fn a_subscription_contains_the_known_positions() {
    network::run(|executor| async move {
        let store = store();
        write_tables(&store);
        let (listener, address) = listener();
        let subscriber = subscriber(&store, SubscriberRole::Agent);
        subscriber.set_gateway_count(4);
        subscribe_to(&executor, &subscriber, address);
        let mut peer = Peer::accept(&listener).await;
        let Some(ToPublisher::Subscribe(subscribe)) = peer.receive_from_subscriber().await else {
            panic!("expected a subscription")
        };
        assert_eq!(subscribe.known, store.borrow().known_positions());
        assert!(matches!(
            peer.receive_from_subscriber().await,
            Some(ToPublisher::Ping { gateways: 4, .. })
        ));
    });
}

/// Fault of a publisher.
#[derive(Clone, Copy)]
enum Fault {
    SendsNothing,
    IsNotFresh,
    SendsAGap,
    SendsInvalidBytes,
    ClosesConnection,
}

#[rstest]
#[case::unresponsive(Fault::SendsNothing, "Unresponsive")]
#[case::not_fresh(Fault::IsNotFresh, "NotFresh")]
#[case::gap(Fault::SendsAGap, "Update")]
#[case::malformed(Fault::SendsInvalidBytes, "Malformed")]
#[case::closed(Fault::ClosesConnection, "Closed")]
fn a_connection_to_a_faulty_publisher_ends(#[case] fault: Fault, #[case] expected: &str) {
    network::run(|executor| async move {
        let (listener, address) = listener();
        let subscriber = subscriber(&store(), SubscriberRole::Agent);
        let reason = subscribe_once(&executor, &subscriber, address);
        let mut peer = Peer::accept(&listener).await;
        while let Some(message) = peer.receive_from_subscriber().await {
            match (fault, message) {
                (Fault::IsNotFresh, ToPublisher::Ping { id, .. }) => {
                    peer.send_to_subscriber(&ToSubscriber::Pong {
                        id,
                        age_ms: None,
                        revision: Revision(0),
                    })
                    .await;
                }
                (Fault::SendsAGap, ToPublisher::Subscribe(_)) => {
                    let base = Position { epoch: Epoch(1), sequence: ChangeNumber(4) };
                    let position = Position { epoch: Epoch(1), sequence: ChangeNumber(5) };
                    let (changed, removed) = (vec![], vec![]);
                    let update = FleetUpdate::Changes { base, position, changed, removed };
                    peer.send_to_subscriber(&ToSubscriber::Fleet(update)).await;
                }
                (Fault::SendsInvalidBytes, ToPublisher::Subscribe(_)) => peer.write(&[0xff; 8]).await,
                (Fault::ClosesConnection, ToPublisher::Ping { .. }) => break,
                _ => {}
            }
        }
        drop(peer);
        wait_until(|| reason.borrow().is_some()).await;
        let reason = format!("{:?}", reason.borrow().as_ref().expect("the reason is reported"));
        assert!(reason.starts_with(expected), "{reason}");
        assert_eq!(subscriber.connected_to(), None);
        assert_eq!(subscriber.age(clock::now()), None);
    });
}

/// A relay that is partitioned from the primary still replies, with a growing age.
#[rstest]
#[case::one_publisher(StalenessTolerance::ONE_PUBLISHER, true)]
#[case::several_publishers(StalenessTolerance::SEVERAL_PUBLISHERS, false)]
fn a_stale_publisher_is_left_where_there_are_others(
    #[case] tolerance: StalenessTolerance,
    #[case] is_kept: bool,
) {
    const PONGS: u32 = 8;
    network::run(|executor| async move {
        let (listener, address) = listener();
        let subscriber =
            Subscriber::with_tolerance(network::identity(SubscriberRole::Agent), store(), tolerance);
        let reason = subscribe_once(&executor, &subscriber, address);
        let mut peer = Peer::accept(&listener).await;
        let mut pong_count = 0;
        while pong_count < PONGS {
            let Some(message) = peer.receive_from_subscriber().await else { break };
            if let ToPublisher::Ping { id, .. } = message {
                pong_count += 1;
                let age_ms = Some(800 + 300 * pong_count);
                peer.send_to_subscriber(&ToSubscriber::Pong { id, age_ms, revision: Revision(0) }).await;
            }
        }
        assert_eq!(pong_count == PONGS, is_kept);
        if is_kept {
            assert!(reason.borrow().is_none());
            return;
        }
        wait_until(|| reason.borrow().is_some()).await;
        let reason = format!("{:?}", reason.borrow().as_ref().expect("the reason is reported"));
        assert!(reason.starts_with("NotFresh"), "{reason}");
    });
}

#[test]
fn a_long_update_counts_as_responsive() {
    network::run(|executor| async move {
        let source = store();
        write_tables(&source);
        let target = store();
        let (listener, address) = listener();
        let subscriber = subscriber(&target, SubscriberRole::Agent);
        subscribe_to(&executor, &subscriber, address);
        let mut peer = Peer::accept(&listener).await;
        let mut frames = Vec::new();
        for message in source.borrow().updates_for(&Default::default()) {
            tulipridge_protocol::frame::append(&message, &mut frames).expect("encodes the message");
        }
        // One byte per ping of the subscriber, so that the update takes far longer than the response timeout.
        let (slow_part, rest) = frames.split_at(8);
        for byte in slow_part {
            while !matches!(
                peer.receive_from_subscriber().await.expect("stays connected"),
                ToPublisher::Ping { .. }
            ) {}
            peer.write(std::slice::from_ref(byte)).await;
        }
        peer.write(rest).await;
        wait_until(|| target.borrow().known_positions() == source.borrow().known_positions()).await;
        assert_eq!(subscriber.connected_to(), Some(address));
    });
}

#[test]
fn another_publisher_is_selected_after_a_failure_and_on_demand() {
    network::run(|executor| async move {
        let shared = store();
        write_tables(&shared);
        let (closed, closed_address) = listener();
        drop(closed);
        let (_first, first_address) = publish(&executor, &shared, fresh(), PublisherSettings::default());
        let (_second, second_address) = publish(&executor, &shared, fresh(), PublisherSettings::default());
        let subscriber = subscriber(&store(), SubscriberRole::Agent);
        let reasons = Rc::new(RefCell::new(Vec::new()));
        let recorded_reasons = Rc::clone(&reasons);
        let mut addresses = vec![Some(second_address), None, Some(first_address), Some(closed_address)];
        let select = move |context: tulipridge_subscription::SelectionContext| {
            let previous = context.previous.map(|previous| format!("{:?}", previous.reason));
            let reason =
                previous.map(|reason| reason.split([' ', '{']).next().unwrap_or_default().to_owned());
            recorded_reasons.borrow_mut().push((context.failure_count, reason));
            addresses.pop().unwrap_or(Some(second_address))
        };
        executor.spawn(Rc::clone(&subscriber).run(select)).detach();
        wait_until(|| subscriber.age(clock::now()).is_some()).await;
        assert_eq!(subscriber.connected_to(), Some(first_address));
        subscriber.reselect();
        wait_until(|| subscriber.connected_to() == Some(second_address)).await;
        let expected =
            [(0, None), (1, Some("Connect".to_owned())), (0, Some("Reselected".to_owned())), (0, None)];
        assert_eq!(*reasons.borrow(), expected);
    });
}

#[test]
fn freshness_ends_with_the_primarys_lease() {
    network::run(|executor| async move {
        let has_lease = Rc::new(Cell::new(true));
        let observed = Rc::clone(&has_lease);
        let age = Rc::new(move || observed.get().then_some(Duration::ZERO));
        let (_publisher, address) = publish(&executor, &store(), age, PublisherSettings::default());
        let subscriber = subscriber(&store(), SubscriberRole::Relay);
        subscribe_to(&executor, &subscriber, address);
        wait_until(|| subscriber.age(clock::now()).is_some()).await;
        has_lease.set(false);
        let lease_ended_at = clock::now();
        wait_until(|| subscriber.age(clock::now()) > Some(Duration::from_millis(700))).await;
        assert!(subscriber.fresh_as_of() <= Some(lease_ended_at));
        has_lease.set(true);
        wait_until(|| subscriber.fresh_as_of() > Some(lease_ended_at)).await;
    });
}
