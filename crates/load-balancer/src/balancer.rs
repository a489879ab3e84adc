//! The load balancer's state machine. Its events and actions are in crates/load-balancer/src/types.rs.
//!
//! All gateways hash replica ids onto the same ring of virtual nodes. A request goes to the first replica
//! clockwise from its key (its shared prefix, else its session) that is within its load bound: consistent
//! hashing with bounded loads. The submodules cover admission, selection, attempts and retries, outlier
//! ejection and the list of replicas.

mod admission;
mod attempts;
mod discovery;
mod outlier_ejection;
mod request_key;
mod selection;

use std::collections::BTreeMap;

use crate::active_request::ActiveRequest;
use crate::admission_rate::AdmissionRate;
use crate::demand::{Demand, TIME_CONSTANT_S};
use crate::hash_ring::HashRing;
use crate::list_schedule::ListSchedule;
use crate::queued_work::ReportFreshness;
use crate::random::{SplitMix64, mix};
use crate::replica_table::{ReplicaTable, Zone};
use crate::ring_walk::SelectionCriteria;
use crate::slow_start::SlowStart;
use crate::tenant_demand::TenantDemands;
use crate::types::{
    Action, Class, Event, Limits, Nanos, ReplicaWork, RequestId, Settings, SettingsError, SlowStartSettings,
};
use request_key::ring_key;

/// A class whose sessions reuse less than this fraction of a prompt gains nothing from session affinity.
const LOW_SESSION_REUSE: f64 = 0.1;
/// Requests within [`TIME_CONSTANT_S`] that a gateway needs to estimate the share of a single prefix. With
/// this many, a prefix with a twentieth of the requests has been seen five times.
const MIN_REQUESTS_TO_COMPARE_PREFIXES: f64 = 100.0;
/// A request is refused if the longest wait at its replica exceeds this fraction of the latency target.
const REFUSAL_LAG_FRACTION: f64 = 0.6;
/// Interval at which parked requests are placed again.
const PARKED_RETRY_INTERVAL: Nanos = 50 * MILLI;
const SECOND: Nanos = 1_000_000_000;
const MILLI: Nanos = 1_000_000;

/// What a timer is for.
#[derive(Clone, Copy)]
enum TimerPurpose {
    /// The client's deadline for the request has passed.
    Deadline(RequestId),
    /// The check of an attempt without a first token is due.
    SlowAttempt(RequestId),
    /// The latency target of the request has passed.
    LatencyTarget(RequestId),
    /// Parked requests are placed again.
    Parked,
    /// The list is due to be requested, unless the generation has changed since the timer was set.
    ListCall(u64),
}

/// Pending timers by token.
#[derive(Default)]
struct Timers {
    pending: BTreeMap<u64, TimerPurpose>,
    last_token: u64,
}

impl Timers {
    fn set(&mut self, after: Nanos, purpose: TimerPurpose, actions: &mut Vec<Action>) {
        self.last_token += 1;
        self.pending.insert(self.last_token, purpose);
        actions.push(Action::Timer { after, token: self.last_token });
    }
}

/// The schedule of list calls, and a generation that invalidates outdated timers.
struct ListCalls {
    schedule: ListSchedule,
    generation: u64,
}

/// The known replicas and zones, and the hash ring.
struct Fleet {
    replicas: ReplicaTable,
    ring: HashRing,
    zones: BTreeMap<u16, Zone>,
    slow_start: SlowStart,
    load_reports: ReportFreshness,
}

impl Fleet {
    fn new(settings: &Settings) -> Fleet {
        Fleet {
            replicas: ReplicaTable::default(),
            ring: HashRing::default(),
            zones: BTreeMap::new(),
            slow_start: SlowStart::new(settings),
            load_reports: ReportFreshness::default(),
        }
    }
}

/// Requests that have not ended.
#[derive(Default)]
struct Requests {
    active: BTreeMap<RequestId, ActiveRequest>,
    /// Requests for which no replica was available.
    parked: Vec<RequestId>,
}

/// Admission control and the demand that it is based on.
#[derive(Default)]
struct Admission {
    rate: AdmissionRate,
    demand: Demand,
    tenants: TenantDemands,
    /// Whether this gateway's part of the quotas is too small to estimate the share of single prefixes. The
    /// result is the same at all gateways, since it follows from the quotas alone.
    has_few_requests: bool,
}

/// The load balancer of one service at one gateway: a state machine without a clock or I/O.
pub struct LoadBalancer {
    settings: Settings,
    random: SplitMix64,
    fleet: Fleet,
    requests: Requests,
    admission: Admission,
    timers: Timers,
    list_calls: ListCalls,
}

