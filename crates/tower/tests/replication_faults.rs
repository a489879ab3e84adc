//! Members that break their promises: the checker of the histories has to see it.

mod support;

use rstest::rstest;
use support::checker::Violation;
use support::history::{Load, Trouble, play, play_with};
use support::simulation::{Fault, MS, SECOND, Shape, Simulation};

const HISTORIES: u64 = 300;

/// Plays histories until one shows a violation other than missing progress.
fn first_violation(shape: Shape, trouble: Trouble) -> Option<Violation> {
    (0..HISTORIES)
        .filter_map(|seed| play(seed, shape, trouble).violation)
        .find(|violation| *violation != Violation::NoProgress)
}

/// Each broken promise shows.
#[rstest]
#[case::syncs_reported_early(Fault::EarlySync, Trouble::DisksStay)]
#[case::clocks_far_apart(Fault::WildClocks, Trouble::DisksStay)]
#[case::backups_report_syncs_early(Fault::EarlyBackupSync, Trouble::DisksLost)]
fn broken_promises_are_seen(#[case] fault: Fault, #[case] trouble: Trouble) {
    let shape = Shape { losses: 1, seeds: 3, machines: 3, fault };
    let violation = first_violation(shape, trouble);
    println!("{fault:?}: {violation:?}");
    assert!(violation.is_some(), "{fault:?} has to show");
}

/// The first primary is cut off, the second loses power and the third member its disk; then the first is
/// back.
fn stale_primary_meets_a_lost_disk(fault: Fault) -> Option<Violation> {
    let mut simulation = Simulation::new(1, Shape { losses: 1, seeds: 3, machines: 3, fault });
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
    let violation = stale_primary_meets_a_lost_disk(Fault::KeptGeneration);
    assert!(matches!(violation, Some(Violation::AcknowledgedLost { .. })), "{violation:?}");
}

/// The backup does not hear the primary, and the third member starts again and again.
fn restarts_beside_a_cut(fault: Fault, seed: u64) -> Option<Violation> {
    let mut simulation = Simulation::new(seed, Shape { losses: 1, seeds: 3, machines: 3, fault });
    let primary = simulation.acknowledge_one();
    simulation.end_first_boot();
    let process = simulation.machines[primary].process.as_ref().expect("it runs");
    let backup_node = process.replication.view().expect("it has a view").holders[1];
    let is_backup = |index: &usize| simulation.machines[*index].node == backup_node;
    let backup = (0..3).find(is_backup).expect("it is a machine");
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
        (0..20).filter_map(|seed| restarts_beside_a_cut(Fault::ForgottenPromises, seed)).collect();
    assert!(!violations.is_empty());
    for seed in 0..20 {
        assert_eq!(restarts_beside_a_cut(Fault::None, seed), None);
    }
}

/// Plays histories of operators until one shows that their answers cannot be explained.
#[rstest]
#[case::lease_is_ignored(Fault::IgnoredLease)]
#[case::repeats_are_forgotten(Fault::ForgottenRepeats)]
fn broken_promises_to_operators_are_seen(#[case] fault: Fault) {
    let shape = Shape { losses: 1, seeds: 3, machines: 3, fault };
    let violations = (0..HISTORIES)
        .filter_map(|seed| play_with(seed, shape, Trouble::DisksStay, Load::Operators).violation);
    let unexplained =
        violations.enumerate().find(|(_, violation)| matches!(violation, Violation::Unexplained { .. }));
    println!("{fault:?}: {unexplained:?}");
    assert!(unexplained.is_some(), "{fault:?} has to show");
}

/// The primary is left with standbys only, and the other voters go on without it.
fn primary_among_standbys(fault: Fault) -> Option<Violation> {
    let mut simulation = Simulation::new(4, Shape { losses: 1, seeds: 3, machines: 5, fault });
    let primary = simulation.acknowledge_one();
    simulation.end_first_boot();
    simulation.run_for(3 * SECOND);
    let process = simulation.machines[primary].process.as_ref().expect("it runs");
    let voters = process.replication.view().expect("it has a view").voters.clone();
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

/// Both holders leave for good, the second one before or after a view without the first one is in force.
/// Whether the cluster goes on.
fn both_holders_leave(hands_over: bool, seed: u64) -> bool {
    let shape = Shape { losses: 1, seeds: 3, machines: 5, fault: Fault::None };
    let mut simulation = Simulation::new(seed, shape);
    let primary = simulation.acknowledge_one();
    simulation.end_first_boot();
    simulation.run_for(3 * SECOND);
    let process = simulation.machines[primary].process.as_ref().expect("it runs");
    let holders = process.replication.view().expect("it has a view").holders.clone();
    for holder in holders {
        let index = simulation.machines.iter().position(|machine| machine.node == holder);
        simulation.terminate_for_good(index.expect("it is a machine"), 0);
        if hands_over {
            let is_handed_over =
                |simulation: &Simulation| simulation.leaving_count() == 0 && simulation.is_view_settled();
            assert!(simulation.run_while_not(8 * SECOND, is_handed_over));
        }
    }
    let is_live = simulation.make_progress(6 * SECOND);
    assert_eq!(simulation.checker.violation, None, "it stops rather than go on without the data");
    is_live
}

#[rstest]
fn holders_that_leave_without_handing_over_are_seen(#[values(0, 1, 2, 3, 4)] seed: u64) {
    assert!(both_holders_leave(true, seed));
    assert!(!both_holders_leave(false, seed));
}
