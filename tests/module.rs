//! Tests of the load balancer without I/O: placement, retries, the ring, and regressions.

use std::collections::{BTreeMap, BTreeSet};

use tulipridge::LoadBalancer;
use tulipridge::types::*;

const SECOND: Nanos = 1_000_000_000;
const MILLI: Nanos = 1_000_000;

fn class(effect: Effect) -> Class {
    Class {
        latency_target: SECOND,
        latency_target_per_token: 0,
        inter_token_target: 50 * MILLI,
        deadline: 5 * SECOND,
        effect,
        value: 1.0,
        late_value: 0.0,
        stream: true,
    }
}

fn settings(effect: Effect) -> Settings {
    Settings {
        group_size: 4,
        has_pushed_list: true,
        tick: MILLI,
        classes: vec![class(effect)],
        over_share_value: 1.0,
        limits: Limits {
            max_attempts: 4,
            hedging: false,
            cancellation: true,
            probes: false,
            peer_messages: false,
            max_retry_after: SECOND,
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

fn member(n: usize) -> Member {
    Member {
        id: ReplicaId::from(format!("replica-{n}").as_str()),
        units: 1.0,
        zone: 0,
        kind: 0,
        cell: 0,
        phase: Phase::Ready,
        started: None,
    }
}

fn members(count: usize) -> Vec<Member> {
    (0..count).map(member).collect()
}

/// A load balancer with a simulated clock. Checks that each request is completed once, and that no attempt is
/// sent after its completion.
struct TestGateway {
    balancer: LoadBalancer,
    now: Nanos,
    last_request_id: u64,
    attempts: BTreeMap<u64, u32>,
    completed: BTreeSet<u64>,
    timers: Vec<(Nanos, u64)>,
    /// Whether the next requests are clients' retries.
    is_retry: bool,
    /// Tenant of the next requests.
    tenant: Option<usize>,
    /// Cached prompt tokens that each response reports. If this exceeds the length of the shared prefix, it
    /// saves prefill to keep a session at its replica.
    cached_tokens: u32,
}

impl TestGateway {
    fn new(settings: Settings, list: &[Member]) -> Self {
        let balancer = LoadBalancer::new(settings, 7).expect("good settings");
        let mut gateway = TestGateway {
            balancer,
            now: 100 * SECOND,
            last_request_id: 0,
            attempts: BTreeMap::new(),
            completed: BTreeSet::new(),
            timers: vec![],
            is_retry: false,
            tenant: None,
            cached_tokens: 900,
        };
        gateway.list(ListKind::Persisted, list);
        gateway
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            match action {
                Action::Refuse { id, .. } | Action::Fail(id) => {
                    assert!(self.completed.insert(id.0), "{id:?} was completed twice");
                }
                Action::Send { id, .. } => {
                    assert!(!self.completed.contains(&id.0), "{id:?} was sent after its completion");
                    *self.attempts.entry(id.0).or_default() += 1;
                }
                Action::Timer { after, token } => self.timers.push((self.now + after, *token)),
                _ => {}
            }
        }
        actions
    }

    fn list(&mut self, kind: ListKind, list: &[Member]) -> Vec<Action> {
        self.handle(Event::List { kind, members: list.to_vec().into() })
    }

    fn request(&mut self, session: u64, prefix: Option<u64>) -> (RequestId, Vec<Action>) {
        self.last_request_id += 1;
        let id = RequestId(self.last_request_id);
        let request = Request {
            id,
            expires_in: 5 * SECOND,
            class: ClassIndex(0),
            tenant: self.tenant.map(TenantIndex),
            prefix,
            session: Some(session),
            prompt_tokens: 1000,
            prefix_tokens: 500,
            max_output_tokens: 100,
            is_retry: self.is_retry,
        };
        let actions = self.handle(Event::Request(request));
        (id, actions)
    }

    fn outcome(&mut self, id: RequestId, verdict: Verdict) -> Vec<Action> {
        let attempt = self.attempts[&id.0] - 1;
        self.outcome_of_attempt(id, attempt, verdict)
    }

    fn outcome_of_attempt(&mut self, id: RequestId, attempt: u32, verdict: Verdict) -> Vec<Action> {
        let ended = verdict == Verdict::Ok;
        if ended {
            self.completed.insert(id.0);
        }
        let (elapsed, report) = (10 * MILLI, vec![]);
        self.handle(Event::Outcome {
            id,
            attempt,
            verdict,
            ended,
            elapsed,
            cached_tokens: Some(self.cached_tokens),
            report,
        })
    }

    /// Places one request and, if it is sent, completes it at once. Returns its replica.
    fn serve(&mut self, session: u64, prefix: Option<u64>) -> Option<String> {
        let (id, actions) = self.request(session, prefix);
        let sent = destination(&actions);
        if sent.is_some() {
            self.handle(Event::FirstToken { id, attempt: 0, elapsed: MILLI });
            self.outcome(id, Verdict::Ok);
        }
        self.now += MILLI;
        sent
    }

    /// Advances the clock and fires the timers that are due.
    fn advance(&mut self, span: Nanos) -> Vec<Action> {
        let end = self.now + span;
        let mut actions = Vec::new();
        while let Some(at) = self.timers.iter().map(|t| t.0).filter(|t| *t <= end).min() {
            let due = self.timers.iter().position(|t| t.0 == at).expect("just found");
            let (_, token) = self.timers.remove(due);
            self.now = self.now.max(at);
            actions.extend(self.handle(Event::Timer(token)));
        }
        self.now = end;
        actions
    }
}

fn destination(actions: &[Action]) -> Option<String> {
    actions.iter().find_map(|a| match a {
        Action::Send { replica, .. } => Some(replica.0.to_string()),
        _ => None,
    })
}

fn is_refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { .. }))
}

fn is_failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail(_)))
}

// ---- settings -------------------------------------------------------------------------------------------

#[test]
fn invalid_settings_are_rejected() {
    let good = settings(Effect::Safe);
    assert!(LoadBalancer::new(Settings { classes: vec![], ..good.clone() }, 1).is_err());
    assert!(LoadBalancer::new(Settings { group_size: 0, ..good.clone() }, 1).is_err());
    let limits = Limits { max_attempts: 0, ..good.limits.clone() };
    assert!(LoadBalancer::new(Settings { limits, ..good.clone() }, 1).is_err());
    let slow_start = SlowStartSettings { initial_capacity: 0.0, ..good.slow_start.clone() };
    assert!(LoadBalancer::new(Settings { slow_start, ..good.clone() }, 1).is_err());
    assert!(LoadBalancer::new(good, 1).is_ok());
}

// ---- ring -----------------------------------------------------------------------------------------------

