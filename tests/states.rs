//! The states of a request and of a client connection, checked against models under random steps with fixed seeds; and
//! single cases of attempts, request framing and server-sent events.

use std::cell::{Cell, RefCell};
use std::io::Read;
use std::net::TcpListener;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use futures_lite::{Stream, StreamExt, future};
use quickcheck::{Arbitrary, Gen, QuickCheck};

use tulipridge::engine::{
    self, Arrival, AttemptOutcome, AttemptRunner, AttemptUpdate, Client, Engine, FailureReason,
    PlacementRequest, Rejection, ResponseSink, StreamInfo, StreamSuccessor, TokenCounts,
};
use tulipridge::front::{Dialect, ForwardedRequest};
use tulipridge::limits::Limits;
use tulipridge::names::{ReplicaState, ServiceEntry};
use tulipridge::net::codec::{self, Body};
use tulipridge::net::upstream::{Dispatch, Fleet};
use tulipridge::stream::{Cause, Disconnect};
use tulipridge::types::{self, *};

fn check(seed: u64) -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(40, seed)).tests(400)
}

fn limits() -> Limits {
    Limits::new(1024, 192, Duration::from_millis(150), Duration::from_secs(5))
}

/// A step of a test: an update from the replica, or the client's disconnect.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    StreamEvent,
    End(Verdict),
    Reject,
    Disconnect,
    /// The end of the attempt and the client's disconnect, noticed at the same time.
    EndAndDisconnect(Verdict),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        use Verdict::*;
        let endings = [Ok, Error, Full, NoConnection, Reset, TimedOut, NotSent].map(Step::End);
        let both = Step::EndAndDisconnect(
            *g.choose(&[Ok, Error, Full, NoConnection, Reset]).expect("a non-empty list"),
        );
        let others = [
            Step::StreamEvent,
            Step::StreamEvent,
            Step::StreamEvent,
            Step::StreamEvent,
            Step::Reject,
            Step::Disconnect,
            both,
        ];
        let choices = if bool::arbitrary(g) { &endings[..] } else { &others[..] };
        *g.choose(choices).expect("a non-empty list")
    }
}

/// The events and final responses that the client received, and for each attempt the sender of its updates.
#[derive(Default)]
struct Recorder {
    event_count: Cell<u32>,
    final_responses: RefCell<Vec<&'static str>>,
    attempts: RefCell<Vec<Sender<AttemptUpdate<()>>>>,
}

struct StandInRunner(Rc<Recorder>);

impl AttemptRunner<()> for StandInRunner {
    type Updates = Pin<Box<Receiver<AttemptUpdate<()>>>>;
    fn start_attempt(&self, _: ReplicaId, _: Duration, _: Duration) -> Self::Updates {
        let (sender, updates) = async_channel::unbounded();
        self.0.attempts.borrow_mut().push(sender);
        Box::pin(updates)
    }
}

/// Handover without a successor process: every stream stays in this one.
struct NoSuccessor;

impl<S, A> StreamSuccessor<S, A> for NoSuccessor {
    fn take_over(&self, _: &StreamInfo, _: &mut S, _: &mut A) -> bool {
        false
    }
}

struct StandInClient {
    recorder: Rc<Recorder>,
    disconnect: Pin<Box<Receiver<()>>>,
}

impl StandInClient {
    fn record_response(self, kind: &'static str) {
        self.recorder.final_responses.borrow_mut().push(kind);
    }
}

impl Client<()> for StandInClient {
    type Sink = StandInClient;
    async fn wait_for_disconnect(&mut self) {
        while self.disconnect.next().await.is_some() {}
    }
    async fn is_disconnected(&mut self) -> bool {
        self.disconnect.is_closed()
    }
    async fn abandon(self) {}
    async fn shed(self, wait: Duration) {
        assert!(wait <= Duration::from_secs(2));
        self.record_response("shed");
    }
    async fn reject(self, Rejection { status, .. }: Rejection) {
        assert!((400..500).contains(&status));
        self.record_response("rejected");
    }
    async fn fail(self, _: FailureReason) {
        self.record_response("failed");
    }
    fn begin_response(self) -> StandInClient {
        self
    }
}

