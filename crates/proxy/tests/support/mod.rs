//! A proxy in the test's own process, with scripted replicas, over loopback.

#![allow(dead_code, reason = "each test file uses its part")]

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use tulipridge_configuration::{Caps, Configuration, Route, RouteKind, Service, ServiceWeight, Tenant};
use tulipridge_http1::codec::Head;
use tulipridge_protocol::feed::{
    ModelRevision, ModelWeights, Position, Replica, ReplicaPhase, WeightsTable,
};
use tulipridge_proxy::placement::placed_request;
use tulipridge_proxy::proxy::Proxy;
use tulipridge_proxy::{downstream, ready};
use tulipridge_runtime::settings::Settings;

pub(crate) const HOST: &str = "shop.example";
pub(crate) const KEY: &str = "k1";
pub(crate) const SEAL: &str = "s.1";
/// Bytes of a body that no connection takes at once.
pub(crate) const LONG_BODY: usize = 3 << 20;

/// A part of what a replica does for one request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Part {
    /// As the first part: what follows is done once a byte has come, and nothing is read.
    BeforeHead,
    /// As the first part: what follows is done once the head has come.
    BeforeBody,
    /// Reads the body that was left where it was.
    ReadBody,
    /// Writes this, with `{id}` as the request's `Attempt-Id`.
    Write(String),
    /// Waits until the test lets it go on.
    Wait,
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
}

/// What replicas do for the next requests, whichever of them these reach.
pub(crate) type Script = Rc<RefCell<VecDeque<Vec<Part>>>>;

/// A replica that answers by script.
pub(crate) struct StandIn {
    pub id: String,
    pub address: SocketAddr,
    script: Script,
    /// Requests as they came.
    pub requests: RefCell<Vec<String>>,
    /// Connections that were made.
    pub connections: Cell<usize>,
    /// Connections that the other side has ended.
    pub ended: Cell<usize>,
    gates: Rc<Cell<usize>>,
}

impl StandIn {
    pub(crate) fn start(
        executor: &Rc<LocalExecutor<'static>>,
        id: &str,
        script: &Script,
        gates: &Rc<Cell<usize>>,
    ) -> Rc<StandIn> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a free port");
        let stand_in = Rc::new(StandIn {
            id: id.to_owned(),
            address: listener.get_ref().local_addr().expect("an address"),
            script: script.clone(),
            requests: RefCell::default(),
            connections: Cell::new(0),
            ended: Cell::new(0),
            gates: gates.clone(),
        });
        let (served, spawner) = (stand_in.clone(), executor.clone());
        executor
            .spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    served.connections.set(served.connections.get() + 1);
                    let served = served.clone();
                    spawner
                        .spawn(async move {
                            served.serve(stream).await;
                            served.ended.set(served.ended.get() + 1);
                        })
                        .detach();
                }
            })
            .detach();
        stand_in
    }

    /// Requests that came so far.
    pub(crate) fn count(&self) -> usize {
        self.requests.borrow().len()
    }

    async fn serve(&self, mut stream: Async<TcpStream>) -> Option<()> {
        let mut buffer = Vec::new();
        loop {
            if buffer.is_empty() && stream.peek(&mut [0]).await.ok()? == 0 {
                return None;
            }
            let first = self.script.borrow().front().and_then(|parts| parts.first().cloned());
            let request = match first {
                Some(Part::BeforeHead) => None,
                Some(Part::BeforeBody) => Some(read_head(&mut stream, &mut buffer).await?),
                _ => Some(read_message(&mut stream, &mut buffer).await?),
            };
            let number = request.as_ref().map(|request| self.note(request));
            let request = request.unwrap_or_default();
            let parts = self.script.borrow_mut().pop_front();
            let parts = parts.unwrap_or_else(|| vec![Part::Write(ok("served"))]);
            for part in parts {
                if part == Part::ReadBody {
                    self.read_body(number?, &mut stream, &mut buffer).await?;
                } else {
                    self.act(&part, &request, &mut stream).await?;
                }
            }
        }
    }

    /// Keeps a request; its number.
    fn note(&self, request: &str) -> usize {
        let mut requests = self.requests.borrow_mut();
        requests.push(request.to_owned());
        requests.len() - 1
    }

    /// Does a part; none once the connection is over.
    async fn act(&self, part: &Part, request: &str, stream: &mut Async<TcpStream>) -> Option<()> {
        let id = header(request, "Attempt-Id").unwrap_or_default();
        match part {
            Part::BeforeHead | Part::BeforeBody | Part::ReadBody => Some(()),
            Part::Write(text) => stream.write_all(text.replace("{id}", &id).as_bytes()).await.ok(),
            Part::Wait => self.wait(stream).await,
            Part::Close => None,
            Part::Reset => {
                let socket = socket2::SockRef::from(stream.get_ref());
                socket.set_linger(Some(Duration::ZERO)).ok()?;
                None
            }
        }
    }

    /// Adds its body to a request, as far as it comes.
    async fn read_body(
        &self,
        number: usize,
        stream: &mut Async<TcpStream>,
        buffer: &mut Vec<u8>,
    ) -> Option<()> {
        let length = header(&self.requests.borrow()[number], "Content-Length")?.parse().ok()?;
        let mut is_open = true;
        while is_open && buffer.len() < length {
            is_open = read_some(stream, buffer).await > 0;
        }
        let body: Vec<u8> = buffer.drain(..length.min(buffer.len())).collect();
        self.requests.borrow_mut()[number].push_str(&String::from_utf8_lossy(&body));
        is_open.then_some(())
    }

    /// Waits for the test's word; none once the other side has ended the connection.
    async fn wait(&self, stream: &mut Async<TcpStream>) -> Option<()> {
        while self.gates.get() == 0 {
            let peeked = future::poll_once(stream.peek(&mut [0])).await;
            if matches!(peeked, Some(Ok(0) | Err(_))) {
                return None;
            }
            future::yield_now().await;
        }
        self.gates.set(self.gates.get() - 1);
        Some(())
    }
}

