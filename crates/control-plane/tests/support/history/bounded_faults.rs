//! Faults of at most f machines at once, including loss of their disks.

use fastrand::Rng;

use super::{LOST_AFTER_RECOVERY, target};
use crate::support::random::chance;
use crate::support::simulation::{MS, Simulation};

fn lost_machine_count(simulation: &Simulation) -> usize {
    simulation.machines.iter().filter(|machine| machine.lost_until > simulation.now).count()
}

/// Injects a fault into one machine, unless f other machines already count as lost.
pub(super) fn inject_fault(simulation: &mut Simulation, rng: &mut Rng) {
    let index = target(simulation, rng);
    let span = rng.u64(50..2500) * MS;
    let is_counted = simulation.machines[index].lost_until > simulation.now;
    if lost_machine_count(simulation) >= simulation.tolerated_failures() && !is_counted {
        simulation.run_for(rng.u64(200..2000) * MS);
        return;
    }
    let lost_until = simulation.now + span + LOST_AFTER_RECOVERY;
    simulation.machines[index].lost_until = lost_until;
    match rng.u64(0..10) {
        0 | 1 => simulation.wipe(index, span),
        2 | 3 => {
            let replacement = simulation.replace(index, span);
            simulation.machines[replacement].lost_until = 0;
        }
        4 => simulation.freeze(index, span),
        5 => simulation.kill(index, span),
        6 => replace_gracefully(simulation, rng, index),
        7 => simulation.fill_disk(index, span),
        8 => simulation.machines[index].disk.slow_until = simulation.now + span,
        _ => {
            simulation.isolate(index, chance(rng, 700), true);
            simulation.run_for(span);
            simulation.cuts.clear();
            simulation.machines[index].lost_until = simulation.now + LOST_AFTER_RECOVERY;
        }
    }
}

/// Starts another machine first, then terminates this one.
fn replace_gracefully(simulation: &mut Simulation, rng: &mut Rng, index: usize) {
    let generation = simulation.random.u64(..) | 1;
    simulation.add_machine(generation, simulation.now);
    simulation.run_for(rng.u64(0..2000) * MS);
    simulation.terminate_for_good(index, 0);
    simulation.machines[index].lost_until = simulation.now + LOST_AFTER_RECOVERY;
}
