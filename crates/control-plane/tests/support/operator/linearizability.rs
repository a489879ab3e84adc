//! Checks whether a history of concurrent calls is linearizable.
//!
//! Uses the algorithm of Wing and Gong: a call takes effect at one point between its start and its response. A
//! call whose response is unknown takes effect at some point after its start, or never.

use std::collections::HashSet;

use super::call::Response;
use super::register::Register;

/// The response that the caller received, and when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct KnownResponse {
    /// Position of the response among all starts and responses of the history.
    pub at: u64,
    /// The response.
    pub response: Response,
}

/// A call of a history, with its start and its response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Operation<C> {
    /// The call.
    pub call: C,
    /// Position of the call's start among all starts and responses of the history.
    pub started_at: u64,
    /// The response to the call; `None` if the call may or may not have taken effect.
    pub end: Option<KnownResponse>,
}

/// Whether a history is linearizable from a register's initial state. Operations are sorted by their starts.
pub(crate) fn is_linearizable<R: Register>(first: &R, operations: &[Operation<R::Call>]) -> bool {
    let is_sorted = operations.is_sorted_by_key(|operation| operation.started_at);
    assert!(is_sorted, "operations are sorted by their starts");
    let mut search = Search { operations, searched_states: 0, visited: HashSet::new() };
    search.completes_from(vec![false; operations.len()], first.clone())
}

/// A search that visits more states panics; histories of these tests need far fewer.
const MAX_SEARCHED_STATES: usize = 1_000_000;

struct Search<'a, R: Register> {
    operations: &'a [Operation<R::Call>],
    searched_states: usize,
    /// States from which no linearization was found.
    visited: HashSet<(Vec<bool>, R)>,
}

impl<R: Register> Search<'_, R> {
    /// Whether the remaining operations can be linearized from this state.
    fn completes_from(&mut self, mut done: Vec<bool>, mut register: R) -> bool {
        loop {
            self.searched_states += 1;
            assert!(
                self.searched_states <= MAX_SEARCHED_STATES,
                "the history has too many possible orders"
            );
            self.complete_calls_without_effect(&mut done, &register);
            let Some(horizon) = self.horizon(&done) else { return true };
            let mut branches = self.branches(&done, &register, horizon);
            if branches.len() > 1 {
                return self.visited.insert((done.clone(), register))
                    && self.any_branch_completes(&done, branches);
            }
            // With a single branch there is nothing to backtrack to: iterating keeps the recursion shallow.
            let Some((index, next)) = branches.pop() else { return false };
            done[index] = true;
            register = next;
        }
    }

    fn any_branch_completes(&mut self, done: &[bool], branches: Vec<(usize, R)>) -> bool {
        branches.into_iter().any(|(index, next)| {
            let mut done = done.to_vec();
            done[index] = true;
            self.completes_from(done, next)
        })
    }

    /// The earliest response of the remaining operations: what starts later cannot take effect before it.
    fn horizon(&self, done: &[bool]) -> Option<u64> {
        let ends = self.operations.iter().zip(done).filter(|(_, done)| !**done);
        ends.filter_map(|(operation, _)| operation.end.as_ref()).map(|end| end.at).min()
    }

    /// Linearizes calls that have the expected response and leave the register unchanged: this never rules out
    /// a linearization of the others.
    fn complete_calls_without_effect(&self, done: &mut [bool], register: &R) {
        while let Some(horizon) = self.horizon(done) {
            let mut has_progressed = false;
            for (index, operation) in self.operations.iter().enumerate() {
                if operation.started_at > horizon {
                    break;
                }
                let Some(end) = operation.end.as_ref().filter(|_| !done[index]) else { continue };
                if register.apply(operation.call) == (end.response.clone(), None) {
                    done[index] = true;
                    has_progressed = true;
                }
            }
            if !has_progressed {
                return;
            }
        }
    }

    /// The calls that may change the register next, without duplicates that lead to the same state.
    fn branches(&self, done: &[bool], register: &R, horizon: u64) -> Vec<(usize, R)> {
        let mut branches: Vec<(usize, R)> = Vec::new();
        let started = self
            .operations
            .iter()
            .enumerate()
            .filter(|(index, operation)| !done[*index] && operation.started_at < horizon);
        // Calls with a known response come first: each of them must be linearized in any case.
        let (known, unknown): (Vec<_>, Vec<_>) =
            started.partition(|(_, operation)| operation.end.is_some());
        for (index, operation) in known.into_iter().chain(unknown) {
            let (expected, next) = register.apply(operation.call);
            let is_possible = operation.end.as_ref().is_none_or(|end| end.response == expected);
            let Some(next) = next.filter(|_| is_possible) else { continue };
            if branches.iter().all(|(_, other)| *other != next) {
                branches.push((index, next));
            }
        }
        branches
    }
}
