//! Publisher tests over loopback connections.

mod common;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use common::network::{self, Peer, fresh, publish, store, subscribe, wait_until};
use common::{configuration, membership, replica, weights};
use rstest::rstest;
use tulipridge_configuration::number::Revision;
use tulipridge_protocol::feed::{
    ConfigurationUpdate, FleetUpdate, KnownPositions, Position, ToPublisher, ToSubscriber,
};
use tulipridge_protocol::number::Epoch;
use tulipridge_subscription::PublisherSettings;

fn ping(id: u64) -> ToPublisher {
    ToPublisher::Ping { id, gateways: 1 }
}

fn settings() -> PublisherSettings {
    PublisherSettings::default()
}

/// Record of the messages in both directions, one per line.
#[derive(Clone, Default)]
struct Transcript(Rc<RefCell<String>>);

impl Transcript {
    fn add_comment(&self, line: &str) {
        self.0.borrow_mut().push_str(&format!("-- {line}\n"));
    }

    async fn send(&self, peer: &mut Peer, message: ToPublisher) {
        self.0.borrow_mut().push_str(&format!("> {message:?}\n"));
        peer.send(&message).await;
    }

    async fn receive(&self, peer: &mut Peer) {
        let message = peer.receive().await;
        self.0.borrow_mut().push_str(&format!("< {message:?}\n"));
    }
}

#[test]
fn a_complete_exchange_matches_the_snapshot() {
    let transcript = Transcript::default();
    let recorded = transcript.clone();
    network::run(|executor| async move {
        let store = store();
        let age = Rc::new(Cell::new(None));
        let shared = Rc::clone(&age);
        let (publisher, address) = publish(&executor, &store, Rc::new(move || shared.get()), settings());
        store.borrow_mut().set_configuration(configuration(3, 1));
        store.borrow_mut().set_fleet(Epoch(7), vec![replica("a", 1), replica("b", 1), replica("c", 1)]);
        store.borrow_mut().set_weights(Epoch(7), weights(2));
        store.borrow_mut().set_cluster_membership(membership(2));

        transcript.add_comment("a new subscriber receives the complete state");
        let mut peer = Peer::connect(address).await;
        transcript.send(&mut peer, subscribe(KnownPositions::default())).await;
        for _ in 0..4 {
            transcript.receive(&mut peer).await;
        }
        transcript.add_comment("the age of the publisher's state is unknown, then known");
        transcript.send(&mut peer, ping(1)).await;
        transcript.receive(&mut peer).await;
        age.set(Some(Duration::from_micros(40_001)));
        transcript.send(&mut peer, ping(2)).await;
        transcript.receive(&mut peer).await;
        transcript.add_comment("all changes precede the next pong");
        store.borrow_mut().set_configuration(configuration(5, 3));
        store.borrow_mut().set_fleet(Epoch(7), vec![replica("a", 2), replica("c", 1)]);
        store.borrow_mut().set_cluster_membership(membership(3));
        publisher.notify_subscribers();
        transcript.send(&mut peer, ping(3)).await;
        for _ in 0..4 {
            transcript.receive(&mut peer).await;
        }
        transcript.add_comment("a subscriber that knows the tables receives only the cluster membership");
        let mut peer = Peer::connect(address).await;
        let known = store.borrow().known_positions();
        transcript.send(&mut peer, subscribe(known)).await;
        transcript.receive(&mut peer).await;
        transcript.add_comment("a second subscription ends the connection");
        transcript.send(&mut peer, subscribe(known)).await;
        transcript.receive(&mut peer).await;
    });
    insta::assert_snapshot!(recorded.0.borrow());
}

#[test]
fn a_slow_subscriber_skips_intermediate_states() {
    const LAST_CAPACITY: u32 = 400;
    network::run(|executor| async move {
        let store = store();
        let long_timeout = Duration::from_secs(60);
        let settings = PublisherSettings {
            write_stall_timeout: long_timeout,
            idle_timeout: long_timeout,
            ..settings()
        };
        let (publisher, address) = publish(&executor, &store, fresh(), settings);
        let mut peer = Peer::connect(address).await;
        peer.send(&subscribe(KnownPositions::default())).await;
        wait_until(|| !publisher.subscribers().is_empty()).await;
        // All states together are far larger than the buffers of the connection.
        for capacity in 1..=LAST_CAPACITY {
            let replicas = (0..2_000).map(|number| replica(&format!("replica-{number}"), capacity));
            store.borrow_mut().set_fleet(Epoch(1), replicas.collect());
            publisher.notify_subscribers();
            futures_lite::future::yield_now().await;
        }
        let newest = store.borrow().fleet_position();
        let mut update_count = 0;
        let mut position = Position::default();
        while position < newest {
            let Some(ToSubscriber::Fleet(update)) = peer.receive().await else {
                panic!("expected an update of the fleet")
            };
            position = match update {
                FleetUpdate::Snapshot { position, .. } => position,
                FleetUpdate::Changes { base, position: next, .. } => {
                    assert_eq!(base, position);
                    next
                }
            };
            update_count += 1;
        }
        assert!(update_count < LAST_CAPACITY / 2, "{update_count} updates were queued");
    });
}

