//! Members that break their promises: the checker of the histories has to see it.

mod support;

use rstest::rstest;
use support::checker::Violation;
use support::history::{FaultPlan, Load, run_history, run_history_with};
use support::operator::call::{Call, ConfigurationChange, ConfigurationMethod, Response};
use support::operator::client::NonLinearizableObject;
use support::simulation::{ClusterShape, Fault, MS, SECOND, Simulation};

const HISTORIES: u64 = 300;

/// Plays histories until one shows a violation other than missing progress.
fn first_violation(shape: ClusterShape, fault_plan: FaultPlan) -> Option<Violation> {
    (0..HISTORIES)
        .filter_map(|seed| run_history(seed, shape, fault_plan).violation)
        .find(|violation| *violation != Violation::NoProgress)
}

/// Each broken promise shows.
#[rstest]
#[case::syncs_reported_early(Fault::EarlySync, FaultPlan::DisksStay)]
#[case::clocks_far_apart(Fault::ExcessiveDrift, FaultPlan::DisksStay)]
#[case::backups_report_syncs_early(Fault::EarlyBackupSync, FaultPlan::DisksLost)]
fn broken_promises_are_seen(#[case] fault: Fault, #[case] fault_plan: FaultPlan) {
    let shape = ClusterShape { tolerated_failures: 1, seeds: 3, machines: 3, fault };
    let violation = first_violation(shape, fault_plan);
    println!("{fault:?}: {violation:?}");
    assert!(violation.is_some(), "{fault:?} has to show");
}

/// The first primary is cut off, the second loses power and the third member its disk; then the first is
/// back.
fn stale_primary_meets_a_lost_disk(fault: Fault) -> Option<Violation> {
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
    assert!(fault != Fault::None || simulation.primary().is_none(), "the stale member has no majority");
    simulation.run_for(8 * SECOND);
    let is_live = simulation.make_progress(SECOND);
    assert!(is_live || simulation.checker.violation.is_some());
    simulation.checker.violation
}

#[test]
fn lost_disk_that_keeps_its_generation_is_seen() {
    assert_eq!(stale_primary_meets_a_lost_disk(Fault::None), None);
    let violation = stale_primary_meets_a_lost_disk(Fault::ReusedGeneration);
    assert!(matches!(violation, Some(Violation::AcknowledgedLost { .. })), "{violation:?}");
}

/// The backup does not hear the primary, and the third member starts again and again.
fn restarts_beside_a_partition(fault: Fault, seed: u64) -> Option<Violation> {
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
    let is_live = simulation.make_progress(6 * SECOND);
    assert!(is_live || simulation.checker.violation.is_some());
    simulation.checker.violation
}

#[test]
fn forgotten_promises_are_seen() {
    let violations: Vec<Violation> =
        (0..20).filter_map(|seed| restarts_beside_a_partition(Fault::LostPromises, seed)).collect();
    assert!(!violations.is_empty());
    for seed in 0..20 {
        assert_eq!(restarts_beside_a_partition(Fault::None, seed), None);
    }
}

/// Plays histories of operators until one shows that their answers cannot be explained.
#[rstest]
#[case::lease_is_ignored(Fault::IgnoredLease)]
#[case::repeats_are_forgotten(Fault::RefusedRepeats)]
fn broken_promises_to_operators_are_seen(#[case] fault: Fault) {
    let shape = ClusterShape { tolerated_failures: 1, seeds: 3, machines: 3, fault };
    let violations = (0..HISTORIES)
        .filter_map(|seed| run_history_with(seed, shape, FaultPlan::DisksStay, Load::Operators).violation);
    let unexplained = violations
        .enumerate()
        .find(|(_, violation)| matches!(violation, Violation::NotLinearizable { .. }));
    println!("{fault:?}: {unexplained:?}");
    assert!(unexplained.is_some(), "{fault:?} has to show");
}