#[test]
fn gateways_agree_regardless_of_the_order_of_their_lists() {
    let list = members(20);
    let backwards: Vec<Member> = list.iter().rev().cloned().collect();
    let mut one = TestGateway::new(settings(Effect::Safe), &list);
    let mut two = TestGateway::new(settings(Effect::Safe), &[]);
    for part in backwards.chunks(3) {
        two.list(ListKind::Changes, part);
    }
    for session in 0..500 {
        assert_eq!(one.serve(session, None), two.serve(session, None));
    }
}

#[test]
fn a_departed_replica_moves_only_its_sessions_and_regains_them() {
    let list = members(20);
    let mut gateway = TestGateway::new(settings(Effect::Safe), &list);
    let before: Vec<_> = (0..1000).map(|s| gateway.serve(s, None)).collect();
    gateway.list(ListKind::Complete, &list[1..]);
    let without: Vec<_> = (0..1000).map(|s| gateway.serve(s, None)).collect();
    gateway.list(ListKind::Complete, &list);
    let after: Vec<_> = (0..1000).map(|s| gateway.serve(s, None)).collect();
    for (was, is) in before.iter().zip(&without) {
        assert!(was == is || was.as_deref() == Some("replica-0"));
    }
    assert!(without.iter().all(|w| w.as_deref() != Some("replica-0")));
    assert_eq!(before, after);
}

#[test]
fn sessions_are_distributed_by_units() {
    check_distribution(3.0, vec![]);
}

#[test]
fn sessions_are_distributed_by_speed() {
    // Regression (scenario join+vast): a list that stated 5 units for fast and slow replicas alike
    // overloaded the slow ones.
    check_distribution(1.0, vec![1.0, 3.0]);
}

fn check_distribution(units: f64, speeds: Vec<f64>) {
    let mut list = members(10);
    for large in &mut list[..5] {
        (large.kind, large.units) = (1, units);
    }
    let settings = Settings { units_meaning: UnitsMeaning::Size, speeds, ..settings(Effect::Safe) };
    let mut gateway = TestGateway::new(settings, &list);
    let mut counts = BTreeMap::new();
    for session in 0..20_000 {
        *counts.entry(gateway.serve(session, None).expect("sent")).or_insert(0.0) += 1.0;
    }
    for (n, member) in list.iter().enumerate() {
        let fair = 20_000.0 * if n < 5 { 3.0 } else { 1.0 } / 20.0;
        let share = counts[&*member.id.0] / fair;
        assert!((0.65..1.4).contains(&share), "{:?} has {share} of its share", member.id);
    }
}

#[test]
fn the_ring_walk_skips_a_replica_over_its_bound() {
    let mut gateway = TestGateway::new(settings(Effect::Safe), &members(10));
    let first = destination(&gateway.request(1, None).1).expect("sent");
    let replicas: Vec<_> =
        (0..4).map(|_| destination(&gateway.request(1, None).1).expect("sent")).collect();
    assert_eq!(replicas[0], first, "one in flight is within the bound");
    assert!(replicas.iter().any(|p| *p != first), "requests over the bound go to further replicas");
}

#[test]
fn a_request_without_a_key_is_sent() {
    let mut gateway = TestGateway::new(settings(Effect::Safe), &members(3));
    let request = Request {
        id: RequestId(9),
        expires_in: SECOND,
        class: ClassIndex(0),
        tenant: None,
        prefix: None,
        session: None,
        prompt_tokens: 0,
        prefix_tokens: 0,
        max_output_tokens: 0,
        is_retry: false,
    };
    assert!(destination(&gateway.handle(Event::Request(request))).is_some());
}

#[test]
fn a_popular_prefix_has_many_replicas_and_its_sessions_stay() {
    // Regression (full-size fleet): many gateways each sent a few requests of one prefix to a single owner.
    let mut gateway = TestGateway::new(settings(Effect::Safe), &members(20));
    let first: Vec<_> = (0..40).map(|s| gateway.serve(s, Some(5))).collect();
    let again: Vec<_> = (0..40).map(|s| gateway.serve(s, Some(5))).collect();
    assert!(first.iter().collect::<BTreeSet<_>>().len() > 10);
    assert_eq!(first, again);
}

#[test]
fn turns_of_a_session_reach_one_replica_through_any_gateway() {
    // Regression (fleet of 327 gateways, long sessions): each gateway estimated the owners of a prefix from
    // its own request per second. Only one turn in four went to the replica of the turns before it, and
    // half of each prompt was prefilled again.
    let quota = Tenant { share: 1.0, quota_per_s: Some(60.0) };
    let settings = Settings { tenants: vec![quota], ..settings(Effect::Safe) };
    let mut gateways = gateways(&settings, &members(40));
    let mut random = 1u64;
    let mut draw = |below: u64| {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (random >> 33) % below
    };
    let (mut last_replicas, mut later, mut stayed, mut counts) = (BTreeMap::new(), 0, 0, BTreeMap::new());
    for _ in 0..6000 {
        // The prefix is determined by the session; prefixes with low numbers are more frequent.
        let session = draw(800);
        let prefix = 1 + (session % 40) * (session % 40) / 40;
        let gateway = &mut gateways[draw(100) as usize];
        let Some(to) = gateway.serve(session, Some(prefix)) else { continue };
        *counts.entry(to.clone()).or_insert(0) += 1;
        if let Some(home) = last_replicas.insert(session, to.clone()) {
            (later, stayed) = (later + 1, stayed + u32::from(home == to));
        }
        gateways.iter_mut().for_each(|g| g.now += 16 * MILLI);
    }
    assert!(later > 4000 && stayed * 10 > later * 8, "{stayed} of {later} turns stayed");
    let most = counts.values().max().copied().unwrap_or_default();
    assert!(counts.len() > 30 && most < 4 * 6000 / 40, "{most} of 6000 at one of {}", counts.len());
}

#[test]
fn a_class_without_cache_hits_uses_the_less_loaded_of_two() {
    // Regression (a class of single turns with a short latency target): keeping sessions at their replica
    // gained nothing, and the uneven load missed the latency target.
    let mut gateway = TestGateway::new(settings(Effect::Safe), &members(10));
    let max_per_replica = |gateway: &mut TestGateway| {
        let ids: Vec<_> = (0..40).map(|s| gateway.request(s, None)).collect();
        let mut counts = BTreeMap::new();
        for (_, actions) in &ids {
            *counts.entry(destination(actions)).or_insert(0) += 1;
        }
        for (id, _) in ids {
            gateway.outcome(id, Verdict::Ok);
        }
        counts.into_values().max().expect("forty were sent")
    };
    let with_cache_hits = max_per_replica(&mut gateway);
    gateway.cached_tokens = 0;
    for session in 0..100 {
        gateway.serve(session, None);
    }
    let without_cache_hits = max_per_replica(&mut gateway);
    assert!(
        without_cache_hits < with_cache_hits,
        "{without_cache_hits} at the busiest replica, {with_cache_hits} where sessions stay"
    );
}

