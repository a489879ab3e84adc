//! Plain policies: one way to choose each, and the same simple rest for all: a server that failed is passed over
//! for two seconds, a failed attempt is made again elsewhere, and what nobody can take is refused.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tulipridge::list_schedule::ListSchedule;
use tulipridge::types::{
    Action, Event, ListKind, Member, Nanos, Phase, ReplicaId, Request, RequestId, Settings, Verdict,
};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{PolicyKind, Truth};
use crate::chance::drawn;
use crate::time::SECOND;

/// How long a server that failed is passed over.
const PASSED_OVER: Nanos = 2 * SECOND;
/// Virtual nodes of the largest server on the bounded ring.
const NODES: f64 = 100.0;
/// What a server on the bounded ring may hold, beside the mean.
const BOUND: f64 = 1.25;

struct Server {
    size: f64,
    ready: bool,
    held: u32,
    out_until: Nanos,
}

struct Live {
    request: Request,
    deadline: Nanos,
    /// Servers of its attempts; `true` while one is out.
    attempts: Vec<(ReplicaId, bool)>,
}

enum Purpose {
    Call,
    Deadline(RequestId),
}

/// A plain policy.
pub struct Plain {
    kind: PolicyKind,
    settings: Settings,
    random: Pcg64Mcg,
    truth: Truth,
    servers: BTreeMap<ReplicaId, Server>,
    ring: Vec<(u64, ReplicaId)>,
    live: BTreeMap<RequestId, Live>,
    timers: BTreeMap<u64, Purpose>,
    last_token: u64,
    turn: usize,
    list_schedule: ListSchedule,
}

impl Plain {
    /// One that knows no server yet.
    pub fn new(kind: PolicyKind, settings: Settings, seed: u64, truth: Truth) -> Plain {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let turn = random.random_range(0..1 << 20);
        let list_schedule = ListSchedule::from_settings(&settings);
        Plain {
            kind,
            settings,
            random,
            truth,
            servers: BTreeMap::new(),
            ring: Vec::new(),
            live: BTreeMap::new(),
            timers: BTreeMap::new(),
            last_token: 0,
            turn,
            list_schedule,
        }
    }

