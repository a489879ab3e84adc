//! The entries of a partial view: a bounded table with slots reserved for members of the control plane.

use std::net::Ipv4Addr;

use tulipridge_protocol::peer_sampling::{Entry, Role};

/// Maximum number of entries in a view.
pub const CAPACITY: usize = 16;
/// Age above which an entry is dropped, in ticks. A process resets the age of its entry each time it sends it.
pub const MAX_AGE_TICKS: u32 = 2 * CAPACITY as u32;
/// Slots reserved for entries of control-plane members: a full view evicts none of them while it has no more than this.
pub const RESERVED_CONTROL_SLOTS: usize = 4;
/// Maximum length of the name of a zone in an accepted entry.
pub const MAX_ZONE_BYTES: usize = 128;

/// Up to [`CAPACITY`] entries, at most one per machine, and none of the own machine.
#[derive(Clone, Debug)]
pub(crate) struct EntryTable {
    own_ip: u32,
    entries: Vec<Entry>,
}

impl EntryTable {
    /// Creates the empty table of the process on machine `own_ip`.
    pub(crate) fn new(own_ip: u32) -> Self {
        EntryTable { own_ip, entries: Vec::with_capacity(CAPACITY) }
    }

    pub(crate) fn entries(&self) -> &[Entry] {
        &self.entries
    }

    pub(crate) fn is_full(&self) -> bool {
        self.entries.len() >= CAPACITY
    }

    /// The address of the oldest entry.
    pub(crate) fn oldest_address(&self) -> Option<Ipv4Addr> {
        self.entries.iter().max_by_key(|entry| entry.age).map(|entry| entry.id.address())
    }

    /// The number of entries of control-plane members.
    pub(crate) fn control_member_count(&self) -> usize {
        self.entries.iter().filter(|entry| entry.role == Role::Control).count()
    }

    /// Whether a slot is reserved for a new entry: the process is a control-plane member, and fewer of them are known
    /// than there are reserved slots.
    pub(crate) fn has_reserved_slot_for(&self, entry: &Entry) -> bool {
        entry.role == Role::Control && self.control_member_count() < RESERVED_CONTROL_SLOTS
    }

    /// Increments all ages and drops entries above the maximum age.
    pub(crate) fn increment_ages(&mut self) {
        self.entries.iter_mut().for_each(|entry| entry.age += 1);
        self.entries.retain(|entry| entry.age <= MAX_AGE_TICKS);
    }

    /// Whether a received entry is valid: of another machine, not too old, and with a zone name of allowed length.
    pub(crate) fn is_acceptable(&self, entry: &Entry) -> bool {
        entry.id.ip != self.own_ip && entry.age <= MAX_AGE_TICKS && entry.zone.len() <= MAX_ZONE_BYTES
    }

    /// Updates the entry of the same machine, if any, and returns whether there is one. The entry with the lower age is
    /// kept; at equal ages, the one with the higher generation, which is of the newer process.
    pub(crate) fn refresh_if_known(&mut self, entry: &Entry) -> bool {
        let Some(known) = self.entries.iter_mut().find(|known| known.id.ip == entry.id.ip) else {
            return false;
        };
        let is_newer_process = entry.age == known.age && entry.id.generation > known.id.generation;
        if entry.age < known.age || is_newer_process {
            *known = entry.clone();
        }
        true
    }

    /// Adds an entry. The caller ensures that a slot is free.
    pub(crate) fn insert(&mut self, entry: Entry) {
        self.entries.push(entry);
    }

    /// Frees a slot if the table is full, by removing entries that were `sent` to the other process and are not
    /// reserved. Returns whether a slot is free.
    pub(crate) fn free_slot(&mut self, sent: &mut Vec<Ipv4Addr>) -> bool {
        while self.is_full() {
            let Some(address) = sent.pop() else { return false };
            if !self.is_reserved(address) {
                self.remove(address);
            }
        }
        true
    }

    /// Removes the oldest entry that is not in a reserved slot; returns whether there was one.
    pub(crate) fn evict_oldest(&mut self) -> bool {
        let evictable = self.entries.iter().filter(|entry| !self.is_reserved(entry.id.address()));
        let Some(oldest) = evictable.max_by_key(|entry| entry.age).map(|entry| entry.id.address()) else {
            return false;
        };
        self.remove(oldest);
        true
    }

    /// Removes the entry with this address, if any.
    pub(crate) fn remove(&mut self, address: Ipv4Addr) {
        self.entries.retain(|entry| entry.id.address() != address);
    }

    fn is_reserved(&self, address: Ipv4Addr) -> bool {
        let is_control =
            self.entries.iter().any(|entry| entry.id.address() == address && entry.role == Role::Control);
        is_control && self.control_member_count() <= RESERVED_CONTROL_SLOTS
    }
}
