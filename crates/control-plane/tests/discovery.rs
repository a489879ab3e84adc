//! Service discovery: parsing the pages of the list of replicas, the schedule of polls, and complete polls.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use insta::{assert_debug_snapshot, assert_snapshot};
use rstest::rstest;
use tulipridge_control_plane::discovery::{Discovery, Page, PollOutcome, PollSchedule};
use tulipridge_control_plane::singleton::{LeaseStatus, SingletonContext, SingletonLease};
use tulipridge_control_plane::tenure::Tenure;
use tulipridge_http1::within;
use tulipridge_protocol::number::Epoch;

const ENTRY: &str = r#"{"backend":"chat","address":"10.128.0.9:8080","area":"a","revision":"v1","capacity":128,"phase":"ready","warmLeftMs":12.5,"half":"either","llms":[{"label":"m","revision":1,"addons":[]}],"ident":"i-1"}"#;

fn page(entries: &str, token: &str) -> String {
    format!(r#"{{"servers":[{entries}],"nextToken":{token}}}"#)
}

#[test]
fn a_page_is_parsed() {
    let page = Page::parse(page(ENTRY, r#""p-50""#).as_bytes()).expect("the page is complete");
    assert_debug_snapshot!(page, @r#"
    Page {
        replicas: [
            Replica {
                id: "i-1",
                service: "chat",
                address: "10.128.0.9:8080",
                zone: "a",
                capacity: 128,
                phase: Ready,
                warm_left_ms: 13,
                models: [
                    ModelRevision {
                        model: "m",
                        revision: 1,
                    },
                ],
            },
        ],
        malformed: [],
        next_token: Some(
            "p-50",
        ),
    }
    "#);
}

#[rstest]
#[case::unknown_phase(ENTRY.replace("ready", "asleep"))]
#[case::no_id(ENTRY.replace("ident", "name"))]
#[case::host_name_for_address(ENTRY.replace("10.128.0.9:8080", "host:8080"))]
#[case::not_an_object("17".to_owned())]
fn a_malformed_entry_is_returned_separately(#[case] entry: String) {
    let page =
        Page::parse(page(&format!("{entry},{ENTRY}"), "null").as_bytes()).expect("the page is complete");
    assert_eq!(page.replicas.len(), 1);
    assert_eq!(page.malformed, [entry]);
    assert_eq!(page.next_token, None);
}

#[rstest]
#[case::truncated(r#"{"servers":["#)]
#[case::without_token(r#"{"servers":[]}"#)]
#[case::without_servers(r#"{"nextToken":null}"#)]
#[case::empty("")]
fn a_truncated_or_empty_page_is_rejected(#[case] body: &str) {
    assert!(Page::parse(body.as_bytes()).is_err());
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn a_changing_list_is_polled_more_often_than_a_stable_one() {
    let mut schedule = PollSchedule::new(47.0, ms(0));
    assert_eq!(schedule.next_poll(ms(0), ms(20), PollOutcome::Changed), ms(700));
    assert_eq!(schedule.next_poll(ms(700), ms(720), PollOutcome::Unchanged), ms(1_400));
    assert_eq!(schedule.next_poll(ms(6_000), ms(6_020), PollOutcome::Unchanged), ms(7_000));
    assert_eq!(schedule.next_poll(ms(7_000), ms(7_020), PollOutcome::Changed), ms(7_700));
}

#[test]
fn rate_limited_polls_double_the_backoff_until_one_succeeds() {
    let mut schedule = PollSchedule::new(47.0, ms(0));
    assert_eq!(schedule.next_poll(ms(0), ms(10), PollOutcome::RateLimited), ms(510));
    assert_eq!(schedule.next_poll(ms(510), ms(520), PollOutcome::RateLimited), ms(1_520));
    assert_eq!(schedule.next_poll(ms(1_520), ms(1_530), PollOutcome::Unchanged), ms(2_220));
    assert_eq!(schedule.next_poll(ms(2_220), ms(2_230), PollOutcome::RateLimited), ms(2_730));
}

#[test]
fn a_long_poll_is_followed_after_the_call_interval() {
    let mut schedule = PollSchedule::new(10.0, ms(0));
    let interval = schedule.call_interval();
    assert!(interval > ms(100), "calls stay below the platform's rate limit");
    assert_eq!(schedule.next_poll(ms(0), ms(12_000), PollOutcome::Changed), ms(12_000) + interval);
}

// ---- complete polls -----------------------------------------------------------------------------------------

const LEASE: SingletonLease = SingletonLease { epoch: Epoch(9), tenure: Tenure(Epoch(7)) };

/// The status of a member that is primary.
struct PrimaryStatus;

impl LeaseStatus for PrimaryStatus {
    fn singleton_lease(&self) -> Option<SingletonLease> {
        Some(LEASE)
    }

    fn knows_primary(&self) -> bool {
        true
    }
}

/// The result of a poll.
struct Polled {
    /// The requests that the platform received.
    calls: Vec<String>,
    /// The ids of the replicas in the table.
    ids: Vec<String>,
}

/// Polls a platform that returns these pages, up to the first complete list.
fn poll(pages: &[String]) -> Polled {
    let executor = Rc::new(LocalExecutor::new());
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port is free");
    let address = listener.get_ref().local_addr().expect("the listener is bound");
    let context = SingletonContext { executor, lease_status: Rc::new(PrimaryStatus), table: Rc::default() };
    let table = context.table.clone();
    let (sender, listed) = async_channel::unbounded();
    let on_list = move || {
        let _ = sender.try_send(());
    };
    let discovery = Discovery::new(address, 1_000.0, context, Box::new(on_list));
    let polled = async {
        let calls = respond_to_requests(&listener, address, pages).await;
        listed.recv().await.expect("the list is complete");
        calls
    };
    let polling = async {
        discovery.run().await;
        Vec::new()
    };
    let calls = async_io::block_on(within(Duration::from_secs(5), future::or(polled, polling)));
    let table = table.borrow();
    let ids = table.listed(LEASE.tenure).into_iter().flatten().map(|replica| replica.id.clone());
    Polled { calls: calls.expect("the poll ends in time"), ids: ids.collect() }
}

/// Responds to one request with each page, and returns the requests.
async fn respond_to_requests(
    listener: &Async<TcpListener>,
    address: SocketAddr,
    pages: &[String],
) -> Vec<String> {
    let (mut stream, _) = listener.accept().await.expect("a request arrives");
    let mut calls = Vec::new();
    for page in pages {
        let mut request = vec![0; 4096];
        let count = stream.read(&mut request).await.expect("a request arrives");
        let request = String::from_utf8_lossy(&request[..count]).replace(&address.to_string(), "ADDRESS");
        calls.push(request.trim_end().replace("\r\n", " | "));
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", page.len());
        stream.write_all((head + page).as_bytes()).await.expect("the response is read");
    }
    calls
}

#[test]
fn all_pages_are_read_with_any_characters_in_their_tokens() {
    let entry = |id: &str| ENTRY.replace("i-1", id);
    let pages = [
        page(&entry("i-1"), r#""p-50""#),
        page(&entry("i-2"), r#""a+b/c=&d #\u00e9""#),
        page(&entry("i-3"), "null"),
    ];
    let Polled { calls, ids } = poll(&pages);
    assert_snapshot!(calls.join("\n"), @"
    GET /servers HTTP/1.1 | Host: ADDRESS
    GET /servers?pageToken=p-50 HTTP/1.1 | Host: ADDRESS
    GET /servers?pageToken=a%2Bb%2Fc%3D%26d%20%23%C3%A9 HTTP/1.1 | Host: ADDRESS
    ");
    assert_eq!(ids, ["i-1", "i-2", "i-3"]);
}
