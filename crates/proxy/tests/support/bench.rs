//! A proxy in this process, with its replicas and clients.

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
use super::fixtures::{configuration, replica_line, settings};
use super::http::answer;
use super::reading::listener;
use super::replica::{Part, Script, StandIn};

/// What the tests may change of the proxy's surroundings.
pub(crate) struct Bench {
    pub executor: Rc<LocalExecutor<'static>>,
    pub proxy: Rc<Proxy>,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    /// How old the configuration is.
    pub age: Rc<Cell<Option<Duration>>>,
    pub replicas: Vec<Rc<StandIn>>,
    script: Script,
    gates: Rc<Cell<usize>>,
}

impl Bench {
    /// A proxy with so many replicas, and a retry budget that lets each request be repeated.
    pub(crate) fn start(replicas: usize) -> Bench {
        Bench::with_budget(replicas, 2.0, 100)
    }

    /// The same with this retry budget.
    pub(crate) fn with_budget(replicas: usize, retry_ratio: f64, spare_tries: u64) -> Bench {
        let mut settings = settings();
        settings.time_limits.retry_ratio = retry_ratio;
        settings.time_limits.spare_tries = spare_tries;
        Bench::with_settings(replicas, &settings)
    }

    /// A proxy whose process may use so many descriptors.
    pub(crate) fn with_file_handles(replicas: usize, file_handles: u64) -> Bench {
        let mut settings = settings();
        settings.time_limits.retry_ratio = 2.0;
        settings.time_limits.spare_tries = 100;
        settings.caps.file_handles = file_handles;
        Bench::with_settings(replicas, &settings)
    }

    /// A proxy whose operator gives this time for the change to new weights.
    pub(crate) fn with_revision_term(
        replicas: usize,
        revision_ms: u64,
        (retry_ratio, spare_tries): (f64, u64),
    ) -> Bench {
        let mut settings = settings();
        settings.time_limits.retry_ratio = retry_ratio;
        settings.time_limits.spare_tries = spare_tries;
        settings.time_limits.revision_ms = revision_ms;
        Bench::with_settings(replicas, &settings)
    }

    fn with_settings(replicas: usize, settings: &Settings) -> Bench {
        let executor = Rc::new(LocalExecutor::new());
        let age = Rc::new(Cell::new(Some(Duration::ZERO)));
        let shared_age = age.clone();
        let proxy = Proxy::new(settings, 7, Box::new(move || shared_age.get()));
        let (script, gates) = (Script::default(), Rc::default());
        let stand_in = |n| StandIn::start(&executor, &format!("i-{n}"), &script, &gates);
        let replicas = (0..replicas).map(stand_in).collect();
        let (front, ready_check) = (listener(), listener());
        let bench = Bench {
            front: front.get_ref().local_addr().expect("an address"),
            ready: ready_check.get_ref().local_addr().expect("an address"),
            executor: executor.clone(),
            proxy: proxy.clone(),
            age,
            replicas,
            script,
            gates,
        };
        let alarms = proxy.alarms.clone();
        executor.spawn(async move { alarms.drive().await }).detach();
        executor.spawn(placed_request::run_timers(proxy.placement.clone(), proxy.alarms.clone())).detach();
        executor.spawn(downstream::listener::listen(proxy.clone(), executor.clone(), front)).detach();
        executor.spawn(ready::listen(proxy.clone(), executor.clone(), ready_check)).detach();
        proxy.set_proxy_count(1);
        proxy.set_configuration(Arc::new(configuration()));
        bench.set_fleet(|_| {});
        bench
    }

    /// Tells the proxy of all replicas, with their lines changed.
    pub(crate) fn set_fleet(&self, change: impl Fn(&mut Vec<Replica>)) {
        let mut lines: Vec<Replica> = self.replicas.iter().map(|replica| replica_line(replica)).collect();
        change(&mut lines);
        self.proxy.set_fleet(&lines, &WeightsTable::default());
    }

    /// Tells the proxy that weights below a revision are withdrawn, which replicas that were sent requests still have.
    pub(crate) fn withdraw_at_busy(&self, least: u64) {
        let line = |stand_in: &Rc<StandIn>| {
            let mut line = replica_line(stand_in);
            if stand_in.count() == 0 {
                line.models[0].revision = WeightsRevision(least);
            }
            line
        };
        let lines: Vec<Replica> = self.replicas.iter().map(line).collect();
        let line = ModelWeights {
            model: "m".to_owned(),
            named: WeightsRevision(least),
            least: WeightsRevision(least),
            expired: WeightsRevision(least),
        };
        let weights = WeightsTable {
            position: Position { epoch: Epoch(1), sequence: ChangeNumber(1) },
            models: vec![line],
        };
        self.proxy.set_fleet(&lines, &weights);
    }

    /// Adds what a replica does for the next request that is not scripted yet.
    pub(crate) fn next(&self, parts: &[Part]) {
        self.script.borrow_mut().push_back(parts.to_vec());
    }

    /// Runs a test.
    pub(crate) fn run<T>(&self, test: impl Future<Output = T>) -> T {
        async_io::block_on(self.executor.run(test))
    }

    /// Opens a client's connection.
    pub(crate) async fn connect(&self) -> TestClient {
        let stream = Async::<TcpStream>::connect(self.front).await.expect("a connection");
        TestClient { stream, buffer: Vec::new() }
    }

    /// Sends one request on a connection of its own, and reads the response.
    pub(crate) async fn send_request(&self, request: &str) -> String {
        let mut client = self.connect().await;
        client.send(request).await;
        client.answer().await
    }

    /// The same of the check of readiness.
    pub(crate) async fn check(&self, request: &str) -> String {
        let stream = Async::<TcpStream>::connect(self.ready).await.expect("a connection");
        let mut client = TestClient { stream, buffer: Vec::new() };
        client.send(request).await;
        client.answer().await
    }

    /// Lets one wait of a replica go on, whichever waits.
    pub(crate) fn release(&self) {
        self.gates.set(self.gates.get() + 1);
    }

    /// Requests that reached any replica.
    pub(crate) fn arrivals(&self) -> usize {
        self.replicas.iter().map(|replica| replica.count()).sum()
    }

    /// Lets other tasks run until the condition holds.
    pub(crate) async fn until(&self, condition: impl Fn() -> bool) {
        while !condition() {
            future::yield_now().await;
        }
    }
}

/// Waits until the connection of a response that has ended may be reused.
pub(crate) async fn settle() {
    async_io::Timer::after(Duration::from_millis(15)).await;
}
