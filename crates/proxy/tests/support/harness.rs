//! A proxy in the test's process, with scripted replicas and test clients.

use std::cell::Cell;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::future;
use tulipridge_configuration::number::WeightsRevision;
use tulipridge_protocol::feed::{ModelWeights, Position, Replica, WeightsTable};
use tulipridge_protocol::number::{ChangeNumber, Epoch};
use tulipridge_proxy::placement::placed_request;
use tulipridge_proxy::proxy::Proxy;
use tulipridge_proxy::{downstream, ready};
use tulipridge_runtime::settings::Settings;

use super::client::TestClient;
use super::fixtures::{configuration, replica_entry, settings};
use super::http::response;
use super::reading::listener;
use super::replica::{Script, ScriptedReplica, Step};

/// A running proxy and what the tests control of its environment.
pub(crate) struct Harness {
    pub executor: Rc<LocalExecutor<'static>>,
    pub proxy: Rc<Proxy>,
    pub client_address: SocketAddr,
    pub readiness_address: SocketAddr,
    /// The age of the configuration that the proxy sees; none before it has one.
    pub configuration_age: Rc<Cell<Option<Duration>>>,
    pub replicas: Vec<Rc<ScriptedReplica>>,
    script: Script,
    permits: Rc<Cell<usize>>,
}

impl Harness {
    /// Starts a proxy with `replicas` replicas and a retry budget that allows a retry of each request.
    pub(crate) fn start(replicas: usize) -> Harness {
        Harness::with_budget(replicas, 2.0, 100)
    }

    /// Starts a proxy with this retry budget.
    pub(crate) fn with_budget(replicas: usize, retry_ratio: f64, spare_tries: u64) -> Harness {
        let mut settings = settings();
        settings.time_limits.retry_ratio = retry_ratio;
        settings.time_limits.spare_tries = spare_tries;
        Harness::with_settings(replicas, &settings)
    }

    /// Starts a proxy whose process may use `file_handles` descriptors.
    pub(crate) fn with_file_handles(replicas: usize, file_handles: u64) -> Harness {
        let mut settings = settings();
        settings.time_limits.retry_ratio = 2.0;
        settings.time_limits.spare_tries = 100;
        settings.caps.file_handles = file_handles;
        Harness::with_settings(replicas, &settings)
    }

    /// Starts a proxy whose settings allow `revision_ms` for a change to new weights.
    pub(crate) fn with_revision_term(
        replicas: usize,
        revision_ms: u64,
        (retry_ratio, spare_tries): (f64, u64),
    ) -> Harness {
        let mut settings = settings();
        settings.time_limits.retry_ratio = retry_ratio;
        settings.time_limits.spare_tries = spare_tries;
        settings.time_limits.revision_ms = revision_ms;
        Harness::with_settings(replicas, &settings)
    }

    fn with_settings(replicas: usize, settings: &Settings) -> Harness {
        let executor = Rc::new(LocalExecutor::new());
        let configuration_age = Rc::new(Cell::new(Some(Duration::ZERO)));
        let shared_age = configuration_age.clone();
        let proxy = Proxy::new(settings, 7, Box::new(move || shared_age.get()));
        let (script, permits) = (Script::default(), Rc::default());
        let start_replica =
            |n: usize| ScriptedReplica::start(&executor, &format!("i-{n}"), &script, &permits);
        let replicas = (0..replicas).map(start_replica).collect();
        let (client_listener, readiness_listener) = (listener(), listener());
        let harness = Harness {
            client_address: client_listener.get_ref().local_addr().expect("an address"),
            readiness_address: readiness_listener.get_ref().local_addr().expect("an address"),
            executor: executor.clone(),
            proxy: proxy.clone(),
            configuration_age,
            replicas,
            script,
            permits,
        };
        let timers = proxy.timers.clone();
        executor.spawn(async move { timers.drive().await }).detach();
        executor.spawn(placed_request::run_timers(proxy.placement.clone(), proxy.timers.clone())).detach();
        executor
            .spawn(downstream::listener::listen(proxy.clone(), executor.clone(), client_listener))
            .detach();
        executor.spawn(ready::listen(proxy.clone(), executor.clone(), readiness_listener)).detach();
        proxy.set_proxy_count(1);
        proxy.set_configuration(Arc::new(configuration()));
        harness.set_fleet(|_| {});
        harness
    }

    /// Sends the proxy the list of all replicas after `change` has edited the entries.
    pub(crate) fn set_fleet(&self, change: impl Fn(&mut Vec<Replica>)) {
        let mut entries: Vec<Replica> =
            self.replicas.iter().map(|replica| replica_entry(replica)).collect();
        change(&mut entries);
        self.proxy.set_fleet(&entries, &WeightsTable::default());
    }

    /// Sends the proxy a list that withdraws weights below a revision. Replicas that have received requests still have
    /// the withdrawn weights; the others have the new ones.
    pub(crate) fn withdraw_weights_of_busy_replicas(&self, least: u64) {
        let entry = |replica: &Rc<ScriptedReplica>| {
            let mut entry = replica_entry(replica);
            if replica.request_count() == 0 {
                entry.models[0].revision = WeightsRevision(least);
            }
            entry
        };
        let entries: Vec<Replica> = self.replicas.iter().map(entry).collect();
        let model_weights = ModelWeights {
            model: "m".to_owned(),
            target: WeightsRevision(least),
            minimum: WeightsRevision(least),
            expired_below: WeightsRevision(least),
        };
        let weights = WeightsTable {
            position: Position { epoch: Epoch(1), sequence: ChangeNumber(1) },
            models: vec![model_weights],
        };
        self.proxy.set_fleet(&entries, &weights);
    }

    /// Adds the steps that a replica performs for the next request without a script.
    pub(crate) fn script_next_request(&self, steps: &[Step]) {
        self.script.borrow_mut().push_back(steps.to_vec());
    }

    /// Runs a test's future together with the proxy and the replicas.
    pub(crate) fn run<T>(&self, test: impl Future<Output = T>) -> T {
        async_io::block_on(self.executor.run(test))
    }

    /// Opens a client connection.
    pub(crate) async fn connect(&self) -> TestClient {
        let stream = Async::<TcpStream>::connect(self.client_address).await.expect("a connection");
        TestClient { stream, buffer: Vec::new() }
    }

    /// Sends one request on a new connection and reads the response.
    pub(crate) async fn send_request(&self, request: &str) -> String {
        let mut client = self.connect().await;
        client.send(request).await;
        client.read_response().await
    }

    /// Sends one request to the readiness listener and reads the response.
    pub(crate) async fn send_readiness_request(&self, request: &str) -> String {
        let stream = Async::<TcpStream>::connect(self.readiness_address).await.expect("a connection");
        let mut client = TestClient { stream, buffer: Vec::new() };
        client.send(request).await;
        client.read_response().await
    }

    /// Ends one `Step::Wait`, of any replica.
    pub(crate) fn release(&self) {
        self.permits.set(self.permits.get() + 1);
    }

    /// The number of requests that replicas have received.
    pub(crate) fn arrivals(&self) -> usize {
        self.replicas.iter().map(|replica| replica.request_count()).sum()
    }

    /// Runs other tasks until the condition holds.
    pub(crate) async fn wait_until(&self, condition: impl Fn() -> bool) {
        while !condition() {
            future::yield_now().await;
        }
    }
}

/// Gives the proxy time to return the connection of a complete response to its pool.
pub(crate) async fn settle() {
    async_io::Timer::after(Duration::from_millis(15)).await;
}
