//! A partial view: the other processes that a process knows, and the protocol by which views are exchanged.
//!
//! The protocol is a variant of Cyclon (S. Voulgaris, D. Gavidia, M. van Steen: "CYCLON: Inexpensive Membership
//! Management for Unstructured P2P Overlays", 2005). At each tick a process sends an offer to the process of its oldest
//! entry: a few entries of its view, and its own entry with age 0. The response has up to as many entries. Each side
//! merges the entries that are new to it, first into free slots, then into the slots of the entries that it has just
//! sent. So entries move through the whole system, the number of views that contain a process stays near the mean, and
//! the entry of a process that no longer refreshes it ages until it is dropped.
//!
//! There are two differences from Cyclon. Agents need members of the control plane, which are few, so a view reserves
//! slots for them: their entries are copied where others are exchanged. And seeds, configured addresses whose processes
//! need not be known, are contacted while no control-plane member is known, and occasionally after that.

use std::net::Ipv4Addr;

use fastrand::Rng;
use tulipridge_protocol::feed::ControlNode;
use tulipridge_protocol::peer_sampling::{Entry, Role, Shuffle};

use crate::entry_table::EntryTable;

pub use crate::entry_table::{CAPACITY, MAX_AGE_TICKS, MAX_ZONE_BYTES, RESERVED_CONTROL_SLOTS};

/// Maximum number of entries in a message, in addition to the sender's own.
pub const SHUFFLE_LENGTH: usize = 5;
/// While a control-plane member is known, a tick contacts a seed with a probability of 1 in this number, so that
/// overlays that a long network partition has separated merge again.
const SEED_CONTACT_ONE_IN: u32 = 32;

/// An offer to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingOffer {
    /// The address of the receiver.
    pub to: Ipv4Addr,
    /// The message.
    pub message: Shuffle,
}

/// A shuffle that waits for its response.
#[derive(Clone, Debug)]
struct PendingShuffle {
    to: Ipv4Addr,
    /// The addresses of the entries that were sent.
    sent: Vec<Ipv4Addr>,
}

/// The partial view of a process.
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
    /// Creates the empty view of the process with `own_entry`. `seeds` are the addresses contacted while no
    /// control-plane member is known, and occasionally after that. `random_seed` initializes the random number
    /// generator.
    #[must_use]
    pub fn new(own_entry: Entry, seeds: Vec<Ipv4Addr>, random_seed: u64) -> Self {
        let mut view = View {
            table: EntryTable::new(own_entry.id.ip),
            own_entry: Entry { age: 0, ..own_entry },
            seeds: Vec::new(),
            pending: None,
            contacted_seed_last: false,
            random: Rng::with_seed(random_seed),
        };
        view.set_seeds(seeds);
        view
    }

    /// Replaces the seed addresses; the own address is left out.
    pub fn set_seeds(&mut self, seeds: Vec<Ipv4Addr>) {
        let own = self.own_entry.id.address();
        self.seeds = seeds.into_iter().filter(|seed| *seed != own).collect();
    }

    /// The entry of this process.
    #[must_use]
    pub fn own_entry(&self) -> &Entry {
        &self.own_entry
    }

    /// The entries of the known processes, at most one per machine.
    #[must_use]
    pub fn entries(&self) -> &[Entry] {
        self.table.entries()
    }

    /// The known members of the control plane, without this process.
    #[must_use]
    pub fn control_nodes(&self) -> Vec<ControlNode> {
        let control = self.entries().iter().filter(|entry| entry.role == Role::Control);
        control.map(|entry| ControlNode { id: entry.id, zone: entry.zone.clone() }).collect()
    }

    /// Advances time by one tick: removes the entry of a process that has not responded to the last offer, ages the
    /// others, and starts the next shuffle. Returns the offer, which the caller sends; `None` if there is neither an
    /// entry nor a seed.
    pub fn tick(&mut self) -> Option<OutgoingOffer> {
        if let Some(unresponsive) = self.pending.take() {
            self.table.remove(unresponsive.to);
        }
        self.table.increment_ages();
        let to = self.choose_neighbor()?;
        let entries = self.sample(to);
        self.pending = Some(PendingShuffle { to, sent: addresses(&entries) });
        Some(OutgoingOffer { to, message: Shuffle::Offer { from: self.own_entry.clone(), entries } })
    }

    /// Handles a message from machine `from`. Returns the response to an offer, which the caller sends.
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
        let response = self.sample(sender.id.address());
        let mut sent = addresses(&response);
        self.merge_sender(sender, &mut sent);
        self.merge(entries, &mut sent);
        Shuffle::Reply { from: self.own_entry.clone(), entries: response }
    }

    fn handle_response(&mut self, sender: Entry, entries: Vec<Entry>) {
        let Some(pending) = self.pending.take_if(|pending| pending.to == sender.id.address()) else {
            return;
        };
        let mut sent = pending.sent;
        // In exchange for its slot in this view, the sender now has an entry of this process.
        self.table.remove(pending.to);
        self.merge(entries, &mut sent);
        if self.table.has_reserved_slot_for(&sender) || !self.table.is_full() {
            self.merge_sender(sender, &mut sent);
        }
    }

    /// The address to shuffle with at this tick. A seed is preferred while no control-plane member is known, but is not
    /// contacted twice in a row unless the view is empty; otherwise the oldest entry is chosen.
    fn choose_neighbor(&mut self) -> Option<Ipv4Addr> {
        let oldest = self.table.oldest_address();
        let prefers_seed =
            self.table.control_member_count() == 0 || self.random.u32(..SEED_CONTACT_ONE_IN) == 0;
        let may_contact_seed = oldest.is_none() || prefers_seed && !self.contacted_seed_last;
        let contacts_seed = !self.seeds.is_empty() && may_contact_seed;
        self.contacted_seed_last = contacts_seed;
        if contacts_seed { self.random.choice(&self.seeds).copied() } else { oldest }
    }

    /// Random entries to send to machine `to`, including one of a control-plane member if any other than `to` is known.
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

    /// Merges received entries. When the view is full, they replace entries that were `sent`, or the oldest one where a
    /// slot is reserved for them.
    fn merge(&mut self, entries: Vec<Entry>, sent: &mut Vec<Ipv4Addr>) {
        for entry in entries.into_iter().take(SHUFFLE_LENGTH) {
            if !self.table.is_acceptable(&entry) || self.table.refresh_if_known(&entry) {
                continue;
            }
            let has_reserved_slot = self.table.has_reserved_slot_for(&entry);
            if self.table.free_slot(sent) || has_reserved_slot && self.table.evict_oldest() {
                self.table.insert(entry);
            }
        }
    }

    /// Merges the entry of the sender of a message; when the view is full, evicts another entry for it if need be.
    fn merge_sender(&mut self, sender: Entry, sent: &mut Vec<Ipv4Addr>) {
        let sender = Entry { age: 0, ..sender };
        if !self.table.is_acceptable(&sender) || self.table.refresh_if_known(&sender) {
            return;
        }
        if self.table.free_slot(sent) || self.table.evict_oldest() {
            self.table.insert(sender);
        }
    }
}

/// Whether the entry that the sender gave as its own is of the machine that sent the message.
fn is_of_machine(sender: &Entry, machine: Ipv4Addr) -> bool {
    sender.id.address() == machine
}

fn addresses(entries: &[Entry]) -> Vec<Ipv4Addr> {
    entries.iter().map(|entry| entry.id.address()).collect()
}
