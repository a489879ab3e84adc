//! Reuse of a connection to a replica in each state that a complete response may leave it in.

mod support;

use rstest::rstest;
use support::{Harness, Step, ok, post, post_with_long_body, response, status};
use tulipridge_proxy::replica::connection_state::ConnectionState;

fn write(text: impl Into<String>) -> Step {
    Step::Write(text.into())
}

fn without_id(message: &str) -> String {
    message.lines().filter(|line| !line.starts_with("Attempt-Id")).collect::<Vec<_>>().join("\r\n")
}

/// A request and the replica's steps that leave the connection in this state.
fn exchange(state: ConnectionState, path: &str) -> (String, Vec<Step>) {
    let unframed = ok("").replace("Content-Length: 0\r\n", "");
    match state {
        ConnectionState::Clean => (post(path, "t1"), vec![write(ok("one"))]),
        ConnectionState::SurplusBytes => (post(path, "t1"), vec![write(ok("one") + "noise")]),
        ConnectionState::StaleResponse => {
            (post(path, "t1"), vec![write(ok("late").replace("{id}", "t0") + &ok("one"))])
        }
        ConnectionState::RequestIncomplete => (
            post_with_long_body(path, "t1"),
            vec![Step::AwaitHead, write(ok("one")), Step::Wait, Step::ReadBody],
        ),
        ConnectionState::ClosedByReplica => {
            (post(path, "t1"), vec![write(response("200 OK", "Connection: close\r\n", "one"))])
        }
        ConnectionState::DelimitedByClose => (post(path, "t1"), vec![write(unframed + "one"), Step::Close]),
        ConnectionState::NoAttemptId => {
            (without_id(&post(path, "t1")), vec![write(without_id(&ok("one")))])
        }
        ConnectionState::HeadRequest => (post(path, "t1").replace("POST", "HEAD"), vec![write(ok(""))]),
    }
}

/// The number of connections used by two consecutive requests, the first of which leaves its connection in this state;
/// `None` if either request failed.
fn connections(state: ConnectionState, path: &str) -> Option<usize> {
    let harness = Harness::start(1);
    let (request, steps) = exchange(state, path);
    harness.script_next_request(&steps);
    let [first, second] = harness.run(async {
        let first = harness.send_request(&request).await;
        support::settle().await;
        [first, harness.send_request(&post(path, "t2")).await]
    });
    let is_ok = status(&first) == "200" && second.ends_with("served") && harness.arrivals() == 2;
    is_ok.then(|| harness.replicas[0].connections.get())
}

fn is_consistent(is_reusable: bool, connections: usize) -> bool {
    connections == if is_reusable { 1 } else { 2 }
}

#[rstest]
fn a_connection_is_reused_only_if_its_state_allows_it(
    #[values("/harmless/", "/risky/", "/stream/", "/resumable/")] path: &str,
) {
    for state in ConnectionState::ALL {
        let connections =
            connections(state, path).unwrap_or_else(|| panic!("{state:?}: an exchange failed"));
        assert!(is_consistent(state.is_reusable(), connections), "{state:?}: {connections} connections");
        // The opposite entry would be detected.
        assert!(!is_consistent(!state.is_reusable(), connections), "{state:?}");
    }
}

#[test]
fn a_stale_response_before_a_head_response_keeps_its_own_body() {
    let harness = Harness::start(1);
    let due = ok("").replace("Content-Length: 0", "Content-Length: 9");
    harness.script_next_request(&[write(ok("HTTP/1.1 ").replace("{id}", "t0") + &due)]);
    let response = harness.run(async {
        let mut client = harness.connect().await;
        client.send(&post("/risky/", "t1").replace("POST", "HEAD")).await;
        client.wait_for("Content-Length: 9").await;
        harness.wait_until(|| harness.proxy.counters.completed.get() == 1).await;
        harness.arrivals()
    });
    assert_eq!(response, 1);
}

// ---- activity on an idle connection -----------------------------------------------------------------------

/// What a replica does with an idle connection between two requests.
#[derive(Clone, Copy, Debug)]
enum WhileIdle {
    Nothing,
    Closes,
    Resets,
    SendsInvalidBytes,
    SendsLateResponse,
}

const WHILE_IDLE: [WhileIdle; 5] = [
    WhileIdle::Nothing,
    WhileIdle::Closes,
    WhileIdle::Resets,
    WhileIdle::SendsInvalidBytes,
    WhileIdle::SendsLateResponse,
];

fn idle_steps(event: WhileIdle) -> Vec<Step> {
    let mut steps = vec![write(ok("one")), Step::Wait];
    match event {
        WhileIdle::Nothing => {}
        WhileIdle::Closes => steps.push(Step::Close),
        WhileIdle::Resets => steps.push(Step::Reset),
        WhileIdle::SendsInvalidBytes => steps.push(write("noise")),
        WhileIdle::SendsLateResponse => steps.push(write(ok("late"))),
    }
    steps
}

#[rstest]
fn a_connection_with_activity_while_idle_is_not_reused(
    #[values("/harmless/", "/risky/", "/stream/", "/resumable/")] path: &str,
) {
    for event in WHILE_IDLE {
        let harness = Harness::start(1);
        harness.script_next_request(&idle_steps(event));
        let response = harness.run(async {
            harness.send_request(&post(path, "t1")).await;
            harness.release();
            support::settle().await;
            harness.send_request(&post(path, "t2")).await
        });
        assert!(response.ends_with("served"), "{event:?}: {response}");
        let is_used_again = matches!(event, WhileIdle::Nothing);
        let connections = if is_used_again { 1 } else { 2 };
        assert_eq!(
            (harness.replicas[0].connections.get(), harness.arrivals()),
            (connections, 2),
            "{event:?}"
        );
    }
}

/// A connection that the replica closed before it read the request looks the same as one that it closed while it
/// processed the request. There is no other replica, so an idempotent request is refused.
#[rstest]
#[case("/risky/", "502")]
#[case("/stream/", "502")]
#[case("/harmless/", "503")]
#[case("/resumable/", "503")]
fn a_reused_connection_that_closes_may_have_run_the_request(
    #[case] path: &str,
    #[case] expected: &str,
    #[values(Step::Close, Step::Reset)] end: Step,
) {
    let harness = Harness::start(1);
    harness.script_next_request(&[write(ok("one"))]);
    harness.script_next_request(&[end]);
    let response = harness.run(async {
        harness.send_request(&post(path, "t1")).await;
        support::settle().await;
        harness.send_request(&post(path, "t2")).await
    });
    assert_eq!((status(&response), harness.arrivals()), (expected, 2));
}

#[test]
fn a_connection_is_not_reused_for_a_new_replica_id() {
    let harness = Harness::start(1);
    harness.run(async {
        harness.send_request(&post("/risky/", "t1")).await;
        support::settle().await;
        harness.set_fleet(|entries| entries[0].id = "i-9".to_owned());
        harness.send_request(&post("/risky/", "t2")).await;
    });
    assert_eq!((harness.replicas[0].connections.get(), harness.arrivals()), (2, 2));
    let requests = harness.replicas[0].requests.borrow();
    let meant: Vec<_> = requests.iter().map(|request| support::header(request, "Meant-Server")).collect();
    assert_eq!(meant, [Some("i-0".to_owned()), Some("i-9".to_owned())]);
}
