//! The ring: agreement of the gateways, bounds, and popular prefixes.

use std::collections::{BTreeMap, BTreeSet};

use tulipridge::types::*;

use crate::gateway::*;

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
