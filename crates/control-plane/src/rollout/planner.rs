//! Plans the roll-out of weights: which replica loads when, and from when on older weights must not be used.
//!
//! No I/O and no clock: events and the present time in, actions out.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use tulipridge_protocol::feed::{ModelRevision, ModelWeights, Replica, ReplicaPhase};
use tulipridge_runtime::settings::RevisionTerm;

use super::load::{Load, Step};
use super::messages::{OrderAnswer, Report};
use super::target::{Target, Term};
use crate::fleet::Corrections;

/// Time for the gateways to learn that a replica takes no more requests, before it is ordered to load.
const NOTICE: Duration = Duration::from_millis(200);
/// A replica whose requests still wait to be let in is ordered to load this long after the notice at the latest: the
/// order turns them away.
const LONGEST_NOTICE: Duration = Duration::from_secs(1);
/// Time from one look at what waits at a replica to the next.
const NOTICE_INTERVAL: Duration = Duration::from_millis(100);
/// Time from one look at a loading replica's report to the next.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// A report may show how things stood this long ago.
const REPORT_LAG: Duration = Duration::from_millis(600);
/// Time for which a replica that has refused an order gets no other one.
const ORDER_RETRY: Duration = Duration::from_secs(1);
/// The same for one whose weights are withdrawn: it serves nobody meanwhile.
const URGENT_ORDER_RETRY: Duration = Duration::from_millis(200);
/// How long a replica is taken to need, notice included, before one was measured.
const INITIAL_LOAD_TIME: Duration = Duration::from_millis(1_750);
/// Weight of the newest measured time in the estimate, where it is longer.
const LOAD_TIME_GAIN: f64 = 0.05;
/// Replicas that load at once, if there are enough.
const LEAST_AT_ONCE: usize = 3;

/// Times that the deployment sets.
#[derive(Clone, Copy, Debug)]
pub struct PlannerSettings {
    /// The operator's term: after it no request may begin on older weights.
    pub revision_term: RevisionTerm,
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

/// The plan of one holder of the duty.
#[derive(Debug)]
pub struct Planner {
    settings: PlannerSettings,
    orders_from: Duration,
    fenced: bool,
    targets: BTreeMap<String, Target>,
    replicas: BTreeMap<String, Replica>,
    seen: BTreeMap<String, Vec<ModelRevision>>,
    loads: BTreeMap<String, Load>,
    /// Replicas that have refused an order, and until when they get no other one.
    paused: BTreeMap<String, Duration>,
    /// Work of gateways that waits at replicas, by their ids.
    work: BTreeMap<String, u32>,
    /// How long a load takes that others hardly slow down; none before one was measured.
    load_time: Option<Duration>,
}

impl Planner {
    /// A plan for a holder that begins now.
    #[must_use]
    pub fn new(settings: PlannerSettings, now: Duration) -> Planner {
        Planner {
            settings,
            orders_from: now + settings.lease_term,
            fenced: false,
            targets: BTreeMap::new(),
            replicas: BTreeMap::new(),
            seen: BTreeMap::new(),
            loads: BTreeMap::new(),
            paused: BTreeMap::new(),
            work: BTreeMap::new(),
            load_time: None,
        }
    }

    /// Takes over the weights that an earlier holder delivered: what was withdrawn remains so.
    pub fn inherit(&mut self, lines: &[ModelWeights]) {
        for line in lines {
            let target = self.targets.entry(line.model.clone()).or_insert_with(Target::new);
            target.inherit(line.named, line.least, line.expired);
        }
    }

    /// Weights that the operator named so long ago; whether they are news.
    pub fn named(&mut self, model: &str, revision: u64, age: Duration, now: Duration) -> bool {
        let term = Term::named_before(revision, age, self.settings.revision_term, now);
        self.targets.entry(model.to_owned()).or_insert_with(Target::new).name(term)
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

    /// Takes how much work of gateways waits at replicas, by their ids.
    pub fn work_waits(&mut self, work: BTreeMap<String, u32>) {
        self.work = work;
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
                let model = load.weights.model.clone();
                self.loads.remove(replica);
                let is_withdrawn = self.has_older(replica, &model, self.targets[&model].least);
                let retry = if is_withdrawn { URGENT_ORDER_RETRY } else { ORDER_RETRY };
                self.paused.insert(replica.to_owned(), now + retry);
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
            self.measure(now.saturating_sub(load.begun));
        }
    }

