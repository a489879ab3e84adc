//! Concurrent changes with the same base revision, and retries of changes whose response was lost.

mod support;

use std::thread;
use std::time::Duration;

use support::{CHANGE_TIMEOUT, start};
use tulipridge_fault_injection::deployment::{Deployment, Topology};
use tulipridge_fault_injection::network::{Direction, LinkState};
use tulipridge_fault_injection::operator::{
    Change, ChangeResponse, OperatorClient, marker_of, revision_of,
};
use tulipridge_fault_injection::wait::{wait_for, wait_until};

/// Number of rounds in which two operators send changes with the same base revision.
const ROUNDS: u64 = 12;
/// Round in which the primary is killed during the changes.
const ROUND_WITH_KILL: u64 = 8;
/// Timeout of an attempt whose response is lost.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(300);
/// Numbers of bytes of a response after which the connection is reset.
const RESPONSE_RESET_OFFSETS: [u64; 6] = [0, 1, 12, 60, 110, 200];

/// Numbers of bytes of a request after which the connection is reset.
const REQUEST_RESET_OFFSETS: [u64; 6] = [0, 1, 40, 150, 400, 4_000];

/// Model whose weights revision is changed.
const MODEL: &str = "m";
/// Status of an accepted weights revision.
const OK: u16 = 200;
/// Status of a rejected weights revision.
const BAD_REQUEST: u16 = 400;

fn send(operator: &OperatorClient, change: &Change) -> ChangeResponse {
    operator.send(change, CHANGE_TIMEOUT).expect("a decision")
}

/// Sends two changes concurrently and returns their responses.
fn send_both(operators: &[OperatorClient; 2], changes: &[Change; 2]) -> [ChangeResponse; 2] {
    thread::scope(|scope| {
        let first = scope.spawn(|| send(&operators[0], &changes[0]));
        let second = scope.spawn(|| send(&operators[1], &changes[1]));
        [first.join().expect("a response"), second.join().expect("a response")]
    })
}

fn assert_one_is_applied(
    deployment: &Deployment,
    responses: &[ChangeResponse; 2],
    changes: &[Change; 2],
    markers: [u64; 2],
) {
    let applied: Vec<usize> = (0..2).filter(|index| responses[*index] == ChangeResponse::Applied).collect();
    let [index] = applied[..] else { panic!("{responses:?}") };
    assert_eq!(responses[1 - index], ChangeResponse::Stale { current: changes[0].revision });
    let configuration = deployment.operator().configuration(CHANGE_TIMEOUT).expect("a response");
    assert_eq!(marker_of(&configuration, "contested"), Some(markers[index]));
    assert_eq!(revision_of(&configuration), changes[0].revision);
}

#[test]
fn one_of_two_concurrent_changes_on_a_base_revision_is_applied() {
    let mut deployment = start(Topology { edges: 0, ..Topology::default() });
    for round in 1..=ROUNDS {
        let markers = [2 * round, 2 * round + 1];
        let changes = markers.map(|marker| Change::upsert_route(round, "contested", marker));
        let first = deployment.operator_for(|index| index == 0 || index == 2);
        let second = deployment.operator_for(|index| index == 1 || index == 2);
        let responses = thread::scope(|scope| {
            let responses = scope.spawn(|| send_both(&[first, second], &changes));
            if round == ROUND_WITH_KILL {
                let primary = deployment.wait_for_primary().expect("a primary");
                deployment.members[primary].process.kill();
            }
            responses.join().expect("responses")
        });
        assert_one_is_applied(&deployment, &responses, &changes, markers);
    }
}

