//! Kills while operators send changes, and that a disk which breaks its promise would be seen.

mod support;

use support::{CHANGE_LIMIT, start};
use tulipridge_fault_injection::deployment::Plan;
use tulipridge_fault_injection::disk::{Lengths, truncate_to};
use tulipridge_fault_injection::kills::kills;
use tulipridge_fault_injection::operator::{Change, mark_of};

/// Kills that are played here; the program plays more.
const KILLS: u64 = 6;

#[test]
fn kills_lose_no_acknowledged_change() {
    let report = kills(KILLS, 1);
    assert!(report.is_clean(), "{report:#?}");
    assert!(report.kills >= KILLS && report.checks > 0 && report.changes_acknowledged > 0, "{report:?}");
}

/// All disks lose what they had confirmed, which no disk may: the loss shows in the configuration.
#[test]
fn a_change_that_all_disks_have_lost_is_missed() {
    let mut deployment = start(Plan { edges: 0, ..Plan::default() });
    deployment.operator().apply(&Change::upsert_route(1, "marked", 1), CHANGE_LIMIT).expect("a change");
    deployment.wait_until_whole().expect("the change is in force");
    let before: Vec<Lengths> =
        deployment.members.iter().map(|member| Lengths::of(&member.folder)).collect();
    deployment.operator().apply(&Change::upsert_route(2, "marked", 2), CHANGE_LIMIT).expect("a change");
    for (member, before) in deployment.members.iter_mut().zip(&before) {
        member.process.kill();
        truncate_to(&member.folder, before).expect("the log is cut");
    }
    for index in 0..3 {
        deployment.start_member(index).expect("it returns");
    }
    let configuration = deployment.operator().configuration(CHANGE_LIMIT).expect("an answer");
    assert_eq!(mark_of(&configuration, "marked"), Some(1));
}
