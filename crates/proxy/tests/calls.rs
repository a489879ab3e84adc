//! Every cell of the retry table, brought about with a real proxy and scripted replicas: each kind of request with each
//! outcome of an attempt, once with a retry budget and once without.

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use socket2::{Domain, Socket, Type};
use support::{Bench, LAST, Part, TestClient, answer, header, ok, post, post_long, status, stream_head};
use tulipridge_load_balancer::types::Verdict;
use tulipridge_proxy::replica::outcome::{AttemptOutcome, Execution};
use tulipridge_proxy::replica::request_kind::RequestKind;
use tulipridge_proxy::replica::retry::{
    FinalStatus, RetryAction, RetryDecision, decide, final_status, may_retry,
};

/// Bytes of a head that no connection takes at once.
const LONG_HEAD: usize = 512 << 10;
/// A term for the change to new weights of which little is left after a withdrawal.
const REVISION_MS: u64 = 600;

/// What can be seen of a request from outside.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Seen {
    /// The status that the client got.
    status: String,
    /// The response came to its end.
    is_complete: bool,
    /// The response had `Retry-After`.
    has_retry_after: bool,
    /// Requests whose head a replica has read.
    arrivals: usize,
}

/// What was seen with a budget of repeated sends and without.
type Pair = [Seen; 2];
type Cells = BTreeMap<(RequestKind, AttemptOutcome), Pair>;

fn path(kind: RequestKind) -> &'static str {
    match kind {
        RequestKind::Safe => "/harmless/",
        RequestKind::Unsafe => "/risky/",
        RequestKind::Stream => "/stream/",
        RequestKind::ResumableStream => "/resumable/",
    }
}

fn write(text: impl Into<String>) -> Part {
    Part::Write(text.into())
}

/// How an event is brought about.
enum Scenario {
    /// The replica does this for the request, which comes with a short body.
    Script(Vec<Part>),
    /// The same for a request with a long body.
    LongBody(Vec<Part>),
    /// The same for a request with a long head.
    LongHead(Vec<Part>),
    /// The first replica's address takes no connection.
    DeadAddress(Unreachable),
    /// The process may have one connection to a replica, and another request has it.
    NoDescriptor,
    /// The replica is silent, and its weights are withdrawn.
    Withdrawn,
}

#[derive(Clone, Copy)]
enum Unreachable {
    Refuses,
    IsSilent,
}

fn scenario(event: AttemptOutcome) -> Scenario {
    let script = |parts: &[Part]| Scenario::Script(parts.to_vec());
    let replies = |line: &str, headers: &str| Scenario::Script(vec![write(answer(line, headers, "no"))]);
    match event {
        AttemptOutcome::ConnectRefused => Scenario::DeadAddress(Unreachable::Refuses),
        AttemptOutcome::ConnectTimedOut => Scenario::DeadAddress(Unreachable::IsSilent),
        AttemptOutcome::OutOfDescriptors => Scenario::NoDescriptor,
        AttemptOutcome::BrokenInRequestHead => Scenario::LongHead(vec![Part::BeforeHead, Part::Reset]),
        AttemptOutcome::BrokenInRequestBody => Scenario::LongBody(vec![Part::BeforeBody, Part::Reset]),
        AttemptOutcome::BrokenBeforeResponse => script(&[Part::Reset]),
        AttemptOutcome::BrokenInResponse => script(&[write(stream_head()), Part::Close]),
        AttemptOutcome::TruncatedResponse => {
            script(&[write(stream_head() + &support::event(1)), Part::Close])
        }
        AttemptOutcome::ResponseTimeout => script(&[Part::Wait]),
        AttemptOutcome::WeightsExpired => Scenario::Withdrawn,
        AttemptOutcome::InvalidResponse => script(&[write("SSH-2.0-server\r\n\r\n")]),
        AttemptOutcome::OnlyStaleResponses => {
            script(&[write(ok("late").replace("{id}", "t0")), Part::Close])
        }
        AttemptOutcome::Unsealed => script(&[write(ok("x").replace("Server-Seal", "Other-Seal"))]),
        AttemptOutcome::Encoded => replies("200 OK", "Content-Encoding: gzip\r\n"),
        AttemptOutcome::WrongReplica => replies("421 Misdirected Request", "Server-Id: i-9\r\n"),
        AttemptOutcome::WrongRevision => replies("421 Misdirected Request", ""),
        AttemptOutcome::NotRun => replies("503 Service Unavailable", "Not-Run: 1\r\n"),
        AttemptOutcome::Rejected => replies("400 Bad Request", "Not-Run: 1\r\n"),
        AttemptOutcome::UnconfirmedRefusal => replies("503 Service Unavailable", "Retry-After: 1\r\n"),
        AttemptOutcome::ServerError => replies("500 Internal Server Error", ""),
        AttemptOutcome::OtherError => replies("404 Not Found", ""),
        AttemptOutcome::Success => script(&[write(ok("served"))]),
    }
}