#[test]
fn a_rare_prefix_has_few_owners() {
    let mut gateway = TestGateway::new(settings(Effect::Safe), &members(20));
    for session in 0..4000 {
        gateway.serve(session, None);
    }
    let owners: BTreeSet<_> = (0..10).map(|s| gateway.serve(10_000 + s, Some(5))).collect();
    assert!(owners.len() <= 2, "{owners:?}");
}

// ---- membership -----------------------------------------------------------------------------------------

#[test]
fn draining_and_gone_replicas_get_no_requests() {
    let mut list = members(3);
    let mut gateway = TestGateway::new(settings(Effect::Safe), &list);
    list[0].phase = Phase::Draining;
    list[1].phase = Phase::Gone;
    gateway.list(ListKind::Changes, &list[..2]);
    for session in 0..200 {
        assert_eq!(gateway.serve(session, None).as_deref(), Some("replica-2"));
    }
    gateway.list(ListKind::Complete, &[]);
    assert_eq!(destination(&gateway.request(1, None).1), None);
}

#[test]
fn a_fetched_list_is_watched_and_fetched_again_after_failures() {
    let settings = Settings { has_pushed_list: false, ..settings(Effect::Safe) };
    let mut gateway = TestGateway::new(settings, &members(3));
    let watches = |actions: &[Action]| actions.iter().filter(|a| **a == Action::Watch).count();
    assert_eq!(watches(&gateway.advance(SECOND)), 1);
    let mut waits = Vec::new();
    for _ in 0..8 {
        gateway.list(ListKind::Failed, &[]);
        let start = gateway.now;
        while watches(&gateway.advance(100 * MILLI)) == 0 {
            assert!(gateway.now < start + 10 * SECOND, "no further watch");
        }
        waits.push(gateway.now - start);
    }
    assert!(waits.iter().max() > Some(&SECOND), "waits without backoff: {waits:?}");
    gateway.list(ListKind::Complete, &members(3));
    assert_eq!(watches(&gateway.advance(5 * SECOND)), 0);
    assert!(gateway.serve(1, None).is_some(), "the list is kept after failures");
}

#[test]
fn a_local_ejection_does_not_cancel_the_next_list_call() {
    // Regression: the local ejection of a replica was taken for a response of the list service, which
    // cancelled the next call, so that no call was ever made.
    let settings = Settings { has_pushed_list: false, ..settings(Effect::Safe) };
    for kind in [ListKind::Persisted, ListKind::Failed] {
        let mut gateway = TestGateway::new(settings.clone(), &members(3));
        if kind == ListKind::Failed {
            gateway.list(ListKind::Failed, &[]);
        }
        let ejected = Member { phase: Phase::Draining, ..member(0) };
        gateway.list(ListKind::Local, &[ejected]);
        let to: BTreeSet<_> = (0..60).filter_map(|s| gateway.serve(s, None)).collect();
        assert_eq!(to.len(), 2, "all but the ejected replica get requests: {to:?}");
        assert!(gateway.advance(20 * SECOND).contains(&Action::Watch), "{kind:?}: no further watch");
    }
}

/// A group of a hundred gateways that start with `list`.
fn gateways(settings: &Settings, list: &[Member]) -> Vec<TestGateway> {
    let start = |gateway_index| {
        let settings = Settings { group_size: 100, gateway_index, ..settings.clone() };
        let balancer =
            LoadBalancer::new(settings.clone(), u64::from(gateway_index) * 977).expect("good settings");
        let mut gateway = TestGateway { balancer, ..TestGateway::new(settings, &[]) };
        gateway.timers.clear();
        gateway.list(ListKind::Persisted, list);
        gateway
    };
    (0..100).map(start).collect()
}

#[test]
fn a_large_group_spreads_its_list_calls() {
    // Regression (scenario herd+vast): all gateways called at once, no call was served within its timeout,
    // and all of them called again.
    let settings = Settings { has_pushed_list: false, ..settings(Effect::Safe) };
    let mut gateways = gateways(&settings, &members(3));
    let mut calls = Vec::new();
    for _ in 0..40 {
        let mut now = 0;
        for gateway in &mut gateways {
            let asked = gateway.advance(500 * MILLI).contains(&Action::Watch);
            now += usize::from(asked);
            if asked {
                gateway.list(ListKind::Failed, &[]);
            }
        }
        calls.push(now);
    }
    assert!(calls.iter().all(|n| *n <= 30), "calls per half second: {calls:?}");
    assert!(calls[..12].iter().sum::<usize>() >= 100, "all have called within 6 s: {calls:?}");
    assert!(calls[24..].iter().sum::<usize>() <= 160, "calls without backoff: {calls:?}");
}

// ---- completion -----------------------------------------------------------------------------------------

#[test]
fn a_request_without_replicas_waits_until_its_deadline() {
    let mut gateway = TestGateway::new(settings(Effect::Safe), &[]);
    let (id, actions) = gateway.request(1, None);
    assert!(destination(&actions).is_none() && !is_refused(&actions));
    gateway.advance(5 * SECOND - 1);
    assert!(!gateway.completed.contains(&id.0));
    gateway.advance(1);
    assert!(gateway.completed.contains(&id.0));
    let (_, actions) = gateway.request(2, None);
    assert!(destination(&actions).is_none());
    assert!(
        destination(&gateway.list(ListKind::Changes, &members(1))).is_some(),
        "a waiting request is sent once a replica is listed"
    );
}

#[test]
fn a_request_whose_outcome_is_lost_fails_at_its_deadline() {
    let mut gateway = TestGateway::new(settings(Effect::Unsafe), &members(3));
    let (id, actions) = gateway.request(1, None);
    assert!(destination(&actions).is_some());
    assert!(is_failed(&gateway.advance(5 * SECOND)));
    assert!(!gateway.completed.insert(id.0));
}

#[test]
fn events_of_unknown_requests_timers_and_replicas_are_ignored() {
    let mut gateway = TestGateway::new(settings(Effect::Safe), &members(3));
    let id = RequestId(77);
    let (elapsed, report, cached_tokens) = (1, vec![], None);
    assert!(gateway.handle(Event::ClientDisconnected(id)).is_empty());
    assert!(gateway.handle(Event::FirstToken { id, attempt: 3, elapsed }).is_empty());
    let verdict = Verdict::Ok;
    let outcome =
        Event::Outcome { id, attempt: 0, verdict, ended: true, elapsed, cached_tokens, report: vec![] };
    assert!(gateway.handle(outcome).is_empty());
    assert!(gateway.handle(Event::Timer(12345)).is_empty());
    let replica = ReplicaId::from("nobody");
    assert!(gateway.handle(Event::Probed { replica, verdict, elapsed, report }).is_empty());
}

