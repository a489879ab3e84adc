//! Produces every cell of the retry table with a real proxy and scripted replicas: each kind of request with each
//! outcome of an attempt, with a retry budget and without one.

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use socket2::{Domain, Socket, Type};
use support::{
    Harness, LAST_CHUNK, Step, TestClient, header, ok, post, post_with_long_body, response, status,
    stream_head,
};
use tulipridge_load_balancer::types::Verdict;
use tulipridge_proxy::replica::outcome::{AttemptOutcome, Execution};
use tulipridge_proxy::replica::request_kind::RequestKind;
use tulipridge_proxy::replica::retry::{
    FinalStatus, RetryAction, RetryDecision, decide, final_status, may_retry,
};

/// Length in bytes of a head that exceeds the socket buffers of a connection.
const LONG_HEAD: usize = 512 << 10;
/// Time allowed for a change to new weights, short enough that little of it is left after a withdrawal.
const REVISION_MS: u64 = 600;

/// The externally visible result of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Observation {
    /// The status that the client received.
    status: String,
    /// Whether the client received a complete response.
    is_complete: bool,
    /// Whether the response has a `Retry-After` header.
    has_retry_after: bool,
    /// The number of request heads that replicas have read.
    arrivals: usize,
}

/// The observations with a retry budget and without one.
type ObservationPair = [Observation; 2];
type Cells = BTreeMap<(RequestKind, AttemptOutcome), ObservationPair>;

fn path(kind: RequestKind) -> &'static str {
    match kind {
        RequestKind::Safe => "/harmless/",
        RequestKind::Unsafe => "/risky/",
        RequestKind::Stream => "/stream/",
        RequestKind::ResumableStream => "/resumable/",
    }
}

fn write(text: impl Into<String>) -> Step {
    Step::Write(text.into())
}

/// How an outcome is produced.
enum Scenario {
    /// The replica performs these steps for a request with a short body.
    Script(Vec<Step>),
    /// The replica performs these steps for a request with a long body.
    LongBody(Vec<Step>),
    /// The replica performs these steps for a request with a long head.
    LongHead(Vec<Step>),
    /// No connection to the first replica can be established.
    UnreachableReplica(Unreachable),
    /// The process may have one connection to replicas, and another request uses it.
    NoDescriptor,
    /// The replica does not respond, and its weights are withdrawn.
    WithdrawnWeights,
}

#[derive(Clone, Copy)]
enum Unreachable {
    Refuses,
    IsUnresponsive,
}

fn scenario(outcome: AttemptOutcome) -> Scenario {
    let script = |steps: &[Step]| Scenario::Script(steps.to_vec());
    let responds = |line: &str, headers: &str| Scenario::Script(vec![write(response(line, headers, "no"))]);
    match outcome {
        AttemptOutcome::ConnectRefused => Scenario::UnreachableReplica(Unreachable::Refuses),
        AttemptOutcome::ConnectTimedOut => Scenario::UnreachableReplica(Unreachable::IsUnresponsive),
        AttemptOutcome::OutOfDescriptors => Scenario::NoDescriptor,
        AttemptOutcome::BrokenInRequestHead => Scenario::LongHead(vec![Step::AwaitFirstByte, Step::Reset]),
        AttemptOutcome::BrokenInRequestBody => Scenario::LongBody(vec![Step::AwaitHead, Step::Reset]),
        AttemptOutcome::BrokenBeforeResponse => script(&[Step::Reset]),
        AttemptOutcome::BrokenInResponse => script(&[write(stream_head()), Step::Close]),
        AttemptOutcome::TruncatedResponse => {
            script(&[write(stream_head() + &support::event(1)), Step::Close])
        }
        AttemptOutcome::ResponseTimeout => script(&[Step::Wait]),
        AttemptOutcome::WeightsExpired => Scenario::WithdrawnWeights,
        AttemptOutcome::InvalidResponse => script(&[write("SSH-2.0-server\r\n\r\n")]),
        AttemptOutcome::OnlyStaleResponses => {
            script(&[write(ok("late").replace("{id}", "t0")), Step::Close])
        }
        AttemptOutcome::Unsealed => script(&[write(ok("x").replace("Server-Seal", "Other-Seal"))]),
        AttemptOutcome::Encoded => responds("200 OK", "Content-Encoding: gzip\r\n"),
        AttemptOutcome::WrongReplica => responds("421 Misdirected Request", "Server-Id: i-9\r\n"),
        AttemptOutcome::WrongRevision => responds("421 Misdirected Request", ""),
        AttemptOutcome::NotRun => responds("503 Service Unavailable", "Not-Run: 1\r\n"),
        AttemptOutcome::Rejected => responds("400 Bad Request", "Not-Run: 1\r\n"),
        AttemptOutcome::UnconfirmedRefusal => responds("503 Service Unavailable", "Retry-After: 1\r\n"),
        AttemptOutcome::ServerError => responds("500 Internal Server Error", ""),
        AttemptOutcome::OtherError => responds("404 Not Found", ""),
        AttemptOutcome::Success => script(&[write(ok("served"))]),
    }
}

