//! What the control plane learns from each way in which one of its calls can end, and what it does after an order to
//! a replica. The table is `docs/design/calls.md`.

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

/// Time for a call that is to run out of it.
const SHORT: Duration = Duration::from_millis(60);
/// Time after which nothing more is expected.
const WINDOW: Duration = Duration::from_millis(2_600);

/// How a call ends at the other side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    Refused,
    ConnectTimesOut,
    ResetUnread,
    ResetAfterRequest,
    ClosedAfterRequest,
    ResetInHead,
    ResetInBody,
    ShortAnswer,
    Silence,
    Unframed,
    UnframedReset,
    NotHttp,
    Surplus,
    Interim,
    SaysClose,
    Whole,
}

const ENDINGS: [Ending; 16] = [
    Ending::Refused,
    Ending::ConnectTimesOut,
    Ending::ResetUnread,
    Ending::ResetAfterRequest,
    Ending::ClosedAfterRequest,
    Ending::ResetInHead,
    Ending::ResetInBody,
    Ending::ShortAnswer,
    Ending::Silence,
    Ending::Unframed,
    Ending::UnframedReset,
    Ending::NotHttp,
    Ending::Surplus,
    Ending::Interim,
    Ending::SaysClose,
    Ending::Whole,
];

/// What the caller knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Known {
    /// The call was not seen.
    NotTaken,
    /// The call may have been taken.
    MayBeTaken,
    /// The answer is there whole.
    Answered,
}

/// What becomes of the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Connection {
    Kept,
    Closed,
}

fn table(ending: Ending) -> (Known, Connection) {
    match ending {
        Ending::Refused | Ending::ConnectTimesOut => (Known::NotTaken, Connection::Closed),
        Ending::ResetUnread
        | Ending::ResetAfterRequest
        | Ending::ClosedAfterRequest
        | Ending::ResetInHead
        | Ending::ResetInBody
        | Ending::ShortAnswer
        | Ending::Silence
        | Ending::UnframedReset
        | Ending::NotHttp => (Known::MayBeTaken, Connection::Closed),
        Ending::Unframed | Ending::Surplus | Ending::SaysClose => (Known::Answered, Connection::Closed),
        Ending::Interim | Ending::Whole => (Known::Answered, Connection::Kept),
    }
}