#[test]
fn a_departed_client_cancels_its_attempt_and_prevents_retries() {
    let mut gateway = TestGateway::new(settings(Effect::Safe), &members(3));
    let (id, _) = gateway.request(1, None);
    let actions = gateway.handle(Event::ClientDisconnected(id));
    assert_eq!(actions, [Action::Cancel { id, attempt: 0 }]);
    gateway.completed.insert(id.0);
    assert!(gateway.outcome(id, Verdict::Reset).is_empty());
}

// ---- effects --------------------------------------------------------------------------------------------

#[test]
fn a_safe_request_is_retried_up_to_the_attempt_limit() {
    let mut gateway = TestGateway::new(settings(Effect::Safe), &members(10));
    let (id, actions) = gateway.request(1, None);
    let mut replicas = vec![destination(&actions)];
    for _ in 0..3 {
        replicas.push(destination(&gateway.outcome(id, Verdict::Error)));
    }
    assert!(replicas.iter().all(Option::is_some));
    assert_eq!(replicas.iter().collect::<BTreeSet<_>>().len(), 4);
    assert!(is_refused(&gateway.outcome(id, Verdict::Error)));
}

#[test]
fn an_unsafe_request_is_not_retried_once_it_may_have_run() {
    for verdict in [Verdict::Error, Verdict::Reset, Verdict::TimedOut, Verdict::Cancelled] {
        let mut gateway = TestGateway::new(settings(Effect::Unsafe), &members(10));
        let (id, _) = gateway.request(1, None);
        assert!(
            destination(&gateway.outcome(id, Verdict::Full)).is_some(),
            "a full replica has not run it"
        );
        assert!(destination(&gateway.outcome(id, Verdict::NoConnection)).is_some());
        let actions = gateway.outcome(id, verdict);
        assert!(
            is_failed(&actions) && !is_refused(&actions) && destination(&actions).is_none(),
            "{verdict:?}"
        );
    }
}

#[test]
fn a_keyed_request_is_retried_within_its_scope_and_window() {
    let mut list = members(12);
    for (n, member) in list.iter_mut().enumerate() {
        (member.zone, member.cell) = (n as u16 % 2, n as u64 % 4);
    }
    let index_of = |name: &str| list.iter().position(|m| &*m.id.0 == name).expect("listed");
    for scope in [Scope::Zone, Scope::Cell] {
        let mut gateway = TestGateway::new(settings(Effect::Keyed { scope, window: SECOND }), &list);
        for session in 0..50 {
            let (id, actions) = gateway.request(session, None);
            let first = index_of(&destination(&actions).expect("sent"));
            gateway.now += 400 * MILLI;
            let actions = gateway.outcome(id, Verdict::Reset);
            if let Some(second) = destination(&actions) {
                let second = index_of(&second);
                let is_send_within_rest = |a: &Action| matches!(a, Action::Send { write_within, .. } if *write_within == 600 * MILLI);
                assert!(
                    actions.iter().any(is_send_within_rest),
                    "not limited to the rest of the window: {actions:?}"
                );
                assert_eq!(list[first].zone, list[second].zone);
                assert!(scope == Scope::Zone || list[first].cell == list[second].cell);
                gateway.now += SECOND;
                let actions = gateway.outcome(id, Verdict::Reset);
                assert!(is_failed(&actions) && destination(&actions).is_none());
            }
        }
    }
    let mut gateway =
        TestGateway::new(settings(Effect::Keyed { scope: Scope::All, window: SECOND }), &list);
    let (id, _) = gateway.request(1, None);
    gateway.now += SECOND;
    assert!(
        is_refused(&gateway.outcome(id, Verdict::Reset)),
        "all replicas deduplicate, so the request may be refused"
    );
}

#[test]
fn an_attempt_is_not_cancelled_for_the_time_of_earlier_ones() {
    // Regression: a request was rejected by a full replica after two thirds of its latency target, and its
    // next attempt was cancelled 10 ms later.
    let mut gateway = TestGateway::new(settings(Effect::Safe), &members(10));
    let (id, _) = gateway.request(1, None);
    gateway.advance(640 * MILLI);
    let next = destination(&gateway.outcome(id, Verdict::Full)).expect("sent on");
    assert!(!gateway.advance(20 * MILLI).contains(&Action::Cancel { id, attempt: 1 }));
    let taken = (2..200).filter_map(|session| gateway.serve(session, None));
    assert!(taken.collect::<BTreeSet<_>>().contains(&next), "the replica gets further requests");
}

/// A gateway with a replica that does not respond to two requests while other replicas respond. Returns the
/// last of the two requests, whose lack of a response ejects the replica, and the actions that follow.
fn unresponsive_replica(hedging: bool, effect: Effect) -> (TestGateway, RequestId, Vec<Action>) {
    let mut settings = settings(effect);
    settings.limits.hedging = hedging;
    let mut gateway = TestGateway::new(settings, &members(10));
    for session in 0..300 {
        gateway.serve(session, None);
    }
    for session in 0..60 {
        let (id, _) = gateway.request(session, None);
        gateway.handle(Event::FirstToken { id, attempt: 0, elapsed: MILLI });
    }
    // The earlier responses of the replica are old by now, so that only the lack of a response counts.
    gateway.advance(60 * SECOND);
    let pending: Vec<_> = (0..2).map(|_| gateway.request(1, None)).collect();
    assert!(pending.iter().all(|(_, actions)| destination(actions) == destination(&pending[0].1)));
    let actions = gateway.advance(650 * MILLI);
    (gateway, pending[1].0, actions)
}

#[test]
fn requests_at_an_unresponsive_replica_are_retried_if_permitted() {
    // Regression: the attempt was cancelled for its replacement, and its lack of a response was not
    // counted.
    let (mut gateway, id, actions) = unresponsive_replica(false, Effect::Safe);
    assert!(actions.contains(&Action::Cancel { id, attempt: 0 }) && destination(&actions).is_none());
    assert!(destination(&gateway.outcome(id, Verdict::Cancelled)).is_some());
    let (_, _, actions) = unresponsive_replica(true, Effect::Safe);
    assert!(destination(&actions).is_some());
    for hedging in [true, false] {
        let (_, id, actions) = unresponsive_replica(hedging, Effect::Unsafe);
        assert!(destination(&actions).is_none() && !actions.contains(&Action::Cancel { id, attempt: 0 }));
    }
}

#[test]
fn the_first_token_cancels_the_other_attempts() {
    // Regression (busy scenarios): the other attempt was read to its end although its response was not
    // forwarded.
    let (mut gateway, id, actions) = unresponsive_replica(true, Effect::Safe);
    assert!(destination(&actions).is_some());
    let actions = gateway.handle(Event::FirstToken { id, attempt: 1, elapsed: MILLI });
    assert_eq!(actions, [Action::Cancel { id, attempt: 0 }]);
}

