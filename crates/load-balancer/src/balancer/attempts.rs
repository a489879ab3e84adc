//! Attempts: whether and where a request may be sent again, and how outcomes are handled.

use super::{LoadBalancer, SECOND, TimerPurpose};
use crate::active_request::{ActiveRequest, Attempt, AttemptState};
use crate::decaying_average::TIME_CONSTANT_S;
use crate::demand::full_cost;
use crate::replica_table::ReplicaSlot;
use crate::ring_walk::ReplicaGroup;
use crate::types::{Action, Effect, Event, Nanos, RequestId, Scope, Verdict};

/// Fraction of the time to the latency target after which an attempt without a first token is checked.
const SLOW_ATTEMPT_FRACTION: f64 = 0.65;

/// The replicas that a further attempt may go to, and the time by which it must be written.
pub(super) struct AttemptPermit {
    pub(super) group: ReplicaGroup,
    pub(super) write_until: Nanos,
}

impl AttemptPermit {
    const ANYWHERE: AttemptPermit = AttemptPermit { group: ReplicaGroup::Any, write_until: Nanos::MAX };
}

impl LoadBalancer {
    /// Returns the bounds of a further attempt, or `None` if it isn't allowed.
    pub(super) fn attempt_permit(&self, now: Nanos, active: &ActiveRequest) -> Option<AttemptPermit> {
        let limits = &self.settings.limits;
        let is_exhausted = active.attempts.len() >= limits.max_attempts as usize;
        if is_exhausted || active.has_attempt_in_flight() && !limits.hedging {
            return None;
        }
        match (self.effect_of(active), active.first_possible_run()) {
            (Effect::Safe, _) | (_, None) => Some(AttemptPermit::ANYWHERE),
            (Effect::Unsafe, Some(_)) => None,
            (Effect::Keyed { scope, window }, Some(first)) => {
                let write_until = first.sent_at.saturating_add(window);
                let group = self.group_of(scope, first.replica);
                (now < write_until).then_some(AttemptPermit { group, write_until })
            }
        }
    }

    fn effect_of(&self, active: &ActiveRequest) -> Effect {
        self.settings.classes[active.request.class.0].effect
    }

    /// The replicas that deduplicate a keyed request which may have run at `slot`.
    fn group_of(&self, scope: Scope, slot: ReplicaSlot) -> ReplicaGroup {
        match scope {
            Scope::All => ReplicaGroup::Any,
            Scope::Zone => ReplicaGroup::Zone(self.fleet.replicas[slot].zone),
            Scope::Cell => ReplicaGroup::Cell(self.fleet.replicas[slot].cell),
        }
    }

    pub(super) fn send(
        &mut self,
        now: Nanos,
        id: RequestId,
        slot: ReplicaSlot,
        write_until: Nanos,
        actions: &mut Vec<Action>,
    ) {
        let is_warming =
            self.fleet.slow_start.capacity_fraction(now, self.fleet.replicas[slot].started) < 1.0;
        let Some(active) = self.requests.active.get_mut(&id) else { return };
        active.attempts.push(Attempt::new(slot, now));
        let replica = &mut self.fleet.replicas[slot];
        replica.in_flight += 1;
        if is_warming {
            let cost = full_cost(&active.request) / self.admission.demand.mean_cost();
            self.fleet.slow_start.take_turn(&mut replica.slow_start, cost);
        }
        replica.breaker.begin_request();
        let zone = self.fleet.zones.entry(replica.zone).or_default();
        zone.breaker.begin_request();
        zone.in_flight += 1;
        let timeout = active.deadline - now;
        let write_within = write_until - now;
        actions.push(Action::Send { id, replica: replica.id.clone(), timeout, write_within });
        let slow_after = (active.target_at.saturating_sub(now) as f64 * SLOW_ATTEMPT_FRACTION) as Nanos;
        if slow_after > 0 && active.attempts.len() == 1 {
            self.timers.set(slow_after, TimerPurpose::SlowAttempt(id), actions);
        }
    }

    /// Hedges or cancels a first attempt at a replica that hangs, or that has become unreachable over an
    /// established connection.
    pub(super) fn check_slow_attempt(&mut self, now: Nanos, id: RequestId, actions: &mut Vec<Action>) {
        let Some(active) = self.requests.active.get(&id).filter(|active| active.is_waiting()) else {
            return;
        };
        let is_safe = self.effect_of(active) == Effect::Safe;
        let time_left = active.target_at.saturating_sub(now);
        // The timer was set for the first attempt; a later one has had less time.
        let first =
            active.attempts.first().filter(|attempt| attempt.state == AttemptState::InFlight).cloned();
        self.timers.set(time_left, TimerPurpose::LatencyTarget(id), actions);
        let Some(Attempt { replica: slot, sent_at, .. }) = first else { return };
        self.record_slow_attempt(now, slot, sent_at);
        // Only an attempt that is unlikely to get a response is hedged or cancelled. If the replica is
        // merely slow, its response still arrives sooner than one of another replica.
        let replica = &self.fleet.replicas[slot];
        let is_ejected = !replica.breaker.allows(now) && !self.has_too_many_ejections();
        let is_zone_unreachable =
            self.fleet.zones.get(&replica.zone).is_some_and(|zone| self.is_unreachable(zone));
        let limits = &self.settings.limits;
        if (is_ejected || is_zone_unreachable) && limits.hedging {
            self.place(now, id, actions);
        } else if (is_ejected || is_zone_unreachable) && limits.cancellation && is_safe {
            actions.push(Action::Cancel { id, attempt: 0 });
        }
    }

