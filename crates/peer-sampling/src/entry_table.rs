//! The entries of a partial view: a bounded table with slots reserved for members of the control plane.

use std::net::Ipv4Addr;

use tulipridge_protocol::peer_sampling::{Entry, Role};

/// Most entries in a view.
pub const CAPACITY: usize = 16;
/// Ticks after which an entry is dropped unless its process has refreshed it.
pub const MAX_AGE: u32 = 2 * CAPACITY as u32;
/// Slots that entries of control members keep when the view is full.
pub const RESERVED_CONTROL_SLOTS: usize = 4;
/// Longest name of a zone that is accepted, in bytes.
pub const MAX_ZONE_BYTES: usize = 128;

/// At most [`CAPACITY`] entries, one a machine, none of the own machine.
#[derive(Clone, Debug)]
pub(crate) struct EntryTable {
    own_ip: u32,
    entries: Vec<Entry>,
}

impl EntryTable {
    /// An empty table of the process on machine `own_ip`.
    pub(crate) fn new(own_ip: u32) -> Self {
        EntryTable { own_ip, entries: Vec::with_capacity(CAPACITY) }
    }

    pub(crate) fn entries(&self) -> &[Entry] {
        &self.entries
    }

    pub(crate) fn is_full(&self) -> bool {
        self.entries.len() >= CAPACITY
    }

    /// The machine of the oldest entry.
    pub(crate) fn oldest(&self) -> Option<Ipv4Addr> {
        self.entries.iter().max_by_key(|entry| entry.age).map(|entry| entry.id.address())
    }

    /// How many entries of control members there are.
    pub(crate) fn control_count(&self) -> usize {
        self.entries.iter().filter(|entry| entry.role == Role::Control).count()
    }

    /// Whether a slot is reserved for this entry: it is a control member, and too few of them are known.
    pub(crate) fn needs(&self, entry: &Entry) -> bool {
        entry.role == Role::Control && self.control_count() < RESERVED_CONTROL_SLOTS
    }

    /// Increments all ages and drops entries that are too old.
    pub(crate) fn increment_ages(&mut self) {
        self.entries.iter_mut().for_each(|entry| entry.age += 1);
        self.entries.retain(|entry| entry.age <= MAX_AGE);
    }

    /// Whether an entry that was received may be added.
    pub(crate) fn is_acceptable(&self, entry: &Entry) -> bool {
        entry.id.ip != self.own_ip && entry.age <= MAX_AGE && entry.zone.len() <= MAX_ZONE_BYTES
    }

    /// Whether the machine is known already. If it is, the fresher entry stays; of two equally fresh ones, that of the
    /// process with the higher generation.
    pub(crate) fn refresh(&mut self, entry: &Entry) -> bool {
        let Some(known) = self.entries.iter_mut().find(|known| known.id.ip == entry.id.ip) else {
            return false;
        };
        let is_newer_process = entry.age == known.age && entry.id.generation > known.id.generation;
        if entry.age < known.age || is_newer_process {
            *known = entry.clone();
        }
        true
    }

    /// Adds an entry. The caller has made a slot free for it.
    pub(crate) fn insert(&mut self, entry: Entry) {
        self.entries.push(entry);
    }

    /// Whether there is a free slot. If need be, removes entries that were `sent` to the other process.
    pub(crate) fn free_slot(&mut self, sent: &mut Vec<Ipv4Addr>) -> bool {
        while self.is_full() {
            let Some(address) = sent.pop() else { return false };
            if !self.is_reserved(address) {
                self.remove(address);
            }
        }
        true
    }

    /// Removes the oldest entry without a reserved slot; whether there was one.
    pub(crate) fn evict_oldest(&mut self) -> bool {
        let evictable = self.entries.iter().filter(|entry| !self.is_reserved(entry.id.address()));
        let Some(oldest) = evictable.max_by_key(|entry| entry.age).map(|entry| entry.id.address()) else {
            return false;
        };
        self.remove(oldest);
        true
    }

    /// Removes the entry of a machine, if any.
    pub(crate) fn remove(&mut self, address: Ipv4Addr) {
        self.entries.retain(|entry| entry.id.address() != address);
    }

    fn is_reserved(&self, address: Ipv4Addr) -> bool {
        let is_control =
            self.entries.iter().any(|entry| entry.id.address() == address && entry.role == Role::Control);
        is_control && self.control_count() <= RESERVED_CONTROL_SLOTS
    }
}
