//! A partial view: which processes this one knows, and how it exchanges them with others.
//!
//! The protocol is a variant of Cyclon (S. Voulgaris, D. Gavidia, M. van Steen: "CYCLON: Inexpensive Membership
//! Management for Unstructured P2P Overlays", 2005). At each tick a process sends the oldest entry of its view an offer
//! of a few entries, and its own with age 0. The other replies with as many of its own. Each side merges the entries
//! that are new to it, first into free slots, then into the slots of what it has just sent. So entries move through the
//! whole system, the number of views that contain a process stays near the mean, and an entry that its process no
//! longer refreshes ages until it is dropped.
//!
//! The difference from Cyclon: agents need members of the control plane, which are few. A view therefore reserves some
//! slots for them: entries of control members are copied where others are exchanged. And seeds, machines of which
//! nothing else is known, are contacted at the start and now and then.

use std::net::Ipv4Addr;

use fastrand::Rng;
use tulipridge_protocol::feed::ControlNode;
use tulipridge_protocol::peer_sampling::{Entry, Role, Shuffle};

use crate::entry_table::EntryTable;

pub use crate::entry_table::{CAPACITY, MAX_AGE, MAX_ZONE_BYTES, RESERVED_CONTROL_SLOTS};

/// Most entries in one message, the sender's own not counted.
pub const SHUFFLE_LENGTH: usize = 5;
/// One tick in so many contacts a seed although others are known, so that overlays that have lost each other during a
/// network partition merge again.
const SEED_CONTACT_ONE_IN: u32 = 32;

/// The request of a shuffle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The machine to which it is to be sent.
    pub to: Ipv4Addr,
    /// The message.
    pub message: Shuffle,
}

/// The shuffle whose reply has not come yet.
#[derive(Clone, Debug)]
struct PendingShuffle {
    to: Ipv4Addr,
    /// The machines whose entries were sent.
    sent: Vec<Ipv4Addr>,
}

/// What a process knows of others.
#[derive(Clone, Debug)]
pub struct View {
    own_entry: Entry,
    seeds: Vec<Ipv4Addr>,
    table: EntryTable,
    pending: Option<PendingShuffle>,
    contacted_seed_last: bool,
    random: Rng,
}

impl View {
    /// The empty view of the process with `own_entry`; `seeds` are machines of which nothing else is known, and `seed`
    /// that of the random numbers.
    #[must_use]
    pub fn new(own_entry: Entry, seeds: Vec<Ipv4Addr>, seed: u64) -> Self {
        let mut view = View {
            table: EntryTable::new(own_entry.id.ip),
            own_entry: Entry { age: 0, ..own_entry },
            seeds: Vec::new(),
            pending: None,
            contacted_seed_last: false,
            random: Rng::with_seed(seed),
        };
        view.set_seeds(seeds);
        view
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<Ipv4Addr>) {
        let own = self.own_entry.id.address();
        self.seeds = seeds.into_iter().filter(|seed| *seed != own).collect();
    }

    /// The entry of this process.
    #[must_use]
    pub fn own_entry(&self) -> &Entry {
        &self.own_entry
    }

    /// The processes that are known, at most one for each machine.
    #[must_use]
    pub fn entries(&self) -> &[Entry] {
        self.table.entries()
    }

    /// The members of the control plane that are known, without this process.
    #[must_use]
    pub fn control_nodes(&self) -> Vec<ControlNode> {
        let control = self.entries().iter().filter(|entry| entry.role == Role::Control);
        control.map(|entry| ControlNode { id: entry.id, zone: entry.zone.clone() }).collect()
    }

    /// Advances time by one tick: entries age, one that has not replied is removed, and the next shuffle starts.
    /// Returns its request, which the caller sends; none where nobody is known.
    pub fn tick(&mut self) -> Option<Request> {
        if let Some(unanswered) = self.pending.take() {
            self.table.remove(unanswered.to);
        }
        self.table.increment_ages();
        let to = self.next_neighbor()?;
        let entries = self.sample(to);
        self.pending = Some(PendingShuffle { to, sent: addresses(&entries) });
        Some(Request { to, message: Shuffle::Offer { from: self.own_entry.clone(), entries } })
    }

