//! The planner of the rollout of weights, in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rstest::rstest;
use tulipridge_configuration::number::WeightsRevision;
use tulipridge_control_plane::fleet::Corrections;
use tulipridge_control_plane::rollout::{
    Action, Announcement, CommandOutcome, Planner, PlannerSettings, ReplicaReport,
};
use tulipridge_protocol::feed::{ModelRevision, ModelWeights, Replica, ReplicaPhase};
use tulipridge_runtime::settings::RevisionTerm;

/// Time from the announcement of a revision after which no request may begin on older weights.
const TERM: Duration = Duration::from_secs(12);
const LEASE_TERM: Duration = Duration::from_secs(3);
/// Lease term of a primary that may send commands at once.
const NO_LEASE: Duration = Duration::ZERO;
const START: Duration = Duration::from_secs(100);
const STEP: Duration = Duration::from_millis(50);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn weights(revision: u64) -> ModelRevision {
    ModelRevision { model: "m".to_owned(), revision: WeightsRevision(revision) }
}

fn replica(index: usize, revision: u64) -> Replica {
    Replica {
        id: format!("i-{index:02}"),
        service: "chat".to_owned(),
        address: format!("10.0.0.{index}:8080"),
        zone: ["a", "b", "c"][index % 3].to_owned(),
        capacity: 8,
        phase: ReplicaPhase::Ready,
        warm_left_ms: 0,
        models: vec![weights(revision)],
    }
}

/// An announcement of the model that all replicas serve.
fn announced(revision: u64, age: Duration) -> Announcement<'static> {
    Announcement { model: "m", revision: WeightsRevision(revision), age }
}

fn fleet(count: usize, revision: u64) -> Vec<Replica> {
    (1..=count).map(|index| replica(index, revision)).collect()
}

/// A load command that a replica received.
struct ReceivedCommand {
    /// Time since [`START`].
    at: Duration,
    replica: String,
    revision: u64,
}

/// A load that is in progress.
struct RunningLoad {
    replica: String,
    until: Duration,
}

/// A planner with simulated replicas that accept all commands and load for a fixed time.
struct Simulation {
    planner: Planner,
    now: Duration,
    load_time: Duration,
    loading: Vec<RunningLoad>,
    commands: Vec<ReceivedCommand>,
    most_concurrent: usize,
}

impl Simulation {
    fn new(lease_term: Duration, replicas: &[Replica]) -> Simulation {
        let settings = PlannerSettings { revision_term: RevisionTerm::new(TERM), lease_term };
        let mut planner = Planner::new(settings, START);
        planner.set_replicas(replicas.iter(), START);
        Simulation {
            planner,
            now: START,
            load_time: ms(1_200),
            loading: Vec::new(),
            commands: Vec::new(),
            most_concurrent: 0,
        }
    }

    fn run_until(&mut self, end: Duration) {
        while self.now < end {
            for action in self.planner.step(self.now) {
                self.perform(action);
            }
            self.most_concurrent = self.most_concurrent.max(self.loading_replicas().len());
            self.now += STEP;
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::SendCommand { replica, weights } => self.accept(replica.id, weights.revision.0),
            Action::FetchReport { replica } => self.report(&replica.id),
        }
    }

    fn accept(&mut self, replica: String, revision: u64) {
        assert!(
            self.loading_replicas().contains(&replica),
            "commands go to replicas that receive no requests"
        );
        self.planner.record_outcome(&replica, CommandOutcome::Accepted, self.now);
        self.loading.push(RunningLoad { replica: replica.clone(), until: self.now + self.load_time });
        self.commands.push(ReceivedCommand { at: self.now - START, replica, revision });
    }

