//! What the control plane knows after each outcome of one of its calls, and what it does after a load command to a
//! replica. The table is in `docs/design/calls.md`.

mod rollout_stand_ins;

use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use rollout_stand_ins::{LEASE, Output, PrimaryStatus};
use rstest::rstest;
use socket2::{Domain, SockRef, Socket, Type};
use tulipridge_configuration::number::WeightsRevision;
use tulipridge_control_plane::discovery::Discovery;
use tulipridge_control_plane::fleet::FleetTable;
use tulipridge_control_plane::http_client::{Call, CallError, HttpClient};
use tulipridge_control_plane::index::{Follower, Outbox, SourceKind};
use tulipridge_control_plane::rollout::{PlannerSettings, Rollout};
use tulipridge_control_plane::singleton::SingletonContext;
use tulipridge_http1::{Http1Limits, within};
use tulipridge_prefix_cache_index::Liveness;
use tulipridge_protocol::feed::{ModelRevision, Replica, ReplicaPhase};
use tulipridge_runtime::settings::RevisionTerm;

/// Timeout of calls that are meant to time out.
const SHORT_TIMEOUT: Duration = Duration::from_millis(60);
/// How long calls are observed; a list that takes longer fails its test.
const OBSERVATION_TIME: Duration = Duration::from_millis(2_600);

/// What the peer of a call does, as the caller's connection shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Refused,
    ConnectTimesOut,
    ResetUnread,
    ResetAfterRequest,
    ClosedAfterRequest,
    ResetInHead,
    ResetInBody,
    TruncatedBody,
    NoResponse,
    NoLength,
    NoLengthReset,
    NotHttp,
    SurplusBytes,
    InterimResponse,
    ConnectionClose,
    Complete,
}

const OUTCOMES: [Outcome; 16] = [
    Outcome::Refused,
    Outcome::ConnectTimesOut,
    Outcome::ResetUnread,
    Outcome::ResetAfterRequest,
    Outcome::ClosedAfterRequest,
    Outcome::ResetInHead,
    Outcome::ResetInBody,
    Outcome::TruncatedBody,
    Outcome::NoResponse,
    Outcome::NoLength,
    Outcome::NoLengthReset,
    Outcome::NotHttp,
    Outcome::SurplusBytes,
    Outcome::InterimResponse,
    Outcome::ConnectionClose,
    Outcome::Complete,
];

/// What the caller knows about a call that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallResult {
    /// The peer did not receive the call.
    NotReceived,
    /// The peer may have received the call and acted on it.
    MayBeReceived,
    /// The response is complete.
    Responded,
}

/// Whether the client reuses the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Connection {
    Kept,
    Closed,
}

fn expected_result(outcome: Outcome) -> (CallResult, Connection) {
    match outcome {
        Outcome::Refused | Outcome::ConnectTimesOut => (CallResult::NotReceived, Connection::Closed),
        Outcome::ResetUnread
        | Outcome::ResetAfterRequest
        | Outcome::ClosedAfterRequest
        | Outcome::ResetInHead
        | Outcome::ResetInBody
        | Outcome::TruncatedBody
        | Outcome::NoResponse
        | Outcome::NoLengthReset
        | Outcome::NotHttp => (CallResult::MayBeReceived, Connection::Closed),
        Outcome::NoLength | Outcome::SurplusBytes | Outcome::ConnectionClose => {
            (CallResult::Responded, Connection::Closed)
        }
        Outcome::InterimResponse | Outcome::Complete => (CallResult::Responded, Connection::Kept),
    }
}

