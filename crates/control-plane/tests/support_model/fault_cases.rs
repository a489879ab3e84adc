//! The bounds within which each fault is detected.

use super::actions::{Bounds, Budget, Schedule, isolations, pairs, split};
use super::cluster::Cluster;
use super::faults::Fault;
use super::initial_states;
use super::invariants::Violation;
use super::setup::{MS, Setup};

/// A fault, and the bounds within which it is detected.
pub(crate) struct FaultCase {
    /// The injected fault.
    pub fault: Fault,
    /// The state in which the exploration starts.
    pub initial_state: fn(Setup) -> Cluster,
    /// The configuration of the cluster.
    pub setup: Setup,
    /// The bounds of the exploration.
    pub bounds: Bounds,
    /// The first violation that is expected.
    pub violation: Violation,
}

/// The default schedule only.
pub(crate) const NO_DEVIATIONS: Budget = Budget {
    total: 0,
    delays: 0,
    duplicates: 0,
    slow_disks: 0,
    crashes: 0,
    power_cuts: 0,
    wipes: 0,
    pauses: 0,
    cuts: 0,
    heals: 0,
    proposals: 0,
    repeats: 0,
    shutdowns: 0,
};
/// One crash during the default schedule.
pub(crate) const ONE_CRASH: Budget = Budget { total: 1, crashes: 1, ..NO_DEVIATIONS };
const ONE_WIPE: Budget = Budget { total: 1, wipes: 1, ..NO_DEVIATIONS };
const ONE_PAUSE: Budget = Budget { total: 1, pauses: 1, ..NO_DEVIATIONS };
const ONE_POWER_CUT: Budget = Budget { total: 1, power_cuts: 1, ..NO_DEVIATIONS };

/// The default schedule, with the deviations that the budget allows.
pub(crate) fn default_bounds(members: usize, budget: Budget, span: u64) -> Bounds {
    Bounds {
        schedule: Schedule::Default,
        budget,
        span,
        depth: usize::MAX,
        down_for: vec![0, 900 * MS],
        pauses: vec![1500 * MS],
        wait: None,
        cuts: [isolations(members), pairs(members)].concat(),
        faulty: (0..members).collect(),
    }
}

fn three_member_bounds(budget: Budget) -> Bounds {
    default_bounds(3, budget, 1500 * MS)
}

/// Only member 2 crashes, and restarts at once.
fn competing_candidates_bounds() -> Bounds {
    let budget = Budget { total: 2, crashes: 1, delays: 1, ..NO_DEVIATIONS };
    Bounds { down_for: vec![0], faulty: vec![2], ..default_bounds(3, budget, 20 * MS) }
}

/// Member 2 sends a promise to 1, loses power before the promise is durable, and promises 0 too.
pub(crate) fn early_promise() -> FaultCase {
    FaultCase {
        fault: Fault::EarlyPromise,
        initial_state: initial_states::competing_candidates,
        setup: Setup::three(),
        bounds: competing_candidates_bounds(),
        violation: Violation::TwoLeases,
    }
}

/// Member 2 promises 1, loses the promise in a restart, and promises 0 too.
pub(crate) fn lost_promise() -> FaultCase {
    FaultCase { fault: Fault::LostPromise, ..early_promise() }
}

/// The primary acknowledges a request that its backup has not synced.
pub(crate) fn early_append_ack() -> FaultCase {
    let budget = Budget { total: 2, proposals: 1, slow_disks: 1, ..NO_DEVIATIONS };
    FaultCase {
        fault: Fault::EarlyAppendAck,
        initial_state: initial_states::steady,
        setup: Setup::three(),
        bounds: three_member_bounds(budget),
        violation: Violation::TooFewReplicas,
    }
}

/// A consequence of the early acknowledgement: the backup loses power, then becomes primary without the request.
pub(crate) fn early_append_ack_loses_write() -> FaultCase {
    let budget = Budget { total: 3, proposals: 1, crashes: 1, cuts: 1, ..NO_DEVIATIONS };
    let bounds = default_bounds(3, budget, 1000 * MS);
    FaultCase {
        setup: Setup { checks_replica_count: false, ..Setup::three() },
        bounds: Bounds { cuts: vec![split(3, &[0])], down_for: vec![0], faulty: vec![1], ..bounds },
        violation: Violation::AcknowledgedLost,
        ..early_append_ack()
    }
}

/// A view takes effect though its backup has lost the data of its sync.
pub(crate) fn early_sync_ack() -> FaultCase {
    FaultCase {
        fault: Fault::EarlySyncAck,
        initial_state: initial_states::backup_replacement,
        setup: Setup::three(),
        bounds: three_member_bounds(ONE_CRASH),
        violation: Violation::TooFewReplicas,
    }
}

