//! The random workload of operators.

use fastrand::Rng;

use super::call::{Call, ConfigurationChange, ConfigurationMethod, WeightsChange};
use super::client::CallId;
use crate::support::random::{chance, pick};
use crate::support::simulation::{MS, SECOND, Simulation};

/// Most concurrent calls of all operators together.
const MAX_OPEN_CALLS: usize = 8;
/// Models whose target revision changes.
const MODELS: [&str; 2] = ["large", "small"];
/// The number of latest changes that may be repeated.
const MAX_REPEATED_CHANGES: usize = 6;

/// Sends a random call, usually to the primary, unless the limit of concurrent calls is reached.
pub(crate) fn send_random_call(simulation: &mut Simulation, rng: &mut Rng) {
    if simulation.operators.open_count() >= MAX_OPEN_CALLS {
        return;
    }
    let call = random_call(simulation, rng);
    let target = random_target(simulation, rng);
    simulation.submit(target, call);
}

fn random_target(simulation: &Simulation, rng: &mut Rng) -> usize {
    let anyone = rng.usize(..simulation.machines.len());
    simulation.primary().filter(|_| chance(rng, 900)).unwrap_or(anyone)
}

fn random_call(simulation: &Simulation, rng: &mut Rng) -> Call {
    let earlier: Vec<Call> = simulation.operators.changes().take(MAX_REPEATED_CHANGES).collect();
    match rng.u64(0..100) {
        0..20 => Call::Read,
        20..50 if !earlier.is_empty() => pick(rng, &earlier),
        50..60 => Call::SetTargetRevision(random_weights(rng)),
        60..70 => concurrent_change(rng, &earlier).unwrap_or_else(|| new_change(simulation, rng)),
        _ => new_change(simulation, rng),
    }
}

fn random_weights(rng: &mut Rng) -> WeightsChange {
    WeightsChange { model: pick(rng, &MODELS), revision: rng.u64(1..30) }
}

/// A change to the same revision as an earlier change, on the same base or on another one.
fn concurrent_change(rng: &mut Rng, earlier: &[Call]) -> Option<Call> {
    let change = earlier.iter().find_map(|call| match call {
        Call::Configure(change) => Some(*change),
        _ => None,
    })?;
    let base = if chance(rng, 700) { change.base } else { change.base + 1 };
    Some(Call::Configure(ConfigurationChange { base, route_id: new_route_id(rng), ..change }))
}

fn new_change(simulation: &Simulation, rng: &mut Rng) -> Call {
    let is_patch = chance(rng, 400);
    let method = if is_patch { ConfigurationMethod::Patch } else { ConfigurationMethod::Put };
    let newest = simulation.operators.revision;
    let base = if chance(rng, 900) { newest } else { newest.saturating_sub(1) };
    // A change that does not increase the revision is invalid.
    let revision = base + if chance(rng, 930) { rng.u64(1..4) } else { 0 };
    Call::Configure(ConfigurationChange { method, base, revision, route_id: new_route_id(rng) })
}

fn new_route_id(rng: &mut Rng) -> u64 {
    rng.u64(..) >> 1
}

/// Sends bursts of random calls with pauses in between.
pub(crate) fn send_random_calls(simulation: &mut Simulation, rng: &mut Rng) {
    for _ in 0..rng.u64(2..12) {
        for _ in 0..rng.u64(0..4) {
            send_random_call(simulation, rng);
        }
        simulation.run_for(rng.u64(5..400) * MS);
    }
}

/// After the faults: reads the configuration, repeats the latest changes, and reads again.
///
/// Returns whether the final read got a response.
pub(crate) fn send_final_calls(simulation: &mut Simulation) -> bool {
    simulation.operators.loss = 0;
    simulation.run_for(2 * SECOND + MS);
    let repeats: Vec<Call> = simulation.operators.changes().take(MAX_REPEATED_CHANGES).collect();
    read(simulation);
    for call in repeats {
        if let Some(primary) = simulation.primary() {
            simulation.submit(primary, call);
        }
        simulation.run_for(100 * MS);
    }
    for _ in 0..20 {
        let read = read(simulation);
        if read.is_some_and(|read| simulation.operators.response(read).is_some()) {
            return true;
        }
    }
    false
}

fn read(simulation: &mut Simulation) -> Option<CallId> {
    let call = simulation.primary().map(|primary| simulation.submit(primary, Call::Read));
    simulation.run_for(100 * MS);
    call
}
