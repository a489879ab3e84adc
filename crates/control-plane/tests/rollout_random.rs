//! Random histories of a rollout, in virtual time: frequent announcements, long queues, replicas that refuse, are
//! unreachable, crash, restart and leave, and changes of the primary. No request may begin on weights whose term has
//! passed.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use fastrand::Rng;
use rstest::rstest;
use tulipridge_configuration::number::WeightsRevision;
use tulipridge_control_plane::rollout::{
    Action, Announcement, AnnouncementTimes, CommandOutcome, Planner, PlannerSettings, ReplicaReport,
};
use tulipridge_protocol::feed::{ModelRevision, ModelWeights, Replica, ReplicaPhase};
use tulipridge_runtime::settings::RevisionTerm;

/// Time from the announcement of a revision after which no request may begin on older weights.
const TERM: Duration = Duration::from_secs(12);
const LEASE_TERM: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(25);
/// Delay until proxies have what the primary delivers.
const DELIVERY_DELAY: Duration = Duration::from_millis(75);
/// The same delay over congested links.
const CONGESTED_DELIVERY_DELAY: Duration = Duration::from_millis(500);
/// Length of a history.
const LENGTH: Duration = Duration::from_secs(45);
const REPLICAS: usize = 12;
const MAX_QUEUE_TIME_MS: u64 = 9_000;
const MODEL: &str = "m";

/// The mechanisms that are disabled in a history.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Disabled {
    /// Proxies do not cancel queued requests.
    cancellation: bool,
    /// A new primary assumes that all announcements are new.
    ages: bool,
}

/// A load that is in progress.
#[derive(Clone, Copy)]
struct RunningLoad {
    revision: u64,
    until: Duration,
}

/// A replica and the requests that are queued there.
struct SimulatedReplica {
    listed: Replica,
    /// When each queued request begins, unless it is cancelled or rejected first.
    queue: Vec<Duration>,
    load: Option<RunningLoad>,
    /// Calls to the replica are lost until then.
    unreachable_until: Duration,
    leaves_at: Option<Duration>,
}

impl SimulatedReplica {
    fn new(number: usize, revision: u64) -> SimulatedReplica {
        let listed = Replica {
            id: format!("i-{number:03}"),
            service: "chat".to_owned(),
            address: format!("10.0.{}.{}:8080", number / 250, number % 250 + 1),
            zone: ["a", "b", "c"][number % 3].to_owned(),
            capacity: 8,
            phase: ReplicaPhase::Ready,
            warm_left_ms: 0,
            models: vec![ModelRevision { model: MODEL.to_owned(), revision: WeightsRevision(revision) }],
        };
        SimulatedReplica {
            listed,
            queue: Vec::new(),
            load: None,
            unreachable_until: Duration::ZERO,
            leaves_at: None,
        }
    }

    fn revision(&self) -> u64 {
        (self.listed.models[0].revision).0
    }
}

/// What the primary delivers to proxies.
#[derive(Clone, Debug, Default)]
struct Table {
    least: u64,
    expired: u64,
    loading: Vec<String>,
}

/// A table on its way to the proxies.
struct Delivery {
    due_at: Duration,
    table: Table,
}

/// When proxies learned that weights below a revision have expired.
struct Expiry {
    revision: u64,
    known_since: Duration,
}

struct History {
    random: Rng,
    disabled: Disabled,
    delivery_delay: Duration,
    now: Duration,
    replicas: Vec<SimulatedReplica>,
    created: usize,
    planner: Planner,
    announcement_times: AnnouncementTimes,
    /// There is no primary before this time.
    vacant_until: Duration,
    announced: BTreeMap<u64, Duration>,
    in_flight: VecDeque<Delivery>,
    table: Table,
    expiries: Vec<Expiry>,
    violations: Vec<String>,
}

fn planner(now: Duration, lease_term: Duration) -> Planner {
    Planner::new(PlannerSettings { revision_term: RevisionTerm::new(TERM), lease_term }, now)
}

impl History {
    fn new(seed: u64, disabled: Disabled, delivery_delay: Duration) -> History {
        let now = Duration::from_secs(10);
        let mut announcement_times = AnnouncementTimes::new(Duration::ZERO);
        announcement_times.advance(now, true);
        History {
            random: Rng::with_seed(seed),
            disabled,
            delivery_delay,
            now,
            replicas: (0..REPLICAS).map(|number| SimulatedReplica::new(number, 1)).collect(),
            created: REPLICAS,
            planner: planner(now, Duration::ZERO),
            announcement_times,
            vacant_until: Duration::ZERO,
            announced: BTreeMap::new(),
            in_flight: VecDeque::new(),
            table: Table::default(),
            expiries: Vec::new(),
            violations: Vec::new(),
        }
    }

