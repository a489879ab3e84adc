//! A partial view: which processes this one knows, and how it exchanges them with others.
//!
//! At each tick a process asks the oldest entry of its view and offers a few entries, its own with age 0
//! among them. The other answers with as many of its own. Each side takes in what is new to it, first into
//! free places, then in the places of what it has just sent. So entries wander through the whole system,
//! the number of views that hold a process stays near the mean, and an entry that its process no longer
//! refreshes grows old and drops.
//!
//! Agents need members of the control plane, which are few. A view therefore keeps some places for them:
//! entries of control members are copied where others change places.

use std::net::Ipv4Addr;

use fastrand::Rng;
use tulipridge_protocol::feed::ControlNode;
use tulipridge_protocol::peer_sampling::{Entry, Role, Shuffle};

/// Entries that a view holds at most.
pub const CAPACITY: usize = 16;
/// Entries in one message, the sender's own not counted.
pub const SHUFFLE_LENGTH: usize = 5;
/// Ticks after which an entry drops unless its process has told of itself.
pub const MAX_AGE: u32 = 2 * CAPACITY as u32;
/// Entries of control members that are kept when others press for their places.
pub const CONTROL_PLACES: usize = 4;
/// Longest name of a zone that is taken, in bytes.
pub const MAX_ZONE_BYTES: usize = 128;
/// One tick in so many asks a seed although others are known, so that parts of the system that have
/// forgotten each other during a cut meet again.
const SEED_ASKED_ONE_IN: u32 = 32;

/// A message to another process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The other's machine.
    pub to: Ipv4Addr,
    /// The message.
    pub message: Shuffle,
}

/// The exchange that waits for its answer.
#[derive(Clone, Debug)]
struct Pending {
    to: Ipv4Addr,
    sent: Vec<Ipv4Addr>,
}

/// What a process knows of others.
#[derive(Clone, Debug)]
pub struct View {
    me: Entry,
    seeds: Vec<Ipv4Addr>,
    entries: Vec<Entry>,
    pending: Option<Pending>,
    asked_seed_last: bool,
    random: Rng,
}

impl View {
    /// The view of process `me`, empty but for the machines `seeds`, of which nothing is known yet.
    #[must_use]
    pub fn new(me: Entry, seeds: Vec<Ipv4Addr>, seed: u64) -> Self {
        let mut view = View {
            me: Entry { age: 0, ..me },
            seeds: Vec::new(),
            entries: Vec::with_capacity(CAPACITY),
            pending: None,
            asked_seed_last: false,
            random: Rng::with_seed(seed),
        };
        view.set_seeds(seeds);
        view
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<Ipv4Addr>) {
        let own = self.me.id.address();
        self.seeds = seeds.into_iter().filter(|seed| *seed != own).collect();
    }

    /// This process.
    #[must_use]
    pub fn me(&self) -> &Entry {
        &self.me
    }

    /// The processes that are known, at most one for each machine.
    #[must_use]
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// The members of the control plane that are known, without this process.
    #[must_use]
    pub fn control_nodes(&self) -> Vec<ControlNode> {
        let control = self.entries.iter().filter(|entry| entry.role == Role::Control);
        control.map(|entry| ControlNode { id: entry.id, zone: entry.zone.clone() }).collect()
    }

    /// Time passes by one tick: entries age, one that has not answered goes, and the next is asked.
    pub fn tick(&mut self) -> Option<Request> {
        if let Some(silent) = self.pending.take() {
            self.remove(silent.to);
        }
        self.entries.iter_mut().for_each(|entry| entry.age += 1);
        self.entries.retain(|entry| entry.age <= MAX_AGE);
        let to = self.next_partner()?;
        let entries = self.sample(to);
        self.pending = Some(Pending { to, sent: addresses(&entries) });
        Some(Request { to, message: Shuffle::Offer { from: self.me.clone(), entries } })
    }

    /// Takes a message from machine `from`; an offer is answered.
    pub fn handle(&mut self, from: Ipv4Addr, message: Shuffle) -> Option<Shuffle> {
        match message {
            Shuffle::Offer { from: sender, entries } if may_come_from(&sender, from) => {
                Some(self.answer(sender, entries))
            }
            Shuffle::Reply { from: sender, entries } if may_come_from(&sender, from) => {
                self.take_reply(sender, entries);
                None
            }
            _ => None,
        }
    }

    fn answer(&mut self, sender: Entry, entries: Vec<Entry>) -> Shuffle {
        let reply = self.sample(sender.id.address());
        let mut given = addresses(&reply);
        self.take_sender(sender, &mut given);
        self.take_entries(entries, &mut given);
        Shuffle::Reply { from: self.me.clone(), entries: reply }
    }

