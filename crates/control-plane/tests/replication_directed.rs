//! Tests of single kinds of faults in a simulated cluster.

mod support;

use rstest::rstest;
use support::scenario::{assert_makes_progress, started};
use support::simulation::{ClusterShape, Fault, MS, Network, SECOND, Simulation};
use tulipridge_control_plane::replication::Input;
use tulipridge_protocol::node::NodeId;

fn voters_of(simulation: &Simulation) -> Vec<NodeId> {
    let primary = simulation.primary().expect("there is a primary");
    simulation.view_at(primary).expect("the member has a view").voters.clone()
}

#[test]
fn first_start_elects_a_primary_within_a_second() {
    let mut simulation = Simulation::new(
        1,
        ClusterShape { tolerated_failures: 1, seeds: 3, machines: 4, fault: Fault::None },
    );
    let is_elected = simulation.run_until_or_timeout(SECOND, |simulation| simulation.primary().is_some());
    assert!(is_elected);
}

#[rstest]
fn primary_killed_right_after_an_acknowledgement(#[values(0, 1, 2, 3, 4, 5, 6, 7)] seed: u64) {
    let mut simulation = started(1, 3, 4, seed);
    for _ in 0..6 {
        let primary = simulation.acknowledge_one();
        simulation.kill(primary, 1500 * MS);
        assert_makes_progress(&mut simulation);
        simulation.run_for(2 * SECOND);
    }
}

#[rstest]
#[case(1, 3, 4)]
#[case(1, 3, 3)]
#[case(2, 3, 8)]
#[case(2, 5, 5)]
#[case(3, 7, 7)]
#[case(3, 5, 10)]
fn disks_lost_while_all_others_lose_power(
    #[case] tolerated_failures: u32,
    #[case] seeds: usize,
    #[case] machines: usize,
    #[values(0, 1, 2, 3, 4, 5, 6, 7)] seed: u64,
) {
    let mut simulation = started(tolerated_failures, seeds, machines, seed);
    for _ in 0..3 {
        let primary = simulation.acknowledge_one();
        let mut lost = vec![primary];
        lost.extend((0..machines).filter(|index| *index != primary).take(tolerated_failures as usize - 1));
        for index in 0..machines {
            let restart_after = simulation.random.u64(50..1000) * MS;
            if lost.contains(&index) {
                simulation.wipe(index, restart_after);
            } else {
                simulation.cut_power(index, restart_after);
            }
        }
        assert_makes_progress(&mut simulation);
        simulation.run_for(8 * SECOND);
    }
}

#[rstest]
fn all_members_killed_at_once(
    #[values(0, 1, 2, 3, 4, 5, 6, 7)] seed: u64,
    #[values(false, true)] is_power_loss: bool,
) {
    let mut simulation = started(1, 3, 4, seed);
    for _ in 0..4 {
        simulation.acknowledge_one();
        for index in 0..4 {
            let restart_after = simulation.random.u64(100..1000) * MS;
            if is_power_loss {
                simulation.cut_power(index, restart_after);
            } else {
                simulation.kill(index, restart_after);
            }
        }
        assert_makes_progress(&mut simulation);
    }
}

/// Replaces all of the first machines, one after the other.
#[rstest]
fn all_members_replaced_one_after_the_other(
    #[values(1, 2, 3)] tolerated_failures: u32,
    #[values(0, 1, 2, 3)] seed: u64,
) {
    let mut simulation = started(tolerated_failures, 3, 4 + 2 * tolerated_failures as usize, seed);
    let first = simulation.machines.len();
    for index in 0..first {
        simulation.acknowledge_one();
        simulation.replace(index, 500 * MS);
        assert_makes_progress(&mut simulation);
        simulation.run_for(5 * SECOND);
    }
    let voters = voters_of(&simulation);
    assert_eq!(voters.len(), 2 * tolerated_failures as usize + 1);
    assert!(voters.iter().all(|voter| simulation.machines[first..].iter().any(|new| new.node == *voter)));
}

#[test]
fn three_seeds_grow_to_five_voters() {
    let simulation = started(2, 3, 8, 4);
    assert_eq!(voters_of(&simulation).len(), 5);
}

/// A voter that lost its disk becomes a voter again under its new generation.
#[test]
fn wiped_voter_becomes_a_voter_again() {
    let mut simulation = started(1, 3, 3, 5);
    let primary = simulation.primary().expect("there is a primary");
    let other = (primary + 1) % 3;
    simulation.wipe(other, 300 * MS);
    simulation.run_for(2500 * MS);
    assert!(voters_of(&simulation).contains(&simulation.machines[other].node));
}

/// The primary is isolated and all members propose: one side makes progress, and the members do not diverge.
#[rstest]
fn proposals_on_both_sides_of_a_partition(
    #[values(0, 1, 2, 3, 4, 5, 6, 7)] seed: u64,
    #[values(false, true)] one_way: bool,
) {
    let mut simulation = started(1, 3, 4, seed);
    let primary = simulation.acknowledge_one();
    simulation.isolate(primary, true, !one_way);
    for _ in 0..40 {
        for index in 0..4 {
            simulation.propose(index);
        }
        simulation.run_for(100 * MS);
    }
    let successor = simulation.primary().expect("the others have a primary");
    assert_ne!(successor, primary);
    simulation.heal();
    assert_makes_progress(&mut simulation);
    simulation.run_for(SECOND);
    assert_eq!(simulation.primary(), Some(successor), "the returned member causes no view change");
}

