//! Two operators under one revision, and changes that are sent again after their answer was lost.

mod support;

use std::thread;
use std::time::Duration;

use support::{CHANGE_LIMIT, start};
use tulipridge_fault_injection::deployment::{Deployment, Plan};
use tulipridge_fault_injection::network::{Condition, Direction};
use tulipridge_fault_injection::operator::{Change, Operator, Reply, mark_of, revision_of};
use tulipridge_fault_injection::wait::{wait_for, wait_until};

/// Rounds in which two operators send under one revision.
const ROUNDS: u64 = 12;
/// The round in which the primary is killed meanwhile.
const ROUND_WITH_KILL: u64 = 8;
/// How long an operator waits for an answer that a cut has swallowed.
const TRY_TIMEOUT: Duration = Duration::from_millis(300);
/// Bytes of an answer or a call after which the connection is reset.
const CUTS: [u64; 6] = [0, 1, 12, 60, 110, 200];

/// The model whose weights are named.
const MODEL: &str = "m";
/// Statuses that decide on weights.
const OK: u16 = 200;
const REFUSED: u16 = 400;

fn send(operator: &Operator, change: &Change) -> Reply {
    operator.send(change, CHANGE_LIMIT).expect("it is decided")
}

/// Sends two changes at once and says how they were answered.
fn send_both(operators: &[Operator; 2], changes: &[Change; 2]) -> [Reply; 2] {
    thread::scope(|scope| {
        let first = scope.spawn(|| send(&operators[0], &changes[0]));
        let second = scope.spawn(|| send(&operators[1], &changes[1]));
        [first.join().expect("a reply"), second.join().expect("a reply")]
    })
}

fn assert_one_wins(deployment: &Deployment, replies: &[Reply; 2], changes: &[Change; 2], marks: [u64; 2]) {
    let winners: Vec<usize> = (0..2).filter(|index| replies[*index] == Reply::Taken).collect();
    let [winner] = winners[..] else { panic!("{replies:?}") };
    assert_eq!(replies[1 - winner], Reply::Stale { current: changes[0].revision });
    let configuration = deployment.operator().configuration(CHANGE_LIMIT).expect("an answer");
    assert_eq!(mark_of(&configuration, "contested"), Some(marks[winner]));
    assert_eq!(revision_of(&configuration), changes[0].revision);
}

#[test]
fn of_two_operators_under_one_revision_one_wins() {
    let mut deployment = start(Plan { edges: 0, ..Plan::default() });
    for round in 1..=ROUNDS {
        let marks = [2 * round, 2 * round + 1];
        let changes = marks.map(|mark| Change::upsert_route(round, "contested", mark));
        let first = deployment.operator_knowing(|index| index == 0 || index == 2);
        let second = deployment.operator_knowing(|index| index == 1 || index == 2);
        let replies = thread::scope(|scope| {
            let replies = scope.spawn(|| send_both(&[first, second], &changes));
            if round == ROUND_WITH_KILL {
                let primary = deployment.wait_for_primary().expect("a primary");
                deployment.members[primary].process.kill();
            }
            replies.join().expect("replies")
        });
        assert_one_wins(&deployment, &replies, &changes, marks);
    }
}

