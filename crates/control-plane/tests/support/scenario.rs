//! Common start and end of tests of directed fault scenarios.

use super::history::PROGRESS_WITHIN;
use super::simulation::{ClusterShape, Fault, SECOND, Simulation};

/// Returns a cluster that has acknowledged a proposal and is past its first boot.
pub(crate) fn started(tolerated_failures: u32, seeds: usize, machines: usize, seed: u64) -> Simulation {
    let mut simulation =
        Simulation::new(seed, ClusterShape { tolerated_failures, seeds, machines, fault: Fault::None });
    simulation.acknowledge_one();
    simulation.end_first_boot();
    simulation.run_for(3 * SECOND);
    simulation
}

/// Asserts that no invariant is violated and that a proposal is acknowledged in time.
pub(crate) fn assert_makes_progress(simulation: &mut Simulation) {
    let is_live = simulation.make_progress(PROGRESS_WITHIN);
    assert_eq!(simulation.checker.violation, None);
    assert!(is_live, "a proposal is acknowledged in time");
}