/// The connection is reset during the response to each change, and the change is retried at each member.
#[test]
fn a_retry_is_acknowledged_by_any_member_and_after_a_takeover() {
    let mut deployment = start(Topology { edges: 0, ..Topology::default() });
    let mut changes = Vec::new();
    for (bytes, base_revision) in RESPONSE_RESET_OFFSETS.into_iter().zip(1..) {
        let primary = deployment.wait_for_primary().expect("a primary");
        let member = deployment.members[primary].machine.id;
        let response_direction = Direction { from: member, to: deployment.operator_machine.id };
        deployment.network.set_after(response_direction, bytes, LinkState::Reset);
        let change = Change::upsert_route(base_revision, &format!("r-{base_revision}"), base_revision);
        let operator = deployment.operator().with_attempt_timeout(ATTEMPT_TIMEOUT);
        let lost = operator.send_once(deployment.operator_socket(primary), &change);
        deployment.network.set(response_direction, LinkState::Open);
        assert!(matches!(lost, ChangeResponse::Undecided { .. } | ChangeResponse::Applied), "{lost:?}");
        for member in 0..deployment.members.len() {
            let only = deployment.operator_for(|index| index == member);
            assert_eq!(send(&only, &change), ChangeResponse::Applied, "a retry at member {member}");
        }
        changes.push(change);
    }
    let primary = deployment.wait_for_primary().expect("a primary");
    deployment.members[primary].process.kill();
    for change in &changes {
        assert_eq!(send(&deployment.operator(), change), ChangeResponse::Applied, "after a takeover");
    }
    let configuration = deployment.operator().configuration(CHANGE_TIMEOUT).expect("a response");
    assert_eq!(revision_of(&configuration), changes.last().expect("a change").revision);
}

/// The connection is reset after part of the request or all of it; then the change is retried.
#[test]
fn a_change_whose_request_was_interrupted_is_applied_once() {
    let deployment = start(Topology { edges: 0, ..Topology::default() });
    let operator = deployment.operator().with_attempt_timeout(ATTEMPT_TIMEOUT);
    for (bytes, base_revision) in REQUEST_RESET_OFFSETS.into_iter().zip(1..) {
        let primary = deployment.wait_for_primary().expect("a primary");
        let member = deployment.members[primary].machine.id;
        let request_direction = Direction { from: deployment.operator_machine.id, to: member };
        deployment.network.set_after(request_direction, bytes, LinkState::Reset);
        let change = Change::upsert_route(base_revision, "interrupted", base_revision);
        let first = operator.send_once(deployment.operator_socket(primary), &change);
        deployment.network.set(request_direction, LinkState::Open);
        assert!(matches!(first, ChangeResponse::Undecided { .. } | ChangeResponse::Applied), "{first:?}");
        assert_eq!(send(&deployment.operator(), &change), ChangeResponse::Applied);
        let conflicting = Change::upsert_route(base_revision, "interrupted", base_revision + 1_000);
        assert_eq!(
            send(&deployment.operator(), &conflicting),
            ChangeResponse::Stale { current: change.revision }
        );
    }
}

/// The response is lost; retries at any member and after a takeover are acknowledged, and older weights are rejected.
#[test]
fn a_retried_weights_revision_is_acknowledged_again() {
    let mut deployment = start(Topology { edges: 0, ..Topology::default() });
    let primary = deployment.wait_for_primary().expect("a primary");
    let response_direction =
        Direction { from: deployment.members[primary].machine.id, to: deployment.operator_machine.id };
    let operator = deployment.operator().with_attempt_timeout(ATTEMPT_TIMEOUT);
    deployment.network.set_after(response_direction, 0, LinkState::Reset);
    let lost = operator.set_weights_revision(deployment.operator_socket(primary), MODEL, 2);
    assert_eq!(lost, None, "the response is lost");
    deployment.network.set(response_direction, LinkState::Open);
    for member in 0..deployment.members.len() {
        assert_eq!(set_weights_until_decided(&deployment, member, 2), OK);
    }
    deployment.members[primary].process.kill();
    let successor = (0..3).find(|member| *member != primary).expect("another member");
    assert_eq!(set_weights_until_decided(&deployment, successor, 2), OK);
    assert_eq!(set_weights_until_decided(&deployment, successor, 1), BAD_REQUEST);
    let is_set = || {
        let status = deployment.status(successor);
        status.is_some_and(|status| status.weights.get(MODEL) == Some(&2))
    };
    wait_until("the weights are set", CHANGE_TIMEOUT, is_set).expect("the weights in the member's status");
}

/// Repeats the request until the status is a decision; a member that knows no primary responds with another status.
fn set_weights_until_decided(deployment: &Deployment, member: usize, revision: u64) -> u16 {
    let operator = deployment.operator().with_attempt_timeout(ATTEMPT_TIMEOUT);
    let address = deployment.operator_socket(member);
    wait_for("a decision on the weights", CHANGE_TIMEOUT, || {
        let status = operator.set_weights_revision(address, MODEL, revision);
        status.filter(|status| [OK, BAD_REQUEST].contains(status))
    })
    .expect("a response")
}
