//! Every decision of a gateway; the types it speaks are in `crates/signpost/src/types.rs`.
//!
//! All gateways hash replica ids into one ring of virtual nodes. A request goes to the first replica
//! clockwise from its key (its shared beginning, else its session), past those that hold too much of this
//! gateway's work. The rest says who may be met on that walk, when to walk again, and when to refuse.

use std::collections::BTreeMap;

use md5::{Digest, Md5};

use crate::cold::{self, Cold};
use crate::load::{Estimate, Told};
use crate::pace::Calls;
use crate::types::*;

/// Virtual nodes of the largest replica: more than the paper's 100, so that one of a quarter of its size
/// still has some fifty; each takes a share of the ring by its size, even to about a tenth.
const NODES: f64 = 256.0;
/// A replica is passed over beyond this multiple of the mean in flight, plus one; what goes beyond the mean
/// grows with the root of the group's size, since each of many gateways sees mostly chance.
const BOUND_FACTOR: f64 = 1.25;
const HEALTH_MEMORY: f64 = 10.0; // seconds for which attempts are remembered, about as long as troubles last
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
/// What an answer costs, as prompt tokens read: a slot is kept about as long as this takes to read.
const ANSWER_COST: f64 = 1000.0;
const SIZE_STEP: f64 = 1.05; // from this multiple on, a kind's size is raised
/// A beginning's owners are this multiple of what its share of the demand would fill: one more copy of
/// it costs one reading, while owners' sets that overlap are evened out by being wide.
const WIDEN: f64 = 3.0;
/// A class whose prompts find less than this part kept by earlier turns gains nothing from staying put.
const LOOSE: f64 = 0.1;
/// The mean share that a request's own beginning has of the work, before anything is known: the sum of the
/// shares' squares, some hundredths with Zipf-like demand for some tens to hundreds of beginnings.
const COMMON: f64 = 1.0 / 16.0;
const COMMON_STEP: f64 = 0.02; // for each request; about a minute's where one comes each second
const COMMON_OFF: f64 = 3.0; // a class's owners are counted anew only when wrong by more than this factor
/// Requests in `MEMORY` from which on a gateway can tell a beginning's own share: of one that has a twentieth
/// of the work it has met five then.
const SIGHT: f64 = 100.0;
/// Beginnings that are remembered before the least asked for are forgotten.
const BEGINNINGS: usize = 256;
const SLOW_PART: f64 = 0.65; // of the aim, after which an attempt without a first token is looked at again
/// A replica whose oldest waiting request has waited for this part of a request's aim is passed over.
const LAG_PART: f64 = 0.5;
/// A request is turned down if the replica that it would go to lags by this part of its aim.
const FULL_PART: f64 = 0.6;
/// Admission: the share of sessions let in falls by this time constant while first tokens are late and
/// rises more slowly, which settles where about one in eight is late. A few are always let in, to learn.
const ADMIT_PACE: f64 = 2.0;
const ADMIT_STEP: f64 = 0.25;
const ADMIT_RISE: f64 = 0.7;
const ADMIT_LEAST: f64 = 0.05;
/// Above this share the fleet counts as well, and what is slow stands out.
const WELL: f64 = 0.9;
/// Time constant of the averages: some think times of a session, so that all classes are seen.
const MEMORY: f64 = 10.0;
/// Time constant of what a tenant asks for, against its share.
const SHARE_MEMORY: f64 = 1.5;
/// How long a request that finds no replica waits before it looks again.
const HOLD: Nanos = 50 * MILLI;

/// An odd number without pattern, to step or to part hashes.
const SPREAD: u64 = 0x9E37_79B9_7F4A_7C15;
const SECOND: Nanos = 1_000_000_000;
const MILLI: Nanos = 1_000_000;

/// What a timer is for.
#[derive(Clone, Copy)]
enum Purpose {
    Deadline(RequestId),
    Slow(RequestId),
    Aim(RequestId),
    Held,
    Call(u64),
}

/// One virtual node.
#[derive(Clone, Copy)]
struct Point {
    at: u64,
    r: u32,
    n: u32,
}

/// A replica as this gateway sees it; kept while a request names it, since late outcomes may.
#[derive(Default)]
struct Replica {
    id: ReplicaId,
    hash: u64,
    size: f64,
    nodes: u32,
    zone: u16,
    kind: u16,
    cell: u64,
    phase: Phase,
    started: Option<Nanos>,
    in_flight: u32,
    health: Breaker,
    record: Record,
    load: f64,
    budget: cold::Budget,
    seen: u64,
    lag: Nanos,
    estimate: Estimate,
}