    fn run(mut self) -> Vec<String> {
        let end = self.now + LENGTH;
        while self.now < end {
            self.announce();
            self.inject_faults();
            self.step_primary();
            self.deliver();
            self.step_proxies();
            self.step_replicas();
            self.now += STEP;
        }
        self.violations
    }

    /// Draws whether an event happens in this step, given the mean time between such events.
    fn happens_every(&mut self, mean_seconds: f64) -> bool {
        self.random.f64() < STEP.as_secs_f64() / mean_seconds
    }

    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.u64(range))
    }

    fn announce(&mut self) {
        if self.happens_every(4.0) && self.announced.len() < 6 {
            let revision = 2 + self.announced.len() as u64;
            self.announced.insert(revision, self.now);
            self.announcement_times.record(MODEL, WeightsRevision(revision));
        }
    }

    fn inject_faults(&mut self) {
        let chosen = self.random.usize(0..self.replicas.len());
        if self.happens_every(5.0) {
            self.replicas[chosen].unreachable_until = self.now + self.millis(500..9_000);
        }
        if self.happens_every(6.0) {
            self.replace(chosen, self.replicas[chosen].revision());
        }
        if self.happens_every(6.0) && self.replicas[chosen].leaves_at.is_none() {
            self.replicas[chosen].listed.phase = ReplicaPhase::Draining;
            self.replicas[chosen].leaves_at = Some(self.now + self.millis(3_000..9_000));
        }
        if self.happens_every(15.0) {
            self.change_primary();
        }
    }

    /// A new incarnation replaces a replica.
    fn replace(&mut self, index: usize, revision: u64) {
        self.replicas[index] = SimulatedReplica::new(self.created, revision);
        self.created += 1;
    }

    fn change_primary(&mut self) {
        self.vacant_until = self.now + self.millis(0..700);
        let delivered = ModelWeights {
            model: MODEL.to_owned(),
            target: WeightsRevision(self.newest()),
            minimum: WeightsRevision(self.table.least),
            expired_below: WeightsRevision(self.table.expired),
        };
        self.planner = planner(self.vacant_until, LEASE_TERM);
        self.planner.inherit(&[delivered]);
        for announced in self.announcement_times.announcements() {
            let age = if self.disabled.ages { Duration::ZERO } else { announced.age };
            self.planner.announce(Announcement { age, ..announced }, self.vacant_until);
        }
    }

    fn newest(&self) -> u64 {
        self.announced.last_key_value().map_or(1, |(revision, _)| *revision)
    }

    fn step_primary(&mut self) {
        let has_primary = self.now >= self.vacant_until;
        self.announcement_times.advance(self.now, has_primary);
        if !has_primary {
            return;
        }
        for announced in self.announcement_times.announcements() {
            self.planner.announce(announced, self.now);
        }
        self.planner.set_replicas(self.replicas.iter().map(|replica| &replica.listed), self.now);
        for action in self.planner.step(self.now) {
            self.perform(action);
        }
        let weights = self.planner.weights().pop();
        let (least, expired) =
            weights.map_or((0, 0), |weights| (weights.minimum.0, weights.expired_below.0));
        let loading = self.planner.corrections().loading.into_iter().collect();
        let table = Table { least, expired, loading };
        self.in_flight.push_back(Delivery { due_at: self.now + self.delivery_delay, table });
    }

    fn perform(&mut self, action: Action) {
        let load_time = self.millis(400..2_500);
        match action {
            Action::SendCommand { replica, weights } => {
                let load = RunningLoad { revision: weights.revision.0, until: self.now + load_time };
                let outcome = self.command(&replica.id, load);
                self.planner.record_outcome(&replica.id, outcome, self.now);
            }
            Action::FetchReport { replica } => {
                let report = self.report(&replica.id);
                self.planner.record_report(&replica.id, report.as_ref(), self.now);
            }
        }
    }

    fn reachable(&self, id: &str) -> Option<usize> {
        let is_reachable =
            |replica: &SimulatedReplica| replica.listed.id == id && replica.unreachable_until <= self.now;
        self.replicas.iter().position(is_reachable)
    }

    fn command(&mut self, id: &str, load: RunningLoad) -> CommandOutcome {
        let Some(index) = self.reachable(id) else { return CommandOutcome::Unanswered };
        if self.random.u8(0..8) == 0 {
            return CommandOutcome::Refused;
        }
        self.replicas[index].queue.clear();
        self.replicas[index].load = Some(load);
        CommandOutcome::Accepted
    }

    fn report(&self, id: &str) -> Option<ReplicaReport> {
        let replica = &self.replicas[self.reachable(id)?];
        let models = replica.listed.models.clone();
        Some(ReplicaReport { models, is_loading: replica.load.is_some() })
    }

    fn deliver(&mut self) {
        while self.in_flight.front().is_some_and(|delivery| delivery.due_at <= self.now) {
            let Some(Delivery { table, .. }) = self.in_flight.pop_front() else { return };
            if table.expired > self.table.expired {
                self.expiries.push(Expiry { revision: table.expired, known_since: self.now });
            }
            self.table = table;
        }
    }

    /// Sends requests to replicas that may receive them, and cancels queued requests that must not begin any more.
    fn step_proxies(&mut self) {
        let term = RevisionTerm::new(TERM);
        for index in 0..self.replicas.len() {
            let replica = &self.replicas[index];
            let revision = replica.revision();
            let may_receive = replica.listed.phase == ReplicaPhase::Ready
                && replica.load.is_none()
                && revision >= self.table.least
                && !self.table.loading.contains(&replica.listed.id);
            if may_receive && self.happens_every(0.4) {
                let begins = self.now + self.millis(0..MAX_QUEUE_TIME_MS);
                self.replicas[index].queue.push(begins);
            }
            let expiry = self.expiries.iter().find(|expiry| expiry.revision > revision);
            let seen_at = |revision| self.announced.get(revision).map(|at| *at + self.delivery_delay);
            let is_over = expiry.is_some_and(|expiry| {
                self.now >= term.cancel_at(seen_at(&expiry.revision), expiry.known_since)
            });
            if is_over && !self.disabled.cancellation {
                self.replicas[index].queue.clear();
            }
        }
    }

    fn step_replicas(&mut self) {
        for index in 0..self.replicas.len() {
            let now = self.now;
            let replica = &mut self.replicas[index];
            if let Some(load) = replica.load.take_if(|load| load.until <= now) {
                replica.listed.models[0].revision = WeightsRevision(load.revision);
            }
            let queued = replica.queue.len();
            replica.queue.retain(|begins| *begins > now);
            let begun = queued - replica.queue.len();
            let revision = replica.revision();
            let limit = self.announced.range(revision + 1..).map(|(_, at)| *at + TERM).min();
            if begun > 0 && limit.is_some_and(|limit| now > limit) {
                self.violations.push(format!("{} began on {revision} at {now:?}", replica.listed.id));
            }
            if replica.leaves_at.is_some_and(|at| at <= now) {
                self.replace(index, self.newest());
            }
        }
    }
}

