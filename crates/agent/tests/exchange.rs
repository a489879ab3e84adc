//! An agent between a relay and a proxy, on the loopback interface.

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
use tulipridge_protocol::feed::{ControlNode, Group, SubscriberRole};
use tulipridge_protocol::node::{Generation, NodeId};
use tulipridge_runtime::clock;
use tulipridge_runtime::settings::Settings;
use tulipridge_subscription::{FeedStore, Identity, Publisher, Subscriber};

const MACHINE: Ipv4Addr = Ipv4Addr::new(127, 0, 8, 1);
const SEED: Ipv4Addr = Ipv4Addr::new(127, 0, 8, 2);
const RELAY: Ipv4Addr = Ipv4Addr::new(127, 0, 8, 3);
const GUARD: Duration = Duration::from_secs(20);
const FRESH: Duration = Duration::from_secs(1);

/// Settings with four ports in a row that are free.
fn settings() -> Settings {
    let first = (20_000..30_000).step_by(16).find(|first| are_free(*first)).expect("free ports");
    let text = format!(
        "{{nodeName: edge, ipAddress: {MACHINE}, area: a, \
         sparePorts: [{first}, {}], seedNodes: ['{SEED}:80']}}",
        first + 3
    );
    Settings::parse(&text).expect("good settings")
}

fn are_free(first: u16) -> bool {
    let free = |ip: Ipv4Addr, port: u16| TcpListener::bind((ip, port)).is_ok();
    free(SEED, first + 1) && free(RELAY, first + 1) && free(Ipv4Addr::LOCALHOST, first + 3)
}

/// A control member that is always fresh.
fn member(configuration: u64) -> (Rc<RefCell<FeedStore>>, Rc<Publisher>) {
    let mut store = FeedStore::new();
    store.set_configuration(revision(configuration));
    store.set_group(Group {
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

/// Lets the executor run until `condition` holds.
async fn until(what: &str, condition: impl Fn() -> bool) {
    let holds = async {
        while !condition() {
            future::yield_now().await;
        }
    };
    within(GUARD, holds).await.expect(what);
}

#[test]
fn state_reaches_the_proxy_through_the_agent_which_moves_to_its_zone() {
    let executor: &'static LocalExecutor<'static> = Box::leak(Box::default());
    async_io::block_on(executor.run(async {
        let settings = settings();
        let agent = Agent::new(settings.clone());
        agent.start(executor);

        // The proxy, and the agent's seed, start after the agent.
        let received = Rc::new(RefCell::new(FeedStore::new()));
        let identity = Identity { name: "edge".into(), zone: "a".into(), role: SubscriberRole::Proxy };
        let proxy = Subscriber::new(identity, Rc::clone(&received));
        let loopback = settings.loopback_feed();
        executor.spawn(Rc::clone(&proxy).run(move |_| Some(loopback))).detach();
        let (_, seed) = member(4);
        serve(&seed, settings.feed_socket(SEED), executor);
        let is_fresh = |age: Option<Duration>| age.is_some_and(|age| age < FRESH);
        let has = |revision| received.borrow().known_positions().configuration == revision;
        until("the seed's state", || has(Revision(4)) && is_fresh(proxy.age(clock::now()))).await;
        assert_eq!(seed.gateways(), 1);

        // The feed names a member in the agent's zone.
        let (store, relay) = member(4);
        serve(&relay, settings.feed_socket(RELAY), executor);
        until("the relay", || agent.relay() == Some(settings.feed_socket(RELAY))).await;
        store.borrow_mut().set_configuration(revision(9));
        relay.notify();
        until("the relay's state", || has(Revision(9)) && is_fresh(proxy.age(clock::now()))).await;
        assert_eq!(received.borrow().group().gateways, 3);
    }));
}
