//! A pool of connection slots: the rule of [`crate::admission::connection_slots`] with a clock, and the way to
//! evict a connection.

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

/// All slots of one kind.
pub struct SlotPool {
    engine: Engine,
    slots: RefCell<ConnectionSlots>,
    /// How each is asked to leave: by closing this.
    eviction: RefCell<BTreeMap<u64, Sender<()>>>,
    /// A slot has become free.
    freed: (Sender<()>, Receiver<()>),
}

impl SlotPool {
    /// With no slot in use.
    #[must_use]
    pub fn new(engine: Engine, timeouts: SlotTimeouts) -> SlotPool {
        let (slots, freed) = (RefCell::new(ConnectionSlots::new(timeouts)), async_channel::bounded(1));
        SlotPool { engine, slots, eviction: RefCell::default(), freed }
    }

    /// Slots that are in use.
    pub fn in_use(&self) -> usize {
        self.slots.borrow().in_use()
    }

    /// Whether a connection is to be closed after its response.
    pub fn is_crowded(&self, capacity: usize) -> bool {
        self.slots.borrow().is_crowded(capacity)
    }

    /// Asks the one that needs its slot least to give it up, if one has to, and waits until a slot is free or
    /// it is time to look again.
    pub async fn evict_and_wait(&self, look: Duration) {
        let evicted = self.slots.borrow_mut().evict(self.engine.now());
        if let Some(number) = evicted
            && let Some(eviction) = self.eviction.borrow().get(&number)
        {
            eviction.close();
        }
        let _ = within(look, self.freed()).await;
    }

    /// Returns once a slot has become free. Only one of all that wait hears of it.
    pub async fn freed(&self) {
        let _ = self.freed.1.recv().await;
    }

    /// Takes a slot, which is silent at first.
    pub fn acquire(self: &Rc<Self>) -> Slot {
        let number = self.slots.borrow_mut().acquire(self.engine.now());
        Slot { pool: self.clone(), number, eviction: self.expect_eviction(number) }
    }

    /// What one at this slot hears when it is asked to leave.
    fn expect_eviction(&self, number: u64) -> Receiver<()> {
        let (send, eviction) = async_channel::bounded(1);
        self.eviction.borrow_mut().insert(number, send);
        eviction
    }
}

/// A slot, given back when it is dropped.
pub struct Slot {
    pool: Rc<SlotPool>,
    number: u64,
    /// Nothing is ever sent here: it closes once the connection shall give up its slot.
    eviction: Receiver<()>,
}

impl Slot {
    /// Since when nothing has come on it, if that is so.
    #[must_use]
    pub fn silent_since(&self) -> Option<Nanos> {
        let slot = self.pool.slots.borrow().get(self.number);
        slot.filter(|(state, _)| *state == ConnectionState::Silent).map(|(_, since)| since)
    }

    /// Notes what it is doing now.
    pub fn set_state(&mut self, state: ConnectionState) {
        let before = self.pool.slots.borrow_mut().set_state(self.pool.engine.now(), self.number, state);
        // One that was asked to leave in the moment in which its request came has stayed after all.
        if before == Some(ConnectionState::Evicted) {
            self.eviction = self.pool.expect_eviction(self.number);
        }
    }

    /// More of a request has come.
    pub fn progress(&self) {
        self.pool.slots.borrow_mut().progress(self.pool.engine.now(), self.number);
    }

    /// Returns once it shall leave.
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
