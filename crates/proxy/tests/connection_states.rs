//! Whether a connection is reused in each state that a complete response may leave it in.

mod support;

use rstest::rstest;
use support::{Bench, Part, answer, ok, post, post_long, status};
use tulipridge_proxy::replica::connection_state::ConnectionState;

fn write(text: impl Into<String>) -> Part {
    Part::Write(text.into())
}

fn without_id(message: &str) -> String {
    message.lines().filter(|line| !line.starts_with("Attempt-Id")).collect::<Vec<_>>().join("\r\n")
}

/// A request, and what its replica does, after which the connection is in this state.
fn exchange(state: ConnectionState, path: &str) -> (String, Vec<Part>) {
    let unframed = ok("").replace("Content-Length: 0\r\n", "");
    match state {
        ConnectionState::Clean => (post(path, "t1"), vec![write(ok("one"))]),
        ConnectionState::SurplusBytes => (post(path, "t1"), vec![write(ok("one") + "noise")]),
        ConnectionState::StaleResponse => {
            (post(path, "t1"), vec![write(ok("late").replace("{id}", "t0") + &ok("one"))])
        }
        ConnectionState::RequestIncomplete => {
            (post_long(path, "t1"), vec![Part::BeforeBody, write(ok("one")), Part::Wait, Part::ReadBody])
        }
        ConnectionState::ClosedByReplica => {
            (post(path, "t1"), vec![write(answer("200 OK", "Connection: close\r\n", "one"))])
        }
        ConnectionState::DelimitedByClose => (post(path, "t1"), vec![write(unframed + "one"), Part::Close]),
        ConnectionState::NoAttemptId => {
            (without_id(&post(path, "t1")), vec![write(without_id(&ok("one")))])
        }
        ConnectionState::HeadRequest => (post(path, "t1").replace("POST", "HEAD"), vec![write(ok(""))]),
    }
}

/// Connections that two requests in turn took, of which the first left this state. `None` if either went wrong.
fn connections(state: ConnectionState, path: &str) -> Option<usize> {
    let bench = Bench::start(1);
    let (request, parts) = exchange(state, path);
    bench.next(&parts);
    let [first, second] = bench.run(async {
        let first = bench.send_request(&request).await;
        support::settle().await;
        [first, bench.send_request(&post(path, "t2")).await]
    });
    let is_good = status(&first) == "200" && second.ends_with("served") && bench.arrivals() == 2;
    is_good.then(|| bench.replicas[0].connections.get())
}

fn agrees(is_reusable: bool, connections: usize) -> bool {
    connections == if is_reusable { 1 } else { 2 }
}

#[rstest]
fn a_connection_is_used_again_only_if_no_byte_on_it_can_belong_to_another_request(
    #[values("/harmless/", "/risky/", "/stream/", "/resumable/")] path: &str,
) {
    for state in ConnectionState::ALL {
        let connections =
            connections(state, path).unwrap_or_else(|| panic!("{state:?}: an exchange failed"));
        assert!(agrees(state.is_reusable(), connections), "{state:?}: {connections} connections");
        // A table that said otherwise would be seen.
        assert!(!agrees(!state.is_reusable(), connections), "{state:?}");
    }
}

#[test]
fn a_stale_response_before_one_without_a_body_is_read_with_its_own_body() {
    let bench = Bench::start(1);
    let due = ok("").replace("Content-Length: 0", "Content-Length: 9");
    bench.next(&[write(ok("HTTP/1.1 ").replace("{id}", "t0") + &due)]);
    let answer = bench.run(async {
        let mut client = bench.connect().await;
        client.send(&post("/risky/", "t1").replace("POST", "HEAD")).await;
        client.wait_for("Content-Length: 9").await;
        bench.until(|| bench.proxy.counters.completed.get() == 1).await;
        bench.arrivals()
    });
    assert_eq!(answer, 1);
}

// ---- what comes while a connection lies idle --------------------------------------------------------------

/// What a replica does to a connection between two requests.
#[derive(Clone, Copy, Debug)]
enum WhileIdle {
    Nothing,
    Closes,
    Resets,
    SendsNoise,
    SendsLateAnswer,
}

const WHILE_IDLE: [WhileIdle; 5] = [
    WhileIdle::Nothing,
    WhileIdle::Closes,
    WhileIdle::Resets,
    WhileIdle::SendsNoise,
    WhileIdle::SendsLateAnswer,
];

fn idle_parts(event: WhileIdle) -> Vec<Part> {
    let mut parts = vec![write(ok("one")), Part::Wait];
    match event {
        WhileIdle::Nothing => {}
        WhileIdle::Closes => parts.push(Part::Close),
        WhileIdle::Resets => parts.push(Part::Reset),
        WhileIdle::SendsNoise => parts.push(write("noise")),
        WhileIdle::SendsLateAnswer => parts.push(write(ok("late"))),
    }
    parts
}

#[rstest]
fn a_connection_that_did_not_lie_still_is_not_used_again(
    #[values("/harmless/", "/risky/", "/stream/", "/resumable/")] path: &str,
) {
    for event in WHILE_IDLE {
        let bench = Bench::start(1);
        bench.next(&idle_parts(event));
        let answer = bench.run(async {
            bench.send_request(&post(path, "t1")).await;
            bench.release();
            support::settle().await;
            bench.send_request(&post(path, "t2")).await
        });
        assert!(answer.ends_with("served"), "{event:?}: {answer}");
        let is_used_again = matches!(event, WhileIdle::Nothing);
        let connections = if is_used_again { 1 } else { 2 };
        assert_eq!((bench.replicas[0].connections.get(), bench.arrivals()), (connections, 2), "{event:?}");
    }
}

/// Nothing tells a connection that its replica has closed unread from one that it closed in the middle of its work.
/// There is no other replica, so that what may be repeated is refused.
#[rstest]
#[case("/risky/", "502")]
#[case("/stream/", "502")]
#[case("/harmless/", "503")]
#[case("/resumable/", "503")]
fn an_old_connection_that_ends_under_a_request_proves_nothing(
    #[case] path: &str,
    #[case] expected: &str,
    #[values(Part::Close, Part::Reset)] end: Part,
) {
    let bench = Bench::start(1);
    bench.next(&[write(ok("one"))]);
    bench.next(&[end]);
    let answer = bench.run(async {
        bench.send_request(&post(path, "t1")).await;
        support::settle().await;
        bench.send_request(&post(path, "t2")).await
    });
    assert_eq!((status(&answer), bench.arrivals()), (expected, 2));
}

#[test]
fn a_connection_is_not_used_for_another_replica_at_the_same_address() {
    let bench = Bench::start(1);
    bench.run(async {
        bench.send_request(&post("/risky/", "t1")).await;
        support::settle().await;
        bench.set_fleet(|lines| lines[0].id = "i-9".to_owned());
        bench.send_request(&post("/risky/", "t2")).await;
    });
    assert_eq!((bench.replicas[0].connections.get(), bench.arrivals()), (2, 2));
    let requests = bench.replicas[0].requests.borrow();
    let meant: Vec<_> = requests.iter().map(|request| support::header(request, "Meant-Server")).collect();
    assert_eq!(meant, [Some("i-0".to_owned()), Some("i-9".to_owned())]);
}
