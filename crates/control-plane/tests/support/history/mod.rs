//! Random histories of faults and load.

mod bounded_faults;
mod final_fault;
mod replacement;
mod unbounded_faults;

use fastrand::Rng;

use super::checker::Violation;
use super::operator::workload::{send_final_calls, send_random_call, send_random_calls};
use super::random::{chance, pick};
use super::simulation::{ClusterShape, MS, Network, SECOND, Simulation};

/// After the faults end, a proposal must be acknowledged within this time.
pub(crate) const PROGRESS_WITHIN: u64 = 6 * SECOND;
/// A machine counts as lost for this time after it has recovered.
const LOST_AFTER_RECOVERY: u64 = 4 * SECOND;
/// Rounds of a `ManyChanges` history, and the changes of each round.
const MANY_CHANGES_ROUNDS: u64 = 10;
const MANY_CHANGES_PER_ROUND: u64 = 40;
/// Upper limit of the loss of requests and responses between operators and members.
const MAX_CALL_LOSS_PER_THOUSAND: u64 = 200;

/// The faults of a history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultPlan {
    /// Any number of machines may be faulty at once; disks keep synced data.
    DisksStay,
    /// At most f machines are faulty at once; disks may be lost and machines replaced.
    DisksLost,
    /// Each machine is gracefully replaced in turn, with up to f other faults in between.
    Replacement,
    /// Hundreds of changes while machines restart; disks keep synced data.
    ManyChanges,
}

/// The load of a history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Load {
    /// Commands that leave the replicated state unchanged.
    Proposals,
    /// Calls of operators, whose responses are checked for linearizability.
    Operators,
}

/// Environment variable that overrides the number of histories of each kind.
const COUNT_VARIABLE: &str = "HISTORIES_PER_KIND";

/// The number of histories of each kind: the override, or else the usual number.
pub(crate) fn history_count(usual: u64) -> u64 {
    match std::env::var(COUNT_VARIABLE) {
        Ok(count) => count.parse().expect("the number of histories is a number"),
        Err(_) => usual,
    }
}

/// Result of a history.
#[derive(Debug)]
pub(crate) struct Outcome {
    /// The first violation.
    pub violation: Option<Violation>,
    /// Number of acknowledged proposals.
    pub acknowledged: usize,
    /// Number of epochs in which a member became primary.
    pub views: usize,
    /// Number of operators' calls whose response states the outcome.
    pub completed_calls: usize,
}

/// Runs one history with a load of proposals.
pub(crate) fn run_history(seed: u64, shape: ClusterShape, fault_plan: FaultPlan) -> Outcome {
    run_history_with(seed, shape, fault_plan, Load::Proposals)
}

/// Runs one history.
pub(crate) fn run_history_with(
    seed: u64,
    shape: ClusterShape,
    fault_plan: FaultPlan,
    load: Load,
) -> Outcome {
    let mut simulation = Simulation::new(seed, shape);
    let rng = &mut Rng::with_seed(seed ^ 0xabcd);
    let is_early = fault_plan == FaultPlan::DisksStay && chance(rng, 300);
    simulation.run_until(if is_early { rng.u64(300..1000) * MS } else { 3 * SECOND });
    simulation.end_first_boot();
    simulation.network = network(rng, fault_plan);
    simulation.operators.loss = rng.u64(0..MAX_CALL_LOSS_PER_THOUSAND);
    match fault_plan {
        FaultPlan::Replacement => {
            replacement::replace_all(&mut simulation, rng, |simulation, rng| {
                apply_load(simulation, rng, load);
            });
        }
        FaultPlan::ManyChanges => run_many_changes(&mut simulation, rng, load),
        FaultPlan::DisksStay | FaultPlan::DisksLost => {
            let steps = rng.u64(3..9);
            for _ in 0..steps {
                inject_fault(&mut simulation, rng, fault_plan);
                apply_load(&mut simulation, rng, load);
            }
        }
    }
    if chance(rng, 300) {
        final_fault::inject_final_fault(&mut simulation, rng, fault_plan);
    }
    finish(simulation, load)
}

