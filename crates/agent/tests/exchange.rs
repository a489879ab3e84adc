//! Tests an agent between a relay and a proxy, on the loopback interface.

use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::future;
use tulipridge_agent::agent::Agent;
use tulipridge_configuration::Configuration;
use tulipridge_configuration::number::Revision;
use tulipridge_http1::within;
use tulipridge_protocol::feed::{ClusterMembership, ControlNode, SubscriberRole};
use tulipridge_protocol::node::{Generation, NodeId};
use tulipridge_runtime::clock;
use tulipridge_runtime::settings::Settings;
use tulipridge_subscription::{FeedStore, Publisher, Subscriber, SubscriberIdentity};

const MACHINE: Ipv4Addr = Ipv4Addr::new(127, 0, 8, 1);
const SEED: Ipv4Addr = Ipv4Addr::new(127, 0, 8, 2);
const RELAY: Ipv4Addr = Ipv4Addr::new(127, 0, 8, 3);
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_FRESH_AGE: Duration = Duration::from_secs(1);

/// Settings with a range of four spare ports in which the ports of the feeds are free.
fn settings() -> Settings {
    let first_port =
        (20_000..30_000).step_by(16).find(|first_port| are_ports_free(*first_port)).expect("free ports");
    let text = format!(
        "{{nodeName: edge, ipAddress: {MACHINE}, area: a, \
         sparePorts: [{first_port}, {}], seedNodes: ['{SEED}:80']}}",
        first_port + 3
    );
    Settings::parse(&text).expect("valid settings")
}

fn are_ports_free(first_port: u16) -> bool {
    let is_free = |ip: Ipv4Addr, port: u16| TcpListener::bind((ip, port)).is_ok();
    is_free(SEED, first_port + 1)
        && is_free(RELAY, first_port + 1)
        && is_free(Ipv4Addr::LOCALHOST, first_port + 3)
}

/// A control-plane member whose state is always fresh.
fn publishing_member(configuration: u64) -> (Rc<RefCell<FeedStore>>, Rc<Publisher>) {
    let mut store = FeedStore::new();
    store.set_configuration(revision(configuration));
    store.set_cluster_membership(ClusterMembership {
        gateways: 3,
        control: vec![ControlNode { id: NodeId::new(RELAY, Generation(0)), zone: "a".into() }],
    });
    let store = Rc::new(RefCell::new(store));
    (Rc::clone(&store), Publisher::new(store, Rc::new(|| Some(Duration::ZERO))))
}

fn revision(revision: u64) -> Arc<Configuration> {
    Arc::new(Configuration { revision: Revision(revision), ..Configuration::default() })
}

fn serve(publisher: &Rc<Publisher>, address: SocketAddr, executor: &'static LocalExecutor<'static>) {
    let listener = Async::<TcpListener>::bind(address).expect("a free port");
    let publisher = Rc::clone(publisher);
    executor.spawn(async move { publisher.serve(listener, executor).await }).detach();
}

/// Yields to the executor until `condition` holds; panics with `what` after [`TEST_TIMEOUT`].
async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let condition_holds = async {
        while !condition() {
            future::yield_now().await;
        }
    };
    within(TEST_TIMEOUT, condition_holds).await.expect(what);
}

#[test]
fn the_agent_forwards_state_and_moves_to_a_relay_in_its_zone() {
    let executor: &'static LocalExecutor<'static> = Box::leak(Box::default());
    async_io::block_on(executor.run(async {
        let settings = settings();
        let agent = Agent::new(settings.clone());
        agent.start(executor);

        // The proxy and the seed start after the agent.
        let received = Rc::new(RefCell::new(FeedStore::new()));
        let identity =
            SubscriberIdentity { name: "edge".into(), zone: "a".into(), role: SubscriberRole::Proxy };
        let proxy = Subscriber::new(identity, Rc::clone(&received));
        let loopback = settings.loopback_feed();
        executor.spawn(Rc::clone(&proxy).run(move |_| Some(loopback))).detach();
        let (_, seed) = publishing_member(4);
        serve(&seed, settings.feed_socket(SEED), executor);
        let is_fresh = |age: Option<Duration>| age.is_some_and(|age| age < MAX_FRESH_AGE);
        let has_revision = |revision| received.borrow().known_positions().configuration == revision;
        wait_until("the seed's state", || has_revision(Revision(4)) && is_fresh(proxy.age(clock::now())))
            .await;
        assert_eq!(seed.gateway_count(), 1);

        // The feed lists a member in the agent's zone, so the agent switches to it.
        let (store, relay) = publishing_member(4);
        serve(&relay, settings.feed_socket(RELAY), executor);
        wait_until("the relay", || agent.relay() == Some(settings.feed_socket(RELAY))).await;
        store.borrow_mut().set_configuration(revision(9));
        relay.notify_subscribers();
        wait_until("the relay's state", || has_revision(Revision(9)) && is_fresh(proxy.age(clock::now())))
            .await;
        assert_eq!(received.borrow().cluster_membership().gateways, 3);
    }));
}
