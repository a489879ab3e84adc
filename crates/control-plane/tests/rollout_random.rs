//! Random histories of a roll-out, in virtual time: names in quick succession, long queues, replicas that refuse, are
//! out of reach, crash, return and leave, and primaries that follow one another. No request begins on weights whose
//! term has passed.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use fastrand::Rng;
use rstest::rstest;
use tulipridge_control_plane::rollout::{
    Action, NamingTimes, OrderAnswer, Planner, PlannerSettings, Report,
};
use tulipridge_protocol::feed::{ModelRevision, ModelWeights, Replica, ReplicaPhase};
use tulipridge_runtime::settings::RevisionTerm;

const TERM: Duration = Duration::from_secs(12);
const LEASE: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(25);
/// Time until gateways know what the primary delivers.
const DELIVERY: Duration = Duration::from_millis(75);
/// The same where links are crowded.
const LATE_DELIVERY: Duration = Duration::from_millis(500);
const LENGTH: Duration = Duration::from_secs(45);
const REPLICAS: usize = 12;
const LONGEST_WAIT_MS: u64 = 9_000;
const MODEL: &str = "m";

/// What a history leaves out of the design.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Without {
    /// Gateways leave waiting requests where they are.
    calling_off: bool,
    /// A successor knows of names, but not since when they are named.
    ages: bool,
}

/// A replica and the requests that wait in its queue.
struct Engine {
    line: Replica,
    /// When each request that waits begins, if nothing comes between.
    queue: Vec<Duration>,
    loads: Option<(u64, Duration)>,
    /// Orders do not get through until then.
    out_of_reach_until: Duration,
    leaves_at: Option<Duration>,
}

impl Engine {
    fn new(number: usize, revision: u64) -> Engine {
        let line = Replica {
            id: format!("i-{number:03}"),
            service: "chat".to_owned(),
            address: format!("10.0.{}.{}:8080", number / 250, number % 250 + 1),
            zone: ["a", "b", "c"][number % 3].to_owned(),
            capacity: 8,
            phase: ReplicaPhase::Ready,
            warm_left_ms: 0,
            models: vec![ModelRevision { model: MODEL.to_owned(), revision }],
        };
        let out_of_reach_until = Duration::ZERO;
        Engine { line, queue: Vec::new(), loads: None, out_of_reach_until, leaves_at: None }
    }

    fn revision(&self) -> u64 {
        self.line.models[0].revision
    }
}

/// What gateways are told.
#[derive(Clone, Debug, Default)]
struct Table {
    least: u64,
    expired: u64,
    loading: Vec<String>,
}

struct History {
    random: Rng,
    without: Without,
    delivery: Duration,
    now: Duration,
    engines: Vec<Engine>,
    created: usize,
    planner: Planner,
    times: NamingTimes,
    /// No primary acts before this.
    vacant_until: Duration,
    named: BTreeMap<u64, Duration>,
    on_the_way: VecDeque<(Duration, Table)>,
    table: Table,
    /// Since when gateways know that weights below a revision have expired.
    expired_since: Vec<(u64, Duration)>,
    broken: Vec<String>,
}

fn planner(now: Duration, lease_term: Duration) -> Planner {
    Planner::new(PlannerSettings { revision_term: RevisionTerm::new(TERM), lease_term }, now)
}

impl History {
    fn new(seed: u64, without: Without, delivery: Duration) -> History {
        let now = Duration::from_secs(10);
        let mut times = NamingTimes::new(Duration::ZERO);
        times.advance(now, true);
        History {
            random: Rng::with_seed(seed),
            without,
            delivery,
            now,
            engines: (0..REPLICAS).map(|number| Engine::new(number, 1)).collect(),
            created: REPLICAS,
            planner: planner(now, Duration::ZERO),
            times,
            vacant_until: Duration::ZERO,
            named: BTreeMap::new(),
            on_the_way: VecDeque::new(),
            table: Table::default(),
            expired_since: Vec::new(),
            broken: Vec::new(),
        }
    }

    fn play(mut self) -> Vec<String> {
        let end = self.now + LENGTH;
        while self.now < end {
            self.name();
            self.trouble();
            self.control();
            self.deliver();
            self.gateways();
            self.replicas();
            self.now += STEP;
        }
        self.broken
    }

