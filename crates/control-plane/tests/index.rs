//! Following the cache events of sources: parsing of responses, choice of sources, and complete exchanges with a
//! source.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use insta::{assert_debug_snapshot, assert_snapshot};
use rstest::rstest;
use tulipridge_configuration::{Configuration, Service, ServiceRuntime};
use tulipridge_control_plane::index::{
    Follower, Outbox, SourceKind, parse_event_page, parse_listing, sources,
};
use tulipridge_prefix_cache_index::{CacheUpdate, CachedPrefix, Cursor, Liveness, PrefixKey};
use tulipridge_protocol::feed::{Replica, ReplicaPhase};

// ---- responses --------------------------------------------------------------------------------------------

const EVENTS: &str = r#"{"bootNo":77120,"nextToken":120,"gone":false,"happenings":[[119,"+","s1","5c1e07a2",800,"m"],[120,"-","s1","91bd3f06",128,"m"]]}"#;
const LIST: &str = r#"{"bootNo":77120,"nextToken":120,"holding":[["s1","5c1e07a2",800,"m"]]}"#;

fn cached(salt: &str, segment_id: &str, tokens: u32) -> CachedPrefix {
    CachedPrefix { key: PrefixKey::new(salt, segment_id), tokens }
}

#[test]
fn an_event_page_is_parsed() {
    let page = parse_event_page(EVENTS.as_bytes()).expect("a page of events");
    assert_eq!(page.cursor, Cursor { boot: 77_120, next_token: 120 });
    assert!(!page.gap);
    assert_eq!(page.events, [cached("s1", "5c1e07a2", 800), cached("s1", "91bd3f06", 128)]);
}

#[test]
fn a_full_listing_is_parsed() {
    let listing = parse_listing(LIST.as_bytes()).expect("a full listing");
    assert_eq!(listing.cursor, Cursor { boot: 77_120, next_token: 120 });
    assert_eq!(listing.prefixes, [cached("s1", "5c1e07a2", 800)]);
}

#[rstest]
#[case::truncated(&EVENTS[..EVENTS.len() - 1])]
#[case::unknown_event_kind(&EVENTS.replace(r#""+""#, r#""?""#))]
#[case::negative_tokens(&EVENTS.replace("800", "-800"))]
#[case::string_for_a_number(&EVENTS.replace("77120", r#""77120""#))]
#[case::no_gone_field(&EVENTS.replace(r#""gone":false,"#, ""))]
#[case::short_event(&EVENTS.replace(r#",800,"m""#, ""))]
#[case::empty("")]
fn malformed_event_pages_are_rejected(#[case] body: &str) {
    assert!(parse_event_page(body.as_bytes()).is_err());
}

// ---- choice of sources -----------------------------------------------------------------------------------

fn replica(service: &str, address: &str) -> Replica {
    Replica {
        id: address.to_owned(),
        service: service.to_owned(),
        address: address.to_owned(),
        zone: "a".to_owned(),
        capacity: 1,
        phase: ReplicaPhase::Ready,
        warm_left_ms: 0,
        models: Vec::new(),
    }
}

