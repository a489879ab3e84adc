//! A member that is cut off or frozen hands out nothing old, confirms nothing, and refuses nothing that is in force.

mod support;

use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;
use support::{CHANGE_LIMIT, IN_FORCE_LIMIT, ask_status, start, wait_for_route};
use tulipridge_fault_injection::claims::false_claim;
use tulipridge_fault_injection::deployment::{Deployment, Plan};
use tulipridge_fault_injection::network::{Condition, Direction};
use tulipridge_fault_injection::operator::{Change, Operator, Reply, revision_of};
use tulipridge_fault_injection::process::Signal;
use tulipridge_fault_injection::wait::wait_until;

/// How long the cut goes on after the others have taken over.
const CUT: Duration = Duration::from_secs(2);
/// How long an operator waits for a member that is cut off.
const TRY_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after a heal in which all are current.
const HEAL_LIMIT: Duration = Duration::from_secs(3);
/// A lease that the others' takeover does not know of has run out after this time.
const LEASE_LIMIT: Duration = Duration::from_secs(1);
/// `withdrawMs` of the settings.
const WITHDRAWAL_TERM: Duration = Duration::from_secs(5);

fn assert_claims_nothing(operator: &Operator, deployment: &Deployment, old: usize, in_force: &Change) {
    let claim = false_claim(operator, deployment.operator_socket(old), in_force);
    assert_eq!(claim, None);
}

/// Waits until a member delivers a revision and knows that it is the newest, and a proxy serves a route of it.
fn assert_current_soon(deployment: &Deployment, member: usize, revision: u64, label: &str) {
    let is_current = || {
        let status = deployment.status(member);
        status.is_some_and(|status| status.is_fresh() && status.configuration >= revision)
    };
    wait_until("the member is current", HEAL_LIMIT, is_current).expect("healed");
    wait_for_route(deployment, 0, label);
    wait_until("the control plane is whole", IN_FORCE_LIMIT, || deployment.is_control_plane_whole())
        .expect("healed");
}

#[rstest]
#[case::silent(Condition::Held)]
#[case::reset(Condition::Reset)]
fn a_primary_that_is_cut_off_claims_nothing(#[case] condition: Condition) {
    let deployment = start(Plan::default());
    let old = deployment.wait_for_primary().expect("a primary");
    deployment.cut_member(old, condition);
    let others = deployment.operator_knowing(|index| index != old).with_try_timeout(TRY_TIMEOUT);
    let change = Change::upsert_route(1, "second", 1);
    others.apply(&change, CHANGE_LIMIT).expect("the others go on");
    let impatient = deployment.operator().with_try_timeout(TRY_TIMEOUT);
    let began = Instant::now();
    while began.elapsed() < CUT {
        assert_claims_nothing(&impatient, &deployment, old, &change);
        let status = deployment.status(old).expect("it answers");
        assert!(!status.lease, "two members have the lease");
        assert!(!status.is_fresh() || status.configuration >= change.revision, "{status:?}");
    }
    wait_for_route(&deployment, 0, "second");
    deployment.cut_member(old, Condition::Open);
    assert_current_soon(&deployment, old, change.revision, "second");
}

#[rstest]
#[case::it_sends_nothing(true)]
#[case::it_is_sent_nothing(false)]
fn a_primary_behind_a_one_way_cut_claims_nothing(#[case] is_outgoing: bool) {
    let deployment = start(Plan::default());
    let old = deployment.wait_for_primary().expect("a primary");
    let id = deployment.members[old].machine.id;
    let operator = deployment.operator_machine.id;
    let others: Vec<_> = deployment.others(id).into_iter().filter(|other| *other != operator).collect();
    let set = |condition| match is_outgoing {
        true => deployment.network.set_outgoing(id, &others, condition),
        false => deployment.network.set_incoming(id, &others, condition),
    };
    set(Condition::Held);
    let change = Change::upsert_route(1, "second", 1);
    let knowing = deployment.operator_knowing(|index| index != old).with_try_timeout(TRY_TIMEOUT);
    knowing.apply(&change, CHANGE_LIMIT).expect("the others go on");
    let impatient = deployment.operator().with_try_timeout(TRY_TIMEOUT);
    assert_claims_nothing(&impatient, &deployment, old, &change);
    set(Condition::Open);
    assert_current_soon(&deployment, old, change.revision, "second");
}

#[test]
fn a_frozen_primary_claims_nothing_when_it_wakes() {
    let deployment = start(Plan::default());
    let old = deployment.wait_for_primary().expect("a primary");
    deployment.members[old].process.signal(Signal::STOP).expect("it stops");
    let others = deployment.operator_knowing(|index| index != old).with_try_timeout(TRY_TIMEOUT);
    let change = Change::upsert_route(1, "second", 1);
    others.apply(&change, CHANGE_LIMIT).expect("the others go on");
    // Calls that wait at the frozen member are the first that it sees.
    let waiting = deployment.operator();
    let address = deployment.operator_socket(old);
    thread::scope(|scope| {
        let read = scope.spawn(|| waiting.configuration_from(address));
        let rival = scope.spawn(|| waiting.send_once(address, &Change::upsert_route(1, "rival", 1)));
        let operator = deployment.operator_machine.id;
        let direction = Direction { from: operator, to: deployment.members[old].machine.id };
        let sent = deployment.network.passed(direction);
        let has_come = || deployment.network.passed(direction) > sent + 200;
        wait_until("the calls wait at the member", CHANGE_LIMIT, has_come).expect("they are sent");
        deployment.members[old].process.signal(Signal::CONT).expect("it goes on");
        let document = read.join().expect("a call");
        assert!(document.is_none_or(|document| revision_of(&document) >= 2), "an old configuration");
        assert!(!matches!(rival.join().expect("a call"), Reply::Taken), "a rival was confirmed");
    });
    let impatient = deployment.operator().with_try_timeout(TRY_TIMEOUT);
    let began = Instant::now();
    while began.elapsed() < LEASE_LIMIT {
        assert_claims_nothing(&impatient, &deployment, old, &change);
    }
    assert_current_soon(&deployment, old, change.revision, "second");
}

#[test]
fn a_proxy_that_is_cut_off_serves_no_withdrawn_route_beyond_the_term() {
    let deployment = start(Plan::default());
    let operator = deployment.operator();
    operator.apply(&Change::upsert_route(1, "withdrawn", 1), CHANGE_LIMIT).expect("a change");
    wait_for_route(&deployment, 0, "withdrawn");
    let edge = deployment.edges[0].machine.id;
    let others = deployment.others(edge);
    deployment.network.set_between(edge, &others, Condition::Held);
    operator.apply(&Change::remove_route(2, "withdrawn"), CHANGE_LIMIT).expect("a change");
    let acknowledged = Instant::now();
    let is_refused = || matches!(ask_status(&deployment, 0, "withdrawn"), Ok(404 | 503));
    wait_until("the route is gone", WITHDRAWAL_TERM, is_refused).expect("the term is kept");
    let later = acknowledged + WITHDRAWAL_TERM;
    while Instant::now() < later {
        let status = ask_status(&deployment, 0, "withdrawn").expect("an answer");
        assert!(matches!(status, 404 | 503), "a withdrawn route was served: {status}");
    }
    deployment.network.set_between(edge, &others, Condition::Open);
    let is_current = || matches!(ask_status(&deployment, 0, "withdrawn"), Ok(404));
    wait_until("the proxy is current", HEAL_LIMIT, is_current).expect("healed");
    wait_for_route(&deployment, 0, "base");
}
