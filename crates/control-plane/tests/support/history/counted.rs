//! Faults of no more than f machines at once, disks included.

use fastrand::Rng;

use super::{LOST_AFTER_RETURN, target};
use crate::support::random::chance;
use crate::support::simulation::{MS, Simulation};

fn lost_count(simulation: &Simulation) -> usize {
    simulation.machines.iter().filter(|machine| machine.lost_until > simulation.now).count()
}

/// A fault of one machine, if not too many are lost already.
pub(super) fn inject_counted_fault(simulation: &mut Simulation, script: &mut Rng) {
    let index = target(simulation, script);
    let span = script.u64(50..2500) * MS;
    let is_counted = simulation.machines[index].lost_until > simulation.now;
    if lost_count(simulation) >= simulation.losses() && !is_counted {
        simulation.run_for(script.u64(200..2000) * MS);
        return;
    }
    let lost_until = simulation.now + span + LOST_AFTER_RETURN;
    simulation.machines[index].lost_until = lost_until;
    match script.u64(0..10) {
        0 | 1 => simulation.wipe(index, span),
        2 | 3 => {
            let replacement = simulation.replace(index, span);
            simulation.machines[replacement].lost_until = 0;
        }
        4 => simulation.freeze(index, span),
        5 => simulation.kill(index, span),
        6 => replace_as_planned(simulation, script, index),
        7 => simulation.fill_disk(index, span),
        8 => simulation.machines[index].disk.slow_until = simulation.now + span,
        _ => {
            simulation.isolate(index, chance(script, 700), true);
            simulation.run_for(span);
            simulation.cuts.clear();
            simulation.machines[index].lost_until = simulation.now + LOST_AFTER_RETURN;
        }
    }
}

/// Another machine starts first; then this one is asked to end.
fn replace_as_planned(simulation: &mut Simulation, script: &mut Rng, index: usize) {
    let generation = simulation.random.u64(..) | 1;
    simulation.add_machine(generation, simulation.now);
    simulation.run_for(script.u64(0..2000) * MS);
    simulation.terminate_for_good(index, 0);
    simulation.machines[index].lost_until = simulation.now + LOST_AFTER_RETURN;
}
