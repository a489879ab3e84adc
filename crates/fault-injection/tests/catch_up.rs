//! A member that missed hundreds of changes catches up, and never becomes primary with stale state.

mod support;

use rstest::rstest;
use support::{CHANGE_LIMIT, start, wait_for_route};
use tulipridge_fault_injection::deployment::{CONVERGENCE_TIMEOUT, Deployment, Topology};
use tulipridge_fault_injection::operator::{Change, revision_of};
use tulipridge_fault_injection::wait::wait_until;

/// Changes that the member misses.
const MISSED: u64 = 300;

/// Applies changes one after the other and returns the newest revision.
fn apply_all(deployment: &Deployment, first_base: u64, count: u64) -> u64 {
    let operator = deployment.operator();
    for base in first_base..first_base + count {
        let change = Change::upsert_route(base, &format!("r-{}", base % 20), base);
        operator.apply(&change, CHANGE_LIMIT).expect("a change is acknowledged");
    }
    first_base + count
}

/// Requests the configuration from whichever member leads, and checks that it is not older than `revision`.
fn assert_primary_serves(deployment: &Deployment, revision: u64) {
    let configuration = deployment.operator().configuration(CHANGE_LIMIT).expect("a response");
    assert!(revision_of(&configuration) >= revision, "the primary has stale state");
}

#[rstest]
#[case::it_was_a_voter(false)]
#[case::it_was_the_backup(true)]
fn a_member_that_missed_changes_catches_up_and_never_leads_with_stale_state(#[case] was_backup: bool) {
    let mut deployment = start(Topology::default());
    let backup = deployment.wait_for_backup().expect("a backup");
    let primary = deployment.wait_for_primary().expect("a primary");
    let voter = (0..3).find(|index| ![backup, primary].contains(index)).expect("a third member");
    let away = if was_backup { backup } else { voter };
    deployment.members[away].process.kill();
    let revision = apply_all(&deployment, 1, MISSED);
    deployment.start_member(away).expect("it restarts");
    // The primary fails at once, while the member's state is stale.
    let leader = deployment.wait_for_primary().expect("a primary");
    deployment.members[leader].process.kill();
    assert_primary_serves(&deployment, revision);
    deployment.start_member(leader).expect("it restarts");
    deployment.wait_until_converged().expect("all are back");
    let is_current = || {
        let status = deployment.status(away);
        status.is_some_and(|status| status.configuration == revision && status.is_fresh())
    };
    wait_until("the member is current", CONVERGENCE_TIMEOUT, is_current).expect("it catches up");
    wait_for_route(&deployment, 0, &format!("r-{}", (revision - 1) % 20));
}

/// All members fail after hundreds of changes, and the one that has missed them is restarted first.
#[test]
fn a_stale_member_that_is_restarted_first_does_not_lead() {
    let mut deployment = start(Topology { edges: 0, ..Topology::default() });
    let away = deployment.wait_for_backup().expect("a backup");
    deployment.members[away].process.kill();
    let revision = apply_all(&deployment, 1, MISSED);
    for index in (0..3).filter(|index| *index != away) {
        deployment.members[index].process.kill();
    }
    deployment.start_member(away).expect("it restarts");
    let voter = (0..3).find(|index| *index != away).expect("another member");
    let is_up = || deployment.status(away).is_some();
    wait_until("the member responds", CONVERGENCE_TIMEOUT, is_up).expect("it is back");
    deployment.start_member(voter).expect("it restarts");
    for index in (0..3).filter(|index| ![away, voter].contains(index)) {
        deployment.start_member(index).expect("it restarts");
    }
    assert_primary_serves(&deployment, revision);
    deployment.wait_until_converged().expect("all are back");
    assert_primary_serves(&deployment, revision);
}
