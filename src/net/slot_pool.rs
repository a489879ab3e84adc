//! A pool of connection slots: applies the rules of [`crate::admission::connection_slots`] against the clock, and notifies
//! evicted connections.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};

use super::within;
use crate::admission::connection_slots::{ConnectionSlots, ConnectionState, SlotTimeouts};
use crate::engine::Engine;
use crate::types::Nanos;

/// The slots of one kind of connection.
pub struct SlotPool {
    engine: Engine,
    slots: RefCell<ConnectionSlots>,
    /// The eviction channel of each slot; closing it evicts the connection.
    eviction: RefCell<BTreeMap<u64, Sender<()>>>,
    /// Notifies one waiting task that a slot has become free.
    freed: (Sender<()>, Receiver<()>),
}

impl SlotPool {
    /// Creates a pool with no slot in use.
    #[must_use]
    pub fn new(engine: Engine, timeouts: SlotTimeouts) -> SlotPool {
        let (slots, freed) = (RefCell::new(ConnectionSlots::new(timeouts)), async_channel::bounded(1));
        SlotPool { engine, slots, eviction: RefCell::default(), freed }
    }

    /// The number of slots in use.
    pub fn in_use(&self) -> usize {
        self.slots.borrow().in_use()
    }

    /// Whether a connection is to be closed after its response.
    pub fn is_crowded(&self, capacity: usize) -> bool {
        self.slots.borrow().is_crowded(capacity)
    }

    /// Evicts the connection that needs its slot least, if one may be evicted, and waits until a slot is free, at most for
    /// `check_interval`.
    pub async fn evict_and_wait(&self, check_interval: Duration) {
        let evicted = self.slots.borrow_mut().evict(self.engine.now());
        if let Some(number) = evicted
            && let Some(eviction) = self.eviction.borrow().get(&number)
        {
            eviction.close();
        }
        let _ = within(check_interval, self.freed()).await;
    }

    /// Waits until a slot becomes free. Only one waiting task is notified.
    pub async fn freed(&self) {
        let _ = self.freed.1.recv().await;
    }

    /// Acquires a slot, in the silent state.
    pub fn acquire(self: &Rc<Self>) -> Slot {
        let number = self.slots.borrow_mut().acquire(self.engine.now());
        Slot { pool: self.clone(), number, eviction: self.eviction_channel(number) }
    }

    /// Creates the eviction channel of a slot.
    fn eviction_channel(&self, number: u64) -> Receiver<()> {
        let (send, eviction) = async_channel::bounded(1);
        self.eviction.borrow_mut().insert(number, send);
        eviction
    }
}

/// A slot, which is released when it is dropped.
pub struct Slot {
    pool: Rc<SlotPool>,
    number: u64,
    /// Carries no messages: it is closed when the connection is evicted.
    eviction: Receiver<()>,
}

impl Slot {
    /// When the connection opened, if nothing was received on it yet.
    #[must_use]
    pub fn silent_since(&self) -> Option<Nanos> {
        let slot = self.pool.slots.borrow().get(self.number);
        slot.filter(|(state, _)| *state == ConnectionState::Silent).map(|(_, since)| since)
    }

    /// Sets the state of the connection.
    pub fn set_state(&mut self, state: ConnectionState) {
        let before = self.pool.slots.borrow_mut().set_state(self.pool.engine.now(), self.number, state);
        // An evicted connection whose request arrived at the same moment stays open, so it needs a new channel.
        if before == Some(ConnectionState::Evicted) {
            self.eviction = self.pool.eviction_channel(self.number);
        }
    }

    /// Records that more of a request has arrived.
    pub fn progress(&self) {
        self.pool.slots.borrow_mut().progress(self.pool.engine.now(), self.number);
    }

    /// Waits until the connection is evicted.
    pub fn evicted(&self) -> impl Future<Output = ()> + use<> {
        let eviction = self.eviction.clone();
        async move {
            let _ = eviction.recv().await;
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.pool.slots.borrow_mut().release(self.number);
        self.pool.eviction.borrow_mut().remove(&self.number);
        let _ = self.pool.freed.0.try_send(());
    }
}