fn framed(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// What the other side writes, and whether it resets or closes the connection then; it stays open otherwise.
fn script(ending: Ending, status: &str, body: &str) -> (String, After) {
    let whole = framed(status, body);
    let length = format!("Content-Length: {}\r\n", body.len());
    match ending {
        Ending::Refused | Ending::ConnectTimesOut | Ending::Silence => (String::new(), After::Stay),
        Ending::ResetUnread | Ending::ResetAfterRequest => (String::new(), After::Reset),
        Ending::ClosedAfterRequest => (String::new(), After::Close),
        Ending::ResetInHead => (whole[..20].to_owned(), After::Reset),
        Ending::ResetInBody => (whole[..whole.len() - 1].to_owned(), After::Reset),
        Ending::ShortAnswer => (whole[..whole.len() - 1].to_owned(), After::Close),
        Ending::Unframed => (whole.replace(&length, ""), After::Close),
        Ending::UnframedReset => (whole.replace(&length, ""), After::Reset),
        Ending::NotHttp => ("SSH-2.0-server\r\n\r\n".to_owned(), After::Stay),
        Ending::Surplus => (whole + "more", After::Stay),
        Ending::Interim => ("HTTP/1.1 102 Processing\r\n\r\n".to_owned() + &whole, After::Stay),
        Ending::SaysClose => (whole.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"), After::Stay),
        Ending::Whole => (whole, After::Stay),
    }
}

#[derive(Clone, Copy, PartialEq)]
enum After {
    Stay,
    Close,
    Reset,
}

fn listen() -> (Async<TcpListener>, SocketAddr) {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port is free");
    let address = listener.get_ref().local_addr().expect("it is bound");
    (listener, address)
}

/// An address whose queue of connections is full, with what fills it.
fn silent_address() -> (SocketAddr, Vec<Socket>) {
    let socket = || Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let listener = socket();
    listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
    listener.listen(0).expect("it listens");
    let address = listener.local_addr().ok().and_then(|address| address.as_socket()).expect("an address");
    let mut sockets = vec![listener];
    for _ in 0..4 {
        let waiting = socket();
        waiting.set_nonblocking(true).expect("a socket that does not block");
        // It is on its way, or waits for ever.
        let _ = waiting.connect(&address.into());
        sockets.push(waiting);
    }
    std::thread::sleep(Duration::from_millis(20));
    (address, sockets)
}

/// Reads a call; its path, empty once the connection has ended.
async fn read_path(stream: &mut Async<TcpStream>) -> String {
    let mut call = vec![0; 4096];
    let count = stream.read(&mut call).await.unwrap_or(0);
    String::from_utf8_lossy(&call[..count]).split(' ').nth(1).unwrap_or_default().to_owned()
}

/// Who is called: one call ends in a given way, all others are answered.
struct Peer {
    /// How the call of this number ends; none once it has.
    ending: RefCell<Option<(usize, Ending)>>,
    /// The body of an answer to a call of this path.
    body: fn(&str) -> &'static str,
    /// The paths of the calls that were read.
    calls: RefCell<Vec<String>>,
    connections: RefCell<usize>,
}

impl Peer {
    fn new(number: usize, ending: Ending, body: fn(&str) -> &'static str) -> Peer {
        let ending = RefCell::new(Some((number, ending)));
        Peer { ending, body, calls: RefCell::default(), connections: RefCell::default() }
    }

    /// Takes connections for ever.
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

    /// The ending of the next call, if it is the one that ends in another way than the rest.
    fn due(&self) -> Option<Ending> {
        let ending = *self.ending.borrow();
        ending.filter(|(number, _)| *number == self.calls.borrow().len()).map(|(_, ending)| ending)
    }

    async fn serve(&self, mut stream: Async<TcpStream>) {
        loop {
            let mut path = String::new();
            if stream.peek(&mut [0]).await.is_ok_and(|count| count > 0)
                && self.due() != Some(Ending::ResetUnread)
            {
                path = read_path(&mut stream).await;
            }
            let due = self.due();
            if path.is_empty() && due != Some(Ending::ResetUnread) {
                return;
            }
            if !path.is_empty() {
                self.calls.borrow_mut().push(path.clone());
            }
            if due.is_some() {
                self.ending.borrow_mut().take();
            }
            let status = if path == "/order" { "202 Accepted" } else { "200 OK" };
            let (text, after) = script(due.unwrap_or(Ending::Whole), status, (self.body)(&path));
            let _ = stream.write_all(text.as_bytes()).await;
            match after {
                After::Stay => {}
                After::Close => return,
                After::Reset => return reset(&stream).await,
            }
        }
    }
}

/// Resets a connection once what was written has arrived.
async fn reset(stream: &Async<TcpStream>) {
    Timer::after(Duration::from_millis(5)).await;
    let _ = SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO));
}

/// Makes two calls of which the first ends in this way: what the caller knows, and whether its connection was kept.
fn call_twice(ending: Ending) -> (Known, Connection) {
    let executor = LocalExecutor::new();
    let (listener, address) = listen();
    let (silent, _waiting) = silent_address();
    let called = match ending {
        Ending::Refused => SocketAddr::from(([127, 0, 0, 1], 1)),
        Ending::ConnectTimesOut => silent,
        _ => address,
    };
    let peer = Peer::new(0, ending, |_| "ok");
    let serving = async {
        peer.listen(&listener).await;
        unreachable!("it takes connections for ever")
    };
    let limits = Http1Limits { connect_timeout: SHORT, ..Http1Limits::default() };
    let calling = async {
        let mut client = HttpClient::new(called, limits);
        let known = match client.call(Call::get("/one"), SHORT).await {
            Ok(answer) => {
                assert_eq!(answer.body, b"ok", "{ending:?}");
                Known::Answered
            }
            Err(CallError::Connect { .. }) => Known::NotTaken,
            Err(CallError::Broken { .. }) => Known::MayBeTaken,
        };
        if known == Known::NotTaken {
            return (known, Connection::Closed);
        }
        Timer::after(Duration::from_millis(10)).await;
        client.call(Call::get("/two"), Duration::from_secs(2)).await.expect("the second call is answered");
        (known, if *peer.connections.borrow() == 1 { Connection::Kept } else { Connection::Closed })
    };
    async_io::block_on(executor.run(future::or(calling, serving)))
}

