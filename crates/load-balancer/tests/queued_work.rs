//! Selection of replicas by the queued work that all gateways have reported.

use std::sync::Arc;

use rstest::rstest;
use tulipridge_load_balancer::LoadBalancer;
use tulipridge_load_balancer::queued_work::{QueuedWorkEstimate, ReportFreshness};
use tulipridge_load_balancer::types::{
    Action, Class, ClassIndex, Effect, Event, Limits, ListKind, Member, Nanos, Phase, ReplicaId,
    ReplicaWork, Request, RequestId, Settings, SlowStartSettings, Verdict,
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
        slow_start: SlowStartSettings {
            initial_capacity: 1.0,
            overload_factor: 1.0,
            ..SlowStartSettings::default()
        },
        ..Settings::default()
    };
    let mut balancer = LoadBalancer::new(settings, 7).expect("valid settings");
    let members: Arc<[Member]> = (0..REPLICAS).map(member).collect();
    balancer.handle(START, Event::List { kind: ListKind::Complete, members }, &mut Vec::new());
    balancer
}

/// Returns the replica that a request with this prefix is sent to. The request ends at once, so that none
/// is in flight.
fn select(balancer: &mut LoadBalancer, now: Nanos, request: u64, prefix: u64) -> ReplicaId {
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
    let outcome = Event::Outcome {
        id,
        attempt: 0,
        verdict: Verdict::Ok,
        ended: true,
        elapsed: 0,
        cached_tokens: None,
        report: Vec::new(),
    };
    balancer.handle(now, outcome, &mut Vec::new());
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
fn a_replica_with_queued_work_of_other_gateways_is_skipped() {
    let mut balancer = balancer();
    for prefix in 1..=40 {
        report(&mut balancer, START, |_| 0.0);
        let first = select(&mut balancer, START, 1 + 2 * prefix, prefix);
        report(&mut balancer, START, |number| if id(number) == first { 9.0 } else { 0.0 });
        let second = select(&mut balancer, START, 2 + 2 * prefix, prefix);
        assert_ne!(second, first, "prefix {prefix}");
    }
}

#[test]
fn work_below_the_bound_does_not_change_the_selection() {
    let mut balancer = balancer();
    for prefix in 1..=40 {
        report(&mut balancer, START, |_| 4.0);
        let first = select(&mut balancer, START, 1 + 2 * prefix, prefix);
        report(&mut balancer, START, |number| if id(number) == first { 5.0 } else { 4.0 });
        assert_eq!(select(&mut balancer, START, 2 + 2 * prefix, prefix), first, "prefix {prefix}");
    }
}

#[test]
fn an_expired_report_is_ignored() {
    let mut balancer = balancer();
    for prefix in 1..=40 {
        let at = START + prefix * 10_000 * MILLI;
        report(&mut balancer, at, |_| 0.0);
        let first = select(&mut balancer, at, 1 + 2 * prefix, prefix);
        report(&mut balancer, at, |number| if id(number) == first { 9.0 } else { 0.0 });
        let later = at + 1_001 * MILLI;
        assert_eq!(select(&mut balancer, later, 2 + 2 * prefix, prefix), first, "prefix {prefix}");
    }
}

#[test]
fn sent_work_counts_before_it_is_reported() {
    let mut balancer = balancer();
    for prefix in 1..=40 {
        let at = START + prefix * 10_000 * MILLI;
        report(&mut balancer, at, |_| 0.0);
        let first = select(&mut balancer, at, 1 + 2 * prefix, prefix);
        balancer.handle(
            at,
            Event::WorkSent(ReplicaWork { replica: first.clone(), work: 14.0 }),
            &mut Vec::new(),
        );
        assert_ne!(select(&mut balancer, at, 2 + 2 * prefix, prefix), first, "prefix {prefix}");
    }
}

#[test]
fn an_idle_replica_does_not_attract_every_request() {
    let mut balancer = balancer();
    // All replicas are within the bound of 1.25 times the mean of 17.5, plus 1. If each gateway chose the
    // one with the least work, all of them would send their requests to replica 3 until the next report.
    report(&mut balancer, START, |number| if number == 3 { 0.0 } else { 20.0 });
    let selected: Vec<usize> =
        (1..=40).map(|prefix| number_of(&select(&mut balancer, START, 1 + prefix, prefix))).collect();
    let to_idle = selected.iter().filter(|number| **number == 3).count();
    assert!(to_idle < 40, "{selected:?}");
}

#[rstest]
#[case::at_once(0, 20.0)]
#[case::just_sent(99, 20.0)]
#[case::after_the_report_delay(100, 6.0)]
fn sent_work_counts_until_a_report_must_include_it(#[case] later_ms: Nanos, #[case] queued: f64) {
    let mut estimate = QueuedWorkEstimate::default();
    estimate.record_sent(START, 14.0);
    estimate.record_report(START + later_ms * MILLI, 6.0);
    assert_eq!(estimate.queued(), queued);
}

#[rstest]
#[case::at_the_limit(1_000, true)]
#[case::expired(1_001, false)]
fn a_report_is_fresh_for_a_second(#[case] later_ms: Nanos, #[case] is_fresh: bool) {
    let mut freshness = ReportFreshness::default();
    assert!(!freshness.is_fresh(START));
    freshness.record_report(START);
    assert_eq!(freshness.is_fresh(START + later_ms * MILLI), is_fresh);
}