    /// Handles a message from machine `from`. Returns the reply to an offer, which the caller sends.
    pub fn handle(&mut self, from: Ipv4Addr, message: Shuffle) -> Option<Shuffle> {
        match message {
            Shuffle::Offer { from: sender, entries } if is_of_machine(&sender, from) => {
                Some(self.handle_offer(sender, entries))
            }
            Shuffle::Reply { from: sender, entries } if is_of_machine(&sender, from) => {
                self.handle_response(sender, entries);
                None
            }
            _ => None,
        }
    }

    fn handle_offer(&mut self, sender: Entry, entries: Vec<Entry>) -> Shuffle {
        let reply = self.sample(sender.id.address());
        let mut sent = addresses(&reply);
        self.merge_sender(sender, &mut sent);
        self.merge(entries, &mut sent);
        Shuffle::Reply { from: self.own_entry.clone(), entries: reply }
    }

    fn handle_response(&mut self, sender: Entry, entries: Vec<Entry>) {
        let Some(pending) = self.pending.take_if(|pending| pending.to == sender.id.address()) else {
            return;
        };
        let mut sent = pending.sent;
        // The sender now has an entry of this process in exchange for the slot that it had here.
        self.table.remove(pending.to);
        self.merge(entries, &mut sent);
        if self.table.needs(&sender) || !self.table.is_full() {
            self.merge_sender(sender, &mut sent);
        }
    }

    /// The machine to shuffle with at this tick: a seed while no control member is known, though not twice in a row
    /// where others are known; else the oldest entry.
    fn next_neighbor(&mut self) -> Option<Ipv4Addr> {
        let oldest = self.table.oldest();
        let is_seed_wanted = self.table.control_count() == 0 || self.random.u32(..SEED_CONTACT_ONE_IN) == 0;
        let may_contact_seed = oldest.is_none() || is_seed_wanted && !self.contacted_seed_last;
        let contacts_seed = !self.seeds.is_empty() && may_contact_seed;
        self.contacted_seed_last = contacts_seed;
        if contacts_seed { self.random.choice(&self.seeds).copied() } else { oldest }
    }

    /// Random entries for machine `to`, one of a control member among them if any is known.
    fn sample(&mut self, to: Ipv4Addr) -> Vec<Entry> {
        let entries = self.table.entries();
        let is_other = |index: &usize| entries[*index].id.address() != to;
        let mut candidates: Vec<usize> = (0..entries.len()).filter(is_other).collect();
        self.random.shuffle(&mut candidates);
        let is_control = |index: &usize| entries[*index].role == Role::Control;
        if let Some(control) = candidates.iter().position(is_control) {
            candidates.swap(0, control);
        }
        candidates.truncate(SHUFFLE_LENGTH);
        candidates.into_iter().map(|index| entries[index].clone()).collect()
    }

    /// Merges entries that were received, in exchange for those that were `sent`.
    fn merge(&mut self, entries: Vec<Entry>, sent: &mut Vec<Ipv4Addr>) {
        for entry in entries.into_iter().take(SHUFFLE_LENGTH) {
            if !self.table.is_acceptable(&entry) || self.table.refresh(&entry) {
                continue;
            }
            let is_needed = self.table.needs(&entry);
            if self.table.free_slot(sent) || is_needed && self.table.evict_oldest() {
                self.table.insert(entry);
            }
        }
    }

    /// Merges the sender of a message, also where another entry has to be evicted for it.
    fn merge_sender(&mut self, sender: Entry, sent: &mut Vec<Ipv4Addr>) {
        let sender = Entry { age: 0, ..sender };
        if !self.table.is_acceptable(&sender) || self.table.refresh(&sender) {
            return;
        }
        if self.table.free_slot(sent) || self.table.evict_oldest() {
            self.table.insert(sender);
        }
    }
}

/// A process may send only an entry of its own machine as its own.
fn is_of_machine(sender: &Entry, machine: Ipv4Addr) -> bool {
    sender.id.address() == machine
}

fn addresses(entries: &[Entry]) -> Vec<Ipv4Addr> {
    entries.iter().map(|entry| entry.id.address()).collect()
}