impl ResponseSink<()> for StandInClient {
    fn poll_disconnect(&mut self, cx: &mut Context<'_>) -> Poll<Disconnect> {
        self.disconnect.as_mut().poll_next(cx).map(|_| Disconnect::Closed)
    }
    fn is_assembled(&self) -> bool {
        false
    }
    fn buffered_bytes(&self) -> usize {
        0
    }
    fn is_full(&self) -> bool {
        false
    }
    fn queue(&mut self, (): ()) -> usize {
        self.recorder.event_count.set(self.recorder.event_count.get() + 1);
        1
    }
    fn queue_end(&mut self, _: Cause) -> usize {
        1
    }
    fn poll_write(&mut self, _: &mut Context<'_>) -> Poll<Result<usize, Disconnect>> {
        Poll::Ready(Ok(1))
    }
    fn finish(self) {
        self.record_response("served");
    }
    fn abort(self) {
        // A client that disconnected receives no response.
        if !self.disconnect.is_closed() {
            self.record_response("aborted");
        }
    }
}

fn settings(effect: Effect) -> Settings {
    let second = 1_000_000_000;
    Settings {
        group_size: 1,
        has_pushed_list: true,
        classes: vec![types::Class {
            latency_target: 9 * second,
            latency_target_per_token: 0,
            inter_token_target: 0,
            deadline: 90 * second,
            effect,
            value: 1.0,
            late_value: 0.0,
            stream: true,
        }],
        limits: types::Limits {
            max_attempts: 3,
            cancellation: true,
            max_retry_after: 2 * second,
            ..Default::default()
        },
        slow_start: SlowStartSettings { initial_capacity: 1.0, overload_factor: 2.5, ..Default::default() },
        ..Settings::default()
    }
}

/// Expected state of a request: forwarded events, attempts so far, and its only final response.
#[derive(Debug, PartialEq)]
struct Model {
    event_count: u32,
    attempt_count: usize,
    response: Option<&'static str>,
    is_finished: bool,
}

impl Model {
    fn apply(&mut self, step: Step, is_safe: bool) {
        let has_begun = self.event_count > 0;
        let was_not_run =
            matches!(step, Step::End(Verdict::Full | Verdict::NoConnection | Verdict::NotSent));
        match step {
            _ if self.is_finished => return,
            Step::StreamEvent => self.event_count += 1,
            // The end that arrives with the disconnect has no effect.
            Step::Disconnect | Step::EndAndDisconnect(_) => {}
            // After the first event a replica can't reject the request any more.
            Step::Reject => self.response = Some(if has_begun { "aborted" } else { "rejected" }),
            Step::End(verdict) if has_begun => {
                self.response = Some(if verdict == Verdict::Ok { "served" } else { "aborted" });
            }
            // Retried on another replica if that is safe and attempts remain.
            Step::End(_) if (is_safe || was_not_run) && self.attempt_count < 3 => self.attempt_count += 1,
            Step::End(_) => self.response = Some(if is_safe || was_not_run { "shed" } else { "failed" }),
        }
        self.is_finished =
            matches!(step, Step::Disconnect | Step::EndAndDisconnect(_)) || self.response.is_some();
    }
}

/// List entry of a ready replica.
fn ready_member(n: u64) -> Member {
    Member {
        id: ReplicaId::from(format!("s-{n}").as_str()),
        units: 1.0,
        zone: 0,
        kind: 0,
        cell: 0,
        phase: Phase::Ready,
        started: None,
    }
}

fn sample_placement() -> PlacementRequest {
    PlacementRequest {
        id: None,
        expires_in: 90_000_000_000,
        class: 0,
        tenant: None,
        prefix: None,
        session: Some(5),
        tokens: TokenCounts { prompt: 100, prefix: 0, max_output: 10 },
        is_retry: false,
    }
}

/// Applies a step to the latest attempt, or to the client, which disconnects when `connection` is closed.
fn deliver(step: Step, attempt: &Sender<AttemptUpdate<()>>, connection: &Sender<()>) {
    match step {
        Step::StreamEvent => {
            drop(attempt.try_send(AttemptUpdate::Events((), Arrival { events: 1, ..Arrival::default() })));
        }
        Step::End(verdict) => drop(attempt.try_send(AttemptUpdate::Ended(AttemptOutcome::from(verdict)))),
        Step::Reject => {
            drop(
                attempt
                    .try_send(AttemptUpdate::Rejected(Rejection { status: 400, message: String::new() })),
            );
        }
        Step::Disconnect => drop(connection.close()),
        Step::EndAndDisconnect(verdict) => {
            let _ = attempt.try_send(AttemptUpdate::Ended(AttemptOutcome::from(verdict)));
            connection.close();
        }
    }
}