/// A gateway that may send hedged requests and has served some sessions.
fn hedging_gateway(replicas: usize, sessions: u64) -> TestGateway {
    let mut settings = settings(Effect::Safe);
    settings.limits.hedging = true;
    let mut gateway = TestGateway::new(settings, &members(replicas));
    for session in 0..sessions {
        gateway.serve(session, None);
    }
    gateway
}

#[test]
fn a_single_slow_attempt_causes_no_hedged_request() {
    // Regression: hedged requests within a budget of a tenth of all requests cost more in an overload than
    // they gained.
    let mut gateway = hedging_gateway(10, 100);
    gateway.request(1000, None);
    assert!(destination(&gateway.advance(4 * SECOND)).is_none());
}

// ---- outlier ejection -----------------------------------------------------------------------------------

/// A gateway whose replicas responded to two requests per second each for ten seconds, and the replica of
/// the first session.
fn responsive_replicas(replicas: u64) -> (TestGateway, String) {
    let mut gateway = TestGateway::new(settings(Effect::Safe), &members(replicas as usize));
    let home = gateway.serve(1, None).expect("sent");
    for session in 0..20 * replicas {
        gateway.advance(500 * MILLI / replicas);
        gateway.serve(session, None);
    }
    (gateway, home)
}

/// One more request of the first session: if it goes to `home`, that attempt fails and another replica
/// responds.
fn error_from(gateway: &mut TestGateway, home: &str) {
    let (id, actions) = gateway.request(1, None);
    if destination(&actions).as_deref() == Some(home) {
        gateway.outcome(id, Verdict::Error);
    }
    gateway.outcome(id, Verdict::Ok);
    gateway.advance(125 * MILLI);
}

#[test]
fn few_errors_among_many_responses_do_not_eject_but_many_do() {
    let (mut gateway, home) = responsive_replicas(4);
    (0..3).for_each(|_| error_from(&mut gateway, &home));
    assert_eq!(gateway.serve(1, None).as_ref(), Some(&home), "three errors in a row after many responses");
    (0..30).for_each(|_| error_from(&mut gateway, &home));
    assert_ne!(gateway.serve(1, None).as_ref(), Some(&home), "ejected");
}

#[test]
fn a_replica_with_half_its_attempts_failing_is_ejected() {
    // Regression (second deployment): where every second request failed, three errors in a row were rare,
    // and any first token reset the count, so that a tenth of all attempts met an error.
    let (mut gateway, home) = responsive_replicas(4);
    let request_to_home = |gateway: &mut TestGateway, verdict: Verdict| {
        let (id, actions) = gateway.request(1, None);
        let there = destination(&actions).as_deref() == Some(&*home);
        if there {
            gateway.outcome(id, verdict);
        }
        if verdict != Verdict::Ok || !there {
            gateway.outcome(id, Verdict::Ok);
        }
        gateway.advance(125 * MILLI);
        there
    };
    let requests_to_failing =
        (0..80).filter(|n| request_to_home(&mut gateway, [Verdict::Error, Verdict::Ok][n % 2])).count();
    assert!(requests_to_failing < 60, "{requests_to_failing} of 80 requests went to the failing replica");
    assert!(!request_to_home(&mut gateway, Verdict::Ok), "ejected");
    // Successful trials are repeated until they outweigh the failures.
    let mut trials = 0;
    while !(request_to_home(&mut gateway, Verdict::Ok) && gateway.serve(1, None).as_ref() == Some(&home))
        || trials < 2
    {
        trials += 1;
        gateway.advance(SECOND);
        assert!(trials < 40, "not readmitted");
    }
}

#[test]
fn a_slow_replica_that_responds_is_not_ejected() {
    // Regression (second deployment, low load): with prompts whose prefill takes a second, two requests
    // waited for half of the latency target. Their replica was ejected, and the others had to prefill its
    // sessions again.
    let (mut gateway, home) = responsive_replicas(2);
    for _ in 0..4 {
        let begin = |gateway: &mut TestGateway, id| {
            gateway.handle(Event::FirstToken { id, attempt: 0, elapsed: MILLI });
            gateway.outcome(id, Verdict::Ok);
        };
        let send_first = |gateway: &mut TestGateway| {
            let (id, actions) = gateway.request(1, None);
            assert_eq!(destination(&actions).as_ref(), Some(&home), "the session stays at its replica");
            id
        };
        let before = send_first(&mut gateway);
        let waiting = [(); 3].map(|()| send_first(&mut gateway));
        gateway.advance(200 * MILLI);
        begin(&mut gateway, before);
        let actions = gateway.advance(600 * MILLI);
        assert!(!actions.iter().any(|a| matches!(a, Action::Cancel { .. })), "no attempt is cancelled");
        waiting.iter().for_each(|id| begin(&mut gateway, *id));
    }
}

#[test]
fn a_busy_replica_is_ejected_when_its_responses_stop() {
    // Regression: the number of missing responses needed for an ejection must not grow with the number of
    // earlier responses, which is large here.
    let (mut gateway, home) = responsive_replicas(4);
    let mut missing_responses = 0;
    while destination(&gateway.request(1, None).1).as_ref() == Some(&home) {
        missing_responses += 1;
        gateway.advance(250 * MILLI);
        assert!(missing_responses < 14, "still gets requests after {missing_responses} without a response");
        (100..104).for_each(|session| drop(gateway.serve(session, None).filter(|at| *at != home)));
    }
}

#[test]
fn a_gateway_with_few_requests_ejects_at_the_first_failure() {
    // Regression (scenario zone+vast): four slow replicas timed out three quarters of their attempts, but
    // none of a hundred gateways saw three timeouts in a row.
    let mut gateway = hedging_gateway(40, 20);
    let (id, actions) = gateway.request(1000, None);
    let slow = destination(&actions).expect("sent");
    let second = destination(&gateway.advance(SECOND)).expect("a hedged request is sent");
    assert_ne!(second, slow);
    gateway.handle(Event::FirstToken { id, attempt: 1, elapsed: MILLI });
    assert_ne!(gateway.serve(1000, None), Some(slow), "ejected");
}

#[test]
fn a_full_replica_is_not_ejected() {
    let mut gateway = TestGateway::new(settings(Effect::Safe), &members(4));
    let busy = gateway.serve(1, None).expect("sent");
    for _ in 0..5 {
        let (id, _) = gateway.request(1, None);
        gateway.outcome(id, Verdict::Full);
        gateway.outcome(id, Verdict::Ok);
    }
    assert_eq!(gateway.serve(1, None).as_ref(), Some(&busy));
}

#[test]
fn ejections_are_ignored_if_most_replicas_seem_faulty() {
    let mut gateway = TestGateway::new(settings(Effect::Safe), &members(4));
    for session in 0..100 {
        let (id, _) = gateway.request(session, None);
        while !gateway.completed.contains(&id.0) {
            gateway.outcome(id, Verdict::Error);
        }
    }
    assert!(destination(&gateway.request(1000, None).1).is_some());
}

