//! The attempts of a request: where and when a further one may go, and what its outcomes lead to.

use super::walk::Group;
use super::{Attempt, Fate, Gateway, Live, Purpose, SECOND, WELL};
use crate::demand::{ANSWER_COST, full_cost};
use crate::record::{self, Record};
use crate::types::{Action, Effect, Event, Nanos, RequestId, Scope, Verdict};

const SLOW_PART: f64 = 0.65; // of the aim, after which an attempt without a first token is looked at again

impl Gateway {
    /// Where a further attempt may go and up to when, if it is allowed at all.
    pub(super) fn may_send(&self, now: Nanos, live: &Live) -> Option<(Group, Nanos)> {
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
    pub(super) fn slow(&mut self, now: Nanos, id: RequestId, actions: &mut Vec<Action>) {
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
            self.judged(now, r, 1.0 + answered * silence / record::MEMORY);
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

    pub(super) fn send(
        &mut self,
        now: Nanos,
        id: RequestId,
        r: usize,
        until: Nanos,
        actions: &mut Vec<Action>,
    ) {
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

    pub(super) fn may_refuse(&self, live: &Live) -> bool {
        match self.settings.classes[live.request.class].effect {
            Effect::Safe | Effect::Keyed { scope: Scope::All, .. } => true,
            _ => live.first_run().is_none(),
        }
    }

    /// Ends a request that can't be served: with a refusal where that is true, else with a failure.
    pub(super) fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(live) = self.live.get(&id).filter(|l| !l.finished) else { return };
        let answer = if self.may_refuse(live) {
            Action::Refuse { id, wait: (self.chance() * self.settings.limits.retry_after as f64) as Nanos }
        } else {
            Action::Fail(id)
        };
        self.finish(id, Some(answer), actions);
    }

    pub(super) fn overdue(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        // Guards against a request without an answer: held ones and lost outcomes end here.
        match self.live.get(&id).filter(|l| l.waits()).map(|l| l.first_run().is_none()) {
            // Nobody has run it, or is about to: that is a refusal, however late it comes.
            Some(true) => self.give_up(id, actions),
            Some(false) => self.finish(id, Some(Action::Fail(id)), actions),
            None => {}
        }
    }

    /// Marks a request as answered, calls off what is still out and forgets it once nothing is.
    pub(super) fn finish(&mut self, id: RequestId, answer: Option<Action>, actions: &mut Vec<Action>) {
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

    pub(super) fn outcome(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
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
        self.demand.serve(now, served);
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
                self.judged(now, r, 1.0);
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
}
