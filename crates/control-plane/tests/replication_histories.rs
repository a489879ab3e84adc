//! Short random histories of a simulated cluster: no acknowledged command is lost, and the cluster makes progress
//! after faults.
//!
//! `HISTORIES_PER_KIND=700 cargo test --release -p tulipridge-control-plane --test replication_histories
//! --test replication_operators -- --nocapture` runs 700 histories of each of the 40 kinds.

mod support;

use rstest::rstest;
use support::history::{FaultPlan, Load, history_count, run_history, run_history_with};
use support::simulation::{ClusterShape, Fault};

/// Default number of histories of each kind.
const DEFAULT_HISTORIES: u64 = 250;
/// Default number of long histories of each kind.
const DEFAULT_LONG_HISTORIES: u64 = 50;

fn shape(tolerated_failures: u32, seeds: usize, machines: usize) -> ClusterShape {
    ClusterShape { tolerated_failures, seeds, machines, fault: Fault::None }
}

/// No history violates an invariant.
#[rstest]
fn histories_hold(
    #[values((0, 1, 1), (0, 1, 3), (1, 3, 3), (1, 3, 4), (1, 3, 6), (2, 3, 8), (2, 5, 5), (3, 3, 10), (3, 7, 7))]
    sizes: (u32, usize, usize),
    #[values(FaultPlan::DisksStay, FaultPlan::DisksLost)] fault_plan: FaultPlan,
) {
    let (tolerated_failures, seeds, machines) = sizes;
    let mut acknowledged = 0;
    let mut views = 0;
    let count = history_count(DEFAULT_HISTORIES);
    for seed in 0..count {
        let outcome = run_history(seed, shape(tolerated_failures, seeds, machines), fault_plan);
        assert_eq!(outcome.violation, None, "seed {seed}, sizes {sizes:?}, {fault_plan:?}");
        acknowledged += outcome.acknowledged;
        views += outcome.views;
    }
    println!("{count} histories: {acknowledged} acknowledged, {views} views");
    assert!(
        acknowledged as u64 > count && views as u64 > count,
        "commands are acknowledged and views change"
    );
}

/// Planned replacement of machines, and histories with hundreds of changes, without operators.
#[rstest]
fn long_histories_hold(
    #[values((1, 3, 4), (2, 5, 5), (2, 5, 8), (3, 7, 9))] sizes: (u32, usize, usize),
    #[values(FaultPlan::Replacement, FaultPlan::ManyChanges)] fault_plan: FaultPlan,
) {
    let (tolerated_failures, seeds, machines) = sizes;
    for seed in 0..history_count(DEFAULT_LONG_HISTORIES) {
        let outcome = run_history(seed, shape(tolerated_failures, seeds, machines), fault_plan);
        assert_eq!(outcome.violation, None, "seed {seed}, sizes {sizes:?}, {fault_plan:?}");
    }
}

/// Members must not end while the view is incomplete: a loss at the same time left no majority of its voters.
#[rstest]
#[case(1278, Load::Proposals)]
#[case(372, Load::Operators)]
fn a_departing_member_stays_until_the_view_is_complete(#[case] seed: u64, #[case] load: Load) {
    let outcome = run_history_with(seed, shape(1, 3, 4), FaultPlan::Replacement, load);
    assert_eq!(outcome.violation, None);
}
