//! Departures of members: no data of which they have the only replica is lost, and no majority is.

mod support;

use std::time::Duration;

use rstest::rstest;
use support::history::PROGRESS_WITHIN;
use support::scenario::{assert_makes_progress, started};
use support::simulation::{MS, SECOND, Simulation};
use tulipridge_control_plane::replication::{Departure, Input};
use tulipridge_control_plane::server::departure::may_exit;

const LEEWAY: Duration = Duration::from_secs(8);
const CHECK_INTERVAL_US: u64 = 50 * MS;

fn departure_state(simulation: &Simulation, index: usize) -> Departure {
    let machine = &simulation.machines[index];
    let process = machine.process.as_ref().expect("the process is running");
    process.replication.departure(machine.clock.local(simulation.now))
}

/// Asks a member to terminate and waits until its process may end; returns how long that took, and the departure
/// state at the end.
fn depart(simulation: &mut Simulation, index: usize) -> (Duration, Departure) {
    let since = simulation.now;
    simulation.input(index, Input::Shutdown);
    loop {
        let waited = Duration::from_micros(simulation.now - since);
        let departure = departure_state(simulation, index);
        if may_exit(waited, LEEWAY, departure) {
            return (waited, departure);
        }
        simulation.run_for(CHECK_INTERVAL_US);
    }
}

/// The member at this position of the view's data replicas.
fn data_replica(simulation: &Simulation, rank: usize) -> usize {
    let primary = simulation.primary().expect("there is a primary");
    let process = simulation.machines[primary].process.as_ref().expect("the process is running");
    let node = process.replication.view().expect("the member has a view").data_replicas[rank];
    simulation.machines.iter().position(|machine| machine.node == node).expect("the machine exists")
}

#[rstest]
#[case::free(1_199, Departure::Safe, false)]
#[case::free_after_the_stop_grace(1_200, Departure::Safe, true)]
#[case::voter(2_499, Departure::Votes, false)]
#[case::voter_after_the_vote_grace(2_500, Departure::Votes, true)]
#[case::data_replica(7_499, Departure::StoresData, false)]
#[case::data_replica_at_the_kill_margin(7_500, Departure::StoresData, true)]
fn a_process_ends_once_it_is_not_required(
    #[case] waited_ms: u64,
    #[case] departure: Departure,
    #[case] expected: bool,
) {
    assert_eq!(may_exit(Duration::from_millis(waited_ms), LEEWAY, departure), expected);
}

/// The backup's disk is lost, and the primary, which has the only replica of the acknowledged data, is asked to
/// terminate and removed.
#[rstest]
fn a_departing_primary_stays_until_its_data_is_replicated(
    #[values(0, 1, 2, 3, 4, 5, 6, 7)] seed: u64,
    #[values(0, 30, 300, 900)] after_ms: u64,
) {
    let mut simulation = started(1, 3, 4, seed);
    let primary = simulation.acknowledge_one();
    let backup = data_replica(&simulation, 1);
    simulation.wipe(backup, 400 * MS);
    simulation.run_for(after_ms * MS);
    let departing = simulation.primary().unwrap_or(primary);
    let (_, departure) = depart(&mut simulation, departing);
    assert_ne!(departure, Departure::StoresData);
    simulation.replace(departing, 500 * MS);
    assert_makes_progress(&mut simulation);
}

/// The successor of a departing primary loses its disk before it has become primary.
#[rstest]
fn a_departing_primary_remains_if_its_successor_is_lost(
    #[values(0, 1, 2, 3)] seed: u64,
    #[values(1, 10, 30, 60, 100)] after_ms: u64,
) {
    let mut simulation = started(1, 3, 4, seed);
    let primary = simulation.acknowledge_one();
    let backup = data_replica(&simulation, 1);
    simulation.input(primary, Input::Shutdown);
    simulation.run_for(after_ms * MS);
    simulation.wipe(backup, 400 * MS);
    let (waited, departure) = depart(&mut simulation, primary);
    assert_ne!(departure, Departure::StoresData, "after {waited:?}");
    simulation.replace(primary, 500 * MS);
    assert_makes_progress(&mut simulation);
}

/// Maximum number of view changes when two members depart and a third one returns.
const MAX_VIEWS: u64 = 8;

/// The round of the newest view that a member knows, which grows by one with each view.
fn view_round(simulation: &Simulation, index: usize) -> u64 {
    const ROUND_SHIFT: u32 = 40;
    let process = simulation.machines[index].process.as_ref().expect("the process is running");
    process.replication.epoch().0 >> ROUND_SHIFT
}