/// A primary whose outgoing messages are lost is replaced, although it receives those of the others.
#[test]
fn primary_without_outgoing_messages_is_replaced() {
    let mut simulation = started(1, 3, 4, 3);
    let primary = simulation.acknowledge_one();
    simulation.isolate(primary, false, true);
    simulation.run_for(4 * SECOND);
    assert_ne!(simulation.primary().expect("the others have a primary"), primary);
    assert_makes_progress(&mut simulation);
}

#[test]
fn primary_whose_disk_hangs_is_replaced() {
    let mut simulation = started(1, 3, 4, 3);
    let primary = simulation.acknowledge_one();
    simulation.machines[primary].disk.stalled_until = simulation.now + 10 * SECOND;
    simulation.propose(primary);
    simulation.run_for(2500 * MS);
    assert_ne!(simulation.primary().expect("there is another primary"), primary);
    assert_makes_progress(&mut simulation);
}

#[test]
fn backup_whose_disk_hangs_is_replaced() {
    let mut simulation = started(1, 3, 4, 3);
    let primary = simulation.acknowledge_one();
    let backup = simulation.data_replicas()[1];
    simulation.machines[backup].disk.stalled_until = simulation.now + 20 * SECOND;
    assert_makes_progress(&mut simulation);
    assert_eq!(simulation.primary(), Some(primary), "the primary remains");
}

#[test]
fn terminated_primary_is_succeeded_within_600_ms() {
    let mut simulation = started(1, 3, 4, 3);
    let primary = simulation.acknowledge_one();
    simulation.input(primary, Input::Shutdown);
    let is_succeeded = simulation.run_until_or_timeout(600 * MS, |simulation| {
        simulation.primary().is_some_and(|successor| successor != primary)
    });
    assert!(is_succeeded);
}

/// A primary that was paused for longer than its lease neither holds a lease afterwards nor acknowledges anything.
#[rstest]
fn paused_primary_resumes_without_a_lease(#[values(0, 1, 2, 3)] seed: u64) {
    let mut simulation = started(1, 3, 4, seed);
    let primary = simulation.acknowledge_one();
    simulation.freeze(primary, 3 * SECOND);
    simulation.propose(primary);
    simulation.run_for(2500 * MS);
    let successor = simulation.acknowledge_one();
    assert_ne!(successor, primary);
    simulation.run_for(2 * SECOND);
    assert_eq!(simulation.primary(), Some(successor));
    assert_makes_progress(&mut simulation);
}

/// Machines with a CPU quota run for 10 ms of each 100 ms, each with a phase of its own: first the primary alone,
/// then its backup too, then all.
#[rstest]
fn cpu_quota_causes_no_view_change(#[values(0, 1, 2, 3)] seed: u64, #[values(1, 2, 4)] machines: usize) {
    let mut simulation = started(1, 3, 4, seed);
    let primary = simulation.acknowledge_one();
    let mut limited = simulation.data_replicas();
    let others: Vec<usize> = (0..4).filter(|machine| !limited.contains(machine)).collect();
    limited.extend(others);
    let view = simulation.view_at(primary).expect("the member has a view").clone();
    for period in 0..600 {
        for machine in limited.iter().take(machines) {
            simulation.freeze(*machine, 90 * MS);
            simulation.run_for(25 * MS);
        }
        simulation.run_for(100 * MS - 25 * MS * machines as u64);
        if period % 10 == 0 {
            simulation.propose(primary);
        }
    }
    assert_eq!(simulation.primary(), Some(primary));
    assert_eq!(simulation.view_at(primary), Some(&view));
    assert_makes_progress(&mut simulation);
}

/// Changes are acknowledged while the disks of two data replicas take 30 times as long.
#[rstest]
#[case(1, 3, 4)]
#[case(2, 5, 5)]
#[case(3, 7, 7)]
fn changes_are_acknowledged_with_two_slow_disks(
    #[case] tolerated_failures: u32,
    #[case] seeds: usize,
    #[case] machines: usize,
    #[values(0, 1, 2, 3)] seed: u64,
) {
    let mut simulation = started(tolerated_failures, seeds, machines, seed);
    simulation.acknowledge_one();
    let until = simulation.now + 20 * SECOND;
    for machine in simulation.data_replicas().into_iter().take(2) {
        simulation.machines[machine].disk.slow_until = until;
    }
    while simulation.now < until {
        assert!(simulation.make_progress(2 * SECOND), "no change was acknowledged at {}", simulation.now);
        assert_eq!(simulation.checker.violation, None);
    }
    assert_makes_progress(&mut simulation);
}

#[test]
fn unreliable_network_is_tolerated() {
    let mut simulation = started(2, 3, 8, 9);
    simulation.network = Network { loss: 200, duplication: 200, lateness: 50, delay: 60 * MS };
    for _ in 0..30 {
        simulation.make_progress(SECOND);
        assert_eq!(simulation.checker.violation, None);
    }
    simulation.heal();
    assert_makes_progress(&mut simulation);
}
