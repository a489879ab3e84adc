//! The planner of the roll-out of weights, in virtual time.

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

const TERM: Duration = Duration::from_secs(12);
const LEASE: Duration = Duration::from_secs(3);
/// Of a primary that may send commands at once.
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
    /// Time since the start.
    at: Duration,
    replica: String,
    revision: u64,
}

/// A load that ends at a time.
struct RunningLoad {
    replica: String,
    until: Duration,
}

/// A planner beside replicas that accept all commands and load for a fixed time.
struct Scene {
    planner: Planner,
    now: Duration,
    load_time: Duration,
    loading: Vec<RunningLoad>,
    commands: Vec<ReceivedCommand>,
    most_concurrent: usize,
}

impl Scene {
    fn new(lease_term: Duration, replicas: &[Replica]) -> Scene {
        let settings = PlannerSettings { revision_term: RevisionTerm::new(TERM), lease_term };
        let mut planner = Planner::new(settings, START);
        planner.set_replicas(replicas.iter(), START);
        Scene {
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
                self.act(action);
            }
            self.most_concurrent = self.most_concurrent.max(self.loading_replicas().len());
            self.now += STEP;
        }
    }

    fn act(&mut self, action: Action) {
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
    let mut scene = Scene::new(NO_LEASE, &fleet(18, 1));
    scene.planner.announce(announced(2, Duration::ZERO), START);
    // Before the old weights are withdrawn, and spread over the time until then.
    scene.run_until(START + TERM.mul_f64(0.85) - STEP);
    assert_eq!(scene.commands.len(), 18);
    assert!(scene.most_concurrent >= 3 && scene.most_concurrent <= 5, "{} at once", scene.most_concurrent);
    assert_eq!(
        scene.weights(),
        ModelWeights {
            model: "m".to_owned(),
            named: WeightsRevision(2),
            least: WeightsRevision(2),
            expired: WeightsRevision(0)
        }
    );
    assert!(scene.loading_replicas().is_empty());
    assert_eq!(scene.planner.corrections().revisions.len(), 18);
}

#[test]
fn the_command_follows_the_notice() {
    let mut scene = Scene::new(NO_LEASE, &fleet(6, 1));
    scene.planner.announce(announced(2, Duration::ZERO), START);
    scene.run_until(START + ms(200));
    assert_eq!(scene.loading_replicas().len(), 3);
    assert!(scene.commands.is_empty());
    scene.run_until(START + ms(400));
    assert_eq!(scene.commands.len(), 3);
}

#[test]
fn the_least_busy_of_each_zone_load_first() {
    let mut scene = Scene::new(NO_LEASE, &fleet(9, 1));
    let busy = ["i-01", "i-02", "i-03", "i-04", "i-05", "i-06"].map(|id| (id.to_owned(), 5));
    scene.planner.set_queued_work(busy.into());
    scene.planner.announce(announced(2, Duration::ZERO), START);
    scene.run_until(START + ms(50));
    assert_eq!(scene.loading_replicas(), ["i-07", "i-08", "i-09"].map(str::to_owned).into());
}

#[test]
fn the_command_waits_a_second_at_most_for_queued_requests() {
    let mut scene = Scene::new(NO_LEASE, &fleet(3, 1));
    scene.planner.announce(announced(2, Duration::ZERO), START);
    let busy = ["i-01", "i-02", "i-03"].map(|id| (id.to_owned(), 5));
    scene.planner.set_queued_work(busy.into());
    scene.run_until(START + ms(600));
    assert!(scene.commands.is_empty());
    scene.planner.set_queued_work([("i-01".to_owned(), 5)].into());
    scene.run_until(START + ms(800));
    let taken = scene.commanded().len();
    assert!(taken >= 1 && !scene.commanded().contains(&"i-01"), "{:?}", scene.commanded());
    scene.planner.set_queued_work(BTreeMap::from(["i-01", "i-02", "i-03"].map(|id| (id.to_owned(), 5))));
    scene.run_until(START + ms(1_100));
    assert!(scene.commanded().contains(&"i-01"));
}

#[test]
fn a_load_of_withdrawn_weights_does_not_wait_for_queued_requests() {
    let mut scene = Scene::new(NO_LEASE, &fleet(1, 1));
    scene.planner.inherit(&[ModelWeights {
        model: "m".to_owned(),
        named: WeightsRevision(2),
        least: WeightsRevision(2),
        expired: WeightsRevision(0),
    }]);
    scene.planner.set_queued_work([("i-01".to_owned(), 5)].into());
    scene.run_until(START + ms(300));
    assert_eq!(scene.commanded(), ["i-01"]);
}

