//! Models of a connection's and a request's states, each checked against random steps with fixed seeds.

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

/// What happens to a request, from outside.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Move {
    Event,
    End(Verdict),
    Reject,
    Leave,
    /// An ending and its client's leaving, seen together.
    EndAndLeave(Verdict),
}

impl Arbitrary for Move {
    fn arbitrary(g: &mut Gen) -> Move {
        use Verdict::*;
        let ends = [Ok, Error, Full, NoConnection, Reset, TimedOut, NotSent].map(Move::End);
        let both = Move::EndAndLeave(*g.choose(&[Ok, Error, Full, NoConnection, Reset]).expect("some"));
        let others = [Move::Event, Move::Event, Move::Event, Move::Event, Move::Reject, Move::Leave, both];
        let from = if bool::arbitrary(g) { &ends[..] } else { &others[..] };
        *g.choose(from).expect("some")
    }
}

/// What a client was told, and what became of its attempts.
#[derive(Default)]
struct Seen {
    events: Cell<u32>,
    finals: RefCell<Vec<&'static str>>,
    out: RefCell<Vec<Sender<AttemptUpdate<()>>>>,
}

struct FakeRunner(Rc<Seen>);

impl AttemptRunner<()> for FakeRunner {
    type Updates = Pin<Box<Receiver<AttemptUpdate<()>>>>;
    fn start_attempt(&self, _: ReplicaId, _: Duration, _: Duration) -> Self::Updates {
        let (send, steps) = async_channel::unbounded();
        self.0.out.borrow_mut().push(send);
        Box::pin(steps)
    }
}

/// No process follows.
struct NoSuccessor;

impl<S, A> StreamSuccessor<S, A> for NoSuccessor {
    fn take_over(&self, _: &StreamInfo, _: &mut S, _: &mut A) -> bool {
        false
    }
}

struct FakeClient(Rc<Seen>, Pin<Box<Receiver<()>>>);

impl FakeClient {
    fn record_answer(self, what: &'static str) {
        self.0.finals.borrow_mut().push(what);
    }
}

impl Client<()> for FakeClient {
    type Sink = FakeClient;
    async fn wait_for_disconnect(&mut self) {
        while self.1.next().await.is_some() {}
    }
    async fn is_disconnected(&mut self) -> bool {
        self.1.is_closed()
    }
    async fn abandon(self) {}
    async fn shed(self, wait: Duration) {
        assert!(wait <= Duration::from_secs(2));
        self.record_answer("turned down");
    }
    async fn reject(self, Rejection { status, .. }: Rejection) {
        assert!((400..500).contains(&status));
        self.record_answer("rejected");
    }
    async fn fail(self, _: FailureReason) {
        self.record_answer("failed");
    }
    fn begin(self) -> FakeClient {
        self
    }
}

