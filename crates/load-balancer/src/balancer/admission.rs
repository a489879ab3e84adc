//! Admission control by measured latency and by tenant quotas.

use super::{LOW_SESSION_REUSE, LoadBalancer, TimerPurpose};
use crate::active_request::ActiveRequest;
use crate::random::{GOLDEN_GAMMA, mix, unit_interval};
use crate::types::{Action, Nanos, Request, RequestId};

impl LoadBalancer {
    /// Admits and places a request, or refuses it.
    pub(super) fn admit(&mut self, now: Nanos, request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        if request.class.0 >= self.settings.classes.len() || self.requests.active.contains_key(&id) {
            return;
        }
        let expected_cost = self.admission.demand.expected_cost(&request);
        self.admission.demand.record_offered(now, expected_cost);
        let owner_fraction = self.owner_fraction(now, &request, expected_cost);
        let quota_fraction = self.admission.tenants.record(now, &self.settings, &request);
        let quota_fraction = if self.admission.rate.enforces_quotas() { quota_fraction } else { 1.0 };
        // The rank is a hash of the session, so that load shedding always refuses the same sessions.
        let rank = unit_interval(mix(request.session.unwrap_or(id.0) ^ GOLDEN_GAMMA));
        if rank > quota_fraction {
            return actions.push(self.refusal(id));
        }
        // Retries are admitted at the square of the rate: most are past their latency targets and would
        // sustain an overload. A request that only the admission rate excludes may still go to a replica in
        // slow start, which may be idle while the warm replicas are overloaded.
        let rate = self.admission.rate.current().powi(1 + i32::from(request.is_retry));
        let slow_start_only = rank > rate * quota_fraction;
        self.admission.demand.record_cost(&request);
        self.timers.set(request.expires_in, TimerPurpose::Deadline(id), actions);
        let class = &self.settings.classes[request.class.0];
        let by_length = class.latency_target_per_token * Nanos::from(request.prompt_tokens);
        let latency_target = class.latency_target + by_length;
        let active = ActiveRequest {
            latency_target,
            target_at: now + latency_target,
            deadline: now + request.expires_in,
            owner_fraction,
            slow_start_only,
            attempts: Vec::new(),
            is_answered: false,
            request,
        };
        self.requests.active.insert(id, active);
        self.place(now, id, actions);
    }

    fn owner_fraction(&mut self, now: Nanos, request: &Request, expected_cost: f64) -> f64 {
        // A prefix that any replica can fetch from another one needs a single owner.
        if self.settings.has_prefix_transfer {
            return 0.0;
        }
        let has_reuse = self.admission.demand.cached_by_session(request.class) >= LOW_SESSION_REUSE;
        self.admission.demand.owner_fraction(
            now,
            request,
            expected_cost,
            self.admission.has_few_requests && has_reuse,
        )
    }

    /// Builds a refusal with a random retry-after, so that clients don't retry at the same time.
    pub(super) fn refusal(&mut self, id: RequestId) -> Action {
        let longest = self.settings.limits.max_retry_after as f64;
        Action::Refuse { id, retry_after: (self.random.next_unit() * longest) as Nanos }
    }

    /// Records a late first token if the request has been sent and is still waiting at its latency target.
    pub(super) fn miss_latency_target(&mut self, now: Nanos, id: RequestId) {
        let active = self.requests.active.get(&id);
        if active.is_some_and(|active| active.is_waiting() && !active.attempts.is_empty()) {
            self.admission.rate.record(now, false);
        }
    }
}