#[test]
fn an_unreachable_zone_is_avoided_after_few_failed_connections() {
    // Regression (scenarios with a zone that is cut off): half of all attempts went to unreachable
    // replicas.
    let mut list = members(40);
    for member in &mut list[20..] {
        member.zone = 1;
    }
    let is_in_second_zone = |name: &str| list[20..].iter().any(|m| &*m.id.0 == name);
    let mut gateway = TestGateway::new(settings(Effect::Safe), &list);
    let mut failures = 0;
    for session in 0..200 {
        let (id, mut actions) = gateway.request(session, None);
        while destination(&actions).is_some_and(|s| is_in_second_zone(&s)) {
            failures += 1;
            actions = gateway.outcome(id, Verdict::NoConnection);
        }
        gateway.outcome(id, Verdict::Ok);
    }
    assert!((3..=4).contains(&failures), "{failures}");
    gateway.advance(5 * SECOND);
    // A trial that succeeds makes the zone available again.
    let reached: usize =
        (0..200).filter(|s| gateway.serve(*s, None).is_some_and(|s| is_in_second_zone(&s))).count();
    assert!(reached > 50, "{reached}");
}

#[test]
fn an_inconclusive_trial_does_not_exclude_a_zone_for_good() {
    // Regression: a client that left during the trial of a zone left the trial marked as in flight, and no
    // further trial was made.
    for verdict in [Verdict::Cancelled, Verdict::NotSent, Verdict::TimedOut, Verdict::Reset] {
        let mut list = members(40);
        list[20..].iter_mut().for_each(|member| member.zone = 1);
        let is_in_second_zone = |name: &str| list[20..].iter().any(|m| &*m.id.0 == name);
        let mut gateway = TestGateway::new(settings(Effect::Safe), &list);
        for session in 0..200 {
            let (id, mut actions) = gateway.request(session, None);
            while destination(&actions).is_some_and(|s| is_in_second_zone(&s)) {
                actions = gateway.outcome(id, Verdict::NoConnection);
            }
            gateway.outcome(id, Verdict::Ok);
        }
        gateway.advance(5 * SECOND);
        let (id, _) = (0..200)
            .map(|s| gateway.request(s, None))
            .find(|(_, a)| is_in_second_zone(&destination(a).expect("sent")))
            .expect("a trial");
        gateway.handle(Event::ClientDisconnected(id));
        gateway.outcome(id, verdict);
        gateway.advance(5 * SECOND);
        let reached: usize =
            (0..200).filter(|s| gateway.serve(*s, None).is_some_and(|s| is_in_second_zone(&s))).count();
        assert!(reached > 50, "{reached} after {verdict:?}");
    }
}

// ---- zones ----------------------------------------------------------------------------------------------

#[test]
fn the_ring_does_not_depend_on_zones() {
    // Regression (busy scenarios): sessions that were kept in their gateway's zone overloaded it while
    // replicas in other zones were idle.
    let mut list = members(20);
    for member in &mut list[2..] {
        member.zone = 1;
    }
    let mut gateway = TestGateway::new(Settings { zone: Some(0), ..settings(Effect::Safe) }, &list);
    let mut plain = TestGateway::new(settings(Effect::Safe), &members(20));
    assert!((0..300).all(|s| gateway.serve(s, None) == plain.serve(s, None)));
}

#[test]
fn a_lagging_replica_is_skipped_while_others_respond() {
    // Regression (replicas that vanish or pause): their arcs of the ring got requests until they were
    // removed.
    let mut gateway = TestGateway::new(settings(Effect::Safe), &members(4));
    let (_, actions) = gateway.request(0, Some(5));
    let lagging = destination(&actions).expect("sent");
    assert!((1..20).any(|s| gateway.serve(s, Some(5)).is_some_and(|r| r == lagging)), "an owner");
    gateway.now += 550 * MILLI;
    assert!((1..40).all(|s| gateway.serve(s, Some(5)).is_some_and(|r| r != lagging)));
}

#[test]
fn a_request_that_would_wait_too_long_is_shed_at_once() {
    // Regression (overload scenarios): requests were queued although the wait exceeded their latency
    // target, and all of them were late.
    let mut gateway = TestGateway::new(settings(Effect::Safe), &members(1));
    let (id, actions) = gateway.request(0, None);
    assert!(destination(&actions).is_some());
    gateway.now += 650 * MILLI;
    let (_, actions) = gateway.request(1, None);
    assert!(destination(&actions).is_none() && is_refused(&actions), "{actions:?}");
    gateway.handle(Event::FirstToken { id, attempt: 0, elapsed: 0 });
    assert!(destination(&gateway.request(2, None).1).is_some(), "admitted after the replica has responded");
}

#[test]
fn a_prefix_cached_everywhere_is_routed_by_session() {
    // Regression (fleet of 259 gateways): the ring walk of a popular prefix visited most replicas, which
    // delayed the gateways.
    let list = members(20);
    let mut gateway = TestGateway::new(settings(Effect::Safe), &list);
    let mut plain = TestGateway::new(settings(Effect::Safe), &list);
    for session in 0..200 {
        assert_eq!(gateway.serve(session, Some(5)), plain.serve(session, None));
    }
}

// ---- cold replicas --------------------------------------------------------------------------------------

/// Requests that the gateways of a group together send to a replica in the first seconds after its cold
/// start, and the mean number sent to a warm replica.
fn cold_and_warm(units_meaning: UnitsMeaning, cold_units: f64, group: u32) -> (f64, f64) {
    let (mut cold, mut warm) = (0.0, 0.0);
    for gateway_index in 0..group {
        let settings =
            Settings { group_size: group, gateway_index, units_meaning, ..settings(Effect::Safe) };
        let balancer = LoadBalancer::new(settings, u64::from(gateway_index)).expect("good settings");
        let mut list = members(10);
        let mut gateway = TestGateway { balancer, ..TestGateway::new(self::settings(Effect::Safe), &[]) };
        gateway.list(ListKind::Persisted, &list);
        for session in 0..200 {
            gateway.serve(session, Some(session % 3));
            gateway.now += 50 * MILLI;
        }
        let mut new = member(10);
        (new.started, new.units) = (Some(gateway.now), cold_units);
        list.push(new);
        gateway.list(ListKind::Changes, &list[10..]);
        for session in 0..100 {
            match gateway.serve(session, Some(session % 3)).as_deref() {
                Some("replica-10") => cold += 1.0,
                _ => warm += 0.1,
            }
            gateway.now += 50 * MILLI;
        }
    }
    (cold, warm)
}

