//! Baseline policies, which differ only in how they select a replica.
//!
//! All of them eject a replica for two seconds after a failure, retry a failed attempt at another replica, and reject a
//! request for which no replica is available.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tulipridge::list_schedule::ListSchedule;
use tulipridge::types::{
    Action, Event, ListKind, Member, Nanos, Phase, ReplicaId, Request, RequestId, Settings, Verdict,
};
use xxhash_rust::xxh3::xxh3_64;

use super::fleet_load::SharedFleetLoad;
use super::selection::{self, Candidate, HashRing, KnownReplica};
use crate::experiment::PolicyKind;
use crate::time::SECOND;

/// Duration of a replica's ejection after a failure, in nanoseconds.
const EJECTION_DURATION: Nanos = 2 * SECOND;
/// Exclusive upper bound of the random initial offset of round robin.
const MAX_ROUND_ROBIN_OFFSET: usize = 1 << 20;

/// A request whose response has not begun or not ended.
struct PendingRequest {
    request: Request,
    deadline: Nanos,
    attempts: Vec<PendingAttempt>,
}

struct PendingAttempt {
    replica: ReplicaId,
    is_in_flight: bool,
}

/// Purpose of a timer.
enum Timer {
    /// Calls the list service.
    ListCall,
    /// Fails a request that has no first token.
    Deadline(RequestId),
}

/// A baseline policy of one gateway, with its state.
pub struct BaselinePolicy {
    kind: PolicyKind,
    settings: Settings,
    random: Pcg64Mcg,
    fleet_load: SharedFleetLoad,
    replicas: BTreeMap<ReplicaId, KnownReplica>,
    ring: HashRing,
    requests: BTreeMap<RequestId, PendingRequest>,
    timers: BTreeMap<u64, Timer>,
    last_token: u64,
    round_robin_position: usize,
    list_calls: ListSchedule,
}

impl BaselinePolicy {
    /// Creates a policy with an empty list of replicas.
    pub(super) fn new(
        kind: PolicyKind,
        settings: Settings,
        seed: u64,
        fleet_load: SharedFleetLoad,
    ) -> BaselinePolicy {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let round_robin_position = random.random_range(0..MAX_ROUND_ROBIN_OFFSET);
        let list_calls = ListSchedule::from_settings(&settings);
        BaselinePolicy {
            kind,
            settings,
            random,
            fleet_load,
            replicas: BTreeMap::new(),
            ring: HashRing::default(),
            requests: BTreeMap::new(),
            timers: BTreeMap::new(),
            last_token: 0,
            round_robin_position,
            list_calls,
        }
    }

