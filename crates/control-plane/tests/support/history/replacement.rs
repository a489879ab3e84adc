//! Planned replacement without end: a new machine first, then the oldest one leaves.

use fastrand::Rng;
use tulipridge_control_plane::replication::Departure;

use super::{PROGRESS_WITHIN, living};
use crate::support::checker::Violation;
use crate::support::random::chance;
use crate::support::simulation::{MS, SECOND, Simulation};

/// A view without the machines that are gone has to be in force, and known, within this time.
const COMPLETE_WITHIN: u64 = 12 * SECOND;
/// Replacements after the last machine of the first boot has left.
const MOST_FURTHER_REPLACEMENTS: usize = 4;

/// Replaces machines until none of the first ones is left, and some more; `load` runs in between.
pub(super) fn replace_all(
    simulation: &mut Simulation,
    script: &mut Rng,
    load: impl Fn(&mut Simulation, &mut Rng),
) {
    let rounds = simulation.machines.len() + script.usize(..MOST_FURTHER_REPLACEMENTS);
    await_complete_view(simulation);
    for _ in 0..rounds {
        let leaving = replace_oldest(simulation, script);
        let loses_while_leaving = chance(script, 300);
        if loses_while_leaving {
            simulation.run_for(script.u64(0..1500) * MS);
            let losses = simulation.losses();
            lose_others(simulation, script, losses);
        }
        load(simulation, script);
        await_departure(simulation, leaving);
        if !loses_while_leaving && chance(script, 500) {
            let losses = simulation.losses();
            lose_others(simulation, script, losses);
        }
        await_complete_view(simulation);
        if simulation.checker.violation.is_some() {
            return;
        }
    }
}

fn replace_oldest(simulation: &mut Simulation, script: &mut Rng) -> usize {
    let oldest = living(simulation)[0];
    let generation = simulation.random.u64(..) | 1;
    simulation.add_machine(generation, simulation.now + script.u64(0..500) * MS);
    simulation.run_for(script.u64(1000..4000) * MS);
    simulation.leave(oldest);
    oldest
}

/// Where its place was not taken in time, a view without it has to be in force before anything else is lost.
fn await_departure(simulation: &mut Simulation, leaving: usize) {
    simulation.run_while_not(COMPLETE_WITHIN, |simulation| simulation.departure(leaving).is_some());
    if simulation.departure(leaving) != Some(Departure::Free) {
        await_complete_view(simulation);
    }
}

/// Machines crash, lose power, or lose their disks; the primary is likely to be among them.
fn lose_others(simulation: &mut Simulation, script: &mut Rng, count: usize) {
    let is_staying = |index: &usize| simulation.machines[*index].leaving.is_none();
    let mut staying: Vec<usize> = living(simulation).into_iter().filter(is_staying).collect();
    script.shuffle(&mut staying);
    let primary = simulation.primary().filter(|_| chance(script, 500));
    staying.sort_by_key(|index| Some(*index) != primary);
    for index in staying.into_iter().take(count) {
        lose(simulation, script, index);
    }
    if !simulation.make_progress(PROGRESS_WITHIN) {
        simulation.checker.violation.get_or_insert(Violation::NoProgress);
    }
}

fn lose(simulation: &mut Simulation, script: &mut Rng, index: usize) {
    let restart_after = script.u64(50..3000) * MS;
    match script.u64(0..3) {
        0 => simulation.kill(index, restart_after),
        1 => simulation.cut_power(index, restart_after),
        _ => simulation.wipe(index, restart_after),
    }
}

fn await_complete_view(simulation: &mut Simulation) {
    let is_complete = simulation.run_while_not(COMPLETE_WITHIN, |simulation| {
        simulation.leaving_count() == 0 && simulation.is_view_complete()
    });
    if !is_complete {
        simulation.checker.violation.get_or_insert(Violation::ViewIncomplete);
    }
}