#[test]
fn a_cold_replica_is_within_its_capacity_for_any_group_size() {
    for group in [1, 4, 40] {
        let (cold, warm) = cold_and_warm(UnitsMeaning::None, 1.0, group);
        assert!(
            cold < 0.6 * warm,
            "{group} gateways sent {cold} to the cold replica, {warm} to each warm one"
        );
    }
}

#[test]
fn restarted_gateways_use_cold_replicas_within_the_bound() {
    // Regression (scenario herd+vast): restarted gateways had not served any requests, so they sent almost
    // nothing to cold replicas and all else to the few warm ones. Here ten replicas serve 10 requests per
    // second each, and half of them are cold.
    let tenants = vec![Tenant { share: 1.0, quota_per_s: Some(100.0) }];
    let settings = Settings { tenants, ..settings(Effect::Safe) };
    let cold = |n| Member { started: (n < 5).then_some(100 * SECOND), ..member(n) };
    let mut gateways = gateways(&settings, &(0..10).map(cold).collect::<Vec<_>>());
    let mut sent = [[0.0; 10]; 6];
    for (second, sent) in sent.iter_mut().enumerate() {
        // 80% of what the quotas permit.
        for (n, gateway) in gateways.iter_mut().enumerate().filter(|(n, _)| n % 5 != second) {
            gateway.now = (100 + second as u64) * SECOND + n as u64 * 10 * MILLI;
            let to = gateway.serve((n * 6 + second) as u64, None).expect("admitted");
            sent[to.trim_start_matches("replica-").parse::<usize>().expect("a number")] += 1.0;
        }
    }
    for replica in 0..5 {
        let counts: Vec<f64> = sent.iter().map(|s| s[replica]).collect();
        for (second, window) in counts.windows(2).enumerate() {
            let warmth = 0.2 + 0.8 * second as f64 / 20.0;
            let bound = 2.5 * 10.0 * warmth * 2.0;
            assert!(window.iter().sum::<f64>() <= bound, "replica {replica} over its bound: {sent:?}");
        }
    }
    let cold: f64 = sent.iter().flat_map(|s| &s[..5]).sum();
    assert!(cold >= 40.0, "cold replicas are hardly used: {sent:?}");
}

#[test]
fn an_idle_replica_is_not_overestimated() {
    // Regression (overload scenario): live units, which fall under load, gave an idle cold replica a
    // multiple of its share.
    let (cold, warm) = cold_and_warm(UnitsMeaning::Live, 1.0, 10);
    assert!(cold < 0.6 * warm, "sent {cold} to the cold replica, {warm} to each warm one");
}

// ---- admission ------------------------------------------------------------------------------------------

#[test]
fn late_first_tokens_cause_shedding_and_timely_ones_end_it() {
    // Regression (overload scenarios): all requests were admitted, and all of them were late.
    let mut gateway = TestGateway::new(settings(Effect::Safe), &members(4));
    let mut refusals = 0;
    for session in 0..200 {
        let (id, actions) = gateway.request(session, None);
        refusals += u32::from(is_refused(&actions));
        gateway.advance(100 * MILLI);
        if !is_refused(&actions) {
            gateway.advance(1100 * MILLI);
            let attempt = gateway.attempts[&id.0] - 1;
            gateway.handle(Event::FirstToken { id, attempt, elapsed: SECOND });
            gateway.outcome_of_attempt(id, attempt, Verdict::Ok);
        }
    }
    assert!(refusals > 100, "{refusals}");
    for session in 0..3000 {
        gateway.serve(session, None);
        gateway.now += 100 * MILLI;
    }
    assert!((0..100).all(|s| gateway.serve(s, None).is_some()), "all are admitted again");
}

#[test]
fn excess_load_goes_to_cold_replicas_up_to_their_capacity() {
    // Regression (scenario herd+mass): of 4,400 requests in flight, warm replicas had 65 each and cold ones
    // 10, and admission control shed requests that the cold ones could have served.
    let tenants = vec![Tenant { share: 1.0, quota_per_s: Some(1000.0) }];
    let settings = Settings { tenants, ..settings(Effect::Safe) };
    let overload = |cold: usize| {
        let mut gateway = TestGateway::new(settings.clone(), &members(4));
        for session in 0..12 {
            let (id, actions) = gateway.request(session, None);
            gateway.advance(1100 * MILLI);
            if destination(&actions).is_some() {
                gateway.outcome_of_attempt(id, 0, Verdict::Ok);
            }
        }
        let now = gateway.now;
        let fresh = (4..4 + cold).map(|n| Member { started: Some(now), ..member(n) }).collect::<Vec<_>>();
        gateway.list(ListKind::Changes, &fresh);
        let (mut to_cold, mut shed) = (0, 0);
        for session in 100..200 {
            let (_, actions) = gateway.request(session, None);
            shed += u32::from(is_refused(&actions));
            let new = |to: String| to["replica-".len()..].parse::<usize>().is_ok_and(|n| n >= 4);
            to_cold += u32::from(destination(&actions).is_some_and(new));
            gateway.now += 5 * MILLI;
        }
        (to_cold, shed)
    };
    let (none, all) = overload(0);
    assert!(none == 0 && all >= 70, "without cold replicas nearly all are shed: {none} {all}");
    let (some, fewer) = overload(4);
    assert!(fewer + 10 <= all, "{some} went to cold replicas, {fewer} of {all} shed");
    // Four of the eight replicas have a fifth of their capacity, and this gateway's part of 1,000 requests
    // per second is a quarter. Twice the cold replicas' part of it is 12 or 13 per second for each, and one
    // at once.
    assert!((10..=28).contains(&some), "{some} went to cold replicas in half a second");
}

#[test]
fn retries_are_shed_before_first_attempts() {
    // Regression (overload scenarios): clients' retries, most of them past their latency target, kept the
    // overload going.
    let mut gateway = TestGateway::new(settings(Effect::Safe), &members(4));
    for session in 0..4 {
        let (id, actions) = gateway.request(session, None);
        gateway.advance(1100 * MILLI);
        if destination(&actions).is_some() {
            gateway.outcome_of_attempt(id, 0, Verdict::Ok);
        }
    }
    let mut counts = [0, 0];
    for (count, is_retry) in counts.iter_mut().zip([false, true]) {
        gateway.is_retry = is_retry;
        *count = (0..300).filter(|s| is_refused(&gateway.request(1000 + s, None).1)).count();
    }
    assert!(counts[0] > 0 && counts[1] > counts[0] + 20 && counts[1] < 300, "{counts:?}");
}

