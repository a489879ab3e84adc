//! A member that is partitioned or frozen serves nothing stale, acknowledges nothing, and rejects nothing in force.

mod support;

use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;
use support::{CHANGE_LIMIT, IN_FORCE_LIMIT, request_status, start, wait_for_route};
use tulipridge_fault_injection::consistency::consistency_violation;
use tulipridge_fault_injection::deployment::{Deployment, Topology};
use tulipridge_fault_injection::network::{Direction, LinkState};
use tulipridge_fault_injection::operator::{Change, ChangeResponse, Operator, revision_of};
use tulipridge_fault_injection::process::Signal;
use tulipridge_fault_injection::wait::wait_until;

/// How long the partition lasts after the takeover.
const PARTITION_DURATION: Duration = Duration::from_secs(2);
/// The timeout of an attempt at a partitioned member.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout after the heal for all to be current.
const RECOVERY_LIMIT: Duration = Duration::from_secs(3);
/// A lease of the old primary has expired after this time.
const LEASE_LIMIT: Duration = Duration::from_secs(1);
/// `withdrawMs` of the settings.
const WITHDRAWAL_TERM: Duration = Duration::from_secs(5);

fn assert_no_consistency_violation(
    operator: &Operator,
    deployment: &Deployment,
    old: usize,
    in_force: &Change,
) {
    let claim = consistency_violation(operator, deployment.operator_socket(old), in_force);
    assert_eq!(claim, None);
}

/// Waits until a member publishes a revision as fresh, a proxy serves a route of it, and the control plane has converged.
fn assert_recovers(deployment: &Deployment, member: usize, revision: u64, label: &str) {
    let is_current = || {
        let status = deployment.status(member);
        status.is_some_and(|status| status.is_fresh() && status.configuration >= revision)
    };
    wait_until("the member is current", RECOVERY_LIMIT, is_current).expect("healed");
    wait_for_route(deployment, 0, label);
    wait_until("the control plane has converged", IN_FORCE_LIMIT, || {
        deployment.is_control_plane_converged()
    })
    .expect("healed");
}

#[rstest]
#[case::stalled(LinkState::Stalled)]
#[case::reset(LinkState::Reset)]
fn a_partitioned_primary_violates_no_consistency(#[case] state: LinkState) {
    let deployment = start(Topology::default());
    let old = deployment.wait_for_primary().expect("a primary");
    deployment.partition_member(old, state);
    let others = deployment.operator_for(|index| index != old).with_attempt_timeout(ATTEMPT_TIMEOUT);
    let change = Change::upsert_route(1, "second", 1);
    others.apply(&change, CHANGE_LIMIT).expect("the others take over");
    let short_timeout_operator = deployment.operator().with_attempt_timeout(ATTEMPT_TIMEOUT);
    let began = Instant::now();
    while began.elapsed() < PARTITION_DURATION {
        assert_no_consistency_violation(&short_timeout_operator, &deployment, old, &change);
        let status = deployment.status(old).expect("it responds");
        assert!(!status.has_lease, "two members hold the lease");
        assert!(!status.is_fresh() || status.configuration >= change.revision, "{status:?}");
    }
    wait_for_route(&deployment, 0, "second");
    deployment.partition_member(old, LinkState::Open);
    assert_recovers(&deployment, old, change.revision, "second");
}

#[rstest]
#[case::outgoing(true)]
#[case::incoming(false)]
fn a_primary_behind_a_one_way_partition_violates_no_consistency(#[case] is_outgoing: bool) {
    let deployment = start(Topology::default());
    let old = deployment.wait_for_primary().expect("a primary");
    let id = deployment.members[old].machine.id;
    let operator = deployment.operator_machine.id;
    let others: Vec<_> =
        deployment.other_machines(id).into_iter().filter(|other| *other != operator).collect();
    let set = |state| match is_outgoing {
        true => deployment.network.set_outgoing(id, &others, state),
        false => deployment.network.set_incoming(id, &others, state),
    };
    set(LinkState::Stalled);
    let change = Change::upsert_route(1, "second", 1);
    let others = deployment.operator_for(|index| index != old).with_attempt_timeout(ATTEMPT_TIMEOUT);
    others.apply(&change, CHANGE_LIMIT).expect("the others take over");
    let short_timeout_operator = deployment.operator().with_attempt_timeout(ATTEMPT_TIMEOUT);
    assert_no_consistency_violation(&short_timeout_operator, &deployment, old, &change);
    set(LinkState::Open);
    assert_recovers(&deployment, old, change.revision, "second");
}

