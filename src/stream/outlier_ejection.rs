//! What repeated stalls and breaks amid streams mean for a real server's use.
//!
//! The decision module drops a real server after a run of failures. One that serves some streams and breaks
//! others makes no run: it stays on the ring and costs its clients a part of their answers for ever. This
//! module counts ends within a span, and rests a real server whose share of bad ends is high and well above that
//! of the others. A trouble that all share rests nobody, and never more than a part of the fleet rests.

use std::collections::{BTreeMap, VecDeque};

use super::outcome::{Cause, Side};
use crate::limits::RestLimits;
use crate::types::{Nanos, ReplicaId};

/// What is to change in the use of a real server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing new goes there; begun streams go on.
    Rest(ReplicaId),
    /// It is used again.
    Back(ReplicaId),
}

#[derive(Debug, Default)]
struct Record {
    /// Ends within the span: when, and whether bad.
    ends: VecDeque<(Nanos, bool)>,
    resting_until: Option<Nanos>,
    /// Rests without a clean span after them.
    rests: u32,
    back_since: Nanos,
}

impl Record {
    fn bad(&self) -> usize {
        self.ends.iter().filter(|(_, bad)| *bad).count()
    }
}

/// The standing of all real servers.
#[derive(Debug)]
pub struct OutlierEjection {
    limits: RestLimits,
    records: BTreeMap<ReplicaId, Record>,
    fleet: usize,
}

impl OutlierEjection {
    /// Nothing known yet.
    #[must_use]
    pub fn new(limits: &RestLimits) -> OutlierEjection {
        OutlierEjection { limits: limits.clone(), records: BTreeMap::new(), fleet: 0 }
    }

    /// Real servers that are ready, by the list; others are forgotten, resting ones too.
    pub fn fleet(&mut self, ready: &[ReplicaId]) {
        self.fleet = ready.len();
        self.records.retain(|id, _| ready.contains(id));
    }

    /// Whether it rests.
    #[must_use]
    pub fn rests(&self, server: &ReplicaId) -> bool {
        self.records.get(server).is_some_and(|r| r.resting_until.is_some())
    }

    /// A stream of that real server has ended.
    pub fn ended(&mut self, now: Nanos, server: &ReplicaId, cause: Cause) -> Option<Change> {
        let bad = cause.side() == Side::Server;
        // What a client or this gateway ended says nothing of the real server.
        if !bad && cause != Cause::Whole {
            return None;
        }
        let limits = self.limits.clone();
        let from = now.saturating_sub(limits.span.as_nanos() as Nanos);
        for record in self.records.values_mut() {
            while record.ends.front().is_some_and(|(at, _)| *at < from) {
                record.ends.pop_front();
            }
        }
        let record = self.records.entry(server.clone()).or_default();
        if record.ends.len() == limits.ends {
            record.ends.pop_front();
        }
        record.ends.push_back((now, bad));
        if record.resting_until.is_some() || !bad {
            return None;
        }
        let (own_bad, own) = (record.bad(), record.ends.len());
        let others = self.records.iter().filter(|(id, _)| *id != server);
        let (bad, all) = others.fold((0, 0), |(bad, all), (_, r)| (bad + r.bad(), all + r.ends.len()));
        let share = |bad: usize, all: usize| if all == 0 { 0.0 } else { bad as f64 / all as f64 };
        let resting = self.records.values().filter(|r| r.resting_until.is_some()).count();
        let may = (self.fleet as f64 * limits.most_resting) as usize;
        if own_bad < limits.faults
            || share(own_bad, own) < limits.share
            || share(own_bad, own) < limits.above * share(bad, all)
            || resting >= may
        {
            return None;
        }
        let record = self.records.get_mut(server)?;
        if now.saturating_sub(record.back_since) > limits.span.as_nanos() as Nanos {
            record.rests = 0;
        }
        let longer = limits.rest.saturating_mul(1 << record.rests.min(8)).min(limits.longest_rest);
        record.rests += 1;
        record.resting_until = Some(now.saturating_add(longer.as_nanos() as Nanos));
        Some(Change::Rest(server.clone()))
    }

    /// When the next rest is over.
    #[must_use]
    pub fn due(&self) -> Option<Nanos> {
        self.records.values().filter_map(|r| r.resting_until).min()
    }

    /// Those whose rest is over.
    pub fn back(&mut self, now: Nanos) -> Vec<Change> {
        let mut back = Vec::new();
        for (id, record) in &mut self.records {
            if record.resting_until.is_some_and(|until| until <= now) {
                // It starts with a clean sheet, but its next rest is longer unless it stays clean for a span.
                (record.resting_until, record.back_since) = (None, now);
                record.ends.clear();
                back.push(Change::Back(id.clone()));
            }
        }
        back
    }
}
