//! Whether answers of overlapping calls can be explained by some order of the calls.
//!
//! The search of Wing and Gong: a call takes effect at one moment between its start and its answer. A call
//! whose answer is not known takes effect at some moment after its start, or never.

use std::collections::HashSet;

use super::call::Answer;
use super::register::Register;

/// The answer that the caller got, and when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct KnownAnswer {
    /// Its place among all starts and answers.
    pub at: u64,
    /// What it says.
    pub answer: Answer,
}

/// One call of a history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Operation<C> {
    /// What was asked.
    pub call: C,
    /// The place of its start among all starts and answers.
    pub started_at: u64,
    /// What is known of its end; none if it may have taken effect or not.
    pub end: Option<KnownAnswer>,
}

/// Whether a history can be explained, from a register's first state. Operations are sorted by their starts.
pub(crate) fn is_linearizable<R: Register>(first: &R, operations: &[Operation<R::Call>]) -> bool {
    let is_sorted = operations.is_sorted_by_key(|operation| operation.started_at);
    assert!(is_sorted, "operations are sorted by their starts");
    let mut search = Search { operations, searched_states: 0, visited: HashSet::new() };
    search.explains(vec![false; operations.len()], first.clone())
}

/// States after which a search is given up: no history of these tests comes near.
const MOST_SEARCHED_STATES: usize = 1_000_000;

struct Search<'a, R: Register> {
    operations: &'a [Operation<R::Call>],
    searched_states: usize,
    /// Where the search has been without success.
    visited: HashSet<(Vec<bool>, R)>,
}

impl<R: Register> Search<'_, R> {
    /// Whether the operations that are not done yet can follow.
    fn explains(&mut self, mut done: Vec<bool>, mut register: R) -> bool {
        loop {
            self.searched_states += 1;
            assert!(
                self.searched_states <= MOST_SEARCHED_STATES,
                "the history has too many possible orders"
            );
            self.take_all_without_effect(&mut done, &register);
            let Some(horizon) = self.horizon(&done) else { return true };
            let mut branches = self.branches(&done, &register, horizon);
            if branches.len() > 1 {
                return self.visited.insert((done.clone(), register)) && self.explains_any(&done, branches);
            }
            // Without a choice there is no need to come back.
            let Some((index, next)) = branches.pop() else { return false };
            done[index] = true;
            register = next;
        }
    }

    fn explains_any(&mut self, done: &[bool], branches: Vec<(usize, R)>) -> bool {
        branches.into_iter().any(|(index, next)| {
            let mut done = done.to_vec();
            done[index] = true;
            self.explains(done, next)
        })
    }

    /// The first answer that is still to be explained: what starts after it cannot take effect before.
    fn horizon(&self, done: &[bool]) -> Option<u64> {
        let ends = self.operations.iter().zip(done).filter(|(_, done)| !**done);
        ends.filter_map(|(operation, _)| operation.end.as_ref()).map(|end| end.at).min()
    }

    /// Calls that are answered as they were, and change nothing, may as well come now.
    fn take_all_without_effect(&self, done: &mut [bool], register: &R) {
        while let Some(horizon) = self.horizon(done) {
            let mut has_taken = false;
            for (index, operation) in self.operations.iter().enumerate() {
                if operation.started_at > horizon {
                    break;
                }
                let Some(end) = operation.end.as_ref().filter(|_| !done[index]) else { continue };
                if register.answer(operation.call) == (end.answer.clone(), None) {
                    done[index] = true;
                    has_taken = true;
                }
            }
            if !has_taken {
                return;
            }
        }
    }

    /// The calls that may change the register next; those that lead to the same only once.
    fn branches(&self, done: &[bool], register: &R, horizon: u64) -> Vec<(usize, R)> {
        let mut branches: Vec<(usize, R)> = Vec::new();
        let started = self
            .operations
            .iter()
            .enumerate()
            .filter(|(index, operation)| !done[*index] && operation.started_at < horizon);
        // Those with a known answer first: they have to be explained anyway.
        let (known, unknown): (Vec<_>, Vec<_>) =
            started.partition(|(_, operation)| operation.end.is_some());
        for (index, operation) in known.into_iter().chain(unknown) {
            let (answer, next) = register.answer(operation.call);
            let is_possible = operation.end.as_ref().is_none_or(|end| end.answer == answer);
            let Some(next) = next.filter(|_| is_possible) else { continue };
            if branches.iter().all(|(_, other)| *other != next) {
                branches.push((index, next));
            }
        }
        branches
    }
}
