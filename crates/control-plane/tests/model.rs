//! Bounded model checking of small clusters, and injected faults that the checker must detect.
//!
//! The members are real state machines. Each test starts from a scripted state
//! (`support_model/initial_states.rs`) and executes every enabled action in every state that it reaches, each state
//! once (`support_model/actions.rs` lists the actions and what bounds them).
//!
//! Bounds: three machines with f = 1, in some tests with a standby, or five machines with f = 2. A history contains
//! one to three deviations from the default schedule, at any moment: a message that is delayed (until any later
//! moment, or forever) or duplicated; a slow disk; a crash that keeps any prefix of the unsynced records, and a
//! restart at once or after 0.9 s; a power loss of all machines; a lost disk; a pause of 1.5 s; a partition of a
//! member (both ways or one way) or between two; the end of partitions; a request, or its repetition; a termination.
//! Histories end 0.02 s to 1.6 s of true time after their initial state; with messages in any order they end after
//! 4 to 24 actions.
//!
//! Not covered: more than three deviations in one history, longer histories, clocks that change their rate, and the
//! operator's interface around the state machine. Messages that are not delayed take no time, which is the worst
//! case for leases: a grant begins when its heartbeat was sent.
//!
//! `cargo test -p tulipridge-control-plane --test model` runs the small bounds, and
//! `cargo test --release -p tulipridge-control-plane --test model -- --ignored --test-threads 4` the large ones;
//! `--nocapture` shows the numbers of states, some of which vary slightly between runs.

mod support_model;

use rstest::rstest;
use support_model::actions::{Action, Bounds, Budget, Schedule, possible, split};
use support_model::cluster::Cluster;
use support_model::explorer::{Outcome, explore};
use support_model::fault_cases::{self, FaultCase, NO_DEVIATIONS, ONE_CRASH, default_bounds};
use support_model::initial_states;
use support_model::invariants::{History, Violation};
use support_model::requests::{Response, respond};
use support_model::setup::{DRIFT_PERCENT, MS, Setup, drifted};
use tulipridge_control_plane::state::State;
use tulipridge_protocol::node::{Generation, NodeId};

/// A script that brings a cluster to the initial state of an exploration.
type InitialState = fn(Setup) -> Cluster;

/// Microseconds that cover a takeover.
const TAKEOVER_SPAN_US: u64 = 800 * MS;
/// Microseconds that cover the messages of a view change.
const VIEW_CHANGE_SPAN_US: u64 = 100 * MS;
/// Microseconds that cover the attempts of both competing candidates.
const CANDIDACY_SPAN_US: u64 = 20 * MS;

fn explore_all(initial_state: InitialState, setup: Setup, bounds: &Bounds) -> Outcome {
    let outcome = explore(initial_state(setup), bounds);
    println!(
        "{} states, {} transitions, {} ends, at most {} primaries and {} acknowledged requests, {:.1} s",
        outcome.states,
        outcome.transitions,
        outcome.ends,
        outcome.max_primaries,
        outcome.max_acknowledged,
        outcome.seconds
    );
    assert_eq!(outcome.violation, None, "after\n{}", outcome.trace.join("\n"));
    assert!(outcome.is_complete, "the exploration exceeded its limit of transitions");
    outcome
}

/// A fault leads to the expected violation; without the fault there is none within the same bounds.
#[rstest]
#[case::early_promise(fault_cases::early_promise())]
#[case::lost_promise(fault_cases::lost_promise())]
#[case::early_append_ack(fault_cases::early_append_ack())]
#[case::early_append_ack_loses_write(fault_cases::early_append_ack_loses_write())]
#[case::early_sync_ack(fault_cases::early_sync_ack())]
#[case::lost_view(fault_cases::lost_view())]
#[case::reused_generation(fault_cases::reused_generation())]
#[case::no_lease_wait_at_start(fault_cases::no_lease_wait_at_start())]
#[case::refusal_counts_as_promise(fault_cases::refusal_counts_as_promise())]
#[case::no_previous_voters(fault_cases::no_previous_voters())]
#[case::single_data_replica(fault_cases::single_data_replica())]
#[case::role_instead_of_lease(fault_cases::role_instead_of_lease())]
#[case::overrun_lease(fault_cases::overrun_lease())]
#[case::excessive_drift(fault_cases::excessive_drift())]
#[case::repeated_request_applied(fault_cases::repeated_request_applied())]
#[case::snapshot_ignored(fault_cases::snapshot_ignored())]
fn injected_fault_is_detected(#[case] case: FaultCase) {
    let setup = Setup { fault: case.fault, ..case.setup.clone() };
    let faulty = explore((case.initial_state)(setup), &case.bounds);
    println!("{:?}: {:?} after {} states", case.fault, faulty.violation, faulty.states);
    assert_eq!(faulty.violation, Some(case.violation));
    explore_all(case.initial_state, case.setup, &case.bounds);
}