fn framed(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// What the peer writes, and what it does with the connection then.
fn scripted_response(outcome: Outcome, status: &str, body: &str) -> (String, AfterWrite) {
    let complete = framed(status, body);
    let length = format!("Content-Length: {}\r\n", body.len());
    match outcome {
        Outcome::Refused | Outcome::ConnectTimesOut | Outcome::NoResponse => {
            (String::new(), AfterWrite::KeepOpen)
        }
        Outcome::ResetUnread | Outcome::ResetAfterRequest => (String::new(), AfterWrite::Reset),
        Outcome::ClosedAfterRequest => (String::new(), AfterWrite::Close),
        Outcome::ResetInHead => (complete[..20].to_owned(), AfterWrite::Reset),
        Outcome::ResetInBody => (complete[..complete.len() - 1].to_owned(), AfterWrite::Reset),
        Outcome::TruncatedBody => (complete[..complete.len() - 1].to_owned(), AfterWrite::Close),
        Outcome::NoLength => (complete.replace(&length, ""), AfterWrite::Close),
        Outcome::NoLengthReset => (complete.replace(&length, ""), AfterWrite::Reset),
        Outcome::NotHttp => ("SSH-2.0-server\r\n\r\n".to_owned(), AfterWrite::KeepOpen),
        Outcome::SurplusBytes => (complete + "more", AfterWrite::KeepOpen),
        Outcome::InterimResponse => {
            ("HTTP/1.1 102 Processing\r\n\r\n".to_owned() + &complete, AfterWrite::KeepOpen)
        }
        Outcome::ConnectionClose => {
            (complete.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"), AfterWrite::KeepOpen)
        }
        Outcome::Complete => (complete, AfterWrite::KeepOpen),
    }
}

/// What the peer does with the connection after it has written.
#[derive(Clone, Copy, PartialEq)]
enum AfterWrite {
    KeepOpen,
    Close,
    Reset,
}

fn listen() -> (Async<TcpListener>, SocketAddr) {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a free port");
    let address = listener.get_ref().local_addr().expect("the listener is bound");
    (listener, address)
}

/// An address whose accept queue is full, with the sockets that fill it.
fn unresponsive_address() -> (SocketAddr, Vec<Socket>) {
    let socket = || Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let listener = socket();
    listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
    listener.listen(0).expect("the socket listens");
    let address = listener.local_addr().ok().and_then(|address| address.as_socket()).expect("an address");
    let mut sockets = vec![listener];
    for _ in 0..4 {
        let waiting = socket();
        waiting.set_nonblocking(true).expect("a socket that does not block");
        // The connection is pending, or stays in the queue; the result is not needed.
        let _ = waiting.connect(&address.into());
        sockets.push(waiting);
    }
    std::thread::sleep(Duration::from_millis(20));
    (address, sockets)
}

/// Reads a request and returns its path, which is empty once the connection has ended.
async fn read_path(stream: &mut Async<TcpStream>) -> String {
    let mut call = vec![0; 4096];
    let count = stream.read(&mut call).await.unwrap_or(0);
    String::from_utf8_lossy(&call[..count]).split(' ').nth(1).unwrap_or_default().to_owned()
}

/// A peer that handles one call as scripted and sends a complete response to all others.
struct Peer {
    /// The index of the scripted call and how it ends; `None` after that call.
    outcome: RefCell<Option<(usize, Outcome)>>,
    /// The body of the response for a path.
    body: fn(&str) -> &'static str,
    /// The paths of the requests that were read.
    calls: RefCell<Vec<String>>,
    connections: RefCell<usize>,
}

impl Peer {
    fn new(index: usize, outcome: Outcome, body: fn(&str) -> &'static str) -> Peer {
        let outcome = RefCell::new(Some((index, outcome)));
        Peer { outcome, body, calls: RefCell::default(), connections: RefCell::default() }
    }

    /// Accepts connections until it is dropped.
    async fn listen(&self, listener: &Async<TcpListener>) {
        let local = LocalExecutor::new();
        let accepting = async {
            loop {
                let (stream, _) = listener.accept().await.expect("a connection");
                *self.connections.borrow_mut() += 1;
                local.spawn(self.serve(stream)).detach();
            }
        };
        local.run(accepting).await;
    }

    /// How the next call ends, if it is the scripted one.
    fn scripted_outcome(&self) -> Option<Outcome> {
        let outcome = *self.outcome.borrow();
        outcome.filter(|(index, _)| *index == self.calls.borrow().len()).map(|(_, outcome)| outcome)
    }

    async fn serve(&self, mut stream: Async<TcpStream>) {
        loop {
            let mut path = String::new();
            if stream.peek(&mut [0]).await.is_ok_and(|count| count > 0)
                && self.scripted_outcome() != Some(Outcome::ResetUnread)
            {
                path = read_path(&mut stream).await;
            }
            let due = self.scripted_outcome();
            if path.is_empty() && due != Some(Outcome::ResetUnread) {
                return;
            }
            if !path.is_empty() {
                self.calls.borrow_mut().push(path.clone());
            }
            if due.is_some() {
                self.outcome.borrow_mut().take();
            }
            let status = if path == "/order" { "202 Accepted" } else { "200 OK" };
            let (text, after) =
                scripted_response(due.unwrap_or(Outcome::Complete), status, (self.body)(&path));
            let _ = stream.write_all(text.as_bytes()).await;
            match after {
                AfterWrite::KeepOpen => {}
                AfterWrite::Close => return,
                AfterWrite::Reset => return reset(&stream).await,
            }
        }
    }
}

/// Resets a connection after the written bytes have arrived.
async fn reset(stream: &Async<TcpStream>) {
    Timer::after(Duration::from_millis(5)).await;
    let _ = SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO));
}