    /// Once in so many seconds, on average.
    fn every(&mut self, seconds: f64) -> bool {
        self.random.f64() < STEP.as_secs_f64() / seconds
    }

    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.u64(range))
    }

    fn name(&mut self) {
        if self.every(4.0) && self.named.len() < 6 {
            let revision = 2 + self.named.len() as u64;
            self.named.insert(revision, self.now);
            self.times.hear(MODEL, revision);
        }
    }

    fn trouble(&mut self) {
        let chosen = self.random.usize(0..self.engines.len());
        if self.every(5.0) {
            self.engines[chosen].out_of_reach_until = self.now + self.millis(500..9_000);
        }
        if self.every(6.0) {
            self.replace(chosen, self.engines[chosen].revision());
        }
        if self.every(6.0) && self.engines[chosen].leaves_at.is_none() {
            self.engines[chosen].line.phase = ReplicaPhase::Draining;
            self.engines[chosen].leaves_at = Some(self.now + self.millis(3_000..9_000));
        }
        if self.every(15.0) {
            self.succeed();
        }
    }

    /// A new incarnation comes in the place of a replica.
    fn replace(&mut self, index: usize, revision: u64) {
        self.engines[index] = Engine::new(self.created, revision);
        self.created += 1;
    }

    fn succeed(&mut self) {
        self.vacant_until = self.now + self.millis(0..700);
        let delivered = ModelWeights {
            model: MODEL.to_owned(),
            named: self.newest(),
            least: self.table.least,
            expired: self.table.expired,
        };
        self.planner = planner(self.vacant_until, LEASE);
        self.planner.inherit(&[delivered]);
        for named in self.times.ages() {
            let age = if self.without.ages { Duration::ZERO } else { named.age };
            self.planner.named(named.model, named.revision, age, self.vacant_until);
        }
    }

    fn newest(&self) -> u64 {
        self.named.last_key_value().map_or(1, |(revision, _)| *revision)
    }

    fn control(&mut self) {
        let has_primary = self.now >= self.vacant_until;
        self.times.advance(self.now, has_primary);
        if !has_primary {
            return;
        }
        for named in self.times.ages() {
            self.planner.named(named.model, named.revision, named.age, self.now);
        }
        self.planner.listed(self.engines.iter().map(|engine| &engine.line), self.now);
        for action in self.planner.step(self.now) {
            self.act(action);
        }
        let line = self.planner.weights().pop();
        let (least, expired) = line.map_or((0, 0), |line| (line.least, line.expired));
        let loading = self.planner.corrections().loading.into_iter().collect();
        self.on_the_way.push_back((self.now + self.delivery, Table { least, expired, loading }));
    }

    fn act(&mut self, action: Action) {
        let load_time = self.millis(400..2_500);
        let now = self.now;
        let engine = |engines: &mut Vec<Engine>, id: &str| {
            engines.iter().position(|engine| engine.line.id == id && engine.out_of_reach_until <= now)
        };
        match action {
            Action::Order { replica, weights, .. } => {
                let answer = match engine(&mut self.engines, &replica) {
                    None => OrderAnswer::Unanswered,
                    Some(_) if self.random.u8(0..8) == 0 => OrderAnswer::Refused,
                    Some(index) => {
                        self.engines[index].queue.clear();
                        self.engines[index].loads = Some((weights.revision, now + load_time));
                        OrderAnswer::Accepted
                    }
                };
                self.planner.order_answered(&replica, answer, now);
            }
            Action::Report { replica, .. } => {
                let report = engine(&mut self.engines, &replica).map(|index| Report {
                    models: self.engines[index].line.models.clone(),
                    loading: self.engines[index].loads.is_some(),
                });
                self.planner.reported(&replica, report.as_ref(), now);
            }
        }
    }

    fn deliver(&mut self) {
        while self.on_the_way.front().is_some_and(|(due, _)| *due <= self.now) {
            let Some((_, table)) = self.on_the_way.pop_front() else { return };
            if table.expired > self.table.expired {
                self.expired_since.push((table.expired, self.now));
            }
            self.table = table;
        }
    }

    /// Sends requests to replicas that may have them, and calls off those that must not begin.
    fn gateways(&mut self) {
        let term = RevisionTerm::new(TERM);
        for index in 0..self.engines.len() {
            let engine = &self.engines[index];
            let revision = engine.revision();
            let may_have = engine.line.phase == ReplicaPhase::Ready
                && engine.loads.is_none()
                && revision >= self.table.least
                && !self.table.loading.contains(&engine.line.id);
            if may_have && self.every(0.4) {
                let begins = self.now + self.millis(0..LONGEST_WAIT_MS);
                self.engines[index].queue.push(begins);
            }
            let limit = self.expired_since.iter().find(|(expired, _)| *expired > revision);
            let heard = |revision| self.named.get(revision).map(|at| *at + self.delivery);
            let is_over =
                limit.is_some_and(|(expired, since)| self.now >= term.call_off_at(heard(expired), *since));
            if is_over && !self.without.calling_off {
                self.engines[index].queue.clear();
            }
        }
    }

    fn replicas(&mut self) {
        for index in 0..self.engines.len() {
            let engine = &mut self.engines[index];
            if let Some((revision, _)) = engine.loads.take_if(|(_, until)| *until <= self.now) {
                engine.line.models[0].revision = revision;
            }
            let now = self.now;
            let begun = engine.queue.extract_if(.., |begins| *begins <= now).count();
            let revision = engine.revision();
            let limit = self.named.range(revision + 1..).map(|(_, at)| *at + TERM).min();
            if begun > 0 && limit.is_some_and(|limit| now > limit) {
                self.broken.push(format!("{} began on {revision} at {now:?}", engine.line.id));
            }
            if engine.leaves_at.is_some_and(|at| at <= now) {
                self.replace(index, self.newest());
            }
        }
    }
}

/// Histories of these seeds in which a request began too late.
fn broken(seeds: std::ops::Range<u64>, without: Without, delivery: Duration) -> Vec<(u64, String)> {
    let first =
        |seed| History::new(seed, without, delivery).play().into_iter().next().map(|what| (seed, what));
    seeds.filter_map(first).collect()
}

#[rstest]
fn no_request_begins_on_weights_whose_term_has_passed(
    #[values(0, 1, 2, 3)] part: u64,
    #[values(DELIVERY, LATE_DELIVERY)] delivery: Duration,
) {
    assert_eq!(broken(part * 100..part * 100 + 100, Without::default(), delivery), []);
}

#[rstest]
#[case::queues_are_left_alone(Without { calling_off: true, ..Without::default() })]
#[case::successors_do_not_know_the_ages(Without { ages: true, ..Without::default() })]
fn what_is_left_out_is_seen(#[case] without: Without) {
    assert!(!broken(0..100, without, DELIVERY).is_empty());
}
