//! What passes between machines, and what does not.

use std::collections::HashMap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

use crate::machine::MachineId;

/// What becomes of bytes on their way from one machine to another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Condition {
    /// They pass.
    #[default]
    Open,
    /// They wait, and pass once the path is open again. Datagrams are lost.
    Held,
    /// The connection is reset and what was on its way is lost; so are new connections.
    Reset,
}

/// A direction between two machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Direction {
    /// Who sends.
    pub from: MachineId,
    /// Who receives.
    pub to: MachineId,
}

impl Direction {
    /// The opposite direction.
    #[must_use]
    pub fn reversed(self) -> Direction {
        Direction { from: self.to, to: self.from }
    }
}

/// What a relay may do next with bytes that it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// Pass so many of them.
    Pass(usize),
    /// Reset the connection.
    Reset,
}

#[derive(Clone, Copy, Debug, Default)]
struct Path {
    condition: Condition,
    /// After so many bytes more, the path changes into the condition.
    pending: Option<(u64, Condition)>,
    /// Resets so far: a connection that is older than the last one is reset.
    resets: u64,
    /// Bytes that have passed.
    passed: u64,
}

#[derive(Debug, Default)]
struct State {
    paths: HashMap<Direction, Path>,
    is_closed: bool,
}

impl State {
    fn set(&mut self, direction: Direction, condition: Condition) {
        let path = self.paths.entry(direction).or_default();
        path.condition = condition;
        path.pending = None;
        if condition == Condition::Reset {
            path.resets += 1;
        }
    }
}

/// The paths between all machines of a deployment. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Network {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

impl Network {
    /// Changes one direction.
    pub fn set(&self, direction: Direction, condition: Condition) {
        self.state().set(direction, condition);
        self.shared.changed.notify_all();
    }

    /// Changes both directions between a machine and each of some others.
    pub fn set_between(&self, machine: MachineId, others: &[MachineId], condition: Condition) {
        self.set_outgoing(machine, others, condition);
        self.set_incoming(machine, others, condition);
    }

    /// Changes what a machine sends to each of some others.
    pub fn set_outgoing(&self, machine: MachineId, others: &[MachineId], condition: Condition) {
        for other in others.iter().filter(|other| **other != machine) {
            self.set(Direction { from: machine, to: *other }, condition);
        }
    }

    /// Changes what a machine is sent by each of some others.
    pub fn set_incoming(&self, machine: MachineId, others: &[MachineId], condition: Condition) {
        for other in others.iter().filter(|other| **other != machine) {
            self.set(Direction { from: *other, to: machine }, condition);
        }
    }

    /// Lets so many bytes more pass in one direction and changes it then.
    pub fn set_after(&self, direction: Direction, bytes: u64, condition: Condition) {
        self.state().paths.entry(direction).or_default().pending = Some((bytes, condition));
    }

    /// How a direction is now.
    #[must_use]
    pub fn condition(&self, direction: Direction) -> Condition {
        self.state().paths.get(&direction).map_or(Condition::Open, |path| path.condition)
    }

    /// Bytes that have passed in a direction.
    #[must_use]
    pub fn passed(&self, direction: Direction) -> u64 {
        self.state().paths.get(&direction).map_or(0, |path| path.passed)
    }

    /// Ends all relays.
    pub fn close(&self) {
        self.state().is_closed = true;
        self.shared.changed.notify_all();
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.state().is_closed
    }

    /// How often a direction was reset.
    pub(crate) fn resets(&self, direction: Direction) -> u64 {
        self.state().paths.get(&direction).map_or(0, |path| path.resets)
    }

    /// Waits until some of `bytes` may pass, on a connection that was made after so many resets.
    pub(crate) fn permit(&self, direction: Direction, resets: u64, bytes: usize) -> Permission {
        let mut state = self.state();
        loop {
            let is_closed = state.is_closed;
            let path = state.paths.entry(direction).or_default();
            if is_closed || path.resets != resets || path.condition == Condition::Reset {
                return Permission::Reset;
            }
            if path.condition == Condition::Open {
                match path.pending {
                    Some((0, condition)) => {
                        state.set(direction, condition);
                        self.shared.changed.notify_all();
                        continue;
                    }
                    Some((left, condition)) => {
                        let count = left.min(bytes as u64);
                        path.pending = Some((left - count, condition));
                        path.passed += count;
                        return Permission::Pass(count as usize);
                    }
                    None => {
                        path.passed += bytes as u64;
                        return Permission::Pass(bytes);
                    }
                }
            }
            state = self.shared.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Waits until a direction has been reset more often than so, or all ends.
    pub(crate) fn wait_for_reset(
        &self,
        directions: [Direction; 2],
        resets: [u64; 2],
        done: impl Fn() -> bool,
    ) {
        let mut state = self.state();
        let is_unchanged = |state: &State, index: usize| {
            let path = state.paths.get(&directions[index]).copied().unwrap_or_default();
            path.resets == resets[index]
        };
        while !state.is_closed && !done() && is_unchanged(&state, 0) && is_unchanged(&state, 1) {
            state = self.shared.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Wakes all that wait, so that they look again.
    pub(crate) fn wake(&self) {
        let _state = self.state();
        self.shared.changed.notify_all();
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
