//! Plans the roll-out of weights: which replica loads when, and from when on older weights must not be used.
//!
//! No I/O and no clock: events and the present time in, actions out.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use intercom::feed::{ModelRevision, ModelWeights, Replica, ReplicaPhase};

use super::messages::{OrderAnswer, Report};
use crate::fleet::Corrections;

/// Time for the gateways to learn that a replica takes no more requests, before it is ordered to load.
const NOTICE: Duration = Duration::from_millis(200);
/// Time from one look at a loading replica's report to the next.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// A report may show how things stood this long ago.
const REPORT_LAG: Duration = Duration::from_millis(600);
/// Time for which a replica that has refused an order gets no other one.
const ORDER_RETRY: Duration = Duration::from_secs(1);
/// How long a replica is taken to need, notice included, before one was measured.
const INITIAL_LOAD_TIME: Duration = Duration::from_millis(1_750);
/// Weight of the newest measured time in the estimate.
const LOAD_TIME_GAIN: f64 = 0.3;
/// Replicas that load at once, if there are enough.
const LEAST_AT_ONCE: usize = 3;
/// The part of the operator's term in which all replicas should have loaded.
const LOAD_PART: f64 = 0.78;
/// The part of the operator's term after which older weights are not used any more.
const WITHDRAWAL_PART: f64 = 0.85;
/// How long ago weights may have been acknowledged that a new primary finds named.
const UNKNOWN_ACKNOWLEDGEMENT_AGE: Duration = Duration::from_secs(5);

/// Times that the deployment sets.
#[derive(Clone, Copy, Debug)]
pub struct PlannerSettings {
    /// The operator's term: after it no request may begin on older weights.
    pub revision_term: Duration,
    /// The time for which a new holder of the duty gives no orders.
    pub lease_term: Duration,
}

/// What the shell is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Orders a replica to load weights.
    Order {
        /// The replica.
        replica: String,
        /// Its address.
        address: SocketAddrV4,
        /// The model and its new revision.
        weights: ModelRevision,
    },
    /// Asks a replica for its report.
    Report {
        /// The replica.
        replica: String,
        /// Its address.
        address: SocketAddrV4,
    },
}

/// Weights that were named.
#[derive(Clone, Debug)]
struct Target {
    revision: u64,
    least: u64,
    /// When all replicas should have loaded.
    load_by: Duration,
    /// What is still to be withdrawn, in the order of revisions.
    withdrawals: Vec<Withdrawal>,
}

/// From a time on, weights older than a revision are not used.
#[derive(Clone, Copy, Debug)]
struct Withdrawal {
    revision: u64,
    at: Duration,
}

impl Target {
    fn new(revision: u64, load_by: Duration, withdraw_at: Duration) -> Target {
        Target { revision, least: 0, load_by, withdrawals: vec![Withdrawal { revision, at: withdraw_at }] }
    }

    /// Takes newer weights. The terms of older ones go on.
    fn raise(&mut self, newer: Target) {
        self.revision = newer.revision;
        self.load_by = newer.load_by;
        self.withdrawals.extend(newer.withdrawals);
    }

    fn raise_least(&mut self, revision: u64) {
        self.least = self.least.max(revision);
        let least = self.least;
        self.withdrawals.retain(|withdrawal| withdrawal.revision > least);
    }
}

/// The load of a replica, under way.
#[derive(Clone, Debug)]
struct Load {
    weights: ModelRevision,
    begun: Duration,
    ordered_at: Option<Duration>,
    step: Step,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// The order is due at this time.
    OrderAt(Duration),
    /// The order has no answer yet.
    Ordering,
    /// A look at the report is due at this time.
    ReportAt(Duration),
    /// The report has not come yet.
    Reporting,
}

/// The plan of one holder of the duty.
#[derive(Debug)]
pub struct Planner {
    settings: PlannerSettings,
    holder_since: Duration,
    orders_from: Duration,
    fenced: bool,
    targets: BTreeMap<String, Target>,
    replicas: BTreeMap<String, Replica>,
    seen: BTreeMap<String, Vec<ModelRevision>>,
    loads: BTreeMap<String, Load>,
    /// Replicas that have refused an order, and until when they get no other one.
    paused: BTreeMap<String, Duration>,
    load_time: Duration,
}

