//! What operators do in random histories.

use fastrand::Rng;

use super::call::{Call, ConfigurationMethod, ConfigurationOrder, WeightsOrder};
use super::client::CallId;
use crate::support::random::{chance, pick};
use crate::support::simulation::{MS, SECOND, Simulation};

/// Most calls under way at a time, of both operators together.
const MOST_OPEN_CALLS: usize = 8;
/// Models whose weights are named.
const MODELS: [&str; 2] = ["large", "small"];
/// The last changes, which are sent again.
const REPEATED_CHANGES: usize = 6;

/// Sends a random call, mostly to the primary, unless enough are under way.
pub(crate) fn send_random_call(simulation: &mut Simulation, script: &mut Rng) {
    if simulation.operators.open_count() >= MOST_OPEN_CALLS {
        return;
    }
    let call = random_call(simulation, script);
    let target = random_target(simulation, script);
    simulation.submit(target, call);
}

fn random_target(simulation: &Simulation, script: &mut Rng) -> usize {
    let anyone = script.usize(..simulation.machines.len());
    simulation.primary().filter(|_| chance(script, 900)).unwrap_or(anyone)
}

fn random_call(simulation: &Simulation, script: &mut Rng) -> Call {
    let earlier: Vec<Call> = simulation.operators.changes().take(REPEATED_CHANGES).collect();
    match script.u64(0..100) {
        0..20 => Call::Read,
        20..50 if !earlier.is_empty() => pick(script, &earlier),
        50..60 => Call::NameWeights(random_weights(script)),
        60..70 => rival_of(script, &earlier).unwrap_or_else(|| new_change(simulation, script)),
        _ => new_change(simulation, script),
    }
}

fn random_weights(script: &mut Rng) -> WeightsOrder {
    WeightsOrder { model: pick(script, &MODELS), revision: script.u64(1..30) }
}

/// Another order under the number of an earlier one: with the same base, or with another one.
fn rival_of(script: &mut Rng, earlier: &[Call]) -> Option<Call> {
    let order = earlier.iter().find_map(|call| match call {
        Call::Configure(order) => Some(*order),
        _ => None,
    })?;
    let base = if chance(script, 700) { order.base } else { order.base + 1 };
    Some(Call::Configure(ConfigurationOrder { base, mark: new_mark(script), ..order }))
}

fn new_change(simulation: &Simulation, script: &mut Rng) -> Call {
    let is_patch = chance(script, 400);
    let method = if is_patch { ConfigurationMethod::Patch } else { ConfigurationMethod::Put };
    let newest = simulation.operators.revision;
    let base = if chance(script, 900) { newest } else { newest.saturating_sub(1) };
    // A step of nothing is not valid.
    let revision = base + if chance(script, 930) { script.u64(1..4) } else { 0 };
    Call::Configure(ConfigurationOrder { method, base, revision, mark: new_mark(script) })
}

fn new_mark(script: &mut Rng) -> u64 {
    script.u64(..) >> 1
}

/// Sends some random calls over a while.
pub(crate) fn send_calls_for_a_while(simulation: &mut Simulation, script: &mut Rng) {
    for _ in 0..script.u64(2..12) {
        for _ in 0..script.u64(0..4) {
            send_random_call(simulation, script);
        }
        simulation.run_for(script.u64(5..400) * MS);
    }
}

/// After trouble: reads the configuration, sends the last changes once more, and reads again.
///
/// Whether the last read was answered.
pub(crate) fn send_last_calls(simulation: &mut Simulation) -> bool {
    simulation.operators.loss = 0;
    simulation.run_for(2 * SECOND + MS);
    let again: Vec<Call> = simulation.operators.changes().take(REPEATED_CHANGES).collect();
    read(simulation);
    for call in again {
        if let Some(primary) = simulation.primary() {
            simulation.submit(primary, call);
        }
        simulation.run_for(100 * MS);
    }
    for _ in 0..20 {
        let read = read(simulation);
        if read.is_some_and(|read| simulation.operators.answer(read).is_some()) {
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
