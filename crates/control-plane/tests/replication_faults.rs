//! Injected faults that violate a guarantee: the checkers must detect them.

mod support;

use rstest::rstest;
use support::checker::Violation;
use support::history::{FaultPlan, Load, run_history, run_history_with};
use support::operator::call::{Call, ConfigurationChange, ConfigurationMethod, Response};
use support::operator::client::NonLinearizableObject;
use support::simulation::{ClusterShape, Fault, MS, SECOND, Simulation};

const MAX_HISTORIES: u64 = 300;

/// Runs histories until one has a violation other than missing progress.
fn first_violation(shape: ClusterShape, fault_plan: FaultPlan) -> Option<Violation> {
    (0..MAX_HISTORIES)
        .filter_map(|seed| run_history(seed, shape, fault_plan).violation)
        .find(|violation| *violation != Violation::NoProgress)
}

#[rstest]
#[case::syncs_reported_early(Fault::EarlySync, FaultPlan::DisksStay)]
#[case::clocks_beyond_the_drift_limit(Fault::ExcessiveDrift, FaultPlan::DisksStay)]
#[case::backups_report_syncs_early(Fault::EarlyBackupSync, FaultPlan::DisksLost)]
fn violated_guarantees_are_detected(#[case] fault: Fault, #[case] fault_plan: FaultPlan) {
    let shape = ClusterShape { tolerated_failures: 1, seeds: 3, machines: 3, fault };
    let violation = first_violation(shape, fault_plan);
    println!("{fault:?}: {violation:?}");
    assert!(violation.is_some(), "{fault:?} is not detected");
}

/// The first primary is isolated, its successor loses power and the third member its disk; then the first one is
/// reconnected.
fn stale_primary_and_lost_disk(fault: Fault) -> Option<Violation> {
    let mut simulation =
        Simulation::new(1, ClusterShape { tolerated_failures: 1, seeds: 3, machines: 3, fault });
    let stale = simulation.acknowledge_one();
    simulation.end_first_boot();
    simulation.isolate(stale, true, true);
    simulation.run_for(3 * SECOND);
    let second = simulation.acknowledge_one();
    let third = 3 - stale - second;
    simulation.cut_power(second, 10 * SECOND);
    simulation.wipe(third, SECOND / 2);
    simulation.heal();
    simulation.run_for(9 * SECOND);
    assert!(
        fault != Fault::None || simulation.primary().is_none(),
        "the stale member must not become primary without a majority"
    );
    simulation.run_for(8 * SECOND);
    let makes_progress = simulation.make_progress(SECOND);
    assert!(makes_progress || simulation.checker.violation.is_some());
    simulation.checker.violation
}

#[test]
fn lost_disk_that_keeps_its_generation_is_detected() {
    assert_eq!(stale_primary_and_lost_disk(Fault::None), None);
    let violation = stale_primary_and_lost_disk(Fault::ReusedGeneration);
    assert!(matches!(violation, Some(Violation::AcknowledgedLost { .. })), "{violation:?}");
}

/// The link between the primary and the backup is cut, and the third member restarts repeatedly.
fn restarts_during_a_partition(fault: Fault, seed: u64) -> Option<Violation> {
    let mut simulation =
        Simulation::new(seed, ClusterShape { tolerated_failures: 1, seeds: 3, machines: 3, fault });
    let primary = simulation.acknowledge_one();
    simulation.end_first_boot();
    let backup = simulation.data_replicas()[1];
    let third = 3 - primary - backup;
    simulation.cuts.insert((primary, backup));
    simulation.cuts.insert((backup, primary));
    for _ in 0..10 {
        simulation.run_for(450 * MS);
        simulation.kill(third, 20 * MS);
    }
    simulation.heal();
    let makes_progress = simulation.make_progress(6 * SECOND);
    assert!(makes_progress || simulation.checker.violation.is_some());
    simulation.checker.violation
}

#[test]
fn lost_promises_are_detected() {
    let violations: Vec<Violation> =
        (0..20).filter_map(|seed| restarts_during_a_partition(Fault::LostPromises, seed)).collect();
    assert!(!violations.is_empty());
    for seed in 0..20 {
        assert_eq!(restarts_during_a_partition(Fault::None, seed), None);
    }
}

/// Runs histories of operators until one has responses that are not linearizable.
#[rstest]
#[case::lease_ignored(Fault::IgnoredLease)]
#[case::retries_forgotten(Fault::RefusedRepeats)]
fn violated_guarantees_to_operators_are_detected(#[case] fault: Fault) {
    let shape = ClusterShape { tolerated_failures: 1, seeds: 3, machines: 3, fault };
    let violations = (0..MAX_HISTORIES)
        .filter_map(|seed| run_history_with(seed, shape, FaultPlan::DisksStay, Load::Operators).violation);
    let non_linearizable = violations
        .enumerate()
        .find(|(_, violation)| matches!(violation, Violation::NotLinearizable { .. }));
    println!("{fault:?}: {non_linearizable:?}");
    assert!(non_linearizable.is_some(), "{fault:?} is not detected");
}

