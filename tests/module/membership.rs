//! The list of replicas: its calls, and replicas that drain or are gone, whose slots are reused.

use std::collections::BTreeSet;

use tulipridge::types::*;

use crate::gateway::*;

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
