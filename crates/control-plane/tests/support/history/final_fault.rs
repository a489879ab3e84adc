//! The final fault of a history: all machines lose power at once.

use fastrand::Rng;

use super::{FaultPlan, PROGRESS_WITHIN, present_machines};
use crate::support::simulation::{MS, SECOND, Simulation};

/// Cuts the power of all machines right after an acknowledgement and, where the plan allows, wipes f disks.
pub(super) fn inject_final_fault(simulation: &mut Simulation, rng: &mut Rng, fault_plan: FaultPlan) {
    let is_calm = fault_plan != FaultPlan::DisksStay;
    if is_calm {
        simulation.cuts.clear();
        simulation.run_for(8 * SECOND);
        simulation.make_progress(PROGRESS_WITHIN);
    }
    await_acknowledgement(simulation);
    let mut order = present_machines(simulation);
    rng.shuffle(&mut order);
    let primary = simulation.primary();
    if let Some(position) = order.iter().position(|index| Some(*index) == primary) {
        order.swap(0, position);
    }
    let lost_disks = if is_calm { simulation.tolerated_failures() } else { 0 };
    for (position, index) in order.into_iter().enumerate() {
        let restart_after = rng.u64(50..1000) * MS;
        if position < lost_disks {
            simulation.wipe(index, restart_after);
        } else {
            simulation.cut_power(index, restart_after);
        }
    }
}

/// Waits for an acknowledgement and returns right after it, before any further heartbeat or disk sync.
fn await_acknowledgement(simulation: &mut Simulation) {
    if let Some(primary) = simulation.primary() {
        let ticket = simulation.propose(primary);
        simulation.run_until_or_timeout(SECOND, |simulation| simulation.acknowledged.contains(&ticket));
    }
}
