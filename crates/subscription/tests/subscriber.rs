//! The subscriber over loopback.

mod common;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use common::network::{self, Peer, SharedStore, fresh, listener, publish, store, subscriber, until};
use common::{cluster_membership, configuration, replica, weights};
use rstest::rstest;
use tulipridge_configuration::number::Revision;
use tulipridge_protocol::feed::{FleetUpdate, Position, SubscriberRole, ToPublisher, ToSubscriber};
use tulipridge_protocol::number::{ChangeNumber, Epoch};
use tulipridge_subscription::{EndReason, PublisherSettings, StalenessTolerance, Subscriber, clock};

/// Runs a subscriber that knows one publisher.
fn follow(executor: &LocalExecutor<'static>, subscriber: &Rc<Subscriber>, address: SocketAddr) {
    executor.spawn(Rc::clone(subscriber).run(move |_| Some(address))).detach();
}

/// Runs a subscriber that tries one publisher once; the reason why it ended is put into the cell.
fn follow_once(
    executor: &LocalExecutor<'static>,
    subscriber: &Rc<Subscriber>,
    address: SocketAddr,
) -> Rc<RefCell<Option<EndReason>>> {
    let reason = Rc::new(RefCell::new(None));
    let reported = Rc::clone(&reason);
    let mut tried = false;
    let choose = move |attempt: tulipridge_subscription::SelectionContext| {
        if let Some(last) = attempt.last {
            reported.replace(Some(last.reason));
        }
        (!std::mem::replace(&mut tried, true)).then_some(address)
    };
    executor.spawn(Rc::clone(subscriber).run(choose)).detach();
    reason
}

fn fill(store: &SharedStore) {
    let mut store = store.borrow_mut();
    store.set_configuration(configuration(3, 1));
    store.set_fleet(Epoch(7), vec![replica("a", 1), replica("b", 1)]);
    store.set_weights(Epoch(7), weights(2));
    store.set_cluster_membership(cluster_membership(2));
}

#[test]
fn three_hops_carry_state_freshness_and_the_number_of_gateways() {
    network::run(|executor| async move {
        let (primary_store, relay_store, agent_store, proxy_store) = (store(), store(), store(), store());
        fill(&primary_store);
        let (primary, primary_address) =
            publish(&executor, &primary_store, fresh(), PublisherSettings::default());
        let hop = |store: &SharedStore, role, publisher_address| {
            let subscriber = subscriber(store, role);
            let aged = Rc::clone(&subscriber);
            let age = Rc::new(move || aged.age(clock::now()));
            let (publisher, address) = publish(&executor, store, age, PublisherSettings::default());
            let notified = Rc::clone(&publisher);
            subscriber.on_change(Box::new(move |_| notified.notify()));
            follow(&executor, &subscriber, publisher_address);
            (subscriber, publisher, address)
        };
        let (relay, relay_publisher, relay_address) =
            hop(&relay_store, SubscriberRole::Relay, primary_address);
        let (agent, _, agent_address) = hop(&agent_store, SubscriberRole::Agent, relay_address);
        agent.set_gateways(1);
        let proxy = subscriber(&proxy_store, SubscriberRole::Proxy);
        let seen = Rc::new(Cell::new(Revision(0)));
        let (observed, read) = (Rc::clone(&seen), Rc::clone(&proxy_store));
        proxy.on_change(Box::new(move |_| observed.set(read.borrow().known_positions().configuration)));
        follow(&executor, &proxy, agent_address);

        until(|| proxy.fresh_as_of().is_some() || proxy.age(clock::now()).is_some()).await;
        assert_eq!(proxy_store.borrow().known_positions(), primary_store.borrow().known_positions());
        assert_eq!(seen.get(), Revision(3));
        primary_store.borrow_mut().set_configuration(configuration(8, 3));
        primary_store.borrow_mut().set_fleet(Epoch(7), vec![replica("b", 2)]);
        let acknowledged = clock::now();
        primary.notify();
        until(|| proxy.fresh_as_of() > Some(acknowledged)).await;
        assert_eq!(proxy_store.borrow().configuration(), primary_store.borrow().configuration());
        assert_eq!(proxy_store.borrow().fleet().collect::<Vec<_>>(), vec![&replica("b", 2)]);
        assert_eq!(seen.get(), Revision(8));

        until(|| relay_publisher.gateways() == 1).await;
        relay.set_gateways(relay_publisher.gateways());
        until(|| primary.gateways() == 1).await;
        assert_eq!(relay.connected_to(), Some(primary_address));
    });
}