fn network(rng: &mut Rng, fault_plan: FaultPlan) -> Network {
    let (loss, lateness) = match fault_plan {
        FaultPlan::DisksStay | FaultPlan::ManyChanges => (150, 30),
        FaultPlan::DisksLost | FaultPlan::Replacement => (20, 3),
    };
    Network {
        loss: rng.u64(0..loss),
        duplication: rng.u64(0..100),
        lateness: rng.u64(0..lateness),
        delay: rng.u64(1..40) * MS,
    }
}

fn apply_load(simulation: &mut Simulation, rng: &mut Rng, load: Load) {
    match load {
        Load::Proposals => send_random_proposals(simulation, rng),
        Load::Operators => send_random_calls(simulation, rng),
    }
}

fn send_random_proposals(simulation: &mut Simulation, rng: &mut Rng) {
    let rounds = rng.u64(2..12);
    for _ in 0..rounds {
        let burst = rng.u64(0..4);
        for _ in 0..burst {
            propose_at_random_member(simulation, rng);
        }
        simulation.run_for(rng.u64(5..400) * MS);
    }
}

fn propose_at_random_member(simulation: &mut Simulation, rng: &mut Rng) {
    let anyone = rng.u64(0..simulation.machines.len() as u64) as usize;
    let target = simulation.primary().filter(|_| chance(rng, 900)).unwrap_or(anyone);
    simulation.propose(target);
}

/// Sends changes in quick succession, with a fault at a random point of each round.
fn run_many_changes(simulation: &mut Simulation, rng: &mut Rng, load: Load) {
    for _ in 0..MANY_CHANGES_ROUNDS {
        let faults_at = rng.u64(0..MANY_CHANGES_PER_ROUND);
        for number in 0..MANY_CHANGES_PER_ROUND {
            if number == faults_at {
                inject_fault(simulation, rng, FaultPlan::DisksStay);
            }
            match load {
                Load::Proposals => propose_at_random_member(simulation, rng),
                Load::Operators => send_random_call(simulation, rng),
            }
            simulation.run_for(rng.u64(1..20) * MS);
        }
        apply_load(simulation, rng, load);
    }
}

fn present_machines(simulation: &Simulation) -> Vec<usize> {
    (0..simulation.machines.len()).filter(|index| !simulation.machines[*index].removed).collect()
}

fn target(simulation: &Simulation, rng: &mut Rng) -> usize {
    let present_machines = present_machines(simulation);
    let primary = simulation.primary().filter(|_| chance(rng, 500));
    primary.unwrap_or_else(|| pick(rng, &present_machines))
}

fn inject_fault(simulation: &mut Simulation, rng: &mut Rng, fault_plan: FaultPlan) {
    match fault_plan {
        FaultPlan::DisksStay | FaultPlan::ManyChanges => unbounded_faults::inject_fault(simulation, rng),
        FaultPlan::DisksLost | FaultPlan::Replacement => bounded_faults::inject_fault(simulation, rng),
    }
}

fn finish(mut simulation: Simulation, load: Load) -> Outcome {
    simulation.heal();
    let is_up = |simulation: &Simulation| {
        simulation.machines.iter().all(|machine| machine.removed || machine.process.is_some())
    };
    simulation.run_until_or_timeout(4 * SECOND, is_up);
    let is_live = simulation.make_progress(PROGRESS_WITHIN);
    simulation.run_for(500 * MS);
    let is_final_read_complete = load == Load::Proposals || send_final_calls(&mut simulation);
    if !(is_live && is_final_read_complete) {
        simulation.checker.violation.get_or_insert(Violation::NoProgress);
    }
    if !simulation.states_agree() {
        simulation.checker.violation.get_or_insert(Violation::StatesDiffer);
    }
    if let Some(object) = simulation.operators.non_linearizable() {
        simulation.checker.violation.get_or_insert(Violation::NotLinearizable { object });
    }
    Outcome {
        acknowledged: simulation.checker.acknowledged_count(),
        views: simulation.checker.primary_count(),
        completed_calls: simulation.operators.completed_count(),
        violation: simulation.checker.violation,
    }
}