#[test]
fn an_overload_first_sheds_requests_beyond_a_tenants_share() {
    // Regression (busy scenarios): requests beyond the share, worth a tenth, were admitted as readily as
    // those within it.
    let tenant = |quota| Tenant { share: 0.5, quota_per_s: Some(quota) };
    let mut settings = settings(Effect::Safe);
    settings.tenants = vec![tenant(10.0), tenant(10_000.0)];
    let refusals = |overload: bool| {
        let mut gateway = TestGateway::new(settings.clone(), &members(4));
        for session in 0..4 * u64::from(overload) {
            let (id, actions) = gateway.request(session, None);
            gateway.advance(1100 * MILLI);
            if destination(&actions).is_some() {
                gateway.outcome_of_attempt(id, 0, Verdict::Ok);
            }
        }
        [0, 1].map(|tenant| {
            gateway.tenant = Some(tenant);
            let shed = |s: &u64| {
                gateway.now += MILLI;
                is_refused(&gateway.request(1000 + s, None).1)
            };
            (0..300).filter(shed).count()
        })
    };
    let [over, within] = refusals(true);
    assert!(over > 280 && within < 280, "{over} {within}");
    assert_eq!(refusals(false), [0, 0], "no shedding without an overload");
}

// ---- determinism ----------------------------------------------------------------------------------------

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut gateway = TestGateway::new(settings(Effect::Safe), &members(12));
        let mut all = Vec::new();
        let mut state = 1u64;
        for session in 0..600 {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let (id, actions) = gateway.request(session % 50, (session % 3 == 0).then_some(session % 7));
            let out = destination(&actions).is_some();
            all.extend(actions);
            if out && state >> 62 != 0 {
                let verdict = [Verdict::Ok, Verdict::Error, Verdict::Full, Verdict::Reset];
                all.extend(gateway.outcome(id, verdict[(state >> 40) as usize % 4]));
            }
            all.extend(gateway.advance(20 * MILLI));
        }
        all
    };
    assert_eq!(run(), run());
}

#[test]
fn every_request_is_completed_exactly_once() {
    for effect in [Effect::Safe, Effect::Unsafe, Effect::Keyed { scope: Scope::Zone, window: SECOND }] {
        let mut gateway = TestGateway::new(settings(effect), &members(6));
        let mut state = 3u64;
        for session in 0..500 {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let (id, actions) = gateway.request(session, Some(session % 5));
            if destination(&actions).is_some() {
                let verdicts = [Verdict::Error, Verdict::Full, Verdict::Reset, Verdict::NoConnection];
                gateway.outcome(id, verdicts[(state >> 40) as usize % 4]);
            }
            if session % 50 == 0 {
                gateway.list(ListKind::Complete, &members(6)[(state >> 33) as usize % 5..]);
            }
            gateway.advance(30 * MILLI);
        }
        gateway.advance(10 * SECOND);
        assert_eq!(gateway.completed.len(), 500, "{effect:?}");
    }
}

#[test]
fn slots_of_gone_replicas_are_reused() {
    let mut gateway = TestGateway::new(settings(Effect::Safe), &members(4));
    let (waiting, actions) = gateway.request(1, None);
    let first = destination(&actions).expect("sent");
    for n in 4..200 {
        let departed = Member { phase: Phase::Gone, ..member(n - 4) };
        gateway.list(ListKind::Changes, &[member(n), departed]);
        let sent = gateway.serve(n as u64, None).expect("served");
        assert!((n - 3..=n).any(|ready| member(ready).id.0.to_string() == sent));
    }
    assert!(gateway.balancer.replica_slots() <= 6, "{} slots", gateway.balancer.replica_slots());
    // A replica that a pending request refers to keeps its slot: a late outcome must not be counted for
    // another one.
    assert!(!(196..200).any(|ready| member(ready).id.0.to_string() == first));
    assert!(destination(&gateway.outcome(waiting, Verdict::Reset)).is_some(), "retried at another replica");
}

// ---- source files of the load balancer ------------------------------------------------------------------

/// The source files of the load balancer, in the order of `deploy/balancer.toml`.
const BALANCER_SOURCES: [(&str, &str); 7] = [
    ("crates/load-balancer/src/balancer.rs", include_str!("../crates/load-balancer/src/balancer.rs")),
    (
        "crates/load-balancer/src/balancer/admission.rs",
        include_str!("../crates/load-balancer/src/balancer/admission.rs"),
    ),
    (
        "crates/load-balancer/src/balancer/attempts.rs",
        include_str!("../crates/load-balancer/src/balancer/attempts.rs"),
    ),
    (
        "crates/load-balancer/src/balancer/discovery.rs",
        include_str!("../crates/load-balancer/src/balancer/discovery.rs"),
    ),
    (
        "crates/load-balancer/src/balancer/outlier_ejection.rs",
        include_str!("../crates/load-balancer/src/balancer/outlier_ejection.rs"),
    ),
    (
        "crates/load-balancer/src/balancer/request_key.rs",
        include_str!("../crates/load-balancer/src/balancer/request_key.rs"),
    ),
    (
        "crates/load-balancer/src/balancer/selection.rs",
        include_str!("../crates/load-balancer/src/balancer/selection.rs"),
    ),
];

#[test]
fn the_balancer_sources_stay_short() {
    let lines = || BALANCER_SOURCES.iter().flat_map(|(_, text)| text.lines());
    assert!(lines().filter(|l| !l.trim().is_empty()).count() <= 950);
    assert!(lines().all(|l| l.chars().count() <= 110));
    assert!(BALANCER_SOURCES[0].1.lines().take(3).any(|l| l.contains("crates/load-balancer/src/types.rs")));
}

#[test]
fn the_policy_setting_names_all_balancer_sources() {
    let deploy = include_str!("../deploy/balancer.toml");
    let policy = deploy.lines().find(|line| line.starts_with("policy = ")).expect("a policy");
    let named: Vec<&str> = policy.split('"').skip(1).step_by(2).collect();
    assert_eq!(named, BALANCER_SOURCES.map(|(path, _)| path));
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/crates/load-balancer/src/balancer");
    let files = std::fs::read_dir(folder).expect("the balancer's directory").count();
    assert_eq!(files + 1, BALANCER_SOURCES.len());
}

#[test]
fn a_request_at_its_deadline_fails_only_if_it_may_have_run() {
    for (effect, shed) in
        [(Effect::Safe, true), (Effect::Unsafe, true), (Effect::Safe, false), (Effect::Unsafe, false)]
    {
        let mut gateway = TestGateway::new(settings(effect), &members(1));
        let (id, mut all) = gateway.request(1, None);
        assert!(destination(&all).is_some());
        if shed {
            all = gateway.outcome(id, Verdict::Full);
        }
        // Any further attempts end the same way.
        for _ in 0..600 {
            let passed = gateway.advance(SECOND / 100);
            if shed && destination(&passed).is_some() {
                all.extend(gateway.outcome(id, Verdict::Full));
            }
            all.extend(passed);
        }
        assert_eq!((is_refused(&all), is_failed(&all)), (shed, !shed), "{effect:?}: {all:?}");
    }
}