/// The status of the replica's own response, where the outcome has one.
fn replica_status(event: AttemptOutcome) -> &'static str {
    match event {
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

/// Replicas that have read the request's head when the event has come about.
fn arrivals(event: AttemptOutcome) -> usize {
    match event {
        AttemptOutcome::ConnectRefused
        | AttemptOutcome::ConnectTimedOut
        | AttemptOutcome::OutOfDescriptors
        | AttemptOutcome::BrokenInRequestHead => 0,
        _ => 1,
    }
}

/// Whether the request was counted as sent when the event has come about: only a further send needs a token.
fn was_sent(event: AttemptOutcome) -> bool {
    !matches!(
        event,
        AttemptOutcome::ConnectRefused | AttemptOutcome::ConnectTimedOut | AttemptOutcome::OutOfDescriptors
    )
}

// ---- what the table says will be seen ---------------------------------------------------------------------

fn refused_or_failed(kind: RequestKind, event: AttemptOutcome, has_given_up: bool) -> Seen {
    let is_late = event == AttemptOutcome::ResponseTimeout;
    let answer = final_status(kind, event.execution(), is_late, has_given_up);
    let status = match answer {
        FinalStatus::ServiceUnavailable => "503",
        FinalStatus::BadGateway => "502",
        FinalStatus::GatewayTimeout => "504",
    };
    let has_retry_after = answer == FinalStatus::ServiceUnavailable;
    Seen { status: status.to_owned(), is_complete: true, has_retry_after, arrivals: arrivals(event) }
}

fn expected(kind: RequestKind, event: AttemptOutcome, decision: RetryDecision, has_budget: bool) -> Seen {
    let arrivals = arrivals(event);
    let replicas = |is_complete| Seen {
        status: replica_status(event).to_owned(),
        is_complete,
        has_retry_after: false,
        arrivals,
    };
    let served = Seen {
        status: "200".to_owned(),
        is_complete: true,
        has_retry_after: false,
        arrivals: arrivals + 1,
    };
    let is_sent_again = has_budget || !was_sent(event);
    match decision.action {
        // Nobody has a connection for it.
        RetryAction::Retry if event == AttemptOutcome::OutOfDescriptors => {
            refused_or_failed(kind, event, true)
        }
        RetryAction::Retry | RetryAction::RetryOrForward | RetryAction::Resume if is_sent_again => served,
        RetryAction::Retry => refused_or_failed(kind, event, true),
        RetryAction::RetryOrForward | RetryAction::Forward => replicas(true),
        RetryAction::Resume | RetryAction::Abort => replicas(false),
        RetryAction::Fail => refused_or_failed(kind, event, false),
    }
}

// ---- what is seen -----------------------------------------------------------------------------------------

fn request(kind: RequestKind, scenario: &Scenario) -> String {
    match scenario {
        Scenario::LongBody(_) => post_long(path(kind), "t1"),
        Scenario::LongHead(_) => {
            let line = format!("X-Long: {}\r\n", "x".repeat(LONG_HEAD));
            support::post_with(path(kind), "t1", &line)
        }
        Scenario::Withdrawn => support::post_with(path(kind), "t1", "Llm: m\r\n"),
        _ => post(path(kind), "t1"),
    }
}

fn observe(kind: RequestKind, event: AttemptOutcome, has_budget: bool) -> Seen {
    let scenario = scenario(event);
    let (ratio, spare) = if has_budget { (2.0, 100) } else { (0.0, 0) };
    let bench = match scenario {
        Scenario::NoDescriptor => Bench::with_file_handles(2, 0),
        Scenario::Withdrawn => Bench::with_revision_term(2, REVISION_MS, (ratio, spare)),
        _ => Bench::with_budget(2, ratio, spare),
    };
    let mut request = request(kind, &scenario);
    if event == AttemptOutcome::ResponseTimeout {
        request = request.replace("Time-Left-Ms: 6000", "Time-Left-Ms: 300");
    }
    let mut configuration = support::configuration();
    configuration.caps.head_bytes = 2 * LONG_HEAD as u64;
    bench.proxy.set_configuration(configuration.into());
    let answer = match &scenario {
        Scenario::Script(parts) | Scenario::LongBody(parts) | Scenario::LongHead(parts) => {
            bench.next(parts);
            if event == AttemptOutcome::TruncatedResponse {
                bench.next(&[write(stream_head() + &support::event(2) + LAST)]);
            }
            bench.run(bench.send_request(&request))
        }
        Scenario::DeadAddress(kind) => request_to_dead_address(&bench, &request, *kind),
        Scenario::NoDescriptor => request_without_descriptor(&bench, &request),
        Scenario::Withdrawn => request_on_withdrawn_weights(&bench, &request),
    };
    let held = if event == AttemptOutcome::OutOfDescriptors { 1 } else { 0 };
    Seen {
        status: status(&answer).to_owned(),
        is_complete: !answer.ends_with("(cut)"),
        has_retry_after: header(&answer, "Retry-After").is_some(),
        arrivals: bench.arrivals() - held,
    }
}

/// Asks while the only replica known is at an address that takes no connection; the other one becomes known then.
fn request_to_dead_address(bench: &Bench, request: &str, unreachable: Unreachable) -> String {
    let silent = SilentAddress::new();
    let address = match unreachable {
        Unreachable::Refuses => "127.0.0.1:1".to_owned(),
        Unreachable::IsSilent => silent.address.to_string(),
    };
    bench.set_fleet(|lines| {
        lines.truncate(1);
        lines[0].address.clone_from(&address);
    });
    bench.run(async {
        let mut client = bench.connect().await;
        client.send(request).await;
        bench.until(|| bench.proxy.counters.connects.get() == 1).await;
        bench.set_fleet(|lines| lines[0].address.clone_from(&address));
        client.answer().await
    })
}

fn request_without_descriptor(bench: &Bench, request: &str) -> String {
    bench.next(&[Part::Wait]);
    bench.run(async {
        let mut holder: TestClient = bench.connect().await;
        holder.send(&post("/risky/", "t0")).await;
        bench.until(|| bench.arrivals() == 1).await;
        bench.send_request(request).await
    })
}

fn request_on_withdrawn_weights(bench: &Bench, request: &str) -> String {
    bench.next(&[Part::Wait]);
    bench.run(async {
        let mut client = bench.connect().await;
        client.send(request).await;
        bench.until(|| bench.arrivals() == 1).await;
        bench.withdraw_at_busy(5);
        client.answer().await
    })
}

/// An address that answers no attempt to connect, since its queue of connections is full.
struct SilentAddress {
    address: SocketAddr,
    _listener: Socket,
    _waiting: Vec<Socket>,
}

impl SilentAddress {
    fn new() -> SilentAddress {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
        listener.listen(0).expect("it listens");
        let address =
            listener.local_addr().ok().and_then(|address| address.as_socket()).expect("an address");
        let connect = || {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
            socket.set_nonblocking(true).expect("a socket that does not block");
            // It is on its way, or waits for ever.
            let _ = socket.connect(&address.into());
            socket
        };
        let waiting = (0..4).map(|_| connect()).collect();
        std::thread::sleep(Duration::from_millis(20));
        SilentAddress { address, _listener: listener, _waiting: waiting }
    }
}

fn observe_all(kind: RequestKind) -> Cells {
    let pair = |event| [observe(kind, event, true), observe(kind, event, false)];
    AttemptOutcome::ALL.into_iter().map(|event| ((kind, event), pair(event))).collect()
}

/// The cells in which something else was seen than the table says.
fn mismatches(cells: &Cells, table: impl Fn(RequestKind, AttemptOutcome) -> RetryDecision) -> Vec<String> {
    let check = |(&(kind, event), seen): (&(RequestKind, AttemptOutcome), &Pair)| {
        let decision = table(kind, event);
        let due = [expected(kind, event, decision, true), expected(kind, event, decision, false)];
        (due != *seen).then(|| format!("{kind:?} {event:?}\n  due  {due:?}\n  seen {seen:?}"))
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

/// Two decisions that nobody outside can tell apart for this event.
fn look_alike(kind: RequestKind, event: AttemptOutcome, one: RetryAction, other: RetryAction) -> bool {
    let seen = |action, has_budget| {
        expected(kind, event, RetryDecision { action, ..decide(kind, event) }, has_budget)
    };
    seen(one, true) == seen(other, true) && seen(one, false) == seen(other, false)
}

#[rstest]
fn each_attempt_ends_as_the_retry_table_says(
    #[values(RequestKind::Safe, RequestKind::Unsafe, RequestKind::Stream, RequestKind::ResumableStream)]
    kind: RequestKind,
) {
    let cells = observe_all(kind);
    assert_eq!(cells.len(), AttemptOutcome::ALL.len(), "each cell is brought about");
    assert_eq!(mismatches(&cells, decide), Vec::<String>::new());
    let mut seen_mutations = 0;
    for event in AttemptOutcome::ALL {
        let right = decide(kind, event);
        for action in
            ALL_ACTIONS.into_iter().filter(|action| !look_alike(kind, event, right.action, *action))
        {
            let mutated =
                |kind, at| if at == event { RetryDecision { action, ..right } } else { decide(kind, at) };
            assert_eq!(mismatches(&cells, mutated).len(), 1, "{kind:?} {event:?} {action:?}");
            seen_mutations += 1;
        }
    }
    println!("{kind:?}: {} cells, {seen_mutations} mutations seen", cells.len());
}

// ---- what holds of the table itself -----------------------------------------------------------------------

/// What a cell of a table breaks.
fn breach(kind: RequestKind, event: AttemptOutcome, decision: RetryDecision) -> Option<&'static str> {
    let may_have_run = decision.execution != Execution::NotRun;
    let is_sent_again =
        matches!(decision.action, RetryAction::Retry | RetryAction::RetryOrForward | RetryAction::Resume);
    let says_so = event.verdict();
    let module_thinks_not_run = matches!(says_so, Verdict::Full | Verdict::NoConnection | Verdict::NotSent);
    if is_sent_again && may_have_run && !kind.is_repeatable() {
        return Some("what may have run and must not be repeated is sent again");
    }
    if decision.action == RetryAction::Resume && kind != RequestKind::ResumableStream {
        return Some("a stream that may not be resumed is");
    }
    if module_thinks_not_run && may_have_run {
        return Some("the decision module takes what may have run for what has not");
    }
    if decision.action == RetryAction::Forward && matches!(replica_status(event), "503" | "421" | "none") {
        return Some("a promise or nothing is passed on");
    }
    None
}

#[test]
fn no_cell_breaks_a_guarantee_of_the_protocol() {
    for kind in RequestKind::ALL {
        for event in AttemptOutcome::ALL {
            assert_eq!(breach(kind, event, decide(kind, event)), None, "{kind:?} {event:?}");
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
    #[case] event: AttemptOutcome,
    #[case] action: RetryAction,
) {
    assert!(breach(kind, event, RetryDecision { action, ..decide(kind, event) }).is_some());
}

#[test]
fn a_refusal_needs_a_request_that_has_not_run_or_is_idempotent() {
    for kind in RequestKind::ALL {
        for execution in [Execution::NotRun, Execution::MayHaveRun, Execution::HasRun] {
            for [is_late, has_given_up] in [[false, false], [false, true], [true, false], [true, true]] {
                let answer = final_status(kind, execution, is_late, has_given_up);
                let may_promise = execution == Execution::NotRun || kind.is_repeatable();
                assert!(answer != FinalStatus::ServiceUnavailable || may_promise, "{kind:?} {execution:?}");
                assert_eq!(may_retry(kind, execution), may_promise);
            }
        }
    }
}
