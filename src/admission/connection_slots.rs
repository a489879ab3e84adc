//! Who gives up a place when places are scarce: one rule for all who accept connections. No I/O and no clock.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::types::Nanos;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sitting {
    /// Nothing has come on it yet.
    Mute,
    /// A request is on its way in.
    Arriving,
    /// A request is open.
    Asking,
    /// It was answered and may carry another request.
    Rested,
    /// It has had its last answer, and only what still comes is waited for.
    Closing,
    /// It was asked to make room.
    Leaving,
}

/// How long a connection keeps its place against newcomers.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// With nothing come on it.
    pub mute: Duration,
    /// With a part of a request, since the last of it came.
    pub arriving: Duration,
    /// Since its last answer.
    pub rested: Duration,
    /// Since the last answer of all.
    pub closing: Duration,
}

/// All places that are taken.
#[derive(Debug)]
pub struct Seats {
    patience: Patience,
    seats: BTreeMap<u64, (Sitting, Nanos)>,
    last: u64,
}

impl Seats {
    /// None taken.
    pub fn new(patience: Patience) -> Seats {
        Seats { patience, seats: BTreeMap::new(), last: 0 }
    }

    /// Places that are taken.
    pub fn taken(&self) -> usize {
        self.seats.len()
    }

    /// Takes a place, which is mute at first; returns its number.
    pub fn take(&mut self, now: Nanos) -> u64 {
        self.last += 1;
        self.seats.insert(self.last, (Sitting::Mute, now));
        self.last
    }

    /// Gives a place back.
    pub fn free(&mut self, number: u64) {
        self.seats.remove(&number);
    }

    /// What it is doing now; returns what it did before.
    pub fn sit(&mut self, now: Nanos, number: u64, sitting: Sitting) -> Option<Sitting> {
        let seat = self.seats.get_mut(&number)?;
        Some(std::mem::replace(seat, (sitting, now)).0)
    }

    /// What it is doing, and since when.
    pub fn get(&self, number: u64) -> Option<(Sitting, Nanos)> {
        self.seats.get(&number).copied()
    }

    /// More of a request has come on one whose request is on its way: it keeps its place for longer.
    pub fn progress(&mut self, now: Nanos, number: u64) {
        if let Some((Sitting::Arriving, since)) = self.seats.get_mut(&number) {
            *since = now;
        }
    }

    /// A quarter of the places at most is left. Whoever is answered from then on shall not stay, so that newcomers
    /// need not wait for the patience with those at rest to be over.
    pub fn is_crowded(&self, places: usize) -> bool {
        self.seats.len() * 4 >= places * 3
    }

    /// Asks the one that needs its place least to leave, and returns its number. Those that never sent anything
    /// go first, and the oldest among them; nobody goes before its patience is over, or with a request open.
    pub fn spare(&mut self, now: Nanos) -> Option<u64> {
        let patience = self.patience;
        let spare = |(_, (sitting, since)): &(&u64, &mut (Sitting, Nanos))| {
            let most = match sitting {
                Sitting::Mute => patience.mute,
                Sitting::Arriving => patience.arriving,
                Sitting::Rested => patience.rested,
                Sitting::Closing => patience.closing,
                Sitting::Asking | Sitting::Leaving => return false,
            };
            u128::from(now.saturating_sub(*since)) >= most.as_nanos()
        };
        let least =
            |(_, (sitting, since)): &(&u64, &mut (Sitting, Nanos))| (*sitting != Sitting::Mute, *since);
        let (number, seat) = self.seats.iter_mut().filter(spare).min_by_key(least)?;
        seat.0 = Sitting::Leaving;
        Some(*number)
    }
}
