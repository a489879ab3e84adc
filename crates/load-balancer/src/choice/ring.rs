//! The ring: which replicas there are, and where their virtual nodes stand.

use md5::{Digest, Md5};

use super::health::Breaker;
use super::{Gateway, Purpose, Replica, first_64};
use crate::cold;
use crate::record::Record;
use crate::types::{Action, ListKind, Member, Nanos, Phase, ReplicaId, Units};

/// Virtual nodes of the largest replica: more than the paper's 100, so that one of a quarter of its size
/// still has some fifty; each takes a share of the ring by its size, even to about a tenth.
const NODES: f64 = 256.0;
const SIZE_STEP: f64 = 1.05; // from this multiple on, a kind's size is raised

/// One virtual node.
#[derive(Clone, Copy)]
pub(super) struct Point {
    pub(super) at: u64,
    pub(super) r: u32,
    pub(super) n: u32,
}

impl Gateway {
    pub(super) fn list(
        &mut self,
        now: Nanos,
        kind: ListKind,
        members: &[Member],
        actions: &mut Vec<Action>,
    ) {
        self.call += u64::from(!matches!(kind, ListKind::Persisted | ListKind::Own));
        let chance = self.chance();
        match kind {
            ListKind::Failed => {
                let wait = self.calls.failed(now, chance);
                return self.timer(wait, Purpose::Call(self.call), actions);
            }
            ListKind::Persisted if !self.settings.push => {
                let wait = self.calls.start(now, chance);
                self.timer(wait, Purpose::Call(self.call), actions);
            }
            ListKind::Persisted | ListKind::Own => {}
            ListKind::Whole | ListKind::Changes => self.calls.answered(now),
        }
        self.cold.heard(now);
        let live = self.settings.units == Units::Live;
        let whole = !matches!(kind, ListKind::Changes | ListKind::Own);
        let mut changed = false;
        self.walk += 1;
        for member in members {
            let r = match self.index.get(&member.id) {
                Some(&r) => r,
                None => self.learn(member),
            };
            self.replicas[r].seen = self.walk;
            let replica = &mut self.replicas[r];
            if member.started.is_some() && replica.started != member.started {
                // A new process: what the old one did says nothing of it.
                replica.started = member.started;
                (replica.health, replica.record) = (Breaker::default(), Record::default());
                replica.budget = cold::Budget::new(now);
            }
            changed |= self.measure(member);
            let units = self.units(member);
            let replica = &mut self.replicas[r];
            changed |= (replica.phase == Phase::Ready) != (member.phase == Phase::Ready);
            if member.phase != Phase::Gone {
                (replica.zone, replica.kind, replica.cell) = (member.zone, member.kind, member.cell);
            }
            // Size over units is one plus what it holds for its size.
            replica.load = if live { replica.size / units } else { 0.0 };
            replica.phase = member.phase;
        }
        for replica in self.replicas.iter_mut().filter(|r| whole && r.seen != self.walk) {
            changed |= replica.phase == Phase::Ready;
            replica.phase = Phase::Gone;
        }
        if changed {
            self.rebuild();
        }
        self.forget();
        let ready = self.replicas.iter().filter(|r| r.phase == Phase::Ready);
        self.ready = ready.clone().count();
        self.most_size = self.most_size.max(ready.clone().map(|r| r.size).sum());
        self.warm = ready.filter(|r| self.cold.warmth(now, r.started) >= 1.0).count();
        self.release(now, actions);
    }

    pub(super) fn learn(&mut self, member: &Member) -> usize {
        let hash = first_64(&Md5::digest(member.id.0.as_bytes()));
        let r = self.free.pop().unwrap_or(self.replicas.len());
        if r == self.replicas.len() {
            self.replicas.push(Replica::default());
        }
        self.replicas[r] = Replica { id: member.id.clone(), hash, size: 1.0, ..Replica::default() };
        self.index.insert(member.id.clone(), r);
        r
    }

    /// Places for replicas in its tables, those of gone ones that wait for new ones included.
    #[must_use]
    pub fn places(&self) -> usize {
        self.replicas.len()
    }

    /// Guards against a table that grows with every replica that was ever there: the place of one that is
    /// gone, and that no request names any more, serves the next new one.
    pub(super) fn forget(&mut self) {
        let named = self.live.values().flat_map(|l| &l.attempts).map(|a| a.replica);
        let named: std::collections::BTreeSet<usize> = named.collect();
        for (r, replica) in self.replicas.iter().enumerate() {
            let over = replica.phase == Phase::Gone && replica.nodes == 0 && !named.contains(&r);
            if over && self.index.get(&replica.id) == Some(&r) {
                self.index.remove(&replica.id);
                self.free.push(r);
            }
        }
    }

    /// A list tells how many cores a replica has, and nothing of how fast they are.
    pub(super) fn units(&self, member: &Member) -> f64 {
        let speed = self.settings.speeds.get(usize::from(member.kind)).copied().unwrap_or(1.0);
        speed * if self.settings.units == Units::None { 1.0 } else { member.units.max(f64::MIN_POSITIVE) }
    }

    /// Learns the size of a kind of machine; true when it is new. Units that load lowers tell the size at
    /// the lightest load seen, and only a clear step counts, so that arcs don't move with every list.
    pub(super) fn measure(&mut self, member: &Member) -> bool {
        let units = self.units(member);
        let size = self.sizes.entry(member.kind).or_insert(0.0);
        let grown = units > *size * SIZE_STEP;
        *size = if grown { units } else { *size };
        grown
    }

    /// Brings the ring in step with the list: points of replicas that left go, those of new ones come, and
    /// all others stay where they are.
    pub(super) fn rebuild(&mut self) {
        // A power of two, so that a replica's nodes don't change with each kind that comes or goes.
        let largest = self.sizes.values().fold(f64::MIN_POSITIVE, |a, b| a.max(*b)).log2().ceil().exp2();
        let mut fresh = Vec::new();
        let mut stale = false;
        for (r, replica) in self.replicas.iter_mut().enumerate() {
            replica.size = self.sizes.get(&replica.kind).copied().unwrap_or(1.0);
            let nodes = (NODES * replica.size / largest).ceil() as u32;
            let nodes = if replica.phase == Phase::Ready { nodes } else { 0 };
            stale |= nodes < replica.nodes;
            let point = |n| Point { at: place_of(&replica.id, n), r: r as u32, n };
            fresh.extend((replica.nodes..nodes).map(point));
            replica.nodes = nodes;
        }
        self.zones.values_mut().for_each(|z| z.size = 0.0);
        for replica in self.replicas.iter().filter(|r| r.phase == Phase::Ready) {
            self.zones.entry(replica.zone).or_default().size += replica.size;
        }
        let replicas = &self.replicas;
        if stale {
            self.ring.retain(|p| p.n < replicas[p.r as usize].nodes);
        }
        self.ring.append(&mut fresh);
        // Ids decide between equal points, since the order in which they were met differs by gateway.
        self.ring.sort_by(|a, b| {
            let ids = || replicas[a.r as usize].id.cmp(&replicas[b.r as usize].id);
            a.at.cmp(&b.at).then_with(ids)
        });
    }
}

/// Where a replica's virtual node stands.
fn place_of(id: &ReplicaId, node: u32) -> u64 {
    first_64(&Md5::new().chain_update(id.0.as_bytes()).chain_update(node.to_le_bytes()).finalize())
}