    fn report(&mut self, replica: &str) {
        let is_done = self.loading.iter().any(|load| load.replica == replica && load.until <= self.now);
        let commands = self.commands.iter().filter(|command| command.replica == replica);
        let commanded = commands.map(|command| command.revision).max().unwrap_or(1);
        let revision = if is_done { commanded } else { 1 };
        let report = ReplicaReport { models: vec![weights(revision)], is_loading: !is_done };
        self.planner.record_report(replica, Some(&report), self.now);
    }

    fn loading_replicas(&self) -> BTreeSet<String> {
        self.planner.corrections().loading
    }

    fn commanded(&self) -> Vec<&str> {
        self.commands.iter().map(|command| command.replica.as_str()).collect()
    }

    fn weights(&self) -> ModelWeights {
        self.planner.weights().remove(0)
    }
}

#[test]
fn all_replicas_load_in_waves_within_the_term() {
    let mut simulation = Simulation::new(NO_LEASE, &fleet(18, 1));
    simulation.planner.announce(announced(2, Duration::ZERO), START);
    // The loads are spread over the time until the old weights are withdrawn.
    simulation.run_until(START + TERM.mul_f64(0.85) - STEP);
    assert_eq!(simulation.commands.len(), 18);
    assert!(
        simulation.most_concurrent >= 3 && simulation.most_concurrent <= 5,
        "{} at once",
        simulation.most_concurrent
    );
    assert_eq!(
        simulation.weights(),
        ModelWeights {
            model: "m".to_owned(),
            target: WeightsRevision(2),
            minimum: WeightsRevision(2),
            expired_below: WeightsRevision(0)
        }
    );
    assert!(simulation.loading_replicas().is_empty());
    assert_eq!(simulation.planner.corrections().revisions.len(), 18);
}

#[test]
fn a_command_is_sent_after_a_notice_period() {
    let mut simulation = Simulation::new(NO_LEASE, &fleet(6, 1));
    simulation.planner.announce(announced(2, Duration::ZERO), START);
    simulation.run_until(START + ms(200));
    assert_eq!(simulation.loading_replicas().len(), 3);
    assert!(simulation.commands.is_empty());
    simulation.run_until(START + ms(400));
    assert_eq!(simulation.commands.len(), 3);
}

#[test]
fn the_least_busy_replica_of_each_zone_loads_first() {
    let mut simulation = Simulation::new(NO_LEASE, &fleet(9, 1));
    let busy = ["i-01", "i-02", "i-03", "i-04", "i-05", "i-06"].map(|id| (id.to_owned(), 5));
    simulation.planner.set_queued_work(busy.into());
    simulation.planner.announce(announced(2, Duration::ZERO), START);
    simulation.run_until(START + ms(50));
    assert_eq!(simulation.loading_replicas(), ["i-07", "i-08", "i-09"].map(str::to_owned).into());
}

#[test]
fn a_command_waits_at_most_a_second_for_queued_requests() {
    let mut simulation = Simulation::new(NO_LEASE, &fleet(3, 1));
    simulation.planner.announce(announced(2, Duration::ZERO), START);
    let busy = ["i-01", "i-02", "i-03"].map(|id| (id.to_owned(), 5));
    simulation.planner.set_queued_work(busy.into());
    simulation.run_until(START + ms(600));
    assert!(simulation.commands.is_empty());
    simulation.planner.set_queued_work([("i-01".to_owned(), 5)].into());
    simulation.run_until(START + ms(800));
    let commanded = simulation.commanded().len();
    assert!(commanded >= 1 && !simulation.commanded().contains(&"i-01"), "{:?}", simulation.commanded());
    simulation
        .planner
        .set_queued_work(BTreeMap::from(["i-01", "i-02", "i-03"].map(|id| (id.to_owned(), 5))));
    simulation.run_until(START + ms(1_100));
    assert!(simulation.commanded().contains(&"i-01"));
}