#[test]
fn gateways_are_counted_over_live_connections() {
    network::run(|executor| async move {
        let (publisher, address) = publish(&executor, &store(), fresh(), settings());
        let mut relay = Peer::connect(address).await;
        relay.send(&subscribe(KnownPositions::default())).await;
        relay.send(&ToPublisher::Ping { id: 1, gateways: 20 }).await;
        let mut agent = Peer::connect(address).await;
        agent.send(&subscribe(KnownPositions::default())).await;
        agent.send(&ping(1)).await;
        wait_until(|| publisher.gateway_count() == 21).await;
        assert_eq!(publisher.subscribers().len(), 2);
        drop(relay);
        wait_until(|| publisher.gateway_count() == 1).await;
        // Without further messages the agent remains connected until the idle timeout.
        wait_until(|| publisher.gateway_count() == 0).await;
        assert_eq!(publisher.subscribers().len(), 1);
        wait_until(|| publisher.subscribers().is_empty()).await;
        assert_eq!(
            agent.receive().await,
            Some(ToSubscriber::Pong { id: 1, age_ms: Some(0), revision: Revision(0) })
        );
        assert_eq!(agent.receive().await, None);
    });
}

#[rstest]
#[case::ping_before_subscription({
    let mut bytes = Vec::new();
    tulipridge_protocol::frame::append(&ping(1), &mut bytes).expect("encodes the message");
    bytes
})]
#[case::undecodable_message(vec![4, 0, 0, 0, 0xff, 0xff, 0xff, 0xff])]
#[case::length_over_the_frame_limit(vec![0xff; 8])]
#[case::length_over_the_limit_for_subscribers({
    let mut bytes = vec![0, 0, 1, 0];
    bytes.resize(70_000, 0);
    bytes
})]
fn a_connection_ends_after_an_invalid_message(#[case] bytes: Vec<u8>) {
    network::run(|executor| async move {
        let (_publisher, address) = publish(&executor, &store(), fresh(), settings());
        let mut peer = Peer::connect(address).await;
        peer.write(&bytes).await;
        assert_eq!(peer.receive().await, None);
    });
}

#[test]
fn a_connection_that_accepts_no_bytes_ends() {
    network::run(|executor| async move {
        let settings = PublisherSettings { write_stall_timeout: Duration::from_millis(50), ..settings() };
        let store = store();
        let replicas = (0..40_000).map(|number| replica(&format!("replica-{number}"), 1));
        store.borrow_mut().set_fleet(Epoch(1), replicas.collect());
        let (publisher, address) = publish(&executor, &store, fresh(), settings);
        let mut peer = Peer::connect(address).await;
        peer.send(&subscribe(KnownPositions::default())).await;
        wait_until(|| !publisher.subscribers().is_empty()).await;
        wait_until(|| publisher.subscribers().is_empty()).await;
    });
}

#[test]
fn connections_over_the_limit_are_closed() {
    network::run(|executor| async move {
        let settings = PublisherSettings { max_connections: 1, ..settings() };
        let (publisher, address) = publish(&executor, &store(), fresh(), settings);
        let mut first = Peer::connect(address).await;
        first.send(&subscribe(KnownPositions::default())).await;
        wait_until(|| !publisher.subscribers().is_empty()).await;
        let mut second = Peer::connect(address).await;
        assert_eq!(second.receive().await, None);
        first.send(&ping(1)).await;
        assert!(first.receive().await.is_some());
        drop(first);
        wait_until(|| publisher.subscribers().is_empty()).await;
        let mut third = Peer::connect(address).await;
        third.send(&subscribe(KnownPositions::default())).await;
        third.send(&ping(2)).await;
        assert!(third.receive().await.is_some());
    });
}

#[test]
fn a_subscriber_with_an_earlier_configuration_gets_a_delta() {
    network::run(|executor| async move {
        let store = store();
        store.borrow_mut().set_configuration(configuration(1, 1));
        store.borrow_mut().set_configuration(configuration(2, 3));
        let (_publisher, address) = publish(&executor, &store, fresh(), settings());
        let mut peer = Peer::connect(address).await;
        peer.send(&subscribe(KnownPositions { configuration: Revision(1), ..KnownPositions::default() }))
            .await;
        let update = peer.receive().await;
        let is_changes = matches!(
            &update,
            Some(ToSubscriber::Configuration(ConfigurationUpdate::Changes(changes))) if changes.base == Revision(1)
        );
        assert!(is_changes, "{update:?}");
    });
}
