//! A partitioned or frozen member serves no stale state, acknowledges no change, and rejects none that is in force.

mod support;

use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;
use support::{CHANGE_TIMEOUT, IN_FORCE_TIMEOUT, request_status, start, wait_for_route};
use tulipridge_fault_injection::consistency::consistency_violation;
use tulipridge_fault_injection::deployment::{Deployment, Topology};
use tulipridge_fault_injection::network::{Direction, LinkState};
use tulipridge_fault_injection::operator::{Change, ChangeResponse, OperatorClient, revision_of};
use tulipridge_fault_injection::process::Signal;
use tulipridge_fault_injection::wait::wait_until;

/// Duration of the partition after the takeover.
const PARTITION_DURATION: Duration = Duration::from_secs(2);
/// Timeout of a request to a partitioned member.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout for all programs to be current after the partition ends.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(3);
/// Upper bound of the remaining lease of the old primary when it resumes.
const MAX_REMAINING_LEASE: Duration = Duration::from_secs(1);
/// The setting `withdrawMs`: time after which no proxy may serve a removed route.
const WITHDRAWAL_TIMEOUT: Duration = Duration::from_secs(5);

fn assert_no_consistency_violation(
    operator: &OperatorClient,
    deployment: &Deployment,
    old_primary: usize,
    in_force: &Change,
) {
    let violation = consistency_violation(operator, deployment.operator_socket(old_primary), in_force);
    assert_eq!(violation, None);
}

/// Waits until a member publishes a revision as fresh, a proxy serves its route, and the control plane has converged.
fn assert_recovers(deployment: &Deployment, member: usize, revision: u64, label: &str) {
    let is_current = || {
        let status = deployment.status(member);
        status.is_some_and(|status| status.is_fresh() && status.configuration >= revision)
    };
    wait_until("the member is current", RECOVERY_TIMEOUT, is_current).expect("the deployment recovers");
    wait_for_route(deployment, 0, label);
    wait_until("the control plane has converged", IN_FORCE_TIMEOUT, || {
        deployment.is_control_plane_converged()
    })
    .expect("the deployment recovers");
}

#[rstest]
#[case::stalled(LinkState::Stalled)]
#[case::reset(LinkState::Reset)]
fn a_partitioned_primary_causes_no_consistency_violation(#[case] state: LinkState) {
    let deployment = start(Topology::default());
    let old_primary = deployment.wait_for_primary().expect("a primary");
    deployment.partition_member(old_primary, state);
    let other_members =
        deployment.operator_for(|index| index != old_primary).with_attempt_timeout(ATTEMPT_TIMEOUT);
    let change = Change::upsert_route(1, "second", 1);
    other_members.apply(&change, CHANGE_TIMEOUT).expect("the other members take over");
    let short_timeout_operator = deployment.operator().with_attempt_timeout(ATTEMPT_TIMEOUT);
    let started_at = Instant::now();
    while started_at.elapsed() < PARTITION_DURATION {
        assert_no_consistency_violation(&short_timeout_operator, &deployment, old_primary, &change);
        let status = deployment.status(old_primary).expect("a status");
        assert!(!status.has_lease, "two members hold the lease");
        assert!(!status.is_fresh() || status.configuration >= change.revision, "{status:?}");
    }
    wait_for_route(&deployment, 0, "second");
    deployment.partition_member(old_primary, LinkState::Open);
    assert_recovers(&deployment, old_primary, change.revision, "second");
}

#[rstest]
#[case::outgoing(true)]
#[case::incoming(false)]
fn a_one_way_partition_causes_no_consistency_violation(#[case] is_outgoing: bool) {
    let deployment = start(Topology::default());
    let old_primary = deployment.wait_for_primary().expect("a primary");
    let id = deployment.members[old_primary].machine.id;
    let operator_machine = deployment.operator_machine.id;
    let others: Vec<_> =
        deployment.other_machines(id).into_iter().filter(|other| *other != operator_machine).collect();
    let set = |state| match is_outgoing {
        true => deployment.network.set_outgoing(id, &others, state),
        false => deployment.network.set_incoming(id, &others, state),
    };
    set(LinkState::Stalled);
    let change = Change::upsert_route(1, "second", 1);
    let other_members =
        deployment.operator_for(|index| index != old_primary).with_attempt_timeout(ATTEMPT_TIMEOUT);
    other_members.apply(&change, CHANGE_TIMEOUT).expect("the other members take over");
    let short_timeout_operator = deployment.operator().with_attempt_timeout(ATTEMPT_TIMEOUT);
    assert_no_consistency_violation(&short_timeout_operator, &deployment, old_primary, &change);
    set(LinkState::Open);
    assert_recovers(&deployment, old_primary, change.revision, "second");
}