#[test]
fn loads_that_slow_each_other_down_do_not_raise_concurrency_further() {
    let mut scene = Scene::new(NO_LEASE, &fleet(40, 1));
    scene.planner.announce(announced(2, Duration::ZERO), START);
    scene.run_until(START + ms(2_500));
    let at_first = scene.most_concurrent;
    // From now on a load takes three times as long as the first ones did.
    scene.load_time = ms(3_600);
    scene.run_until(START + ms(5_500));
    assert!(scene.most_concurrent <= at_first + 2, "{at_first} and then {}", scene.most_concurrent);
}

#[test]
fn loads_that_take_longer_than_expected_raise_concurrency() {
    let mut scene = Scene::new(NO_LEASE, &fleet(30, 1));
    scene.load_time = TERM;
    scene.planner.announce(announced(2, Duration::ZERO), START);
    scene.run_until(START + ms(1_700));
    let before = scene.loading_replicas().len();
    scene.run_until(START + ms(4_000));
    assert!(
        scene.loading_replicas().len() > before,
        "{before} and then {}",
        scene.loading_replicas().len()
    );
}

#[test]
fn a_wave_takes_one_replica_of_each_zone() {
    let mut scene = Scene::new(NO_LEASE, &fleet(9, 1));
    scene.planner.announce(announced(2, Duration::ZERO), START);
    scene.run_until(START + ms(50));
    let zones: BTreeSet<String> = fleet(9, 1)
        .into_iter()
        .filter(|r| scene.loading_replicas().contains(&r.id))
        .map(|r| r.zone)
        .collect();
    assert_eq!(zones.len(), 3);
}

#[test]
fn a_small_fleet_keeps_half_of_its_replicas() {
    let mut scene = Scene::new(NO_LEASE, &fleet(2, 1));
    scene.planner.announce(announced(2, Duration::ZERO), START);
    scene.run_until(START + ms(1_000));
    assert_eq!(scene.loading_replicas().len(), 1);
}

#[test]
fn a_new_primary_sends_no_command_within_the_lease_term() {
    let mut scene = Scene::new(LEASE, &fleet(6, 1));
    scene.planner.announce(announced(2, ms(5_000)), START);
    scene.run_until(START + LEASE - STEP);
    assert!(scene.loading_replicas().is_empty());
    scene.run_until(START + LEASE + ms(400));
    assert_eq!(scene.commands.len(), 3);
    assert!(scene.commands.iter().all(|command| command.at >= LEASE));
}

#[rstest]
#[case::own(true, TERM.mul_f64(0.85))]
#[case::inherited(false, TERM.mul_f64(0.85) - Duration::from_secs(5))]
fn old_weights_are_withdrawn_before_the_term_ends(#[case] own: bool, #[case] after: Duration) {
    let mut scene = Scene::new(NO_LEASE, &fleet(6, 1));
    scene.load_time = TERM * 2;
    if own {
        scene.planner.announce(announced(2, Duration::ZERO), START);
    } else {
        scene.planner.announce(announced(2, ms(5_000)), START);
    }
    scene.run_until(START + after - STEP);
    assert_eq!(scene.weights().least, WeightsRevision(0));
    scene.run_until(START + after + STEP * 2);
    assert_eq!(scene.weights().least, WeightsRevision(2));
}

#[test]
fn newer_weights_replace_those_that_roll_out() {
    let mut scene = Scene::new(NO_LEASE, &fleet(6, 1));
    scene.planner.announce(announced(2, Duration::ZERO), START);
    scene.run_until(START + ms(100));
    scene.planner.announce(announced(3, Duration::ZERO), START + ms(100));
    scene.run_until(START + TERM);
    assert!(scene.commands.iter().all(|command| command.revision == 3));
    assert_eq!(
        scene.weights(),
        ModelWeights {
            model: "m".to_owned(),
            named: WeightsRevision(3),
            least: WeightsRevision(3),
            expired: WeightsRevision(3)
        }
    );
}

#[test]
fn the_deadlines_of_two_revisions_run_side_by_side() {
    let mut scene = Scene::new(NO_LEASE, &fleet(6, 1));
    scene.load_time = TERM * 2;
    scene.planner.announce(announced(2, Duration::ZERO), START);
    scene.planner.announce(announced(3, Duration::ZERO), START + ms(2_000));
    scene.run_until(START + TERM.mul_f64(0.85) + STEP * 2);
    assert_eq!(scene.weights().least, WeightsRevision(2));
    scene.run_until(START + TERM.mul_f64(0.85) + ms(2_000) + STEP * 2);
    assert_eq!(scene.weights().least, WeightsRevision(3));
}