#[test]
fn stores_and_replicas_with_a_cache_are_followed() {
    let runtime = |cache_tokens| Some(ServiceRuntime { cache_tokens, ..ServiceRuntime::default() });
    let service = |label: &str, runtime| Service { label: label.to_owned(), runtime, ..Service::default() };
    let store = Service { store_address: Some("10.0.9.1:90".to_owned()), ..service("store", None) };
    let configuration = Configuration {
        services: vec![
            service("chat", runtime(1000)),
            service("small", runtime(0)),
            service("plain", None),
            store,
        ],
        ..Configuration::default()
    };
    let replicas = [
        replica("chat", "10.0.0.1:80"),
        replica("chat", "host:80"),
        replica("small", "10.0.0.2:80"),
        replica("plain", "10.0.0.3:80"),
        replica("unknown", "10.0.0.4:80"),
    ];
    assert_debug_snapshot!(sources(&configuration, &replicas), @r"
    {
        10.0.0.1:80: Replica,
        10.0.9.1:90: Store,
    }
    ");
}

// ---- exchanges --------------------------------------------------------------------------------------------

/// What a scripted source does when it receives a call.
enum Action {
    Respond(u16, String),
    Close,
}

/// Handles each call by the next action of the script, and returns the calls when one arrives after the last action.
async fn serve_script(listener: Async<TcpListener>, script: Vec<Action>) -> Vec<String> {
    let mut script = script.into_iter();
    let mut calls = Vec::new();
    loop {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        while let Some(call) = read_call(&mut stream).await {
            let Some(action) = script.next() else { return calls };
            calls.push(call);
            let Action::Respond(status, body) = action else { break };
            let head = format!("HTTP/1.1 {status} x\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all((head + &body).as_bytes()).await.expect("the follower reads");
        }
    }
}

/// Reads a call and returns its request line with its `Wait-Ms` header, or `None` once the connection has ended.
async fn read_call(stream: &mut Async<TcpStream>) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        if stream.read(&mut byte).await.ok()? == 0 {
            return None;
        }
        bytes.push(byte[0]);
    }
    let text = String::from_utf8(bytes).expect("a request head is text");
    let mut lines = text.lines();
    let start = lines.next().unwrap_or_default().to_owned();
    let wait = lines.find(|line| line.starts_with("Wait-Ms")).unwrap_or("no wait");
    Some(format!("{start} ({wait})"))
}