#[test]
fn a_replica_on_withdrawn_weights_loads_despite_queued_requests() {
    let mut simulation = Simulation::new(NO_LEASE, &fleet(1, 1));
    simulation.planner.inherit(&[ModelWeights {
        model: "m".to_owned(),
        target: WeightsRevision(2),
        minimum: WeightsRevision(2),
        expired_below: WeightsRevision(0),
    }]);
    simulation.planner.set_queued_work([("i-01".to_owned(), 5)].into());
    simulation.run_until(START + ms(300));
    assert_eq!(simulation.commanded(), ["i-01"]);
}

#[test]
fn concurrency_stops_rising_when_loads_slow_each_other_down() {
    let mut simulation = Simulation::new(NO_LEASE, &fleet(40, 1));
    simulation.planner.announce(announced(2, Duration::ZERO), START);
    simulation.run_until(START + ms(2_500));
    let at_first = simulation.most_concurrent;
    // From now on, a load takes three times as long as the first ones.
    simulation.load_time = ms(3_600);
    simulation.run_until(START + ms(5_500));
    assert!(simulation.most_concurrent <= at_first + 2, "{at_first}, then {}", simulation.most_concurrent);
}

#[test]
fn loads_that_take_longer_than_expected_raise_concurrency() {
    let mut simulation = Simulation::new(NO_LEASE, &fleet(30, 1));
    simulation.load_time = TERM;
    simulation.planner.announce(announced(2, Duration::ZERO), START);
    simulation.run_until(START + ms(1_700));
    let before = simulation.loading_replicas().len();
    simulation.run_until(START + ms(4_000));
    assert!(
        simulation.loading_replicas().len() > before,
        "{before}, then {}",
        simulation.loading_replicas().len()
    );
}

#[test]
fn a_wave_takes_one_replica_of_each_zone() {
    let mut simulation = Simulation::new(NO_LEASE, &fleet(9, 1));
    simulation.planner.announce(announced(2, Duration::ZERO), START);
    simulation.run_until(START + ms(50));
    let zones: BTreeSet<String> = fleet(9, 1)
        .into_iter()
        .filter(|r| simulation.loading_replicas().contains(&r.id))
        .map(|r| r.zone)
        .collect();
    assert_eq!(zones.len(), 3);
}

#[test]
fn a_small_fleet_keeps_half_of_its_replicas() {
    let mut simulation = Simulation::new(NO_LEASE, &fleet(2, 1));
    simulation.planner.announce(announced(2, Duration::ZERO), START);
    simulation.run_until(START + ms(1_000));
    assert_eq!(simulation.loading_replicas().len(), 1);
}

#[test]
fn a_new_primary_sends_no_command_within_the_lease_term() {
    let mut simulation = Simulation::new(LEASE_TERM, &fleet(6, 1));
    simulation.planner.announce(announced(2, ms(5_000)), START);
    simulation.run_until(START + LEASE_TERM - STEP);
    assert!(simulation.loading_replicas().is_empty());
    simulation.run_until(START + LEASE_TERM + ms(400));
    assert_eq!(simulation.commands.len(), 3);
    assert!(simulation.commands.iter().all(|command| command.at >= LEASE_TERM));
}

#[rstest]
#[case::own(true, TERM.mul_f64(0.85))]
#[case::inherited(false, TERM.mul_f64(0.85) - Duration::from_secs(5))]
fn old_weights_are_withdrawn_before_the_term_ends(#[case] own: bool, #[case] after: Duration) {
    let mut simulation = Simulation::new(NO_LEASE, &fleet(6, 1));
    simulation.load_time = TERM * 2;
    if own {
        simulation.planner.announce(announced(2, Duration::ZERO), START);
    } else {
        simulation.planner.announce(announced(2, ms(5_000)), START);
    }
    simulation.run_until(START + after - STEP);
    assert_eq!(simulation.weights().minimum, WeightsRevision(0));
    simulation.run_until(START + after + STEP * 2);
    assert_eq!(simulation.weights().minimum, WeightsRevision(2));
}

