//! The walk along the ring: the first replica from a request's key on that may take it, past those over
//! the bound.

use md5::{Digest, Md5};

use super::{Fate, Gateway, WELL, first_64, mix, unit};
use crate::types::{Nanos, Phase, ReplicaId, Request};

/// A replica is passed over beyond this multiple of the mean in flight, plus one; what goes beyond the mean
/// grows with the root of the group's size, since each of many gateways sees mostly chance.
const BOUND_FACTOR: f64 = 1.25;
/// A replica whose oldest waiting request has waited for this part of a request's aim is passed over.
const LAG_PART: f64 = 0.5;

/// The replicas that a request may go to.
#[derive(Clone, Copy)]
pub(super) enum Group {
    Any,
    Zone(u16),
    Cell(u64),
}

/// What a walk looks for.
pub(super) struct Target {
    pub(super) key: u64,
    pub(super) session: u64,
    pub(super) owners: f64,
    pub(super) loose: bool,
    pub(super) group: Group,
    pub(super) aim: Nanos,
    pub(super) cold_only: bool,
}

impl Gateway {
    /// Among the first `owners` distinct replicas clockwise from the key, the one that the session's hash
    /// prefers and that may take the request; then the first beyond them, past all over the bound.
    pub(super) fn pick(&mut self, now: Nanos, target: &Target, tried: &[usize]) -> Option<usize> {
        let (size, held) = self.zones.values().fold((0.0, 0), |(s, h), z| (s + z.size, h + z.in_flight));
        let factor = 1.0 + (BOUND_FACTOR - 1.0) * f64::from(self.settings.group_size).sqrt();
        let bound = factor * f64::from(held) / f64::max(size, f64::MIN_POSITIVE);
        self.lags(now);
        let waiting_bound = self.waiting_bound(now);
        let start = self.ring.partition_point(|p| p.at < target.key);
        self.walk += 1;
        let (mut met, mut owned) = (0, 0.0);
        let (mut best, mut second, mut over): (_, _, Option<(f64, usize)>) = (None, None, None);
        // All owners so far are cold, and it is not this gateway's turn.
        let mut adrift = true;
        for i in 0..self.ring.len() {
            let point = self.ring[(start + i) % self.ring.len()];
            let r = point.r as usize;
            let replica = &self.replicas[r];
            if replica.seen == self.walk || point.n >= replica.nodes {
                continue;
            }
            let (own, hash, lag) = (replica.size, replica.hash, replica.lag);
            let warmth = self.cold.warmth(now, replica.started);
            let owner = met == 0 || owned < target.owners * size;
            self.replicas[r].seen = self.walk;
            met += 1;
            owned += own;
            let barred = target.cold_only && warmth >= 1.0;
            let open = self.afford(now, r);
            adrift &= !owner || !open;
            if !barred && open && self.usable(now, r, tried, target.group) {
                // Owners are liked by sessions in proportion to their size, whoever else is there; cold ones
                // first of all, since a turn not taken is lost, and anywhere if no owner may take it.
                let liking = match owner || best.is_none() {
                    _ if warmth < 1.0 && (owner || adrift) => f64::MAX,
                    true => own / -unit(mix(target.session ^ hash)).ln(),
                    false => 0.0,
                };
                let behind = self.admit > WELL && lag as f64 > LAG_PART * target.aim as f64;
                let waiting =
                    if waiting_bound.is_finite() { self.replicas[r].estimate.waiting() } else { 0.0 };
                let held = f64::from(self.replicas[r].in_flight);
                if behind || waiting > waiting_bound || held > bound * own + 1.0 {
                    over = over.filter(|(least, _)| *least <= waiting).or(Some((waiting, r)));
                } else if best.is_none_or(|(most, _)| liking > most) {
                    (second, best) = (best, Some((liking, r)));
                } else if second.is_none_or(|(most, _)| liking > most) {
                    second = Some((liking, r));
                }
            }
            let seeks = adrift && self.warm < self.ready;
            let enough = best.is_some_and(|(most, _)| !seeks || most == f64::MAX);
            let enough = enough && owned >= target.owners * size;
            if enough && (second.is_some() || !target.loose) || met == self.ready {
                break;
            }
        }
        // A request that leaves nothing behind goes to the emptier of the two that its session likes best.
        if let (true, Some((_, one)), Some((_, two))) = (target.loose, best, second) {
            let load = |r: usize| {
                let replica = &self.replicas[r];
                replica.load + f64::from(replica.in_flight) / replica.size
            };
            return Some(if load(two) < load(one) { two } else { one });
        }
        best.map(|(_, r)| r).or(over.map(|(_, r)| r))
    }

    /// Takes how much work waits at each replica.
    pub(super) fn loads(&mut self, now: Nanos, loads: &[(ReplicaId, f64)]) {
        self.told.tell(now);
        for (id, load) in loads {
            if let Some(&r) = self.index.get(id) {
                self.replicas[r].estimate.tell(now, *load);
            }
        }
    }

    /// How much work may wait at a replica that is to get more: a multiple of the mean and one, as for what
    /// is in flight. No bound while nothing is told.
    pub(super) fn waiting_bound(&self, now: Nanos) -> f64 {
        let ready = self.replicas.iter().filter(|r| r.phase == Phase::Ready);
        let waiting: f64 = ready.map(|r| r.estimate.waiting()).sum();
        let bound = BOUND_FACTOR * waiting / self.ready.max(1) as f64 + 1.0;
        if self.told.holds(now) { bound } else { f64::INFINITY }
    }

    /// How long the oldest request that waits at each replica has waited: what a new one would, at the least.
    pub(super) fn lags(&mut self, now: Nanos) {
        self.replicas.iter_mut().for_each(|r| r.lag = 0);
        for attempt in self.live.values().flat_map(|l| &l.attempts) {
            if attempt.fate == Fate::Out && !attempt.begun {
                let lag = &mut self.replicas[attempt.replica].lag;
                *lag = (*lag).max(now.saturating_sub(attempt.sent));
            }
        }
    }

    pub(super) fn usable(&self, now: Nanos, r: usize, tried: &[usize], group: Group) -> bool {
        let replica = &self.replicas[r];
        let well = replica.health.lets_through(now) || self.too_many_ejected();
        let within = match group {
            Group::Any => true,
            Group::Zone(zone) => replica.zone == zone,
            Group::Cell(cell) => replica.cell == cell,
        };
        let linked = self.zones.get(&replica.zone).is_none_or(|z| z.link.lets_through(now) || !self.cut(z));
        replica.phase == Phase::Ready && well && linked && within && !tried.contains(&r)
    }
}

/// Where a request stands on the ring: its shared beginning, else its session, else itself. A beginning
/// that all replicas share says no more than none would, and would cost a walk past all of them.
pub(super) fn key_of(request: &Request, owners: f64) -> u64 {
    let (kind, key) = match (request.prefix.filter(|p| *p != 0 && owners < 1.0), request.session) {
        (Some(prefix), _) => (b'p', prefix),
        (None, Some(session)) => (b's', session),
        (None, None) => (b'r', request.id.0),
    };
    first_64(&Md5::new().chain_update([kind]).chain_update(key.to_le_bytes()).finalize())
}