/// Resets the connection amid the answer to a change, and sends it again.
#[test]
fn a_change_whose_answer_was_lost_is_acknowledged_again_by_any_member_and_after_a_takeover() {
    let mut deployment = start(Plan { edges: 0, ..Plan::default() });
    let mut changes = Vec::new();
    for (bytes, base) in CUTS.into_iter().zip(1..) {
        let primary = deployment.wait_for_primary().expect("a primary");
        let member = deployment.members[primary].machine.id;
        let answers = Direction { from: member, to: deployment.operator_machine.id };
        deployment.network.set_after(answers, bytes, Condition::Reset);
        let change = Change::upsert_route(base, &format!("r-{base}"), base);
        let operator = deployment.operator().with_try_timeout(TRY_TIMEOUT);
        let lost = operator.send_once(deployment.operator_socket(primary), &change);
        deployment.network.set(answers, Condition::Open);
        assert!(matches!(lost, Reply::Undecided { .. } | Reply::Taken), "{lost:?}");
        for member in 0..deployment.members.len() {
            let only = deployment.operator_knowing(|index| index == member);
            assert_eq!(send(&only, &change), Reply::Taken, "sent again to member {member}");
        }
        changes.push(change);
    }
    let primary = deployment.wait_for_primary().expect("a primary");
    deployment.members[primary].process.kill();
    for change in &changes {
        assert_eq!(send(&deployment.operator(), change), Reply::Taken, "after a takeover");
    }
    let configuration = deployment.operator().configuration(CHANGE_LIMIT).expect("an answer");
    assert_eq!(revision_of(&configuration), changes.last().expect("a change").revision);
}

/// Resets the connection amid the change itself, which may or may not have come whole, and sends it again.
#[test]
fn a_change_that_was_cut_off_on_its_way_is_taken_once() {
    let deployment = start(Plan { edges: 0, ..Plan::default() });
    let operator = deployment.operator().with_try_timeout(TRY_TIMEOUT);
    for (bytes, base) in [0, 1, 40, 150, 400, 4_000].into_iter().zip(1..) {
        let primary = deployment.wait_for_primary().expect("a primary");
        let member = deployment.members[primary].machine.id;
        let calls = Direction { from: deployment.operator_machine.id, to: member };
        deployment.network.set_after(calls, bytes, Condition::Reset);
        let change = Change::upsert_route(base, "cut", base);
        let first = operator.send_once(deployment.operator_socket(primary), &change);
        deployment.network.set(calls, Condition::Open);
        assert!(matches!(first, Reply::Undecided { .. } | Reply::Taken), "{first:?}");
        assert_eq!(send(&deployment.operator(), &change), Reply::Taken);
        let rival = Change::upsert_route(base, "cut", base + 1_000);
        assert_eq!(send(&deployment.operator(), &rival), Reply::Stale { current: change.revision });
    }
}

/// Weights are named again after the answer was lost, at any member and after a takeover; older ones are refused.
#[test]
fn weights_that_are_named_again_are_acknowledged_again() {
    let mut deployment = start(Plan { edges: 0, ..Plan::default() });
    let primary = deployment.wait_for_primary().expect("a primary");
    let answers =
        Direction { from: deployment.members[primary].machine.id, to: deployment.operator_machine.id };
    let operator = deployment.operator().with_try_timeout(TRY_TIMEOUT);
    deployment.network.set_after(answers, 0, Condition::Reset);
    let lost = operator.name_weights(deployment.operator_socket(primary), MODEL, 2);
    assert_eq!(lost, None, "the answer is lost");
    deployment.network.set(answers, Condition::Open);
    for member in 0..deployment.members.len() {
        assert_eq!(name_until_answered(&deployment, member, 2), OK);
    }
    deployment.members[primary].process.kill();
    let successor = (0..3).find(|member| *member != primary).expect("another member");
    assert_eq!(name_until_answered(&deployment, successor, 2), OK);
    assert_eq!(name_until_answered(&deployment, successor, 1), REFUSED);
    let is_named = || {
        let status = deployment.status(successor);
        status.is_some_and(|status| status.weights.get(MODEL) == Some(&2))
    };
    wait_until("the weights are named", CHANGE_LIMIT, is_named).expect("they are");
}

/// The first answer that decides; a member that knows no primary is asked again.
fn name_until_answered(deployment: &Deployment, member: usize, revision: u64) -> u16 {
    let operator = deployment.operator().with_try_timeout(TRY_TIMEOUT);
    let address = deployment.operator_socket(member);
    wait_for("weights are decided on", CHANGE_LIMIT, || {
        let status = operator.name_weights(address, MODEL, revision);
        status.filter(|status| [OK, REFUSED].contains(status))
    })
    .expect("an answer")
}