impl ResponseSink<()> for FakeClient {
    fn poll_disconnect(&mut self, cx: &mut Context<'_>) -> Poll<Disconnect> {
        self.1.as_mut().poll_next(cx).map(|_| Disconnect::Closed)
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
        self.0.events.set(self.0.events.get() + 1);
        1
    }
    fn queue_end(&mut self, _: Cause) -> usize {
        1
    }
    fn poll_write(&mut self, _: &mut Context<'_>) -> Poll<Result<usize, Disconnect>> {
        Poll::Ready(Ok(1))
    }
    fn finish(self) {
        self.record_answer("served");
    }
    fn abort(self) {
        // A client that left is told nothing more.
        if !self.1.is_closed() {
            self.record_answer("broken");
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

/// The model: how many events were passed on, how often it was scheduled, and its one final answer.
#[derive(Debug, PartialEq)]
struct Model {
    events: u32,
    attempts: usize,
    answer: Option<&'static str>,
    over: bool,
}

impl Model {
    fn take(&mut self, step: Move, safe: bool) {
        let begun = self.events > 0;
        let never_ran = matches!(step, Move::End(Verdict::Full | Verdict::NoConnection | Verdict::NotSent));
        match step {
            _ if self.over => return,
            Move::Event => self.events += 1,
            // Whatever came with it calls for nothing more.
            Move::Leave | Move::EndAndLeave(_) => {}
            // Once it has begun, a replica can't take that back.
            Move::Reject => self.answer = Some(if begun { "broken" } else { "rejected" }),
            Move::End(verdict) if begun => {
                self.answer = Some(if verdict == Verdict::Ok { "served" } else { "broken" });
            }
            // Again elsewhere while it does no harm and attempts are left.
            Move::End(_) if (safe || never_ran) && self.attempts < 3 => self.attempts += 1,
            Move::End(_) => self.answer = Some(if safe || never_ran { "turned down" } else { "failed" }),
        }
        self.over = matches!(step, Move::Leave | Move::EndAndLeave(_)) || self.answer.is_some();
    }
}

/// A replica that is ready.
fn member(n: u64) -> Member {
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

/// Lets a step happen: at the latest attempt, or at the client, which stays until `stay` is closed.
fn deliver(step: Move, last: &Sender<AttemptUpdate<()>>, stay: &Sender<()>) {
    match step {
        Move::Event => {
            drop(last.try_send(AttemptUpdate::Events((), Arrival { events: 1, ..Arrival::default() })));
        }
        Move::End(verdict) => drop(last.try_send(AttemptUpdate::Ended(AttemptOutcome::from(verdict)))),
        Move::Reject => {
            drop(last.try_send(AttemptUpdate::Rejected(Rejection { status: 400, message: String::new() })));
        }
        Move::Leave => drop(stay.close()),
        Move::EndAndLeave(verdict) => {
            let _ = last.try_send(AttemptUpdate::Ended(AttemptOutcome::from(verdict)));
            stay.close();
        }
    }
}

fn follows_its_model(moves: Vec<Move>, safe: bool) -> bool {
    let effect = if safe { Effect::Safe } else { Effect::Unsafe };
    let (engine, _orders) = Engine::new(settings(effect), 1, &limits()).expect("good settings");
    engine.update_list(ListKind::Persisted, (0..4).map(member).collect());
    let seen = Rc::new(Seen::default());
    let (stay, staying) = async_channel::bounded(1);
    let ex = LocalExecutor::new();
    let (client, runner) = (FakeClient(seen.clone(), Box::pin(staying)), FakeRunner(seen.clone()));
    let core = engine.clone();
    let life = ex.spawn(async move {
        let request = sample_placement();
        engine::serve(&core, &request, &runner, client, &NoSuccessor).await;
    });
    let settle = || while ex.try_tick() {};
    settle();
    let mut model = Model { events: 0, attempts: 1, answer: None, over: false };
    for step in moves {
        let last = seen.out.borrow().last().cloned().expect("a first attempt");
        deliver(step, &last, &stay);
        settle();
        model.take(step, safe);
        let answers = seen.finals.borrow();
        assert!(answers.len() <= 1, "two final answers: {answers:?}");
        let is = Model {
            events: seen.events.get(),
            attempts: seen.out.borrow().len(),
            answer: answers.first().copied(),
            over: life.is_finished(),
        };
        assert_eq!(is, model, "after {step:?}");
        // What is over holds nothing: no request in the engine, no attempt's connection.
        assert_eq!(engine.request_count(), usize::from(!model.over));
        let open = seen.out.borrow().iter().filter(|s| !s.is_closed()).count();
        assert_eq!(open, usize::from(!model.over));
    }
    true
}

#[test]
fn a_request_follows_its_model_whatever_happens() {
    check(11).quickcheck(follows_its_model as fn(Vec<Move>, bool) -> bool);
}

#[test]
fn an_address_that_a_new_server_has_taken_ends_the_old_id() {
    let fleet = Fleet::new(Rc::new(limits()), Box::new(|_| Vec::new()));
    let learn = |id: &str, started_ms| {
        let entry = entry(id, "127.0.0.1:9", ReplicaState::Ready, started_ms);
        fleet.apply_entry(&entry, Dialect::Platform).iter().map(|id| id.0.to_string()).collect::<Vec<_>>()
    };
    assert!(learn("old", 0.0).is_empty());
    assert_eq!(learn("new", 5.0), ["old"]);
    assert_eq!(learn("old", 0.0), ["old"], "a list that is behind does not bring it back");
    assert!(learn("new", 5.0).is_empty());
}

#[test]
fn a_want_of_connections_here_is_not_the_servers_failure() {
    let mut limits_without_connections = limits();
    limits_without_connections.replicas.connections = 0;
    let fleet = Rc::new(Fleet::new(Rc::new(limits_without_connections), Box::new(|_| Vec::new())));
    fleet.apply_entry(&entry("s-1", "127.0.0.1:9", ReplicaState::Ready, 0.0), Dialect::Platform);
    let mut steps =
        dispatch(&fleet).start_attempt(ReplicaId::from("s-1"), Duration::from_secs(20), Duration::MAX);
    match async_io::block_on(steps.next()) {
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
fn a_drain_stops_a_scheduling_whose_connection_is_just_coming_up() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let limits = Rc::new(Limits::new(1024, 192, Duration::from_secs(20), Duration::from_secs(5)));
    let fleet = Rc::new(Fleet::new(limits, Box::new(|_| Vec::new())));
    let learn = |state| {
        let addr = listener.local_addr().expect("an address").to_string();
        let entry = entry("s-1", &addr, state, 0.0);
        fleet.apply_entry(&entry, Dialect::Platform);
    };
    learn(ReplicaState::Ready);
    let mut steps =
        dispatch(&fleet).start_attempt(ReplicaId::from("s-1"), Duration::from_secs(20), Duration::MAX);
    async_io::block_on(async {
        assert!(future::poll_once(steps.next()).await.is_none(), "the connection is under way");
        learn(ReplicaState::Draining);
        match steps.next().await {
            Some(AttemptUpdate::Ended(ending)) => assert_eq!(ending.verdict, Verdict::NotSent),
            other => panic!("{other:?}"),
        }
    });
    let (mut stream, _) = listener.accept().expect("a connection");
    assert_eq!(stream.read(&mut [0]).expect("closed in order"), 0, "nothing was sent");
}

/// A request as a client may write it.
#[derive(Clone, Debug)]
struct Sent {
    path: u8,
    body: Vec<u8>,
    /// Sizes of chunks; a stated length if there are none.
    chunks: Vec<u8>,
}

impl Arbitrary for Sent {
    fn arbitrary(g: &mut Gen) -> Sent {
        Sent { path: u8::arbitrary(g), body: Vec::arbitrary(g), chunks: Vec::arbitrary(g) }
    }
}

impl Sent {
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
            let (chunk, left) = rest.split_at(usize::from(*size).min(rest.len()));
            if !chunk.is_empty() {
                out.extend(codec::chunk(chunk));
            }
            rest = left;
        }
        if !rest.is_empty() {
            out.extend(codec::chunk(rest));
        }
        out.extend(codec::LAST_CHUNK);
        out
    }
}

/// An edge connection's reading side: between requests, in a head, or in a body.
#[derive(Default)]
struct Reader {
    buf: Vec<u8>,
    body: Option<(String, Body, Vec<u8>)>,
    whole: Vec<(String, Vec<u8>)>,
}

impl Reader {
    fn push(&mut self, bytes: &[u8], limits: &Limits) -> Result<(), codec::ParseError> {
        self.buf.extend_from_slice(bytes);
        loop {
            if self.body.is_none() {
                let Some(head) = codec::request_head(&mut self.buf, &limits.wire)? else { return Ok(()) };
                self.body = Some((head.start[1].clone(), head.request_body(&limits.wire)?, Vec::new()));
            }
            let Some((_, framing, body)) = &mut self.body else { return Ok(()) };
            if !framing.take(&mut self.buf, body, &limits.wire)? {
                return Ok(());
            }
            let (path, _, body) = self.body.take().expect("just read");
            self.whole.push((path, body));
        }
    }
}

#[test]
fn pipelined_requests_come_out_complete_however_they_are_split() {
    fn same(requests: Vec<Sent>, cuts: Vec<u8>) -> bool {
        let bytes: Vec<u8> = requests.iter().flat_map(Sent::bytes).collect();
        let (mut reader, mut rest, limits) = (Reader::default(), &bytes[..], limits());
        for cut in cuts.iter().cycle().chain([&0]).take(bytes.len()) {
            let (piece, left) = rest.split_at((usize::from(*cut) + 1).min(rest.len()));
            reader.push(piece, &limits).expect("in order");
            rest = left;
        }
        reader.push(rest, &limits).expect("in order");
        let sent: Vec<_> = requests.iter().map(|r| (format!("/{}", r.path), r.body.clone())).collect();
        reader.whole == sent && reader.buf.is_empty() && reader.body.is_none()
    }
    check(12).quickcheck(same as fn(Vec<Sent>, Vec<u8>) -> bool);
}

#[test]
fn spoilt_requests_never_panic_and_never_grow_beyond_their_bound() {
    fn bounded(requests: Vec<Sent>, spoils: Vec<(u16, u8)>) -> bool {
        let mut bytes: Vec<u8> = requests.iter().flat_map(Sent::bytes).collect();
        for (at, byte) in spoils {
            let at = usize::from(at) % bytes.len().max(1);
            if let Some(place) = bytes.get_mut(at) {
                *place = byte;
            }
        }
        let (mut reader, limits) = (Reader::default(), limits());
        let end = reader.push(&bytes, &limits);
        end.is_ok() || end.is_err_and(|bad| (400..=505).contains(&bad.status()))
    }
    check(13).quickcheck(bounded as fn(Vec<Sent>, Vec<(u16, u8)>) -> bool);
}

#[test]
fn what_two_readers_could_take_for_different_requests_is_refused() {
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
        let end = Reader::default().push(bytes.as_bytes(), &limits());
        assert_eq!(end.map_err(codec::ParseError::status), Err(status), "{head:?}");
    }
    // What can't become right is refused at once, whether or not more comes.
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
        let end = Reader::default().push(bytes.as_bytes(), &limits());
        assert_eq!(end.map_err(codec::ParseError::status), Err(status), "{chunks:?}");
    }
    assert!(codec::response_head(&mut b"noise".to_vec(), &limits().wire).is_err());
}

#[test]
fn events_come_out_unchanged_however_they_are_split() {
    fn same(lines: Vec<u8>, cuts: Vec<u8>) -> bool {
        let events: Vec<String> = lines
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
        for cut in cuts.iter().cycle().chain([&0]).take(bytes.len()).chain([&255]) {
            let size = if *cut == 255 { rest.len() } else { (usize::from(*cut) + 1).min(rest.len()) };
            let (piece, left) = rest.split_at(size);
            buf.extend_from_slice(piece);
            rest = left;
            let batch = codec::sse_batch(&mut buf, &mut scanned, &limits().wire).expect("small");
            let blocks = codec::sse_blocks(&batch).map(|b| String::from_utf8(b.0.to_vec()).expect("UTF-8"));
            out.extend(blocks);
        }
        out == events && buf.is_empty()
    }
    check(14).quickcheck(same as fn(Vec<u8>, Vec<u8>) -> bool);
    let mut endless = vec![b'x'; limits().wire.event_bytes + 1];
    assert!(codec::sse_batch(&mut endless, &mut 0, &limits().wire).is_err());
}