impl Planner {
    /// A plan for a holder that begins now.
    pub fn new(settings: PlannerSettings, now: Duration) -> Planner {
        Planner {
            settings,
            holder_since: now,
            orders_from: now + settings.lease_term,
            fenced: false,
            targets: BTreeMap::new(),
            replicas: BTreeMap::new(),
            seen: BTreeMap::new(),
            loads: BTreeMap::new(),
            paused: BTreeMap::new(),
            load_time: INITIAL_LOAD_TIME,
        }
    }

    /// Takes over the weights that an earlier holder delivered: what was withdrawn remains so.
    pub fn inherit(&mut self, lines: &[ModelWeights]) {
        for line in lines {
            let target = self.inherited_target(line.named);
            self.targets.entry(line.model.clone()).or_insert(target).raise_least(line.least);
        }
    }

    fn inherited_target(&self, revision: u64) -> Target {
        let left = |part| self.term_part(part).saturating_sub(UNKNOWN_ACKNOWLEDGEMENT_AGE);
        Target::new(
            revision,
            self.holder_since + left(LOAD_PART),
            self.holder_since + left(WITHDRAWAL_PART),
        )
    }

    /// Weights that are named in the agreed state when the holder begins.
    pub fn found(&mut self, model: &str, revision: u64) {
        let target = self.inherited_target(revision);
        self.raise_target(model, target);
    }

    /// Weights that the operator named just now; whether they are new.
    pub fn named(&mut self, model: &str, revision: u64, now: Duration) -> bool {
        let target =
            Target::new(revision, now + self.term_part(LOAD_PART), now + self.term_part(WITHDRAWAL_PART));
        self.raise_target(model, target)
    }

    fn raise_target(&mut self, model: &str, target: Target) -> bool {
        match self.targets.get_mut(model) {
            None => {
                self.targets.insert(model.to_owned(), target);
                true
            }
            Some(known) if known.revision < target.revision => {
                known.raise(target);
                true
            }
            Some(_) => false,
        }
    }

    fn term_part(&self, part: f64) -> Duration {
        self.settings.revision_term.mul_f64(part)
    }

