//! A member that missed hundreds of changes catches up and does not become primary with stale state.

mod support;

use rstest::rstest;
use support::{CHANGE_TIMEOUT, start, wait_for_route};
use tulipridge_fault_injection::deployment::{CONVERGENCE_TIMEOUT, Deployment, Topology};
use tulipridge_fault_injection::operator::{Change, revision_of};
use tulipridge_fault_injection::wait::wait_until;

/// Number of changes that the member misses.
const MISSED_CHANGES: u64 = 300;

/// Applies changes in sequence and returns the newest revision.
fn apply_all(deployment: &Deployment, first_base: u64, count: u64) -> u64 {
    let operator = deployment.operator();
    for base in first_base..first_base + count {
        let change = Change::upsert_route(base, &format!("r-{}", base % 20), base);
        operator.apply(&change, CHANGE_TIMEOUT).expect("a change is acknowledged");
    }
    first_base + count
}

/// Reads the configuration from the primary and checks that its revision is `revision` or newer.
fn assert_primary_is_current(deployment: &Deployment, revision: u64) {
    let configuration = deployment.operator().configuration(CHANGE_TIMEOUT).expect("a response");
    assert!(revision_of(&configuration) >= revision, "the primary has stale state");
}

#[rstest]
#[case::voter(false)]
#[case::backup(true)]
fn a_stale_member_catches_up_and_does_not_become_primary(#[case] was_backup: bool) {
    let mut deployment = start(Topology::default());
    let backup = deployment.wait_for_backup().expect("a backup");
    let primary = deployment.wait_for_primary().expect("a primary");
    let voter = (0..3).find(|index| ![backup, primary].contains(index)).expect("a third member");
    let stale = if was_backup { backup } else { voter };
    deployment.members[stale].process.kill();
    let revision = apply_all(&deployment, 1, MISSED_CHANGES);
    deployment.start_member(stale).expect("the program restarts");
    // Kills the primary while the member's state is stale.
    let primary = deployment.wait_for_primary().expect("a primary");
    deployment.members[primary].process.kill();
    assert_primary_is_current(&deployment, revision);
    deployment.start_member(primary).expect("the program restarts");
    deployment.wait_until_converged().expect("the deployment recovers");
    let is_current = || {
        let status = deployment.status(stale);
        status.is_some_and(|status| status.configuration == revision && status.is_fresh())
    };
    wait_until("the member is current", CONVERGENCE_TIMEOUT, is_current).expect("the member catches up");
    wait_for_route(&deployment, 0, &format!("r-{}", (revision - 1) % 20));
}

/// All members are killed after hundreds of changes, and the one that has missed them is restarted first.
#[test]
fn a_stale_member_restarted_first_does_not_become_primary() {
    let mut deployment = start(Topology { edges: 0, ..Topology::default() });
    let stale = deployment.wait_for_backup().expect("a backup");
    deployment.members[stale].process.kill();
    let revision = apply_all(&deployment, 1, MISSED_CHANGES);
    for index in (0..3).filter(|index| *index != stale) {
        deployment.members[index].process.kill();
    }
    deployment.start_member(stale).expect("the program restarts");
    let voter = (0..3).find(|index| *index != stale).expect("another member");
    let is_up = || deployment.status(stale).is_some();
    wait_until("the member responds", CONVERGENCE_TIMEOUT, is_up).expect("the member is running");
    deployment.start_member(voter).expect("the program restarts");
    for index in (0..3).filter(|index| ![stale, voter].contains(index)) {
        deployment.start_member(index).expect("the program restarts");
    }
    assert_primary_is_current(&deployment, revision);
    deployment.wait_until_converged().expect("the deployment recovers");
    assert_primary_is_current(&deployment, revision);
}
