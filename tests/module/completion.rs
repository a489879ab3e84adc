//! Each request is completed exactly once, at its deadline at the latest.

use tulipridge::types::*;

use crate::gateway::*;

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
