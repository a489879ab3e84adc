//! A simulated disk with delayed syncs.

use std::collections::VecDeque;

use fastrand::Rng;
use tulipridge_control_plane::replication::{DurableRecord, DurableState};

/// Unsynced records of one write.
#[derive(Debug)]
struct PendingWrite {
    due: u64,
    since: u64,
    ticket: u64,
    records: Vec<DurableRecord>,
}

/// A scheduled power loss right after a write.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PowerCut {
    /// Number of writes until the power loss.
    pub writes: u32,
    /// Delay until the machine restarts, in microseconds.
    pub restart_after: u64,
}

/// Factor by which a slow disk delays syncs.
const SLOW_DISK_FACTOR: u64 = 30;

/// The disk of one machine.
#[derive(Debug, Default)]
pub(crate) struct Disk {
    /// The synced state.
    pub state: DurableState,
    pending: VecDeque<PendingWrite>,
    /// No sync completes before this time.
    pub stalled_until: u64,
    /// Writes are refused before this time.
    pub full_until: u64,
    /// Syncs are slow before this time.
    pub slow_until: u64,
    /// A scheduled power loss.
    pub power_cut: Option<PowerCut>,
    /// Injected fault: syncs are reported before they complete.
    pub reports_early: bool,
}

impl Disk {
    /// Starts a write; returns the time at which it is reported as synced.
    pub(crate) fn write(&mut self, now: u64, delay: u64, ticket: u64, records: Vec<DurableRecord>) -> u64 {
        let earliest = self.pending.back().map_or(now, |write| write.due);
        let delay = if now < self.slow_until { delay * SLOW_DISK_FACTOR } else { delay };
        let due = (now + delay).max(self.stalled_until).max(self.full_until).max(earliest);
        self.pending.push_back(PendingWrite { due, since: now, ticket, records });
        if self.reports_early { now } else { due }
    }

    /// Completes the writes that are due; returns the newest ticket reported as synced.
    pub(crate) fn sync(&mut self, now: u64) -> Option<u64> {
        if now < self.full_until {
            return None;
        }
        let mut newest = None;
        while self.pending.front().is_some_and(|write| write.due <= now) {
            let write = self.pending.pop_front().expect("the queue is not empty");
            self.make_durable(&write.records);
            newest = Some(write.ticket);
        }
        if self.reports_early { self.pending.back().map(|write| write.ticket).or(newest) } else { newest }
    }

    /// Whether a write has been pending for longer than a span.
    pub(crate) fn waits_longer_than(&self, now: u64, span: u64) -> bool {
        self.pending.front().is_some_and(|write| now - write.since > span)
    }

    /// Whether a refused write is being retried.
    pub(crate) fn is_retrying(&self, now: u64) -> bool {
        now < self.full_until && !self.pending.is_empty()
    }

    /// Counts a write; returns the delay until the restart if power is lost now.
    pub(crate) fn count_down_to_power_cut(&mut self) -> Option<u64> {
        let cut = self.power_cut.as_mut()?;
        cut.writes = cut.writes.saturating_sub(1);
        if cut.writes > 0 {
            return None;
        }
        self.power_cut.take().map(|cut| cut.restart_after)
    }

    /// Ends all faults.
    pub(crate) fn heal(&mut self, now: u64) {
        self.stalled_until = self.stalled_until.min(now);
        self.full_until = self.full_until.min(now);
        self.slow_until = self.slow_until.min(now);
        self.power_cut = None;
    }

    /// A crash: a random prefix of the unsynced records becomes durable, the rest is lost.
    pub(crate) fn lose_pending(&mut self, random: &mut Rng) {
        let records: Vec<DurableRecord> = self.pending.drain(..).flat_map(|write| write.records).collect();
        let kept = random.u64(0..records.len() as u64 + 1) as usize;
        self.make_durable(&records[..kept]);
    }

    /// A power loss: all unsynced records are lost.
    pub(crate) fn lose_all_pending(&mut self) {
        self.pending.clear();
    }

    fn make_durable(&mut self, records: &[DurableRecord]) {
        for record in records {
            self.state.apply(record);
        }
    }
}