    /// Handles an event and adds the resulting actions.
    pub(super) fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::List { kind, members } => self.update_list(now, kind, &members, actions),
            Event::Request(request) => self.accept_request(now, request, actions),
            Event::ClientDisconnected(id) => self.remove_request(id, actions),
            Event::Outcome { id, attempt, verdict, ended, .. } => {
                let is_failure = matches!(
                    verdict,
                    Verdict::Error | Verdict::TimedOut | Verdict::NoConnection | Verdict::Reset
                );
                if self.end_attempt(now, id, attempt as usize, is_failure) {
                    self.continue_request(now, id, ended, actions);
                }
            }
            Event::Timer(token) => self.fire_timer(token, actions),
            Event::FirstToken { id, .. } => {
                // A stream has no deadline after its first token.
                if let Some(pending) = self.requests.get_mut(&id) {
                    pending.deadline = Nanos::MAX;
                }
            }
            Event::ListServiceBusy(wait) => self.list_calls.defer(now, wait),
            Event::Probed { .. } | Event::PeerMessage { .. } | Event::Loads(_) | Event::WorkSent(..) => {}
        }
    }

    fn accept_request(&mut self, now: Nanos, request: Request, actions: &mut Vec<Action>) {
        let (id, deadline) = (request.id, now + request.expires_in);
        self.set_timer(request.expires_in, Timer::Deadline(id), actions);
        self.requests.insert(id, PendingRequest { request, deadline, attempts: Vec::new() });
        self.send_or_reject(now, id, actions);
    }

    /// Records the end of an attempt; returns false if it had ended before.
    fn end_attempt(&mut self, now: Nanos, id: RequestId, attempt: usize, is_failure: bool) -> bool {
        let Some(pending) = self.requests.get_mut(&id) else { return false };
        let Some(attempt) = pending.attempts.get_mut(attempt) else { return false };
        if !std::mem::replace(&mut attempt.is_in_flight, false) {
            return false;
        }
        if let Some(replica) = self.replicas.get_mut(&attempt.replica) {
            replica.in_flight = replica.in_flight.saturating_sub(1);
            if is_failure {
                replica.ejected_until = now + EJECTION_DURATION;
            }
        }
        true
    }

    /// Removes a request whose stream has ended; otherwise retries or rejects it.
    fn continue_request(&mut self, now: Nanos, id: RequestId, has_ended: bool, actions: &mut Vec<Action>) {
        if has_ended {
            self.requests.remove(&id);
        } else {
            self.send_or_reject(now, id, actions);
        }
    }

    fn set_timer(&mut self, after: Nanos, timer: Timer, actions: &mut Vec<Action>) {
        self.last_token += 1;
        self.timers.insert(self.last_token, timer);
        actions.push(Action::Timer { after, token: self.last_token });
    }

    fn fire_timer(&mut self, token: u64, actions: &mut Vec<Action>) {
        match self.timers.remove(&token) {
            Some(Timer::ListCall) => actions.push(Action::Watch),
            Some(Timer::Deadline(id)) => self.fail_overdue(id, actions),
            None => {}
        }
    }

    fn update_list(&mut self, now: Nanos, kind: ListKind, members: &[Member], actions: &mut Vec<Action>) {
        let jitter = self.random.random();
        let wait = match kind {
            ListKind::Persisted => Some(self.list_calls.first_wait(now, jitter)),
            ListKind::Failed => Some(self.list_calls.record_failure(now, jitter)),
            ListKind::Complete | ListKind::Changes | ListKind::Local => None,
        };
        match wait {
            Some(wait) => self.set_timer(wait, Timer::ListCall, actions),
            None => self.list_calls.record_success(now),
        }
        if matches!(kind, ListKind::Complete | ListKind::Persisted) {
            self.replicas.values_mut().for_each(|replica| replica.is_ready = false);
        }
        let mut has_changed = false;
        for member in members {
            has_changed |= self.update_member(member);
        }
        if has_changed && self.kind == PolicyKind::BoundedRing {
            let ready = self.replicas.iter().filter(|(_, replica)| replica.is_ready);
            self.ring = HashRing::build(ready);
        }
    }

    /// Updates one replica, and returns whether its readiness has changed.
    fn update_member(&mut self, member: &Member) -> bool {
        let speed = self.settings.speeds.get(usize::from(member.kind)).copied().unwrap_or(1.0);
        let is_ready = member.phase == Phase::Ready;
        let replica = self.replicas.entry(member.id.clone()).or_insert_with(KnownReplica::new);
        replica.size = member.units * speed;
        std::mem::replace(&mut replica.is_ready, is_ready) != is_ready
    }

    /// Sends a request to a replica without an attempt for it. Rejects it if there is none, after the last allowed
    /// attempt, and from its deadline on.
    fn send_or_reject(&mut self, now: Nanos, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&id) else { return };
        let attempts = pending.attempts.len();
        let is_exhausted =
            attempts >= self.settings.limits.max_attempts as usize || pending.deadline <= now;
        let timeout = pending.deadline.saturating_sub(now);
        match if is_exhausted { None } else { self.select(now, id) } {
            Some(replica) => {
                if let Some(known) = self.replicas.get_mut(&replica) {
                    known.in_flight += 1;
                }
                if let Some(pending) = self.requests.get_mut(&id) {
                    pending.attempts.push(PendingAttempt { replica: replica.clone(), is_in_flight: true });
                }
                actions.push(Action::Send { id, replica, timeout, write_within: Nanos::MAX });
            }
            None => {
                actions.push(Action::Refuse { id, retry_after: 0 });
                self.remove_request(id, actions);
            }
        }
    }

    fn fail_overdue(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if self.requests.get(&id).is_some_and(|pending| pending.deadline != Nanos::MAX) {
            actions.push(Action::Fail(id));
            self.remove_request(id, actions);
        }
    }

    /// Removes a request and cancels its attempts in flight.
    fn remove_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.remove(&id) else { return };
        let attempts = pending.attempts.iter().enumerate();
        for (number, attempt) in attempts.filter(|(_, attempt)| attempt.is_in_flight) {
            if let Some(replica) = self.replicas.get_mut(&attempt.replica) {
                replica.in_flight = replica.in_flight.saturating_sub(1);
            }
            actions.push(Action::Cancel { id, attempt: number as u32 });
        }
    }

    fn select(&mut self, now: Nanos, id: RequestId) -> Option<ReplicaId> {
        let pending = self.requests.get(&id)?;
        let key = hash_key(&pending.request);
        let was_attempted = |id: &ReplicaId| pending.attempts.iter().any(|attempt| attempt.replica == *id);
        let candidates: Vec<Candidate<'_>> = self
            .replicas
            .iter()
            .filter(|(id, replica)| replica.is_available(now) && !was_attempted(id))
            .collect();
        if candidates.is_empty() {
            return None;
        }
        let selected = match self.kind {
            PolicyKind::LoadBalancer | PolicyKind::Random => {
                selection::random(&candidates, &mut self.random)
            }
            PolicyKind::RoundRobin => {
                self.round_robin_position += 1;
                candidates[self.round_robin_position % candidates.len()].0
            }
            PolicyKind::TwoChoices => selection::two_choices(&candidates, &mut self.random),
            PolicyKind::LeastInFlight => selection::least_in_flight(&candidates, &mut self.random),
            PolicyKind::Oracle => selection::oracle(&candidates, &self.fleet_load)?,
            PolicyKind::BoundedRing => {
                let total_in_flight = self.replicas.values().map(|replica| replica.in_flight).sum();
                self.ring.select(key, &candidates, total_in_flight)?
            }
        };
        Some(selected.clone())
    }
}

/// Key of a request on the hash ring: the hash of its prefix, else of its session, else of its id.
fn hash_key(request: &Request) -> u64 {
    xxh3_64(&request.prefix.or(request.session).unwrap_or(request.id.0).to_le_bytes())
}