/// Makes two calls, the first of which ends as given. Returns what the caller knows of it and whether its
/// connection was reused.
fn call_twice(outcome: Outcome) -> (CallResult, Connection) {
    let executor = LocalExecutor::new();
    let (listener, address) = listen();
    let (unresponsive, _waiting) = unresponsive_address();
    let called = match outcome {
        Outcome::Refused => SocketAddr::from(([127, 0, 0, 1], 1)),
        Outcome::ConnectTimesOut => unresponsive,
        _ => address,
    };
    let peer = Peer::new(0, outcome, |_| "ok");
    let serving = async {
        peer.listen(&listener).await;
        unreachable!("the peer accepts connections until it is dropped")
    };
    let limits = Http1Limits { connect_timeout: SHORT_TIMEOUT, ..Http1Limits::default() };
    let calling = async {
        let mut client = HttpClient::new(called, limits);
        let result = match client.call(Call::get("/one"), SHORT_TIMEOUT).await {
            Ok(response) => {
                assert_eq!(response.body, b"ok", "{outcome:?}");
                CallResult::Responded
            }
            Err(CallError::Connect { .. }) => CallResult::NotReceived,
            Err(CallError::Broken { .. }) => CallResult::MayBeReceived,
        };
        if result == CallResult::NotReceived {
            return (result, Connection::Closed);
        }
        Timer::after(Duration::from_millis(10)).await;
        client
            .call(Call::get("/two"), Duration::from_secs(2))
            .await
            .expect("the second call gets a response");
        (result, if *peer.connections.borrow() == 1 { Connection::Kept } else { Connection::Closed })
    };
    async_io::block_on(executor.run(future::or(calling, serving)))
}

#[test]
fn each_outcome_has_the_result_of_the_table() {
    for outcome in OUTCOMES {
        assert_eq!(call_twice(outcome), expected_result(outcome), "{outcome:?}");
    }
}

#[test]
fn an_abandoned_call_resets_its_connection() {
    let (listener, address) = listen();
    let mut client = HttpClient::new(address, Http1Limits::default());
    let ended = async_io::block_on(async {
        let response = client.call(Call { body: b"{}", ..Call::get("/order") }, SHORT_TIMEOUT).await;
        assert!(matches!(response, Err(CallError::Broken { .. })));
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).await
    });
    let error = ended.expect_err("the reset discards what is still in the send buffer");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
}

// ---- load commands ----------------------------------------------------------------------------------------