#[test]
fn a_subscriber_states_its_known_positions() {
    network::run(|executor| async move {
        let store = store();
        fill(&store);
        let (listener, address) = listener();
        let subscriber = subscriber(&store, SubscriberRole::Agent);
        subscriber.set_gateways(4);
        follow(&executor, &subscriber, address);
        let mut peer = Peer::accept(&listener).await;
        let Some(ToPublisher::Subscribe(subscribe)) = peer.receive_request().await else {
            panic!("no subscription")
        };
        assert_eq!(subscribe.known, store.borrow().known_positions());
        assert!(matches!(peer.receive_request().await, Some(ToPublisher::Ping { gateways: 4, .. })));
    });
}

/// What a publisher does to its subscriber.
#[derive(Clone, Copy)]
enum Behaviour {
    SendsNothing,
    IsNotFresh,
    SendsAGap,
    SendsNoMessage,
    Closes,
}

#[rstest]
#[case::unresponsive(Behaviour::SendsNothing, "Unresponsive")]
#[case::not_fresh(Behaviour::IsNotFresh, "NotFresh")]
#[case::gap(Behaviour::SendsAGap, "Update")]
#[case::malformed(Behaviour::SendsNoMessage, "Malformed")]
#[case::closed(Behaviour::Closes, "Closed")]
fn a_publisher_is_left(#[case] behaviour: Behaviour, #[case] expected: &str) {
    network::run(|executor| async move {
        let (listener, address) = listener();
        let subscriber = subscriber(&store(), SubscriberRole::Agent);
        let reason = follow_once(&executor, &subscriber, address);
        let mut peer = Peer::accept(&listener).await;
        while let Some(message) = peer.receive_request().await {
            match (behaviour, message) {
                (Behaviour::IsNotFresh, ToPublisher::Ping { id, .. }) => {
                    peer.reply(&ToSubscriber::Pong { id, age_ms: None, revision: Revision(0) }).await;
                }
                (Behaviour::SendsAGap, ToPublisher::Subscribe(_)) => {
                    let base = Position { epoch: Epoch(1), sequence: ChangeNumber(4) };
                    let position = Position { epoch: Epoch(1), sequence: ChangeNumber(5) };
                    let (changed, removed) = (vec![], vec![]);
                    let update = FleetUpdate::Changes { base, position, changed, removed };
                    peer.reply(&ToSubscriber::Fleet(update)).await;
                }
                (Behaviour::SendsNoMessage, ToPublisher::Subscribe(_)) => peer.write(&[0xff; 8]).await,
                (Behaviour::Closes, ToPublisher::Ping { .. }) => break,
                _ => {}
            }
        }
        drop(peer);
        until(|| reason.borrow().is_some()).await;
        let reason = format!("{:?}", reason.borrow().as_ref().expect("is reported"));
        assert!(reason.starts_with(expected), "{reason}");
        assert_eq!(subscriber.connected_to(), None);
        assert_eq!(subscriber.age(clock::now()), None);
    });
}

/// A relay that is partitioned from the primary keeps replying, with an age that grows.
#[rstest]
#[case::one_publisher(StalenessTolerance::ONE_PUBLISHER, true)]
#[case::several_publishers(StalenessTolerance::SEVERAL_PUBLISHERS, false)]
fn a_stale_publisher_is_left_where_there_are_others(
    #[case] tolerance: StalenessTolerance,
    #[case] stays: bool,
) {
    const ANSWERS: u32 = 8;
    network::run(|executor| async move {
        let (listener, address) = listener();
        let subscriber =
            Subscriber::with_tolerance(network::identity(SubscriberRole::Agent), store(), tolerance);
        let reason = follow_once(&executor, &subscriber, address);
        let mut peer = Peer::accept(&listener).await;
        let mut answers = 0;
        while answers < ANSWERS {
            let Some(message) = peer.receive_request().await else { break };
            if let ToPublisher::Ping { id, .. } = message {
                answers += 1;
                let age_ms = Some(800 + 300 * answers);
                peer.reply(&ToSubscriber::Pong { id, age_ms, revision: Revision(0) }).await;
            }
        }
        assert_eq!(answers == ANSWERS, stays);
        if stays {
            assert!(reason.borrow().is_none());
            return;
        }
        until(|| reason.borrow().is_some()).await;
        let reason = format!("{:?}", reason.borrow().as_ref().expect("is reported"));
        assert!(reason.starts_with("NotFresh"), "{reason}");
    });
}