#[test]
fn weights_withdrawn_before_a_takeover_remain_withdrawn() {
    let mut scene = Scene::new(LEASE, &fleet(6, 1));
    scene.planner.inherit(&[ModelWeights {
        model: "m".to_owned(),
        named: WeightsRevision(2),
        least: WeightsRevision(2),
        expired: WeightsRevision(0),
    }]);
    scene.planner.announce(announced(2, Duration::ZERO), START);
    assert_eq!(scene.weights().least, WeightsRevision(2));
}

/// A plan with a single replica whose command was just sent.
fn single_command() -> (Planner, Duration) {
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
    let (mut planner, at) = single_command();
    planner.record_outcome("i-01", outcome, at);
    assert_eq!(planner.step(at + ms(500)), []);
    assert!(is_report(&planner.step(at + ms(600))));
    let idle = ReplicaReport { models: vec![weights(1)], is_loading: false };
    planner.record_report("i-01", Some(&idle), at + ms(650));
    assert!(is_command(&planner.step(at + ms(650))));
}

#[test]
fn a_replica_that_refuses_serves_until_the_command_is_retried() {
    let (mut planner, at) = single_command();
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
    let (mut planner, at) = single_command();
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

/// A plan that inherits i-01 and i-02 as loading, and i-03 as loaded.
fn successor() -> Planner {
    let mut planner = Scene::new(LEASE, &fleet(6, 1)).planner;
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
fn a_successor_asks_replicas_that_were_loading_and_sends_them_no_requests_meanwhile() {
    let mut planner = successor();
    assert_eq!(loading(&planner), ["i-01", "i-02"]);
    assert!(!planner.outdated_replicas("m", WeightsRevision(2)).contains(&"i-03".to_owned()));
    assert_eq!(planner.next_deadline(), Some(START), "reports need no lease");
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
fn a_replica_that_no_command_has_reached_serves_again() {
    let mut planner = successor();
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
    let (mut planner, at) = single_command();
    planner.record_outcome("i-01", CommandOutcome::Fenced, at);
    assert!(planner.is_fenced());
    assert_eq!(planner.step(at + ms(5_000)), []);
}

#[test]
fn a_load_ends_when_its_replica_leaves_the_list() {
    let (mut planner, at) = single_command();
    planner.set_replicas(std::iter::empty(), at);
    assert!(planner.corrections().loading.is_empty());
    assert_eq!(planner.step(at + ms(2_000)), []);
}

#[test]
fn a_list_that_shows_the_weights_ends_the_load() {
    let (mut planner, at) = single_command();
    planner.record_outcome("i-01", CommandOutcome::Accepted, at);
    planner.set_replicas(fleet(1, 2).iter(), at + ms(1_000));
    assert!(planner.corrections().loading.is_empty());
    planner.step(at + ms(1_000));
    assert_eq!(planner.weights()[0].least, WeightsRevision(2));
}

#[test]
fn a_draining_replica_is_not_loaded() {
    let draining = Replica { phase: ReplicaPhase::Draining, ..replica(1, 1) };
    let mut scene = Scene::new(NO_LEASE, &[draining, replica(2, 1)]);
    scene.planner.announce(announced(2, Duration::ZERO), START);
    scene.run_until(START + TERM / 2);
    assert_eq!(scene.commanded(), ["i-02"]);
}

#[test]
fn nothing_is_due_while_nothing_is_announced() {
    let mut scene = Scene::new(NO_LEASE, &fleet(3, 1));
    scene.run_until(START + TERM);
    assert!(scene.commands.is_empty());
    assert_eq!(scene.planner.next_deadline(), None);
}

/// Targets that are announced every 3 s while replicas take long to load.
fn announcements_in_quick_succession() -> Scene {
    let mut scene = Scene::new(NO_LEASE, &fleet(18, 1));
    scene.load_time = ms(1_800);
    for (index, revision) in (2..=6).enumerate() {
        let at = START + ms(3_000) * index as u32;
        scene.run_until(at);
        scene.planner.announce(announced(revision, Duration::ZERO), at);
    }
    scene
}

#[test]
fn each_replica_is_commanded_by_the_deadline_of_the_oldest_announcement() {
    let mut scene = announcements_in_quick_succession();
    scene.run_until(START + TERM);
    let commanded: BTreeSet<&str> = scene.commanded().into_iter().collect();
    assert_eq!(commanded.len(), 18, "{commanded:?}");
}

#[test]
fn replicas_on_withdrawn_weights_load_at_once_while_newer_ones_roll_out() {
    let mut scene = Scene::new(NO_LEASE, &fleet(18, 1));
    scene.load_time = TERM * 2;
    scene.planner.announce(announced(2, Duration::ZERO), START);
    scene.run_until(START + ms(3_000));
    scene.planner.announce(announced(3, Duration::ZERO), START + ms(3_000));
    let withdrawn = TERM.mul_f64(0.85);
    scene.run_until(START + withdrawn + ms(500));
    assert_eq!(scene.weights().least, WeightsRevision(2));
    assert_eq!(scene.commands.len(), 18);
}

#[test]
fn a_draining_replica_is_commanded_once_its_queued_requests_must_not_begin() {
    let draining = Replica { phase: ReplicaPhase::Draining, ..replica(1, 1) };
    let mut scene = Scene::new(NO_LEASE, &[draining, replica(2, 1)]);
    scene.planner.announce(announced(2, Duration::ZERO), START);
    // All others have loaded long before, and older weights are withdrawn early; its queue may empty by itself.
    scene.run_until(START + TERM.mul_f64(0.85) - STEP);
    assert_eq!(
        scene.weights(),
        ModelWeights {
            model: "m".to_owned(),
            named: WeightsRevision(2),
            least: WeightsRevision(2),
            expired: WeightsRevision(0)
        }
    );
    assert_eq!(scene.commanded(), ["i-02"]);
    scene.run_until(START + TERM.mul_f64(0.85) + ms(500));
    assert_eq!(scene.weights().expired, WeightsRevision(2));
    assert_eq!(scene.commanded(), ["i-02", "i-01"]);
}

#[test]
fn a_replica_on_withdrawn_weights_that_refuses_is_retried_soon() {
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
fn a_successor_continues_with_the_deadlines_of_all_announcements() {
    let mut scene = Scene::new(NO_LEASE, &fleet(6, 1));
    scene.load_time = TERM * 2;
    scene.planner.inherit(&[ModelWeights {
        model: "m".to_owned(),
        named: WeightsRevision(3),
        least: WeightsRevision(0),
        expired: WeightsRevision(0),
    }]);
    scene.planner.announce(announced(2, ms(9_000)), START);
    scene.planner.announce(announced(3, ms(4_000)), START);
    let withdrawal = TERM.mul_f64(0.85);
    scene.run_until(START + withdrawal - ms(9_000) + STEP * 2);
    assert_eq!(scene.weights().expired, WeightsRevision(2));
    scene.run_until(START + withdrawal - ms(4_000) - STEP);
    assert_eq!(scene.weights().expired, WeightsRevision(2));
    scene.run_until(START + withdrawal - ms(4_000) + STEP * 2);
    assert_eq!(scene.weights().expired, WeightsRevision(3));
}

#[test]
fn an_expired_announcement_is_not_new_when_it_is_repeated() {
    let mut scene = Scene::new(NO_LEASE, &fleet(3, 1));
    assert!(scene.planner.announce(announced(2, Duration::ZERO), START));
    scene.run_until(START + TERM);
    assert!(!scene.planner.announce(announced(2, Duration::ZERO), START + TERM));
    assert!(!scene.planner.announce(announced(1, Duration::ZERO), START + TERM));
    assert_eq!(
        scene.weights(),
        ModelWeights {
            model: "m".to_owned(),
            named: WeightsRevision(2),
            least: WeightsRevision(2),
            expired: WeightsRevision(2)
        }
    );
}

#[test]
fn each_model_has_deadlines_of_its_own() {
    let other = |revision| ModelRevision { model: "n".to_owned(), revision };
    let both = |index| Replica { models: vec![weights(1), other(WeightsRevision(1))], ..replica(index, 1) };
    let mut scene = Scene::new(NO_LEASE, &[both(1), both(2)]);
    scene.load_time = TERM * 2;
    scene.planner.announce(announced(2, Duration::ZERO), START);
    scene.planner.announce(Announcement { model: "n", ..announced(7, ms(3_000)) }, START);
    let expired = |scene: &Scene| {
        let weights = scene.planner.weights().into_iter();
        weights.map(|weights| (weights.model, weights.expired)).collect::<Vec<_>>()
    };
    let withdrawal = TERM.mul_f64(0.85);
    scene.run_until(START + withdrawal - ms(3_000) + STEP * 2);
    assert_eq!(
        expired(&scene),
        [("m".to_owned(), WeightsRevision(0)), ("n".to_owned(), WeightsRevision(7))]
    );
    scene.run_until(START + withdrawal + STEP * 2);
    assert_eq!(
        expired(&scene),
        [("m".to_owned(), WeightsRevision(2)), ("n".to_owned(), WeightsRevision(7))]
    );
}
