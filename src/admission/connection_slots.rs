//! Connection slots, and the choice of the connection that is evicted when slots run out. All listeners use this
//! rule. No I/O and no clock.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::types::Nanos;

/// The state of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// Nothing was received on the connection yet.
    Silent,
    /// A request is incomplete.
    Receiving,
    /// A request is being served.
    Serving,
    /// The response to the last request was sent; the connection may carry another request.
    Idle,
    /// The last response was sent; data that still arrives is read and dropped.
    Closing,
    /// The connection was asked to release its slot.
    Evicted,
}

/// Times after which a connection in a state may be evicted while others wait for a slot.
#[derive(Clone, Copy, Debug)]
pub struct SlotTimeouts {
    /// Time since the connection was accepted, if nothing was received.
    pub silent: Duration,
    /// Time since the last data of an incomplete request.
    pub receiving: Duration,
    /// Time since the last response, for an idle connection.
    pub idle: Duration,
    /// Time since the last response, for a closing connection.
    pub closing: Duration,
}

/// All slots in use.
#[derive(Debug)]
pub struct ConnectionSlots {
    timeouts: SlotTimeouts,
    slots: BTreeMap<u64, (ConnectionState, Nanos)>,
    last_number: u64,
}

impl ConnectionSlots {
    /// Starts with no slot in use.
    #[must_use]
    pub fn new(timeouts: SlotTimeouts) -> ConnectionSlots {
        ConnectionSlots { timeouts, slots: BTreeMap::new(), last_number: 0 }
    }

    /// Number of slots in use.
    #[must_use]
    pub fn in_use(&self) -> usize {
        self.slots.len()
    }

    /// Takes a slot in the state `Silent`; returns its number.
    pub fn acquire(&mut self, now: Nanos) -> u64 {
        self.last_number += 1;
        self.slots.insert(self.last_number, (ConnectionState::Silent, now));
        self.last_number
    }

    /// Releases a slot.
    pub fn release(&mut self, number: u64) {
        self.slots.remove(&number);
    }

    /// Sets the state of a connection; returns the previous one.
    pub fn set_state(
        &mut self,
        now: Nanos,
        number: u64,
        state: ConnectionState,
    ) -> Option<ConnectionState> {
        let slot = self.slots.get_mut(&number)?;
        Some(std::mem::replace(slot, (state, now)).0)
    }

    /// The state of a connection, and since when it applies.
    #[must_use]
    pub fn get(&self, number: u64) -> Option<(ConnectionState, Nanos)> {
        self.slots.get(&number).copied()
    }

    /// Restarts the timeout of a connection with an incomplete request, since more of it was received.
    pub fn progress(&mut self, now: Nanos, number: u64) {
        if let Some((ConnectionState::Receiving, since)) = self.slots.get_mut(&number) {
            *since = now;
        }
    }

    /// Whether at most a quarter of the slots is free. Connections are then closed after their response, so that new
    /// ones need not wait for the timeouts of idle ones.
    #[must_use]
    pub fn is_crowded(&self, capacity: usize) -> bool {
        self.slots.len() * 4 >= capacity * 3
    }

    /// Marks a connection as evicted, and returns its number. Connections that never sent anything go first, then the
    /// one that has been in its state for longest. None is evicted before its timeout, or while its request is
    /// served.
    pub fn evict(&mut self, now: Nanos) -> Option<u64> {
        let timeouts = self.timeouts;
        let is_evictable = |(_, (state, since)): &(&u64, &mut (ConnectionState, Nanos))| {
            let timeout = match state {
                ConnectionState::Silent => timeouts.silent,
                ConnectionState::Receiving => timeouts.receiving,
                ConnectionState::Idle => timeouts.idle,
                ConnectionState::Closing => timeouts.closing,
                ConnectionState::Serving | ConnectionState::Evicted => return false,
            };
            u128::from(now.saturating_sub(*since)) >= timeout.as_nanos()
        };
        let eviction_order = |(_, (state, since)): &(&u64, &mut (ConnectionState, Nanos))| {
            (*state != ConnectionState::Silent, *since)
        };
        let (number, slot) = self.slots.iter_mut().filter(is_evictable).min_by_key(eviction_order)?;
        slot.0 = ConnectionState::Evicted;
        Some(*number)
    }
}