fn request_matches_model(steps: Vec<Step>, is_safe: bool) -> bool {
    let effect = if is_safe { Effect::Safe } else { Effect::Unsafe };
    let (engine, _commands) = Engine::new(settings(effect), 1, &limits()).expect("valid settings");
    engine.update_list(ListKind::Persisted, (0..4).map(ready_member).collect());
    let recorder = Rc::new(Recorder::default());
    let (connection, disconnect) = async_channel::bounded(1);
    let executor = LocalExecutor::new();
    let (client, runner) = (
        StandInClient { recorder: recorder.clone(), disconnect: Box::pin(disconnect) },
        StandInRunner(recorder.clone()),
    );
    let task_engine = engine.clone();
    let request_task = executor.spawn(async move {
        let request = sample_placement();
        engine::serve(&task_engine, &request, &runner, client, &NoSuccessor).await;
    });
    let run_pending_tasks = || while executor.try_tick() {};
    run_pending_tasks();
    let mut model = Model { event_count: 0, attempt_count: 1, response: None, is_finished: false };
    for step in steps {
        let attempt = recorder.attempts.borrow().last().cloned().expect("a first attempt");
        deliver(step, &attempt, &connection);
        run_pending_tasks();
        model.apply(step, is_safe);
        let responses = recorder.final_responses.borrow();
        assert!(responses.len() <= 1, "more than one final response: {responses:?}");
        let actual = Model {
            event_count: recorder.event_count.get(),
            attempt_count: recorder.attempts.borrow().len(),
            response: responses.first().copied(),
            is_finished: request_task.is_finished(),
        };
        assert_eq!(actual, model, "after {step:?}");
        // A finished request uses no resources: it is not in the engine, and its attempts are closed.
        assert_eq!(engine.request_count(), usize::from(!model.is_finished));
        let open_count = recorder.attempts.borrow().iter().filter(|attempt| !attempt.is_closed()).count();
        assert_eq!(open_count, usize::from(!model.is_finished));
    }
    true
}

#[test]
fn a_request_matches_its_model_under_random_events() {
    check(11).quickcheck(request_matches_model as fn(Vec<Step>, bool) -> bool);
}

#[test]
fn a_new_replica_on_a_known_address_removes_the_old_id() {
    let fleet = Fleet::new(Rc::new(limits()), Box::new(|_| Vec::new()));
    let removed_ids_after_applying = |id: &str, started_ms| {
        let entry = entry(id, "127.0.0.1:9", ReplicaState::Ready, started_ms);
        fleet.apply_entry(&entry, Dialect::Platform).iter().map(|id| id.0.to_string()).collect::<Vec<_>>()
    };
    assert!(removed_ids_after_applying("old", 0.0).is_empty());
    assert_eq!(removed_ids_after_applying("new", 5.0), ["old"]);
    assert_eq!(removed_ids_after_applying("old", 0.0), ["old"], "an outdated list does not add it again");
    assert!(removed_ids_after_applying("new", 5.0).is_empty());
}

#[test]
fn exhausted_local_connections_are_no_replica_failure() {
    let mut limits_without_connections = limits();
    limits_without_connections.replicas.connections = 0;
    let fleet = Rc::new(Fleet::new(Rc::new(limits_without_connections), Box::new(|_| Vec::new())));
    fleet.apply_entry(&entry("s-1", "127.0.0.1:9", ReplicaState::Ready, 0.0), Dialect::Platform);
    let mut updates =
        dispatch(&fleet).start_attempt(ReplicaId::from("s-1"), Duration::from_secs(20), Duration::MAX);
    match async_io::block_on(updates.next()) {
        Some(AttemptUpdate::Ended(ending)) => assert_eq!(ending.verdict, Verdict::NotSent),
        other => panic!("{other:?}"),
    }
}

fn entry(id: &str, addr: &str, state: ReplicaState, started_ms: f64) -> ServiceEntry {
    let (addr, zone, kind) = (addr.into(), "a".into(), "k".into());
    ServiceEntry { id: id.into(), addr, zone, kind, cell: 0, state, weight: 1.0, started_ms }
}

fn dispatch(fleet: &Rc<Fleet>) -> Dispatch {
    let start = ["POST", "/v1/chat/completions", "HTTP/1.1"].map(str::to_owned);
    let head = codec::Head { start, headers: Vec::new() };
    let forwarded =
        Rc::new(ForwardedRequest::new(Dialect::Platform, head, b"{}".to_vec(), Rc::new(limits())));
    Dispatch { fleet: fleet.clone(), forwarded }
}

