//! Gateways: what their policies are told, and what comes of what they order.

use super::{
    ANSWER_COST, Action, Arc, Attempt, End, Event, Fleet, Job, ListKind, MILLI, Member, Nanos, Policy,
    ReplicaId, RequestId, RngExt, SettingsError, Stage, Verdict, What, nanos,
};

impl Fleet<'_> {
    /// Hands an event to a gateway's policy and carries out what it orders.
    pub(super) fn tell(&mut self, gateway: usize, event: Event) {
        let Some(policy) = self.gateways[gateway].policy.as_mut() else { return };
        self.record.events += 1;
        let mut actions = std::mem::take(&mut self.actions);
        policy.handle(self.now, event, &mut actions);
        for action in actions.drain(..) {
            self.act(gateway, action);
        }
        self.actions = actions;
    }

    pub(super) fn act(&mut self, gateway: usize, action: Action) {
        let epoch = self.gateways[gateway].epoch;
        match action {
            Action::Send { id, replica, timeout, .. } => self.send(gateway, id.0, &replica, timeout),
            Action::Refuse { id, retry_after } => self.answer(id.0, End::Refused, retry_after),
            Action::Fail(id) => self.answer(id.0, End::Failed, 0),
            Action::Cancel { id, attempt } => {
                if self.stage(id.0, attempt) == Some(Stage::Out) {
                    self.call_off(id.0, attempt);
                }
            }
            Action::Timer { after, token } => self.after(after, What::Timer { gateway, epoch, token }),
            Action::Watch | Action::Fetch => self.list_call(gateway),
            Action::Probe(_) | Action::SendToPeer { .. } => {}
        }
    }

    pub(super) fn way(&self, gateway: usize, replica: usize) -> Nanos {
        let same = self.gateways[gateway].zone == self.replicas[replica].zone;
        nanos(if same { self.x.network.same } else { self.x.network.cross })
    }

    pub(super) fn send(&mut self, gateway: usize, request: u64, replica: &ReplicaId, timeout: Nanos) {
        let Some(&r) = self.index.get(replica) else { return };
        let way = self.way(gateway, r);
        let (now, life) = (self.now, self.replicas[r].life);
        let Some(flight) = self.flights[request as usize].as_mut() else { return };
        let attempt = flight.attempts.len() as u32;
        flight.attempts.push(Attempt { replica: r, life, stage: Stage::Out, sent: now });
        let client = &self.clients[flight.client];
        let (arrived, cost) = (client.arrived, f64::from(client.prompt) + ANSWER_COST);
        self.record.attempt(now, arrived, r);
        if let Some((held, _)) = self.truth.borrow_mut().get_mut(&*replica.0) {
            *held += 1.0;
        }
        self.cold_send(r, cost);
        if !self.replicas[r].alive {
            // The machine answers for its process that nobody listens.
            return self.after(
                2 * way,
                What::Over { request, attempt, verdict: Verdict::NoConnection, kept: None },
            );
        }
        let idle = self.idle.get_mut(&(gateway, r)).and_then(|idle| {
            idle.retain(|until| *until > now);
            idle.pop()
        });
        let set_up = match idle {
            Some(_) => 0,
            // A machine that has vanished says nothing: no new connection comes up.
            None if self.replicas[r].silent => {
                let wait = nanos(self.x.network.connect_timeout);
                return self.after(
                    wait,
                    What::Over { request, attempt, verdict: Verdict::NoConnection, kept: None },
                );
            }
            None => {
                self.record.connection(r);
                2 * way + nanos(self.x.network.handshake)
            }
        };
        self.after(set_up + way, What::Reach { request, attempt });
        self.after(timeout, What::TimeOut { request, attempt });
    }

    /// A final answer without a stream.
    pub(super) fn answer(&mut self, request: u64, end: End, wait: Nanos) {
        let Some(flight) = self.flights[request as usize].as_mut() else { return };
        if std::mem::replace(&mut flight.answered, true) {
            return;
        }
        let (client, begun) = (flight.client, flight.begun.is_some());
        if !begun {
            let arrived = self.clients[client].arrived;
            if flight.attempts.len() >= self.x.allow.attempts as usize {
                self.record.spent(arrived);
            }
            if end == End::Refused {
                let all = &self.x.replicas;
                let room = (0..self.replicas.len()).filter(|r| self.replicas[*r].has_room(self.now, all));
                self.record.turned_down(self.now, arrived, room);
            }
            self.try_again(client, end, wait);
        }
        self.tidy(request);
    }

    pub(super) fn stage(&self, request: u64, attempt: u32) -> Option<Stage> {
        let flight = self.flights.get(request as usize)?.as_ref()?;
        flight.attempts.get(attempt as usize).map(|a| a.stage)
    }

    /// Ends an attempt at this side; its real server hears of it after the way there.
    pub(super) fn let_go(&mut self, request: u64, attempt: u32) {
        let Some(flight) = self.flights[request as usize].as_mut() else { return };
        let Some(a) = flight.attempts.get_mut(attempt as usize) else { return };
        if a.stage == Stage::Over {
            return;
        }
        a.stage = Stage::Over;
        let (replica, life, gateway) = (a.replica, a.life, flight.gateway);
        self.relieve(replica);
        let way = self.way(gateway, replica);
        self.after(way, What::Drop { replica, life, request, attempt });
    }

    /// Lets an attempt go; its outcome comes as an event of its own, like all others.
    pub(super) fn call_off(&mut self, request: u64, attempt: u32) {
        self.let_go(request, attempt);
        if let Some(flight) = self.flights[request as usize].as_mut() {
            flight.due += 1;
        }
        self.after(0, What::Over { request, attempt, verdict: Verdict::Cancelled, kept: None });
    }

    pub(super) fn relieve(&mut self, replica: usize) {
        if let Some((held, _)) = self.truth.borrow_mut().get_mut(&self.replicas[replica].name) {
            *held -= 1.0;
        }
    }

    pub(super) fn reach(&mut self, request: u64, attempt: u32) {
        let Some(flight) = self.flights[request as usize].as_ref() else { return };
        let a = &flight.attempts[attempt as usize];
        let (r, life, gateway) = (a.replica, a.life, flight.gateway);
        if a.stage != Stage::Out {
            return;
        }
        let client = &self.clients[flight.client];
        let job = Job {
            id: (request, attempt),
            beginning: (client.class, client.beginning),
            session: client.session,
            prompt: client.prompt,
            beginning_tokens: client.beginning_tokens,
            answer: client.answer,
        };
        if !self.replicas[r].alive || self.replicas[r].life != life {
            let way = self.way(gateway, r);
            return self.after(way, What::Over { request, attempt, verdict: Verdict::Reset, kept: None });
        }
        self.record.arrival(self.now, r);
        let part = self.replicas[r].errors;
        if part > 0.0 && self.chances.random::<f64>() < part {
            let wait = self.way(gateway, r) + MILLI;
            return self.after(wait, What::Over { request, attempt, verdict: Verdict::Error, kept: None });
        }
        self.replicas[r].take(job);
        self.note(r);
        self.wake(r);
    }

    pub(super) fn begin(&mut self, request: u64, attempt: u32) {
        if self.stage(request, attempt) != Some(Stage::Out) {
            return;
        }
        let now = self.now;
        let Some(flight) = self.flights[request as usize].as_mut() else { return };
        if flight.begun.is_some() || flight.answered {
            // Another copy was first, or nobody waits any more.
            return self.call_off(request, attempt);
        }
        flight.begun = Some(attempt);
        let a = &mut flight.attempts[attempt as usize];
        a.stage = Stage::Begun;
        let (elapsed, gateway) = (now - a.sent, flight.gateway);
        let client = &mut self.clients[flight.client];
        client.first_token = client.first_token.or(Some(now));
        self.tell(gateway, Event::FirstToken { id: RequestId(request), attempt, elapsed });
    }

    /// An attempt has ended: the policy hears of it, and of its answer the client.
    pub(super) fn over(&mut self, request: u64, attempt: u32, verdict: Verdict, kept: Option<u32>) {
        let now = self.now;
        let Some(flight) = self.flights[request as usize].as_mut() else { return };
        let Some(a) = flight.attempts.get_mut(attempt as usize) else { return };
        let stage = std::mem::replace(&mut a.stage, Stage::Over);
        // Let go before: only the outcome was due. Otherwise it can't have ended twice.
        let let_go = matches!(verdict, Verdict::Cancelled | Verdict::TimedOut);
        flight.due -= u32::from(verdict == Verdict::Cancelled);
        if stage == Stage::Over && !let_go {
            return;
        }
        let (r, elapsed, gateway, client) = (a.replica, now - a.sent, flight.gateway, flight.client);
        let begun = flight.begun == Some(attempt);
        let ended = begun && matches!(verdict, Verdict::Ok | Verdict::Reset | Verdict::Error);
        flight.answered |= ended;
        if stage != Stage::Over {
            self.relieve(r);
        }
        if ended && verdict == Verdict::Ok {
            let keep = now + nanos(self.x.network.idle);
            self.idle.entry((gateway, r)).or_default().push(keep);
            let (arrived, prompt) = (self.clients[client].arrived, self.clients[client].prompt);
            self.record.served(arrived, kept.unwrap_or(0), prompt);
            self.served(client);
        } else if ended {
            self.close(client, End::Broken, None);
        }
        if verdict == Verdict::Error {
            self.record.error(now, self.clients[client].arrived, r);
        }
        let report = match verdict {
            Verdict::Ok | Verdict::Error => self.report(r),
            _ => Vec::new(),
        };
        let id = RequestId(request);
        self.tell(
            gateway,
            Event::Outcome { id, attempt, verdict, ended, elapsed, cached_tokens: kept, report },
        );
        self.tidy(request);
    }

    /// Forgets a try once nothing of it is left.
    pub(super) fn tidy(&mut self, request: u64) {
        let Some(flight) = &self.flights[request as usize] else { return };
        if flight.answered && flight.attempts.iter().all(|a| a.stage == Stage::Over) {
            let open = &mut self.gateways[flight.gateway].open;
            open.retain(|r| *r != request);
            if flight.due == 0 {
                self.flights[request as usize] = None;
            }
        }
    }

    pub(super) fn start(&mut self, g: usize) -> Result<(), SettingsError> {
        let salt = self.salts.random();
        let policy = Policy::new(self.kind, self.x.settings(g as u32), salt, &self.truth)?;
        let gateway = &mut self.gateways[g];
        gateway.policy = Some(policy);
        gateway.epoch += 1;
        (gateway.started, gateway.watches, gateway.has_list, gateway.call) = (self.now, false, false, None);
        let members: Arc<[Member]> = gateway.known.values().cloned().collect();
        let notice = nanos(self.x.gateways.notice);
        if !gateway.believed {
            self.after(notice, What::Notice { gateway: g, up: true });
        }
        self.tell(g, Event::List { kind: ListKind::Persisted, members });
        Ok(())
    }

    pub(super) fn kill(&mut self, g: usize) {
        let gateway = &mut self.gateways[g];
        gateway.policy = None;
        gateway.epoch += 1;
        (gateway.watches, gateway.call) = (false, None);
        let open = std::mem::take(&mut gateway.open);
        self.idle.retain(|(gateway, _), _| *gateway != g);
        for request in open {
            let Some(flight) = self.flights[request as usize].as_ref() else { continue };
            let (client, begun) = (flight.client, flight.begun.is_some());
            for attempt in 0..flight.attempts.len() as u32 {
                self.let_go(request, attempt);
            }
            self.flights[request as usize] = None;
            if begun {
                self.close(client, End::Broken, None);
            } else {
                self.try_again(client, End::Failed, 0);
            }
        }
        self.after(nanos(self.x.gateways.notice), What::Notice { gateway: g, up: false });
    }
}
