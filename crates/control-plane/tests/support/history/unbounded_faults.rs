//! Faults of any number of machines at once; their disks keep synced data.

use fastrand::Rng;

use super::{present_machines, target};
use crate::support::random::{chance, pick};
use crate::support::simulation::{MS, Simulation};

/// Upper limit of the number of writes before a power loss.
const MAX_WRITES_BEFORE_POWER_CUT: u32 = 12;

/// Injects one fault of a random kind.
pub(super) fn inject_fault(simulation: &mut Simulation, rng: &mut Rng) {
    let index = target(simulation, rng);
    let span = rng.u64(50..3000) * MS;
    match rng.u64(0..17) {
        0 => simulation.kill(index, span),
        1 => simulation.cut_power(index, span),
        2 => simulation.freeze(index, span),
        3 => simulation.isolate(index, true, true),
        4 => simulation.isolate(index, true, false),
        5 => simulation.isolate(index, false, true),
        6 => simulation.machines[index].disk.stalled_until = simulation.now + span,
        7 => {
            let side: Vec<usize> =
                present_machines(simulation).into_iter().filter(|_| chance(rng, 500)).collect();
            simulation.split(&side);
        }
        8 => kill_all(simulation, rng),
        9 => simulation.terminate(index, rng.u64(0..1500) * MS, span),
        10 => terminate_during_view_change(simulation, rng),
        11 => simulation.fill_disk(index, span),
        12 => simulation.machines[index].disk.slow_until = simulation.now + 2 * span,
        13 => simulation.cut_power_after_writes(index, rng.u32(1..=MAX_WRITES_BEFORE_POWER_CUT), span),
        14 => cut_all_power_after_writes(simulation, rng),
        15 => freeze_some(simulation, rng),
        _ => simulation.cuts.clear(),
    }
}

fn kill_all(simulation: &mut Simulation, rng: &mut Rng) {
    let is_power_loss = chance(rng, 500);
    for index in present_machines(simulation) {
        let restart_after = rng.u64(50..1000) * MS;
        if is_power_loss {
            simulation.cut_power(index, restart_after);
        } else {
            simulation.kill(index, restart_after);
        }
    }
}

fn freeze_some(simulation: &mut Simulation, rng: &mut Rng) {
    for index in present_machines(simulation) {
        if chance(rng, 500) {
            simulation.freeze(index, rng.u64(50..2000) * MS);
        }
    }
}

/// Cuts the power of each machine after a random number of its own writes.
fn cut_all_power_after_writes(simulation: &mut Simulation, rng: &mut Rng) {
    for index in present_machines(simulation) {
        let writes = rng.u32(1..=MAX_WRITES_BEFORE_POWER_CUT);
        let restart_after = rng.u64(50..1000) * MS;
        simulation.cut_power_after_writes(index, writes, restart_after);
    }
}

/// Crashes a member and terminates another one while the first one is being replaced in the view.
fn terminate_during_view_change(simulation: &mut Simulation, rng: &mut Rng) {
    let crashed = target(simulation, rng);
    simulation.kill(crashed, rng.u64(1000..3000) * MS);
    simulation.run_for(rng.u64(0..1500) * MS);
    let leaving = pick(rng, &present_machines(simulation));
    simulation.terminate(leaving, rng.u64(0..1000) * MS, rng.u64(50..2000) * MS);
}