#[test]
fn a_drain_cancels_an_attempt_whose_connection_is_opening() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let limits = Rc::new(Limits::new(1024, 192, Duration::from_secs(20), Duration::from_secs(5)));
    let fleet = Rc::new(Fleet::new(limits, Box::new(|_| Vec::new())));
    let apply = |state| {
        let addr = listener.local_addr().expect("an address").to_string();
        let entry = entry("s-1", &addr, state, 0.0);
        fleet.apply_entry(&entry, Dialect::Platform);
    };
    apply(ReplicaState::Ready);
    let mut updates =
        dispatch(&fleet).start_attempt(ReplicaId::from("s-1"), Duration::from_secs(20), Duration::MAX);
    async_io::block_on(async {
        assert!(future::poll_once(updates.next()).await.is_none(), "the connection is being opened");
        apply(ReplicaState::Draining);
        match updates.next().await {
            Some(AttemptUpdate::Ended(ending)) => assert_eq!(ending.verdict, Verdict::NotSent),
            other => panic!("{other:?}"),
        }
    });
    let (mut stream, _) = listener.accept().expect("a connection");
    assert_eq!(stream.read(&mut [0]).expect("closed without a reset"), 0, "no byte was sent");
}

/// A request in the framing that its client chose.
#[derive(Clone, Debug)]
struct ClientRequest {
    path: u8,
    body: Vec<u8>,
    /// Sizes of the chunks. If empty, the request has a `Content-Length`.
    chunks: Vec<u8>,
}

impl Arbitrary for ClientRequest {
    fn arbitrary(g: &mut Gen) -> ClientRequest {
        ClientRequest { path: u8::arbitrary(g), body: Vec::arbitrary(g), chunks: Vec::arbitrary(g) }
    }
}

impl ClientRequest {
    fn bytes(&self) -> Vec<u8> {
        let mut out = format!("POST /{} HTTP/1.1\r\nHost: a\r\n", self.path).into_bytes();
        if self.chunks.is_empty() {
            out.extend(format!("Content-Length: {}\r\n\r\n", self.body.len()).into_bytes());
            out.extend(&self.body);
            return out;
        }
        out.extend(b"Transfer-Encoding: chunked\r\n\r\n");
        let mut rest = &self.body[..];
        for size in &self.chunks {
            let (chunk, remaining) = rest.split_at(usize::from(*size).min(rest.len()));
            if !chunk.is_empty() {
                out.extend(codec::chunk(chunk));
            }
            rest = remaining;
        }
        if !rest.is_empty() {
            out.extend(codec::chunk(rest));
        }
        out.extend(codec::LAST_CHUNK);
        out
    }
}

/// Parses requests as a client connection of the gateway does.
#[derive(Default)]
struct Reader {
    buf: Vec<u8>,
    /// Path, framing, and the part of the body received so far.
    incomplete_request: Option<(String, Body, Vec<u8>)>,
    requests: Vec<(String, Vec<u8>)>,
}

impl Reader {
    fn push(&mut self, bytes: &[u8], limits: &Limits) -> Result<(), codec::ParseError> {
        self.buf.extend_from_slice(bytes);
        loop {
            if self.incomplete_request.is_none() {
                let Some(head) = codec::request_head(&mut self.buf, &limits.wire)? else { return Ok(()) };
                self.incomplete_request =
                    Some((head.start[1].clone(), head.request_body(&limits.wire)?, Vec::new()));
            }
            let Some((_, framing, body)) = &mut self.incomplete_request else { return Ok(()) };
            if !framing.take(&mut self.buf, body, &limits.wire)? {
                return Ok(());
            }
            let (path, _, body) = self.incomplete_request.take().expect("set above");
            self.requests.push((path, body));
        }
    }
}

#[test]
fn pipelined_requests_are_parsed_completely_in_any_pieces() {
    fn parsed_unchanged(requests: Vec<ClientRequest>, piece_sizes: Vec<u8>) -> bool {
        let bytes: Vec<u8> = requests.iter().flat_map(ClientRequest::bytes).collect();
        let (mut reader, mut rest, limits) = (Reader::default(), &bytes[..], limits());
        for size in piece_sizes.iter().cycle().chain([&0]).take(bytes.len()) {
            let (piece, remaining) = rest.split_at((usize::from(*size) + 1).min(rest.len()));
            reader.push(piece, &limits).expect("a valid request");
            rest = remaining;
        }
        reader.push(rest, &limits).expect("a valid request");
        let sent: Vec<_> = requests.iter().map(|r| (format!("/{}", r.path), r.body.clone())).collect();
        reader.requests == sent && reader.buf.is_empty() && reader.incomplete_request.is_none()
    }
    check(12).quickcheck(parsed_unchanged as fn(Vec<ClientRequest>, Vec<u8>) -> bool);
}