    /// Takes a new list of replicas.
    pub fn listed<'a>(&mut self, replicas: impl Iterator<Item = &'a Replica>, now: Duration) {
        self.replicas = replicas.map(|replica| (replica.id.clone(), replica.clone())).collect();
        self.seen.retain(|id, _| self.replicas.contains_key(id));
        self.loads.retain(|id, _| self.replicas.contains_key(id));
        let done: Vec<String> = self
            .loads
            .iter()
            .filter(|(id, load)| self.has(id, &load.weights))
            .map(|(id, _)| id.clone())
            .collect();
        for id in done {
            self.finish(&id, now);
        }
    }

    /// Takes a replica's answer to an order.
    pub fn order_answered(&mut self, replica: &str, answer: OrderAnswer, now: Duration) {
        let Some(load) = self.loads.get_mut(replica) else { return };
        match answer {
            OrderAnswer::Accepted => {
                load.ordered_at = Some(now);
                load.step = Step::ReportAt(now + REPORT_INTERVAL);
            }
            OrderAnswer::AlreadyHolds => {
                let weights = load.weights.clone();
                self.record(replica, weights);
                self.finish(replica, now);
            }
            OrderAnswer::Busy | OrderAnswer::Unanswered => load.step = Step::ReportAt(now + REPORT_LAG),
            OrderAnswer::Refused => {
                // It serves on meanwhile.
                self.loads.remove(replica);
                self.paused.insert(replica.to_owned(), now + ORDER_RETRY);
            }
            OrderAnswer::WrongReplica => {
                self.loads.remove(replica);
                // Until the list shows who is at the address, nothing is asked there.
                self.replicas.remove(replica);
            }
            OrderAnswer::Fenced => self.fenced = true,
        }
    }

    /// Takes a replica's report; none if it did not come.
    pub fn reported(&mut self, replica: &str, report: Option<&Report>, now: Duration) {
        let Some(load) = self.loads.get_mut(replica) else { return };
        let Some(report) = report else {
            load.step = Step::ReportAt(now + REPORT_LAG);
            return;
        };
        let weights = load.weights.clone();
        let has_it =
            report.models.iter().any(|m| m.model == weights.model && m.revision >= weights.revision);
        if has_it && !report.loading {
            for model in &report.models {
                self.record(replica, model.clone());
            }
            self.finish(replica, now);
            return;
        }
        let ordered_lately = load.ordered_at.is_some_and(|at| now < at + REPORT_LAG);
        if report.loading || ordered_lately {
            load.step = Step::ReportAt(now + REPORT_INTERVAL);
        } else {
            load.step = Step::OrderAt(now);
        }
    }

    fn record(&mut self, replica: &str, weights: ModelRevision) {
        let seen = self.seen.entry(replica.to_owned()).or_default();
        match seen.iter_mut().find(|line| line.model == weights.model) {
            Some(line) => line.revision = line.revision.max(weights.revision),
            None => seen.push(weights),
        }
    }

    fn finish(&mut self, replica: &str, now: Duration) {
        let Some(load) = self.loads.remove(replica) else { return };
        if load.ordered_at.is_some() {
            let measured = now.saturating_sub(load.begun);
            self.load_time =
                self.load_time.mul_f64(1.0 - LOAD_TIME_GAIN) + measured.mul_f64(LOAD_TIME_GAIN);
        }
    }

    /// What is due now.
    pub fn step(&mut self, now: Duration) -> Vec<Action> {
        self.withdraw(now);
        if self.fenced || now < self.orders_from {
            return Vec::new();
        }
        self.paused.retain(|_, until| *until > now);
        self.begin_loads(now);
        let due: Vec<String> =
            self.loads.iter().filter(|(_, load)| load.is_due(now)).map(|(id, _)| id.clone()).collect();
        due.iter().filter_map(|id| self.act(id)).collect()
    }

    fn withdraw(&mut self, now: Duration) {
        let models: Vec<String> = self.targets.keys().cloned().collect();
        for model in models {
            let everywhere = self.everywhere(&model);
            let Some(target) = self.targets.get_mut(&model) else { continue };
            let passed = target.withdrawals.iter().filter(|withdrawal| withdrawal.at <= now);
            let passed = passed.map(|withdrawal| withdrawal.revision).max();
            let least = if everywhere { Some(target.revision) } else { passed };
            target.raise_least(least.unwrap_or(0));
        }
    }

    fn everywhere(&self, model: &str) -> bool {
        let mut serving = self.serving(model).peekable();
        serving.peek().is_some() && self.waiting(model).is_empty()
    }

    fn serving<'a>(&'a self, model: &'a str) -> impl Iterator<Item = &'a Replica> {
        self.replicas.values().filter(move |replica| replica.models.iter().any(|line| line.model == model))
    }

    /// Replicas that lack the newest weights, loading ones included.
    fn waiting<'a>(&'a self, model: &'a str) -> Vec<&'a Replica> {
        let Some(target) = self.targets.get(model) else { return Vec::new() };
        let weights = ModelRevision { model: model.to_owned(), revision: target.revision };
        self.serving(model)
            .filter(|replica| replica.phase != ReplicaPhase::Draining && !self.has(&replica.id, &weights))
            .collect()
    }

    /// Ids of replicas that have weights of this model older than a revision.
    pub fn outdated(&self, model: &str, revision: u64) -> Vec<String> {
        let is_outdated = |id: &str| self.held(id, model).is_some_and(|held| held < revision);
        let ids = self.serving(model).map(|replica| &replica.id);
        ids.filter(|id| is_outdated(id)).cloned().collect()
    }

    fn has(&self, replica: &str, weights: &ModelRevision) -> bool {
        self.held(replica, &weights.model).is_some_and(|revision| revision >= weights.revision)
    }

    /// The newest revision that a replica is known to have of a model.
    fn held(&self, replica: &str, model: &str) -> Option<u64> {
        let listed =
            self.replicas.get(replica).map(|replica| replica.models.as_slice()).unwrap_or_default();
        let seen = self.seen.get(replica).map(Vec::as_slice).unwrap_or_default();
        listed.iter().chain(seen).filter(|line| line.model == model).map(|line| line.revision).max()
    }

    fn begin_loads(&mut self, now: Duration) {
        let models: Vec<String> = self.targets.keys().cloned().collect();
        for model in models {
            for replica in self.next_to_load(&model, now) {
                let weights =
                    ModelRevision { model: model.clone(), revision: self.targets[&model].revision };
                let step = Step::OrderAt(now + NOTICE);
                self.loads.insert(replica, Load { weights, begun: now, ordered_at: None, step });
            }
        }
    }

    fn next_to_load(&self, model: &str, now: Duration) -> Vec<String> {
        let waiting = self.waiting(model);
        let loading = self.loads.values().filter(|load| load.weights.model == model).count();
        let room = self.at_once(model, waiting.len(), now).saturating_sub(loading);
        let is_free = |id: &str| !self.loads.contains_key(id) && !self.paused.contains_key(id);
        let idle: Vec<&Replica> = waiting.into_iter().filter(|replica| is_free(&replica.id)).collect();
        spread_over_zones(&idle).into_iter().take(room).map(|replica| replica.id.clone()).collect()
    }

    /// How many replicas load at once, so that all have loaded in time. Half of them go on serving, as long as the
    /// weights that they have may be used.
    fn at_once(&self, model: &str, waiting: usize, now: Duration) -> usize {
        let target = &self.targets[model];
        if target.least >= target.revision {
            return waiting;
        }
        let left = target.load_by.saturating_sub(now).max(self.load_time);
        let needed = (waiting as f64 * self.load_time.as_secs_f64() / left.as_secs_f64()).ceil() as usize;
        let half = self.serving(model).count().div_ceil(2);
        needed.max(LEAST_AT_ONCE).min(half)
    }

    fn act(&mut self, id: &str) -> Option<Action> {
        let address: SocketAddrV4 = self.replicas.get(id)?.address.parse().ok()?;
        let replica = id.to_owned();
        let load = self.loads.get_mut(id)?;
        match load.step {
            Step::OrderAt(_) => {
                load.step = Step::Ordering;
                // Weights that were named meanwhile are newer still.
                load.weights.revision =
                    load.weights.revision.max(self.targets[&load.weights.model].revision);
                Some(Action::Order { replica, address, weights: load.weights.clone() })
            }
            Step::ReportAt(_) => {
                load.step = Step::Reporting;
                Some(Action::Report { replica, address })
            }
            Step::Ordering | Step::Reporting => None,
        }
    }

    /// When something is due next; none while only events can change that.
    pub fn next_deadline(&self) -> Option<Duration> {
        let withdrawals = self.targets.values().flat_map(|target| &target.withdrawals).map(|w| w.at);
        let loads = self.loads.values().filter_map(Load::due_at);
        let idle =
            self.loads.is_empty() && self.targets.keys().any(|model| !self.waiting(model).is_empty());
        let begin = idle.then(|| self.paused.values().copied().min().unwrap_or(self.orders_from));
        let orders = loads.chain(begin).map(|at| at.max(self.orders_from));
        withdrawals.chain(orders.filter(|_| !self.fenced)).min()
    }

    /// A replica has refused this holder's fence: another one holds the duty.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// What the table of replicas should say beyond the list.
    pub fn corrections(&self) -> Corrections {
        let loading: BTreeSet<String> = self.loads.keys().cloned().collect();
        Corrections { loading, revisions: self.seen.clone() }
    }

    /// The table of weights to be delivered.
    pub fn weights(&self) -> Vec<ModelWeights> {
        let line = |(model, target): (&String, &Target)| ModelWeights {
            model: model.clone(),
            named: target.revision,
            least: target.least,
        };
        self.targets.iter().map(line).collect()
    }
}

impl Load {
    fn due_at(&self) -> Option<Duration> {
        match self.step {
            Step::OrderAt(at) | Step::ReportAt(at) => Some(at),
            Step::Ordering | Step::Reporting => None,
        }
    }

    fn is_due(&self, now: Duration) -> bool {
        self.due_at().is_some_and(|at| at <= now)
    }
}

/// The same replicas, so that neighbours in the order are of different zones.
fn spread_over_zones<'a>(replicas: &[&'a Replica]) -> Vec<&'a Replica> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    let mut ranked: Vec<(usize, &'a Replica)> = Vec::new();
    for replica in replicas {
        let count = counts.entry(replica.zone.as_str()).or_default();
        ranked.push((*count, replica));
        *count += 1;
    }
    ranked.sort_by(|(a, x), (b, y)| (a, &x.zone, &x.id).cmp(&(b, &y.zone, &y.id)));
    ranked.into_iter().map(|(_, replica)| replica).collect()
}
