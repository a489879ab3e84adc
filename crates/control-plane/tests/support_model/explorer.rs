//! Depth-first search over all histories within bounds; a state that was visited before is not expanded again.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use super::actions::{Action, Bounds, possible};
use super::cluster::Cluster;
use super::invariants::Violation;

/// An exploration with more transitions is abandoned as incomplete: its bounds are too wide.
const MAX_TRANSITIONS: usize = 100_000_000;

/// The result of an exploration.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// Number of distinct states.
    pub states: usize,
    /// Number of actions executed.
    pub transitions: usize,
    /// Whether all histories within the bounds were explored.
    pub is_complete: bool,
    /// Number of histories that ended at a bound.
    pub ends: usize,
    /// Maximum number of epochs with a primary in one history.
    pub max_primaries: usize,
    /// Maximum number of requests acknowledged in one history.
    pub max_acknowledged: usize,
    /// The first violation.
    pub violation: Option<Violation>,
    /// The actions that led to the violation, one a line.
    pub trace: Vec<String>,
    /// Duration in seconds.
    pub seconds: f64,
}

/// The actions that led to a state, newest first, as a linked list.
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

/// An action that is still to be explored.
struct Branch {
    cluster: Rc<Cluster>,
    trace: Option<Rc<Trace>>,
    action: Action,
    depth: usize,
}

/// Explores all histories that start in a state, until the first violation.
pub(crate) fn explore(start: Cluster, bounds: &Bounds) -> Outcome {
    let started = Instant::now();
    let mut outcome = Outcome::default();
    let mut start = start.begin(bounds);
    let initial = start.clone();
    let until = start.now + bounds.span;
    // A state that is reached again at a smaller depth is expanded again, since longer continuations fit.
    let mut visited: HashMap<u64, usize> = HashMap::new();
    visited.insert(start.key(), 0);
    let mut branches = Vec::new();
    push_branches(&mut branches, Rc::new(start), None, 0, bounds);
    while let Some(branch) = branches.pop() {
        let is_past_end = branch.action == Action::Advance
            && branch.cluster.next_due().is_none_or(|(due, _)| due > until);
        if outcome.transitions >= MAX_TRANSITIONS {
            outcome.seconds = started.elapsed().as_secs_f64();
            outcome.states = visited.len();
            return outcome;
        }
        if is_past_end || branch.depth >= bounds.depth {
            outcome.ends += 1;
            continue;
        }
        let mut cluster = Cluster::clone(&branch.cluster);
        cluster.take(branch.action, bounds);
        outcome.transitions += 1;
        let depth = branch.depth + 1;
        let trace = Some(Rc::new(Trace { action: branch.action, before: branch.trace }));
        outcome.max_primaries = outcome.max_primaries.max(cluster.history.primary_count());
        outcome.max_acknowledged = outcome.max_acknowledged.max(cluster.history.acknowledged.len());
        if let Some(violation) = cluster.history.violation {
            outcome.violation = Some(violation);
            outcome.trace = describe(initial, &Trace::actions(trace.as_ref()), bounds);
            break;
        }
        let key = cluster.key();
        if visited.get(&key).is_some_and(|visited_depth| *visited_depth <= depth) {
            continue;
        }
        visited.insert(key, depth);
        push_branches(&mut branches, Rc::new(cluster), trace, depth, bounds);
    }
    outcome.is_complete = outcome.violation.is_none();
    outcome.states = visited.len();
    outcome.seconds = started.elapsed().as_secs_f64();
    outcome
}

/// Replays the actions and describes each.
fn describe(mut cluster: Cluster, actions: &[Action], bounds: &Bounds) -> Vec<String> {
    let mut lines = Vec::new();
    for action in actions {
        lines.push(cluster.describe(action));
        cluster.take(*action, bounds);
    }
    lines
}

fn push_branches(
    branches: &mut Vec<Branch>,
    cluster: Rc<Cluster>,
    trace: Option<Rc<Trace>>,
    depth: usize,
    bounds: &Bounds,
) {
    let actions = possible(&cluster, bounds);
    for action in actions.into_iter().rev() {
        branches.push(Branch { cluster: cluster.clone(), trace: trace.clone(), action, depth });
    }
}
