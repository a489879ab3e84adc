//! Links between machines, and the faults that are injected into them.

use std::collections::HashMap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

use crate::machine::MachineId;

/// How a link treats data from one machine to another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    /// Data is forwarded.
    #[default]
    Open,
    /// Bytes of connections are buffered until the link is open again; datagrams are dropped.
    Stalled,
    /// Connections are reset and buffered bytes are dropped; new connections are reset, and datagrams are dropped.
    Reset,
}

/// One direction of the link between two machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Direction {
    /// The machine that sends.
    pub from: MachineId,
    /// The machine that receives.
    pub to: MachineId,
}

impl Direction {
    /// The opposite direction.
    #[must_use]
    pub fn reversed(self) -> Direction {
        Direction { from: self.to, to: self.from }
    }
}

/// How a relay must handle the bytes that it has read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// Forward this number of bytes.
    Forward(usize),
    /// Reset the connection.
    Reset,
}

#[derive(Clone, Copy, Debug, Default)]
struct Link {
    state: LinkState,
    scheduled: Option<ScheduledChange>,
    /// Number of resets so far; a connection that was established before the last reset is reset.
    reset_count: u64,
    /// Bytes of connections that were forwarded so far.
    forwarded_bytes: u64,
}

/// A change of a link's state after a number of forwarded bytes.
#[derive(Clone, Copy, Debug)]
struct ScheduledChange {
    /// Bytes that are still forwarded before the change.
    remaining_bytes: u64,
    /// The state after the change.
    state: LinkState,
}

#[derive(Debug, Default)]
struct NetworkState {
    links: HashMap<Direction, Link>,
    is_closed: bool,
}

impl Link {
    /// Counts the part of `bytes` that may be forwarded before the scheduled change, and returns the length of
    /// that part.
    fn forward(&mut self, bytes: usize) -> usize {
        let count = match &mut self.scheduled {
            Some(scheduled) => {
                let count = scheduled.remaining_bytes.min(bytes as u64);
                scheduled.remaining_bytes -= count;
                count
            }
            None => bytes as u64,
        };
        self.forwarded_bytes += count;
        count as usize
    }
}

impl NetworkState {
    fn set(&mut self, direction: Direction, state: LinkState) {
        let link = self.links.entry(direction).or_default();
        link.state = state;
        link.scheduled = None;
        if state == LinkState::Reset {
            link.reset_count += 1;
        }
    }
}

/// The links between all machines of a deployment, initially open. Clones share the same links.
#[derive(Clone, Debug, Default)]
pub struct Network {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<NetworkState>,
    changed: Condvar,
}

impl Network {
    /// Sets the state of one direction and cancels its scheduled change.
    pub fn set(&self, direction: Direction, state: LinkState) {
        self.state().set(direction, state);
        self.shared.changed.notify_all();
    }

    /// Sets the state of both directions between a machine and each of `others`.
    pub fn set_between(&self, machine: MachineId, others: &[MachineId], state: LinkState) {
        self.set_outgoing(machine, others, state);
        self.set_incoming(machine, others, state);
    }

    /// Sets the state of the directions from a machine to each of `others`.
    pub fn set_outgoing(&self, machine: MachineId, others: &[MachineId], state: LinkState) {
        for other in others.iter().filter(|other| **other != machine) {
            self.set(Direction { from: machine, to: *other }, state);
        }
    }

    /// Sets the state of the directions from each of `others` to a machine.
    pub fn set_incoming(&self, machine: MachineId, others: &[MachineId], state: LinkState) {
        for other in others.iter().filter(|other| **other != machine) {
            self.set(Direction { from: *other, to: machine }, state);
        }
    }

    /// Schedules a state of one direction for the time when `bytes` more have been forwarded.
    pub fn set_after(&self, direction: Direction, bytes: u64, state: LinkState) {
        let scheduled = ScheduledChange { remaining_bytes: bytes, state };
        self.state().links.entry(direction).or_default().scheduled = Some(scheduled);
    }

    /// The current state of a direction.
    #[must_use]
    pub fn link_state(&self, direction: Direction) -> LinkState {
        self.state().links.get(&direction).map_or(LinkState::Open, |link| link.state)
    }

    /// Bytes of connections that were forwarded in a direction so far; datagrams don't count.
    #[must_use]
    pub fn forwarded_bytes(&self, direction: Direction) -> u64 {
        self.state().links.get(&direction).map_or(0, |link| link.forwarded_bytes)
    }

    /// Ends all relays and resets their connections, permanently.
    pub fn close(&self) {
        self.state().is_closed = true;
        self.shared.changed.notify_all();
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.state().is_closed
    }

    /// Number of resets of a direction so far.
    pub(crate) fn reset_count(&self, direction: Direction) -> u64 {
        self.state().links.get(&direction).map_or(0, |link| link.reset_count)
    }

    /// Blocks until some of `bytes` may be forwarded on a connection that was established after `reset_count`
    /// resets, or the connection has to be reset.
    pub(crate) fn permit(&self, direction: Direction, reset_count: u64, bytes: usize) -> Permission {
        let mut state = self.state();
        loop {
            let is_closed = state.is_closed;
            let link = state.links.entry(direction).or_default();
            if is_closed || link.reset_count != reset_count || link.state == LinkState::Reset {
                return Permission::Reset;
            }
            if link.state == LinkState::Open {
                let Some(scheduled) = link.scheduled.filter(|scheduled| scheduled.remaining_bytes == 0)
                else {
                    return Permission::Forward(link.forward(bytes));
                };
                state.set(direction, scheduled.state);
                self.shared.changed.notify_all();
                continue;
            }
            state = self.shared.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Blocks until one of the directions was reset after `reset_counts` was read, `is_done` returns true,
    /// or the network is closed.
    pub(crate) fn wait_for_reset(
        &self,
        directions: [Direction; 2],
        reset_counts: [u64; 2],
        is_done: impl Fn() -> bool,
    ) {
        let mut state = self.state();
        let is_unchanged = |state: &NetworkState, index: usize| {
            let link = state.links.get(&directions[index]).copied().unwrap_or_default();
            link.reset_count == reset_counts[index]
        };
        while !state.is_closed && !is_done() && is_unchanged(&state, 0) && is_unchanged(&state, 1) {
            state = self.shared.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Wakes all blocked threads of relays, which then check their conditions again.
    pub(crate) fn wake(&self) {
        let _state = self.state();
        self.shared.changed.notify_all();
    }

    fn state(&self) -> MutexGuard<'_, NetworkState> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
