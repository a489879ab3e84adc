//! Load shedding in an overload.

use tulipridge::types::*;

use crate::gateway::*;

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