/// The violations that no injected fault leads to first are detected too.
#[test]
fn history_records_each_violation() {
    let commands = [1, 2].map(|request| match respond(&State::default(), request) {
        Response::Propose(command) => command,
        _ => panic!("the empty state accepts any request"),
    });
    let mut diverged = History::default();
    diverged.applied(1, &commands[0], Some(1), 0);
    diverged.applied(1, &commands[1], Some(2), 0);
    assert_eq!(diverged.violation, Some(Violation::Diverged));

    let mut other_state = History::default();
    other_state.applied(1, &commands[0], Some(1), 0);
    other_state.restored(1, 1);
    assert_eq!(other_state.violation, Some(Violation::Diverged));

    let mut shared = History::default();
    shared.became_primary(NodeId { ip: 1, generation: Generation(0) }, 7, &State::default());
    shared.became_primary(NodeId { ip: 2, generation: Generation(0) }, 7, &State::default());
    assert_eq!(shared.violation, Some(Violation::SharedEpoch));

    let mut stale = History::default();
    stale.acknowledge(1, 1, 7);
    stale.check_read(&State::default());
    assert_eq!(stale.violation, Some(Violation::StaleRead));
}

/// One deviation from the default schedule, at every moment of a takeover.
#[rstest]
#[case::steady(initial_states::steady, Setup::three())]
#[case::primary_backup_link_cut(
    initial_states::primary_backup_link_cut,
    Setup::three_with_drift(DRIFT_PERCENT)
)]
#[case::isolated_primary(initial_states::isolated_primary, Setup::three_with_drift(DRIFT_PERCENT))]
#[case::stale_backup(initial_states::stale_backup, Setup::three())]
#[case::backup_replacement(initial_states::backup_replacement, Setup::three())]
#[case::wiped_backup(initial_states::wiped_backup, Setup { compact_every: Some(1), ..Setup::three() })]
#[case::terminating_primary(initial_states::terminating_primary, Setup::three())]
#[case::request_in_flight(initial_states::request_in_flight, Setup::three())]
#[case::voter_replacement(initial_states::voter_replacement, Setup::four())]
fn one_deviation(#[case] initial_state: InitialState, #[case] setup: Setup) {
    let bounds = default_bounds(setup.clock_rates.len(), Budget::any(1), TAKEOVER_SPAN_US);
    let outcome = explore_all(initial_state, setup, &bounds);
    assert!(outcome.max_primaries > 1, "there is a takeover");
    assert!(outcome.max_acknowledged > 1, "requests are acknowledged");
}

/// Two candidates at the first start, and one deviation.
#[test]
fn one_deviation_with_competing_candidates() {
    explore_all(
        initial_states::competing_candidates,
        Setup::three(),
        &default_bounds(3, Budget::any(1), CANDIDACY_SPAN_US),
    );
}

/// While an entry waits for a backup during a view change, the primary's timer must not be due again at once.
///
/// Otherwise a history did not end in which the new backup's disk hangs during its sync and a request is proposed.
#[test]
fn timers_are_not_due_at_once_while_an_entry_waits() {
    const MAX_STEPS: usize = 500;
    let bounds = initial_states::no_deviations();
    let mut cluster = initial_states::request_in_flight(Setup::three());
    let primary = cluster.primary().expect("there is a primary");
    for backup in (0..3).filter(|member| *member != primary) {
        cluster.take(Action::SlowDisk(backup), &bounds);
    }
    let until = cluster.now + 3 * TAKEOVER_SPAN_US;
    let mut steps = 0;
    while cluster.now < until && steps <= MAX_STEPS {
        cluster.take(possible(&cluster, &bounds)[0], &bounds);
        steps += 1;
    }
    assert!(steps <= MAX_STEPS, "only {} ms have passed", cluster.now / MS);
}

/// A request whose response is pending is repeated at every moment, in combination with one fault.
#[test]
fn repeated_request() {
    let budget = Budget { total: 2, repeats: 1, crashes: 1, power_cuts: 1, ..NO_DEVIATIONS };
    let bounds = default_bounds(3, budget, TAKEOVER_SPAN_US);
    let bounds = Bounds { down_for: vec![0], ..bounds };
    let outcome = explore_all(initial_states::request_in_flight, Setup::three(), &bounds);
    assert!(outcome.max_acknowledged > 1, "requests are acknowledged");
}

