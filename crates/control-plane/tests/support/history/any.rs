//! Faults of any number of machines, whose disks stay.

use fastrand::Rng;

use super::{living, target};
use crate::support::random::{chance, pick};
use crate::support::simulation::{MS, Simulation};

/// Most writes after which a machine loses its power.
const MOST_WRITES_BEFORE_POWER_CUT: u32 = 12;

/// One kind of fault.
pub(super) fn inject_any_fault(simulation: &mut Simulation, script: &mut Rng) {
    let index = target(simulation, script);
    let span = script.u64(50..3000) * MS;
    match script.u64(0..17) {
        0 => simulation.kill(index, span),
        1 => simulation.cut_power(index, span),
        2 => simulation.freeze(index, span),
        3 => simulation.isolate(index, true, true),
        4 => simulation.isolate(index, true, false),
        5 => simulation.isolate(index, false, true),
        6 => simulation.machines[index].disk.stalled_until = simulation.now + span,
        7 => {
            let side: Vec<usize> = living(simulation).into_iter().filter(|_| chance(script, 500)).collect();
            simulation.split(&side);
        }
        8 => kill_all(simulation, script),
        9 => simulation.terminate(index, script.u64(0..1500) * MS, span),
        10 => terminate_in_exchange(simulation, script),
        11 => simulation.fill_disk(index, span),
        12 => simulation.machines[index].disk.slow_until = simulation.now + 2 * span,
        13 => simulation.cut_power_after_writes(index, script.u32(1..=MOST_WRITES_BEFORE_POWER_CUT), span),
        14 => cut_all_power_after_writes(simulation, script),
        15 => pause_several(simulation, script),
        _ => simulation.cuts.clear(),
    }
}

fn kill_all(simulation: &mut Simulation, script: &mut Rng) {
    let is_power = chance(script, 500);
    for index in living(simulation) {
        let restart_after = script.u64(50..1000) * MS;
        if is_power {
            simulation.cut_power(index, restart_after);
        } else {
            simulation.kill(index, restart_after);
        }
    }
}

fn pause_several(simulation: &mut Simulation, script: &mut Rng) {
    for index in living(simulation) {
        if chance(script, 500) {
            simulation.freeze(index, script.u64(50..2000) * MS);
        }
    }
}

/// Each machine loses power between two writes of its own.
fn cut_all_power_after_writes(simulation: &mut Simulation, script: &mut Rng) {
    for index in living(simulation) {
        let writes = script.u32(1..=MOST_WRITES_BEFORE_POWER_CUT);
        let restart_after = script.u64(50..1000) * MS;
        simulation.cut_power_after_writes(index, writes, restart_after);
    }
}

/// A member crashes, and another one is asked to end while it is exchanged.
fn terminate_in_exchange(simulation: &mut Simulation, script: &mut Rng) {
    let crashed = target(simulation, script);
    simulation.kill(crashed, script.u64(1000..3000) * MS);
    simulation.run_for(script.u64(0..1500) * MS);
    let leaving = pick(script, &living(simulation));
    simulation.terminate(leaving, script.u64(0..1000) * MS, script.u64(50..2000) * MS);
}
