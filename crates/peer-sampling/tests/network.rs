//! Views in a simulated network in virtual time.

mod simulation;

use rstest::rstest;
use simulation::{Network, Size, TICK_MS};
use tulipridge_peer_sampling::datagram::MAX_DATAGRAM_BYTES;
use tulipridge_peer_sampling::view::{CAPACITY, MAX_AGE};
use tulipridge_protocol::peer_sampling::Role;

/// Ticks after which views are well mixed.
const MIXING_TICKS: u64 = 60;
/// Ticks within which a dead process is in no view: the age at which an entry is dropped, and a tenth more for
/// the jitter of the ticks, and one for the tick under way.
const EXPIRY_TICKS: u64 = MAX_AGE as u64 * 11 / 10 + 2;

const SMALL: Size = Size { control: 4, agents: 9 };
const LARGE: Size = Size { control: 21, agents: 420 };

#[rstest]
#[case::small(SMALL, 0.0)]
#[case::small_with_losses(SMALL, 0.05)]
#[case::large(LARGE, 0.0)]
#[case::large_with_losses(LARGE, 0.05)]
fn a_network_is_connected_and_everyone_knows_the_control_plane(
    #[case] size: Size,
    #[case] loss: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut network = Network::new(size, loss, seed);
    network.start_all();
    network.run(MIXING_TICKS);
    for _ in 0..20 {
        network.run(1);
        assert!(network.is_connected());
        let without = network.processes_without_control();
        assert!(without * 20 <= size.total(), "{without} know no control member");
    }
}

#[rstest]
fn everyone_is_known_where_the_view_has_capacity(#[values(1, 2, 3)] seed: u64) {
    let mut network = Network::new(SMALL, 0.0, seed);
    network.start_all();
    network.run(MIXING_TICKS);
    assert!(network.view_sizes().all(|size| size == SMALL.total() - 1));
}

#[rstest]
fn no_process_is_in_far_more_views_than_others(#[values(1, 2, 3)] seed: u64) {
    let mut network = Network::new(LARGE, 0.01, seed);
    network.start_all();
    network.run(MIXING_TICKS);
    let agents = network.in_degrees(Role::Agent);
    let mean = agents.iter().sum::<usize>() as f64 / agents.len() as f64;
    let most = *agents.iter().max().expect("agents") as f64;
    let unknown = agents.iter().filter(|degree| **degree == 0).count();
    assert!(most <= 2.5 * mean, "{most} of a mean of {mean}");
    assert_eq!(unknown, 0, "agents that nobody knows");
    let control = network.in_degrees(Role::Control);
    let mean = control.iter().sum::<usize>() as f64 / control.len() as f64;
    let most = *control.iter().max().expect("control members") as f64;
    assert!(most <= 2.5 * mean, "{most} of a mean of {mean}");
}

#[rstest]
#[case::small(SMALL, 3)]
#[case::large(LARGE, 150)]
fn entries_of_dead_processes_are_dropped(
    #[case] size: Size,
    #[case] count: usize,
    #[values(1, 2)] seed: u64,
) {
    let mut network = Network::new(size, 0.02, seed);
    network.start_all();
    network.run(MIXING_TICKS);
    let dead = network.kill_random(count);
    network.run(EXPIRY_TICKS);
    assert_eq!(network.entries_of(&dead), 0);
    assert!(network.is_connected());
}

#[rstest]
#[case::small(SMALL)]
#[case::large(LARGE)]
fn a_restarted_process_replaces_its_earlier_incarnation(#[case] size: Size, #[values(1, 2)] seed: u64) {
    let mut network = Network::new(size, 0.02, seed);
    network.start_all();
    network.run(MIXING_TICKS);
    let restarted = network.kill_random(5);
    restarted.iter().for_each(|index| network.start(*index));
    network.run(EXPIRY_TICKS);
    assert_eq!(network.entries_of_earlier_generations(), 0);
    assert!(network.is_connected());
}

#[rstest]
fn churn_does_not_disconnect_the_network(#[values(1, 2, 3)] seed: u64) {
    let mut network = Network::new(LARGE, 0.02, seed);
    network.start_all();
    network.run(MIXING_TICKS);
    for _ in 0..40 {
        let gone = network.kill_random(4);
        network.run(2);
        gone.iter().for_each(|index| network.start(*index));
    }
    network.run(20);
    assert!(network.is_connected());
}

#[rstest]
#[case::small(SMALL)]
#[case::large(LARGE)]
fn seeds_may_start_last(#[case] size: Size, #[values(1, 2)] seed: u64) {
    let mut network = Network::new(size, 0.02, seed);
    let (seeds, others) = network.seeds_and_others();
    others.iter().for_each(|index| network.start(*index));
    network.run(10);
    seeds.iter().for_each(|index| network.start(*index));
    network.run(MIXING_TICKS);
    assert!(network.is_connected());
}

#[rstest]
fn seeds_may_be_lost_for_good(#[values(1, 2)] seed: u64) {
    let mut network = Network::new(LARGE, 0.02, seed);
    network.start_all();
    network.run(MIXING_TICKS);
    let (seeds, _) = network.seeds_and_others();
    seeds.iter().for_each(|index| network.kill(*index));
    network.run(2 * MIXING_TICKS);
    assert!(network.is_connected());
    let without = network.processes_without_control();
    assert!(without * 10 <= LARGE.total(), "{without} know no control member");
}

#[rstest]
fn overlays_merge_again_after_a_long_partition(#[values(1, 2, 3)] seed: u64) {
    let mut network = Network::new(LARGE, 0.01, seed);
    network.start_all();
    network.run(MIXING_TICKS);
    network.partition_in_halves();
    network.run(2 * MIXING_TICKS);
    assert!(!network.is_connected());
    network.heal();
    network.run(MIXING_TICKS);
    assert!(network.is_connected());
}

#[rstest]
fn datagrams_and_traffic_do_not_grow_with_the_system(#[values(1, 2)] seed: u64) {
    let measured = [SMALL, LARGE].map(|size| {
        let mut network = Network::new(size, 0.0, seed);
        network.start_all();
        network.run(MIXING_TICKS);
        network.measure_traffic();
        network.run(MIXING_TICKS);
        let a_tick = network.datagrams as f64 / (size.total() as u64 * MIXING_TICKS) as f64;
        (network.longest_datagram, a_tick)
    });
    for (longest, a_tick) in measured {
        assert!(longest <= MAX_DATAGRAM_BYTES / 2, "{longest} bytes");
        assert!(a_tick <= 2.3, "{a_tick} datagrams a tick");
    }
    let [(small, _), (large, _)] = measured;
    assert!(large <= small + small / 4, "{small} bytes with few, {large} with many");
}

#[test]
fn a_view_never_exceeds_its_capacity() {
    let mut network = Network::new(LARGE, 0.0, 1);
    network.start_all();
    for _ in 0..MIXING_TICKS {
        network.run(1);
        assert!(network.view_sizes().all(|size| size <= CAPACITY));
    }
    assert_eq!(network.now_ms(), MIXING_TICKS * TICK_MS);
}
