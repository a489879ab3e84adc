//! Cold replicas get no more than their capacity.

use tulipridge::LoadBalancer;
use tulipridge::types::*;

use crate::gateway::*;

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