    fn take_reply(&mut self, sender: Entry, entries: Vec<Entry>) {
        let Some(pending) = self.pending.take_if(|pending| pending.to == sender.id.address()) else {
            return;
        };
        let mut given = pending.sent;
        // The one that answered now holds an entry of this process in exchange for the place that it had
        // here.
        self.remove(pending.to);
        self.take_entries(entries, &mut given);
        let needed = sender.role == Role::Control && self.control_count() < CONTROL_PLACES;
        if needed || self.entries.len() < CAPACITY {
            self.take_sender(sender, &mut given);
        }
    }

    /// The machine that is asked at this tick: a seed while no control member is known, though not twice
    /// running where there are others to ask; else the oldest entry.
    fn next_partner(&mut self) -> Option<Ipv4Addr> {
        let oldest = self.entries.iter().max_by_key(|entry| entry.age).map(|entry| entry.id.address());
        let wanted = self.control_count() == 0 || self.random.u32(..SEED_ASKED_ONE_IN) == 0;
        let ask_seed = !self.seeds.is_empty() && (oldest.is_none() || wanted && !self.asked_seed_last);
        self.asked_seed_last = ask_seed;
        if ask_seed { self.random.choice(&self.seeds).copied() } else { oldest }
    }

    /// Entries for machine `to`, one of a control member among them if any is known.
    fn sample(&mut self, to: Ipv4Addr) -> Vec<Entry> {
        let is_other = |index: &usize| self.entries[*index].id.address() != to;
        let mut candidates: Vec<usize> = (0..self.entries.len()).filter(is_other).collect();
        self.random.shuffle(&mut candidates);
        let is_control = |index: &usize| self.entries[*index].role == Role::Control;
        if let Some(control) = candidates.iter().position(is_control) {
            candidates.swap(0, control);
        }
        candidates.truncate(SHUFFLE_LENGTH);
        candidates.into_iter().map(|index| self.entries[index].clone()).collect()
    }

    fn take_entries(&mut self, entries: Vec<Entry>, given: &mut Vec<Ipv4Addr>) {
        for entry in entries.into_iter().take(SHUFFLE_LENGTH) {
            if !self.acceptable(&entry) || self.refresh(&entry) {
                continue;
            }
            let needed = entry.role == Role::Control && self.control_count() < CONTROL_PLACES;
            if self.make_place(given) || needed && self.evict_oldest() {
                self.entries.push(entry);
            }
        }
    }

    /// Takes in the sender of a message, also where another has to go for it.
    fn take_sender(&mut self, sender: Entry, given: &mut Vec<Ipv4Addr>) {
        let sender = Entry { age: 0, ..sender };
        if !self.acceptable(&sender) || self.refresh(&sender) {
            return;
        }
        if self.make_place(given) || self.evict_oldest() {
            self.entries.push(sender);
        }
    }

    fn acceptable(&self, entry: &Entry) -> bool {
        entry.id.ip != self.me.id.ip && entry.age <= MAX_AGE && entry.zone.len() <= MAX_ZONE_BYTES
    }

    /// Where the machine is known already, keeps what its newest process told of itself last.
    fn refresh(&mut self, entry: &Entry) -> bool {
        let Some(known) = self.entries.iter_mut().find(|known| known.id.ip == entry.id.ip) else {
            return false;
        };
        let newer_process = entry.age == known.age && entry.id.generation > known.id.generation;
        if entry.age < known.age || newer_process {
            *known = entry.clone();
        }
        true
    }

    /// Whether there is a free place, if need be that of an entry that was given to the other side.
    fn make_place(&mut self, given: &mut Vec<Ipv4Addr>) -> bool {
        while self.entries.len() >= CAPACITY {
            let Some(address) = given.pop() else { return false };
            if !self.is_reserved(address) {
                self.remove(address);
            }
        }
        true
    }

    /// Removes the oldest entry that has no reserved place.
    fn evict_oldest(&mut self) -> bool {
        let removable = self.entries.iter().filter(|entry| !self.is_reserved(entry.id.address()));
        let Some(oldest) = removable.max_by_key(|entry| entry.age).map(|entry| entry.id.address()) else {
            return false;
        };
        self.remove(oldest);
        true
    }

    fn is_reserved(&self, address: Ipv4Addr) -> bool {
        let control =
            self.entries.iter().any(|entry| entry.id.address() == address && entry.role == Role::Control);
        control && self.control_count() <= CONTROL_PLACES
    }

    fn control_count(&self) -> usize {
        self.entries.iter().filter(|entry| entry.role == Role::Control).count()
    }

    fn remove(&mut self, address: Ipv4Addr) {
        self.entries.retain(|entry| entry.id.address() != address);
    }
}

/// A process tells only of its own machine.
fn may_come_from(sender: &Entry, from: Ipv4Addr) -> bool {
    sender.id.address() == from
}

fn addresses(entries: &[Entry]) -> Vec<Ipv4Addr> {
    entries.iter().map(|entry| entry.id.address()).collect()
}
