//! Outlier ejection: takes replicas out of use whose streams fail far more often than those of other replicas.
//!
//! The load balancer ejects a replica after consecutive failures. A replica that completes some streams and breaks
//! others has no such series and would stay on the ring. This module counts ends within a sliding window and ejects a
//! replica whose failure rate is high and well above that of the others. A fault that all replicas share ejects none,
//! and never more than a fraction of the fleet is ejected.

use std::collections::{BTreeMap, VecDeque};

use super::outcome::{Cause, Side};
use crate::limits::OutlierLimits;
use crate::types::{Nanos, ReplicaId};

/// Limit of the exponent when the duration of repeated ejections is doubled.
const MAX_DOUBLINGS: u32 = 8;

/// The start or end of an ejection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EjectionChange {
    /// The replica gets no new requests; its streams continue.
    Eject(ReplicaId),
    /// The replica gets requests again.
    Readmit(ReplicaId),
}

/// An end of a stream that counts for or against its replica.
#[derive(Clone, Copy, Debug)]
struct StreamEnd {
    at: Nanos,
    is_failure: bool,
}

/// Numbers of ended streams.
#[derive(Clone, Copy, Debug, Default)]
struct EndCounts {
    failures: usize,
    total: usize,
}

impl EndCounts {
    fn failure_rate(self) -> f64 {
        if self.total == 0 { 0.0 } else { self.failures as f64 / self.total as f64 }
    }

    fn plus(self, other: EndCounts) -> EndCounts {
        EndCounts { failures: self.failures + other.failures, total: self.total + other.total }
    }
}

/// The state of one replica.
#[derive(Debug, Default)]
struct Record {
    /// Ends within the window, oldest first.
    ends: VecDeque<StreamEnd>,
    ejected_until: Option<Nanos>,
    /// Number of successive ejections, each less than a window after the end of the previous one.
    ejection_count: u32,
    readmitted_at: Nanos,
}

impl Record {
    fn counts(&self) -> EndCounts {
        let failures = self.ends.iter().filter(|end| end.is_failure).count();
        EndCounts { failures, total: self.ends.len() }
    }

    fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }
}

/// The records of all ready replicas.
#[derive(Debug)]
pub struct OutlierEjection {
    limits: OutlierLimits,
    records: BTreeMap<ReplicaId, Record>,
    ready_count: usize,
}

impl OutlierEjection {
    /// Starts without records.
    #[must_use]
    pub fn new(limits: &OutlierLimits) -> OutlierEjection {
        OutlierEjection { limits: limits.clone(), records: BTreeMap::new(), ready_count: 0 }
    }

    /// Sets which replicas are ready. The records of others are dropped, those of ejected ones too.
    pub fn set_ready(&mut self, ready: &[ReplicaId]) {
        self.ready_count = ready.len();
        self.records.retain(|id, _| ready.contains(id));
    }

    /// Whether a replica is ejected.
    #[must_use]
    pub fn is_ejected(&self, replica: &ReplicaId) -> bool {
        self.records.get(replica).is_some_and(Record::is_ejected)
    }

    /// Records the end of a stream of `replica`. Returns the ejection that follows from it.
    pub fn record_end(&mut self, now: Nanos, replica: &ReplicaId, cause: Cause) -> Option<EjectionChange> {
        let is_failure = cause.side() == Side::Replica;
        // An end by the client or by this gateway says nothing about the replica.
        if !is_failure && cause != Cause::Complete {
            return None;
        }
        self.expire(now);
        let max_ends = self.limits.max_ends;
        let record = self.records.entry(replica.clone()).or_default();
        if record.ends.len() == max_ends {
            record.ends.pop_front();
        }
        record.ends.push_back(StreamEnd { at: now, is_failure });
        if record.is_ejected() || !is_failure || !self.is_outlier(replica) {
            return None;
        }
        self.eject(now, replica)
    }

    /// Drops ends that are older than the window.
    fn expire(&mut self, now: Nanos) {
        let from = now.saturating_sub(self.window());
        for record in self.records.values_mut() {
            while record.ends.front().is_some_and(|end| end.at < from) {
                record.ends.pop_front();
            }
        }
    }

    fn window(&self) -> Nanos {
        self.limits.window.as_nanos() as Nanos
    }

    /// Whether a replica fails far more often than the others, and one more replica may be ejected.
    fn is_outlier(&self, replica: &ReplicaId) -> bool {
        let limits = &self.limits;
        let own = self.records.get(replica).map_or_else(EndCounts::default, Record::counts);
        let others = self.records.iter().filter(|(id, _)| *id != replica);
        let others = others.fold(EndCounts::default(), |sum, (_, record)| sum.plus(record.counts()));
        let ejected_count = self.records.values().filter(|record| record.is_ejected()).count();
        let max_ejected = (self.ready_count as f64 * limits.max_ejected_share) as usize;
        own.failures >= limits.min_failures
            && own.failure_rate() >= limits.min_failure_rate
            && own.failure_rate() >= limits.ratio_to_others * others.failure_rate()
            && ejected_count < max_ejected
    }

    fn eject(&mut self, now: Nanos, replica: &ReplicaId) -> Option<EjectionChange> {
        let window = self.window();
        let record = self.records.get_mut(replica)?;
        if now.saturating_sub(record.readmitted_at) > window {
            record.ejection_count = 0;
        }
        let doublings = record.ejection_count.min(MAX_DOUBLINGS);
        let time = self.limits.ejection_time.saturating_mul(1 << doublings);
        let time = time.min(self.limits.max_ejection_time);
        record.ejection_count += 1;
        record.ejected_until = Some(now.saturating_add(time.as_nanos() as Nanos));
        Some(EjectionChange::Eject(replica.clone()))
    }

    /// When the next ejection ends.
    #[must_use]
    pub fn due(&self) -> Option<Nanos> {
        self.records.values().filter_map(|record| record.ejected_until).min()
    }

    /// Ends the ejections that are due, and returns the changes.
    pub fn readmit(&mut self, now: Nanos) -> Vec<EjectionChange> {
        let mut readmitted = Vec::new();
        for (id, record) in &mut self.records {
            if record.ejected_until.is_some_and(|until| until <= now) {
                // Keeps the number of ejections, so that the next one is longer unless a window passes without any.
                record.ejected_until = None;
                record.readmitted_at = now;
                record.ends.clear();
                readmitted.push(EjectionChange::Readmit(id.clone()));
            }
        }
        readmitted
    }
}
