//! Sessions, clients and their tries, and the layer that spreads them over the gateways.

use super::{
    ClassIndex, Client, Distribution, End, Event, Exp, Fleet, Flight, GatewayAt, MILLI, Nanos, Pcg64Mcg,
    Request, RequestId, RngExt, SECOND, SLACK, Session, TenantIndex, What, Zipf, drawn, nanos, source,
};

impl Fleet<'_> {
    /// Sessions begin by chance (Poisson); a phase thins out what its most would bring.
    pub(super) fn session(&mut self) {
        let x = self.x;
        let turns: f64 = x.classes.values().map(|c| c.share * c.turns).sum();
        let most = x.factor_most();
        let rate = x.load.rate / turns * most;
        let wait = Exp::new(rate).map_or(1.0, |d| d.sample(&mut self.arrivals));
        self.after((wait * SECOND as f64) as Nanos, What::Session);
        if self.arrivals.random::<f64>() * most > x.factor_at(self.now) {
            return;
        }
        let class = drawn(&mut self.arrivals, x.classes.values().map(|c| c.share));
        let Some(of) = x.classes.values().nth(class) else { return };
        let tenant =
            (!x.tenants.is_empty()).then(|| drawn(&mut self.arrivals, x.tenants.values().map(|t| t.share)));
        let rank =
            Zipf::new(f64::from(of.beginnings), of.zipf).map_or(1.0, |d| d.sample(&mut self.arrivals));
        self.sessions += 1;
        // A beginning is as long whoever asks for it.
        let beginning = rank as u32;
        let mut length = source(x.seed ^ u64::from(beginning) << 8, 100 + class as u64);
        let [least, most] = of.beginning;
        let zone = self.arrivals.random_range(0..x.gateways.zones);
        let beginning_tokens = length.random_range(least..=most);
        self.turn(Session {
            class,
            tenant,
            zone,
            number: self.sessions,
            beginning,
            beginning_tokens,
            context: beginning_tokens,
        });
    }

    pub(super) fn turn(&mut self, mut session: Session) {
        let Some(of) = self.x.classes.values().nth(session.class) else { return };
        let span = |rng: &mut Pcg64Mcg, [least, most]: [u32; 2]| rng.random_range(least..=most);
        let prompt = session.context + span(&mut self.arrivals, of.adds);
        let answer = span(&mut self.arrivals, of.answer);
        let client = self.clients.len();
        self.clients.push(Client {
            class: session.class,
            tenant: session.tenant,
            zone: session.zone,
            session: session.number,
            beginning: session.beginning,
            beginning_tokens: session.beginning_tokens,
            prompt,
            answer,
            arrived: self.now,
            deadline: self.now + nanos(of.deadline),
            tries: 0,
            first_token: None,
            done: false,
        });
        session.context = prompt + answer;
        let (stop, think) = (1.0 / of.turns, self.x.load.think);
        if self.arrivals.random::<f64>() >= stop {
            let wait = Exp::new(1.0).map_or(1.0, |d| d.sample(&mut self.arrivals));
            self.after((wait * nanos(think) as f64) as Nanos, What::Turn(Box::new(session)));
        }
        self.record.first_try(self.now);
        self.client_try(client);
    }

    pub(super) fn client_try(&mut self, n: usize) {
        let client = &mut self.clients[n];
        if client.done {
            return;
        }
        client.tries += 1;
        let (zone, arrived, class, repeat) = (client.zone, client.arrived, client.class, client.tries > 1);
        let left = client.deadline.saturating_sub(self.now);
        self.record.client_try(arrived);
        let Some(of) = self.x.classes.values().nth(class) else { return };
        let own = (nanos(of.deadline) as f64 * self.x.clients.try_share) as Nanos;
        let expires_in = own.min(left);
        let Some(gateway) = self.front_picks(zone) else { return self.try_again(n, End::Failed, 0) };
        if self.gateways[gateway].policy.is_none() {
            // The layer before the gateways does not know yet.
            return self.try_again(n, End::Failed, 0);
        }
        let request = self.flights.len() as u64;
        let epoch = self.gateways[gateway].epoch;
        self.flights.push(Some(Flight {
            client: n,
            gateway,
            epoch,
            attempts: Vec::new(),
            begun: None,
            answered: false,
            due: 0,
        }));
        self.gateways[gateway].open.push(request);
        self.after(expires_in + SLACK, What::GiveUp(request));
        let client = &self.clients[n];
        let asked = Request {
            id: RequestId(request),
            expires_in,
            class: ClassIndex(class),
            tenant: client.tenant.map(TenantIndex),
            prefix: Some((class as u64 + 1) << 32 | u64::from(client.beginning)),
            session: Some(client.session),
            prompt_tokens: client.prompt,
            prefix_tokens: client.beginning_tokens,
            max_output_tokens: client.answer,
            is_retry: repeat,
        };
        self.tell(gateway, Event::Request(asked));
    }

    /// A gateway of the client's zone that the layer before them holds for alive, by their parts of the traffic.
    pub(super) fn front_picks(&mut self, zone: u16) -> Option<usize> {
        let there = |g: &GatewayAt| g.believed && g.zone == zone;
        let any = self.gateways.iter().any(there);
        let fits = |g: &GatewayAt| g.believed && (!any || g.zone == zone);
        let able: Vec<usize> = (0..self.gateways.len()).filter(|n| fits(&self.gateways[*n])).collect();
        let at = drawn(&mut self.front, able.iter().map(|n| self.gateways[*n].weight));
        able.get(at).copied()
    }

    /// A try has come to nothing: the client comes again, or has had enough.
    pub(super) fn try_again(&mut self, n: usize, end: End, told: Nanos) {
        let honours = self.front.random::<f64>() < self.x.clients.honour;
        let client = &mut self.clients[n];
        if client.done {
            return;
        }
        let wait = if honours && told > 0 { told } else { nanos(self.x.clients.backoff) };
        if client.tries > self.x.clients.retries || self.now + wait >= client.deadline {
            return self.close(n, end, None);
        }
        // Even "at once" takes a client a moment.
        self.after(wait.max(MILLI), What::Try(n));
    }

    pub(super) fn give_up(&mut self, request: u64) {
        let Some(flight) = self.flights[request as usize].as_mut() else { return };
        if flight.answered || flight.begun.is_some() {
            return;
        }
        flight.answered = true;
        let (client, gateway, epoch) = (flight.client, flight.gateway, flight.epoch);
        if self.gateways[gateway].epoch == epoch {
            self.tell(gateway, Event::Expired(RequestId(request)));
        }
        self.try_again(client, End::Failed, 0);
        self.tidy(request);
    }

    pub(super) fn served(&mut self, n: usize) {
        let client = &self.clients[n];
        let Some(of) = self.x.classes.values().nth(client.class) else { return };
        let aim = nanos(of.aim) + nanos(of.aim_per_1000) / 1000 * Nanos::from(client.prompt);
        let wait = client.first_token.map(|at| at - client.arrived);
        let end = if wait.is_some_and(|w| w <= aim) { End::InTime } else { End::Late };
        self.close(n, end, wait);
    }

    /// A client's request has come to its end, the first time that this is said.
    pub(super) fn close(&mut self, n: usize, end: End, wait: Option<Nanos>) {
        let client = &mut self.clients[n];
        if !std::mem::replace(&mut client.done, true) {
            self.record.end(client.arrived, client.class, end, wait);
        }
    }
}