/// Messages, syncs and timers in any order, with one fault or request, for a few actions.
#[rstest]
#[case::steady(initial_states::steady, Setup::three(), 5)]
#[case::competing_candidates(initial_states::competing_candidates, Setup::three(), 4)]
#[case::primary_backup_link_cut(
    initial_states::primary_backup_link_cut,
    Setup::three_with_drift(DRIFT_PERCENT),
    6
)]
#[case::isolated_primary(initial_states::isolated_primary, Setup::three_with_drift(DRIFT_PERCENT), 6)]
#[case::stale_backup(initial_states::stale_backup, Setup::three(), 6)]
#[case::backup_replacement(initial_states::backup_replacement, Setup::three(), 4)]
#[case::wiped_backup(initial_states::wiped_backup, Setup { compact_every: Some(1), ..Setup::three() }, 4)]
#[case::terminating_primary(initial_states::terminating_primary, Setup::three(), 5)]
#[case::voter_replacement(initial_states::voter_replacement, Setup::four(), 4)]
fn any_order(#[case] initial_state: InitialState, #[case] setup: Setup, #[case] depth: usize) {
    explore_any_order(initial_state, setup, depth);
}

fn explore_any_order(initial_state: InitialState, setup: Setup, depth: usize) {
    let bounds = default_bounds(setup.clock_rates.len(), Budget::any(1), TAKEOVER_SPAN_US);
    explore_all(initial_state, setup, &Bounds { schedule: Schedule::Any, depth, ..bounds });
}

#[rstest]
#[case::steady(initial_states::steady, Setup::three())]
#[case::primary_backup_link_cut(
    initial_states::primary_backup_link_cut,
    Setup::three_with_drift(DRIFT_PERCENT)
)]
#[case::isolated_primary(initial_states::isolated_primary, Setup::three_with_drift(DRIFT_PERCENT))]
#[case::stale_backup(initial_states::stale_backup, Setup::three())]
#[case::backup_replacement(initial_states::backup_replacement, Setup::three())]
#[case::wiped_backup(initial_states::wiped_backup, Setup { compact_every: Some(1), ..Setup::three() })]
#[case::terminating_primary(initial_states::terminating_primary, Setup::three())]
#[case::request_in_flight(initial_states::request_in_flight, Setup::three())]
#[case::voter_replacement(initial_states::voter_replacement, Setup::four())]
#[ignore = "large bounds"]
fn two_deviations(#[case] initial_state: InitialState, #[case] setup: Setup) {
    let bounds = default_bounds(setup.clock_rates.len(), Budget::any(2), TAKEOVER_SPAN_US);
    explore_all(initial_state, setup, &bounds);
}

#[test]
#[ignore = "large bounds"]
fn two_deviations_with_competing_candidates() {
    explore_all(
        initial_states::competing_candidates,
        Setup::three(),
        &default_bounds(3, Budget::any(2), CANDIDACY_SPAN_US),
    );
}

/// The prepare message is delivered at every tenth millisecond, in combination with one deviation.
#[rstest]
#[case::slow_primary(Setup::three_with_drift(DRIFT_PERCENT))]
#[case::no_drift(Setup::three())]
#[ignore = "large bounds"]
fn one_deviation_while_a_lease_expires(#[case] setup: Setup) {
    let bounds = default_bounds(3, Budget::any(1), TAKEOVER_SPAN_US);
    explore_all(initial_states::expiring_lease, setup, &Bounds { wait: Some(10 * MS), ..bounds });
}

#[rstest]
#[case::steady(initial_states::steady, 8)]
#[case::competing_candidates(initial_states::competing_candidates, 8)]
#[case::primary_backup_link_cut(initial_states::primary_backup_link_cut, 10)]
#[case::isolated_primary(initial_states::isolated_primary, 11)]
#[case::stale_backup(initial_states::stale_backup, 10)]
#[case::backup_replacement(initial_states::backup_replacement, 8)]
#[case::wiped_backup(initial_states::wiped_backup, 8)]
#[case::terminating_primary(initial_states::terminating_primary, 8)]
#[case::request_in_flight(initial_states::request_in_flight, 7)]
#[ignore = "large bounds"]
fn any_order_for_longer(#[case] initial_state: InitialState, #[case] depth: usize) {
    explore_any_order(initial_state, Setup::three(), depth);
}

/// One deviation, for every assignment of the slowest and the fastest clock rate.
#[rstest]
#[case::steady(initial_states::steady)]
#[case::primary_backup_link_cut(initial_states::primary_backup_link_cut)]
#[case::isolated_primary(initial_states::isolated_primary)]
#[case::stale_backup(initial_states::stale_backup)]
#[case::backup_replacement(initial_states::backup_replacement)]
#[case::wiped_backup(initial_states::wiped_backup)]
#[case::terminating_primary(initial_states::terminating_primary)]
#[ignore = "large bounds"]
fn one_deviation_with_each_drift(
    #[case] initial_state: InitialState,
    #[values(1, 2, 3)] jitter_seed: u64,
    #[values(DRIFT_PERCENT, 5)] percent: u64,
) {
    let (slow, fast) = drifted(percent);
    for assignment in 0..8_u32 {
        let rate = |member: u32| if assignment >> member & 1 == 0 { slow } else { fast };
        let setup = Setup { clock_rates: (0..3).map(rate).collect(), jitter_seed, ..Setup::three() };
        explore_all(initial_state, setup, &default_bounds(3, Budget::any(1), 2 * TAKEOVER_SPAN_US));
    }
}