/// A primary is cut off from the others, which take a change; then it is asked.
fn cut_off_primary_is_asked(call: Call, fault: Fault) -> Option<NonLinearizableObject> {
    let mut simulation =
        Simulation::new(3, ClusterShape { tolerated_failures: 1, seeds: 3, machines: 3, fault });
    let old = simulation.acknowledge_one();
    simulation.end_first_boot();
    simulation.isolate(old, true, true);
    let is_followed = simulation.run_until_or_timeout(6 * SECOND, |simulation| {
        simulation.primary().is_some_and(|successor| successor != old)
    });
    assert!(is_followed);
    let successor = simulation.primary().expect("there is a successor");
    let change =
        ConfigurationChange { method: ConfigurationMethod::Put, base: 0, revision: 3, route_id: 1 };
    let taken = simulation.submit(successor, Call::Configure(change));
    simulation.run_for(SECOND);
    assert_eq!(simulation.operators.response(taken), Some(&Response::Accepted));
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
fn answers_after_the_lease_are_seen(#[case] call: Call) {
    assert_eq!(cut_off_primary_is_asked(call, Fault::None), None);
    let unexplained = cut_off_primary_is_asked(call, Fault::IgnoredLease);
    assert_eq!(unexplained, Some(NonLinearizableObject::Configuration));
}

#[test]
fn snapshots_without_the_state_are_seen() {
    let shape = ClusterShape { tolerated_failures: 1, seeds: 3, machines: 3, fault: Fault::EmptySnapshots };
    let violations = (0..HISTORIES)
        .filter_map(|seed| run_history_with(seed, shape, FaultPlan::DisksStay, Load::Operators).violation);
    let seen = violations
        .into_iter()
        .find(|violation| matches!(violation, Violation::StatesDiffer | Violation::NotLinearizable { .. }));
    println!("{seen:?}");
    assert!(seen.is_some());
}

/// The primary is left with standbys only, and the other voters go on without it.
fn primary_among_standbys(fault: Fault) -> Option<Violation> {
    let mut simulation =
        Simulation::new(4, ClusterShape { tolerated_failures: 1, seeds: 3, machines: 5, fault });
    let primary = simulation.acknowledge_one();
    simulation.end_first_boot();
    simulation.run_for(3 * SECOND);
    let voters = simulation.view_at(primary).expect("it has a view").voters.clone();
    let is_other_voter =
        |index: &usize| *index != primary && voters.contains(&simulation.machines[*index].node);
    let others: Vec<usize> = (0..5).filter(is_other_voter).collect();
    simulation.split(&others);
    simulation.run_for(4 * SECOND);
    simulation.checker.violation
}

#[test]
fn standby_that_counts_as_a_voter_is_seen() {
    assert_eq!(primary_among_standbys(Fault::None), None);
    let violation = primary_among_standbys(Fault::StandbyVotes);
    assert!(matches!(violation, Some(Violation::TwoLeases { .. })), "{violation:?}");
}

/// Both data replicas leave for good, each when it is not needed any more, or at once.
/// Whether the cluster goes on.
fn both_data_replicas_leave(hands_over: bool, seed: u64) -> bool {
    let shape = ClusterShape { tolerated_failures: 1, seeds: 3, machines: 5, fault: Fault::None };
    let mut simulation = Simulation::new(seed, shape);
    simulation.acknowledge_one();
    simulation.end_first_boot();
    simulation.run_for(3 * SECOND);
    for replica in simulation.data_replicas() {
        if hands_over {
            simulation.leave(replica);
            let has_left = |simulation: &Simulation| simulation.departure(replica).is_some();
            assert!(simulation.run_until_or_timeout(8 * SECOND, has_left));
        } else {
            simulation.terminate_for_good(replica, 0);
        }
    }
    let is_live = simulation.make_progress(6 * SECOND);
    assert_eq!(simulation.checker.violation, None, "it stops rather than go on without the data");
    is_live
}

#[rstest]
fn data_replicas_that_leave_without_handing_over_are_seen(#[values(0, 1, 2, 3, 4)] seed: u64) {
    assert!(both_data_replicas_leave(true, seed));
    assert!(!both_data_replicas_leave(false, seed));
}
