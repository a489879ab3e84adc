//! How far the holders have stored the primary's entries.

use std::collections::BTreeMap;
use std::time::Duration;

use tulipridge_protocol::node::NodeId;

use super::settings::{APPEND_STALL, RESEND_INTERVAL, longest_transmission, longest_write};

/// How far one holder has stored the entries.
#[derive(Clone, Copy, Debug)]
struct HolderProgress {
    sequence: u64,
    /// When it last stored something, or since when it has had something to store.
    moved_at: Duration,
    /// When the entries that it lacks are sent again.
    resend_at: Duration,
}

/// How far all holders have.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// The newest entry that was sent to the holders.
    newest: u64,
    holders: BTreeMap<NodeId, HolderProgress>,
    /// Bytes of the entries that some holder has not stored.
    lengths: BTreeMap<u64, u64>,
}

impl Progress {
    /// All holders have stored all entries up to a number.
    pub(super) fn new(holders: &[NodeId], sequence: u64, now: Duration) -> Progress {
        let stored = HolderProgress { sequence, moved_at: now, resend_at: now };
        let holders = holders.iter().map(|holder| (*holder, stored)).collect();
        Progress { newest: sequence, holders, lengths: BTreeMap::new() }
    }

    /// The next entry is sent to all holders.
    pub(super) fn appended(&mut self, now: Duration, bytes: usize) {
        let idle = self.newest;
        self.newest += 1;
        self.lengths.insert(self.newest, bytes as u64);
        let resend_at = now + resend_after(bytes as u64);
        for holder in self.holders.values_mut().filter(|holder| holder.sequence == idle) {
            holder.moved_at = now;
            holder.resend_at = resend_at;
        }
    }

    /// A holder has stored an entry and all before it.
    pub(super) fn stored(&mut self, now: Duration, from: NodeId, sequence: u64) {
        let next = self.lengths.get(&(sequence + 1)).copied().unwrap_or(0);
        let Some(holder) = self.holders.get_mut(&from) else { return };
        if sequence > holder.sequence {
            *holder = HolderProgress { sequence, moved_at: now, resend_at: now + resend_after(next) };
        }
        let committed = self.committed();
        self.lengths = self.lengths.split_off(&(committed + 1));
    }

    /// The newest entry that all holders have on disk.
    pub(super) fn committed(&self) -> u64 {
        self.holders.values().map(|holder| holder.sequence).min().unwrap_or(0)
    }

    /// Whether a holder has stored nothing for long though there is something to store.
    pub(super) fn is_stalled(&self, holder: NodeId, now: Duration) -> bool {
        self.holders.get(&holder).is_some_and(|holder| {
            let next = self.next_length(holder);
            let term = APPEND_STALL + longest_transmission(next) + longest_write(next);
            holder.sequence < self.newest && now.saturating_sub(holder.moved_at) > term
        })
    }

    /// When entries have to be sent again at the earliest.
    pub(super) fn next_resend(&self) -> Option<Duration> {
        self.holders
            .values()
            .filter(|holder| holder.sequence < self.newest)
            .map(|holder| holder.resend_at)
            .min()
    }

    /// The holders to which entries have to be sent again now, and the newest entry that each has stored.
    pub(super) fn take_due(&mut self, now: Duration) -> Vec<(NodeId, u64)> {
        let is_due = |holder: &HolderProgress| holder.sequence < self.newest && now >= holder.resend_at;
        let due: Vec<(NodeId, u64)> = self
            .holders
            .iter()
            .filter(|(_, holder)| is_due(holder))
            .map(|(node, holder)| (*node, holder.sequence))
            .collect();
        for (node, sequence) in &due {
            let next = self.lengths.get(&(sequence + 1)).copied().unwrap_or(0);
            if let Some(holder) = self.holders.get_mut(node) {
                holder.resend_at = now + resend_after(next);
            }
        }
        due
    }

    fn next_length(&self, holder: &HolderProgress) -> u64 {
        self.lengths.get(&(holder.sequence + 1)).copied().unwrap_or(0)
    }
}

/// An entry is sent again only when it can't be on its way any more, so that a slow link is not filled with copies.
fn resend_after(bytes: u64) -> Duration {
    RESEND_INTERVAL + longest_transmission(bytes) + longest_write(bytes)
}
