//! The end of a history: power is lost everywhere at once.

use fastrand::Rng;

use super::{FaultPlan, PROGRESS_WITHIN, living};
use crate::support::simulation::{MS, SECOND, Simulation};

/// Right after an acknowledgement: all lose power, and disks that may be lost are lost.
pub(super) fn final_fault(simulation: &mut Simulation, script: &mut Rng, fault_plan: FaultPlan) {
    let is_calm = fault_plan != FaultPlan::DisksStay;
    if is_calm {
        simulation.cuts.clear();
        simulation.run_for(8 * SECOND);
        simulation.make_progress(PROGRESS_WITHIN);
    }
    stop_right_after_an_acknowledgement(simulation);
    let mut order = living(simulation);
    script.shuffle(&mut order);
    let primary = simulation.primary();
    if let Some(position) = order.iter().position(|index| Some(*index) == primary) {
        order.swap(0, position);
    }
    let lost_disks = if is_calm { simulation.losses() } else { 0 };
    for (position, index) in order.into_iter().enumerate() {
        let restart_after = script.u64(50..1000) * MS;
        if position < lost_disks {
            simulation.wipe(index, restart_after);
        } else {
            simulation.cut_power(index, restart_after);
        }
    }
}

/// Neither a heartbeat nor another sync comes in between.
fn stop_right_after_an_acknowledgement(simulation: &mut Simulation) {
    if let Some(primary) = simulation.primary() {
        let ticket = simulation.propose(primary);
        simulation.run_while_not(SECOND, |simulation| simulation.done.contains(&ticket));
    }
}