/// The replicas of a zone, and whether they can be reached.
#[derive(Default)]
struct Zone {
    size: f64,
    in_flight: u32,
    link: Breaker,
}

/// Opens after a run of failures for a while, longer each time; then lets single trials through.
#[derive(Default)]
struct Breaker {
    failures: u32,
    open: bool,
    opened: u32,
    until: Nanos,
    trial: bool,
}

impl Breaker {
    fn lets_through(&self, now: Nanos) -> bool {
        !self.open || now >= self.until && !self.trial
    }

    /// A failure; `jitter` is a random number in 0..1, so that gateways don't try at the same time.
    fn fail(&mut self, now: Nanos, run: u32, first: Nanos, most: Nanos, jitter: f64) {
        self.failures += 1;
        if self.trial || !self.open && self.failures >= run {
            let span = (first << self.opened.min(8)).min(most) as f64 * (0.75 + 0.5 * jitter);
            self.until = now + span as Nanos;
            (self.open, self.trial, self.opened) = (true, false, self.opened + 1);
        }
    }
}

/// What attempts came to: counts that fade by [`HEALTH_MEMORY`], and the last sign of life.
#[derive(Clone, Copy, Default)]
struct Record {
    failed: f64,
    answered: f64,
    at: Nanos,
    alive: Nanos,
}

impl Record {
    /// Adds a result; gives the share of failures, with one answer more than came. So a first failure counts
    /// for much where attempts are rare, and for little among many.
    fn add(&mut self, now: Nanos, failures: f64) -> f64 {
        let fade = (-(now.saturating_sub(self.at) as f64) / SECOND as f64 / HEALTH_MEMORY).exp();
        self.failed = self.failed * fade + failures;
        self.answered = self.answered * fade + f64::from(u8::from(failures == 0.0));
        self.at = now;
        self.failed / (self.failed + self.answered + 1.0)
    }
}

/// Whether an attempt may have had an effect.
#[derive(Clone, Copy, PartialEq)]
enum Fate {
    Out,
    NeverRan,
    MayHaveRun,
}

struct Attempt {
    replica: usize,
    sent: Nanos,
    fate: Fate,
    begun: bool,
}

/// A request from its arrival until its last attempt has come back.
struct Live {
    request: Request,
    aim: Nanos,
    deadline: Nanos,
    owners: f64,
    span: Nanos,
    cold_only: bool,
    attempts: Vec<Attempt>,
    finished: bool,
}

impl Live {
    /// The first attempt that may have had an effect, or may yet.
    fn first_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| a.fate != Fate::NeverRan)
    }

    /// No answer yet, nor the beginning of one.
    fn waits(&self) -> bool {
        !self.finished && self.attempts.iter().all(|a| !a.begun)
    }

    fn out(&self) -> bool {
        self.attempts.iter().any(|a| a.fate == Fate::Out)
    }
}

/// One gateway's decisions: a state machine without clock or I/O.
#[derive(Default)]
pub struct Gateway {
    settings: Settings,
    random: u64,
    replicas: Vec<Replica>,
    free: Vec<usize>,
    index: BTreeMap<ReplicaId, usize>,
    ring: Vec<Point>,
    zones: BTreeMap<u16, Zone>,
    ready: usize,
    /// The most that was ready at once: what the quotas were made for.
    most_size: f64,
    cold: Cold,
    sizes: BTreeMap<u16, f64>,
    warm: usize,
    walk: u64,
    live: BTreeMap<RequestId, Live>,
    held: Vec<RequestId>,
    timers: BTreeMap<u64, Purpose>,
    last_token: u64,
    kept: Vec<f64>,
    turns: Vec<f64>,
    offered: f64,
    served: f64,
    faded_at: Nanos,
    full_cost: f64,
    admit: f64,
    judged_at: Nanos,
    beginnings: BTreeMap<u64, (f64, Nanos)>,
    /// By class: the mean share of the work that a request's own beginning has had, and the owners by it.
    common: Vec<(f64, f64)>,
    short_sighted: bool, // by the quotas, so all gateways alike
    asked: Vec<(f64, Nanos)>,
    call: u64,
    calls: Calls,
    told: Told,
}