/// A history in which a request began on weights whose term had passed.
#[derive(Debug, PartialEq, Eq)]
struct Violation {
    seed: u64,
    first_violation: String,
}

/// The violations among the histories of these seeds.
fn violations(seeds: std::ops::Range<u64>, disabled: Disabled, delivery_delay: Duration) -> Vec<Violation> {
    let violation = |seed| {
        let first_violation = History::new(seed, disabled, delivery_delay).run().into_iter().next()?;
        Some(Violation { seed, first_violation })
    };
    seeds.filter_map(violation).collect()
}

#[rstest]
fn no_request_begins_on_weights_whose_term_has_passed(
    #[values(0, 1, 2, 3)] batch: u64,
    #[values(DELIVERY_DELAY, CONGESTED_DELIVERY_DELAY)] delivery_delay: Duration,
) {
    assert_eq!(violations(batch * 100..batch * 100 + 100, Disabled::default(), delivery_delay), []);
}

#[rstest]
#[case::without_cancellation(Disabled { cancellation: true, ..Disabled::default() })]
#[case::without_ages(Disabled { ages: true, ..Disabled::default() })]
fn a_disabled_mechanism_is_detected(#[case] disabled: Disabled) {
    assert!(!violations(0..100, disabled, DELIVERY_DELAY).is_empty());
}