#[test]
fn corrupted_requests_parse_or_get_a_status_of_400_to_505() {
    fn parses_or_fails(requests: Vec<ClientRequest>, changes: Vec<(u16, u8)>) -> bool {
        let mut bytes: Vec<u8> = requests.iter().flat_map(ClientRequest::bytes).collect();
        for (at, byte) in changes {
            let at = usize::from(at) % bytes.len().max(1);
            if let Some(target) = bytes.get_mut(at) {
                *target = byte;
            }
        }
        let (mut reader, limits) = (Reader::default(), limits());
        let result = reader.push(&bytes, &limits);
        result.is_ok() || result.is_err_and(|error| (400..=505).contains(&error.status()))
    }
    check(13).quickcheck(parses_or_fails as fn(Vec<ClientRequest>, Vec<(u16, u8)>) -> bool);
}

#[test]
fn ambiguously_framed_requests_are_rejected() {
    for (status, head) in [
        (400, "Content-Length: 3\r\nContent-Length: 3\r\n"),
        (400, "Content-Length: 3, 3\r\n"),
        (400, "Content-Length: +3\r\n"),
        (400, "Content-Length : 3\r\n"),
        (400, "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"),
        (501, "Transfer-Encoding: chunked, gzip\r\n"),
        (501, "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"),
        (400, "X: 1\r\n folded\r\n"),
        (400, "X: a\rb\r\n"),
        (400, "X: 1\nContent-Length: 3\r\n"),
        (400, "Host: b\r\n"),
    ] {
        let bytes = format!("POST / HTTP/1.1\r\nHost: a\r\n{head}\r\nabc");
        let result = Reader::default().push(bytes.as_bytes(), &limits());
        assert_eq!(result.map_err(codec::ParseError::status), Err(status), "{head:?}");
    }
    // Chunks that can't become valid are rejected at once, before further bytes arrive.
    for (status, chunks) in [
        (400, "-1\r\n"),
        (400, "fffffffff\r\n"),
        (400, "3\r\nabcd\r\n"),
        (400, "\r\n"),
        (400, "0x3\r\n"),
        (400, "zz"),
        (400, "3\r\nabcd"),
        (413, "b2d05e00\r\n"),
    ] {
        let bytes = format!("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}");
        let result = Reader::default().push(bytes.as_bytes(), &limits());
        assert_eq!(result.map_err(codec::ParseError::status), Err(status), "{chunks:?}");
    }
    assert!(codec::response_head(&mut b"noise".to_vec(), &limits().wire).is_err());
}

#[test]
fn events_are_parsed_unchanged_in_any_pieces() {
    fn parsed_unchanged(event_numbers: Vec<u8>, piece_sizes: Vec<u8>) -> bool {
        let events: Vec<String> = event_numbers
            .iter()
            .map(|n| match n % 4 {
                0 => format!("data: {n}\n\n"),
                1 => format!("event: e{n}\r\ndata: a\r\ndata: b\r\n\r\n"),
                2 => format!(": X-Load: TEXT util=0.{n}\n\n"),
                _ => format!("data:{n}\nid: 1\n\n"),
            })
            .collect();
        let bytes = events.concat().into_bytes();
        let (mut rest, mut buf, mut out, mut scanned) = (&bytes[..], Vec::new(), Vec::new(), 0);
        for size in piece_sizes.iter().cycle().chain([&0]).take(bytes.len()).chain([&255]) {
            let size = if *size == 255 { rest.len() } else { (usize::from(*size) + 1).min(rest.len()) };
            let (piece, remaining) = rest.split_at(size);
            buf.extend_from_slice(piece);
            rest = remaining;
            let batch = codec::sse_batch(&mut buf, &mut scanned, &limits().wire)
                .expect("an event within its bound");
            let blocks = codec::sse_blocks(&batch).map(|b| String::from_utf8(b.0.to_vec()).expect("UTF-8"));
            out.extend(blocks);
        }
        out == events && buf.is_empty()
    }
    check(14).quickcheck(parsed_unchanged as fn(Vec<u8>, Vec<u8>) -> bool);
    let mut oversized = vec![b'x'; limits().wire.event_bytes + 1];
    assert!(codec::sse_batch(&mut oversized, &mut 0, &limits().wire).is_err());
}