/// The former backup is elected, since the new one has lost the view that named it.
pub(crate) fn lost_view() -> FaultCase {
    FaultCase {
        fault: Fault::LostView,
        initial_state: initial_states::stale_backup,
        setup: Setup::three(),
        bounds: three_member_bounds(ONE_CRASH),
        violation: Violation::AcknowledgedLost,
    }
}

/// The former backup is elected with the vote of a member whose disk was lost.
pub(crate) fn reused_generation() -> FaultCase {
    FaultCase {
        fault: Fault::ReusedGeneration,
        initial_state: initial_states::stale_backup,
        setup: Setup::three(),
        bounds: three_member_bounds(ONE_WIPE),
        violation: Violation::AcknowledgedLost,
    }
}

/// A voter restarts, and promises 1 while 0 holds a lease by its earlier grant.
pub(crate) fn no_lease_wait_at_start() -> FaultCase {
    FaultCase {
        fault: Fault::NoLeaseWaitAtStart,
        initial_state: initial_states::primary_backup_link_cut,
        setup: Setup::three(),
        bounds: three_member_bounds(ONE_CRASH),
        violation: Violation::TwoLeases,
    }
}

/// Member 1 proceeds though 2 has refused because of the lease of 0.
pub(crate) fn refusal_counts_as_promise() -> FaultCase {
    FaultCase {
        fault: Fault::RefusalCountsAsPromise,
        initial_state: initial_states::primary_backup_link_cut,
        setup: Setup::three(),
        bounds: three_member_bounds(NO_DEVIATIONS),
        violation: Violation::TwoLeases,
    }
}

/// Member 0 has lost the view in which 3 replaces 2, and 1 has it. Each finds a majority of its own.
pub(crate) fn no_previous_voters() -> FaultCase {
    let bounds = default_bounds(4, Budget { total: 2, crashes: 1, cuts: 1, ..NO_DEVIATIONS }, 1500 * MS);
    FaultCase {
        fault: Fault::NoPreviousVoters,
        initial_state: initial_states::voter_replacement,
        setup: Setup::four(),
        bounds: Bounds { cuts: vec![split(4, &[0, 2])], down_for: vec![0], faulty: vec![0], ..bounds },
        violation: Violation::TwoLeases,
    }
}

/// One disk is lost, and with it the only replica of an acknowledged request.
pub(crate) fn single_data_replica() -> FaultCase {
    FaultCase {
        fault: Fault::SingleDataReplica,
        initial_state: initial_states::steady,
        setup: Setup { checks_replica_count: false, ..Setup::three() },
        bounds: three_member_bounds(ONE_WIPE),
        violation: Violation::NoReplicaLeft,
    }
}

/// A primary still acts as such after a pause in which its lease ended.
pub(crate) fn role_instead_of_lease() -> FaultCase {
    FaultCase {
        fault: Fault::RoleInsteadOfLease,
        initial_state: initial_states::steady,
        setup: Setup::three(),
        bounds: three_member_bounds(ONE_PAUSE),
        violation: Violation::TwoLeases,
    }
}

/// The prepare message is delivered at any millisecond.
fn any_millisecond() -> Bounds {
    Bounds { wait: Some(MS), ..default_bounds(3, NO_DEVIATIONS, 700 * MS) }
}

/// A primary acts for 45 ms longer than its grants last.
pub(crate) fn overrun_lease() -> FaultCase {
    FaultCase {
        fault: Fault::OverrunLease,
        initial_state: initial_states::expiring_lease,
        setup: Setup::three_with_drift(2),
        bounds: any_millisecond(),
        violation: Violation::TwoLeases,
    }
}

/// Clocks drift by 6%; the lease terms allow for 5%.
pub(crate) fn excessive_drift() -> FaultCase {
    FaultCase { fault: Fault::ExcessiveDrift, setup: Setup::three_with_drift(5), ..overrun_lease() }
}

/// A request is repeated while its first entry waits for the backup.
pub(crate) fn repeated_request_applied() -> FaultCase {
    FaultCase {
        fault: Fault::RepeatedRequestApplied,
        initial_state: initial_states::request_in_flight,
        setup: Setup::three(),
        bounds: three_member_bounds(Budget { total: 1, repeats: 1, ..NO_DEVIATIONS }),
        violation: Violation::AppliedTwice,
    }
}

/// After a start from its snapshot, a member has no record of earlier requests.
pub(crate) fn snapshot_ignored() -> FaultCase {
    FaultCase {
        fault: Fault::SnapshotIgnored,
        initial_state: initial_states::steady,
        setup: Setup { compact_every: Some(1), ..Setup::three() },
        bounds: three_member_bounds(ONE_POWER_CUT),
        violation: Violation::AcknowledgedLost,
    }
}