/// The replacement of a voter must not lead to two disjoint quorums: crashes of the two data replicas, and
/// partitions into any two parts.
#[test]
#[ignore = "large bounds"]
fn three_deviations_in_a_voter_replacement() {
    let budget = Budget { total: 3, crashes: 2, cuts: 2, heals: 1, ..NO_DEVIATIONS };
    let sides: [&[usize]; 7] = [&[0], &[1], &[2], &[3], &[0, 1], &[0, 2], &[0, 3]];
    let bounds = Bounds {
        cuts: sides.iter().map(|side| split(4, side)).collect(),
        down_for: vec![0],
        faulty: vec![0, 1],
        ..default_bounds(4, budget, 2 * TAKEOVER_SPAN_US)
    };
    explore_all(initial_states::voter_replacement, Setup::four(), &bounds);
}

/// One deviation with f = 2.
#[rstest]
#[case::steady(initial_states::steady)]
#[case::isolated_primary(initial_states::isolated_primary)]
#[case::backup_replacement(initial_states::backup_replacement)]
#[case::wiped_backup(initial_states::wiped_backup)]
#[case::terminating_primary(initial_states::terminating_primary)]
#[ignore = "large bounds"]
fn one_deviation_of_five_members(#[case] initial_state: InitialState) {
    explore_all(initial_state, Setup::five(), &default_bounds(5, Budget::any(1), 2 * TAKEOVER_SPAN_US));
}

/// A complete takeover or replacement with its messages in any order, and for the takeover a crash at any moment.
#[rstest]
#[case::takeover(initial_states::takeover, Setup::three(), ONE_CRASH, 15)]
#[case::backup_replacement(initial_states::backup_replacement, Setup::three(), NO_DEVIATIONS, 24)]
#[case::wiped_backup(initial_states::wiped_backup, Setup::three(), NO_DEVIATIONS, 20)]
fn view_change_in_any_order(
    #[case] initial_state: InitialState,
    #[case] setup: Setup,
    #[case] budget: Budget,
    #[case] depth: usize,
) {
    explore_view_change(initial_state, setup, budget, depth);
}

#[rstest]
#[case::takeover(initial_states::takeover, Setup::three(), Budget::any(1), 18)]
#[case::takeover_two_crashes(initial_states::takeover, Setup::three(), Budget { total: 2, crashes: 2, ..NO_DEVIATIONS }, 20)]
#[case::backup_replacement(initial_states::backup_replacement, Setup::three(), ONE_CRASH, 20)]
#[case::wiped_backup(initial_states::wiped_backup, Setup::three(), ONE_CRASH, 14)]
#[case::voter_replacement(initial_states::voter_replacement, Setup::four(), ONE_CRASH, 14)]
#[ignore = "large bounds"]
fn view_change_in_any_order_with_faults(
    #[case] initial_state: InitialState,
    #[case] setup: Setup,
    #[case] budget: Budget,
    #[case] depth: usize,
) {
    explore_view_change(initial_state, setup, budget, depth);
}

fn explore_view_change(initial_state: InitialState, setup: Setup, budget: Budget, depth: usize) {
    let bounds = default_bounds(setup.clock_rates.len(), budget, VIEW_CHANGE_SPAN_US);
    explore_all(
        initial_state,
        setup,
        &Bounds { schedule: Schedule::Any, depth, down_for: vec![0], ..bounds },
    );
}

/// A takeover or a replacement, with three messages delayed or duplicated, and a crash.
#[rstest]
#[case::takeover(initial_states::takeover, Setup::three())]
#[case::backup_replacement(initial_states::backup_replacement, Setup::three())]
#[case::voter_replacement(initial_states::voter_replacement, Setup::four())]
#[ignore = "large bounds"]
fn three_deviations_in_the_network(#[case] initial_state: InitialState, #[case] setup: Setup) {
    let budget = Budget { total: 3, delays: 3, duplicates: 1, crashes: 1, ..NO_DEVIATIONS };
    let bounds = default_bounds(setup.clock_rates.len(), budget, VIEW_CHANGE_SPAN_US);
    explore_all(initial_state, setup, &Bounds { down_for: vec![0], ..bounds });
}