    /// Records a failure for a slow attempt, unless the replica has responded to another request since the
    /// attempt was sent. Such a replica only has a queue, and ejecting it would make other replicas prefill
    /// its sessions again and overload them.
    ///
    /// In any case a failed connection is recorded for the replica's zone. A failure of the replica is
    /// recorded only while the fleet as a whole is healthy; its weight includes the responses that the
    /// replica would normally have given since its last one.
    fn record_slow_attempt(&mut self, now: Nanos, slot: ReplicaSlot, sent_at: Nanos) {
        let average = self.fleet.replicas[slot].average;
        if average.last_response_at >= sent_at {
            return;
        }
        self.record_unreachable(now, slot);
        if self.admission.rate.is_healthy() {
            let idle_s = now.saturating_sub(average.last_response_at) as f64 / SECOND as f64;
            let failures = 1.0 + average.successes * idle_s / TIME_CONSTANT_S;
            self.record_result(now, slot, failures);
        }
    }

    /// Whether the client can retry the request without repeating an effect.
    fn is_safe_to_retry(&self, active: &ActiveRequest) -> bool {
        match self.effect_of(active) {
            Effect::Safe | Effect::Keyed { scope: Scope::All, .. } => true,
            _ => active.first_possible_run().is_none(),
        }
    }

    /// Ends a request that can't be served: with a refusal if a retry is safe, else with a failure.
    pub(super) fn refuse_or_fail(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(active) = self.requests.active.get(&id).filter(|active| !active.is_answered) else {
            return;
        };
        let response = if self.is_safe_to_retry(active) { self.refusal(id) } else { Action::Fail(id) };
        self.finish(id, Some(response), actions);
    }

    /// Ends a request without a response at its deadline, such as a parked one or one with a lost outcome.
    pub(super) fn end_at_deadline(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let waiting = self.requests.active.get(&id).filter(|active| active.is_waiting());
        match waiting.map(|active| active.first_possible_run().is_none()) {
            // No attempt has run or can still run, so the request may be refused even this late.
            Some(true) => self.refuse_or_fail(id, actions),
            Some(false) => self.finish(id, Some(Action::Fail(id)), actions),
            None => {}
        }
    }

    /// Ends a request whose client has disconnected.
    pub(super) fn handle_client_left(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if self.requests.active.get(&id).is_some_and(|active| !active.is_answered) {
            self.finish(id, None, actions);
        }
    }

    /// Marks a request as answered and cancels its waiting attempts. Removes it if none is in flight.
    fn finish(&mut self, id: RequestId, response: Option<Action>, actions: &mut Vec<Action>) {
        actions.extend(response);
        let Some(active) = self.requests.active.get_mut(&id) else { return };
        active.is_answered = true;
        if self.settings.limits.cancellation {
            actions.extend(active.waiting_attempts().map(|attempt| Action::Cancel { id, attempt }));
        }
        if !active.has_attempt_in_flight() {
            self.requests.active.remove(&id);
        }
    }

    /// Records the first token of an attempt. The response comes from this attempt, so the other attempts
    /// that are still waiting are cancelled.
    pub(super) fn record_first_token(
        &mut self,
        now: Nanos,
        id: RequestId,
        attempt: u32,
        actions: &mut Vec<Action>,
    ) {
        let Some(active) = self.requests.active.get_mut(&id) else { return };
        let Some(attempt) = active.attempts.get_mut(attempt as usize) else { return };
        attempt.has_begun = true;
        let slot = attempt.replica;
        let is_in_time = now <= active.target_at;
        if self.settings.limits.cancellation {
            actions.extend(active.waiting_attempts().map(|attempt| Action::Cancel { id, attempt }));
        }
        if is_in_time {
            self.admission.rate.record(now, true);
        }
        self.record_reachable(now, slot);
        self.record_result(now, slot, 0.0);
    }

    pub(super) fn record_outcome(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        let Event::Outcome { id, attempt, verdict, ended, cached_tokens, .. } = event else { return };
        let Some(active) = self.requests.active.get_mut(&id) else { return };
        let Some(attempt) = active.attempts.get_mut(attempt as usize) else { return };
        if attempt.state != AttemptState::InFlight {
            return;
        }
        let never_ran = matches!(verdict, Verdict::Full | Verdict::NoConnection | Verdict::NotSent);
        attempt.state = if never_ran { AttemptState::NeverRan } else { AttemptState::MayHaveRun };
        let (slot, has_begun) = (attempt.replica, attempt.has_begun);
        active.is_answered |= ended;
        let (is_answered, is_in_flight) = (active.is_answered, active.has_attempt_in_flight());
        let served = match (verdict, cached_tokens) {
            (Verdict::Ok, Some(cached)) => self.admission.demand.record_cached(&active.request, cached),
            _ => 0.0,
        };
        self.admission.demand.record_served(now, served);
        self.release(slot);
        self.record_link_outcome(now, slot, verdict);
        self.record_replica_outcome(now, slot, verdict, has_begun);
        if !is_answered && !is_in_flight {
            self.place(now, id, actions);
        } else if !is_in_flight {
            self.requests.active.remove(&id);
        } else if ended {
            self.finish(id, None, actions);
        }
    }

    fn release(&mut self, slot: ReplicaSlot) {
        let replica = &mut self.fleet.replicas[slot];
        replica.in_flight -= 1;
        let zone = self.fleet.zones.entry(replica.zone).or_default();
        zone.in_flight = zone.in_flight.saturating_sub(1);
    }
}
