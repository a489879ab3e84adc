//! Bounds within which each broken promise is seen.

use super::actions::{Bounds, Budget, Ordering, isolations, pairs, split};
use super::faults::Fault;
use super::invariants::Violation;
use super::prefixes;
use super::setup::{MS, Setup};
use super::world::World;

/// A promise that is broken, and the bounds within which it is seen.
pub(crate) struct Break {
    /// The promise.
    pub fault: Fault,
    /// Where the exploration begins.
    pub prefix: fn(Setup) -> World,
    /// The cluster.
    pub setup: Setup,
    /// The bounds.
    pub bounds: Bounds,
    /// What is seen first.
    pub seen_as: Violation,
}

/// The usual actions only.
pub(crate) const NOTHING: Budget = Budget {
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
    terminations: 0,
};
/// One crash beside them.
pub(crate) const CRASH: Budget = Budget { total: 1, crashes: 1, ..NOTHING };
const WIPE: Budget = Budget { total: 1, wipes: 1, ..NOTHING };
const PAUSE: Budget = Budget { total: 1, pauses: 1, ..NOTHING };
const POWER_CUT: Budget = Budget { total: 1, power_cuts: 1, ..NOTHING };

/// Histories in the usual order but for what the budget allows.
pub(crate) fn usual(members: usize, budget: Budget, span: u64) -> Bounds {
    Bounds {
        ordering: Ordering::Usual,
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

fn within(budget: Budget) -> Bounds {
    usual(3, budget, 1500 * MS)
}

/// Only member 2 crashes, and is there again at once.
fn racing() -> Bounds {
    let budget = Budget { total: 2, crashes: 1, delays: 1, ..NOTHING };
    Bounds { down_for: vec![0], faulty: vec![2], ..usual(3, budget, 20 * MS) }
}

/// 2 promises 1, loses power before the promise is on its disk, and promises 0 too.
pub(crate) fn early_promise() -> Break {
    Break {
        fault: Fault::EarlyPromise,
        prefix: prefixes::race,
        setup: Setup::three(),
        bounds: racing(),
        seen_as: Violation::TwoLeases,
    }
}

/// 2 promises 1, starts again without memory of it, and promises 0 too.
pub(crate) fn forgotten_promise() -> Break {
    Break { fault: Fault::ForgottenPromise, ..early_promise() }
}

/// The primary acknowledges an order that its backup has not synced.
pub(crate) fn early_appended() -> Break {
    let budget = Budget { total: 2, proposals: 1, slow_disks: 1, ..NOTHING };
    Break {
        fault: Fault::EarlyAppended,
        prefix: prefixes::steady,
        setup: Setup::three(),
        bounds: within(budget),
        seen_as: Violation::TooFewReplicas,
    }
}

/// What follows from it: the backup loses power, and then becomes primary without the order.
pub(crate) fn early_appended_lost() -> Break {
    let budget = Budget { total: 3, proposals: 1, crashes: 1, cuts: 1, ..NOTHING };
    let bounds = usual(3, budget, 1000 * MS);
    Break {
        setup: Setup { counts_replicas: false, ..Setup::three() },
        bounds: Bounds { cuts: vec![split(3, &[0])], down_for: vec![0], faulty: vec![1], ..bounds },
        seen_as: Violation::AcknowledgedLost,
        ..early_appended()
    }
}

/// A view comes into force whose backup has lost the data that it was sent.
pub(crate) fn early_synced() -> Break {
    Break {
        fault: Fault::EarlySynced,
        prefix: prefixes::exchange,
        setup: Setup::three(),
        bounds: within(CRASH),
        seen_as: Violation::TooFewReplicas,
    }
}

/// The old backup is elected, since the new one has forgotten the view that made it one.
pub(crate) fn forgotten_view() -> Break {
    Break {
        fault: Fault::ForgottenView,
        prefix: prefixes::stale_backup,
        setup: Setup::three(),
        bounds: within(CRASH),
        seen_as: Violation::AcknowledgedLost,
    }
}

/// The old backup is elected by a voter whose disk was lost.
pub(crate) fn kept_generation() -> Break {
    Break {
        fault: Fault::KeptGeneration,
        prefix: prefixes::stale_backup,
        setup: Setup::three(),
        bounds: within(WIPE),
        seen_as: Violation::AcknowledgedLost,
    }
}

/// A voter starts again, and promises 1 while 0 holds a lease on its earlier word.
pub(crate) fn no_quiet_period() -> Break {
    Break {
        fault: Fault::NoQuietPeriod,
        prefix: prefixes::pair_cut,
        setup: Setup::three(),
        bounds: within(CRASH),
        seen_as: Violation::TwoLeases,
    }
}

/// 1 goes on though 2 has refused because of the lease of 0.
pub(crate) fn refusal_counts_as_promise() -> Break {
    Break {
        fault: Fault::RefusalCountsAsPromise,
        prefix: prefixes::pair_cut,
        setup: Setup::three(),
        bounds: within(NOTHING),
        seen_as: Violation::TwoLeases,
    }
}

/// 0 has lost the view in which 3 takes the place of 2; 1 has it. Each finds a majority of its own.
pub(crate) fn no_previous_voters() -> Break {
    let bounds = usual(4, Budget { total: 2, crashes: 1, cuts: 1, ..NOTHING }, 1500 * MS);
    Break {
        fault: Fault::NoPreviousVoters,
        prefix: prefixes::voter_exchange,
        setup: Setup::four(),
        bounds: Bounds { cuts: vec![split(4, &[0, 2])], down_for: vec![0], faulty: vec![0], ..bounds },
        seen_as: Violation::TwoLeases,
    }
}

/// One disk is lost, and with it the only copy of an acknowledged order.
pub(crate) fn one_data_replica() -> Break {
    Break {
        fault: Fault::OneDataReplica,
        prefix: prefixes::steady,
        setup: Setup { counts_replicas: false, ..Setup::three() },
        bounds: within(WIPE),
        seen_as: Violation::NoCopyLeft,
    }
}

/// A primary that has paused still takes itself for one.
pub(crate) fn role_instead_of_lease() -> Break {
    Break {
        fault: Fault::RoleInsteadOfLease,
        prefix: prefixes::steady,
        setup: Setup::three(),
        bounds: within(PAUSE),
        seen_as: Violation::TwoLeases,
    }
}

/// The message that asks for a promise arrives at any millisecond.
fn any_millisecond() -> Bounds {
    Bounds { wait: Some(MS), ..usual(3, NOTHING, 700 * MS) }
}

/// A primary acts for a little longer than the grants last.
pub(crate) fn long_lease() -> Break {
    Break {
        fault: Fault::LongLease,
        prefix: prefixes::expiring_lease,
        setup: Setup::three_with_drift(2),
        bounds: any_millisecond(),
        seen_as: Violation::TwoLeases,
    }
}

/// Clocks run 6% off true time; the terms bear 5%.
pub(crate) fn too_much_drift() -> Break {
    Break { fault: Fault::Drift, setup: Setup::three_with_drift(5), ..long_lease() }
}

/// An order is repeated while its first entry waits for the backup.
pub(crate) fn repeat_takes_effect() -> Break {
    Break {
        fault: Fault::RepeatTakesEffect,
        prefix: prefixes::order_in_flight,
        setup: Setup::three(),
        bounds: within(Budget { total: 1, repeats: 1, ..NOTHING }),
        seen_as: Violation::AppliedTwice,
    }
}

/// After a start from its snapshot a member knows no order any more.
pub(crate) fn forgotten_orders() -> Break {
    Break {
        fault: Fault::ForgottenOrders,
        prefix: prefixes::steady,
        setup: Setup { compact_every: Some(1), ..Setup::three() },
        bounds: within(POWER_CUT),
        seen_as: Violation::AcknowledgedLost,
    }
}