/// The status of the replica's own response, or `none` if the outcome has no response.
fn replica_status(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Success | AttemptOutcome::TruncatedResponse | AttemptOutcome::BrokenInResponse => {
            "200"
        }
        AttemptOutcome::Unsealed | AttemptOutcome::Encoded | AttemptOutcome::OnlyStaleResponses => "200",
        AttemptOutcome::WrongReplica | AttemptOutcome::WrongRevision => "421",
        AttemptOutcome::NotRun | AttemptOutcome::UnconfirmedRefusal => "503",
        AttemptOutcome::Rejected => "400",
        AttemptOutcome::ServerError => "500",
        AttemptOutcome::OtherError => "404",
        _ => "none",
    }
}

/// The number of replicas that have read the request's head when the outcome occurs.
fn arrivals(outcome: AttemptOutcome) -> usize {
    match outcome {
        AttemptOutcome::ConnectRefused
        | AttemptOutcome::ConnectTimedOut
        | AttemptOutcome::OutOfDescriptors
        | AttemptOutcome::BrokenInRequestHead => 0,
        _ => 1,
    }
}

/// Whether the attempt counts as sent when the outcome occurs. Only a send after that one takes a retry token.
fn was_sent(outcome: AttemptOutcome) -> bool {
    !matches!(
        outcome,
        AttemptOutcome::ConnectRefused | AttemptOutcome::ConnectTimedOut | AttemptOutcome::OutOfDescriptors
    )
}

// ---- predicted observations -------------------------------------------------------------------------------

fn final_observation(kind: RequestKind, outcome: AttemptOutcome, is_abandoned: bool) -> Observation {
    let is_past_deadline = outcome == AttemptOutcome::ResponseTimeout;
    let response = final_status(kind, outcome.execution(), is_past_deadline, is_abandoned);
    let status = match response {
        FinalStatus::ServiceUnavailable => "503",
        FinalStatus::BadGateway => "502",
        FinalStatus::GatewayTimeout => "504",
    };
    let has_retry_after = response == FinalStatus::ServiceUnavailable;
    Observation {
        status: status.to_owned(),
        is_complete: true,
        has_retry_after,
        arrivals: arrivals(outcome),
    }
}

