//! Repeated graceful replacement: a new machine starts first, then the oldest one leaves.

use fastrand::Rng;
use tulipridge_control_plane::replication::Departure;

use super::{PROGRESS_WITHIN, present_machines};
use crate::support::checker::Violation;
use crate::support::random::chance;
use crate::support::simulation::{MS, SECOND, Simulation};

/// A view without the departed machines must be installed, and known to its voters, within this time.
const COMPLETE_WITHIN: u64 = 12 * SECOND;
/// Exclusive upper limit of the replacements that follow those of the initial machines.
const MAX_FURTHER_REPLACEMENTS: usize = 4;

/// Replaces all initial machines and then some more; `load` runs in between.
pub(super) fn replace_all(
    simulation: &mut Simulation,
    rng: &mut Rng,
    load: impl Fn(&mut Simulation, &mut Rng),
) {
    let rounds = simulation.machines.len() + rng.usize(..MAX_FURTHER_REPLACEMENTS);
    await_complete_view(simulation);
    for _ in 0..rounds {
        let leaving = replace_oldest(simulation, rng);
        let fails_during_departure = chance(rng, 300);
        if fails_during_departure {
            simulation.run_for(rng.u64(0..1500) * MS);
            let losses = simulation.tolerated_failures();
            fail_others(simulation, rng, losses);
        }
        load(simulation, rng);
        await_departure(simulation, leaving);
        if !fails_during_departure && chance(rng, 500) {
            let losses = simulation.tolerated_failures();
            fail_others(simulation, rng, losses);
        }
        await_complete_view(simulation);
        if simulation.checker.violation.is_some() {
            return;
        }
    }
}

fn replace_oldest(simulation: &mut Simulation, rng: &mut Rng) -> usize {
    let oldest = present_machines(simulation)[0];
    let generation = simulation.random.u64(..) | 1;
    simulation.add_machine(generation, simulation.now + rng.u64(0..500) * MS);
    simulation.run_for(rng.u64(1000..4000) * MS);
    simulation.leave(oldest);
    oldest
}

/// Waits until a machine has left. If its place was not taken in time, waits for a view without it before any
/// further fault.
fn await_departure(simulation: &mut Simulation, leaving: usize) {
    simulation.run_until_or_timeout(COMPLETE_WITHIN, |simulation| simulation.departure(leaving).is_some());
    if simulation.departure(leaving) != Some(Departure::Safe) {
        await_complete_view(simulation);
    }
}

/// Crashes machines, cuts their power or wipes their disks, with a preference for the primary.
fn fail_others(simulation: &mut Simulation, rng: &mut Rng, count: usize) {
    let is_staying = |index: &usize| simulation.machines[*index].leaving.is_none();
    let mut staying: Vec<usize> = present_machines(simulation).into_iter().filter(is_staying).collect();
    rng.shuffle(&mut staying);
    let primary = simulation.primary().filter(|_| chance(rng, 500));
    staying.sort_by_key(|index| Some(*index) != primary);
    for index in staying.into_iter().take(count) {
        fail(simulation, rng, index);
    }
    if !simulation.make_progress(PROGRESS_WITHIN) {
        simulation.checker.violation.get_or_insert(Violation::NoProgress);
    }
}

fn fail(simulation: &mut Simulation, rng: &mut Rng, index: usize) {
    let restart_after = rng.u64(50..3000) * MS;
    match rng.u64(0..3) {
        0 => simulation.kill(index, restart_after),
        1 => simulation.cut_power(index, restart_after),
        _ => simulation.wipe(index, restart_after),
    }
}

fn await_complete_view(simulation: &mut Simulation) {
    let is_complete = simulation.run_until_or_timeout(COMPLETE_WITHIN, |simulation| {
        simulation.leaving_count() == 0 && simulation.is_view_complete()
    });
    if !is_complete {
        simulation.checker.violation.get_or_insert(Violation::ViewIncomplete);
    }
}
