//! A fleet in virtual time: gateways with their policies, emulated real servers, a list service and clients.
//!
//! All that happens is an event in one queue, ordered by its time and then by when it was put there, so a run is
//! the same from the same seed, to the byte. Nothing here decides where a request goes.

mod clients;
mod faults;
mod gateways;
mod lists;
mod servers;

use std::cell::RefCell;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;

use rand::RngExt;
use rand_distr::{Distribution, Exp, LogNormal, Normal, Zipf};
use rand_pcg::Pcg64Mcg;
use tulipridge::types::{
    Action, ClassIndex, Event, ListKind, Member, Nanos, Phase, ReplicaId, Request, RequestId,
    SettingsError, TenantIndex, Verdict,
};

use crate::chance::{drawn, source};
use crate::experiment::{Experiment, Fault, FaultKind, Kind};
use crate::policy::{Policy, PolicyKind, Truth};
use crate::record::{End, Figures, Record, WINDOW};
use crate::replica::{Job, Replica, StepEvent};
use crate::time::{MILLI, SECOND, nanos};

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
    list_away_until: Nanos,
    faults: Vec<(&'a str, &'a Fault)>,
    truth: Truth,
    record: Record,
    arrivals: Pcg64Mcg,
    front: Pcg64Mcg,
    salts: Pcg64Mcg,
    chances: Pcg64Mcg,
    actions: Vec<Action>,
    step_events: Vec<StepEvent>,
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
            list_away_until: 0,
            faults: x.faults_in_order(),
            truth: Rc::new(RefCell::new(BTreeMap::new())),
            record: Record::new(x),
            arrivals: source(x.seed, 1),
            front: source(x.seed, 2),
            salts: source(x.seed, 3),
            chances: source(x.seed, 4),
            actions: Vec::new(),
            step_events: Vec::new(),
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
        if let Some(reports) = &self.x.replicas.reports {
            self.after(nanos(reports.period), What::Reports);
        }
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
                    self.tell(gateway, Event::ListServiceBusy(wait));
                }
                self.list_timed_out(gateway, epoch, call);
            }
            What::ListNews { gateway, epoch, kind, members } => {
                self.list_news(gateway, epoch, kind, members);
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
}
