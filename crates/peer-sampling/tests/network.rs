//! Views in a simulated network that runs in virtual time.

mod simulation;

use rstest::rstest;
use simulation::{Network, Size, TICK_MS};
use tulipridge_peer_sampling::datagram::MAX_DATAGRAM_BYTES;
use tulipridge_peer_sampling::view::{CAPACITY, MAX_AGE_TICKS};
use tulipridge_protocol::peer_sampling::Role;

/// Ticks after which the entries are well mixed.
const MIXING_TICKS: u64 = 60;
/// Ticks after which no view contains a dead process: the maximum age of an entry, a tenth more for the jitter of the
/// ticks, one for the tick in progress, and one by which an entry has to exceed the maximum age.
const EXPIRY_TICKS: u64 = MAX_AGE_TICKS as u64 * 11 / 10 + 2;

const SMALL: Size = Size { control: 4, agents: 9 };
const LARGE: Size = Size { control: 21, agents: 420 };

#[rstest]
#[case::small(SMALL, 0.0)]
#[case::small_with_losses(SMALL, 0.05)]
#[case::large(LARGE, 0.0)]
#[case::large_with_losses(LARGE, 0.05)]
fn a_network_is_connected_and_knows_the_control_plane(
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
        let without = network.processes_without_control_member();
        assert!(without * 20 <= size.total(), "{without} processes know no control-plane member");
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
    let max = *agents.iter().max().expect("agents") as f64;
    let unknown = agents.iter().filter(|degree| **degree == 0).count();
    assert!(max <= 2.5 * mean, "in-degree {max}, mean {mean}");
    assert_eq!(unknown, 0, "agents that are in no view");
    let control = network.in_degrees(Role::Control);
    let mean = control.iter().sum::<usize>() as f64 / control.len() as f64;
    let max = *control.iter().max().expect("control-plane members") as f64;
    assert!(max <= 2.5 * mean, "in-degree {max}, mean {mean}");
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
        let killed = network.kill_random(4);
        network.run(2);
        killed.iter().for_each(|index| network.start(*index));
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
    let without = network.processes_without_control_member();
    assert!(without * 10 <= LARGE.total(), "{without} processes know no control-plane member");
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
        let per_tick = network.datagram_count as f64 / (size.total() as u64 * MIXING_TICKS) as f64;
        (network.longest_datagram_bytes, per_tick)
    });
    for (longest, per_tick) in measured {
        assert!(longest <= MAX_DATAGRAM_BYTES / 2, "{longest} bytes");
        assert!(per_tick <= 2.3, "{per_tick} datagrams per process and tick");
    }
    let [(small, _), (large, _)] = measured;
    assert!(large <= small + small / 4, "{small} bytes in the small system, {large} in the large one");
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