#[test]
fn a_resumed_primary_causes_no_consistency_violation() {
    let deployment = start(Topology::default());
    let old_primary = deployment.wait_for_primary().expect("a primary");
    deployment.members[old_primary].process.signal(Signal::STOP).expect("the program is frozen");
    let other_members =
        deployment.operator_for(|index| index != old_primary).with_attempt_timeout(ATTEMPT_TIMEOUT);
    let change = Change::upsert_route(1, "second", 1);
    other_members.apply(&change, CHANGE_TIMEOUT).expect("the other members take over");
    // Requests that arrive while the member is frozen are the first that it handles after it resumes.
    let operator = deployment.operator();
    let address = deployment.operator_socket(old_primary);
    thread::scope(|scope| {
        let read = scope.spawn(|| operator.configuration_from(address));
        let conflicting = scope.spawn(|| operator.send_once(address, &Change::upsert_route(1, "rival", 1)));
        let operator_machine = deployment.operator_machine.id;
        let direction =
            Direction { from: operator_machine, to: deployment.members[old_primary].machine.id };
        let sent = deployment.network.forwarded_bytes(direction);
        let has_arrived = || deployment.network.forwarded_bytes(direction) > sent + 200;
        wait_until("the requests reach the member", CHANGE_TIMEOUT, has_arrived)
            .expect("the requests arrive");
        deployment.members[old_primary].process.signal(Signal::CONT).expect("the program resumes");
        let document = read.join().expect("a request");
        assert!(document.is_none_or(|document| revision_of(&document) >= 2), "a stale configuration");
        assert!(
            !matches!(conflicting.join().expect("a request"), ChangeResponse::Applied),
            "a conflicting change was acknowledged"
        );
    });
    let short_timeout_operator = deployment.operator().with_attempt_timeout(ATTEMPT_TIMEOUT);
    let started_at = Instant::now();
    while started_at.elapsed() < MAX_REMAINING_LEASE {
        assert_no_consistency_violation(&short_timeout_operator, &deployment, old_primary, &change);
    }
    assert_recovers(&deployment, old_primary, change.revision, "second");
}

#[test]
fn a_partitioned_proxy_stops_serving_a_removed_route_in_time() {
    let deployment = start(Topology::default());
    let operator = deployment.operator();
    operator.apply(&Change::upsert_route(1, "withdrawn", 1), CHANGE_TIMEOUT).expect("a change");
    wait_for_route(&deployment, 0, "withdrawn");
    let edge = deployment.edges[0].machine.id;
    let others = deployment.other_machines(edge);
    deployment.network.set_between(edge, &others, LinkState::Stalled);
    operator.apply(&Change::remove_route(2, "withdrawn"), CHANGE_TIMEOUT).expect("a change");
    let acknowledged_at = Instant::now();
    let is_rejected = || matches!(request_status(&deployment, 0, "withdrawn"), Ok(404 | 503));
    wait_until("the proxy rejects requests on the route", WITHDRAWAL_TIMEOUT, is_rejected)
        .expect("a rejection in time");
    let deadline = acknowledged_at + WITHDRAWAL_TIMEOUT;
    while Instant::now() < deadline {
        let status = request_status(&deployment, 0, "withdrawn").expect("a response");
        assert!(matches!(status, 404 | 503), "a removed route was served: {status}");
    }
    deployment.network.set_between(edge, &others, LinkState::Open);
    let is_current = || matches!(request_status(&deployment, 0, "withdrawn"), Ok(404));
    wait_until("the proxy is current", RECOVERY_TIMEOUT, is_current).expect("the deployment recovers");
    wait_for_route(&deployment, 0, "base");
}