#[test]
fn each_call_ends_as_the_table_says() {
    for ending in ENDINGS {
        assert_eq!(call_twice(ending), table(ending), "{ending:?}");
    }
}

#[test]
fn a_call_that_is_given_up_is_withdrawn() {
    let (listener, address) = listen();
    let mut client = HttpClient::new(address, Http1Limits::default());
    let ended = async_io::block_on(async {
        let answer = client.call(Call { body: b"{}", ..Call::get("/order") }, SHORT).await;
        assert!(matches!(answer, Err(CallError::Broken { .. })));
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).await
    });
    let error = ended.expect_err("the connection is reset, so that what it holds is not sent any more");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
}

// ---- orders -----------------------------------------------------------------------------------------------

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

/// What a replica is asked next after its first order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextCall {
    Report,
    Order,
}

/// What a replica is asked next, once its first order was given this end.
fn after_order(known: Known) -> NextCall {
    match known {
        // It holds what it was told, or may: that is looked at first.
        Known::Answered | Known::MayBeTaken => NextCall::Report,
        Known::NotTaken => NextCall::Order,
    }
}

const LOADS: &str = r#"{"llms":[{"label":"m","revision":1}],"loaded":true}"#;

/// The calls that a replica gets whose call of this number ends in this way; the first one is an order.
fn calls_of_rollout(number: usize, ending: Ending) -> Vec<String> {
    let executor = Rc::new(LocalExecutor::new());
    let (listener, address) = listen();
    let (silent, _waiting) = silent_address();
    let first_address = match ending {
        Ending::Refused => SocketAddr::from(([127, 0, 0, 1], 1)),
        Ending::ConnectTimesOut => silent,
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
    let peer = Peer::new(number, ending, |_| LOADS);
    let serving = async {
        if first_address != address {
            // The list shows it at its address before it is ordered again.
            Timer::after(Duration::from_millis(900)).await;
            peer.ending.borrow_mut().take();
            table.borrow_mut().replace(LEASE.tenure, vec![replica(address)]);
            events
                .send(tulipridge_control_plane::rollout::Event::Listed)
                .await
                .expect("the roll-out works");
        }
        peer.listen(&listener).await;
    };
    let window = async {
        Timer::after(WINDOW).await;
    };
    let working = async { rollout.run().await };
    async_io::block_on(executor.run(future::or(window, future::or(working, serving))));
    peer.calls.take()
}

fn next_call(ending: Ending, calls: &[String]) -> Option<NextCall> {
    // An order that no replica has read is not among the calls.
    let read_orders =
        usize::from(!matches!(ending, Ending::Refused | Ending::ConnectTimesOut | Ending::ResetUnread));
    match calls.get(read_orders)?.as_str() {
        "/report" => Some(NextCall::Report),
        "/order" => Some(NextCall::Order),
        other => panic!("a call of {other}"),
    }
}

#[rstest]
fn an_order_that_may_have_been_taken_is_followed_by_a_look_at_the_report(
    #[values(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15)] number: usize,
) {
    let ending = ENDINGS[number];
    let calls = calls_of_rollout(0, ending);
    assert_eq!(next_call(ending, &calls), Some(after_order(table(ending).0)), "{ending:?}: {calls:?}");
}

#[rstest]
fn a_report_that_did_not_come_is_asked_for_again(
    #[values(2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15)] number: usize,
) {
    let calls = calls_of_rollout(1, ENDINGS[number]);
    assert!(calls.len() >= 3, "{:?}: {calls:?}", ENDINGS[number]);
    assert_eq!(calls[0], "/order", "{:?}: {calls:?}", ENDINGS[number]);
    assert!(calls[1..].iter().all(|call| call == "/report"), "{:?}: {calls:?}", ENDINGS[number]);
}

// ---- the list of replicas ---------------------------------------------------------------------------------

const FIRST_PAGE: &str = r#"{"servers":[],"nextToken":"p"}"#;
const LAST_PAGE: &str = r#"{"servers":[],"nextToken":null}"#;

fn list_page(path: &str) -> &'static str {
    if path.contains("pageToken") { LAST_PAGE } else { FIRST_PAGE }
}