fn expected_observation(
    kind: RequestKind,
    outcome: AttemptOutcome,
    decision: RetryDecision,
    has_budget: bool,
) -> Observation {
    let arrivals = arrivals(outcome);
    let forwarded = |is_complete| Observation {
        status: replica_status(outcome).to_owned(),
        is_complete,
        has_retry_after: false,
        arrivals,
    };
    let served = Observation {
        status: "200".to_owned(),
        is_complete: true,
        has_retry_after: false,
        arrivals: arrivals + 1,
    };
    let is_retried = has_budget || !was_sent(outcome);
    match decision.action {
        // A retry finds no free connection either.
        RetryAction::Retry if outcome == AttemptOutcome::OutOfDescriptors => {
            final_observation(kind, outcome, true)
        }
        RetryAction::Retry | RetryAction::RetryOrForward | RetryAction::Resume if is_retried => served,
        RetryAction::Retry => final_observation(kind, outcome, true),
        RetryAction::RetryOrForward | RetryAction::Forward => forwarded(true),
        RetryAction::Resume | RetryAction::Abort => forwarded(false),
        RetryAction::Fail => final_observation(kind, outcome, false),
    }
}

// ---- actual observations ----------------------------------------------------------------------------------

fn request(kind: RequestKind, scenario: &Scenario) -> String {
    match scenario {
        Scenario::LongBody(_) => post_with_long_body(path(kind), "t1"),
        Scenario::LongHead(_) => {
            let line = format!("X-Long: {}\r\n", "x".repeat(LONG_HEAD));
            support::post_with(path(kind), "t1", &line)
        }
        Scenario::WithdrawnWeights => support::post_with(path(kind), "t1", "Llm: m\r\n"),
        _ => post(path(kind), "t1"),
    }
}

fn observe(kind: RequestKind, outcome: AttemptOutcome, has_budget: bool) -> Observation {
    let scenario = scenario(outcome);
    let (ratio, spare) = if has_budget { (2.0, 100) } else { (0.0, 0) };
    let harness = match scenario {
        Scenario::NoDescriptor => Harness::with_file_handles(2, 0),
        Scenario::WithdrawnWeights => Harness::with_revision_term(2, REVISION_MS, (ratio, spare)),
        _ => Harness::with_budget(2, ratio, spare),
    };
    let mut request = request(kind, &scenario);
    if outcome == AttemptOutcome::ResponseTimeout {
        request = request.replace("Time-Left-Ms: 6000", "Time-Left-Ms: 300");
    }
    let mut configuration = support::configuration();
    configuration.caps.head_bytes = 2 * LONG_HEAD as u64;
    harness.proxy.set_configuration(configuration.into());
    let response = match &scenario {
        Scenario::Script(steps) | Scenario::LongBody(steps) | Scenario::LongHead(steps) => {
            harness.script_next_request(steps);
            if outcome == AttemptOutcome::TruncatedResponse {
                harness.script_next_request(&[write(stream_head() + &support::event(2) + LAST_CHUNK)]);
            }
            harness.run(harness.send_request(&request))
        }
        Scenario::UnreachableReplica(kind) => request_to_unreachable_replica(&harness, &request, *kind),
        Scenario::NoDescriptor => request_without_descriptor(&harness, &request),
        Scenario::WithdrawnWeights => request_on_withdrawn_weights(&harness, &request),
    };
    let other_requests = if outcome == AttemptOutcome::OutOfDescriptors { 1 } else { 0 };
    Observation {
        status: status(&response).to_owned(),
        is_complete: !response.ends_with("(truncated)"),
        has_retry_after: header(&response, "Retry-After").is_some(),
        arrivals: harness.arrivals() - other_requests,
    }
}

/// Sends a request while the only listed replica is at an address to which no connection can be established. The other
/// replica is listed once the proxy has begun to connect.
fn request_to_unreachable_replica(harness: &Harness, request: &str, unreachable: Unreachable) -> String {
    let unresponsive = UnresponsiveAddress::new();
    let address = match unreachable {
        Unreachable::Refuses => "127.0.0.1:1".to_owned(),
        Unreachable::IsUnresponsive => unresponsive.address.to_string(),
    };
    harness.set_fleet(|entries| {
        entries.truncate(1);
        entries[0].address.clone_from(&address);
    });
    harness.run(async {
        let mut client = harness.connect().await;
        client.send(request).await;
        harness.wait_until(|| harness.proxy.counters.connects.get() == 1).await;
        harness.set_fleet(|entries| entries[0].address.clone_from(&address));
        client.read_response().await
    })
}

