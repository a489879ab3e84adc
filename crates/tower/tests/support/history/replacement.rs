//! Planned replacement without end: a new machine first, then the oldest one leaves.

use fastrand::Rng;

use super::{PROGRESS_WITHIN, living};
use crate::support::checker::Violation;
use crate::support::random::{chance, pick};
use crate::support::simulation::{MS, SECOND, Simulation};

/// A view without the machines that are gone has to be in force, and known, within this time.
const SETTLED_WITHIN: u64 = 12 * SECOND;
/// Replacements after the last machine of the first boot has left.
const MOST_FURTHER_REPLACEMENTS: usize = 4;

/// Replaces machines until none of the first ones is left, and some more; `load` runs in between.
pub(super) fn replace_all(
    simulation: &mut Simulation,
    script: &mut Rng,
    load: impl Fn(&mut Simulation, &mut Rng),
) {
    let rounds = simulation.machines.len() + script.usize(..MOST_FURTHER_REPLACEMENTS);
    await_settled_view(simulation);
    for _ in 0..rounds {
        replace_oldest(simulation, script);
        load(simulation, script);
        if simulation.losses() > 1 && chance(script, 200) {
            lose_another(simulation, script);
        }
        await_settled_view(simulation);
        if simulation.losses() > 0 && chance(script, 300) {
            lose_another(simulation, script);
            await_settled_view(simulation);
        }
        if simulation.checker.violation.is_some() {
            return;
        }
    }
}

fn replace_oldest(simulation: &mut Simulation, script: &mut Rng) {
    let oldest = living(simulation)[0];
    let generation = simulation.random.u64(..) | 1;
    simulation.add_machine(generation, simulation.now + script.u64(0..500) * MS);
    simulation.run_for(script.u64(1000..4000) * MS);
    if simulation.losses() == 0 {
        // Without a backup the only holder cannot leave.
        return;
    }
    simulation.terminate_for_good(oldest, script.u64(0..2000) * MS);
}

/// A machine crashes, loses power, or loses its disk.
fn lose_another(simulation: &mut Simulation, script: &mut Rng) {
    let is_staying = |index: &usize| !simulation.machines[*index].leaving;
    let staying: Vec<usize> = living(simulation).into_iter().filter(is_staying).collect();
    let anyone = pick(script, &staying);
    let primary = simulation.primary().filter(is_staying);
    let index = primary.filter(|_| chance(script, 500)).unwrap_or(anyone);
    let restart_after = script.u64(50..3000) * MS;
    match script.u64(0..3) {
        0 => simulation.kill(index, restart_after),
        1 => simulation.cut_power(index, restart_after),
        _ => simulation.wipe(index, restart_after),
    }
    if !simulation.make_progress(PROGRESS_WITHIN) {
        simulation.checker.violation.get_or_insert(Violation::NoProgress);
    }
}

fn await_settled_view(simulation: &mut Simulation) {
    let is_settled = simulation.run_while_not(SETTLED_WITHIN, |simulation| {
        simulation.leaving_count() == 0 && simulation.is_view_settled()
    });
    if !is_settled {
        simulation.checker.violation.get_or_insert(Violation::ViewNotSettled);
    }
}
