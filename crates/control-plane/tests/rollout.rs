//! The plan of a roll-out of weights, in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rstest::rstest;
use tulipridge_control_plane::rollout::{Action, OrderAnswer, Planner, PlannerSettings, Report};
use tulipridge_protocol::feed::{ModelRevision, ModelWeights, Replica, ReplicaPhase};
use tulipridge_runtime::settings::RevisionTerm;

const TERM: Duration = Duration::from_secs(12);
const LEASE: Duration = Duration::from_secs(3);
/// Of a holder that may give orders at once.
const NO_LEASE: Duration = Duration::ZERO;
const START: Duration = Duration::from_secs(100);
const STEP: Duration = Duration::from_millis(50);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn weights(revision: u64) -> ModelRevision {
    ModelRevision { model: "m".to_owned(), revision }
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

fn fleet(count: usize, revision: u64) -> Vec<Replica> {
    (1..=count).map(|index| replica(index, revision)).collect()
}

/// Replicas that take orders and load for a fixed time, beside a planner.
struct Scene {
    planner: Planner,
    now: Duration,
    load_time: Duration,
    loading: Vec<(String, Duration)>,
    orders: Vec<(Duration, String, u64)>,
    most_at_once: usize,
}

impl Scene {
    fn new(lease_term: Duration, replicas: &[Replica]) -> Scene {
        let settings = PlannerSettings { revision_term: RevisionTerm::new(TERM), lease_term };
        let mut planner = Planner::new(settings, START);
        planner.listed(replicas.iter(), START);
        let (loading, orders) = (Vec::new(), Vec::new());
        Scene { planner, now: START, load_time: ms(1_200), loading, orders, most_at_once: 0 }
    }

    fn run_until(&mut self, end: Duration) {
        while self.now < end {
            for action in self.planner.step(self.now) {
                self.act(action);
            }
            self.most_at_once = self.most_at_once.max(self.marked().len());
            self.now += STEP;
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Order { replica, weights, .. } => {
                assert!(self.marked().contains(&replica), "orders go to replicas that take no requests");
                self.orders.push((self.now - START, replica.clone(), weights.revision));
                self.loading.push((replica.clone(), self.now + self.load_time));
                self.planner.order_answered(&replica, OrderAnswer::Accepted, self.now);
            }
            Action::Report { replica, .. } => {
                let done = self.loading.iter().any(|(id, until)| *id == replica && *until <= self.now);
                let ordered = self.orders.iter().filter(|(_, id, _)| *id == replica).map(|order| order.2);
                let revision = if done { ordered.max().unwrap_or(1) } else { 1 };
                let report = Report { models: vec![weights(revision)], loading: !done };
                self.planner.reported(&replica, Some(&report), self.now);
            }
        }
    }

    fn marked(&self) -> BTreeSet<String> {
        self.planner.corrections().loading
    }

    fn ordered(&self) -> Vec<&str> {
        self.orders.iter().map(|(_, id, _)| id.as_str()).collect()
    }

    fn line(&self) -> ModelWeights {
        self.planner.weights().remove(0)
    }
}

#[test]
fn all_replicas_load_in_waves_within_the_term() {
    let mut scene = Scene::new(NO_LEASE, &fleet(18, 1));
    scene.planner.named("m", 2, Duration::ZERO, START);
    // Before the old weights are withdrawn, and spread over the time until then.
    scene.run_until(START + TERM.mul_f64(0.85) - STEP);
    assert_eq!(scene.orders.len(), 18);
    assert!(scene.most_at_once >= 3 && scene.most_at_once <= 5, "{} at once", scene.most_at_once);
    assert_eq!(scene.line(), ModelWeights { model: "m".to_owned(), named: 2, least: 2, expired: 0 });
    assert!(scene.marked().is_empty());
    assert_eq!(scene.planner.corrections().revisions.len(), 18);
}

#[test]
fn the_order_follows_the_notice() {
    let mut scene = Scene::new(NO_LEASE, &fleet(6, 1));
    scene.planner.named("m", 2, Duration::ZERO, START);
    scene.run_until(START + ms(200));
    assert_eq!(scene.marked().len(), 3);
    assert!(scene.orders.is_empty());
    scene.run_until(START + ms(400));
    assert_eq!(scene.orders.len(), 3);
}

#[test]
fn the_least_busy_of_each_zone_load_first() {
    let mut scene = Scene::new(NO_LEASE, &fleet(9, 1));
    let busy = ["i-01", "i-02", "i-03", "i-04", "i-05", "i-06"].map(|id| (id.to_owned(), 5));
    scene.planner.work_waits(busy.into());
    scene.planner.named("m", 2, Duration::ZERO, START);
    scene.run_until(START + ms(50));
    assert_eq!(scene.marked(), ["i-07", "i-08", "i-09"].map(str::to_owned).into());
}

#[test]
fn the_order_waits_a_second_at_most_for_work_that_waits() {
    let mut scene = Scene::new(NO_LEASE, &fleet(3, 1));
    scene.planner.named("m", 2, Duration::ZERO, START);
    let busy = ["i-01", "i-02", "i-03"].map(|id| (id.to_owned(), 5));
    scene.planner.work_waits(busy.into());
    scene.run_until(START + ms(600));
    assert!(scene.orders.is_empty());
    scene.planner.work_waits([("i-01".to_owned(), 5)].into());
    scene.run_until(START + ms(800));
    let taken = scene.ordered().len();
    assert!(taken >= 1 && !scene.ordered().contains(&"i-01"), "{:?}", scene.ordered());
    scene.planner.work_waits(BTreeMap::from(["i-01", "i-02", "i-03"].map(|id| (id.to_owned(), 5))));
    scene.run_until(START + ms(1_100));
    assert!(scene.ordered().contains(&"i-01"));
}

#[test]
fn withdrawn_weights_are_not_kept_for_work_that_waits() {
    let mut scene = Scene::new(NO_LEASE, &fleet(1, 1));
    scene.planner.inherit(&[ModelWeights { model: "m".to_owned(), named: 2, least: 2, expired: 0 }]);
    scene.planner.work_waits([("i-01".to_owned(), 5)].into());
    scene.run_until(START + ms(300));
    assert_eq!(scene.ordered(), ["i-01"]);
}

#[test]
fn loads_that_slow_each_other_down_do_not_let_ever_more_begin() {
    let mut scene = Scene::new(NO_LEASE, &fleet(40, 1));
    scene.planner.named("m", 2, Duration::ZERO, START);
    scene.run_until(START + ms(2_500));
    let at_first = scene.most_at_once;
    // From now on a load takes three times as long as the first ones did.
    scene.load_time = ms(3_600);
    scene.run_until(START + ms(5_500));
    assert!(scene.most_at_once <= at_first + 2, "{at_first} and then {}", scene.most_at_once);
}

#[test]
fn loads_that_take_longer_than_any_before_let_more_begin() {
    let mut scene = Scene::new(NO_LEASE, &fleet(30, 1));
    scene.load_time = TERM;
    scene.planner.named("m", 2, Duration::ZERO, START);
    scene.run_until(START + ms(1_700));
    let before = scene.marked().len();
    scene.run_until(START + ms(4_000));
    assert!(scene.marked().len() > before, "{before} and then {}", scene.marked().len());
}

#[test]
fn a_wave_takes_one_replica_of_each_zone() {
    let mut scene = Scene::new(NO_LEASE, &fleet(9, 1));
    scene.planner.named("m", 2, Duration::ZERO, START);
    scene.run_until(START + ms(50));
    let zones: BTreeSet<String> =
        fleet(9, 1).into_iter().filter(|r| scene.marked().contains(&r.id)).map(|r| r.zone).collect();
    assert_eq!(zones.len(), 3);
}

#[test]
fn a_small_fleet_keeps_half_of_its_replicas() {
    let mut scene = Scene::new(NO_LEASE, &fleet(2, 1));
    scene.planner.named("m", 2, Duration::ZERO, START);
    scene.run_until(START + ms(1_000));
    assert_eq!(scene.marked().len(), 1);
}

#[test]
fn a_new_holder_gives_no_order_within_the_lease_term() {
    let mut scene = Scene::new(LEASE, &fleet(6, 1));
    scene.planner.named("m", 2, ms(5_000), START);
    scene.run_until(START + LEASE - STEP);
    assert!(scene.marked().is_empty());
    scene.run_until(START + LEASE + ms(400));
    assert_eq!(scene.orders.len(), 3);
    assert!(scene.orders.iter().all(|(at, _, _)| *at >= LEASE));
}

#[rstest]
#[case::own(true, TERM.mul_f64(0.85))]
#[case::inherited(false, TERM.mul_f64(0.85) - Duration::from_secs(5))]
fn old_weights_are_withdrawn_before_the_term_ends(#[case] own: bool, #[case] after: Duration) {
    let mut scene = Scene::new(NO_LEASE, &fleet(6, 1));
    scene.load_time = TERM * 2;
    if own {
        scene.planner.named("m", 2, Duration::ZERO, START);
    } else {
        scene.planner.named("m", 2, ms(5_000), START);
    }
    scene.run_until(START + after - STEP);
    assert_eq!(scene.line().least, 0);
    scene.run_until(START + after + STEP * 2);
    assert_eq!(scene.line().least, 2);
}

#[test]
fn newer_weights_replace_those_that_roll_out() {
    let mut scene = Scene::new(NO_LEASE, &fleet(6, 1));
    scene.planner.named("m", 2, Duration::ZERO, START);
    scene.run_until(START + ms(100));
    scene.planner.named("m", 3, Duration::ZERO, START + ms(100));
    scene.run_until(START + TERM);
    assert!(scene.orders.iter().all(|(_, _, revision)| *revision == 3));
    assert_eq!(scene.line(), ModelWeights { model: "m".to_owned(), named: 3, least: 3, expired: 3 });
}

#[test]
fn the_terms_of_two_revisions_run_side_by_side() {
    let mut scene = Scene::new(NO_LEASE, &fleet(6, 1));
    scene.load_time = TERM * 2;
    scene.planner.named("m", 2, Duration::ZERO, START);
    scene.planner.named("m", 3, Duration::ZERO, START + ms(2_000));
    scene.run_until(START + TERM.mul_f64(0.85) + STEP * 2);
    assert_eq!(scene.line().least, 2);
    scene.run_until(START + TERM.mul_f64(0.85) + ms(2_000) + STEP * 2);
    assert_eq!(scene.line().least, 3);
}

#[test]
fn what_was_withdrawn_before_a_takeover_remains_so() {
    let mut scene = Scene::new(LEASE, &fleet(6, 1));
    scene.planner.inherit(&[ModelWeights { model: "m".to_owned(), named: 2, least: 2, expired: 0 }]);
    scene.planner.named("m", 2, Duration::ZERO, START);
    assert_eq!(scene.line().least, 2);
}

/// A plan with a single replica whose order is due.
fn single_order() -> (Planner, Duration) {
    let settings = PlannerSettings { revision_term: RevisionTerm::new(TERM), lease_term: NO_LEASE };
    let mut planner = Planner::new(settings, START);
    planner.listed(fleet(1, 1).iter(), START);
    planner.named("m", 2, Duration::ZERO, START);
    assert_eq!(planner.step(START), []);
    let due = START + ms(250);
    assert!(matches!(planner.step(due).as_slice(), [Action::Order { .. }]));
    (planner, due)
}

fn is_order(actions: &[Action]) -> bool {
    matches!(actions, [Action::Order { .. }])
}

fn is_report(actions: &[Action]) -> bool {
    matches!(actions, [Action::Report { .. }])
}

#[rstest]
#[case::unanswered(OrderAnswer::Unanswered)]
#[case::busy(OrderAnswer::Busy)]
fn an_order_is_repeated_only_after_a_look_at_the_report(#[case] answer: OrderAnswer) {
    let (mut planner, at) = single_order();
    planner.order_answered("i-01", answer, at);
    assert_eq!(planner.step(at + ms(500)), []);
    assert!(is_report(&planner.step(at + ms(600))));
    let idle = Report { models: vec![weights(1)], loading: false };
    planner.reported("i-01", Some(&idle), at + ms(650));
    assert!(is_order(&planner.step(at + ms(650))));
}

#[test]
fn a_replica_that_refuses_serves_on_until_it_is_asked_again() {
    let (mut planner, at) = single_order();
    planner.order_answered("i-01", OrderAnswer::Refused, at);
    assert!(planner.corrections().loading.is_empty());
    assert_eq!(planner.next_deadline(), Some(at + ms(1_000)));
    assert_eq!(planner.step(at + ms(950)), []);
    assert!(planner.corrections().loading.is_empty());
    assert_eq!(planner.step(at + ms(1_000)), []);
    assert!(is_order(&planner.step(at + ms(1_250))));
}

#[test]
fn an_unanswered_order_that_was_taken_is_not_repeated() {
    let (mut planner, at) = single_order();
    planner.order_answered("i-01", OrderAnswer::Unanswered, at);
    planner.step(at + ms(600));
    planner.reported("i-01", Some(&Report { models: vec![weights(1)], loading: true }), at + ms(650));
    assert!(is_report(&planner.step(at + ms(950))));
    planner.reported("i-01", Some(&Report { models: vec![weights(2)], loading: false }), at + ms(960));
    assert_eq!(planner.step(at + ms(2_000)), []);
    assert!(planner.corrections().loading.is_empty());
}

#[test]
fn a_fenced_holder_gives_no_more_orders() {
    let (mut planner, at) = single_order();
    planner.order_answered("i-01", OrderAnswer::Fenced, at);
    assert!(planner.is_fenced());
    assert_eq!(planner.step(at + ms(5_000)), []);
}

#[test]
fn a_replica_that_left_the_list_is_forgotten() {
    let (mut planner, at) = single_order();
    planner.listed(std::iter::empty(), at);
    assert!(planner.corrections().loading.is_empty());
    assert_eq!(planner.step(at + ms(2_000)), []);
}

#[test]
fn a_list_that_shows_the_weights_ends_the_load() {
    let (mut planner, at) = single_order();
    planner.order_answered("i-01", OrderAnswer::Accepted, at);
    planner.listed(fleet(1, 2).iter(), at + ms(1_000));
    assert!(planner.corrections().loading.is_empty());
    planner.step(at + ms(1_000));
    assert_eq!(planner.weights()[0].least, 2);
}

#[test]
fn a_draining_replica_is_not_loaded() {
    let draining = Replica { phase: ReplicaPhase::Draining, ..replica(1, 1) };
    let mut scene = Scene::new(NO_LEASE, &[draining, replica(2, 1)]);
    scene.planner.named("m", 2, Duration::ZERO, START);
    scene.run_until(START + TERM / 2);
    assert_eq!(scene.ordered(), ["i-02"]);
}

#[test]
fn nothing_is_due_while_nothing_is_named() {
    let mut scene = Scene::new(NO_LEASE, &fleet(3, 1));
    scene.run_until(START + TERM);
    assert!(scene.orders.is_empty());
    assert_eq!(scene.planner.next_deadline(), None);
}

/// Weights named every 3 s while replicas take long to load.
fn names_in_quick_succession() -> Scene {
    let mut scene = Scene::new(NO_LEASE, &fleet(18, 1));
    scene.load_time = ms(1_800);
    for (index, revision) in (2..=6).enumerate() {
        let at = START + ms(3_000) * index as u32;
        scene.run_until(at);
        scene.planner.named("m", revision, Duration::ZERO, at);
    }
    scene
}

#[test]
fn each_replica_is_ordered_within_the_term_of_the_oldest_name() {
    let mut scene = names_in_quick_succession();
    scene.run_until(START + TERM);
    let ordered: BTreeSet<&str> = scene.ordered().into_iter().collect();
    assert_eq!(ordered.len(), 18, "{ordered:?}");
}

#[test]
fn replicas_on_withdrawn_weights_are_ordered_at_once_while_newer_ones_roll_out() {
    let mut scene = Scene::new(NO_LEASE, &fleet(18, 1));
    scene.load_time = TERM * 2;
    scene.planner.named("m", 2, Duration::ZERO, START);
    scene.run_until(START + ms(3_000));
    scene.planner.named("m", 3, Duration::ZERO, START + ms(3_000));
    let withdrawn = TERM.mul_f64(0.85);
    scene.run_until(START + withdrawn + ms(500));
    assert_eq!(scene.line().least, 2);
    assert_eq!(scene.orders.len(), 18);
}

#[test]
fn a_leaving_replica_is_ordered_once_what_waits_there_must_not_begin() {
    let draining = Replica { phase: ReplicaPhase::Draining, ..replica(1, 1) };
    let mut scene = Scene::new(NO_LEASE, &[draining, replica(2, 1)]);
    scene.planner.named("m", 2, Duration::ZERO, START);
    // All others have loaded long before, and older weights are withdrawn early; its queue may empty by itself.
    scene.run_until(START + TERM.mul_f64(0.85) - STEP);
    assert_eq!(scene.line(), ModelWeights { model: "m".to_owned(), named: 2, least: 2, expired: 0 });
    assert_eq!(scene.ordered(), ["i-02"]);
    scene.run_until(START + TERM.mul_f64(0.85) + ms(500));
    assert_eq!(scene.line().expired, 2);
    assert_eq!(scene.ordered(), ["i-02", "i-01"]);
}

#[test]
fn a_replica_on_withdrawn_weights_that_refuses_is_asked_again_soon() {
    let mut planner = Planner::new(
        PlannerSettings { revision_term: RevisionTerm::new(TERM), lease_term: NO_LEASE },
        START,
    );
    planner.listed(fleet(1, 1).iter(), START);
    planner.named("m", 2, TERM, START);
    planner.step(START);
    assert!(is_order(&planner.step(START + ms(200))));
    planner.order_answered("i-01", OrderAnswer::Refused, START + ms(200));
    assert_eq!(planner.step(START + ms(400)), []);
    assert!(is_order(&planner.step(START + ms(600))));
}

#[test]
fn a_successor_goes_on_with_the_terms_of_all_names() {
    let mut scene = Scene::new(NO_LEASE, &fleet(6, 1));
    scene.load_time = TERM * 2;
    scene.planner.inherit(&[ModelWeights { model: "m".to_owned(), named: 3, least: 0, expired: 0 }]);
    scene.planner.named("m", 2, ms(9_000), START);
    scene.planner.named("m", 3, ms(4_000), START);
    let withdrawal = TERM.mul_f64(0.85);
    scene.run_until(START + withdrawal - ms(9_000) + STEP * 2);
    assert_eq!(scene.line().expired, 2);
    scene.run_until(START + withdrawal - ms(4_000) - STEP);
    assert_eq!(scene.line().expired, 2);
    scene.run_until(START + withdrawal - ms(4_000) + STEP * 2);
    assert_eq!(scene.line().expired, 3);
}

#[test]
fn a_name_that_was_withdrawn_is_no_news_when_it_is_heard_again() {
    let mut scene = Scene::new(NO_LEASE, &fleet(3, 1));
    assert!(scene.planner.named("m", 2, Duration::ZERO, START));
    scene.run_until(START + TERM);
    assert!(!scene.planner.named("m", 2, Duration::ZERO, START + TERM));
    assert!(!scene.planner.named("m", 1, Duration::ZERO, START + TERM));
    assert_eq!(scene.line(), ModelWeights { model: "m".to_owned(), named: 2, least: 2, expired: 2 });
}

#[test]
fn each_model_has_terms_of_its_own() {
    let other = |revision| ModelRevision { model: "n".to_owned(), revision };
    let both = |index| Replica { models: vec![weights(1), other(1)], ..replica(index, 1) };
    let mut scene = Scene::new(NO_LEASE, &[both(1), both(2)]);
    scene.load_time = TERM * 2;
    scene.planner.named("m", 2, Duration::ZERO, START);
    scene.planner.named("n", 7, ms(3_000), START);
    let lines = |scene: &Scene| {
        let lines = scene.planner.weights().into_iter();
        lines.map(|line| (line.model, line.expired)).collect::<Vec<_>>()
    };
    let withdrawal = TERM.mul_f64(0.85);
    scene.run_until(START + withdrawal - ms(3_000) + STEP * 2);
    assert_eq!(lines(&scene), [("m".to_owned(), 0), ("n".to_owned(), 7)]);
    scene.run_until(START + withdrawal + STEP * 2);
    assert_eq!(lines(&scene), [("m".to_owned(), 2), ("n".to_owned(), 7)]);
}
