//! Room for connections: the rule of places with a clock, and the way to ask one to leave.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};

use super::within;
use crate::engine::Engine;
use crate::seats::{Patience, Seats, Sitting};
use crate::types::Nanos;

/// All places of one kind.
pub struct Room {
    engine: Engine,
    seats: RefCell<Seats>,
    /// How each is asked to leave: by closing this.
    leave: RefCell<BTreeMap<u64, Sender<()>>>,
    /// A place has become free.
    freed: (Sender<()>, Receiver<()>),
}

impl Room {
    /// With nobody in it.
    pub fn new(engine: Engine, patience: Patience) -> Room {
        let (seats, freed) = (RefCell::new(Seats::new(patience)), async_channel::bounded(1));
        Room { engine, seats, leave: RefCell::default(), freed }
    }

    /// Places that are taken.
    pub fn taken(&self) -> usize {
        self.seats.borrow().taken()
    }

    /// Whoever is answered now shall not stay.
    pub fn is_crowded(&self, places: usize) -> bool {
        self.seats.borrow().is_crowded(places)
    }

    /// Asks the one that needs its place least to give it up, if one has to, and waits until a place is free or
    /// it is time to look again.
    pub async fn make(&self, look: Duration) {
        let spare = self.seats.borrow_mut().spare(self.engine.now());
        if let Some(number) = spare
            && let Some(leave) = self.leave.borrow().get(&number)
        {
            leave.close();
        }
        let _ = within(look, self.freed()).await;
    }

    /// Returns once a place has become free. Only one of all that wait hears of it.
    pub async fn freed(&self) {
        let _ = self.freed.1.recv().await;
    }

    /// Takes a place, which is mute at first.
    pub fn place(self: &Rc<Self>) -> Place {
        let number = self.seats.borrow_mut().take(self.engine.now());
        Place { room: self.clone(), number, leave: self.expect(number) }
    }

    /// What one at this place hears when it is asked to leave.
    fn expect(&self, number: u64) -> Receiver<()> {
        let (send, leave) = async_channel::bounded(1);
        self.leave.borrow_mut().insert(number, send);
        leave
    }
}

/// A place, given back when it is dropped.
pub struct Place {
    room: Rc<Room>,
    number: u64,
    /// Nothing is ever sent here: it closes once the connection shall make room.
    leave: Receiver<()>,
}

impl Place {
    /// Since when nothing has come on it, if that is so.
    pub fn mute_since(&self) -> Option<Nanos> {
        let seat = self.room.seats.borrow().get(self.number);
        seat.filter(|(sitting, _)| *sitting == Sitting::Mute).map(|(_, since)| since)
    }

    /// Notes what it is doing now.
    pub fn sit(&mut self, sitting: Sitting) {
        let before = self.room.seats.borrow_mut().sit(self.room.engine.now(), self.number, sitting);
        // One that was asked to leave in the moment in which its request came has stayed after all.
        if before == Some(Sitting::Leaving) {
            self.leave = self.room.expect(self.number);
        }
    }

    /// More of a request has come.
    pub fn progress(&self) {
        self.room.seats.borrow_mut().progress(self.room.engine.now(), self.number);
    }

    /// Returns once it shall leave.
    pub fn left(&self) -> impl Future<Output = ()> + use<> {
        let leave = self.leave.clone();
        async move {
            let _ = leave.recv().await;
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.room.seats.borrow_mut().free(self.number);
        self.room.leave.borrow_mut().remove(&self.number);
        let _ = self.room.freed.0.try_send(());
    }
}
