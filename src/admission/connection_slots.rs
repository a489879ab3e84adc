//! Slots for connections, and which one is evicted when slots run out: one rule for all who accept connections.
//! No I/O and no clock.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::types::Nanos;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// Nothing has come on it yet.
    Silent,
    /// A request is on its way in.
    Receiving,
    /// A request is open.
    Serving,
    /// It has had a response and may carry another request.
    Idle,
    /// It has had its last response; only data that still arrives is read.
    Closing,
    /// It was asked to give up its slot.
    Evicted,
}

/// How long a connection may keep its slot while others wait for one.
#[derive(Clone, Copy, Debug)]
pub struct SlotTimeouts {
    /// With nothing come on it.
    pub silent: Duration,
    /// With a part of a request, since the last of it came.
    pub receiving: Duration,
    /// Since its last response.
    pub idle: Duration,
    /// Since the connection's last response.
    pub closing: Duration,
}

/// All slots that are in use.
#[derive(Debug)]
pub struct ConnectionSlots {
    timeouts: SlotTimeouts,
    slots: BTreeMap<u64, (ConnectionState, Nanos)>,
    last: u64,
}

impl ConnectionSlots {
    /// None in use.
    #[must_use]
    pub fn new(timeouts: SlotTimeouts) -> ConnectionSlots {
        ConnectionSlots { timeouts, slots: BTreeMap::new(), last: 0 }
    }

    /// Slots that are in use.
    #[must_use]
    pub fn in_use(&self) -> usize {
        self.slots.len()
    }

    /// Takes a slot, which is silent at first; returns its number.
    pub fn acquire(&mut self, now: Nanos) -> u64 {
        self.last += 1;
        self.slots.insert(self.last, (ConnectionState::Silent, now));
        self.last
    }

    /// Gives a slot back.
    pub fn release(&mut self, number: u64) {
        self.slots.remove(&number);
    }

    /// What it is doing now; returns what it did before.
    pub fn set_state(
        &mut self,
        now: Nanos,
        number: u64,
        state: ConnectionState,
    ) -> Option<ConnectionState> {
        let slot = self.slots.get_mut(&number)?;
        Some(std::mem::replace(slot, (state, now)).0)
    }

    /// What it is doing, and since when.
    #[must_use]
    pub fn get(&self, number: u64) -> Option<(ConnectionState, Nanos)> {
        self.slots.get(&number).copied()
    }

    /// More of a request has come on one whose request is on its way: it keeps its slot for longer.
    pub fn progress(&mut self, now: Nanos, number: u64) {
        if let Some((ConnectionState::Receiving, since)) = self.slots.get_mut(&number) {
            *since = now;
        }
    }

    /// A quarter of the slots at most is left. A connection that gets a response from then on is closed, so that newcomers
    /// need not wait until the timeouts of those that are idle are over.
    #[must_use]
    pub fn is_crowded(&self, capacity: usize) -> bool {
        self.slots.len() * 4 >= capacity * 3
    }

    /// Evicts the connection that needs its slot least, and returns its number. Those that never sent anything
    /// go first, and the oldest among them; none is evicted before its timeout is over, or with a request open.
    pub fn evict(&mut self, now: Nanos) -> Option<u64> {
        let timeouts = self.timeouts;
        let may_be_evicted = |(_, (state, since)): &(&u64, &mut (ConnectionState, Nanos))| {
            let most = match state {
                ConnectionState::Silent => timeouts.silent,
                ConnectionState::Receiving => timeouts.receiving,
                ConnectionState::Idle => timeouts.idle,
                ConnectionState::Closing => timeouts.closing,
                ConnectionState::Serving | ConnectionState::Evicted => return false,
            };
            u128::from(now.saturating_sub(*since)) >= most.as_nanos()
        };
        let least = |(_, (state, since)): &(&u64, &mut (ConnectionState, Nanos))| {
            (*state != ConnectionState::Silent, *since)
        };
        let (number, slot) = self.slots.iter_mut().filter(may_be_evicted).min_by_key(least)?;
        slot.0 = ConnectionState::Evicted;
        Some(*number)
    }
}
