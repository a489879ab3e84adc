//! How far each data replica has stored the primary's entries (Raft's progress tracker).

use std::collections::BTreeMap;
use std::time::Duration;

use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::number::SequenceNumber;

use super::timing::{APPEND_STALL_TIMEOUT, RESEND_INTERVAL, max_transmission_duration, max_write_duration};

/// The progress of one data replica.
#[derive(Clone, Copy, Debug)]
struct ReplicaProgress {
    /// The newest entry that the replica has on disk, with all before it.
    stored: SequenceNumber,
    /// When the replica last stored an entry or last began to lag, whichever is later.
    advanced_at: Duration,
    /// When the missing entries are resent.
    resend_at: Duration,
}

/// A data replica to which entries have to be resent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LaggingReplica {
    /// The replica.
    pub(super) node: NodeId,
    /// The newest entry that the replica has stored.
    pub(super) stored: SequenceNumber,
}

/// The progress of all data replicas.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// The newest entry that was sent to the replicas.
    last_appended: SequenceNumber,
    replicas: BTreeMap<NodeId, ReplicaProgress>,
    /// Bytes of the entries that at least one replica has not stored, by sequence number.
    entry_bytes: BTreeMap<SequenceNumber, u64>,
}

impl Progress {
    /// Creates a tracker of replicas that have stored all entries up to `sequence`.
    pub(super) fn new(replicas: &[NodeId], sequence: SequenceNumber, now: Duration) -> Progress {
        let progress = ReplicaProgress { stored: sequence, advanced_at: now, resend_at: now };
        let replicas = replicas.iter().map(|replica| (*replica, progress)).collect();
        Progress { last_appended: sequence, replicas, entry_bytes: BTreeMap::new() }
    }

    /// Records that the next entry is sent to all replicas.
    pub(super) fn record_appended(&mut self, now: Duration, bytes: usize) {
        let previous = self.last_appended;
        self.last_appended = self.last_appended.next();
        self.entry_bytes.insert(self.last_appended, bytes as u64);
        let resend_at = now + resend_timeout(bytes as u64);
        for replica in self.replicas.values_mut().filter(|replica| replica.stored == previous) {
            replica.advanced_at = now;
            replica.resend_at = resend_at;
        }
    }

    /// Records that a replica has stored an entry and all before it.
    pub(super) fn record_stored(&mut self, now: Duration, from: NodeId, sequence: SequenceNumber) {
        let resend_at = now + resend_timeout(self.next_entry_bytes(sequence));
        let Some(replica) = self.replicas.get_mut(&from) else { return };
        if sequence > replica.stored {
            *replica = ReplicaProgress { stored: sequence, advanced_at: now, resend_at };
        }
        let committed = self.committed();
        self.entry_bytes = self.entry_bytes.split_off(&committed.next());
    }

    /// The newest entry that all replicas have on disk.
    pub(super) fn committed(&self) -> SequenceNumber {
        self.replicas.values().map(|replica| replica.stored).min().unwrap_or(SequenceNumber(0))
    }

    /// Whether a replica lags and has stored no entry within its timeout.
    pub(super) fn is_stalled(&self, replica: NodeId, now: Duration) -> bool {
        self.replicas.get(&replica).is_some_and(|replica| {
            let bytes = self.next_entry_bytes(replica.stored);
            let timeout =
                APPEND_STALL_TIMEOUT + max_transmission_duration(bytes) + max_write_duration(bytes);
            self.is_lagging(replica) && now.saturating_sub(replica.advanced_at) > timeout
        })
    }

    /// The earliest time at which entries have to be resent.
    pub(super) fn next_resend(&self) -> Option<Duration> {
        let lagging = self.replicas.values().filter(|replica| self.is_lagging(replica));
        lagging.map(|replica| replica.resend_at).min()
    }

    /// The replicas to which entries have to be resent now; schedules their next resend.
    pub(super) fn take_due_resends(&mut self, now: Duration) -> Vec<LaggingReplica> {
        let due: Vec<LaggingReplica> = self
            .replicas
            .iter()
            .filter(|(_, replica)| self.is_lagging(replica) && now >= replica.resend_at)
            .map(|(node, replica)| LaggingReplica { node: *node, stored: replica.stored })
            .collect();
        for LaggingReplica { node, stored } in &due {
            let resend_at = now + resend_timeout(self.next_entry_bytes(*stored));
            if let Some(replica) = self.replicas.get_mut(node) {
                replica.resend_at = resend_at;
            }
        }
        due
    }

    fn is_lagging(&self, replica: &ReplicaProgress) -> bool {
        replica.stored < self.last_appended
    }

    /// Bytes of the entry after `sequence`; 0 if all replicas have stored it or it does not exist.
    fn next_entry_bytes(&self, sequence: SequenceNumber) -> u64 {
        self.entry_bytes.get(&sequence.next()).copied().unwrap_or(0)
    }
}

/// How long to wait before an entry is resent. Includes the time to transmit and write it on the slowest supported
/// link and disk, so that duplicates do not fill a slow link.
fn resend_timeout(bytes: u64) -> Duration {
    RESEND_INTERVAL + max_transmission_duration(bytes) + max_write_duration(bytes)
}