#[test]
fn a_frozen_primary_violates_no_consistency_when_it_resumes() {
    let deployment = start(Topology::default());
    let old = deployment.wait_for_primary().expect("a primary");
    deployment.members[old].process.signal(Signal::STOP).expect("it stops");
    let others = deployment.operator_for(|index| index != old).with_attempt_timeout(ATTEMPT_TIMEOUT);
    let change = Change::upsert_route(1, "second", 1);
    others.apply(&change, CHANGE_LIMIT).expect("the others take over");
    // Requests that wait at the frozen member are the first that it handles.
    let waiting = deployment.operator();
    let address = deployment.operator_socket(old);
    thread::scope(|scope| {
        let read = scope.spawn(|| waiting.configuration_from(address));
        let conflicting = scope.spawn(|| waiting.send_once(address, &Change::upsert_route(1, "rival", 1)));
        let operator = deployment.operator_machine.id;
        let direction = Direction { from: operator, to: deployment.members[old].machine.id };
        let sent = deployment.network.forwarded_bytes(direction);
        let has_arrived = || deployment.network.forwarded_bytes(direction) > sent + 200;
        wait_until("the requests wait at the member", CHANGE_LIMIT, has_arrived).expect("they are sent");
        deployment.members[old].process.signal(Signal::CONT).expect("it resumes");
        let document = read.join().expect("a request");
        assert!(document.is_none_or(|document| revision_of(&document) >= 2), "a stale configuration");
        assert!(
            !matches!(conflicting.join().expect("a request"), ChangeResponse::Applied),
            "a conflicting change was acknowledged"
        );
    });
    let short_timeout_operator = deployment.operator().with_attempt_timeout(ATTEMPT_TIMEOUT);
    let began = Instant::now();
    while began.elapsed() < LEASE_LIMIT {
        assert_no_consistency_violation(&short_timeout_operator, &deployment, old, &change);
    }
    assert_recovers(&deployment, old, change.revision, "second");
}

#[test]
fn a_partitioned_proxy_serves_no_removed_route_beyond_the_withdrawal_term() {
    let deployment = start(Topology::default());
    let operator = deployment.operator();
    operator.apply(&Change::upsert_route(1, "withdrawn", 1), CHANGE_LIMIT).expect("a change");
    wait_for_route(&deployment, 0, "withdrawn");
    let edge = deployment.edges[0].machine.id;
    let others = deployment.other_machines(edge);
    deployment.network.set_between(edge, &others, LinkState::Stalled);
    operator.apply(&Change::remove_route(2, "withdrawn"), CHANGE_LIMIT).expect("a change");
    let acknowledged = Instant::now();
    let is_rejected = || matches!(request_status(&deployment, 0, "withdrawn"), Ok(404 | 503));
    wait_until("the route is gone", WITHDRAWAL_TERM, is_rejected).expect("the term is kept");
    let end = acknowledged + WITHDRAWAL_TERM;
    while Instant::now() < end {
        let status = request_status(&deployment, 0, "withdrawn").expect("a response");
        assert!(matches!(status, 404 | 503), "a withdrawn route was served: {status}");
    }
    deployment.network.set_between(edge, &others, LinkState::Open);
    let is_current = || matches!(request_status(&deployment, 0, "withdrawn"), Ok(404));
    wait_until("the proxy is current", RECOVERY_LIMIT, is_current).expect("healed");
    wait_for_route(&deployment, 0, "base");
}
