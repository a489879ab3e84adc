//! Random histories of faults.

mod any;
mod counted;
mod final_fault;
mod replacement;

use fastrand::Rng;

use super::checker::Violation;
use super::operator::script::{send_calls_for_a_while, send_last_calls, send_random_call};
use super::random::{chance, pick};
use super::simulation::{MS, Network, SECOND, Shape, Simulation};

/// After the faults have ended, a primary has to take a proposal within this time.
pub(crate) const PROGRESS_WITHIN: u64 = 6 * SECOND;
/// A machine counts as lost for so long after it is back.
const LOST_AFTER_RETURN: u64 = 4 * SECOND;
/// Rounds of a history with many changes, and proposals in each.
const LONG_ROUNDS: u64 = 10;
const LONG_BURST: u64 = 40;
/// Most answers to operators that are lost, in a thousand.
const MOST_LOST_ANSWERS: u64 = 200;

/// Which faults a history has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultPlan {
    /// Disks stay; any number of machines may be faulty.
    DisksStay,
    /// Disks may be lost and machines replaced; no more than f machines are faulty at once.
    DisksLost,
    /// All machines are replaced one after the other, as planned, with other losses in between.
    Replacement,
    /// Hundreds of changes while machines restart, and disks stay.
    ManyChanges,
}

/// Who asks for changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Load {
    /// Commands that do not concern the agreed state.
    Proposals,
    /// Operators, whose answers are checked.
    Operators,
}

/// Names the number of histories of each kind that are played in place of the usual ones.
const COUNT_VARIABLE: &str = "HISTORIES_PER_KIND";

/// How many histories of each kind are played.
pub(crate) fn history_count(usual: u64) -> u64 {
    match std::env::var(COUNT_VARIABLE) {
        Ok(count) => count.parse().expect("the number of histories is a number"),
        Err(_) => usual,
    }
}

/// Result of a history.
#[derive(Debug)]
pub(crate) struct Outcome {
    /// What went wrong.
    pub violation: Option<Violation>,
    /// Proposals acknowledged.
    pub acknowledged: usize,
    /// Views that came into force.
    pub views: usize,
    /// Calls of operators that were answered.
    pub answered: usize,
}

/// Plays one history of proposals.
pub(crate) fn play(seed: u64, shape: Shape, fault_plan: FaultPlan) -> Outcome {
    play_with(seed, shape, fault_plan, Load::Proposals)
}

/// Plays one history.
pub(crate) fn play_with(seed: u64, shape: Shape, fault_plan: FaultPlan, load: Load) -> Outcome {
    let mut simulation = Simulation::new(seed, shape);
    let script = &mut Rng::with_seed(seed ^ 0xabcd);
    let is_early = fault_plan == FaultPlan::DisksStay && chance(script, 300);
    simulation.run_until(if is_early { script.u64(300..1000) * MS } else { 3 * SECOND });
    simulation.end_first_boot();
    simulation.network = network(script, fault_plan);
    simulation.operators.loss = script.u64(0..MOST_LOST_ANSWERS);
    match fault_plan {
        FaultPlan::Replacement => {
            replacement::replace_all(&mut simulation, script, |simulation, script| {
                put_load(simulation, script, load);
            });
        }
        FaultPlan::ManyChanges => change_often(&mut simulation, script, load),
        FaultPlan::DisksStay | FaultPlan::DisksLost => {
            let steps = script.u64(3..9);
            for _ in 0..steps {
                step(&mut simulation, script, fault_plan);
                put_load(&mut simulation, script, load);
            }
        }
    }
    if chance(script, 300) {
        final_fault::final_fault(&mut simulation, script, fault_plan);
    }
    finish(simulation, load)
}

fn network(script: &mut Rng, fault_plan: FaultPlan) -> Network {
    let (loss, lateness) = match fault_plan {
        FaultPlan::DisksStay | FaultPlan::ManyChanges => (150, 30),
        FaultPlan::DisksLost | FaultPlan::Replacement => (20, 3),
    };
    Network {
        loss: script.u64(0..loss),
        duplication: script.u64(0..100),
        lateness: script.u64(0..lateness),
        delay: script.u64(1..40) * MS,
    }
}

fn put_load(simulation: &mut Simulation, script: &mut Rng, load: Load) {
    match load {
        Load::Proposals => propose_for_a_while(simulation, script),
        Load::Operators => send_calls_for_a_while(simulation, script),
    }
}

fn propose_for_a_while(simulation: &mut Simulation, script: &mut Rng) {
    let rounds = script.u64(2..12);
    for _ in 0..rounds {
        let burst = script.u64(0..4);
        for _ in 0..burst {
            propose_somewhere(simulation, script);
        }
        simulation.run_for(script.u64(5..400) * MS);
    }
}

fn propose_somewhere(simulation: &mut Simulation, script: &mut Rng) {
    let anyone = script.u64(0..simulation.machines.len() as u64) as usize;
    let target = simulation.primary().filter(|_| chance(script, 900)).unwrap_or(anyone);
    simulation.propose(target);
}

/// Many changes at once, with a restart in the middle of them.
fn change_often(simulation: &mut Simulation, script: &mut Rng, load: Load) {
    for _ in 0..LONG_ROUNDS {
        let faults_at = script.u64(0..LONG_BURST);
        for number in 0..LONG_BURST {
            if number == faults_at {
                step(simulation, script, FaultPlan::DisksStay);
            }
            match load {
                Load::Proposals => propose_somewhere(simulation, script),
                Load::Operators => send_random_call(simulation, script),
            }
            simulation.run_for(script.u64(1..20) * MS);
        }
        put_load(simulation, script, load);
    }
}

fn living(simulation: &Simulation) -> Vec<usize> {
    (0..simulation.machines.len()).filter(|index| !simulation.machines[*index].removed).collect()
}

fn target(simulation: &Simulation, script: &mut Rng) -> usize {
    let living = living(simulation);
    let primary = simulation.primary().filter(|_| chance(script, 500));
    primary.unwrap_or_else(|| pick(script, &living))
}

fn step(simulation: &mut Simulation, script: &mut Rng, fault_plan: FaultPlan) {
    match fault_plan {
        FaultPlan::DisksStay | FaultPlan::ManyChanges => any::inject_any_fault(simulation, script),
        FaultPlan::DisksLost | FaultPlan::Replacement => counted::inject_counted_fault(simulation, script),
    }
}

fn finish(mut simulation: Simulation, load: Load) -> Outcome {
    simulation.heal();
    let is_up = |simulation: &Simulation| {
        simulation.machines.iter().all(|machine| machine.removed || machine.process.is_some())
    };
    simulation.run_while_not(4 * SECOND, is_up);
    let is_live = simulation.make_progress(PROGRESS_WITHIN);
    simulation.run_for(500 * MS);
    let is_answered = load == Load::Proposals || send_last_calls(&mut simulation);
    if !(is_live && is_answered) {
        simulation.checker.violation.get_or_insert(Violation::NoProgress);
    }
    if !simulation.states_agree() {
        simulation.checker.violation.get_or_insert(Violation::StatesDiffer);
    }
    if let Some(object) = simulation.operators.unexplained() {
        simulation.checker.violation.get_or_insert(Violation::Unexplained { object });
    }
    Outcome {
        acknowledged: simulation.checker.acknowledged_count(),
        views: simulation.checker.primary_count(),
        answered: simulation.operators.answered_count(),
        violation: simulation.checker.violation,
    }
}