/// A response of 200 with this body.
pub(crate) fn ok(body: &str) -> String {
    answer("200 OK", "", body)
}

/// A complete response with a length.
pub(crate) fn answer(status: &str, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nAttempt-Id: {{id}}\r\nServer-Seal: {SEAL}\r\n{headers}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// The head of a stream in chunks.
pub(crate) fn stream_head() -> String {
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {{id}}\r\nServer-Seal: {SEAL}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
}

/// An event as a chunk.
pub(crate) fn event(id: u32) -> String {
    chunk(&format!("id: {id}\ndata: d{id}\n\n"))
}

pub(crate) fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

pub(crate) const LAST: &str = "0\r\n\r\n";

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

pub(crate) fn settings() -> Settings {
    let text = "nodeName: edge-1\nipAddress: 127.0.0.1\narea: zone-a\nzones: {zone-a: here, zone-b: here}\n\
                sparePorts: [7360, 7375]\n";
    Settings::parse(text).expect("settings that can be used")
}

pub(crate) fn route(label: &str, path: &str, kind: RouteKind) -> Route {
    Route {
        label: label.to_owned(),
        host: HOST.to_owned(),
        path_prefix: path.to_owned(),
        kind,
        time_limit_ms: 8000,
        target_ms: 2000,
        rank: 1,
        service_weights: vec![ServiceWeight { service: "service".to_owned(), weight: 1.0 }],
        max_attempts: 2,
        public: false,
        pinned: kind == RouteKind::Stream,
        resumable: false,
        gap_target_ms: 0,
    }
}

pub(crate) fn configuration() -> Configuration {
    let resumable = Route { resumable: true, ..route("resumable", "/resumable/", RouteKind::Stream) };
    let open = Route { public: true, ..route("open", "/open/", RouteKind::Harmless) };
    Configuration {
        revision: 1,
        routes: vec![
            route("harmless", "/harmless/", RouteKind::Harmless),
            route("risky", "/risky/", RouteKind::Risky),
            route("stream", "/stream/", RouteKind::Stream),
            resumable,
            open,
        ],
        services: vec![Service { label: "service".to_owned(), ..Service::default() }],
        caps: Caps::default(),
        requires_key: true,
        tenants: vec![
            Tenant {
                label: "acme".to_owned(),
                api_keys: vec![KEY.to_owned()],
                rank: Some(3),
                isolated: true,
            },
            Tenant {
                label: "other".to_owned(),
                api_keys: vec!["k2".to_owned()],
                rank: None,
                isolated: false,
            },
        ],
    }
}

pub(crate) fn replica_line(stand_in: &StandIn) -> Replica {
    Replica {
        id: stand_in.id.clone(),
        service: "service".to_owned(),
        address: stand_in.address.to_string(),
        zone: "zone-a".to_owned(),
        capacity: 8,
        phase: ReplicaPhase::Ready,
        warm_left_ms: 0,
        models: vec![ModelRevision { model: "m".to_owned(), revision: 4 }],
    }
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
        proxy.set_gateways(1);
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
                line.models[0].revision = least;
            }
            line
        };
        let lines: Vec<Replica> = self.replicas.iter().map(line).collect();
        let line = ModelWeights { model: "m".to_owned(), named: least, least, expired: least };
        let weights = WeightsTable { position: Position { epoch: 1, sequence: 1 }, models: vec![line] };
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
    pub(crate) async fn ask(&self, request: &str) -> String {
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

fn listener() -> Async<TcpListener> {
    Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a free port")
}

/// A client's connection.
pub(crate) struct TestClient {
    pub stream: Async<TcpStream>,
    buffer: Vec<u8>,
}

impl TestClient {
    pub(crate) async fn send(&mut self, request: &str) {
        self.stream.write_all(request.as_bytes()).await.expect("a request is taken");
    }

    /// The next response; `(cut)` after it where it is truncated, `(closed)` where there is none.
    pub(crate) async fn answer(&mut self) -> String {
        match read_message(&mut self.stream, &mut self.buffer).await {
            Some(answer) => answer,
            None if self.buffer.is_empty() => "(closed)".to_owned(),
            None => format!("{}(cut)", String::from_utf8_lossy(&std::mem::take(&mut self.buffer))),
        }
    }

    /// Bytes that were read and are no part of a response that was taken.
    pub(crate) fn received(&self) -> String {
        String::from_utf8_lossy(&self.buffer).into_owned()
    }

    /// Reads until the bytes of the response contain this.
    pub(crate) async fn wait_for(&mut self, text: &str) {
        while !String::from_utf8_lossy(&self.buffer).contains(text) {
            assert!(
                read_some(&mut self.stream, &mut self.buffer).await > 0,
                "the connection ended before {text}"
            );
        }
    }
}

async fn read_some(stream: &mut Async<TcpStream>, buffer: &mut Vec<u8>) -> usize {
    let mut piece = [0; 4096];
    let count = stream.read(&mut piece).await.unwrap_or(0);
    buffer.extend_from_slice(&piece[..count]);
    count
}

/// Reads a head, and leaves what follows it in the buffer.
async fn read_head(stream: &mut Async<TcpStream>, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = String::from_utf8_lossy(buffer).find("\r\n\r\n") {
            let head: Vec<u8> = buffer.drain(..end + 4).collect();
            return Some(String::from_utf8_lossy(&head).into_owned());
        }
        if read_some(stream, buffer).await == 0 {
            return None;
        }
    }
}

