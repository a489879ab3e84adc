//! Changes of the class table and of the group size while a load balancer runs.

use rstest::rstest;
use tulipridge_load_balancer::LoadBalancer;
use tulipridge_load_balancer::slow_start::{SlowStart, SlowStartBudget, WarmingReplica};
use tulipridge_load_balancer::types::*;

const SECOND: Nanos = 1_000_000_000;
const MILLI: Nanos = 1_000_000;
const START: Nanos = 100 * SECOND;
/// Time between two steps of a simulation.
const STEP: Nanos = 50 * MILLI;
const STEPS: u64 = 200;

fn class(latency_target: Nanos, effect: Effect) -> Class {
    Class {
        latency_target,
        latency_target_per_token: 0,
        inter_token_target: 0,
        deadline: 5 * SECOND,
        effect,
        value: 1.0,
        late_value: 0.0,
        stream: true,
    }
}

fn settings(group_size: u32) -> Settings {
    Settings {
        group_size,
        gateway_index: 3,
        tick: MILLI,
        classes: vec![class(SECOND, Effect::Safe)],
        tenants: vec![Tenant { share: 1.0, quota_per_s: Some(200.0) }],
        over_share_value: 0.1,
        limits: Limits {
            max_attempts: 2,
            cancellation: true,
            max_retry_after: SECOND,
            ..Limits::default()
        },
        slow_start: SlowStartSettings {
            initial_capacity: 0.2,
            slow_start_window: 20 * SECOND,
            overload_factor: 2.5,
            overload_window: 2 * SECOND,
            max_list_age: 10 * SECOND,
        },
        ..Settings::default()
    }
}

fn member(number: usize, started: Option<Nanos>) -> Member {
    Member {
        id: ReplicaId::from(format!("replica-{number}").as_str()),
        units: 1.0,
        zone: 0,
        kind: 0,
        cell: 0,
        phase: Phase::Ready,
        started,
    }
}

fn request(id: u64, class: usize) -> Request {
    Request {
        id: RequestId(id),
        expires_in: 5 * SECOND,
        class: ClassIndex(class),
        tenant: Some(TenantIndex(0)),
        prefix: Some(id % 5),
        session: Some(id % 40),
        prompt_tokens: 1000,
        prefix_tokens: 500,
        max_output_tokens: 100,
        is_retry: false,
    }
}

/// Runs a load balancer with a simulated clock and timers.
struct Driver {
    balancer: LoadBalancer,
    now: Nanos,
    timers: Vec<(Nanos, u64)>,
}

impl Driver {
    fn new(settings: Settings) -> Driver {
        let balancer = LoadBalancer::new(settings, 7).expect("valid settings");
        Driver { balancer, now: START, timers: Vec::new() }
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            if let Action::Timer { after, token } = action {
                self.timers.push((self.now + after, *token));
            }
        }
        actions
    }

    /// Sends a list of eight warm replicas and two that have just started.
    fn list(&mut self) -> Vec<Action> {
        let members = (0..10).map(|n| member(n, (n >= 8).then_some(START))).collect();
        self.handle(Event::List { kind: ListKind::Persisted, members })
    }

    fn outcome(&mut self, id: RequestId, attempt: u32, verdict: Verdict) -> Vec<Action> {
        let ended = verdict == Verdict::Ok;
        let (elapsed, cached_tokens, report) = (MILLI, Some(700), Vec::new());
        self.handle(Event::Outcome { id, attempt, verdict, ended, elapsed, cached_tokens, report })
    }

    /// Advances the clock by a step and runs the timers that are due.
    fn advance(&mut self) -> Vec<Action> {
        self.now += STEP;
        let (due, rest) = self.timers.iter().partition(|(at, _)| *at <= self.now);
        self.timers = rest;
        let due: Vec<(Nanos, u64)> = due;
        due.into_iter().flat_map(|(_, token)| self.handle(Event::Timer(token))).collect()
    }

    /// Runs a step: sends a request, which gets a response at once except for every seventh, and reports a
    /// failed list call every 30 steps.
    fn step(&mut self, step: u64) -> Vec<Action> {
        let mut actions = self.handle(Event::Request(request(step, 0)));
        if step % 7 != 0 && is_sent(&actions) {
            let (id, attempt) = (RequestId(step), 0);
            actions.extend(self.handle(Event::FirstToken { id, attempt, elapsed: MILLI }));
            actions.extend(self.outcome(id, attempt, Verdict::Ok));
        }
        if step % 30 == 29 {
            actions.extend(self.handle(Event::List { kind: ListKind::Failed, members: [].into() }));
        }
        actions.extend(self.advance());
        actions
    }
}

