//! Complete HTTP exchanges with the operator's API.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use insta::assert_snapshot;
use rstest::rstest;
use tulipridge_configuration::number::{Revision, WeightsRevision};
use tulipridge_control_plane::api::{
    Api, ApiLimits, ChangeOutcome, ControlPlane, IndexSize, PrimaryStatus, ReplicaWeights, Status,
};
use tulipridge_control_plane::state::Change;
use tulipridge_control_plane::tenure::Tenure;
use tulipridge_protocol::number::Epoch;

const PRIMARY: PrimaryStatus = PrimaryStatus::Primary { tenure: Tenure(Epoch(5)) };
const FOLLOWER: PrimaryStatus = PrimaryStatus::Follower { primary: Ipv4Addr::new(10, 0, 0, 7) };
const OPERATOR_PORT: u16 = 8683;

/// A control plane with scripted results.
#[derive(Default)]
struct ScriptedControlPlane {
    primary_status: Cell<Option<PrimaryStatus>>,
    outcomes: RefCell<VecDeque<ChangeOutcome>>,
    changes: RefCell<Vec<Change>>,
    document: Option<Arc<[u8]>>,
    /// The primary status after this many queries for it.
    primary_status_after_queries: Option<(u32, PrimaryStatus)>,
    primary_status_queries: Cell<u32>,
    /// The primary status after the document was read, if it changes during the read.
    primary_status_after_document: Option<PrimaryStatus>,
}

impl ControlPlane for ScriptedControlPlane {
    fn primary_status(&self) -> PrimaryStatus {
        self.primary_status_queries.set(self.primary_status_queries.get() + 1);
        match self.primary_status_after_queries {
            Some((count, primary_status)) if self.primary_status_queries.get() > count => primary_status,
            _ => self.primary_status.get().unwrap_or(PRIMARY),
        }
    }

    async fn change(&self, change: Change) -> ChangeOutcome {
        self.changes.borrow_mut().push(change);
        self.outcomes.borrow_mut().pop_front().unwrap_or(ChangeOutcome::Unknown)
    }

    async fn document(&self) -> Option<Arc<[u8]>> {
        if self.primary_status_after_document.is_some() {
            self.primary_status.set(self.primary_status_after_document);
        }
        self.document.clone()
    }

    fn status(&self) -> Status {
        let replica_weights = ReplicaWeights::from([(
            "m".to_owned(),
            BTreeMap::from([
                (WeightsRevision(1), vec!["i-2".to_owned()]),
                (WeightsRevision(2), vec!["i-1".to_owned(), "i-3".to_owned()]),
            ]),
        )]);
        Status {
            node: "10.0.0.1/0".to_owned(),
            role: "backup",
            replicas: 3,
            replica_weights,
            cache_index: IndexSize { sources: 4, entries: 1_200 },
            singleton_roles: BTreeMap::from([("discovery", "10.0.0.7/0".to_owned())]),
            ..Status::default()
        }
    }
}

/// Sends bytes over a new connection and reads the response up to the connection's end.
fn exchange_within(control: &Rc<ScriptedControlPlane>, limits: ApiLimits, sent: &[u8]) -> String {
    let executor = LocalExecutor::new();
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port is free");
    let address = listener.get_ref().local_addr().expect("the listener is bound");
    let api = Rc::new(Api::new(control.clone(), OPERATOR_PORT, limits));
    let call = async {
        let mut stream = Async::<TcpStream>::connect(address).await.expect("the API listens");
        stream.write_all(sent).await.expect("the API reads the call");
        let mut response = String::new();
        stream.read_to_string(&mut response).await.expect("the response is text");
        response.replace("\r\n", "\n")
    };
    let serving = async {
        api.serve(&executor, listener).await;
        String::new()
    };
    async_io::block_on(executor.run(futures_lite::future::or(call, serving)))
}

fn exchange(control: &Rc<ScriptedControlPlane>, sent: &str) -> String {
    let limits = ApiLimits { primary_timeout: Duration::ZERO, ..ApiLimits::default() };
    exchange_within(control, limits, sent.replace('\n', "\r\n").as_bytes())
}

fn control(outcome: ChangeOutcome) -> Rc<ScriptedControlPlane> {
    Rc::new(ScriptedControlPlane {
        outcomes: RefCell::new([outcome].into()),
        ..ScriptedControlPlane::default()
    })
}

fn at(primary_status: PrimaryStatus) -> Rc<ScriptedControlPlane> {
    Rc::new(ScriptedControlPlane {
        primary_status: Cell::new(Some(primary_status)),
        ..ScriptedControlPlane::default()
    })
}

const PUT: &str = "PUT /settings HTTP/1.1
Host: x
If-Match: 5
Content-Length: 14
Connection: close

