//! A member that was away for hundreds of changes catches up, and never leads with what it had.

mod support;

use rstest::rstest;
use support::{CHANGE_LIMIT, start, wait_for_route};
use tulipridge_fault_injection::deployment::{Deployment, Plan, SETTLE_LIMIT};
use tulipridge_fault_injection::operator::{Change, revision_of};
use tulipridge_fault_injection::wait::wait_until;

/// Changes that the member misses.
const MISSED: u64 = 300;

/// Sends changes one after the other; the newest revision.
fn apply_all(deployment: &Deployment, first_base: u64, count: u64) -> u64 {
    let operator = deployment.operator();
    for base in first_base..first_base + count {
        let change = Change::upsert_route(base, &format!("r-{}", base % 20), base);
        operator.apply(&change, CHANGE_LIMIT).expect("a change is acknowledged");
    }
    first_base + count
}

/// Waits for a primary, and for the newest revision there.
fn assert_leads_with(deployment: &Deployment, revision: u64) {
    let configuration = deployment.operator().configuration(CHANGE_LIMIT).expect("an answer");
    assert!(revision_of(&configuration) >= revision, "a member leads with old state");
}

#[rstest]
#[case::it_had_only_voted(false)]
#[case::it_had_held_the_data(true)]
fn a_member_that_was_away_catches_up_and_never_leads_with_old_state(#[case] held: bool) {
    let mut deployment = start(Plan::default());
    let backup = deployment.backup().expect("a backup");
    let primary = deployment.wait_for_primary().expect("a primary");
    let voter = (0..3).find(|index| ![backup, primary].contains(index)).expect("a third member");
    let away = if held { backup } else { voter };
    deployment.members[away].process.kill();
    let revision = apply_all(&deployment, 1, MISSED);
    deployment.start_member(away).expect("it returns");
    // The others go at once: what it has is old.
    let leader = deployment.wait_for_primary().expect("a primary");
    deployment.members[leader].process.kill();
    assert_leads_with(&deployment, revision);
    deployment.start_member(leader).expect("it returns");
    deployment.wait_until_whole().expect("all are back");
    let is_current = || {
        let status = deployment.status(away);
        status.is_some_and(|status| status.configuration == revision && status.is_fresh())
    };
    wait_until("the member is current", SETTLE_LIMIT, is_current).expect("it catches up");
    wait_for_route(&deployment, 0, &format!("r-{}", (revision - 1) % 20));
}

/// All members die after hundreds of changes, and the one that had missed them is the first to return.
#[test]
fn a_member_that_returns_first_does_not_lead_with_old_state() {
    let mut deployment = start(Plan { edges: 0, ..Plan::default() });
    let away = deployment.backup().expect("a backup");
    deployment.members[away].process.kill();
    let revision = apply_all(&deployment, 1, MISSED);
    for index in (0..3).filter(|index| *index != away) {
        deployment.members[index].process.kill();
    }
    deployment.start_member(away).expect("it returns");
    let voter = (0..3).find(|index| *index != away).expect("another member");
    let is_up = || deployment.status(away).is_some();
    wait_until("the member answers", SETTLE_LIMIT, is_up).expect("it is back");
    deployment.start_member(voter).expect("it returns");
    for index in (0..3).filter(|index| ![away, voter].contains(index)) {
        deployment.start_member(index).expect("it returns");
    }
    assert_leads_with(&deployment, revision);
    deployment.wait_until_whole().expect("all are back");
    assert_leads_with(&deployment, revision);
}