#[test]
fn newer_weights_replace_a_running_rollout() {
    let mut simulation = Simulation::new(NO_LEASE, &fleet(6, 1));
    simulation.planner.announce(announced(2, Duration::ZERO), START);
    simulation.run_until(START + ms(100));
    simulation.planner.announce(announced(3, Duration::ZERO), START + ms(100));
    simulation.run_until(START + TERM);
    assert!(simulation.commands.iter().all(|command| command.revision == 3));
    assert_eq!(
        simulation.weights(),
        ModelWeights {
            model: "m".to_owned(),
            target: WeightsRevision(3),
            minimum: WeightsRevision(3),
            expired_below: WeightsRevision(3)
        }
    );
}

#[test]
fn two_revisions_have_separate_deadlines() {
    let mut simulation = Simulation::new(NO_LEASE, &fleet(6, 1));
    simulation.load_time = TERM * 2;
    simulation.planner.announce(announced(2, Duration::ZERO), START);
    simulation.planner.announce(announced(3, Duration::ZERO), START + ms(2_000));
    simulation.run_until(START + TERM.mul_f64(0.85) + STEP * 2);
    assert_eq!(simulation.weights().minimum, WeightsRevision(2));
    simulation.run_until(START + TERM.mul_f64(0.85) + ms(2_000) + STEP * 2);
    assert_eq!(simulation.weights().minimum, WeightsRevision(3));
}

#[test]
fn weights_withdrawn_before_a_takeover_remain_withdrawn() {
    let mut simulation = Simulation::new(LEASE_TERM, &fleet(6, 1));
    simulation.planner.inherit(&[ModelWeights {
        model: "m".to_owned(),
        target: WeightsRevision(2),
        minimum: WeightsRevision(2),
        expired_below: WeightsRevision(0),
    }]);
    simulation.planner.announce(announced(2, Duration::ZERO), START);
    assert_eq!(simulation.weights().minimum, WeightsRevision(2));
}

/// A planner for a single replica, which was just sent its command, and the time of the command.
fn planner_after_one_command() -> (Planner, Duration) {
    let settings = PlannerSettings { revision_term: RevisionTerm::new(TERM), lease_term: NO_LEASE };
    let mut planner = Planner::new(settings, START);
    planner.set_replicas(fleet(1, 1).iter(), START);
    planner.announce(announced(2, Duration::ZERO), START);
    assert_eq!(planner.step(START), []);
    let due = START + ms(250);
    assert!(matches!(planner.step(due).as_slice(), [Action::SendCommand { .. }]));
    (planner, due)
}

fn is_command(actions: &[Action]) -> bool {
    matches!(actions, [Action::SendCommand { .. }])
}

fn is_report(actions: &[Action]) -> bool {
    matches!(actions, [Action::FetchReport { .. }])
}

#[rstest]
#[case::unanswered(CommandOutcome::Unanswered)]
#[case::busy(CommandOutcome::Busy)]
fn a_command_is_retried_only_after_a_report(#[case] outcome: CommandOutcome) {
    let (mut planner, at) = planner_after_one_command();
    planner.record_outcome("i-01", outcome, at);
    assert_eq!(planner.step(at + ms(500)), []);
    assert!(is_report(&planner.step(at + ms(600))));
    let idle = ReplicaReport { models: vec![weights(1)], is_loading: false };
    planner.record_report("i-01", Some(&idle), at + ms(650));
    assert!(is_command(&planner.step(at + ms(650))));
}

#[test]
fn a_replica_that_refuses_serves_until_the_command_is_retried() {
    let (mut planner, at) = planner_after_one_command();
    planner.record_outcome("i-01", CommandOutcome::Refused, at);
    assert!(planner.corrections().loading.is_empty());
    assert_eq!(planner.next_deadline(), Some(at + ms(1_000)));
    assert_eq!(planner.step(at + ms(950)), []);
    assert!(planner.corrections().loading.is_empty());
    assert_eq!(planner.step(at + ms(1_000)), []);
    assert!(is_command(&planner.step(at + ms(1_250))));
}