    /// Takes an event.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::List { kind, members } => self.list(now, kind, &members, actions),
            Event::Request(request) => {
                let (id, deadline) = (request.id, now + request.expires_in);
                self.timer(request.expires_in, Purpose::Deadline(id), actions);
                self.live.insert(id, Live { request, deadline, attempts: Vec::new() });
                self.place(now, id, actions);
            }
            Event::Expired(id) => self.finish(id, actions),
            Event::Outcome { id, attempt, verdict, ended, .. } => {
                let Some(live) = self.live.get_mut(&id) else { return };
                let Some((replica, out)) = live.attempts.get_mut(attempt as usize) else { return };
                if !std::mem::replace(out, false) {
                    return;
                }
                if let Some(server) = self.servers.get_mut(replica) {
                    server.held = server.held.saturating_sub(1);
                    let bad = [Verdict::Error, Verdict::TimedOut, Verdict::NoConnection, Verdict::Reset];
                    if bad.contains(&verdict) {
                        server.out_until = now + PASSED_OVER;
                    }
                }
                if ended {
                    self.live.remove(&id);
                } else {
                    self.place(now, id, actions);
                }
            }
            Event::Timer(token) => match self.timers.remove(&token) {
                Some(Purpose::Call) => actions.push(Action::Watch),
                Some(Purpose::Deadline(id)) if self.live.contains_key(&id) => self.overdue(id, actions),
                _ => {}
            },
            Event::FirstToken { id, .. } => {
                // From here on the stream has no deadline.
                if let Some(live) = self.live.get_mut(&id) {
                    live.deadline = Nanos::MAX;
                }
            }
            Event::ListServiceBusy(wait) => self.list_schedule.defer(now, wait),
            Event::Probed { .. } | Event::PeerMessage { .. } | Event::Loads(_) | Event::WorkSent(..) => {}
        }
    }

    fn timer(&mut self, after: Nanos, purpose: Purpose, actions: &mut Vec<Action>) {
        self.last_token += 1;
        self.timers.insert(self.last_token, purpose);
        actions.push(Action::Timer { after, token: self.last_token });
    }

    fn list(&mut self, now: Nanos, kind: ListKind, members: &[Member], actions: &mut Vec<Action>) {
        let chance = self.random.random();
        let wait = match kind {
            ListKind::Persisted => Some(self.list_schedule.first_wait(now, chance)),
            ListKind::Failed => Some(self.list_schedule.record_failure(now, chance)),
            ListKind::Complete | ListKind::Changes | ListKind::Local => None,
        };
        match wait {
            Some(wait) => self.timer(wait, Purpose::Call, actions),
            None => self.list_schedule.record_success(now),
        }
        if matches!(kind, ListKind::Complete | ListKind::Persisted) {
            self.servers.values_mut().for_each(|s| s.ready = false);
        }
        let mut changed = false;
        for member in members {
            let speed = self.settings.speeds.get(usize::from(member.kind)).copied().unwrap_or(1.0);
            let ready = member.phase == Phase::Ready;
            let fresh = || Server { size: 0.0, ready: false, held: 0, out_until: 0 };
            let server = self.servers.entry(member.id.clone()).or_insert_with(fresh);
            changed |= server.ready != ready;
            (server.size, server.ready) = (member.units * speed, ready);
        }
        if changed && self.kind == PolicyKind::BoundedRing {
            self.rebuild();
        }
    }

    fn rebuild(&mut self) {
        let ready = || self.servers.iter().filter(|(_, s)| s.ready);
        let largest = ready().map(|(_, s)| s.size).fold(f64::MIN_POSITIVE, f64::max);
        self.ring.clear();
        for (id, server) in ready() {
            let nodes = (NODES * server.size / largest).ceil() as u64;
            self.ring.extend((0..nodes).map(|n| (xxh3_64_with_seed(id.0.as_bytes(), n), id.clone())));
        }
        self.ring.sort();
    }

    fn place(&mut self, now: Nanos, id: RequestId, actions: &mut Vec<Action>) {
        let Some(live) = self.live.get(&id) else { return };
        let tried: Vec<ReplicaId> = live.attempts.iter().map(|(r, _)| r.clone()).collect();
        let spent = tried.len() >= self.settings.limits.max_attempts as usize || live.deadline <= now;
        let (key, timeout) = (key_of(&live.request), live.deadline.saturating_sub(now));
        match if spent { None } else { self.pick(now, key, &tried) } {
            Some(replica) => {
                if let Some(server) = self.servers.get_mut(&replica) {
                    server.held += 1;
                }
                if let Some(live) = self.live.get_mut(&id) {
                    live.attempts.push((replica.clone(), true));
                }
                actions.push(Action::Send { id, replica, timeout, write_within: Nanos::MAX });
            }
            None => {
                actions.push(Action::Refuse { id, retry_after: 0 });
                self.finish(id, actions);
            }
        }
    }

    fn overdue(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if self.live.get(&id).is_some_and(|l| l.deadline != Nanos::MAX) {
            actions.push(Action::Fail(id));
            self.finish(id, actions);
        }
    }

    /// Forgets a request and calls off what is still out.
    fn finish(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(live) = self.live.remove(&id) else { return };
        for (n, (replica, _)) in live.attempts.iter().enumerate().filter(|(_, (_, out))| *out) {
            if let Some(server) = self.servers.get_mut(replica) {
                server.held = server.held.saturating_sub(1);
            }
            actions.push(Action::Cancel { id, attempt: n as u32 });
        }
    }

    fn pick(&mut self, now: Nanos, key: u64, tried: &[ReplicaId]) -> Option<ReplicaId> {
        let usable = |id: &ReplicaId, s: &Server| s.ready && s.out_until <= now && !tried.contains(id);
        let usable: Vec<(&ReplicaId, &Server)> =
            self.servers.iter().filter(|(id, s)| usable(id, s)).collect();
        if usable.is_empty() {
            return None;
        }
        let mut draw = || usable[drawn(&mut self.random, usable.iter().map(|(_, s)| s.size))];
        let load = |s: &Server| f64::from(s.held) / s.size;
        let chosen = match self.kind {
            PolicyKind::Module | PolicyKind::Random => draw().0,
            PolicyKind::RoundRobin => {
                self.turn += 1;
                usable[self.turn % usable.len()].0
            }
            PolicyKind::TwoChoices => {
                let (one, two) = (draw(), draw());
                if load(two.1) < load(one.1) { two.0 } else { one.0 }
            }
            PolicyKind::LeastInFlight => {
                let least = usable.iter().map(|(_, s)| load(s)).fold(f64::INFINITY, f64::min);
                let equal: Vec<_> = usable.iter().filter(|(_, s)| load(s) <= least).collect();
                // Most hold nothing: among equals the larger are drawn more often.
                equal[drawn(&mut self.random, equal.iter().map(|(_, s)| s.size))].0
            }
            PolicyKind::Oracle => {
                let truth = self.truth.borrow();
                let load =
                    |id: &ReplicaId| truth.get(&*id.0).map_or(0.0, |(held, places)| (held + 1.0) / places);
                usable.iter().min_by(|a, b| load(a.0).total_cmp(&load(b.0)))?.0
            }
            PolicyKind::BoundedRing => {
                let held: u32 = self.servers.values().map(|s| s.held).sum();
                let sum: f64 = usable.iter().map(|(_, s)| s.size).sum();
                let bound = BOUND * f64::from(held + 1) / sum;
                let start = self.ring.partition_point(|(at, _)| *at < key);
                let walk = (0..self.ring.len()).map(|i| &self.ring[(start + i) % self.ring.len()].1);
                let mut over = None;
                let mut found = None;
                for id in walk {
                    let Some(server) = self.servers.get(id) else { continue };
                    if !server.ready || server.out_until > now || tried.contains(id) {
                        continue;
                    }
                    over = over.or(Some(id));
                    // At least one request fits everywhere: a bound below one would let nobody in.
                    if f64::from(server.held + 1) <= (bound * server.size).max(1.0) {
                        found = Some(id);
                        break;
                    }
                }
                found.or(over)?
            }
        };
        Some(chosen.clone())
    }
}

fn key_of(request: &Request) -> u64 {
    xxh3_64(&request.prefix.or(request.session).unwrap_or(request.id.0).to_le_bytes())
}
