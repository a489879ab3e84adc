//! A fleet in virtual time: gateways with their policies, emulated real servers, a list service and clients.
//!
//! All that happens is an event in one queue, ordered by its time and then by when it was put there, so a run is
//! the same from the same seed, to the byte. Nothing here decides where a request goes.

use std::cell::RefCell;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;

use rand::RngExt;
use rand_distr::{Distribution, Exp, LogNormal, Normal, Zipf};
use rand_pcg::Pcg64Mcg;
use tulipridge::types::*;

use crate::chance::{drawn, source};
use crate::experiment::{Experiment, Fault, FaultKind, Kind, nanos};
use crate::policy::{Policy, PolicyKind, Truth};
use crate::record::{End, Figures, Record, WINDOW};
use crate::replica::{Job, MILLI, News, Replica, SECOND};

/// A client gives up this long after its time, so that an answer in time is not missed.
const SLACK: Nanos = 8 * MILLI;
/// A real server that drains stays for this long at the least.
const DRAIN: Nanos = SECOND;
/// What an answer costs a real server, as prompt tokens read.
const ANSWER_COST: f64 = 1000.0;

/// What may happen.
enum What {
    /// A session begins.
    Session,
    /// A session's next turn.
    Turn(Box<Session>),
    /// A client tries, for the first time or again.
    Try(usize),
    /// A client gives a try up.
    GiveUp(u64),
    /// A policy's timer.
    Timer { gateway: usize, epoch: u32, token: u64 },
    /// An attempt reaches its real server.
    Reach { request: u64, attempt: u32 },
    /// An attempt's time is over.
    TimeOut { request: u64, attempt: u32 },
    /// A first token reaches the gateway.
    Begin { request: u64, attempt: u32 },
    /// An attempt's end reaches the gateway.
    Over { request: u64, attempt: u32, verdict: Verdict, kept: Option<u32> },
    /// A cancelled attempt's end reaches its real server.
    Drop { replica: usize, life: u32, request: u64, attempt: u32 },
    /// A real server's step ends.
    Step { replica: usize, life: u32 },
    /// The list service is done with the call at its head.
    ListServed,
    /// The list service refuses a call.
    ListRefused { gateway: usize, epoch: u32, call: u64, wait: Nanos },
    /// A caller has waited long enough for the list.
    ListTimeOut { gateway: usize, epoch: u32, call: u64 },
    /// News of the list reach a gateway.
    ListNews { gateway: usize, epoch: u32, kind: ListKind, members: Arc<[Member]> },
    /// Changes are published.
    ListTick,
    /// Load reports are refreshed.
    Reports,
    /// A window of the record ends.
    Window,
    /// A fault begins.
    FaultAt(usize),
    /// A gateway is killed.
    Kill(usize),
    /// A gateway starts.
    Start(usize),
    /// The layer before the gateways sees one gone or back.
    Notice { gateway: usize, up: bool },
    /// A real server changes as a fault has it.
    Change { replica: usize, fault: usize },
    /// A real server that drains goes, if it has nothing in hand.
    Leave(usize),
    /// It changes back, or the new one in its place starts.
    Restore { replica: usize, fault: usize },
}

struct Timed {
    at: Nanos,
    order: u64,
    what: What,
}

impl PartialEq for Timed {
    fn eq(&self, other: &Timed) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Timed {}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Timed) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timed {
    /// The earliest is the greatest, as the heap wants it.
    fn cmp(&self, other: &Timed) -> Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

struct Session {
    class: usize,
    tenant: Option<usize>,
    zone: u16,
    number: u64,
    beginning: u32,
    beginning_tokens: u32,
    context: u32,
}

/// A request as its client sees it, over all its tries.
struct Client {
    class: usize,
    tenant: Option<usize>,
    zone: u16,
    session: u64,
    beginning: u32,
    beginning_tokens: u32,
    prompt: u32,
    answer: u32,
    arrived: Nanos,
    deadline: Nanos,
    tries: u32,
    first_token: Option<Nanos>,
    done: bool,
}

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    Out,
    Begun,
    Over,
}