/// Reads one message with its body as it came; none if the connection ends before its end.
async fn read_message(stream: &mut Async<TcpStream>, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = message_end(buffer) {
            let message = buffer.drain(..end).collect::<Vec<u8>>();
            return Some(String::from_utf8_lossy(&message).into_owned());
        }
        if read_some(stream, buffer).await == 0 {
            return None;
        }
    }
}

fn message_end(buffer: &[u8]) -> Option<usize> {
    let text = String::from_utf8_lossy(buffer);
    let head_end = text.find("\r\n\r\n")? + 4;
    let head = &text[..head_end];
    if header(head, "Transfer-Encoding").is_some() {
        return text[head_end..].find("0\r\n\r\n").map(|at| head_end + at + 5);
    }
    let length = header(head, "Content-Length").map_or(0, |value| value.parse().expect("a length"));
    (buffer.len() >= head_end + length).then_some(head_end + length)
}

/// The value of a header in a message.
pub(crate) fn header(message: &str, name: &str) -> Option<String> {
    let head = message.split("\r\n\r\n").next()?;
    head.lines().find_map(|line| {
        let (found, value) = line.split_once(": ")?;
        found.eq_ignore_ascii_case(name).then(|| value.to_owned())
    })
}

/// The status of a response.
pub(crate) fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or(answer)
}

/// A request for a path, with a key and a body.
pub(crate) fn post(path: &str, id: &str) -> String {
    post_with(path, id, "")
}

/// The same with further headers.
pub(crate) fn post_with(path: &str, id: &str, headers: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nTime-Left-Ms: 6000\r\n\
         Authorization: Token {KEY}\r\n{headers}Content-Length: 4\r\n\r\nbody"
    )
}

/// The same with a body that is longer than what the system holds of a connection.
pub(crate) fn post_long(path: &str, id: &str) -> String {
    let body = "x".repeat(LONG_BODY);
    post(path, id)
        .replace("Content-Length: 4\r\n\r\nbody", &format!("Content-Length: {LONG_BODY}\r\n\r\n{body}"))
}

/// A message with what differs from run to run replaced, and line ends as in a text file.
pub(crate) fn transcript(message: &str) -> String {
    let lines = message.lines().map(|line| match line.split_once(": ") {
        Some((name @ ("Time-Left-Ms" | "Retry-After"), _)) => format!("{name}: (time)"),
        _ => line.trim_end().to_owned(),
    });
    lines.collect::<Vec<_>>().join("\n")
}

/// The head of a message.
pub(crate) fn head(start: [&str; 3], headers: &[(&str, &str)]) -> Head {
    let owned = |(name, value): &(&str, &str)| ((*name).to_owned(), (*value).to_owned());
    Head { start: start.map(str::to_owned), headers: headers.iter().map(owned).collect() }
}