fn request_without_descriptor(harness: &Harness, request: &str) -> String {
    harness.script_next_request(&[Step::Wait]);
    harness.run(async {
        let mut other_client: TestClient = harness.connect().await;
        other_client.send(&post("/risky/", "t0")).await;
        harness.wait_until(|| harness.arrivals() == 1).await;
        harness.send_request(request).await
    })
}

fn request_on_withdrawn_weights(harness: &Harness, request: &str) -> String {
    harness.script_next_request(&[Step::Wait]);
    harness.run(async {
        let mut client = harness.connect().await;
        client.send(request).await;
        harness.wait_until(|| harness.arrivals() == 1).await;
        harness.withdraw_weights_of_busy_replicas(5);
        client.read_response().await
    })
}

/// An address that does not respond to connection attempts, since the listener's accept queue is full.
struct UnresponsiveAddress {
    address: SocketAddr,
    _listener: Socket,
    _pending_connections: Vec<Socket>,
}

impl UnresponsiveAddress {
    fn new() -> UnresponsiveAddress {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
        listener.listen(0).expect("a listening socket");
        let address =
            listener.local_addr().ok().and_then(|address| address.as_socket()).expect("an address");
        let connect = || {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
            socket.set_nonblocking(true).expect("a non-blocking socket");
            // The connection is in progress and may never be established.
            let _ = socket.connect(&address.into());
            socket
        };
        let pending_connections = (0..4).map(|_| connect()).collect();
        std::thread::sleep(Duration::from_millis(20));
        UnresponsiveAddress { address, _listener: listener, _pending_connections: pending_connections }
    }
}

fn observe_all(kind: RequestKind) -> Cells {
    let pair = |outcome| [observe(kind, outcome, true), observe(kind, outcome, false)];
    AttemptOutcome::ALL.into_iter().map(|outcome| ((kind, outcome), pair(outcome))).collect()
}

/// The cells whose observations differ from those that the table predicts.
fn mismatches(cells: &Cells, table: impl Fn(RequestKind, AttemptOutcome) -> RetryDecision) -> Vec<String> {
    let check = |(&(kind, outcome), observed): (&(RequestKind, AttemptOutcome), &ObservationPair)| {
        let decision = table(kind, outcome);
        let expected = [
            expected_observation(kind, outcome, decision, true),
            expected_observation(kind, outcome, decision, false),
        ];
        (expected != *observed)
            .then(|| format!("{kind:?} {outcome:?}\n  expected {expected:?}\n  observed {observed:?}"))
    };
    cells.iter().filter_map(check).collect()
}

const ALL_ACTIONS: [RetryAction; 6] = [
    RetryAction::Retry,
    RetryAction::RetryOrForward,
    RetryAction::Resume,
    RetryAction::Forward,
    RetryAction::Fail,
    RetryAction::Abort,
];

/// Whether two actions have the same observable result for this outcome.
fn are_indistinguishable(
    kind: RequestKind,
    outcome: AttemptOutcome,
    one: RetryAction,
    other: RetryAction,
) -> bool {
    let observed = |action, has_budget| {
        expected_observation(kind, outcome, RetryDecision { action, ..decide(kind, outcome) }, has_budget)
    };
    observed(one, true) == observed(other, true) && observed(one, false) == observed(other, false)
}

