//! Every decision of a gateway; the types it speaks are in `crates/load-balancer/src/types.rs`.
//!
//! All gateways hash replica ids into one ring of virtual nodes. A request goes to the first replica
//! clockwise from its key (its shared beginning, else its session), past those that hold too much of this
//! gateway's work. The rest says who may be met on that walk, when to walk again, and when to refuse.

mod admission;
mod attempts;
mod health;
mod ring;
mod walk;

use std::collections::BTreeMap;

use crate::cold::{self, Cold};
use crate::demand::{ANSWER_COST, Demand, MEMORY};
use crate::load::{Estimate, Told};
use crate::pace::Calls;
use crate::record::Record;
use crate::types::{
    Action, Class, Event, Nanos, Phase, ReplicaId, Request, RequestId, Settings, SettingsError,
};
use health::Breaker;
use ring::Point;
use walk::{Target, key_of};

/// A class whose prompts find less than this part kept by earlier turns gains nothing from staying put.
const LOOSE: f64 = 0.1;
/// Requests in `MEMORY` from which on a gateway can tell a beginning's own share: of one that has a twentieth
/// of the work it has met five then.
const SIGHT: f64 = 100.0;
/// A request is turned down if the replica that it would go to lags by this part of its aim.
const FULL_PART: f64 = 0.6;
/// Above this share the fleet counts as well, and what is slow stands out.
const WELL: f64 = 0.9;
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
    demand: Demand,
    full_cost: f64,
    admit: f64,
    judged_at: Nanos,
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
        self.demand.set_classes(classes.len());
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

    // ---- requests -------------------------------------------------------------------------------------

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

    // ---- cold replicas --------------------------------------------------------------------------------

    /// Whether a replica may be sent a request: a cold one only on this gateway's turn (see [`cold`]).
    fn afford(&mut self, now: Nanos, r: usize) -> bool {
        let started = self.replicas[r].started.filter(|at| self.cold.warmth(now, Some(*at)) < 1.0);
        let Some(started) = started else { return true };
        // Guards against two flattering measures: demand, which in an overload is beyond what any replica
        // can do, and units that are lowered by load, of which an empty replica has the most.
        let work = self.demand.work(now, self.warm > 0) / self.full_cost;
        let replica = &mut self.replicas[r];
        let part = replica.size / self.most_size.max(f64::MIN_POSITIVE);
        let server = cold::Server { hash: replica.hash, started, part };
        self.cold.affords(now, &mut replica.budget, server, work)
    }
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

fn first_64(digest: &[u8]) -> u64 {
    digest.iter().take(8).fold(0, |all, byte| all << 8 | u64::from(*byte))
}