fn page(boot: u64, next: u64, gone: bool, events: &str) -> Action {
    let body = format!(r#"{{"bootNo":{boot},"nextToken":{next},"gone":{gone},"happenings":[{events}]}}"#);
    Action::Respond(200, body)
}

fn list(boot: u64, next: u64, listed: &str) -> Action {
    Action::Respond(200, format!(r#"{{"bootNo":{boot},"nextToken":{next},"holding":[{listed}]}}"#))
}

/// Follows a scripted source to the end of its script. Returns the calls and the updates.
fn exchange(kind: SourceKind, script: Vec<Action>) -> (Vec<String>, Vec<CacheUpdate>) {
    let executor = LocalExecutor::new();
    let listener =
        Async::<TcpListener>::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).expect("a free port");
    let Ok(SocketAddr::V4(address)) = listener.get_ref().local_addr() else { panic!("an IPv4 address") };
    let outbox = Rc::<Outbox>::default();
    let follow = executor.spawn(Follower::new(address, kind, None, outbox.clone()).run());
    let calls = async_io::block_on(executor.run(serve_script(listener, script)));
    drop(follow);
    (calls, outbox.take())
}

fn summary(updates: &[CacheUpdate]) -> String {
    let summarize = |update: &CacheUpdate| {
        let liveness = match update.liveness {
            Liveness::Alive => "alive",
            Liveness::Down => "down",
            Liveness::Gone => "gone",
        };
        let (boot, next) = (update.boot, update.next_token);
        let (added, removed) = (update.added.len(), update.removed.len());
        format!("{liveness} boot {boot} next {next} replace {} +{added} -{removed}\n", update.replace)
    };
    updates.iter().map(summarize).collect()
}

const ADDED: &str = r#"[1,"+","m1","a",800,"m"]"#;
const REMOVED: &str = r#"[2,"-","m1","a",0,"m"]"#;

const LISTED: &str = r#"["m1","b",900,"m"]"#;

#[test]
fn a_source_is_listed_once_and_then_polled_for_events() {
    let script = vec![
        list(7, 5, LISTED),
        page(7, 6, false, ADDED),
        page(7, 7, false, REMOVED),
        Action::Close,
        Action::Close,
    ];
    let (calls, updates) = exchange(SourceKind::Store, script);
    assert_snapshot!(calls.join("\n"), @r"
    GET /kv-list HTTP/1.1 (no wait)
    GET /kv-events?startedAt=5 HTTP/1.1 (Wait-Ms: 1000)
    GET /kv-events?startedAt=6 HTTP/1.1 (Wait-Ms: 1000)
    GET /kv-events?startedAt=7 HTTP/1.1 (Wait-Ms: 1000)
    GET /kv-events?startedAt=7 HTTP/1.1 (Wait-Ms: 1000)
    ");
    assert_snapshot!(summary(&updates), @r"
    alive boot 7 next 5 replace true +1 -0
    alive boot 7 next 6 replace false +1 -0
    alive boot 7 next 7 replace false +0 -1
    down boot 7 next 7 replace false +0 -0
    ");
}

#[test]
fn a_restarted_source_is_read_from_its_first_event() {
    let script = vec![list(7, 5, LISTED), page(8, 1, false, ADDED), page(8, 1, false, ADDED)];
    let (calls, updates) = exchange(SourceKind::Replica, script);
    assert_snapshot!(calls.join("\n"), @r"
    GET /kv-list HTTP/1.1 (no wait)
    GET /kv-events?startedAt=5 HTTP/1.1 (Wait-Ms: 1000)
    GET /kv-events?startedAt=0 HTTP/1.1 (Wait-Ms: 1000)
    ");
    assert_snapshot!(summary(&updates), @r"
    alive boot 7 next 5 replace true +1 -0
    alive boot 8 next 0 replace true +0 -0
    alive boot 8 next 1 replace false +1 -0
    ");
}

#[test]
fn a_store_is_resynced_after_a_gap() {
    let script = vec![list(7, 5, ""), page(7, 90, true, ADDED), list(7, 91, LISTED)];
    let (calls, updates) = exchange(SourceKind::Store, script);
    assert_snapshot!(calls.join("\n"), @r"
    GET /kv-list HTTP/1.1 (no wait)
    GET /kv-events?startedAt=5 HTTP/1.1 (Wait-Ms: 1000)
    GET /kv-list HTTP/1.1 (no wait)
    ");
    assert_snapshot!(summary(&updates), @r"
    alive boot 7 next 5 replace true +0 -0
    alive boot 7 next 91 replace true +1 -0
    ");
}

#[test]
fn a_replica_is_not_resynced_after_a_gap() {
    let script = vec![list(7, 5, LISTED), page(7, 90, true, ADDED)];
    let (calls, updates) = exchange(SourceKind::Replica, script);
    assert_snapshot!(calls.join("\n"), @r"
    GET /kv-list HTTP/1.1 (no wait)
    GET /kv-events?startedAt=5 HTTP/1.1 (Wait-Ms: 1000)
    ");
    assert_snapshot!(summary(&updates), @r"
    alive boot 7 next 5 replace true +1 -0
    alive boot 7 next 90 replace true +1 -0
    ");
}

#[test]
fn a_source_that_is_down_is_polled_without_a_wait() {
    let script = vec![
        list(7, 5, LISTED),
        Action::Respond(500, String::new()),
        page(7, 5, false, ""),
        page(7, 5, false, ""),
    ];
    let (calls, updates) = exchange(SourceKind::Store, script);
    assert_snapshot!(calls.join("\n"), @r"
    GET /kv-list HTTP/1.1 (no wait)
    GET /kv-events?startedAt=5 HTTP/1.1 (Wait-Ms: 1000)
    GET /kv-events?startedAt=5 HTTP/1.1 (Wait-Ms: 0)
    GET /kv-events?startedAt=5 HTTP/1.1 (Wait-Ms: 1000)
    ");
    assert_snapshot!(summary(&updates), @r"
    alive boot 7 next 5 replace true +1 -0
    down boot 7 next 5 replace false +0 -0
    alive boot 7 next 5 replace false +0 -0
    ");
}

#[rstest]
#[case::malformed(Action::Respond(200, "{}".to_owned()))]
#[case::unknown_status(Action::Respond(500, String::new()))]
fn a_source_with_an_invalid_response_is_down(#[case] invalid: Action) {
    let (_, updates) = exchange(SourceKind::Store, vec![list(7, 5, LISTED), invalid]);
    let liveness: Vec<Liveness> = updates.iter().map(|update| update.liveness).collect();
    assert_eq!(liveness, [Liveness::Alive, Liveness::Down]);
    assert!(!updates[1].replace, "its entries are retained");
}
