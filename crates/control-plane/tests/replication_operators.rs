//! Random histories of operators' calls to a simulated cluster: the responses are linearizable.
//!
//! `HISTORIES_PER_KIND=700 cargo test --release -p tulipridge-control-plane --test replication_histories
//! --test replication_operators -- --nocapture` runs 700 histories of each of the 40 kinds.

mod support;

use rstest::rstest;
use support::history::{FaultPlan, Load, history_count, run_history_with};
use support::simulation::{ClusterShape, Fault};

/// Default number of histories of each kind.
const DEFAULT_HISTORIES: u64 = 100;

#[rstest]
fn operator_histories_are_linearizable(
    #[values((0, 1, 1), (1, 3, 3), (1, 3, 4), (2, 5, 5), (2, 5, 8))] sizes: (u32, usize, usize),
    #[values(FaultPlan::DisksStay, FaultPlan::DisksLost, FaultPlan::Replacement, FaultPlan::ManyChanges)]
    fault_plan: FaultPlan,
) {
    let (tolerated_failures, seeds, machines) = sizes;
    let mut responses = 0;
    let count = history_count(DEFAULT_HISTORIES);
    for seed in 0..count {
        let shape = ClusterShape { tolerated_failures, seeds, machines, fault: Fault::None };
        let outcome = run_history_with(seed, shape, fault_plan, Load::Operators);
        assert_eq!(outcome.violation, None, "seed {seed}, sizes {sizes:?}, {fault_plan:?}");
        responses += outcome.completed_calls;
    }
    println!("{count} histories: {responses} responses");
    assert!(responses as u64 > count, "operators receive responses");
}