#[test]
fn an_unanswered_command_that_was_accepted_is_not_retried() {
    let (mut planner, at) = planner_after_one_command();
    planner.record_outcome("i-01", CommandOutcome::Unanswered, at);
    planner.step(at + ms(600));
    planner.record_report(
        "i-01",
        Some(&ReplicaReport { models: vec![weights(1)], is_loading: true }),
        at + ms(650),
    );
    assert!(is_report(&planner.step(at + ms(950))));
    planner.record_report(
        "i-01",
        Some(&ReplicaReport { models: vec![weights(2)], is_loading: false }),
        at + ms(960),
    );
    assert_eq!(planner.step(at + ms(2_000)), []);
    assert!(planner.corrections().loading.is_empty());
}

/// The planner of a new primary that inherits i-01 and i-02 as loading, and i-03 as loaded.
fn successor_planner() -> Planner {
    let mut planner = Simulation::new(LEASE_TERM, &fleet(6, 1)).planner;
    planner.announce(announced(2, ms(2_000)), START);
    let inherited = Corrections {
        loading: BTreeSet::from(["i-01".to_owned(), "i-02".to_owned()]),
        revisions: BTreeMap::from([("i-03".to_owned(), vec![weights(2)])]),
    };
    planner.inherit_loads(&inherited, START);
    planner
}

fn loading(planner: &Planner) -> Vec<String> {
    planner.corrections().loading.into_iter().collect()
}

#[test]
fn a_successor_polls_loading_replicas_and_sends_no_requests() {
    let mut planner = successor_planner();
    assert_eq!(loading(&planner), ["i-01", "i-02"]);
    assert!(!planner.outdated_replicas("m", WeightsRevision(2)).contains(&"i-03".to_owned()));
    assert_eq!(planner.next_deadline(), Some(START), "fetching reports needs no lease");
    let actions = planner.step(START);
    assert!(
        actions.len() == 2 && actions.iter().all(|action| matches!(action, Action::FetchReport { .. }))
    );
    let report = |is_loading, revision| ReplicaReport { is_loading, models: vec![weights(revision)] };
    planner.record_report("i-01", Some(&report(true, 1)), START + ms(5));
    planner.record_report("i-02", Some(&report(false, 2)), START + ms(5));
    assert_eq!(loading(&planner), ["i-01"]);
    assert!(planner.step(START + ms(100)).is_empty());
    assert_eq!(planner.step(START + ms(200)).len(), 1, "the report is fetched again");
    planner.record_report("i-01", Some(&report(false, 2)), START + ms(205));
    assert!(loading(&planner).is_empty());
}

#[test]
fn a_replica_that_received_no_command_serves_again() {
    let mut planner = successor_planner();
    planner.step(START);
    let idle = ReplicaReport { is_loading: false, models: vec![weights(1)] };
    planner.record_report("i-01", Some(&idle), START + ms(5));
    assert!(loading(&planner).contains(&"i-01".to_owned()), "the report may be older than the command");
    planner.record_report("i-01", Some(&idle), START + ms(700));
    assert!(!loading(&planner).contains(&"i-01".to_owned()));
    assert!(
        planner.step(START + ms(800)).iter().all(|action| !matches!(action, Action::SendCommand { .. }))
    );
}

#[test]
fn a_fenced_primary_sends_no_more_commands() {
    let (mut planner, at) = planner_after_one_command();
    planner.record_outcome("i-01", CommandOutcome::Fenced, at);
    assert!(planner.is_fenced());
    assert_eq!(planner.step(at + ms(5_000)), []);
}