fn is_sent(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Send { .. }))
}

fn is_failed(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail(_)))
}

/// Runs a simulation with `change` applied before the given step (0 is before the first list), and returns
/// all actions.
fn run(settings: Settings, change_at: u64, change: impl Fn(&mut LoadBalancer)) -> Vec<Action> {
    let mut driver = Driver::new(settings);
    if change_at == 0 {
        change(&mut driver.balancer);
    }
    let mut actions = driver.list();
    for step in 1..STEPS {
        if step == change_at {
            change(&mut driver.balancer);
        }
        actions.extend(driver.step(step));
    }
    actions
}

#[test]
fn a_request_of_an_appended_class_is_placed() {
    let mut driver = Driver::new(settings(4));
    driver.list();
    assert!(driver.handle(Event::Request(request(1, 1))).is_empty(), "the class does not exist yet");
    driver.balancer.set_classes(vec![class(SECOND, Effect::Safe), class(2 * SECOND, Effect::Safe)]);
    assert!(is_sent(&driver.handle(Event::Request(request(2, 1)))));
    assert!(driver.outcome(RequestId(2), 0, Verdict::Ok).is_empty());
    assert!(is_sent(&driver.handle(Event::Request(request(3, 0)))));
}

#[rstest]
#[case::may_run_again(Effect::Safe, true)]
#[case::must_not_run_twice(Effect::Unsafe, false)]
fn a_changed_class_applies_to_active_requests(#[case] effect: Effect, #[case] is_retried: bool) {
    let other = if is_retried { Effect::Unsafe } else { Effect::Safe };
    let mut driver = Driver::new(Settings { classes: vec![class(SECOND, other)], ..settings(4) });
    driver.list();
    assert!(is_sent(&driver.handle(Event::Request(request(1, 0)))));
    driver.balancer.set_classes(vec![class(SECOND, effect)]);
    let actions = driver.outcome(RequestId(1), 0, Verdict::Error);
    assert_eq!((is_sent(&actions), is_failed(&actions)), (is_retried, !is_retried), "{actions:?}");
}

#[test]
fn a_changed_latency_target_applies_to_later_requests() {
    let mut driver = Driver::new(settings(4));
    driver.list();
    driver.balancer.set_classes(vec![class(4 * SECOND, Effect::Safe)]);
    let actions = driver.handle(Event::Request(request(1, 0)));
    // One timer is the client's deadline, the other the check for a slow attempt at 0.65 of the latency
    // target.
    let timers = actions.iter().filter_map(|action| match action {
        Action::Timer { after, .. } => Some(*after),
        _ => None,
    });
    assert_eq!(timers.collect::<Vec<_>>(), [5 * SECOND, 2600 * MILLI]);
}

#[test]
fn a_shorter_table_keeps_the_classes_beyond_its_end() {
    let classes = vec![class(SECOND, Effect::Safe), class(SECOND, Effect::Unsafe)];
    let mut driver = Driver::new(Settings { classes, ..settings(4) });
    driver.list();
    assert!(is_sent(&driver.handle(Event::Request(request(1, 1)))));
    driver.balancer.set_classes(vec![class(2 * SECOND, Effect::Safe)]);
    assert!(is_failed(&driver.outcome(RequestId(1), 0, Verdict::Error)), "it must not run twice");
    assert!(is_sent(&driver.handle(Event::Request(request(2, 1)))));
}

