//! What tests of single kinds of faults begin and end with.

use super::history::PROGRESS_WITHIN;
use super::simulation::{Fault, SECOND, Shape, Simulation};

/// A cluster that has acknowledged a proposal and is past its first boot.
pub(crate) fn started(losses: u32, seeds: usize, machines: usize, seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed, Shape { losses, seeds, machines, fault: Fault::None });
    simulation.acknowledge_one();
    simulation.end_first_boot();
    simulation.run_for(3 * SECOND);
    simulation
}

/// Asserts that no promise was broken and that a proposal is acknowledged in time.
pub(crate) fn assert_goes_on(simulation: &mut Simulation) {
    let is_live = simulation.make_progress(PROGRESS_WITHIN);
    assert_eq!(simulation.checker.violation, None);
    assert!(is_live, "a proposal is acknowledged in time");
}