#[rstest]
fn each_attempt_ends_as_the_retry_table_says(
    #[values(RequestKind::Safe, RequestKind::Unsafe, RequestKind::Stream, RequestKind::ResumableStream)]
    kind: RequestKind,
) {
    let cells = observe_all(kind);
    assert_eq!(cells.len(), AttemptOutcome::ALL.len(), "each cell is produced");
    assert_eq!(mismatches(&cells, decide), Vec::<String>::new());
    let mut detected_mutations = 0;
    for outcome in AttemptOutcome::ALL {
        let correct = decide(kind, outcome);
        for action in ALL_ACTIONS
            .into_iter()
            .filter(|action| !are_indistinguishable(kind, outcome, correct.action, *action))
        {
            let mutated = |kind, at| {
                if at == outcome { RetryDecision { action, ..correct } } else { decide(kind, at) }
            };
            assert_eq!(mismatches(&cells, mutated).len(), 1, "{kind:?} {outcome:?} {action:?}");
            detected_mutations += 1;
        }
    }
    println!("{kind:?}: {} cells, {detected_mutations} mutations detected", cells.len());
}

// ---- guarantees of the table ------------------------------------------------------------------------------

/// The guarantee of the protocol that a cell violates, if any.
fn violated_guarantee(
    kind: RequestKind,
    outcome: AttemptOutcome,
    decision: RetryDecision,
) -> Option<&'static str> {
    let may_have_run = decision.execution != Execution::NotRun;
    let is_retried =
        matches!(decision.action, RetryAction::Retry | RetryAction::RetryOrForward | RetryAction::Resume);
    let verdict = outcome.verdict();
    let balancer_assumes_not_run =
        matches!(verdict, Verdict::Full | Verdict::NoConnection | Verdict::NotSent);
    if is_retried && may_have_run && !kind.is_idempotent() {
        return Some("a request that may have run and is not idempotent is retried");
    }
    if decision.action == RetryAction::Resume && kind != RequestKind::ResumableStream {
        return Some("a stream that must not be resumed is resumed");
    }
    if balancer_assumes_not_run && may_have_run {
        return Some("the load balancer treats a request that may have run as one that has not run");
    }
    if decision.action == RetryAction::Forward && matches!(replica_status(outcome), "503" | "421" | "none")
    {
        return Some("a refusal or no response is forwarded");
    }
    None
}

#[test]
fn no_cell_breaks_a_guarantee_of_the_protocol() {
    for kind in RequestKind::ALL {
        for outcome in AttemptOutcome::ALL {
            assert_eq!(
                violated_guarantee(kind, outcome, decide(kind, outcome)),
                None,
                "{kind:?} {outcome:?}"
            );
        }
    }
}

#[rstest]
#[case(RequestKind::Unsafe, AttemptOutcome::BrokenBeforeResponse, RetryAction::Retry)]
#[case(RequestKind::Unsafe, AttemptOutcome::BrokenInRequestBody, RetryAction::Retry)]
#[case(RequestKind::Stream, AttemptOutcome::TruncatedResponse, RetryAction::Resume)]
#[case(RequestKind::Safe, AttemptOutcome::TruncatedResponse, RetryAction::Resume)]
#[case(RequestKind::Unsafe, AttemptOutcome::UnconfirmedRefusal, RetryAction::Forward)]
fn a_table_that_breaks_a_guarantee_is_detected(
    #[case] kind: RequestKind,
    #[case] outcome: AttemptOutcome,
    #[case] action: RetryAction,
) {
    assert!(violated_guarantee(kind, outcome, RetryDecision { action, ..decide(kind, outcome) }).is_some());
}

#[test]
fn a_refusal_needs_a_request_that_has_not_run_or_is_idempotent() {
    for kind in RequestKind::ALL {
        for execution in [Execution::NotRun, Execution::MayHaveRun, Execution::HasRun] {
            for [is_past_deadline, is_abandoned] in
                [[false, false], [false, true], [true, false], [true, true]]
            {
                let response = final_status(kind, execution, is_past_deadline, is_abandoned);
                let may_refuse = execution == Execution::NotRun || kind.is_idempotent();
                assert!(
                    response != FinalStatus::ServiceUnavailable || may_refuse,
                    "{kind:?} {execution:?}"
                );
                assert_eq!(may_retry(kind, execution), may_refuse);
            }
        }
    }
}