#[test]
fn setting_the_same_classes_changes_nothing() {
    let set = |balancer: &mut LoadBalancer| balancer.set_classes(settings(4).classes);
    assert_eq!(run(settings(4), STEPS / 2, set), run(settings(4), STEPS / 2, |_| {}));
}

#[test]
fn statistics_of_a_class_are_kept_when_another_is_appended() {
    let append = |balancer: &mut LoadBalancer| {
        let mut classes = settings(4).classes;
        classes.push(class(3 * SECOND, Effect::Unsafe));
        balancer.set_classes(classes);
    };
    assert_eq!(run(settings(4), STEPS / 2, append), run(settings(4), STEPS / 2, |_| {}));
}

#[rstest]
#[case::alone(1)]
#[case::fewer(2)]
#[case::more(12)]
#[case::many(300)]
fn a_group_size_set_at_the_start_equals_one_in_the_settings(#[case] size: u32) {
    let resized = run(settings(4), 0, |balancer| balancer.set_group_size(size));
    assert_eq!(resized, run(settings(size), 0, |_| {}));
    assert_ne!(
        resized,
        run(settings(4), 0, |_| {}),
        "the group size makes no difference in this simulation"
    );
}

#[test]
fn a_group_size_of_zero_is_treated_as_one() {
    let resized = run(settings(4), 0, |balancer| balancer.set_group_size(0));
    assert_eq!(resized, run(settings(1), 0, |_| {}));
}

#[test]
fn setting_the_same_group_size_changes_nothing() {
    let set = |balancer: &mut LoadBalancer| balancer.set_group_size(4);
    assert_eq!(run(settings(4), STEPS / 2, set), run(settings(4), STEPS / 2, |_| {}));
}

const REPLICA: WarmingReplica = WarmingReplica { hash: 5, started: START, size_fraction: 0.1 };

/// The number of requests that a gateway with constant demand may send to a replica in slow start within
/// `seconds`.
fn turns(slow_start: &SlowStart, budget: &mut SlowStartBudget, from: Nanos, seconds: Nanos) -> u32 {
    let mut taken = 0;
    for now in (from..from + seconds * SECOND).step_by((10 * MILLI) as usize) {
        if slow_start.has_turn(now, budget, REPLICA, 0.0) {
            slow_start.take_turn(budget, 1.0);
            taken += 1;
        }
    }
    taken
}

#[rstest]
#[case::grows(4, 8)]
#[case::doubles_from_one(1, 2)]
#[case::shrinks(8, 4)]
#[case::shrinks_to_one(6, 1)]
fn turns_in_slow_start_follow_a_change_of_the_group_size(#[case] former: u32, #[case] size: u32) {
    let mut slow_start = SlowStart::new(&settings(former));
    slow_start.observe_list(START - 10 * SECOND);
    let mut budget = SlowStartBudget::new(START);
    let before = turns(&slow_start, &mut budget, START, 6);
    slow_start.set_group_size(&settings(size), std::iter::once((REPLICA.hash, &mut budget)));
    let after = turns(&slow_start, &mut budget, START + 6 * SECOND, 6);
    // Quotas of 200 requests per second, a tenth of the fleet and 0.8 of the overload factor 2.5 give 40
    // turns per second for all gateways at full capacity. The capacity fraction starts at 0.2 and grows by
    // 0.04 per second.
    let capacity_integral = |from: f64, to: f64| 0.2 * (to - from) + 0.02 * (to * to - from * from);
    let due = |size: u32, from: f64, to: f64| 40.0 * capacity_integral(from, to) / f64::from(size);
    let (due_before, due_after) = (due(former, 0.0, 6.0), due(size, 6.0, 12.0));
    assert!((f64::from(before) - due_before).abs() <= 2.0, "{before} before, {due_before} are due");
    // The turn that is next at the time of the change is still due after the interval of the former group
    // size.
    let next = f64::from(former) / f64::from(size);
    let after = f64::from(after);
    assert!(
        (due_after - next - 2.0..=due_after + 2.0).contains(&after),
        "{after} after, {due_after} are due"
    );
}
