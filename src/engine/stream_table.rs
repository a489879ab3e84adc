//! State shared by all forwarded streams: the memory budget, the statistics, and the ejection of replicas.

use std::collections::{BTreeMap, BTreeSet};
use std::task::Waker;

use crate::limits::Limits;
use crate::stream::{Account, Budget, EjectionChange, OutlierEjection, StreamStatistics};
use crate::types::{ListKind, Member, Nanos, Phase, ReplicaId};

/// State shared by all forwarded streams.
pub(super) struct StreamTable {
    pub(super) budget: Budget,
    pub(super) statistics: StreamStatistics,
    pub(super) outliers: Option<OutlierEjection>,
    /// The replica list as received: ejected replicas are not marked as draining in it.
    members: BTreeMap<ReplicaId, Member>,
    pub(super) wakers: BTreeMap<Account, Waker>,
    pub(super) evicted: BTreeSet<Account>,
    pub(super) shutdown_at: Option<Nanos>,
    pub(super) class_names: Vec<String>,
    pub(super) tenant_names: Vec<String>,
}

impl StreamTable {
    pub(super) fn new(limits: &Limits) -> StreamTable {
        let stream = &limits.stream;
        StreamTable {
            budget: Budget::new(stream.budget, stream.high_watermark, stream.min_buffer),
            statistics: StreamStatistics::default(),
            outliers: limits.outliers.as_ref().map(OutlierEjection::new),
            members: BTreeMap::new(),
            wakers: BTreeMap::new(),
            evicted: BTreeSet::new(),
            shutdown_at: None,
            class_names: Vec::new(),
            tenant_names: Vec::new(),
        }
    }

    /// Records an update of the replica list, and marks ejected replicas in the update as draining.
    pub(super) fn record_list(&mut self, kind: ListKind, members: &mut [Member]) {
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
        let ready = self
            .members
            .values()
            .filter(|member| member.phase == Phase::Ready)
            .map(|member| member.id.clone());
        outliers.set_ready(&ready.collect::<Vec<_>>());
        for member in members.iter_mut() {
            if member.phase == Phase::Ready && outliers.is_ejected(&member.id) {
                member.phase = Phase::Draining;
            }
        }
    }

    /// The list entry of a replica after its ejection or readmission; `None` if it is not listed.
    pub(super) fn changed_member(&mut self, change: &EjectionChange) -> Option<Member> {
        let (id, phase) = match change {
            EjectionChange::Eject(id) => (id, Phase::Draining),
            EjectionChange::Readmit(id) => (id, Phase::Ready),
        };
        let member = self.members.get(id)?;
        Some(Member { phase, ..member.clone() })
    }

    pub(super) fn wake_all(&mut self) {
        std::mem::take(&mut self.wakers).into_values().for_each(Waker::wake);
    }
}