impl Gateway {
    /// A gateway that knows no replica yet.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        let safety = &settings.safety;
        let cold = safety.cold_from > 0.0 && safety.cold_from <= 1.0 && !safety.overload_factor.is_nan();
        let faults = [
            (settings.classes.is_empty(), "no classes of requests"),
            (settings.group_size == 0, "a group of no gateways"),
            (settings.limits.attempts == 0, "no attempt is allowed"),
            (!cold, "the cold share is not within 0 to 1"),
        ];
        if let Some((_, what)) = faults.into_iter().find(|(fault, _)| *fault) {
            return Err(SettingsError(what));
        }
        let mut gateway = Gateway {
            calls: Calls::of(&settings),
            cold: Cold::new(&settings),
            settings,
            random: seed,
            full_cost: ANSWER_COST,
            admit: 1.0,
            ..Gateway::default()
        };
        gateway.set_classes(gateway.settings.classes.clone());
        gateway.set_group_size(gateway.settings.group_size);
        Ok(gateway)
    }

    /// Replaces the table of classes: entries may be changed or appended. Those beyond the end of a shorter
    /// table stay as they were, since requests may name them; what was learnt of a class is kept.
    pub fn set_classes(&mut self, mut classes: Vec<Class>) {
        classes.extend_from_slice(self.settings.classes.get(classes.len()..).unwrap_or_default());
        self.kept.resize(classes.len(), 0.0);
        self.turns.resize(classes.len(), 1.0);
        self.common.resize(classes.len(), (COMMON, COMMON.sqrt()));
        self.settings.classes = classes;
    }

    /// Changes how many gateways share the fleet; 0 counts as this one alone.
    pub fn set_group_size(&mut self, gateways: u32) {
        self.settings.group_size = gateways.max(1);
        let seen = self.settings.quota_per_s().map(|quota| quota / f64::from(gateways.max(1)) * MEMORY);
        self.short_sighted = seen.is_some_and(|requests| requests < SIGHT);
        self.cold.set_group(&self.settings, self.replicas.iter_mut().map(|r| (r.hash, &mut r.budget)));
        self.calls.set_group(&self.settings);
    }

    /// Takes one event and adds what is to be done to `actions`. What the event names but this gateway
    /// does not know (a request answered long ago, a timer of no use) is ignored.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::List { kind, members } => self.list(now, kind, &members, actions),
            Event::Request(request) => self.accept(now, request, actions),
            Event::Expired(id) if self.live.get(&id).is_some_and(|l| !l.finished) => {
                self.finish(id, None, actions);
            }
            Event::FirstToken { id, attempt, .. } => {
                if let Some(live) = self.live.get_mut(&id)
                    && let Some(attempt) = live.attempts.get_mut(attempt as usize)
                {
                    attempt.begun = true;
                    let (r, timely) = (attempt.replica, now <= live.aim);
                    if self.settings.limits.cancel {
                        // The answer is this attempt's; what a second copy still did would be wasted.
                        let out = live.attempts.iter().enumerate();
                        let out = out.filter(|(_, a)| a.fate == Fate::Out && !a.begun);
                        actions.extend(out.map(|(n, _)| Action::Cancel { id, attempt: n as u32 }));
                    }
                    if timely {
                        self.judge(now, true);
                    }
                    self.reached(now, r);
                    self.judged(now, r, 0.0);
                }
            }
            Event::Outcome { .. } => self.outcome(now, event, actions),
            Event::Timer(token) => match self.timers.remove(&token) {
                Some(Purpose::Deadline(id)) => self.overdue(id, actions),
                Some(Purpose::Aim(id)) => self.missed(now, id),
                Some(Purpose::Slow(id)) => self.slow(now, id, actions),
                Some(Purpose::Held) => self.release(now, actions),
                Some(Purpose::Call(call)) if call == self.call => {
                    self.call += 1;
                    actions.push(Action::Watch);
                    self.timer(self.calls.patience(), Purpose::Call(self.call), actions);
                }
                _ => {}
            },
            Event::Busy(wait) => self.calls.busy(now, wait),
            Event::Loads(loads) => self.loads(now, &loads),
            Event::Work(replica, work) => {
                if let Some(&r) = self.index.get(&replica) {
                    self.replicas[r].estimate.send(now, work);
                }
            }
            Event::Expired(_) | Event::Probed { .. } | Event::Peer { .. } => {}
        }
    }

    fn timer(&mut self, after: Nanos, purpose: Purpose, actions: &mut Vec<Action>) {
        self.last_token += 1;
        self.timers.insert(self.last_token, purpose);
        actions.push(Action::Timer { after, token: self.last_token });
    }

    /// The next random number in 0..1 (SplitMix64).
    fn chance(&mut self) -> f64 {
        self.random = self.random.wrapping_add(SPREAD);
        unit(mix(self.random))
    }

    // ---- membership -----------------------------------------------------------------------------------

    fn list(&mut self, now: Nanos, kind: ListKind, members: &[Member], actions: &mut Vec<Action>) {
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

    fn learn(&mut self, member: &Member) -> usize {
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
    pub fn places(&self) -> usize {
        self.replicas.len()
    }

    /// Guards against a table that grows with every replica that was ever there: the place of one that is
    /// gone, and that no request names any more, serves the next new one.
    fn forget(&mut self) {
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
    fn units(&self, member: &Member) -> f64 {
        let speed = self.settings.speeds.get(usize::from(member.kind)).copied().unwrap_or(1.0);
        speed * if self.settings.units == Units::None { 1.0 } else { member.units.max(f64::MIN_POSITIVE) }
    }

    /// Learns the size of a kind of machine; true when it is new. Units that load lowers tell the size at
    /// the lightest load seen, and only a clear step counts, so that arcs don't move with every list.
    fn measure(&mut self, member: &Member) -> bool {
        let units = self.units(member);
        let size = self.sizes.entry(member.kind).or_insert(0.0);
        let grown = units > *size * SIZE_STEP;
        *size = if grown { units } else { *size };
        grown
    }

    /// Brings the ring in step with the list: points of replicas that left go, those of new ones come, and
    /// all others stay where they are.
    fn rebuild(&mut self) {
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

    // ---- requests -------------------------------------------------------------------------------------

    fn accept(&mut self, now: Nanos, request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        if request.class >= self.settings.classes.len() || self.live.contains_key(&id) {
            return;
        }
        let expected = f64::from(request.prompt) * (1.0 - self.kept[request.class]) + ANSWER_COST;
        self.decay(now);
        self.offered += expected;
        let owners = self.owners(now, &request, expected);
        // Always the same sessions; and guards against repeats, mostly past their aim, that keep a jam alive.
        let share = self.share(now, &request);
        let share = if self.admit < WELL { share } else { 1.0 };
        let place = unit(mix(request.session.unwrap_or(id.0) ^ SPREAD));
        if place > share {
            let wait = (self.chance() * self.settings.limits.retry_after as f64) as Nanos;
            return actions.push(Action::Refuse { id, wait });
        }
        // Guards against cold replicas at rest beside warm ones that jam: what only the jam turns away may go
        // to them, as far as they can take it.
        let cold_only = place > self.admit.powi(1 + i32::from(request.repeat)) * share;
        self.full_cost += 0.05 * (full_cost(&request) - self.full_cost);
        self.timer(request.expires_in, Purpose::Deadline(id), actions);
        let class = &self.settings.classes[request.class];
        let span = class.aim + class.aim_per_token * Nanos::from(request.prompt);
        let aim = now + span;
        let (deadline, attempts) = (now + request.expires_in, Vec::new());
        let live = Live { request, aim, deadline, owners, span, cold_only, attempts, finished: false };
        self.live.insert(id, live);
        self.place(now, id, actions);
    }

    /// The part of a tenant's requests that is within its share, as far as this gateway's own tell.
    fn share(&mut self, now: Nanos, request: &Request) -> f64 {
        let Some(tenant) = request.tenant else { return 1.0 };
        let Some(quota) = self.settings.tenants.get(tenant).and_then(|t| t.quota_per_s) else { return 1.0 };
        self.asked.resize(self.settings.tenants.len(), (0.0, now));
        let (count, at) = self.asked[tenant];
        let gone = now.saturating_sub(at) as f64 / SECOND as f64;
        // Repeats belong to their first tries.
        let count = count * (-gone / SHARE_MEMORY).exp() + f64::from(u8::from(!request.repeat));
        self.asked[tenant] = (count, now);
        (quota * SHARE_MEMORY / (count * f64::from(self.settings.group_size)).max(f64::MIN_POSITIVE))
            .min(1.0)
    }

    fn decay(&mut self, now: Nanos) {
        let gone = now.saturating_sub(self.faded_at) as f64 / SECOND as f64;
        self.offered *= (-gone / MEMORY).exp();
        self.served *= (-gone / MEMORY).exp();
        self.faded_at = now;
    }

    /// Sends the request on, holds it, or answers it.
    fn place(&mut self, now: Nanos, id: RequestId, actions: &mut Vec<Action>) {
        let Some(live) = self.live.get(&id).filter(|l| !l.finished) else { return };
        if live.deadline <= now {
            return self.give_up(id, actions);
        }
        let Some((group, until)) = self.may_send(now, live) else {
            if !live.out() {
                self.give_up(id, actions);
            }
            return;
        };
        let tried: Vec<usize> = live.attempts.iter().map(|a| a.replica).collect();
        let out = live.out();
        let target = Target {
            key: key_of(&live.request, live.owners),
            session: mix(live.request.session.unwrap_or(id.0)),
            owners: if live.owners < 1.0 { live.owners } else { 0.0 },
            loose: self.turns[live.request.class] < LOOSE,
            group,
            aim: live.span,
            cold_only: live.cold_only,
        };
        match self.pick(now, &target, &tried) {
            // Guards against a jam that keeps itself alive: what would be late anyway is turned down at once.
            Some(r) if !out && self.replicas[r].lag as f64 > FULL_PART * target.aim as f64 => {
                self.give_up(id, actions);
            }
            Some(r) => self.send(now, id, r, until, actions),
            None if out => {}
            None if target.cold_only => self.give_up(id, actions),
            // Nobody at all to send to: wait for news of the list or of a replica's health.
            None => {
                if self.held.is_empty() {
                    self.timer(HOLD, Purpose::Held, actions);
                }
                self.held.push(id);
            }
        }
    }

    fn release(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.held) {
            self.place(now, id, actions);
        }
    }

    fn send(&mut self, now: Nanos, id: RequestId, r: usize, until: Nanos, actions: &mut Vec<Action>) {
        let warmth = self.cold.warmth(now, self.replicas[r].started);
        let Some(live) = self.live.get_mut(&id) else { return };
        let cost = full_cost(&live.request) / self.full_cost;
        live.attempts.push(Attempt { replica: r, sent: now, fate: Fate::Out, begun: false });
        let replica = &mut self.replicas[r];
        replica.in_flight += 1;
        if warmth < 1.0 {
            self.cold.spend(&mut replica.budget, cost);
        }
        replica.health.trial |= replica.health.open;
        let zone = self.zones.entry(replica.zone).or_default();
        zone.link.trial |= zone.link.open;
        zone.in_flight += 1;
        let (replica, timeout, write_within) = (replica.id.clone(), live.deadline - now, until - now);
        actions.push(Action::Send { id, replica, timeout, write_within });
        let wait = (live.aim.saturating_sub(now) as f64 * SLOW_PART) as Nanos;
        if wait > 0 && live.attempts.len() == 1 {
            self.timer(wait, Purpose::Slow(id), actions);
        }
    }

    // ---- the walk -------------------------------------------------------------------------------------

    /// The part of the fleet's size that shares a beginning. Guards against the pile-up that no gateway
    /// sees: many of them each carrying a few requests of it. All see like samples of the demand, so all
    /// come to like figures.
    fn owners(&mut self, now: Nanos, request: &Request, cost: f64) -> f64 {
        // What can be moved to where the walk ends needs no further owners.
        let several = request.prefix.filter(|p| *p != 0 && !self.settings.movable);
        let Some(prefix) = several else { return 0.0 };
        if self.beginnings.len() >= BEGINNINGS {
            let faded = |at: Nanos| (-(now.saturating_sub(at) as f64) / SECOND as f64 / MEMORY).exp();
            self.beginnings.retain(|_, (mass, at)| *mass * faded(*at) > ANSWER_COST);
        }
        let (mass, at) = self.beginnings.entry(prefix).or_insert((0.0, now));
        let gone = now.saturating_sub(*at) as f64 / SECOND as f64;
        *mass *= (-gone / MEMORY).exp();
        let (mean, owners) = &mut self.common[request.class];
        *mean += COMMON_STEP * (*mass / self.offered.max(cost) - *mean);
        // With this request, so that a gateway that has seen little takes each beginning for popular: a
        // copy too many costs one reading, an owner too few a jam.
        (*mass, *at) = (*mass + cost, now);
        // Guards against sessions that move with each turn, as each of many gateways sees little and guesses
        // one beginning's share by itself: what turns leave behind is read anew each time. So all of a class
        // have as many as its most asked-for could need (no share is above the root of the sum of their
        // squares), a power of four that is kept until it is clearly wrong, and so alike nearly everywhere.
        if self.short_sighted && self.turns[request.class] >= LOOSE {
            let due = mean.max(f64::MIN_POSITIVE).sqrt();
            if (due / *owners).max(*owners / due) > COMMON_OFF {
                *owners = 4f64.powf(due.log(4.0).round());
            }
            return *owners;
        }
        // A beginning that is short beside the rest of the work is cheap to keep in many places.
        let cheap = (cost / f64::from(request.prefix_len.max(1))).max(1.0);
        WIDEN * cheap * *mass / self.offered.max(cost)
    }

    /// Among the first `owners` distinct replicas clockwise from the key, the one that the session's hash
    /// prefers and that may take the request; then the first beyond them, past all over the bound.
    fn pick(&mut self, now: Nanos, target: &Target, tried: &[usize]) -> Option<usize> {
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
                    if over.is_none_or(|(least, _)| waiting < least) {
                        over = Some((waiting, r));
                    }
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
    fn loads(&mut self, now: Nanos, loads: &[(ReplicaId, f64)]) {
        self.told.tell(now);
        for (id, load) in loads {
            if let Some(&r) = self.index.get(id) {
                self.replicas[r].estimate.tell(now, *load);
            }
        }
    }

    /// How much work may wait at a replica that is to get more: as the bound on what is in flight, a multiple of
    /// the mean and one. No bound while nothing is told.
    fn waiting_bound(&self, now: Nanos) -> f64 {
        let ready = self.replicas.iter().filter(|r| r.phase == Phase::Ready);
        let waiting: f64 = ready.map(|r| r.estimate.waiting()).sum();
        let bound = BOUND_FACTOR * waiting / self.ready.max(1) as f64 + 1.0;
        if self.told.holds(now) { bound } else { f64::INFINITY }
    }

    /// How long the oldest request that waits at each replica has waited: what a new one would, at the least.
    fn lags(&mut self, now: Nanos) {
        self.replicas.iter_mut().for_each(|r| r.lag = 0);
        for attempt in self.live.values().flat_map(|l| &l.attempts) {
            if attempt.fate == Fate::Out && !attempt.begun {
                let lag = &mut self.replicas[attempt.replica].lag;
                *lag = (*lag).max(now.saturating_sub(attempt.sent));
            }
        }
    }

    fn usable(&self, now: Nanos, r: usize, tried: &[usize], group: Group) -> bool {
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

    // ---- cold replicas --------------------------------------------------------------------------------

    /// Whether a replica may be sent a request: a cold one only on this gateway's turn (see [`cold`]).
    fn afford(&mut self, now: Nanos, r: usize) -> bool {
        let started = self.replicas[r].started.filter(|at| self.cold.warmth(now, Some(*at)) < 1.0);
        let Some(started) = started else { return true };
        self.decay(now);
        // Guards against two flattering measures: demand, which in an overload is beyond what any replica
        // can do, and units that are lowered by load, of which an empty replica has the most.
        let work = if self.warm > 0 { self.served } else { self.offered } / MEMORY / self.full_cost;
        let replica = &mut self.replicas[r];
        let part = replica.size / self.most_size.max(f64::MIN_POSITIVE);
        let server = cold::Server { hash: replica.hash, started, part };
        self.cold.affords(now, &mut replica.budget, server, work)
    }

    // ---- attempts -------------------------------------------------------------------------------------

    /// Where a further attempt may go and up to when, if it is allowed at all.
    fn may_send(&self, now: Nanos, live: &Live) -> Option<(Group, Nanos)> {
        let limits = &self.settings.limits;
        if live.attempts.len() >= limits.attempts as usize || live.out() && !limits.second_copies {
            return None;
        }
        let first = live.first_run();
        match (self.settings.classes[live.request.class].effect, first) {
            (Effect::Safe, _) | (_, None) => Some((Group::Any, Nanos::MAX)),
            (Effect::Unsafe, Some(_)) => None,
            (Effect::Keyed { scope, window }, Some(first)) => {
                let (replica, until) = (&self.replicas[first.replica], first.sent.saturating_add(window));
                let group = match scope {
                    Scope::All => Group::Any,
                    Scope::Zone => Group::Zone(replica.zone),
                    Scope::Cell => Group::Cell(replica.cell),
                };
                (now < until).then_some((group, until))
            }
        }
    }

    /// Guards against waiting for a replica that hangs or can't be reached over a connection made before.
    fn slow(&mut self, now: Nanos, id: RequestId, actions: &mut Vec<Action>) {
        let Some(live) = self.live.get(&id).filter(|l| l.waits()) else { return };
        let (left, class) = (live.aim.saturating_sub(now), live.request.class);
        // The time was the first attempt's: it says nothing of one that began later.
        let out = live.attempts.first().filter(|a| a.fate == Fate::Out).map(|a| (a.replica, a.sent));
        self.timer(left, Purpose::Aim(id), actions);
        let Some((r, sent)) = out else { return };
        // Guards against taking a queue for a failure: its sessions would be read anew elsewhere, and jam it.
        // One that has answered since is slow. Else, while others answer, what it would have answered counts.
        let Record { answered, alive, .. } = self.replicas[r].record;
        let silence = now.saturating_sub(alive) as f64 / SECOND as f64;
        if alive < sent {
            self.unreached(now, r);
        }
        if alive < sent && self.admit > WELL {
            self.judged(now, r, 1.0 + answered * silence / HEALTH_MEMORY);
        }
        let limits = &self.settings.limits;
        let safe = self.settings.classes[class].effect == Effect::Safe;
        // Guards against waiting for what won't answer; a replica that is only slow answers soonest itself.
        let sick = !self.replicas[r].health.lets_through(now) && !self.too_many_ejected();
        let away = self.zones.get(&self.replicas[r].zone).is_some_and(|z| self.cut(z));
        if (sick || away) && limits.second_copies {
            self.place(now, id, actions);
        } else if (sick || away) && limits.cancel && safe {
            actions.push(Action::Cancel { id, attempt: 0 });
        }
    }

    /// Guards against an overload in which all are served late: learns from each first token, in time or
    /// not, how much may be let in. Rare ones weigh more, so that a gateway with little traffic keeps up.
    fn judge(&mut self, now: Nanos, timely: bool) {
        let gone = now.saturating_sub(self.judged_at) as f64 / SECOND as f64;
        let step = (gone / ADMIT_PACE).clamp(0.01, ADMIT_STEP);
        self.judged_at = now;
        if timely {
            self.admit = (self.admit + step * ADMIT_RISE).min(1.0);
        } else {
            self.admit = (self.admit * (1.0 - step)).max(ADMIT_LEAST);
        }
    }

    fn missed(&mut self, now: Nanos, id: RequestId) {
        if self.live.get(&id).is_some_and(|l| l.waits() && !l.attempts.is_empty()) {
            self.judge(now, false);
        }
    }

    fn may_refuse(&self, live: &Live) -> bool {
        match self.settings.classes[live.request.class].effect {
            Effect::Safe | Effect::Keyed { scope: Scope::All, .. } => true,
            _ => live.first_run().is_none(),
        }
    }

    /// Ends a request that can't be served: with a refusal where that is true, else with a failure.
    fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(live) = self.live.get(&id).filter(|l| !l.finished) else { return };
        let answer = if self.may_refuse(live) {
            Action::Refuse { id, wait: (self.chance() * self.settings.limits.retry_after as f64) as Nanos }
        } else {
            Action::Fail(id)
        };
        self.finish(id, Some(answer), actions);
    }

    fn overdue(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        // Guards against a request without an answer: held ones and lost outcomes end here.
        match self.live.get(&id).filter(|l| l.waits()).map(|l| l.first_run().is_none()) {
            // Nobody has run it, or is about to: that is a refusal, however late it comes.
            Some(true) => self.give_up(id, actions),
            Some(false) => self.finish(id, Some(Action::Fail(id)), actions),
            None => {}
        }
    }

    /// Marks a request as answered, calls off what is still out and forgets it once nothing is.
    fn finish(&mut self, id: RequestId, answer: Option<Action>, actions: &mut Vec<Action>) {
        actions.extend(answer);
        let Some(live) = self.live.get_mut(&id) else { return };
        live.finished = true;
        if self.settings.limits.cancel {
            let out = live.attempts.iter().enumerate().filter(|(_, a)| a.fate == Fate::Out && !a.begun);
            actions.extend(out.map(|(n, _)| Action::Cancel { id, attempt: n as u32 }));
        }
        if !live.out() {
            self.live.remove(&id);
        }
    }

    fn outcome(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        let Event::Outcome { id, attempt, verdict, ended, kept, .. } = event else { return };
        let Some(live) = self.live.get_mut(&id) else { return };
        let Some(tried) = live.attempts.get_mut(attempt as usize) else { return };
        if tried.fate != Fate::Out {
            return;
        }
        let r = tried.replica;
        let never_ran = matches!(verdict, Verdict::Full | Verdict::NoConnection | Verdict::Moot);
        tried.fate = if never_ran { Fate::NeverRan } else { Fate::MayHaveRun };
        let begun = tried.begun;
        live.finished |= ended;
        let (finished, out) = (live.finished, live.out());
        let mut served = 0.0;
        if let (Verdict::Ok, Some(kept)) = (verdict, kept) {
            let share = f64::from(kept) / f64::from(live.request.prompt.max(1));
            let mean = &mut self.kept[live.request.class];
            *mean += 0.05 * (share.clamp(0.0, 1.0) - *mean);
            let own = f64::from(kept.saturating_sub(live.request.prefix_len));
            let turns = &mut self.turns[live.request.class];
            *turns += 0.05 * (own / f64::from(live.request.prompt.max(1)) - *turns);
            served = f64::from(live.request.prompt.saturating_sub(kept)) + ANSWER_COST;
        }
        self.decay(now);
        self.served += served;
        let replica = &mut self.replicas[r];
        replica.in_flight -= 1;
        let zone = self.zones.entry(replica.zone).or_default();
        zone.in_flight = zone.in_flight.saturating_sub(1);
        match verdict {
            Verdict::NoConnection => self.unreached(now, r),
            Verdict::Ok | Verdict::Error | Verdict::Full => self.reached(now, r),
            // Guards against waiting for ever for a trial that told nothing.
            _ => zone.link.trial = false,
        }
        match verdict {
            Verdict::Ok | Verdict::TimedOut if begun => {}
            Verdict::Ok => self.judged(now, r, 0.0),
            Verdict::Error | Verdict::TimedOut | Verdict::NoConnection | Verdict::Reset => {
                self.judged(now, r, 1.0)
            }
            // Full is no failure, and what was never sent or called off says nothing of the replica.
            Verdict::Full | Verdict::Cancelled | Verdict::Moot => self.replicas[r].health.trial = false,
        }
        if !finished && !out {
            self.place(now, id, actions);
        } else if !out {
            self.live.remove(&id);
        } else if ended {
            self.finish(id, None, actions);
        }
    }

    // ---- health ---------------------------------------------------------------------------------------

    fn too_many_ejected(&self) -> bool {
        let ejected = self.replicas.iter().filter(|r| r.phase == Phase::Ready && r.health.open);
        ejected.count() as f64 > EJECT_SHARE * self.ready as f64
    }

    /// A zone is cut off while another is not; else the trouble is elsewhere.
    fn cut(&self, zone: &Zone) -> bool {
        zone.link.open && self.zones.values().any(|z| !z.link.open)
    }

    fn reached(&mut self, now: Nanos, r: usize) {
        self.replicas[r].record.alive = now;
        self.zones.entry(self.replicas[r].zone).or_default().link = Breaker::default();
    }

    /// Guards against taking a cut zone for many dead replicas: each request would find another of them.
    fn unreached(&mut self, now: Nanos, r: usize) {
        let jitter = self.chance();
        let zone = self.zones.entry(self.replicas[r].zone).or_default();
        zone.link.fail(now, CUT_RUN, CUT_FIRST, CUT_MOST, jitter);
    }

    /// Takes a result as evidence. A trial that went well is followed by the next at once, until failures are
    /// rare enough: one answer of a replica that fails half of its requests says nothing.
    fn judged(&mut self, now: Nanos, r: usize, failures: f64) {
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

/// The replicas that a request may go to.
#[derive(Clone, Copy)]
enum Group {
    Any,
    Zone(u16),
    Cell(u64),
}

/// What a walk looks for.
struct Target {
    key: u64,
    session: u64,
    owners: f64,
    loose: bool,
    group: Group,
    aim: Nanos,
    cold_only: bool,
}

/// Spreads the bits of a number (SplitMix64's last steps).
fn mix(mut z: u64) -> u64 {
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}

/// A number above 0 and below 1 from random bits.
fn unit(bits: u64) -> f64 {
    ((bits >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// What a request costs a replica that keeps nothing of it.
fn full_cost(request: &Request) -> f64 {
    f64::from(request.prompt) + ANSWER_COST
}

/// Where a replica's virtual node stands.
fn place_of(id: &ReplicaId, node: u32) -> u64 {
    first_64(&Md5::new().chain_update(id.0.as_bytes()).chain_update(node.to_le_bytes()).finalize())
}

fn first_64(digest: &[u8]) -> u64 {
    digest.iter().take(8).fold(0, |all, byte| all << 8 | u64::from(*byte))
}

/// Where a request stands on the ring: its shared beginning, else its session, else itself. A beginning
/// that all replicas share says no more than none would, and would cost a walk past all of them.
fn key_of(request: &Request, owners: f64) -> u64 {
    let (kind, key) = match (request.prefix.filter(|p| *p != 0 && owners < 1.0), request.session) {
        (Some(prefix), _) => (b'p', prefix),
        (None, Some(session)) => (b's', session),
        (None, None) => (b'r', request.id.0),
    };
    first_64(&Md5::new().chain_update([kind]).chain_update(key.to_le_bytes()).finalize())
}
