//! Losses that follow on a repair, on a planned replacement or on an orderly stop.

mod support;

use std::thread;
use std::time::Duration;

use support::{CHANGE_LIMIT, start, wait_for_route};
use tulipridge_fault_injection::deployment::{Deployment, Plan, SETTLE_LIMIT};
use tulipridge_fault_injection::disk;
use tulipridge_fault_injection::operator::{Change, Reply, mark_of, revision_of};
use tulipridge_fault_injection::wait::{wait_for, wait_until};

/// Changes that are sent one after the other while a member goes.
const CHANGES_WHILE_STOPPING: u64 = 25;

/// Loses a member with its disk for good.
fn lose(deployment: &mut Deployment, index: usize) {
    deployment.members[index].process.kill();
    disk::wipe(&deployment.members[index].folder).expect("the disk is emptied");
}

fn apply(deployment: &Deployment, base: u64) {
    let change = Change::upsert_route(base, "marked", base);
    deployment.operator().apply(&change, CHANGE_LIMIT).expect("a change is acknowledged");
}

fn assert_mark(deployment: &Deployment, mark: u64) {
    let configuration = deployment.operator().configuration(CHANGE_LIMIT).expect("an answer");
    assert_eq!(mark_of(&configuration, "marked"), Some(mark));
}

#[test]
fn a_second_loss_right_after_a_planned_replacement_loses_nothing() {
    let mut deployment = start(Plan { members: 4, edges: 0, ..Plan::default() });
    apply(&deployment, 1);
    let backup = deployment.backup().expect("a backup");
    deployment.start_member(3).expect("it starts");
    lose(&mut deployment, backup);
    apply(&deployment, 2);
    wait_until("the control plane is whole", SETTLE_LIMIT, || deployment.is_control_plane_whole())
        .expect("the backup is replaced");
    let primary = deployment.wait_for_primary().expect("a primary");
    lose(&mut deployment, primary);
    assert_mark(&deployment, 2);
    apply(&deployment, 3);
    assert_mark(&deployment, 3);
}

#[test]
fn a_second_loss_right_after_a_repair_loses_nothing() {
    let mut deployment = start(Plan { edges: 0, ..Plan::default() });
    for base in 1..=3 {
        apply(&deployment, base);
        let backup = deployment.backup().expect("a backup");
        deployment.replace_disk(backup).expect("it returns empty");
        wait_until("the control plane is whole", SETTLE_LIMIT, || deployment.is_control_plane_whole())
            .expect("the member is taken in again");
        let primary = deployment.wait_for_primary().expect("a primary");
        deployment.replace_disk(primary).expect("it returns empty");
        assert_mark(&deployment, base);
        wait_until("the control plane is whole", SETTLE_LIMIT, || deployment.is_control_plane_whole())
            .expect("the member is taken in again");
    }
}

/// The backup is lost for a while, and at once the primary, which has the only other copy, is told to stop.
#[test]
fn a_primary_that_is_stopped_with_the_only_other_copy_loses_nothing() {
    let mut deployment = start(Plan { edges: 0, ..Plan::default() });
    apply(&deployment, 1);
    let backup = deployment.backup().expect("a backup");
    let primary = deployment.wait_for_primary().expect("a primary");
    deployment.members[backup].process.kill();
    let status = deployment.terminate_member(primary).expect("it ends");
    assert!(status.success(), "{status}");
    deployment.start_member(backup).expect("it returns with its disk");
    assert_mark(&deployment, 1);
    apply(&deployment, 2);
    deployment.start_member(primary).expect("it returns with its disk");
    wait_until("the control plane is whole", SETTLE_LIMIT, || deployment.is_control_plane_whole())
        .expect("all are back");
    assert_mark(&deployment, 2);
}

/// Stops one member after the other by SIGTERM while an operator sends changes; each returns with its disk.
#[test]
fn members_that_are_stopped_one_after_the_other_lose_no_change() {
    let mut deployment = start(Plan { edges: 0, ..Plan::default() });
    let operator = deployment.operator();
    let changes = thread::spawn(move || {
        for base in 1..=CHANGES_WHILE_STOPPING {
            let change = Change::upsert_route(base, "marked", base);
            let reply = operator.send(&change, CHANGE_LIMIT).expect("it is decided");
            assert_eq!(reply, Reply::Taken);
            thread::sleep(Duration::from_millis(50));
        }
    });
    for index in 0..3 {
        let status = deployment.terminate_member(index).expect("it ends");
        assert!(status.success(), "{status}");
        deployment.start_member(index).expect("it returns");
        wait_until("the control plane is whole", SETTLE_LIMIT, || deployment.is_control_plane_whole())
            .expect("it is taken in again");
    }
    changes.join().expect("all changes are acknowledged");
    assert_mark(&deployment, CHANGES_WHILE_STOPPING);
}

#[test]
fn machines_are_replaced_until_all_seeds_are_gone() {
    let mut deployment = start(Plan { members: 6, ..Plan::default() });
    for old in 0..3 {
        let new = old + 3;
        apply(&deployment, old as u64 + 1);
        deployment.set_seeds((old + 1..=new).collect()).expect("new seeds");
        deployment.start_member(new).expect("it starts");
        let is_known =
            || deployment.status(new).filter(tulipridge_fault_injection::status::Status::is_fresh);
        wait_for("the newcomer follows the primary", SETTLE_LIMIT, is_known).expect("it is taken in");
        lose(&mut deployment, old);
        wait_until("the control plane is whole", SETTLE_LIMIT, || deployment.is_control_plane_whole())
            .expect("the machine is replaced");
        assert_mark(&deployment, old as u64 + 1);
    }
    let configuration = deployment.operator().configuration(CHANGE_LIMIT).expect("an answer");
    assert_eq!(revision_of(&configuration), 4);
    let primary = deployment.wait_for_primary().expect("a primary");
    lose(&mut deployment, primary);
    apply(&deployment, 4);
    assert_mark(&deployment, 4);
    wait_for_route(&deployment, 0, "marked");
}
