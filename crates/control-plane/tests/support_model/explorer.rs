//! Depth-first search over all histories within bounds; a state that was met before is not gone on from.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use super::actions::{Action, Bounds, possible};
use super::invariants::Violation;
use super::world::World;

/// An exploration that takes more has bounds that are too wide.
const MOST_TRANSITIONS: usize = 100_000_000;

/// What an exploration has met.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// Different states.
    pub states: usize,
    /// Actions that were taken.
    pub transitions: usize,
    /// Whether all within the bounds was explored.
    pub is_complete: bool,
    /// States at which a bound ended the history.
    pub ends: usize,
    /// Most epochs with a primary in one history.
    pub primaries: usize,
    /// Most orders that were acknowledged in one history.
    pub acknowledged: usize,
    /// The first violation.
    pub violation: Option<Violation>,
    /// The steps that led to it, one a line.
    pub trace: Vec<String>,
    /// Seconds that it took.
    pub seconds: f64,
}

/// The actions that led to a state, newest first.
struct Trace {
    action: Action,
    before: Option<Rc<Trace>>,
}

impl Trace {
    fn actions(trace: Option<&Rc<Trace>>) -> Vec<Action> {
        let steps = std::iter::successors(trace, |trace| trace.before.as_ref());
        let mut actions: Vec<Action> = steps.map(|trace| trace.action).collect();
        actions.reverse();
        actions
    }
}

/// An action that is still to be taken.
struct Branch {
    world: Rc<World>,
    trace: Option<Rc<Trace>>,
    action: Action,
    depth: usize,
}

/// Explores all histories that begin in a state, until the first violation.
pub(crate) fn explore(start: World, bounds: &Bounds) -> Outcome {
    let began = Instant::now();
    let mut outcome = Outcome::default();
    let mut start = start.begin(bounds);
    let beginning = start.clone();
    let until = start.now + bounds.span;
    // With a shorter history behind it a state has to be gone on from again: more fits within the depth.
    let mut met: HashMap<u64, usize> = HashMap::new();
    met.insert(start.key(), 0);
    let mut branches = Vec::new();
    push_branches(&mut branches, Rc::new(start), None, 0, bounds);
    while let Some(branch) = branches.pop() {
        let is_late =
            branch.action == Action::Advance && branch.world.next_due().is_none_or(|(due, _)| due > until);
        if outcome.transitions >= MOST_TRANSITIONS {
            outcome.seconds = began.elapsed().as_secs_f64();
            outcome.states = met.len();
            return outcome;
        }
        if is_late || branch.depth >= bounds.depth {
            outcome.ends += 1;
            continue;
        }
        let mut world = World::clone(&branch.world);
        world.take(branch.action, bounds);
        outcome.transitions += 1;
        let depth = branch.depth + 1;
        let trace = Some(Rc::new(Trace { action: branch.action, before: branch.trace }));
        outcome.primaries = outcome.primaries.max(world.history.primary_count());
        outcome.acknowledged = outcome.acknowledged.max(world.history.acknowledged.len());
        if let Some(violation) = world.history.violation {
            outcome.violation = Some(violation);
            outcome.trace = describe(beginning, &Trace::actions(trace.as_ref()), bounds);
            break;
        }
        let key = world.key();
        if met.get(&key).is_some_and(|met_depth| *met_depth <= depth) {
            continue;
        }
        met.insert(key, depth);
        push_branches(&mut branches, Rc::new(world), trace, depth, bounds);
    }
    outcome.is_complete = outcome.violation.is_none();
    outcome.states = met.len();
    outcome.seconds = began.elapsed().as_secs_f64();
    outcome
}

/// Takes the actions again and tells of each.
fn describe(mut world: World, actions: &[Action], bounds: &Bounds) -> Vec<String> {
    let mut lines = Vec::new();
    for action in actions {
        lines.push(world.describe(action));
        world.take(*action, bounds);
    }
    lines
}

fn push_branches(
    branches: &mut Vec<Branch>,
    world: Rc<World>,
    trace: Option<Rc<Trace>>,
    depth: usize,
    bounds: &Bounds,
) {
    let actions = possible(&world, bounds);
    for action in actions.into_iter().rev() {
        branches.push(Branch { world: world.clone(), trace: trace.clone(), action, depth });
    }
}