/// A primary is isolated, the others accept a change, and then the primary receives a call.
fn call_to_an_isolated_primary(call: Call, fault: Fault) -> Option<NonLinearizableObject> {
    let mut simulation =
        Simulation::new(3, ClusterShape { tolerated_failures: 1, seeds: 3, machines: 3, fault });
    let old = simulation.acknowledge_one();
    simulation.end_first_boot();
    simulation.isolate(old, true, true);
    let has_successor = simulation.run_until_or_timeout(6 * SECOND, |simulation| {
        simulation.primary().is_some_and(|successor| successor != old)
    });
    assert!(has_successor);
    let successor = simulation.primary().expect("there is a successor");
    let change =
        ConfigurationChange { method: ConfigurationMethod::Put, base: 0, revision: 3, route_id: 1 };
    let accepted = simulation.submit(successor, Call::Configure(change));
    simulation.run_for(SECOND);
    assert_eq!(simulation.operators.response(accepted), Some(&Response::Accepted));
    simulation.submit(old, call);
    simulation.run_for(SECOND);
    simulation.operators.non_linearizable()
}

#[rstest]
#[case::read(Call::Read)]
#[case::refused_with_412(Call::Configure(ConfigurationChange {
    method: ConfigurationMethod::Put,
    base: 3,
    revision: 5,
    route_id: 2,
}))]
#[case::refused_with_400(Call::Configure(ConfigurationChange {
    method: ConfigurationMethod::Put,
    base: 0,
    revision: 0,
    route_id: 2,
}))]
fn responses_after_the_lease_are_detected(#[case] call: Call) {
    assert_eq!(call_to_an_isolated_primary(call, Fault::None), None);
    let non_linearizable = call_to_an_isolated_primary(call, Fault::IgnoredLease);
    assert_eq!(non_linearizable, Some(NonLinearizableObject::Configuration));
}

#[test]
fn empty_snapshots_are_detected() {
    let shape = ClusterShape { tolerated_failures: 1, seeds: 3, machines: 3, fault: Fault::EmptySnapshots };
    let violations = (0..MAX_HISTORIES)
        .filter_map(|seed| run_history_with(seed, shape, FaultPlan::DisksStay, Load::Operators).violation);
    let detected = violations
        .into_iter()
        .find(|violation| matches!(violation, Violation::StatesDiffer | Violation::NotLinearizable { .. }));
    println!("{detected:?}");
    assert!(detected.is_some());
}

/// The primary is connected only to standbys, and the other voters make progress without it.
fn primary_connected_to_standbys_only(fault: Fault) -> Option<Violation> {
    let mut simulation =
        Simulation::new(4, ClusterShape { tolerated_failures: 1, seeds: 3, machines: 5, fault });
    let primary = simulation.acknowledge_one();
    simulation.end_first_boot();
    simulation.run_for(3 * SECOND);
    let voters = simulation.view_at(primary).expect("the member has a view").voters.clone();
    let is_other_voter =
        |index: &usize| *index != primary && voters.contains(&simulation.machines[*index].node);
    let others: Vec<usize> = (0..5).filter(is_other_voter).collect();
    simulation.split(&others);
    simulation.run_for(4 * SECOND);
    simulation.checker.violation
}

#[test]
fn standby_that_counts_as_a_voter_is_detected() {
    assert_eq!(primary_connected_to_standbys_only(Fault::None), None);
    let violation = primary_connected_to_standbys_only(Fault::StandbyVotes);
    assert!(matches!(violation, Some(Violation::TwoLeases { .. })), "{violation:?}");
}

/// Both data replicas depart for good, each after its data is handed over, or at once. Returns whether the cluster
/// makes progress.
fn both_data_replicas_depart(hands_over: bool, seed: u64) -> bool {
    let shape = ClusterShape { tolerated_failures: 1, seeds: 3, machines: 5, fault: Fault::None };
    let mut simulation = Simulation::new(seed, shape);
    simulation.acknowledge_one();
    simulation.end_first_boot();
    simulation.run_for(3 * SECOND);
    for replica in simulation.data_replicas() {
        if hands_over {
            simulation.leave(replica);
            let has_departed = |simulation: &Simulation| simulation.departure(replica).is_some();
            assert!(simulation.run_until_or_timeout(8 * SECOND, has_departed));
        } else {
            simulation.terminate_for_good(replica, 0);
        }
    }
    let makes_progress = simulation.make_progress(6 * SECOND);
    assert_eq!(simulation.checker.violation, None, "the cluster must not continue without the data");
    makes_progress
}

#[rstest]
fn departures_without_handover_are_detected(#[values(0, 1, 2, 3, 4)] seed: u64) {
    assert!(both_data_replicas_depart(true, seed));
    assert!(!both_data_replicas_depart(false, seed));
}