    /// Takes how long a load has taken. Loads slow each other down: counting on the time that they take while many are
    /// under way would let still more begin, which take longer still. So a shorter time counts at once, and a longer one
    /// hardly.
    fn measure(&mut self, measured: Duration) {
        let known = self.load_time.unwrap_or(measured).min(measured);
        self.load_time = Some(known + (measured - known).mul_f64(LOAD_TIME_GAIN));
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
        due.iter().filter_map(|id| self.act(id, now)).collect()
    }

    fn withdraw(&mut self, now: Duration) {
        let models: Vec<String> = self.targets.keys().cloned().collect();
        for model in models {
            let everywhere = self.everywhere(&model);
            let Some(target) = self.targets.get_mut(&model) else { continue };
            target.pass(now);
            if everywhere {
                target.withdraw_below(target.revision);
            }
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
        let revision = self.targets.get(model).map_or(0, |target| target.revision);
        self.lacking(model, revision).collect()
    }

    /// Replicas that stay and have weights older than a revision, loading ones included.
    fn lacking<'a>(&'a self, model: &'a str, revision: u64) -> impl Iterator<Item = &'a Replica> {
        let staying = self.serving(model).filter(|replica| replica.phase != ReplicaPhase::Draining);
        staying.filter(move |replica| self.has_older(&replica.id, model, revision))
    }

    /// Ids of replicas that have weights of this model older than a revision.
    #[must_use]
    pub fn outdated(&self, model: &str, revision: u64) -> Vec<String> {
        let outdated = self.serving(model).filter(|replica| self.has_older(&replica.id, model, revision));
        outdated.map(|replica| replica.id.clone()).collect()
    }

    /// Whether a replica serves a model with weights older than a revision.
    fn has_older(&self, replica: &str, model: &str, revision: u64) -> bool {
        self.held(replica, model).is_some_and(|held| held < revision)
    }

    fn has(&self, replica: &str, weights: &ModelRevision) -> bool {
        self.held(replica, &weights.model).is_some_and(|held| held >= weights.revision)
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

    /// Replicas whose weights are withdrawn load at once, the others so many at a time that each term is kept.
    fn next_to_load(&self, model: &str, now: Duration) -> Vec<String> {
        let mut next: Vec<String> = self.urgent(model).map(|replica| replica.id.clone()).collect();
        let loading = self.loads.values().filter(|load| load.weights.model == model).count();
        let room = self.at_once(model, now).saturating_sub(loading + next.len());
        let least = self.targets[model].least;
        let idle = self.waiting(model).into_iter().filter(|replica| self.is_idle(&replica.id));
        let usable = idle.filter(|replica| !self.has_older(&replica.id, model, least)).collect();
        next.extend(self.oldest_first(model, usable).into_iter().take(room).map(|r| r.id.clone()));
        next
    }

    fn is_idle(&self, replica: &str) -> bool {
        !self.loads.contains_key(replica) && !self.paused.contains_key(replica)
    }

    /// Idle replicas whose weights must not be used any more. The order to load empties a replica's queue, so it also
    /// goes to one that is leaving, once what waits there must not begin.
    fn urgent<'a>(&'a self, model: &'a str) -> impl Iterator<Item = &'a Replica> {
        let target = &self.targets[model];
        self.serving(model).filter(|replica| self.is_idle(&replica.id)).filter(move |replica| {
            let is_leaving = replica.phase == ReplicaPhase::Draining;
            let least = if is_leaving { target.expired } else { target.least };
            self.has_older(&replica.id, model, least)
        })
    }

    /// The same replicas: older weights first, neighbours in the order of different zones, and of each zone those first
    /// that have the least to do, which lose the least and are soonest done with it.
    fn oldest_first<'a>(&self, model: &str, replicas: Vec<&'a Replica>) -> Vec<&'a Replica> {
        let mut by_revision: BTreeMap<Option<u64>, Vec<&'a Replica>> = BTreeMap::new();
        for replica in replicas {
            by_revision.entry(self.held(&replica.id, model)).or_default().push(replica);
        }
        by_revision.values().flat_map(|replicas| self.spread_over_zones(replicas)).collect()
    }

