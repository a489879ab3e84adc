//! Real servers: their steps, their reports, their deaths, and what cold ones are sent.

use super::{ANSWER_COST, Distribution, Fleet, Normal, SECOND, StepEvent, Verdict, What, nanos};

impl Fleet<'_> {
    pub(super) fn refresh_reports(&mut self) {
        let Some(reports) = &self.x.replicas.reports else { return };
        let period = nanos(reports.period);
        self.after(period, What::Reports);
        let noise = Normal::new(1.0, reports.noise).ok();
        for r in 0..self.replicas.len() {
            let busy = self.replicas[r].busy_time(self.now) as f64 / period as f64;
            // Busy steps that are half empty are half the use.
            let util = busy * self.replicas[r].filled();
            let noisy = util * noise.map_or(1.0, |d| d.sample(&mut self.chances));
            let shown = &mut self.reports[r];
            shown.push_back((self.now + nanos(reports.delay), noisy.clamp(0.0, 1.0)));
            while shown.get(1).is_some_and(|(at, _)| *at <= self.now) {
                shown.pop_front();
            }
        }
    }

    pub(super) fn report(&self, r: usize) -> Vec<f64> {
        let shown = self.reports[r].iter().rev().find(|(at, _)| *at <= self.now);
        shown.map_or(Vec::new(), |(_, util)| vec![*util, 0.0])
    }

    /// Breaks off what a real server had in hand.
    pub(super) fn die(&mut self, r: usize) {
        for (request, attempt) in self.replicas[r].die() {
            let Some(flight) = &self.flights[request as usize] else { continue };
            let way = self.way(flight.gateway, r);
            self.after(way, What::Over { request, attempt, verdict: Verdict::Reset, kept: None });
        }
        self.idle.retain(|(_, replica), _| *replica != r);
        self.note(r);
    }

    /// How much a cold real server is sent in the site's span, beside what makes it fall.
    pub(super) fn cold_send(&mut self, r: usize, cost: f64) {
        let replica = &self.replicas[r];
        let warmth = replica.warmth(self.now, &self.x.replicas);
        if warmth >= 1.0 || !replica.alive {
            return;
        }
        let span = nanos(self.x.replicas.fall);
        let sent = &mut self.sent_to_cold[r];
        sent.push_back((self.now, cost));
        while sent.front().is_some_and(|(at, _)| at + span <= self.now) {
            sent.pop_front();
        }
        // Its part of what the tenants' quotas ask of the fleet counts as what it can do, by its size.
        let quota: f64 = self.x.tenants.values().map(|t| t.quota).sum();
        let size: f64 = self.replicas.iter().filter(|r| r.alive).map(|r| r.size).sum();
        let mean = |c: &crate::experiment::Class| {
            f64::from(c.beginning[0] + c.beginning[1] + c.adds[0] + c.adds[1]) / 2.0 + ANSWER_COST
        };
        let each: f64 = self.x.classes.values().map(|c| c.share * mean(c)).sum();
        let able = quota * each * replica.size / size.max(f64::MIN_POSITIVE) * warmth;
        if able > 0.0 && self.now >= nanos(self.x.warmup) {
            let most = self.x.replicas.fall_multiple * able * (span as f64 / SECOND as f64);
            let sum: f64 = sent.iter().map(|(_, cost)| cost).sum();
            self.record.cold_worst = self.record.cold_worst.max(sum / most);
        }
    }

    pub(super) fn note(&mut self, r: usize) {
        let replica = &self.replicas[r];
        self.record.state(self.now, r, replica.alive, replica.in_hand(), replica.queued());
    }

    pub(super) fn wake(&mut self, r: usize) {
        let all = &self.x.replicas;
        if let Some(took) = self.replicas[r].begin(self.now, all) {
            let life = self.replicas[r].life;
            self.after(took, What::Step { replica: r, life });
            self.note(r);
        }
    }

    pub(super) fn step(&mut self, r: usize, life: u32) {
        if self.replicas[r].life != life {
            return;
        }
        let mut events = std::mem::take(&mut self.step_events);
        self.replicas[r].end(self.now, &mut events);
        for event in events.drain(..) {
            let (StepEvent::First(id) | StepEvent::Done(id, _)) = event;
            let Some(flight) = &self.flights[id.0 as usize] else { continue };
            let way = self.way(flight.gateway, r);
            match event {
                StepEvent::First((request, attempt)) => self.after(way, What::Begin { request, attempt }),
                StepEvent::Done((request, attempt), kept) => {
                    let (verdict, kept) = (Verdict::Ok, Some(kept));
                    self.after(way, What::Over { request, attempt, verdict, kept });
                }
            }
        }
        self.step_events = events;
        self.note(r);
        self.wake(r);
    }
}
