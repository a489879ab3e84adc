//! A disk that syncs later than it is asked to.

use std::collections::VecDeque;

use fastrand::Rng;
use tulipridge_control_plane::replication::{DurableRecord, DurableState};

/// Records that are not synced yet.
#[derive(Debug)]
struct PendingWrite {
    due: u64,
    since: u64,
    ticket: u64,
    records: Vec<DurableRecord>,
}

/// Power that is lost right after a write.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PowerCut {
    /// Writes until then.
    pub writes: u32,
    /// When the machine starts again after it.
    pub restart_after: u64,
}

/// How much longer a slow disk takes.
const SLOWNESS: u64 = 30;

/// One machine's disk.
#[derive(Debug, Default)]
pub(crate) struct Disk {
    /// What is synced.
    pub state: DurableState,
    pending: VecDeque<PendingWrite>,
    /// No sync ends before this time.
    pub stalled_until: u64,
    /// Writes are refused before this time.
    pub full_until: u64,
    /// Syncs are slow before this time.
    pub slow_until: u64,
    /// Power is lost after some more writes.
    pub power_cut: Option<PowerCut>,
    /// Fault on purpose: syncs are reported before they are done.
    pub reports_early: bool,
}

impl Disk {
    /// Starts a write; the time at which it is reported as synced.
    pub(crate) fn write(&mut self, now: u64, delay: u64, ticket: u64, records: Vec<DurableRecord>) -> u64 {
        let earliest = self.pending.back().map_or(now, |write| write.due);
        let delay = if now < self.slow_until { delay * SLOWNESS } else { delay };
        let due = (now + delay).max(self.stalled_until).max(self.full_until).max(earliest);
        self.pending.push_back(PendingWrite { due, since: now, ticket, records });
        if self.reports_early { now } else { due }
    }

    /// Ends the writes that are due; the newest ticket on disk.
    pub(crate) fn sync(&mut self, now: u64) -> Option<u64> {
        if now < self.full_until {
            return None;
        }
        let mut newest = None;
        while self.pending.front().is_some_and(|write| write.due <= now) {
            let write = self.pending.pop_front().expect("there is one");
            self.keep(&write.records);
            newest = Some(write.ticket);
        }
        if self.reports_early { self.pending.back().map(|write| write.ticket).or(newest) } else { newest }
    }

    /// Whether a write has waited for longer than a span.
    pub(crate) fn waits_longer_than(&self, now: u64, span: u64) -> bool {
        self.pending.front().is_some_and(|write| now - write.since > span)
    }

    /// Whether a write was refused and is tried again.
    pub(crate) fn refuses(&self, now: u64) -> bool {
        now < self.full_until && !self.pending.is_empty()
    }

    /// Counts a write; when the machine starts again, if power is lost now.
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

    /// The process ends or power is lost: of the records that are not synced some of the first are found.
    pub(crate) fn lose_pending(&mut self, random: &mut Rng) {
        let records: Vec<DurableRecord> = self.pending.drain(..).flat_map(|write| write.records).collect();
        let kept = random.u64(0..records.len() as u64 + 1) as usize;
        self.keep(&records[..kept]);
    }

    /// Power is lost, and nothing that is not synced is found.
    pub(crate) fn lose_all_pending(&mut self) {
        self.pending.clear();
    }

    fn keep(&mut self, records: &[DurableRecord]) {
        for record in records {
            self.state.apply(record);
        }
    }
}
