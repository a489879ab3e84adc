//! Who counts as well: what attempts came to, ejection and trials, zones that can't be reached.

use super::{Gateway, SECOND, Zone};
use crate::types::{Nanos, Phase};

/// A replica is ejected from this share of failures on: below it, trying again elsewhere after a quick error
/// costs less than moving all of its sessions away from what it keeps of them.
const SICK: f64 = 0.4;
/// First ejection; doubled with each failed trial up to `EJECT_MOST`, so a dead replica costs little.
const EJECT_FIRST: Nanos = 2 * SECOND;
const EJECT_MOST: Nanos = 16 * SECOND;
/// Connections that failed in a zone, with none made, after which the zone counts as cut off; it is tried
/// again after this time, doubled up to the second: links heal at once and a try costs one request's wait.
const CUT_RUN: u32 = 3;
const CUT_FIRST: Nanos = SECOND / 2;
const CUT_MOST: Nanos = 2 * SECOND;
/// Beyond this share of the fleet, ejections are not believed: then it is this gateway or the load.
const EJECT_SHARE: f64 = 0.5;

/// Opens after a run of failures for a while, longer each time; then lets single trials through.
#[derive(Default)]
pub(super) struct Breaker {
    pub(super) failures: u32,
    pub(super) open: bool,
    pub(super) opened: u32,
    pub(super) until: Nanos,
    pub(super) trial: bool,
}

impl Breaker {
    pub(super) fn lets_through(&self, now: Nanos) -> bool {
        !self.open || now >= self.until && !self.trial
    }

    /// A failure; `jitter` is a random number in 0..1, so that gateways don't try at the same time.
    pub(super) fn fail(&mut self, now: Nanos, run: u32, first: Nanos, most: Nanos, jitter: f64) {
        self.failures += 1;
        if self.trial || !self.open && self.failures >= run {
            let span = (first << self.opened.min(8)).min(most) as f64 * (0.75 + 0.5 * jitter);
            self.until = now + span as Nanos;
            (self.open, self.trial, self.opened) = (true, false, self.opened + 1);
        }
    }
}

impl Gateway {
    pub(super) fn too_many_ejected(&self) -> bool {
        let ejected = self.replicas.iter().filter(|r| r.phase == Phase::Ready && r.health.open);
        ejected.count() as f64 > EJECT_SHARE * self.ready as f64
    }

    /// A zone is cut off while another is not; else the trouble is elsewhere.
    pub(super) fn cut(&self, zone: &Zone) -> bool {
        zone.link.open && self.zones.values().any(|z| !z.link.open)
    }

    pub(super) fn reached(&mut self, now: Nanos, r: usize) {
        self.replicas[r].record.alive = now;
        self.zones.entry(self.replicas[r].zone).or_default().link = Breaker::default();
    }

    /// Guards against taking a cut zone for many dead replicas: each request would find another of them.
    pub(super) fn unreached(&mut self, now: Nanos, r: usize) {
        let jitter = self.chance();
        let zone = self.zones.entry(self.replicas[r].zone).or_default();
        zone.link.fail(now, CUT_RUN, CUT_FIRST, CUT_MOST, jitter);
    }

    /// Takes a result as evidence. A trial that went well is followed by the next at once, until failures are
    /// rare enough: one answer of a replica that fails half of its requests says nothing.
    pub(super) fn judged(&mut self, now: Nanos, r: usize, failures: f64) {
        let jitter = self.chance();
        let cut = self.zones.get(&self.replicas[r].zone).is_some_and(|z| self.cut(z));
        let replica = &mut self.replicas[r];
        if failures > 0.0 && (cut || replica.phase != Phase::Ready) {
            return;
        }
        match replica.record.add(now, failures) {
            share if share < SICK => replica.health = Breaker::default(),
            _ if failures > 0.0 => replica.health.fail(now, 1, EJECT_FIRST, EJECT_MOST, jitter),
            _ => (replica.health.trial, replica.health.until) = (false, now),
        }
    }
}
