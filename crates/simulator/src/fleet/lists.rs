//! The list service: calls one after another, and changes for those who watch.

use super::{Arc, BTreeMap, Event, Fleet, ListKind, Member, Nanos, Phase, SECOND, What, nanos};

impl Fleet<'_> {
    pub(super) fn list_call(&mut self, gateway: usize) {
        self.last_call += 1;
        self.record.list_call();
        let call = self.last_call;
        let at = &mut self.gateways[gateway];
        at.call = Some(call);
        let epoch = at.epoch;
        // Each call before it takes its time.
        let wait = self.list_work().saturating_mul(self.calls.len() as u64 + 1);
        if let Some(most) = self.x.list.sheds_after.map(nanos).filter(|most| wait > *most) {
            return self.after(0, What::ListRefused { gateway, epoch, call, wait: most });
        }
        if self.now >= self.list_away_until {
            self.calls.push_back((gateway, epoch, call));
            if self.calls.len() == 1 {
                self.after(self.list_work(), What::ListServed);
            }
        }
        self.after(nanos(self.x.list.timeout), What::ListTimeOut { gateway, epoch, call });
    }

    pub(super) fn list_work(&self) -> Nanos {
        (SECOND as f64 / self.x.list.calls_per_s) as Nanos
    }

    pub(super) fn list_served(&mut self) {
        let Some((g, epoch, call)) = self.calls.pop_front() else { return };
        if !self.calls.is_empty() {
            self.after(self.list_work(), What::ListServed);
        }
        let gateway = &mut self.gateways[g];
        let away = self.now < self.list_away_until;
        if away || gateway.epoch != epoch || gateway.call != Some(call) {
            // It has given up, or is not there any more; the work was done all the same. Or the answer is lost.
            return;
        }
        (gateway.call, gateway.watches) = (None, true);
        let members: Arc<[Member]> =
            self.members.iter().filter(|m| m.phase != Phase::Gone).cloned().collect();
        self.after(0, What::ListNews { gateway: g, epoch, kind: ListKind::Complete, members });
    }

    pub(super) fn list_timed_out(&mut self, g: usize, epoch: u32, call: u64) {
        let gateway = &mut self.gateways[g];
        if gateway.epoch == epoch && gateway.call == Some(call) {
            gateway.call = None;
            self.record.list_failed += 1;
            self.tell(g, Event::List { kind: ListKind::Failed, members: Arc::from([]) });
        }
    }

    pub(super) fn list_news(&mut self, g: usize, epoch: u32, kind: ListKind, members: Arc<[Member]>) {
        let gateway = &mut self.gateways[g];
        if gateway.epoch != epoch {
            return;
        }
        if kind == ListKind::Complete {
            gateway.known.clear();
            if !std::mem::replace(&mut gateway.has_list, true) {
                self.record.list_waits.push(self.now - gateway.started);
            }
        }
        for member in members.iter() {
            if let Some(&r) = self.index.get(&member.id) {
                gateway.known.insert(r, member.clone());
            }
        }
        self.tell(g, Event::List { kind, members });
    }

    /// What has become known since the last tick goes to all that watch.
    pub(super) fn list_tick(&mut self) {
        self.after(nanos(self.x.list.period), What::ListTick);
        let now = self.now;
        if now < self.list_away_until {
            // What is due waits for its return.
            return;
        }
        if self.x.list.push {
            self.push_whole();
        }
        let mut due: Vec<_> = self.pending.extract_if(.., |(at, ..)| *at <= now).collect();
        due.sort_by_key(|(at, r, ..)| (*at, *r));
        let mut changed = BTreeMap::new();
        for (_, r, phase, started) in due {
            let member = &mut self.members[r];
            (member.phase, member.started) = (phase, started);
            changed.insert(r, member.clone());
        }
        if changed.is_empty() {
            return;
        }
        let members: Arc<[Member]> = changed.into_values().collect();
        let spread = nanos(self.x.list.spread);
        for g in 0..self.gateways.len() {
            if self.gateways[g].watches {
                let (wait, epoch) = (self.up_to(spread), self.gateways[g].epoch);
                let (kind, members) = (ListKind::Changes, Arc::clone(&members));
                self.after(wait, What::ListNews { gateway: g, epoch, kind, members });
            }
        }
    }

    /// The whole list to each gateway that has started since the last tick, unasked.
    fn push_whole(&mut self) {
        let there = self.members.iter().filter(|m| m.phase != Phase::Gone);
        let members: Arc<[Member]> = there.cloned().collect();
        for g in 0..self.gateways.len() {
            let gateway = &mut self.gateways[g];
            if gateway.policy.is_some() && !std::mem::replace(&mut gateway.watches, true) {
                let (epoch, members) = (gateway.epoch, Arc::clone(&members));
                self.after(0, What::ListNews { gateway: g, epoch, kind: ListKind::Complete, members });
            }
        }
    }

    /// A change is known after `wait`, or as late as the experiment says. What was not yet known by then of the same
    /// real server is out of date and never will be.
    pub(super) fn publish(&mut self, wait: Nanos, r: usize, phase: Phase, started: Option<Nanos>) {
        let wait = match &self.x.list.late {
            Some(late) => nanos(late.least) + self.up_to(nanos(late.most) - nanos(late.least)),
            None => wait,
        };
        let at = self.now + wait;
        self.pending.retain(|(due, of, ..)| *of != r || *due < at);
        self.pending.push((at, r, phase, started));
    }
}