/// The primary and its backup are asked to terminate at the same time, while the third member is isolated. Neither
/// knows of the other's departure; they must not hand the lease to each other without end (found by tests/model.rs).
#[rstest]
fn two_departing_data_replicas_hand_over_to_a_third_member(#[values(0, 1, 2, 3)] seed: u64) {
    let mut simulation = started(1, 3, 3, seed);
    let primary = simulation.acknowledge_one();
    let backup = data_replica(&simulation, 1);
    let views_before = view_round(&simulation, primary);
    simulation.isolate(3 - primary - backup, true, true);
    simulation.input(backup, Input::Shutdown);
    simulation.input(primary, Input::Shutdown);
    simulation.run_for(500 * MS);
    simulation.heal();
    simulation.run_for(SECOND);
    let views = view_round(&simulation, primary) - views_before;
    assert!(views <= MAX_VIEWS, "{views} view changes");
    let successor = simulation.acknowledge_one();
    assert!(successor != primary && successor != backup);
    assert_makes_progress(&mut simulation);
}

/// Any one member departs for good; right after its process has ended, as many others as tolerated lose their disks.
#[rstest]
#[case(1, 3, 4)]
#[case(2, 5, 6)]
#[case(2, 3, 8)]
fn losses_right_after_a_departure_are_tolerated(
    #[case] tolerated_failures: u32,
    #[case] seeds: usize,
    #[case] machines: usize,
    #[values(0, 1, 2)] seed: u64,
) {
    for departing in 0..machines {
        let mut simulation = started(tolerated_failures, seeds, machines, seed);
        simulation.acknowledge_one();
        let (_, departure) = depart(&mut simulation, departing);
        assert_eq!(departure, Departure::Safe, "machine {departing}");
        simulation.replace(departing, 30 * SECOND);
        let mut others: Vec<usize> = (0..machines).filter(|index| *index != departing).collect();
        let primary = simulation.primary();
        others.sort_by_key(|index| Some(*index) != primary);
        for index in others.into_iter().take(tolerated_failures as usize) {
            simulation.wipe(index, 30 * SECOND);
        }
        assert_makes_progress(&mut simulation);
    }
}

/// Every machine is replaced several times, each by a new one that joins first: none of the first seeds remains.
#[rstest]
#[case::no_loss_tolerated(0, 1, 1)]
#[case::one_loss(1, 3, 4)]
#[case::two_losses(2, 5, 5)]
fn planned_replacement_continues_without_the_first_seeds(
    #[case] tolerated_failures: u32,
    #[case] seeds: usize,
    #[case] machines: usize,
    #[values(0, 1, 2)] seed: u64,
) {
    let mut simulation = started(tolerated_failures, seeds, machines, seed);
    for oldest in 0..3 * machines {
        simulation.acknowledge_one();
        let generation = simulation.random.u64(..) | 1;
        simulation.add_machine(generation, simulation.now);
        simulation.run_for(2 * SECOND);
        let (_, departure) = depart(&mut simulation, oldest);
        assert_ne!(departure, Departure::StoresData, "machine {oldest}");
        simulation.machines[oldest].process = None;
        simulation.machines[oldest].removed = true;
        assert_makes_progress(&mut simulation);
    }
}

/// Without another machine nothing can be handed over: the process stays until it is killed, unless no loss has to be
/// tolerated.
#[rstest]
#[case::no_loss_tolerated(0, 1, 1, Departure::Safe)]
#[case::others_are_down(1, 3, 3, Departure::StoresData)]
fn departure_of_the_last_running_member(
    #[case] tolerated_failures: u32,
    #[case] seeds: usize,
    #[case] machines: usize,
    #[case] expected: Departure,
) {
    let mut simulation = started(tolerated_failures, seeds, machines, 1);
    let primary = simulation.acknowledge_one();
    for index in (0..machines).filter(|index| *index != primary) {
        simulation.kill(index, 60 * SECOND);
    }
    let (_, departure) = depart(&mut simulation, primary);
    assert_eq!(departure, expected);
}

/// Rolling restarts of all machines, several times.
#[rstest]
fn rolling_restarts_keep_the_cluster_available(#[values(0, 1, 2, 3)] seed: u64) {
    let mut simulation = started(1, 3, 4, seed);
    for round in 0..12 {
        simulation.acknowledge_one();
        let (waited, departure) = depart(&mut simulation, round % 4);
        assert_eq!(departure, Departure::Safe, "round {round} after {waited:?}");
        simulation.kill(round % 4, 300 * MS);
        assert_makes_progress(&mut simulation);
        simulation.run_for(SECOND);
    }
}

/// Injected fault: a primary ends although it has the only replica of the data. The cluster must be seen to stop.
#[test]
fn a_departure_without_handover_is_detected() {
    let mut simulation = started(1, 3, 4, 1);
    let primary = simulation.acknowledge_one();
    let backup = data_replica(&simulation, 1);
    simulation.wipe(backup, 400 * MS);
    simulation.input(primary, Input::Shutdown);
    simulation.run_for(30 * MS);
    assert_eq!(departure_state(&simulation, primary), Departure::StoresData);
    simulation.replace(primary, 500 * MS);
    assert!(!simulation.make_progress(PROGRESS_WITHIN) || simulation.checker.violation.is_some());
}
