//! Choices by the work that is queued at replicas, as all gateways have reported it.

use std::sync::Arc;

use rstest::rstest;
use tulipridge_load_balancer::LoadBalancer;
use tulipridge_load_balancer::queued_work::{QueuedWorkEstimate, ReportFreshness};
use tulipridge_load_balancer::types::{
    Action, Class, ClassIndex, Effect, Event, Limits, ListKind, Member, Nanos, Phase, ReplicaId,
    ReplicaWork, Request, RequestId, Safety, Settings, Verdict,
};

const MILLI: Nanos = 1_000_000;
const START: Nanos = 5_000 * MILLI;
const REPLICAS: usize = 8;

fn id(number: usize) -> ReplicaId {
    ReplicaId::from(format!("i-{number}").as_str())
}

fn member(number: usize) -> Member {
    Member { id: id(number), units: 1.0, zone: 0, kind: 0, cell: 0, phase: Phase::Ready, started: None }
}

fn balancer() -> LoadBalancer {
    let class = Class {
        latency_target: 1_000 * MILLI,
        latency_target_per_token: 0,
        inter_token_target: 0,
        deadline: 8_000 * MILLI,
        effect: Effect::Unsafe,
        value: 1.0,
        late_value: 0.3,
        stream: true,
    };
    let settings = Settings {
        group_size: 60,
        has_pushed_list: true,
        has_prefix_transfer: true,
        classes: vec![class],
        limits: Limits { max_attempts: 3, cancellation: true, ..Limits::default() },
        safety: Safety { initial_capacity: 1.0, overload_factor: 1.0, ..Safety::default() },
        ..Settings::default()
    };
    let mut balancer = LoadBalancer::new(settings, 7).expect("sound settings");
    let members: Arc<[Member]> = (0..REPLICAS).map(member).collect();
    balancer.handle(START, Event::List { kind: ListKind::Complete, members }, &mut Vec::new());
    balancer
}

/// Where a request with this prefix is sent; it is answered at once, so that nothing stays in flight.
fn choice(balancer: &mut LoadBalancer, now: Nanos, request: u64, prefix: u64) -> ReplicaId {
    let request = Request {
        id: RequestId(request),
        expires_in: 8_000 * MILLI,
        class: ClassIndex(0),
        tenant: None,
        prefix: Some(prefix),
        session: Some(request),
        prompt_tokens: 17_000,
        prefix_tokens: 13_000,
        max_output_tokens: 40,
        is_retry: false,
    };
    let id = request.id;
    let mut actions = Vec::new();
    balancer.handle(now, Event::Request(request), &mut actions);
    let answered = Event::Outcome {
        id,
        attempt: 0,
        verdict: Verdict::Ok,
        ended: true,
        elapsed: 0,
        cached_tokens: None,
        report: Vec::new(),
    };
    balancer.handle(now, answered, &mut Vec::new());
    let sent = actions.into_iter().find_map(|action| match action {
        Action::Send { replica, .. } => Some(replica),
        _ => None,
    });
    sent.expect("the request is sent")
}

fn report(balancer: &mut LoadBalancer, now: Nanos, work: impl Fn(usize) -> f64) {
    let loads =
        (0..REPLICAS).map(|number| ReplicaWork { replica: id(number), work: work(number) }).collect();
    balancer.handle(now, Event::Loads(loads), &mut Vec::new());
}

fn number_of(replica: &ReplicaId) -> usize {
    (0..REPLICAS).find(|number| id(*number) == *replica).expect("a known replica")
}

#[test]
fn a_replica_with_work_of_others_queued_is_passed_over() {
    let mut balancer = balancer();
    for prefix in 1..=40 {
        report(&mut balancer, START, |_| 0.0);
        let first = choice(&mut balancer, START, 1 + 2 * prefix, prefix);
        report(&mut balancer, START, |number| if id(number) == first { 9.0 } else { 0.0 });
        let second = choice(&mut balancer, START, 2 + 2 * prefix, prefix);
        assert_ne!(second, first, "prefix {prefix}");
    }
}

#[test]
fn work_below_the_bound_moves_nothing() {
    let mut balancer = balancer();
    for prefix in 1..=40 {
        report(&mut balancer, START, |_| 4.0);
        let first = choice(&mut balancer, START, 1 + 2 * prefix, prefix);
        report(&mut balancer, START, |number| if id(number) == first { 5.0 } else { 4.0 });
        assert_eq!(choice(&mut balancer, START, 2 + 2 * prefix, prefix), first, "prefix {prefix}");
    }
}

#[test]
fn an_old_report_does_not_count() {
    let mut balancer = balancer();
    for prefix in 1..=40 {
        let at = START + prefix * 10_000 * MILLI;
        report(&mut balancer, at, |_| 0.0);
        let first = choice(&mut balancer, at, 1 + 2 * prefix, prefix);
        report(&mut balancer, at, |number| if id(number) == first { 9.0 } else { 0.0 });
        let later = at + 1_001 * MILLI;
        assert_eq!(choice(&mut balancer, later, 2 + 2 * prefix, prefix), first, "prefix {prefix}");
    }
}

#[test]
fn work_that_was_just_sent_counts_before_it_is_reported() {
    let mut balancer = balancer();
    for prefix in 1..=40 {
        let at = START + prefix * 10_000 * MILLI;
        report(&mut balancer, at, |_| 0.0);
        let first = choice(&mut balancer, at, 1 + 2 * prefix, prefix);
        balancer.handle(
            at,
            Event::WorkSent(ReplicaWork { replica: first.clone(), work: 14.0 }),
            &mut Vec::new(),
        );
        assert_ne!(choice(&mut balancer, at, 2 + 2 * prefix, prefix), first, "prefix {prefix}");
    }
}

#[test]
fn gateways_that_know_the_same_do_not_all_choose_the_same_replica() {
    let mut balancer = balancer();
    // All are over the bound but one, which is the only one that has little to do.
    report(&mut balancer, START, |number| if number == 3 { 0.0 } else { 20.0 });
    let chosen: Vec<usize> =
        (1..=40).map(|prefix| number_of(&choice(&mut balancer, START, 1 + prefix, prefix))).collect();
    let to_one = chosen.iter().filter(|number| **number == 3).count();
    assert!(to_one < 40, "{chosen:?}");
}

#[rstest]
#[case::at_once(0, 20.0)]
#[case::just_sent(99, 20.0)]
#[case::reported_by_now(100, 6.0)]
fn sent_work_counts_until_a_report_must_contain_it(#[case] later_ms: Nanos, #[case] waiting: f64) {
    let mut estimate = QueuedWorkEstimate::default();
    estimate.record_sent(START, 14.0);
    estimate.record_report(START + later_ms * MILLI, 6.0);
    assert_eq!(estimate.queued(), waiting);
}

#[rstest]
#[case::lately(1_000, true)]
#[case::too_long_ago(1_001, false)]
fn a_report_is_fresh_for_a_second(#[case] later_ms: Nanos, #[case] holds: bool) {
    let mut freshness = ReportFreshness::default();
    assert!(!freshness.is_fresh(START));
    freshness.record_report(START);
    assert_eq!(freshness.is_fresh(START + later_ms * MILLI), holds);
}
