//! Losses of members right after a recovery, a planned replacement or a graceful shutdown.

mod support;

use std::thread;
use std::time::Duration;

use support::{CHANGE_TIMEOUT, start, wait_for_route};
use tulipridge_fault_injection::deployment::{CONVERGENCE_TIMEOUT, Deployment, Topology};
use tulipridge_fault_injection::disk;
use tulipridge_fault_injection::operator::{Change, ChangeResponse, marker_of, revision_of};
use tulipridge_fault_injection::wait::{wait_for, wait_until};

/// Number of changes that are sent in sequence during the rolling restart.
const CHANGES_DURING_RESTART: u64 = 25;

/// Kills a member and wipes its disk.
fn kill_and_wipe_disk(deployment: &mut Deployment, index: usize) {
    deployment.members[index].process.kill();
    disk::wipe(&deployment.members[index].data_folder).expect("the disk is wiped");
}

fn apply_change(deployment: &Deployment, base_revision: u64) {
    let change = Change::upsert_route(base_revision, "marked", base_revision);
    deployment.operator().apply(&change, CHANGE_TIMEOUT).expect("a change is acknowledged");
}

fn assert_marker(deployment: &Deployment, marker: u64) {
    let configuration = deployment.operator().configuration(CHANGE_TIMEOUT).expect("a response");
    assert_eq!(marker_of(&configuration, "marked"), Some(marker));
}

#[test]
fn losing_the_primary_after_a_replacement_loses_no_change() {
    let mut deployment = start(Topology { members: 4, edges: 0, ..Topology::default() });
    apply_change(&deployment, 1);
    let backup = deployment.wait_for_backup().expect("a backup");
    deployment.start_member(3).expect("the member starts");
    kill_and_wipe_disk(&mut deployment, backup);
    apply_change(&deployment, 2);
    wait_until("the control plane has converged", CONVERGENCE_TIMEOUT, || {
        deployment.is_control_plane_converged()
    })
    .expect("the backup is replaced");
    let primary = deployment.wait_for_primary().expect("a primary");
    kill_and_wipe_disk(&mut deployment, primary);
    assert_marker(&deployment, 2);
    apply_change(&deployment, 3);
    assert_marker(&deployment, 3);
}

#[test]
fn losing_the_primary_after_a_recovery_loses_no_change() {
    let mut deployment = start(Topology { edges: 0, ..Topology::default() });
    for base_revision in 1..=3 {
        apply_change(&deployment, base_revision);
        let backup = deployment.wait_for_backup().expect("a backup");
        deployment.replace_disk(backup).expect("the member restarts with an empty disk");
        wait_until("the control plane has converged", CONVERGENCE_TIMEOUT, || {
            deployment.is_control_plane_converged()
        })
        .expect("the member has rejoined");
        let primary = deployment.wait_for_primary().expect("a primary");
        deployment.replace_disk(primary).expect("the member restarts with an empty disk");
        assert_marker(&deployment, base_revision);
        wait_until("the control plane has converged", CONVERGENCE_TIMEOUT, || {
            deployment.is_control_plane_converged()
        })
        .expect("the member has rejoined");
    }
}

/// The backup is killed. Immediately afterwards the primary, which has the only other copy of the data, is terminated.
#[test]
fn terminating_the_primary_without_a_backup_loses_no_change() {
    let mut deployment = start(Topology { edges: 0, ..Topology::default() });
    apply_change(&deployment, 1);
    let backup = deployment.wait_for_backup().expect("a backup");
    let primary = deployment.wait_for_primary().expect("a primary");
    deployment.members[backup].process.kill();
    let status = deployment.terminate_member(primary).expect("the member exits");
    assert!(status.success(), "{status}");
    deployment.start_member(backup).expect("the member restarts with its disk");
    assert_marker(&deployment, 1);
    apply_change(&deployment, 2);
    deployment.start_member(primary).expect("the member restarts with its disk");
    wait_until("the control plane has converged", CONVERGENCE_TIMEOUT, || {
        deployment.is_control_plane_converged()
    })
    .expect("the deployment recovers");
    assert_marker(&deployment, 2);
}

/// Each member in turn is terminated and restarted with its disk while an operator sends changes.
#[test]
fn a_rolling_restart_loses_no_change() {
    let mut deployment = start(Topology { edges: 0, ..Topology::default() });
    let operator = deployment.operator();
    let changes = thread::spawn(move || {
        for base_revision in 1..=CHANGES_DURING_RESTART {
            let change = Change::upsert_route(base_revision, "marked", base_revision);
            let response = operator.send(&change, CHANGE_TIMEOUT).expect("a decision");
            assert_eq!(response, ChangeResponse::Applied);
            thread::sleep(Duration::from_millis(50));
        }
    });
    for index in 0..3 {
        let status = deployment.terminate_member(index).expect("the member exits");
        assert!(status.success(), "{status}");
        deployment.start_member(index).expect("the program restarts");
        wait_until("the control plane has converged", CONVERGENCE_TIMEOUT, || {
            deployment.is_control_plane_converged()
        })
        .expect("the member has rejoined");
    }
    changes.join().expect("all changes are acknowledged");
    assert_marker(&deployment, CHANGES_DURING_RESTART);
}

#[test]
fn replacing_all_original_seeds_loses_no_change() {
    let mut deployment = start(Topology { members: 6, ..Topology::default() });
    for old in 0..3 {
        let new = old + 3;
        apply_change(&deployment, old as u64 + 1);
        deployment.set_seeds((old + 1..=new).collect()).expect("new seeds");
        deployment.start_member(new).expect("the member starts");
        let fresh_status =
            || deployment.status(new).filter(tulipridge_fault_injection::status::Status::is_fresh);
        wait_for("the new member follows the primary", CONVERGENCE_TIMEOUT, fresh_status)
            .expect("the new member follows the primary");
        kill_and_wipe_disk(&mut deployment, old);
        wait_until("the control plane has converged", CONVERGENCE_TIMEOUT, || {
            deployment.is_control_plane_converged()
        })
        .expect("the control plane converges after the loss of the old member");
        assert_marker(&deployment, old as u64 + 1);
    }
    let configuration = deployment.operator().configuration(CHANGE_TIMEOUT).expect("a response");
    assert_eq!(revision_of(&configuration), 4);
    let primary = deployment.wait_for_primary().expect("a primary");
    kill_and_wipe_disk(&mut deployment, primary);
    apply_change(&deployment, 4);
    assert_marker(&deployment, 4);
    wait_for_route(&deployment, 0, "marked");
}
