//! Retries and hedged requests, as far as the effect of a request permits them.

use std::collections::BTreeSet;

use tulipridge::types::*;

use crate::gateway::*;

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

#[test]
fn a_single_slow_attempt_causes_no_hedged_request() {
    // Regression: hedged requests within a budget of a tenth of all requests cost more in an overload than
    // they gained.
    let mut gateway = hedging_gateway(10, 100);
    gateway.request(1000, None);
    assert!(destination(&gateway.advance(4 * SECOND)).is_none());
}
