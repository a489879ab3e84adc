//! A disk that syncs later than it is asked to.

use std::collections::VecDeque;

use fastrand::Rng;
use tower::replication::{DurableRecord, DurableState};

/// Records that are not synced yet.
#[derive(Debug)]
struct PendingWrite {
    due: u64,
    since: u64,
    ticket: u64,
    records: Vec<DurableRecord>,
}

/// One machine's disk.
#[derive(Debug, Default)]
pub struct Disk {
    /// What is synced.
    pub state: DurableState,
    pending: VecDeque<PendingWrite>,
    /// No sync ends before this time.
    pub stalled_until: u64,
    /// Fault on purpose: syncs are reported before they are done.
    pub reports_early: bool,
}

impl Disk {
    /// Starts a write; the time at which it is reported as synced.
    pub fn write(&mut self, now: u64, delay: u64, ticket: u64, records: Vec<DurableRecord>) -> u64 {
        let earliest = self.pending.back().map_or(now, |write| write.due);
        let due = (now + delay).max(self.stalled_until).max(earliest);
        self.pending.push_back(PendingWrite { due, since: now, ticket, records });
        if self.reports_early { now } else { due }
    }

    /// Ends the writes that are due; the newest ticket on disk.
    pub fn sync(&mut self, now: u64) -> Option<u64> {
        let mut newest = None;
        while self.pending.front().is_some_and(|write| write.due <= now) {
            let write = self.pending.pop_front().expect("there is one");
            self.keep(&write.records);
            newest = Some(write.ticket);
        }
        if self.reports_early { self.pending.back().map(|write| write.ticket).or(newest) } else { newest }
    }

    /// Whether a write has waited for longer than a span.
    pub fn waits_longer_than(&self, now: u64, span: u64) -> bool {
        self.pending.front().is_some_and(|write| now - write.since > span)
    }

    /// The process ends or power is lost: of the records that are not synced some of the first are found.
    pub fn lose_pending(&mut self, random: &mut Rng) {
        let records: Vec<DurableRecord> = self.pending.drain(..).flat_map(|write| write.records).collect();
        let kept = random.u64(0..records.len() as u64 + 1) as usize;
        self.keep(&records[..kept]);
    }

    /// Power is lost, and nothing that is not synced is found.
    pub fn lose_all_pending(&mut self) {
        self.pending.clear();
    }

    fn keep(&mut self, records: &[DurableRecord]) {
        for record in records {
            self.state.apply(record);
        }
    }
}
