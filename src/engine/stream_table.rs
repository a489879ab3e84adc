//! What is kept of all streams that are forwarded: the budget, the record, and the standing of replicas.

use std::collections::{BTreeMap, BTreeSet};
use std::task::Waker;

use crate::limits::Limits;
use crate::stream::{Account, Budget, Change, OutlierEjection, StreamStatistics};
use crate::types::{ListKind, Member, Nanos, Phase, ReplicaId};

/// The streams that are forwarded, and the standing of the replicas that they come from.
pub(super) struct Streams {
    pub(super) budget: Budget,
    pub(super) statistics: StreamStatistics,
    pub(super) outliers: Option<OutlierEjection>,
    /// The list as it was received; an ejection overrides it for a while.
    members: BTreeMap<ReplicaId, Member>,
    pub(super) wakers: BTreeMap<Account, Waker>,
    pub(super) evicted: BTreeSet<Account>,
    pub(super) stop_at: Option<Nanos>,
    pub(super) classes: Vec<String>,
    pub(super) tenants: Vec<String>,
}

impl Streams {
    pub(super) fn new(limits: &Limits) -> Streams {
        let stream = &limits.stream;
        Streams {
            budget: Budget::new(stream.budget, stream.high_watermark, stream.min_buffer),
            statistics: StreamStatistics::default(),
            outliers: limits.outliers.as_ref().map(OutlierEjection::new),
            members: BTreeMap::new(),
            wakers: BTreeMap::new(),
            evicted: BTreeSet::new(),
            stop_at: None,
            classes: Vec::new(),
            tenants: Vec::new(),
        }
    }

    /// Records the list, and drains those in it that are ejected.
    pub(super) fn listed(&mut self, kind: ListKind, members: &mut [Member]) {
        let Some(outliers) = &mut self.outliers else { return };
        if matches!(kind, ListKind::Complete | ListKind::Persisted) {
            self.members.clear();
        }
        for member in members.iter() {
            match member.phase {
                Phase::Gone => drop(self.members.remove(&member.id)),
                _ => drop(self.members.insert(member.id.clone(), member.clone())),
            }
        }
        let ready = self.members.values().filter(|m| m.phase == Phase::Ready).map(|m| m.id.clone());
        outliers.set_ready(&ready.collect::<Vec<_>>());
        for member in members.iter_mut() {
            if member.phase == Phase::Ready && outliers.is_ejected(&member.id) {
                member.phase = Phase::Draining;
            }
        }
    }

    /// The list's entry that a change of standing leads to.
    pub(super) fn changed(&mut self, change: &Change) -> Option<Member> {
        let (id, phase) = match change {
            Change::Eject(id) => (id, Phase::Draining),
            Change::Readmit(id) => (id, Phase::Ready),
        };
        let member = self.members.get(id)?;
        Some(Member { phase, ..member.clone() })
    }

    pub(super) fn wake_all(&mut self) {
        std::mem::take(&mut self.wakers).into_values().for_each(Waker::wake);
    }
}
