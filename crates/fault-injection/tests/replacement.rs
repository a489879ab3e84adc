//! Losses right after a repair, a planned replacement or a graceful shutdown.

mod support;

use std::thread;
use std::time::Duration;

use support::{CHANGE_LIMIT, start, wait_for_route};
use tulipridge_fault_injection::deployment::{CONVERGENCE_TIMEOUT, Deployment, Topology};
use tulipridge_fault_injection::disk;
use tulipridge_fault_injection::operator::{Change, ChangeResponse, marker_of, revision_of};
use tulipridge_fault_injection::wait::{wait_for, wait_until};

/// Changes that are sent one after the other while members are terminated.
const CHANGES_WHILE_STOPPING: u64 = 25;

/// Kills a member and wipes its disk.
fn lose_with_disk(deployment: &mut Deployment, index: usize) {
    deployment.members[index].process.kill();
    disk::wipe(&deployment.members[index].data_folder).expect("the disk is emptied");
}

fn apply(deployment: &Deployment, base: u64) {
    let change = Change::upsert_route(base, "marked", base);
    deployment.operator().apply(&change, CHANGE_LIMIT).expect("a change is acknowledged");
}

fn assert_mark(deployment: &Deployment, marker: u64) {
    let configuration = deployment.operator().configuration(CHANGE_LIMIT).expect("a response");
    assert_eq!(marker_of(&configuration, "marked"), Some(marker));
}

#[test]
fn a_second_loss_right_after_a_planned_replacement_loses_nothing() {
    let mut deployment = start(Topology { members: 4, edges: 0, ..Topology::default() });
    apply(&deployment, 1);
    let backup = deployment.wait_for_backup().expect("a backup");
    deployment.start_member(3).expect("it starts");
    lose_with_disk(&mut deployment, backup);
    apply(&deployment, 2);
    wait_until("the control plane has converged", CONVERGENCE_TIMEOUT, || {
        deployment.is_control_plane_converged()
    })
    .expect("the backup is replaced");
    let primary = deployment.wait_for_primary().expect("a primary");
    lose_with_disk(&mut deployment, primary);
    assert_mark(&deployment, 2);
    apply(&deployment, 3);
    assert_mark(&deployment, 3);
}

#[test]
fn a_second_loss_right_after_a_repair_loses_nothing() {
    let mut deployment = start(Topology { edges: 0, ..Topology::default() });
    for base in 1..=3 {
        apply(&deployment, base);
        let backup = deployment.wait_for_backup().expect("a backup");
        deployment.replace_disk(backup).expect("it restarts empty");
        wait_until("the control plane has converged", CONVERGENCE_TIMEOUT, || {
            deployment.is_control_plane_converged()
        })
        .expect("the member is a member again");
        let primary = deployment.wait_for_primary().expect("a primary");
        deployment.replace_disk(primary).expect("it restarts empty");
        assert_mark(&deployment, base);
        wait_until("the control plane has converged", CONVERGENCE_TIMEOUT, || {
            deployment.is_control_plane_converged()
        })
        .expect("the member is a member again");
    }
}

/// The backup fails, and at once the primary, which has the only other replica of the data, is terminated.
#[test]
fn a_primary_that_is_terminated_with_the_only_other_replica_loses_nothing() {
    let mut deployment = start(Topology { edges: 0, ..Topology::default() });
    apply(&deployment, 1);
    let backup = deployment.wait_for_backup().expect("a backup");
    let primary = deployment.wait_for_primary().expect("a primary");
    deployment.members[backup].process.kill();
    let status = deployment.terminate_member(primary).expect("it exits");
    assert!(status.success(), "{status}");
    deployment.start_member(backup).expect("it restarts with its disk");
    assert_mark(&deployment, 1);
    apply(&deployment, 2);
    deployment.start_member(primary).expect("it restarts with its disk");
    wait_until("the control plane has converged", CONVERGENCE_TIMEOUT, || {
        deployment.is_control_plane_converged()
    })
    .expect("all are back");
    assert_mark(&deployment, 2);
}

/// Terminates one member after the other while an operator sends changes; each is restarted with its disk.
#[test]
fn a_rolling_restart_loses_no_change() {
    let mut deployment = start(Topology { edges: 0, ..Topology::default() });
    let operator = deployment.operator();
    let changes = thread::spawn(move || {
        for base in 1..=CHANGES_WHILE_STOPPING {
            let change = Change::upsert_route(base, "marked", base);
            let response = operator.send(&change, CHANGE_LIMIT).expect("it is decided");
            assert_eq!(response, ChangeResponse::Applied);
            thread::sleep(Duration::from_millis(50));
        }
    });
    for index in 0..3 {
        let status = deployment.terminate_member(index).expect("it exits");
        assert!(status.success(), "{status}");
        deployment.start_member(index).expect("it restarts");
        wait_until("the control plane has converged", CONVERGENCE_TIMEOUT, || {
            deployment.is_control_plane_converged()
        })
        .expect("it is a member again");
    }
    changes.join().expect("all changes are acknowledged");
    assert_mark(&deployment, CHANGES_WHILE_STOPPING);
}

#[test]
fn machines_are_replaced_until_no_original_seed_is_left() {
    let mut deployment = start(Topology { members: 6, ..Topology::default() });
    for old in 0..3 {
        let new = old + 3;
        apply(&deployment, old as u64 + 1);
        deployment.set_seeds((old + 1..=new).collect()).expect("new seeds");
        deployment.start_member(new).expect("it starts");
        let is_known =
            || deployment.status(new).filter(tulipridge_fault_injection::status::Status::is_fresh);
        wait_for("the new member follows the primary", CONVERGENCE_TIMEOUT, is_known)
            .expect("it becomes a member");
        lose_with_disk(&mut deployment, old);
        wait_until("the control plane has converged", CONVERGENCE_TIMEOUT, || {
            deployment.is_control_plane_converged()
        })
        .expect("the machine is replaced");
        assert_mark(&deployment, old as u64 + 1);
    }
    let configuration = deployment.operator().configuration(CHANGE_LIMIT).expect("a response");
    assert_eq!(revision_of(&configuration), 4);
    let primary = deployment.wait_for_primary().expect("a primary");
    lose_with_disk(&mut deployment, primary);
    apply(&deployment, 4);
    assert_mark(&deployment, 4);
    wait_for_route(&deployment, 0, "marked");
}