fn replica(address: SocketAddr) -> Replica {
    Replica {
        id: "i-1".to_owned(),
        service: "chat".to_owned(),
        address: address.to_string(),
        zone: "a".to_owned(),
        capacity: 8,
        phase: ReplicaPhase::Ready,
        warm_left_ms: 0,
        models: vec![ModelRevision { model: "m".to_owned(), revision: WeightsRevision(1) }],
    }
}

/// The call that a replica receives after its first load command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextCall {
    Report,
    LoadCommand,
}

/// The call that a replica receives after its first load command ended like this.
fn next_call_after(result: CallResult) -> NextCall {
    match result {
        // The replica has received the command, or may have: its report is fetched before the command is repeated.
        CallResult::Responded | CallResult::MayBeReceived => NextCall::Report,
        CallResult::NotReceived => NextCall::LoadCommand,
    }
}

const LOADING_REPORT: &str = r#"{"llms":[{"label":"m","revision":1}],"loaded":true}"#;

/// The calls that a replica receives when the call with this index ends as given; the first one is a load command.
fn rollout_calls(index: usize, outcome: Outcome) -> Vec<String> {
    let executor = Rc::new(LocalExecutor::new());
    let (listener, address) = listen();
    let (unresponsive, _waiting) = unresponsive_address();
    let first_address = match outcome {
        Outcome::Refused => SocketAddr::from(([127, 0, 0, 1], 1)),
        Outcome::ConnectTimesOut => unresponsive,
        _ => address,
    };
    let table = Rc::new(RefCell::new(FleetTable::default()));
    table.borrow_mut().replace(LEASE.tenure, vec![replica(first_address)]);
    let context = SingletonContext {
        executor: executor.clone(),
        lease_status: Rc::new(PrimaryStatus),
        table: table.clone(),
    };
    let settings = PlannerSettings {
        revision_term: RevisionTerm::new(Duration::from_secs(12)),
        lease_term: Duration::ZERO,
    };
    let (rollout, events) =
        Rollout::new("middle-1".to_owned(), settings, context, Rc::new(Output::default()));
    let peer = Peer::new(index, outcome, |_| LOADING_REPORT);
    let serving = async {
        if first_address != address {
            // The replica is listed with a working address before the command is retried.
            Timer::after(Duration::from_millis(900)).await;
            peer.outcome.borrow_mut().take();
            table.borrow_mut().replace(LEASE.tenure, vec![replica(address)]);
            events.send(tulipridge_control_plane::rollout::Event::Listed).await.expect("the rollout runs");
        }
        peer.listen(&listener).await;
    };
    let window = async {
        Timer::after(OBSERVATION_TIME).await;
    };
    let working = async { rollout.run().await };
    async_io::block_on(executor.run(future::or(window, future::or(working, serving))));
    peer.calls.take()
}

fn next_call(outcome: Outcome, calls: &[String]) -> Option<NextCall> {
    // A load command that no replica has read is not among the calls.
    let received_commands =
        usize::from(!matches!(outcome, Outcome::Refused | Outcome::ConnectTimesOut | Outcome::ResetUnread));
    match calls.get(received_commands)?.as_str() {
        "/report" => Some(NextCall::Report),
        "/order" => Some(NextCall::LoadCommand),
        other => panic!("unexpected call of {other}"),
    }
}

#[rstest]
fn a_report_follows_a_load_command_that_may_have_arrived(
    #[values(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15)] index: usize,
) {
    let outcome = OUTCOMES[index];
    let calls = rollout_calls(0, outcome);
    assert_eq!(
        next_call(outcome, &calls),
        Some(next_call_after(expected_result(outcome).0)),
        "{outcome:?}: {calls:?}"
    );
}

#[rstest]
fn a_missing_report_is_fetched_again(
    #[values(2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15)] index: usize,
) {
    let calls = rollout_calls(1, OUTCOMES[index]);
    assert!(calls.len() >= 3, "{:?}: {calls:?}", OUTCOMES[index]);
    assert_eq!(calls[0], "/order", "{:?}: {calls:?}", OUTCOMES[index]);
    assert!(calls[1..].iter().all(|call| call == "/report"), "{:?}: {calls:?}", OUTCOMES[index]);
}

