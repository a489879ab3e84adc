//! Random histories of operators at a simulated cluster: some order of their calls explains all answers.
//!
//! More of them: `HISTORIES_PER_KIND=700 cargo test --release -p tulipridge-control-plane --test replication_histories
//! --test replication_operators -- --nocapture` plays 700 of each of the 40 kinds.

mod support;

use rstest::rstest;
use support::history::{FaultPlan, Load, history_count, run_history_with};
use support::simulation::{ClusterShape, Fault};

/// Histories of each kind, if no other number is asked for.
const USUAL_HISTORIES: u64 = 100;

/// Every history can be explained.
#[rstest]
fn operators_histories_hold(
    #[values((0, 1, 1), (1, 3, 3), (1, 3, 4), (2, 5, 5), (2, 5, 8))] sizes: (u32, usize, usize),
    #[values(FaultPlan::DisksStay, FaultPlan::DisksLost, FaultPlan::Replacement, FaultPlan::ManyChanges)]
    fault_plan: FaultPlan,
) {
    let (losses, seeds, machines) = sizes;
    let mut answered = 0;
    let count = history_count(USUAL_HISTORIES);
    for seed in 0..count {
        let shape = ClusterShape { tolerated_failures: losses, seeds, machines, fault: Fault::None };
        let outcome = run_history_with(seed, shape, fault_plan, Load::Operators);
        assert_eq!(outcome.violation, None, "history {seed} of {sizes:?} with {fault_plan:?}");
        answered += outcome.completed_calls;
    }
    println!("{count} histories: {answered} answered calls");
    assert!(answered as u64 > count, "the operators do something");
}
