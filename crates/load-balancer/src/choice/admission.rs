//! Which requests are let in: by what is served in time, and by the tenants' shares.

use super::{Gateway, LOOSE, Live, Purpose, SECOND, SPREAD, WELL, mix, unit};
use crate::demand::{ANSWER_COST, full_cost};
use crate::types::{Action, Nanos, Request, RequestId};

/// Admission: the share of sessions let in falls by this time constant while first tokens are late and
/// rises more slowly, which settles where about one in eight is late. A few are always let in, to learn.
const ADMIT_PACE: f64 = 2.0;
const ADMIT_STEP: f64 = 0.25;
const ADMIT_RISE: f64 = 0.7;
const ADMIT_LEAST: f64 = 0.05;
/// Time constant of what a tenant asks for, against its share.
const SHARE_MEMORY: f64 = 1.5;

impl Gateway {
    pub(super) fn accept(&mut self, now: Nanos, request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        if request.class >= self.settings.classes.len() || self.live.contains_key(&id) {
            return;
        }
        let expected = f64::from(request.prompt) * (1.0 - self.kept[request.class]) + ANSWER_COST;
        self.demand.offer(now, expected);
        // What can be moved to where the walk ends needs no further owners.
        let movable = self.settings.movable;
        let alike = self.short_sighted && self.turns[request.class] >= LOOSE;
        let owners = if movable { 0.0 } else { self.demand.owners(now, &request, expected, alike) };
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
    pub(super) fn share(&mut self, now: Nanos, request: &Request) -> f64 {
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

    /// Guards against an overload in which all are served late: learns from each first token, in time or
    /// not, how much may be let in. Rare ones weigh more, so that a gateway with little traffic keeps up.
    pub(super) fn judge(&mut self, now: Nanos, timely: bool) {
        let gone = now.saturating_sub(self.judged_at) as f64 / SECOND as f64;
        let step = (gone / ADMIT_PACE).clamp(0.01, ADMIT_STEP);
        self.judged_at = now;
        if timely {
            self.admit = (self.admit + step * ADMIT_RISE).min(1.0);
        } else {
            self.admit = (self.admit * (1.0 - step)).max(ADMIT_LEAST);
        }
    }

    pub(super) fn missed(&mut self, now: Nanos, id: RequestId) {
        if self.live.get(&id).is_some_and(|l| l.waits() && !l.attempts.is_empty()) {
            self.judge(now, false);
        }
    }
}