#[test]
fn a_load_ends_when_its_replica_leaves_the_list() {
    let (mut planner, at) = planner_after_one_command();
    planner.set_replicas(std::iter::empty(), at);
    assert!(planner.corrections().loading.is_empty());
    assert_eq!(planner.step(at + ms(2_000)), []);
}

#[test]
fn a_list_with_the_new_weights_ends_the_load() {
    let (mut planner, at) = planner_after_one_command();
    planner.record_outcome("i-01", CommandOutcome::Accepted, at);
    planner.set_replicas(fleet(1, 2).iter(), at + ms(1_000));
    assert!(planner.corrections().loading.is_empty());
    planner.step(at + ms(1_000));
    assert_eq!(planner.weights()[0].minimum, WeightsRevision(2));
}

#[test]
fn a_draining_replica_is_not_loaded() {
    let draining = Replica { phase: ReplicaPhase::Draining, ..replica(1, 1) };
    let mut simulation = Simulation::new(NO_LEASE, &[draining, replica(2, 1)]);
    simulation.planner.announce(announced(2, Duration::ZERO), START);
    simulation.run_until(START + TERM / 2);
    assert_eq!(simulation.commanded(), ["i-02"]);
}

#[test]
fn a_planner_without_announcements_has_no_deadline() {
    let mut simulation = Simulation::new(NO_LEASE, &fleet(3, 1));
    simulation.run_until(START + TERM);
    assert!(simulation.commands.is_empty());
    assert_eq!(simulation.planner.next_deadline(), None);
}

/// Five target revisions, announced every 3 s, while a load takes 1.8 s.
fn frequent_announcements() -> Simulation {
    let mut simulation = Simulation::new(NO_LEASE, &fleet(18, 1));
    simulation.load_time = ms(1_800);
    for (index, revision) in (2..=6).enumerate() {
        let at = START + ms(3_000) * index as u32;
        simulation.run_until(at);
        simulation.planner.announce(announced(revision, Duration::ZERO), at);
    }
    simulation
}

#[test]
fn each_replica_is_commanded_by_the_oldest_deadline() {
    let mut simulation = frequent_announcements();
    simulation.run_until(START + TERM);
    let commanded: BTreeSet<&str> = simulation.commanded().into_iter().collect();
    assert_eq!(commanded.len(), 18, "{commanded:?}");
}

#[test]
fn replicas_on_withdrawn_weights_load_despite_a_newer_rollout() {
    let mut simulation = Simulation::new(NO_LEASE, &fleet(18, 1));
    simulation.load_time = TERM * 2;
    simulation.planner.announce(announced(2, Duration::ZERO), START);
    simulation.run_until(START + ms(3_000));
    simulation.planner.announce(announced(3, Duration::ZERO), START + ms(3_000));
    let withdrawn = TERM.mul_f64(0.85);
    simulation.run_until(START + withdrawn + ms(500));
    assert_eq!(simulation.weights().minimum, WeightsRevision(2));
    assert_eq!(simulation.commands.len(), 18);
}

#[test]
fn a_draining_replica_is_commanded_once_its_queue_has_expired() {
    let draining = Replica { phase: ReplicaPhase::Draining, ..replica(1, 1) };
    let mut simulation = Simulation::new(NO_LEASE, &[draining, replica(2, 1)]);
    simulation.planner.announce(announced(2, Duration::ZERO), START);
    // The other replica has loaded long before, so older weights are withdrawn early. The draining replica's queue may
    // become empty without a command.
    simulation.run_until(START + TERM.mul_f64(0.85) - STEP);
    assert_eq!(
        simulation.weights(),
        ModelWeights {
            model: "m".to_owned(),
            target: WeightsRevision(2),
            minimum: WeightsRevision(2),
            expired_below: WeightsRevision(0)
        }
    );
    assert_eq!(simulation.commanded(), ["i-02"]);
    simulation.run_until(START + TERM.mul_f64(0.85) + ms(500));
    assert_eq!(simulation.weights().expired_below, WeightsRevision(2));
    assert_eq!(simulation.commanded(), ["i-02", "i-01"]);
}