#[test]
fn a_long_update_counts_as_responsive() {
    network::run(|executor| async move {
        let source = store();
        fill(&source);
        let target = store();
        let (listener, address) = listener();
        let subscriber = subscriber(&target, SubscriberRole::Agent);
        follow(&executor, &subscriber, address);
        let mut peer = Peer::accept(&listener).await;
        let mut frames = Vec::new();
        for message in source.borrow().updates_for(&Default::default()) {
            tulipridge_protocol::frame::append(&message, &mut frames).expect("encodes");
        }
        // A byte for each of the subscriber's pings, so that the update takes far longer than the bound of silence.
        let (slow, rest) = frames.split_at(8);
        for byte in slow {
            while !matches!(
                peer.receive_request().await.expect("stays connected"),
                ToPublisher::Ping { .. }
            ) {}
            peer.write(std::slice::from_ref(byte)).await;
        }
        peer.write(rest).await;
        until(|| target.borrow().known_positions() == source.borrow().known_positions()).await;
        assert_eq!(subscriber.connected_to(), Some(address));
    });
}

#[test]
fn another_publisher_is_selected_after_a_failure_and_on_demand() {
    network::run(|executor| async move {
        let shared = store();
        fill(&shared);
        let (closed, closed_address) = listener();
        drop(closed);
        let (_one, one_address) = publish(&executor, &shared, fresh(), PublisherSettings::default());
        let (_two, two_address) = publish(&executor, &shared, fresh(), PublisherSettings::default());
        let subscriber = subscriber(&store(), SubscriberRole::Agent);
        let reasons = Rc::new(RefCell::new(Vec::new()));
        let reported = Rc::clone(&reasons);
        let mut addresses = vec![Some(two_address), None, Some(one_address), Some(closed_address)];
        let choose = move |attempt: tulipridge_subscription::SelectionContext| {
            let last = attempt.last.map(|last| format!("{:?}", last.reason));
            let reason = last.map(|reason| reason.split([' ', '{']).next().unwrap_or_default().to_owned());
            reported.borrow_mut().push((attempt.failures, reason));
            addresses.pop().unwrap_or(Some(two_address))
        };
        executor.spawn(Rc::clone(&subscriber).run(choose)).detach();
        until(|| subscriber.age(clock::now()).is_some()).await;
        assert_eq!(subscriber.connected_to(), Some(one_address));
        subscriber.reselect();
        until(|| subscriber.connected_to() == Some(two_address)).await;
        let expected =
            [(0, None), (1, Some("Connect".to_owned())), (0, Some("Reselected".to_owned())), (0, None)];
        assert_eq!(*reasons.borrow(), expected);
    });
}

#[test]
fn freshness_ends_with_the_primarys_lease() {
    network::run(|executor| async move {
        let lease = Rc::new(Cell::new(true));
        let observed = Rc::clone(&lease);
        let age = Rc::new(move || observed.get().then_some(Duration::ZERO));
        let (_publisher, address) = publish(&executor, &store(), age, PublisherSettings::default());
        let subscriber = subscriber(&store(), SubscriberRole::Relay);
        follow(&executor, &subscriber, address);
        until(|| subscriber.age(clock::now()).is_some()).await;
        lease.set(false);
        let ended = clock::now();
        until(|| subscriber.age(clock::now()) > Some(Duration::from_millis(700))).await;
        assert!(subscriber.fresh_as_of() <= Some(ended));
        lease.set(true);
        until(|| subscriber.fresh_as_of() > Some(ended)).await;
    });
}
