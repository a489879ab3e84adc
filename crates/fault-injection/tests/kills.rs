//! Members are killed while operators send changes; and a check that the loss of synced data is detected.

mod support;

use support::{CHANGE_TIMEOUT, start};
use tulipridge_fault_injection::deployment::Topology;
use tulipridge_fault_injection::disk::{FileLengths, truncate_files};
use tulipridge_fault_injection::kill_test::run_kill_test;
use tulipridge_fault_injection::operator::{Change, marker_of};

/// Minimum number of kills in this test; the command-line program runs more.
const KILLS: u64 = 6;

#[test]
fn kills_lose_no_acknowledged_change() {
    let report = run_kill_test(KILLS, 1);
    assert!(report.is_clean(), "{report:#?}");
    assert!(report.kills >= KILLS && report.checks > 0 && report.changes_acknowledged > 0, "{report:?}");
}

/// All disks lose synced data, a fault that no correct disk has: the configuration shows the loss.
#[test]
fn a_change_that_all_disks_have_lost_is_missing() {
    let mut deployment = start(Topology { edges: 0, ..Topology::default() });
    deployment.operator().apply(&Change::upsert_route(1, "marked", 1), CHANGE_TIMEOUT).expect("a change");
    deployment.wait_until_converged().expect("the change is in force");
    let before: Vec<FileLengths> =
        deployment.members.iter().map(|member| FileLengths::of(&member.data_folder)).collect();
    deployment.operator().apply(&Change::upsert_route(2, "marked", 2), CHANGE_TIMEOUT).expect("a change");
    for (member, before) in deployment.members.iter_mut().zip(&before) {
        member.process.kill();
        truncate_files(&member.data_folder, before).expect("the log is truncated");
    }
    for index in 0..3 {
        deployment.start_member(index).expect("the program restarts");
    }
    let configuration = deployment.operator().configuration(CHANGE_TIMEOUT).expect("a response");
    assert_eq!(marker_of(&configuration, "marked"), Some(1));
}