struct Attempt {
    replica: usize,
    life: u32,
    stage: Stage,
    sent: Nanos,
}

/// A try at a gateway.
struct Flight {
    client: usize,
    gateway: usize,
    epoch: u32,
    attempts: Vec<Attempt>,
    begun: Option<u32>,
    answered: bool,
    /// Outcomes of attempts that were let go, not told yet.
    due: u32,
}

struct GatewayAt {
    zone: u16,
    weight: f64,
    policy: Option<Policy>,
    epoch: u32,
    started: Nanos,
    /// The layer before it sends it clients.
    believed: bool,
    watches: bool,
    has_list: bool,
    call: Option<u64>,
    known: BTreeMap<usize, Member>,
    open: Vec<u64>,
}

/// A fleet with one policy.
pub struct Fleet<'a> {
    x: &'a Experiment,
    kind: PolicyKind,
    now: Nanos,
    order: u64,
    queue: BinaryHeap<Timed>,
    gateways: Vec<GatewayAt>,
    replicas: Vec<Replica>,
    members: Vec<Member>,
    index: BTreeMap<ReplicaId, usize>,
    reports: Vec<VecDeque<(Nanos, f64)>>,
    sent_to_cold: Vec<VecDeque<(Nanos, f64)>>,
    kinds: Vec<Kind>,
    clients: Vec<Client>,
    flights: Vec<Option<Flight>>,
    idle: BTreeMap<(usize, usize), Vec<Nanos>>,
    sessions: u64,
    /// What is published at the next tick after its time.
    pending: Vec<(Nanos, usize, Phase, Option<Nanos>)>,
    calls: VecDeque<(usize, u32, u64)>,
    last_call: u64,
    faults: Vec<(&'a str, &'a Fault)>,
    truth: Truth,
    record: Record,
    arrivals: Pcg64Mcg,
    front: Pcg64Mcg,
    salts: Pcg64Mcg,
    chances: Pcg64Mcg,
    actions: Vec<Action>,
    news: Vec<News>,
}

/// Plays an experiment with one policy.
pub fn play(x: &Experiment, kind: PolicyKind) -> Result<Figures, SettingsError> {
    let mut fleet = Fleet::new(x, kind);
    fleet.run()?;
    Ok(fleet.record.figures(kind.name()))
}