// ---- the list of replicas ---------------------------------------------------------------------------------

const FIRST_PAGE: &str = r#"{"servers":[],"nextToken":"p"}"#;
const LAST_PAGE: &str = r#"{"servers":[],"nextToken":null}"#;

fn list_page(path: &str) -> &'static str {
    if path.contains("pageToken") { LAST_PAGE } else { FIRST_PAGE }
}

/// The calls up to the first complete list when the call for the second page ends as given.
fn poll_calls(outcome: Outcome) -> Vec<String> {
    let executor = Rc::new(LocalExecutor::new());
    let (listener, address) = listen();
    let context = SingletonContext { executor, lease_status: Rc::new(PrimaryStatus), table: Rc::default() };
    let (sender, listed) = async_channel::unbounded();
    let on_list = move || {
        let _ = sender.try_send(());
    };
    let discovery = Discovery::new(address, 1_000.0, context, Box::new(on_list));
    let peer = Peer::new(1, outcome, list_page);
    let first_list = async { listed.recv().await.expect("a complete list") };
    let working = future::or(discovery.run(), peer.listen(&listener));
    async_io::block_on(within(OBSERVATION_TIME, future::or(first_list, working)))
        .expect("the list is complete in time");
    peer.calls.take()
}

/// The outcomes of calls whose connection was established.
fn outcomes_after_connect() -> impl Iterator<Item = Outcome> {
    OUTCOMES.into_iter().filter(|outcome| !matches!(outcome, Outcome::Refused | Outcome::ConnectTimesOut))
}

#[test]
fn a_list_with_a_missing_page_is_fetched_again_from_the_start() {
    let (first, second) = ("/servers", "/servers?pageToken=p");
    for outcome in outcomes_after_connect() {
        let expected = match expected_result(outcome).0 {
            CallResult::Responded => vec![first, second],
            _ if outcome == Outcome::ResetUnread => vec![first, first, second],
            _ => vec![first, second, first, second],
        };
        assert_eq!(poll_calls(outcome), expected, "{outcome:?}");
    }
}

// ---- events of a KV cache source --------------------------------------------------------------------------

fn kv_body(path: &str) -> &'static str {
    if path == "/kv-list" {
        r#"{"bootNo":7,"nextToken":5,"holding":[]}"#
    } else {
        r#"{"bootNo":7,"nextToken":5,"gone":false,"happenings":[]}"#
    }
}

/// Whether the source was reported down when the call after its listing ends as given, and the calls.
fn follow_source(outcome: Outcome) -> (bool, Vec<String>) {
    let executor = LocalExecutor::new();
    let (listener, address) = listen();
    let SocketAddr::V4(source) = address else { panic!("an IPv4 address") };
    let outbox = Rc::<Outbox>::default();
    let following = executor.spawn(Follower::new(source, SourceKind::Store, None, outbox.clone()).run());
    let peer = Peer::new(1, outcome, kv_body);
    let enough = async {
        let count = if outcome == Outcome::ResetUnread { 2 } else { 3 };
        while peer.calls.borrow().len() < count {
            future::yield_now().await;
        }
    };
    let run = executor.run(future::or(enough, peer.listen(&listener)));
    async_io::block_on(within(Duration::from_secs(4), run)).expect("the follower goes on polling");
    drop(following);
    let is_down = outbox.take().iter().any(|update| update.liveness == Liveness::Down);
    (is_down, peer.calls.take())
}

#[test]
fn a_source_is_down_after_a_timeout_not_after_a_lost_connection() {
    for outcome in outcomes_after_connect() {
        let (is_down, calls) = follow_source(outcome);
        assert_eq!(is_down, outcome == Outcome::NoResponse, "{outcome:?}");
        assert_eq!(calls[0], "/kv-list", "{outcome:?}");
        assert!(calls[1..].iter().all(|call| call == "/kv-events?startedAt=5"), "{outcome:?}: {calls:?}");
    }
}