impl LoadBalancer {
    /// Creates a load balancer without replicas. `seed` initializes its random numbers; each gateway needs
    /// a different one.
    ///
    /// # Errors
    /// Returns an error if the settings are invalid.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        validate(&settings)?;
        let mut balancer = LoadBalancer {
            random: SplitMix64::new(seed),
            fleet: Fleet::new(&settings),
            requests: Requests::default(),
            admission: Admission::default(),
            timers: Timers::default(),
            list_calls: ListCalls { schedule: ListSchedule::from_settings(&settings), generation: 0 },
            settings,
        };
        balancer.set_classes(balancer.settings.classes.clone());
        balancer.set_group_size(balancer.settings.group_size);
        Ok(balancer)
    }

    /// Replaces the table of classes: entries may be changed or appended. If the new table is shorter, the
    /// remaining classes are kept, since active requests may refer to them. Statistics of a class are kept.
    pub fn set_classes(&mut self, mut classes: Vec<Class>) {
        classes.extend_from_slice(self.settings.classes.get(classes.len()..).unwrap_or_default());
        self.admission.demand.set_classes(classes.len());
        self.settings.classes = classes;
    }

    /// Changes the number of gateways that share the fleet; 0 is treated as 1.
    pub fn set_group_size(&mut self, gateways: u32) {
        self.settings.group_size = gateways.max(1);
        let quota = self.settings.quota_per_s();
        let expected_requests = quota.map(|quota| quota / f64::from(gateways.max(1)) * TIME_CONSTANT_S);
        self.admission.has_few_requests =
            expected_requests.is_some_and(|requests| requests < MIN_REQUESTS_TO_COMPARE_PREFIXES);
        let budgets = self.fleet.replicas.iter_mut().map(|replica| (replica.hash, &mut replica.slow_start));
        self.fleet.slow_start.set_group_size(&self.settings, budgets);
        self.list_calls.schedule.set_group_size(&self.settings);
    }

    /// Handles an event and appends the resulting actions to `actions`. Events for unknown requests,
    /// replicas or timers are ignored, such as a late outcome of a request that has ended.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::List { kind, members } => self.apply_list(now, kind, &members, actions),
            Event::Request(request) => self.admit(now, request, actions),
            Event::ClientDisconnected(id) => self.handle_client_left(id, actions),
            Event::FirstToken { id, attempt, .. } => self.record_first_token(now, id, attempt, actions),
            Event::Outcome { .. } => self.record_outcome(now, event, actions),
            Event::Timer(token) => self.run_timer(now, token, actions),
            Event::ListServiceBusy(wait) => self.list_calls.schedule.defer(now, wait),
            Event::Loads(loads) => self.record_loads(now, &loads),
            Event::WorkSent(ReplicaWork { replica, work }) => {
                if let Some(slot) = self.fleet.replicas.slot_of(&replica) {
                    self.fleet.replicas[slot].queued_work.record_sent(now, work);
                }
            }
            Event::Probed { .. } | Event::PeerMessage { .. } => {}
        }
    }

    fn run_timer(&mut self, now: Nanos, token: u64, actions: &mut Vec<Action>) {
        match self.timers.pending.remove(&token) {
            Some(TimerPurpose::Deadline(id)) => self.end_at_deadline(id, actions),
            Some(TimerPurpose::LatencyTarget(id)) => self.miss_latency_target(now, id),
            Some(TimerPurpose::SlowAttempt(id)) => self.check_slow_attempt(now, id, actions),
            Some(TimerPurpose::Parked) => self.place_parked(now, actions),
            Some(TimerPurpose::ListCall(generation)) => self.call_list(generation, actions),
            None => {}
        }
    }

    /// Sends the request to a replica, parks it, or ends it with a refusal or failure.
    fn place(&mut self, now: Nanos, id: RequestId, actions: &mut Vec<Action>) {
        let Some(active) = self.requests.active.get(&id).filter(|active| !active.is_answered) else {
            return;
        };
        if active.deadline <= now {
            return self.refuse_or_fail(id, actions);
        }
        let is_hedge = active.has_attempt_in_flight();
        let Some(permit) = self.attempt_permit(now, active) else {
            if !is_hedge {
                self.refuse_or_fail(id, actions);
            }
            return;
        };
        let attempted: Vec<_> = active.attempts.iter().map(|attempt| attempt.replica).collect();
        let criteria = SelectionCriteria {
            key: ring_key(&active.request, active.owner_fraction),
            session_hash: mix(active.request.session.unwrap_or(id.0)),
            owner_fraction: if active.owner_fraction < 1.0 { active.owner_fraction } else { 0.0 },
            has_low_reuse: self.admission.demand.cached_by_session(active.request.class)
                < LOW_SESSION_REUSE,
            group: permit.group,
            latency_target: active.latency_target,
            slow_start_only: active.slow_start_only,
        };
        match self.select(now, &criteria, &attempted) {
            // Serving requests that will be late anyway would sustain an overload.
            Some(slot)
                if !is_hedge && self.is_lagging(slot, REFUSAL_LAG_FRACTION, criteria.latency_target) =>
            {
                self.refuse_or_fail(id, actions);
            }
            Some(slot) => self.send(now, id, slot, permit.write_until, actions),
            None if is_hedge => {}
            None if criteria.slow_start_only => self.refuse_or_fail(id, actions),
            None => self.park(id, actions),
        }
    }

    /// Keeps a request for which no replica is available, to be placed again on a timer or a new list.
    fn park(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if self.requests.parked.is_empty() {
            self.timers.set(PARKED_RETRY_INTERVAL, TimerPurpose::Parked, actions);
        }
        self.requests.parked.push(id);
    }

    fn place_parked(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.requests.parked) {
            self.place(now, id, actions);
        }
    }
}

fn validate(settings: &Settings) -> Result<(), SettingsError> {
    let SlowStartSettings { initial_capacity, overload_factor, .. } = settings.slow_start;
    let is_valid_capacity = initial_capacity > 0.0 && initial_capacity <= 1.0 && !overload_factor.is_nan();
    match settings {
        Settings { classes, .. } if classes.is_empty() => Err(SettingsError::NoClasses),
        Settings { group_size: 0, .. } => Err(SettingsError::EmptyGroup),
        Settings { limits: Limits { max_attempts: 0, .. }, .. } => Err(SettingsError::NoAttempts),
        _ if !is_valid_capacity => Err(SettingsError::InvalidInitialCapacity),
        _ => Ok(()),
    }
}