{\"revision\":7}";

const GET: &str = "GET /settings HTTP/1.1
Host: x
Connection: close

";

#[test]
fn a_configuration_is_acknowledged_with_its_revision() {
    let control = control(ChangeOutcome::Committed);
    assert_snapshot!(exchange(&control, PUT), @r#"
    HTTP/1.1 200 OK
    Content-Type: application/json
    Content-Length: 14
    Connection: close

    {"revision":7}
    "#);
    let change =
        Change::PutConfiguration { if_match: Some(Revision(5)), body: br#"{"revision":7}"#.to_vec() };
    assert_eq!(*control.changes.borrow(), [change]);
}

#[test]
fn a_change_in_chunks_is_read_completely() {
    let control = control(ChangeOutcome::Committed);
    let sent = "PATCH /settings HTTP/1.1
Host: x
If-Match: \"7\"
Transfer-Encoding: chunked
Connection: close

9
{\"revisio
5
n\":9}
0

";
    assert!(exchange(&control, sent).starts_with("HTTP/1.1 200 OK"));
    let change =
        Change::PatchConfiguration { if_match: Some(Revision(7)), body: br#"{"revision":9}"#.to_vec() };
    assert_eq!(*control.changes.borrow(), [change]);
}

#[test]
fn a_change_based_on_another_version_is_refused() {
    assert_snapshot!(exchange(&control(ChangeOutcome::Stale { current: Revision(6) }), PUT), @r#"
    HTTP/1.1 412 Precondition Failed
    Content-Type: application/json
    Content-Length: 51
    Connection: close

    {"error":"another version is in place","current":6}
    "#);
}

#[test]
fn findings_are_returned_to_the_caller() {
    let report = r#"{"problem":"the configuration is invalid","count":1}"#;
    assert_snapshot!(exchange(&control(ChangeOutcome::Invalid { report: report.into() }), PUT), @r#"
    HTTP/1.1 400 Bad Request
    Content-Type: application/json
    Content-Length: 52
    Connection: close

    {"problem":"the configuration is invalid","count":1}
    "#);
}

#[test]
fn an_unknown_outcome_is_reported_as_such() {
    assert_snapshot!(exchange(&control(ChangeOutcome::Unknown), PUT), @r#"
    HTTP/1.1 504 Gateway Timeout
    Content-Type: application/json
    Content-Length: 49
    Connection: close

    {"error":"the change may come into force or not"}
    "#);
}

#[test]
fn a_follower_redirects_to_the_primary() {
    let control = at(FOLLOWER);
    assert_snapshot!(exchange(&control, PUT), @r#"
    HTTP/1.1 307 Temporary Redirect
    Location: http://10.0.0.7:8683/settings
    Content-Type: application/json
    Content-Length: 36
    Connection: close

    {"error":"the primary answers this"}
    "#);
    assert!(control.changes.borrow().is_empty());
}

#[rstest]
#[case::change(PUT)]
#[case::read(GET)]
fn without_a_primary_the_caller_is_asked_to_retry(#[case] sent: &str) {
    let response = exchange(&at(PrimaryStatus::Unknown), sent);
    assert!(response.starts_with("HTTP/1.1 503 Service Unavailable\nRetry-After: 0.2\n"), "{response}");
}

/// A call that arrives while there is no primary waits for the next one, and is redirected to it or gets its
/// response.
#[rstest]
#[case::another_member(
    FOLLOWER,
    "HTTP/1.1 307 Temporary Redirect\nLocation: http://10.0.0.7:8683/settings\n"
)]
#[case::this_member(PRIMARY, "HTTP/1.1 404 Not Found\n")]
fn a_call_waits_for_the_next_primary(#[case] next: PrimaryStatus, #[case] expected: &str) {
    let control = ScriptedControlPlane {
        primary_status_after_queries: Some((3, next)),
        ..ScriptedControlPlane::default()
    };
    control.primary_status.set(Some(PrimaryStatus::Unknown));
    let limits = ApiLimits { primary_timeout: Duration::from_secs(5), ..ApiLimits::default() };
    let response = exchange_within(&Rc::new(control), limits, GET.replace('\n', "\r\n").as_bytes());
    assert!(response.starts_with(expected), "{response}");
}

#[test]
fn a_call_is_retryable_if_the_primary_changes_while_it_waits() {
    let response = exchange(&control(ChangeOutcome::NotPrimary), PUT);
    assert!(response.starts_with("HTTP/1.1 503 Service Unavailable\nRetry-After: 0.2\n"), "{response}");
}

#[test]
fn the_document_is_returned_byte_for_byte() {
    let document = Some(br#"{"revision":7,  "routes":[]}"#.as_slice().into());
    let control = Rc::new(ScriptedControlPlane { document, ..ScriptedControlPlane::default() });
    assert_snapshot!(exchange(&control, GET), @r#"
    HTTP/1.1 200 OK
    Content-Type: application/json
    Content-Length: 28
    Connection: close

    {"revision":7,  "routes":[]}
    "#);
}

#[rstest]
#[case::another_primary(FOLLOWER)]
#[case::no_lease(PrimaryStatus::Unknown)]
#[case::another_tenure(PrimaryStatus::Primary { tenure: Tenure(Epoch(9)) })]
fn a_document_that_may_be_old_is_not_returned(#[case] primary_status: PrimaryStatus) {
    let document = Some(br#"{"revision":7}"#.as_slice().into());
    let primary_status_after_document = Some(primary_status);
    let control = Rc::new(ScriptedControlPlane {
        document,
        primary_status_after_document,
        ..ScriptedControlPlane::default()
    });
    let response = exchange(&control, GET);
    assert!(response.starts_with("HTTP/1.1 503 Service Unavailable\nRetry-After: 0.2\n"), "{response}");
}

#[test]
fn without_a_document_the_status_is_404() {
    assert!(exchange(&at(PRIMARY), GET).starts_with("HTTP/1.1 404 Not Found"));
}

#[test]
fn a_target_revision_is_set() {
    let control = control(ChangeOutcome::Committed);
    let sent = "POST /version-put HTTP/1.1
Host: x
Content-Length: 24
Connection: close

{\"llm\":\"m\",\"revision\":2}";
    assert!(exchange(&control, sent).starts_with("HTTP/1.1 200 OK"));
    let change = Change::SetTargetRevision { model: "m".to_owned(), revision: WeightsRevision(2) };
    assert_eq!(*control.changes.borrow(), [change]);
}

#[rstest]
#[case::unknown_path("GET /nothing HTTP/1.1\nHost: x\nConnection: close\n\n", 404)]
#[case::unknown_method("DELETE /settings HTTP/1.1\nHost: x\nConnection: close\n\n", 405)]
#[case::invalid_if_match("PUT /settings HTTP/1.1\nHost: x\nIf-Match: *\nConnection: close\n\n", 400)]
#[case::invalid_target_revision(
    "POST /version-put HTTP/1.1\nHost: x\nContent-Length: 2\nConnection: close\n\n{}",
    400
)]
#[case::no_request("hello\n\n", 400)]
#[case::too_large("PUT /settings HTTP/1.1\nHost: x\nContent-Length: 99999999\n\n", 413)]
#[case::two_lengths("PUT /settings HTTP/1.1\nHost: x\nContent-Length: 1\nContent-Length: 2\n\n", 400)]
fn invalid_requests_are_rejected(#[case] sent: &str, #[case] status: u16) {
    let response = exchange(&at(PRIMARY), sent);
    assert!(response.starts_with(&format!("HTTP/1.1 {status} ")), "{response}");
}

#[test]
fn several_calls_share_a_connection() {
    let first = "GET /status HTTP/1.1\nHost: x\n\n";
    let response = exchange(&at(FOLLOWER), &format!("{first}{GET}"));
    let statuses: Vec<&str> = response.split("HTTP/1.1 ").skip(1).map(|response| &response[..3]).collect();
    assert_eq!(statuses, ["200", "307"]);
}

#[test]
fn every_member_reports_its_status() {
    assert_snapshot!(exchange(&at(FOLLOWER), "GET /status HTTP/1.1\nHost: x\nConnection: close\n\n"), @r#"
    HTTP/1.1 200 OK
    Content-Type: application/json
    Content-Length: 329
    Connection: close

    {"node":"10.0.0.1/0","name":"","role":"backup","lease":false,"epoch":0,"voters":[],"holders":[],"primary":null,"configuration":0,"weights":{},"replicas":3,"replicaWeights":{"m":{"1":["i-2"],"2":["i-1","i-3"]}},"keptIndex":{"sources":4,"entries":1200},"duties":{"discovery":"10.0.0.7/0"},"ageMs":null,"subscribers":0,"gateways":0}
    "#);
}

#[rstest]
#[case::silent(b"")]
#[case::head(b"PUT /settings HTTP/1.1\r\nHo")]
#[case::body(b"PUT /settings HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{")]
fn slow_callers_are_disconnected(#[case] sent: &[u8]) {
    let soon = Duration::from_millis(20);
    let limits =
        ApiLimits { idle_timeout: soon, head_timeout: soon, body_timeout: soon, ..ApiLimits::default() };
    assert_eq!(exchange_within(&at(PRIMARY), limits, sent), "");
}