/// The calls up to the first list, where the call of the second page ends in this way.
fn calls_of_walk(ending: Ending) -> Vec<String> {
    let executor = Rc::new(LocalExecutor::new());
    let (listener, address) = listen();
    let context = SingletonContext { executor, lease_status: Rc::new(PrimaryStatus), table: Rc::default() };
    let (sender, listed) = async_channel::unbounded();
    let on_list = move || {
        let _ = sender.try_send(());
    };
    let discovery = Discovery::new(address, 1_000.0, context, Box::new(on_list));
    let peer = Peer::new(1, ending, list_page);
    let first_list = async { listed.recv().await.expect("a list comes") };
    let working = future::or(discovery.run(), peer.listen(&listener));
    async_io::block_on(within(WINDOW, future::or(first_list, working))).expect("a list comes in time");
    peer.calls.take()
}

/// Endings of a call over a connection that has come up.
fn endings_after_connect() -> impl Iterator<Item = Ending> {
    ENDINGS.into_iter().filter(|ending| !matches!(ending, Ending::Refused | Ending::ConnectTimesOut))
}

#[test]
fn a_list_of_which_a_page_is_missing_is_read_anew_from_its_first_page() {
    let (first, second) = ("/servers", "/servers?pageToken=p");
    for ending in endings_after_connect() {
        let expected = match table(ending).0 {
            Known::Answered => vec![first, second],
            _ if ending == Ending::ResetUnread => vec![first, first, second],
            _ => vec![first, second, first, second],
        };
        assert_eq!(calls_of_walk(ending), expected, "{ending:?}");
    }
}

// ---- events of a source of KV cache -----------------------------------------------------------------------

fn kv_body(path: &str) -> &'static str {
    if path == "/kv-list" {
        r#"{"bootNo":7,"nextToken":5,"holding":[]}"#
    } else {
        r#"{"bootNo":7,"nextToken":5,"gone":false,"happenings":[]}"#
    }
}

/// Whether the source was taken for down, where the call after its list ends in this way; and the calls.
fn follow(ending: Ending) -> (bool, Vec<String>) {
    let executor = LocalExecutor::new();
    let (listener, address) = listen();
    let SocketAddr::V4(source) = address else { panic!("an IPv4 address") };
    let outbox = Rc::<Outbox>::default();
    let following = executor.spawn(Follower::new(source, SourceKind::Store, None, outbox.clone()).run());
    let peer = Peer::new(1, ending, kv_body);
    let enough = async {
        let due = if ending == Ending::ResetUnread { 2 } else { 3 };
        while peer.calls.borrow().len() < due {
            future::yield_now().await;
        }
    };
    let run = executor.run(future::or(enough, peer.listen(&listener)));
    async_io::block_on(within(Duration::from_secs(4), run)).expect("it is called on");
    drop(following);
    let is_down = outbox.take().iter().any(|update| update.liveness == Liveness::Down);
    (is_down, peer.calls.take())
}

#[test]
fn a_source_whose_connection_breaks_is_asked_once_more_and_a_silent_one_is_down() {
    for ending in endings_after_connect() {
        let (is_down, calls) = follow(ending);
        assert_eq!(is_down, ending == Ending::Silence, "{ending:?}");
        assert_eq!(calls[0], "/kv-list", "{ending:?}");
        assert!(calls[1..].iter().all(|call| call == "/kv-events?startedAt=5"), "{ending:?}: {calls:?}");
    }
}