impl<'a> Fleet<'a> {
    fn new(x: &'a Experiment, kind: PolicyKind) -> Fleet<'a> {
        let mut fleet = Fleet {
            x,
            kind,
            now: 0,
            order: 0,
            queue: BinaryHeap::new(),
            gateways: Vec::new(),
            replicas: Vec::new(),
            members: Vec::new(),
            index: BTreeMap::new(),
            reports: Vec::new(),
            sent_to_cold: Vec::new(),
            kinds: x.replicas.kinds.values().cloned().collect(),
            clients: Vec::new(),
            flights: Vec::new(),
            idle: BTreeMap::new(),
            sessions: 0,
            pending: Vec::new(),
            calls: VecDeque::new(),
            last_call: 0,
            faults: x.faults_in_order(),
            truth: Rc::new(RefCell::new(BTreeMap::new())),
            record: Record::new(x),
            arrivals: source(x.seed, 1),
            front: source(x.seed, 2),
            salts: source(x.seed, 3),
            chances: source(x.seed, 4),
            actions: Vec::new(),
            news: Vec::new(),
        };
        let mut sizes = source(x.seed, 5);
        // Whole numbers of each kind, as near to the shares as they come.
        let mut due: Vec<f64> = vec![0.0; fleet.kinds.len()];
        for n in 0..x.replicas.count {
            due.iter_mut().zip(&fleet.kinds).for_each(|(due, kind)| *due += kind.share);
            let most =
                (0..due.len()).max_by(|a, b| due[*a].total_cmp(&due[*b]).then(b.cmp(a))).unwrap_or(0);
            due[most] -= 1.0;
            let skew = Normal::new(1.0f64, 0.06).map_or(1.0, |d| d.sample(&mut sizes)).clamp(0.8, 1.2);
            fleet.add_replica(format!("r{n}"), n as u16 % x.gateways.zones, most as u16, skew, None);
        }
        let mut weights = source(x.seed, 6);
        for n in 0..x.gateways.count {
            let weight = LogNormal::new(0.0, x.gateways.skew).map_or(1.0, |d| d.sample(&mut weights));
            fleet.gateways.push(GatewayAt {
                zone: n as u16 % x.gateways.zones,
                weight,
                policy: None,
                epoch: 0,
                started: 0,
                believed: true,
                watches: false,
                has_list: false,
                call: None,
                known: fleet.members.iter().cloned().enumerate().collect(),
                open: Vec::new(),
            });
        }
        fleet
    }

    fn add_replica(
        &mut self,
        name: String,
        zone: u16,
        kind: u16,
        skew: f64,
        started: Option<Nanos>,
    ) -> usize {
        let of = &self.kinds[usize::from(kind)];
        let mut replica = Replica::new(name.clone(), zone, kind, of, skew);
        replica.started = started;
        let id = ReplicaId::from(name.as_str());
        let member =
            Member { id: id.clone(), units: of.units, zone, kind, cell: 0, phase: Phase::Ready, started };
        let n = self.replicas.len();
        let kind_name = self.x.replicas.kinds.keys().nth(usize::from(kind)).map_or("", String::as_str);
        self.record.server(&name, kind_name, replica.places() as f64, started.is_some());
        self.record.state(self.now, n, true, 0, 0);
        self.truth.borrow_mut().insert(name, (0.0, replica.places() as f64));
        self.replicas.push(replica);
        self.members.push(member);
        self.reports.push(VecDeque::new());
        self.sent_to_cold.push(VecDeque::new());
        self.index.insert(id, n);
        n
    }

    fn after(&mut self, wait: Nanos, what: What) {
        self.order += 1;
        self.queue.push(Timed { at: self.now.saturating_add(wait), order: self.order, what });
    }

    fn run(&mut self) -> Result<(), SettingsError> {
        for gateway in 0..self.gateways.len() {
            let wait = self.up_to(nanos(self.x.gateways.start_within));
            self.after(wait, What::Start(gateway));
        }
        for n in 0..self.faults.len() {
            self.after(nanos(self.x.warmup + self.faults[n].1.at), What::FaultAt(n));
        }
        self.after(0, What::Session);
        self.after(WINDOW, What::Window);
        self.after(nanos(self.x.list.period), What::ListTick);
        self.after(nanos(self.x.replicas.reports.period), What::Reports);
        let end = self.x.end();
        while let Some(next) = self.queue.pop() {
            if next.at > end {
                break;
            }
            self.now = next.at;
            self.happen(next.what)?;
        }
        self.record.without_list =
            self.gateways.iter().filter(|g| g.policy.is_some() && !g.has_list).count();
        // Streams that have begun and are still on their way count by their first token.
        self.now = end;
        for n in 0..self.clients.len() {
            if self.clients[n].first_token.is_some() && !self.clients[n].done {
                self.served(n);
            }
        }
        Ok(())
    }

    fn up_to(&mut self, most: Nanos) -> Nanos {
        if most == 0 { 0 } else { self.chances.random_range(0..most) }
    }

    fn happen(&mut self, what: What) -> Result<(), SettingsError> {
        match what {
            What::Session => self.session(),
            What::Turn(session) => self.turn(*session),
            What::Try(client) => self.client_try(client),
            What::GiveUp(request) => self.give_up(request),
            What::Timer { gateway, epoch, token } => {
                if self.gateways[gateway].epoch == epoch {
                    self.tell(gateway, Event::Timer(token));
                }
            }
            What::Reach { request, attempt } => self.reach(request, attempt),
            What::TimeOut { request, attempt } => {
                if self.stage(request, attempt) == Some(Stage::Out) {
                    self.let_go(request, attempt);
                    self.over(request, attempt, Verdict::TimedOut, None);
                }
            }
            What::Begin { request, attempt } => self.begin(request, attempt),
            What::Over { request, attempt, verdict, kept } => self.over(request, attempt, verdict, kept),
            What::Drop { replica, life, request, attempt } => {
                if self.replicas[replica].life == life
                    && self.replicas[replica].drop_job((request, attempt))
                {
                    self.note(replica);
                }
            }
            What::Step { replica, life } => self.step(replica, life),
            What::ListServed => self.list_served(),
            What::ListTimeOut { gateway, epoch, call } => self.list_timed_out(gateway, epoch, call),
            What::ListRefused { gateway, epoch, call, wait } => {
                if self.gateways[gateway].epoch == epoch {
                    self.tell(gateway, Event::Busy(wait));
                }
                self.list_timed_out(gateway, epoch, call);
            }
            What::ListNews { gateway, epoch, kind, members } => {
                self.list_news(gateway, epoch, kind, members)
            }
            What::ListTick => self.list_tick(),
            What::Reports => self.refresh_reports(),
            What::Window => {
                self.record.window(self.now);
                self.after(WINDOW, What::Window);
            }
            What::FaultAt(n) => self.fault(n),
            What::Kill(gateway) => self.kill(gateway),
            What::Start(gateway) => self.start(gateway)?,
            What::Notice { gateway, up } => self.gateways[gateway].believed = up,
            What::Change { replica, fault } => self.change(replica, fault),
            What::Leave(replica) => self.leave(replica),
            What::Restore { replica, fault } => self.restore(replica, fault),
        }
        Ok(())
    }

    // ---- clients --------------------------------------------------------------------------------------

    /// Sessions begin by chance (Poisson); a phase thins out what its most would bring.
    fn session(&mut self) {
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

    fn turn(&mut self, mut session: Session) {
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

    fn client_try(&mut self, n: usize) {
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
            class,
            tenant: client.tenant,
            prefix: Some((class as u64 + 1) << 32 | u64::from(client.beginning)),
            session: Some(client.session),
            prompt: client.prompt,
            prefix_len: client.beginning_tokens,
            max_answer: client.answer,
            repeat,
        };
        self.tell(gateway, Event::Request(asked));
    }

    /// A gateway of the client's zone that the layer before them holds for alive, by their parts of the traffic.
    fn front_picks(&mut self, zone: u16) -> Option<usize> {
        let there = |g: &GatewayAt| g.believed && g.zone == zone;
        let any = self.gateways.iter().any(there);
        let fits = |g: &GatewayAt| g.believed && (!any || g.zone == zone);
        let able: Vec<usize> = (0..self.gateways.len()).filter(|n| fits(&self.gateways[*n])).collect();
        let at = drawn(&mut self.front, able.iter().map(|n| self.gateways[*n].weight));
        able.get(at).copied()
    }

    /// A try has come to nothing: the client comes again, or has had enough.
    fn try_again(&mut self, n: usize, end: End, told: Nanos) {
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

    fn give_up(&mut self, request: u64) {
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

    fn served(&mut self, n: usize) {
        let client = &self.clients[n];
        let Some(of) = self.x.classes.values().nth(client.class) else { return };
        let aim = nanos(of.aim) + nanos(of.aim_per_1000) / 1000 * Nanos::from(client.prompt);
        let wait = client.first_token.map(|at| at - client.arrived);
        let end = if wait.is_some_and(|w| w <= aim) { End::InTime } else { End::Late };
        self.close(n, end, wait);
    }

    /// A client's request has come to its end, the first time that this is said.
    fn close(&mut self, n: usize, end: End, wait: Option<Nanos>) {
        let client = &mut self.clients[n];
        if !std::mem::replace(&mut client.done, true) {
            self.record.end(client.arrived, client.class, end, wait);
        }
    }

    // ---- gateways -------------------------------------------------------------------------------------

    /// Hands an event to a gateway's policy and carries out what it orders.
    fn tell(&mut self, gateway: usize, event: Event) {
        let Some(policy) = self.gateways[gateway].policy.as_mut() else { return };
        self.record.events += 1;
        let mut actions = std::mem::take(&mut self.actions);
        policy.handle(self.now, event, &mut actions);
        for action in actions.drain(..) {
            self.act(gateway, action);
        }
        self.actions = actions;
    }

    fn act(&mut self, gateway: usize, action: Action) {
        let epoch = self.gateways[gateway].epoch;
        match action {
            Action::Send { id, replica, timeout } => self.send(gateway, id.0, &replica, timeout),
            Action::Refuse { id, wait } => self.answer(id.0, End::Refused, wait),
            Action::Fail(id) => self.answer(id.0, End::Failed, 0),
            Action::Cancel { id, attempt } => {
                if self.stage(id.0, attempt) == Some(Stage::Out) {
                    self.call_off(id.0, attempt);
                }
            }
            Action::Timer { after, token } => self.after(after, What::Timer { gateway, epoch, token }),
            Action::Watch | Action::Fetch => self.list_call(gateway),
            Action::Probe(_) | Action::Tell { .. } => {}
        }
    }

    fn way(&self, gateway: usize, replica: usize) -> Nanos {
        let same = self.gateways[gateway].zone == self.replicas[replica].zone;
        nanos(if same { self.x.network.same } else { self.x.network.cross })
    }

    fn send(&mut self, gateway: usize, request: u64, replica: &ReplicaId, timeout: Nanos) {
        let Some(&r) = self.index.get(replica) else { return };
        let way = self.way(gateway, r);
        let (now, life) = (self.now, self.replicas[r].life);
        let Some(flight) = self.flights[request as usize].as_mut() else { return };
        let attempt = flight.attempts.len() as u32;
        flight.attempts.push(Attempt { replica: r, life, stage: Stage::Out, sent: now });
        let client = &self.clients[flight.client];
        let (arrived, cost) = (client.arrived, f64::from(client.prompt) + ANSWER_COST);
        self.record.attempt(arrived);
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

    /// How much a cold real server is sent in the site's span, beside what makes it fall.
    fn cold_send(&mut self, r: usize, cost: f64) {
        let replica = &self.replicas[r];
        let warmth = replica.warmth(self.now, &self.x.replicas);
        if warmth >= 1.0 || !replica.alive {
            return;
        }
        let span = 3 * SECOND;
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
            let most = 2.5 * able * (span as f64 / SECOND as f64);
            let sum: f64 = sent.iter().map(|(_, cost)| cost).sum();
            self.record.cold_worst = self.record.cold_worst.max(sum / most);
        }
    }

    /// A final answer without a stream.
    fn answer(&mut self, request: u64, end: End, wait: Nanos) {
        let Some(flight) = self.flights[request as usize].as_mut() else { return };
        if std::mem::replace(&mut flight.answered, true) {
            return;
        }
        let (client, begun) = (flight.client, flight.begun.is_some());
        if !begun {
            self.try_again(client, end, wait);
        }
        self.tidy(request);
    }

    fn stage(&self, request: u64, attempt: u32) -> Option<Stage> {
        let flight = self.flights.get(request as usize)?.as_ref()?;
        flight.attempts.get(attempt as usize).map(|a| a.stage)
    }

    /// Ends an attempt at this side; its real server hears of it after the way there.
    fn let_go(&mut self, request: u64, attempt: u32) {
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
    fn call_off(&mut self, request: u64, attempt: u32) {
        self.let_go(request, attempt);
        if let Some(flight) = self.flights[request as usize].as_mut() {
            flight.due += 1;
        }
        self.after(0, What::Over { request, attempt, verdict: Verdict::Cancelled, kept: None });
    }

    fn relieve(&mut self, replica: usize) {
        if let Some((held, _)) = self.truth.borrow_mut().get_mut(&self.replicas[replica].name) {
            *held -= 1.0;
        }
    }

    fn reach(&mut self, request: u64, attempt: u32) {
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
        self.replicas[r].take(job);
        self.note(r);
        self.wake(r);
    }

    fn note(&mut self, r: usize) {
        let replica = &self.replicas[r];
        self.record.state(self.now, r, replica.alive, replica.in_hand(), replica.queued());
    }

    fn wake(&mut self, r: usize) {
        let all = &self.x.replicas;
        if let Some(took) = self.replicas[r].begin(self.now, all) {
            let life = self.replicas[r].life;
            self.after(took, What::Step { replica: r, life });
            self.note(r);
        }
    }

    fn step(&mut self, r: usize, life: u32) {
        if self.replicas[r].life != life {
            return;
        }
        let mut news = std::mem::take(&mut self.news);
        self.replicas[r].end(self.now, &mut news);
        for told in news.drain(..) {
            let (News::First(id) | News::Done(id, _)) = told;
            let Some(flight) = &self.flights[id.0 as usize] else { continue };
            let way = self.way(flight.gateway, r);
            match told {
                News::First((request, attempt)) => self.after(way, What::Begin { request, attempt }),
                News::Done((request, attempt), kept) => {
                    let (verdict, kept) = (Verdict::Ok, Some(kept));
                    self.after(way, What::Over { request, attempt, verdict, kept });
                }
            }
        }
        self.news = news;
        self.note(r);
        self.wake(r);
    }

    fn begin(&mut self, request: u64, attempt: u32) {
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
    fn over(&mut self, request: u64, attempt: u32, verdict: Verdict, kept: Option<u32>) {
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
        let report = match verdict {
            Verdict::Ok | Verdict::Error => self.report(r),
            _ => Vec::new(),
        };
        let id = RequestId(request);
        self.tell(gateway, Event::Outcome { id, attempt, verdict, ended, elapsed, kept, report });
        self.tidy(request);
    }

    /// Forgets a try once nothing of it is left.
    fn tidy(&mut self, request: u64) {
        let Some(flight) = &self.flights[request as usize] else { return };
        if flight.answered && flight.attempts.iter().all(|a| a.stage == Stage::Over) {
            let open = &mut self.gateways[flight.gateway].open;
            open.retain(|r| *r != request);
            if flight.due == 0 {
                self.flights[request as usize] = None;
            }
        }
    }

    fn start(&mut self, g: usize) -> Result<(), SettingsError> {
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

    fn kill(&mut self, g: usize) {
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

    // ---- the list service -----------------------------------------------------------------------------

    fn list_call(&mut self, gateway: usize) {
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
        self.calls.push_back((gateway, epoch, call));
        if self.calls.len() == 1 {
            self.after(self.list_work(), What::ListServed);
        }
        self.after(nanos(self.x.list.timeout), What::ListTimeOut { gateway, epoch, call });
    }

    fn list_work(&self) -> Nanos {
        (SECOND as f64 / self.x.list.calls_per_s) as Nanos
    }

    fn list_served(&mut self) {
        let Some((g, epoch, call)) = self.calls.pop_front() else { return };
        if !self.calls.is_empty() {
            self.after(self.list_work(), What::ListServed);
        }
        let gateway = &mut self.gateways[g];
        if gateway.epoch != epoch || gateway.call != Some(call) {
            // It has given up, or is not there any more; the work was done all the same.
            return;
        }
        (gateway.call, gateway.watches) = (None, true);
        let members: Arc<[Member]> =
            self.members.iter().filter(|m| m.phase != Phase::Gone).cloned().collect();
        self.after(0, What::ListNews { gateway: g, epoch, kind: ListKind::Whole, members });
    }

    fn list_timed_out(&mut self, g: usize, epoch: u32, call: u64) {
        let gateway = &mut self.gateways[g];
        if gateway.epoch == epoch && gateway.call == Some(call) {
            gateway.call = None;
            self.record.list_failed += 1;
            self.tell(g, Event::List { kind: ListKind::Failed, members: Arc::from([]) });
        }
    }

    fn list_news(&mut self, g: usize, epoch: u32, kind: ListKind, members: Arc<[Member]>) {
        let gateway = &mut self.gateways[g];
        if gateway.epoch != epoch {
            return;
        }
        if kind == ListKind::Whole {
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
    fn list_tick(&mut self) {
        self.after(nanos(self.x.list.period), What::ListTick);
        let now = self.now;
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

    fn publish(&mut self, wait: Nanos, r: usize, phase: Phase, started: Option<Nanos>) {
        self.pending.push((self.now + wait, r, phase, started));
    }

    // ---- real servers ---------------------------------------------------------------------------------

    fn refresh_reports(&mut self) {
        let reports = &self.x.replicas.reports;
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

    fn report(&self, r: usize) -> Vec<f64> {
        let shown = self.reports[r].iter().rev().find(|(at, _)| *at <= self.now);
        shown.map_or(Vec::new(), |(_, util)| vec![*util, 0.0])
    }

    /// Breaks off what a real server had in hand.
    fn die(&mut self, r: usize) {
        for (request, attempt) in self.replicas[r].die() {
            let Some(flight) = &self.flights[request as usize] else { continue };
            let way = self.way(flight.gateway, r);
            self.after(way, What::Over { request, attempt, verdict: Verdict::Reset, kept: None });
        }
        self.idle.retain(|(_, replica), _| *replica != r);
        self.note(r);
    }

    // ---- faults ---------------------------------------------------------------------------------------

    /// Draws whom a fault hits, and when within its time.
    fn fault(&mut self, n: usize) {
        let (_, fault) = self.faults[n];
        let (within, back) = (nanos(fault.within), nanos(fault.back));
        let gateways = fault.kind == FaultKind::RestartGateways;
        let mut hit: Vec<usize> = match gateways {
            true => (0..self.gateways.len()).filter(|g| self.gateways[*g].policy.is_some()).collect(),
            false => (0..self.replicas.len()).filter(|r| self.replicas[*r].alive).collect(),
        };
        let count = (hit.len() as f64 * fault.share).round() as usize;
        for at in 0..count {
            let other = self.chances.random_range(at..hit.len());
            hit.swap(at, other);
        }
        for one in hit.into_iter().take(count) {
            let wait = self.up_to(within);
            if gateways {
                self.after(wait, What::Kill(one));
                self.after(wait + back, What::Start(one));
            } else {
                self.after(wait, What::Change { replica: one, fault: n });
                self.after(wait + back, What::Restore { replica: one, fault: n });
            }
        }
    }

    fn change(&mut self, r: usize, n: usize) {
        let (_, fault) = self.faults[n];
        let notice = nanos(self.x.list.notice);
        match fault.kind {
            FaultKind::KillReplicas => {
                self.die(r);
                self.publish(notice, r, Phase::Gone, None);
            }
            FaultKind::SilenceReplicas => {
                self.replicas[r].silent = true;
                self.publish(notice, r, Phase::Gone, None);
            }
            FaultKind::SlowReplicas => self.replicas[r].slowness = fault.factor.unwrap_or(1.0),
            FaultKind::ReplaceReplicas => {
                self.publish(0, r, Phase::Draining, self.members[r].started);
                self.after(DRAIN, What::Leave(r));
            }
            FaultKind::RestartGateways => {}
        }
    }

    fn restore(&mut self, r: usize, n: usize) {
        let (name, fault) = self.faults[n];
        let (now, add) = (self.now, nanos(self.x.list.add));
        match fault.kind {
            FaultKind::KillReplicas | FaultKind::SilenceReplicas => {
                if fault.kind == FaultKind::SilenceReplicas {
                    self.die(r);
                }
                self.replicas[r].start(now);
                self.note(r);
                self.publish(add, r, Phase::Ready, Some(now));
            }
            FaultKind::SlowReplicas => self.replicas[r].slowness = 1.0,
            FaultKind::ReplaceReplicas => {
                let (zone, kind) = (self.replicas[r].zone, self.replicas[r].kind);
                let fresh = self.add_replica(format!("{name}-{r}"), zone, kind, 1.0, Some(now));
                // Not listed until the service has heard of it.
                self.members[fresh].phase = Phase::Gone;
                self.publish(add, fresh, Phase::Ready, Some(now));
            }
            FaultKind::RestartGateways => {}
        }
    }

    /// A drained real server goes, once it has nothing left to do.
    fn leave(&mut self, r: usize) {
        if self.replicas[r].in_hand() > 0 {
            return self.after(SECOND / 10, What::Leave(r));
        }
        self.die(r);
        self.publish(nanos(self.x.list.notice), r, Phase::Gone, None);
    }
}