    /// The same replicas, so that neighbours in the order are of different zones.
    fn spread_over_zones<'a>(&self, replicas: &[&'a Replica]) -> Vec<&'a Replica> {
        let mut least_busy: Vec<&'a Replica> = replicas.to_vec();
        least_busy.sort_by_key(|replica| (self.waiting_work(&replica.id), &replica.id));
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        let mut ranked: Vec<(usize, &'a Replica)> = Vec::new();
        for replica in least_busy {
            let count = counts.entry(replica.zone.as_str()).or_default();
            ranked.push((*count, replica));
            *count += 1;
        }
        ranked.sort_by(|(a, x), (b, y)| (a, &x.zone, &x.id).cmp(&(b, &y.zone, &y.id)));
        ranked.into_iter().map(|(_, replica)| replica).collect()
    }

    /// Work that waits at a replica, as far as gateways have told.
    fn waiting_work(&self, id: &str) -> u32 {
        self.work.get(id).copied().unwrap_or(0)
    }

    /// How many replicas load at once, so that all have loaded within each term. Half of them go on serving.
    fn at_once(&self, model: &str, now: Duration) -> usize {
        let terms = self.targets[model].terms().iter();
        let needed = terms.map(|term| self.needed_at_once(model, term, now)).max().unwrap_or(0);
        let half = self.serving(model).count().div_ceil(2);
        needed.max(LEAST_AT_ONCE).min(half)
    }

    fn needed_at_once(&self, model: &str, term: &Term, now: Duration) -> usize {
        let load_time = self.expected_load_time(now);
        let left = term.load_by.saturating_sub(now).max(load_time);
        let lacking = self.lacking(model, term.revision).count();
        (lacking as f64 * load_time.as_secs_f64() / left.as_secs_f64()).ceil() as usize
    }

    /// How long a load takes: as was measured, or before that, not less than those that are under way have taken.
    fn expected_load_time(&self, now: Duration) -> Duration {
        let under_way = self.loads.values().map(|load| now.saturating_sub(load.begun));
        self.load_time.unwrap_or_else(|| under_way.fold(INITIAL_LOAD_TIME, Duration::max))
    }

    /// Whether requests still wait at a replica, which an order to load would turn away.
    fn has_queue(&self, id: &str) -> bool {
        self.waiting_work(id) > 0
    }

    fn act(&mut self, id: &str, now: Duration) -> Option<Action> {
        let address: SocketAddrV4 = self.replicas.get(id)?.address.parse().ok()?;
        let replica = id.to_owned();
        let has_queue = self.has_queue(id);
        let load = self.loads.get_mut(id)?;
        let may_wait = now < load.begun + LONGEST_NOTICE;
        let least = self.targets[&load.weights.model].least;
        match load.step {
            Step::OrderAt(_) if has_queue && may_wait && load.weights.revision > least => {
                load.step = Step::OrderAt(now + NOTICE_INTERVAL);
                None
            }
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
        let terms = self.targets.values().flat_map(Target::terms);
        let withdrawals = terms.map(|term| term.withdraw_at);
        let loads = self.loads.values().filter_map(Load::due_at);
        let idle =
            self.loads.is_empty() && self.targets.keys().any(|model| !self.waiting(model).is_empty());
        let begin = idle.then(|| self.paused.values().copied().min().unwrap_or(self.orders_from));
        let orders = loads.chain(begin).map(|at| at.max(self.orders_from));
        withdrawals.chain(orders.filter(|_| !self.fenced)).min()
    }

    /// A replica has refused this holder's fence: another one holds the duty.
    #[must_use]
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// What the table of replicas should say beyond the list.
    #[must_use]
    pub fn corrections(&self) -> Corrections {
        let loading: BTreeSet<String> = self.loads.keys().cloned().collect();
        Corrections { loading, revisions: self.seen.clone() }
    }

    /// The table of weights to be delivered.
    #[must_use]
    pub fn weights(&self) -> Vec<ModelWeights> {
        let line = |(model, target): (&String, &Target)| ModelWeights {
            model: model.clone(),
            named: target.revision,
            least: target.least,
            expired: target.expired,
        };
        self.targets.iter().map(line).collect()
    }
}