#[test]
fn a_refusing_replica_on_withdrawn_weights_is_retried_soon() {
    let mut planner = Planner::new(
        PlannerSettings { revision_term: RevisionTerm::new(TERM), lease_term: NO_LEASE },
        START,
    );
    planner.set_replicas(fleet(1, 1).iter(), START);
    planner.announce(announced(2, TERM), START);
    planner.step(START);
    assert!(is_command(&planner.step(START + ms(200))));
    planner.record_outcome("i-01", CommandOutcome::Refused, START + ms(200));
    assert_eq!(planner.step(START + ms(400)), []);
    assert!(is_command(&planner.step(START + ms(600))));
}

#[test]
fn a_successor_keeps_the_deadlines_of_all_announcements() {
    let mut simulation = Simulation::new(NO_LEASE, &fleet(6, 1));
    simulation.load_time = TERM * 2;
    simulation.planner.inherit(&[ModelWeights {
        model: "m".to_owned(),
        target: WeightsRevision(3),
        minimum: WeightsRevision(0),
        expired_below: WeightsRevision(0),
    }]);
    simulation.planner.announce(announced(2, ms(9_000)), START);
    simulation.planner.announce(announced(3, ms(4_000)), START);
    let withdrawal = TERM.mul_f64(0.85);
    simulation.run_until(START + withdrawal - ms(9_000) + STEP * 2);
    assert_eq!(simulation.weights().expired_below, WeightsRevision(2));
    simulation.run_until(START + withdrawal - ms(4_000) - STEP);
    assert_eq!(simulation.weights().expired_below, WeightsRevision(2));
    simulation.run_until(START + withdrawal - ms(4_000) + STEP * 2);
    assert_eq!(simulation.weights().expired_below, WeightsRevision(3));
}

#[test]
fn a_repeated_announcement_is_not_new_after_its_expiry() {
    let mut simulation = Simulation::new(NO_LEASE, &fleet(3, 1));
    assert!(simulation.planner.announce(announced(2, Duration::ZERO), START));
    simulation.run_until(START + TERM);
    assert!(!simulation.planner.announce(announced(2, Duration::ZERO), START + TERM));
    assert!(!simulation.planner.announce(announced(1, Duration::ZERO), START + TERM));
    assert_eq!(
        simulation.weights(),
        ModelWeights {
            model: "m".to_owned(),
            target: WeightsRevision(2),
            minimum: WeightsRevision(2),
            expired_below: WeightsRevision(2)
        }
    );
}

#[test]
fn each_model_has_its_own_deadlines() {
    let other = |revision| ModelRevision { model: "n".to_owned(), revision };
    let both = |index| Replica { models: vec![weights(1), other(WeightsRevision(1))], ..replica(index, 1) };
    let mut simulation = Simulation::new(NO_LEASE, &[both(1), both(2)]);
    simulation.load_time = TERM * 2;
    simulation.planner.announce(announced(2, Duration::ZERO), START);
    simulation.planner.announce(Announcement { model: "n", ..announced(7, ms(3_000)) }, START);
    let expired = |simulation: &Simulation| {
        let weights = simulation.planner.weights().into_iter();
        weights.map(|weights| (weights.model, weights.expired_below)).collect::<Vec<_>>()
    };
    let withdrawal = TERM.mul_f64(0.85);
    simulation.run_until(START + withdrawal - ms(3_000) + STEP * 2);
    assert_eq!(
        expired(&simulation),
        [("m".to_owned(), WeightsRevision(0)), ("n".to_owned(), WeightsRevision(7))]
    );
    simulation.run_until(START + withdrawal + STEP * 2);
    assert_eq!(
        expired(&simulation),
        [("m".to_owned(), WeightsRevision(2)), ("n".to_owned(), WeightsRevision(7))]
    );
}
