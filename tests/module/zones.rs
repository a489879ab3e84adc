//! Zones, lagging replicas, and requests that would wait too long.

use tulipridge::types::*;

use crate::gateway::*;

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
