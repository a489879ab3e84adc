//! The configuration of the cluster, constant during an exploration.

use super::faults::Fault;

/// Microseconds in a millisecond.
pub(crate) const MS: u64 = 1000;
/// Rate of a clock without drift, in parts per million.
pub(crate) const NOMINAL_RATE: u64 = 1_000_000;
/// Clock drift that the lease terms have to allow for, in percent.
pub(crate) const DRIFT_PERCENT: u64 = 2;

/// The rates of the slowest and the fastest clock.
pub(crate) fn drifted(percent: u64) -> (u64, u64) {
    let difference = NOMINAL_RATE / 100 * percent;
    (NOMINAL_RATE - difference, NOMINAL_RATE + difference)
}

/// The configuration of the cluster, constant during an exploration.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    /// The number f of failures that the cluster tolerates.
    pub tolerated_failures: u32,
    /// Number of machines in the first view.
    pub seeds: usize,
    /// Clock rate of each machine; its length is the number of machines.
    pub clock_rates: Vec<u64>,
    /// Number of entries between snapshots; without it none are taken.
    pub compact_every: Option<u64>,
    /// Whether [`Violation::TooFewReplicas`](super::invariants::Violation) is checked.
    pub checks_replica_count: bool,
    /// Varies the seeds of the members' jitter.
    pub jitter_seed: u64,
    /// The injected fault.
    pub fault: Fault,
}

impl Setup {
    /// Three seeds whose clocks have no drift; f = 1.
    pub(crate) fn three() -> Setup {
        Setup {
            tolerated_failures: 1,
            seeds: 3,
            clock_rates: vec![NOMINAL_RATE; 3],
            compact_every: None,
            checks_replica_count: true,
            jitter_seed: 1,
            fault: Fault::None,
        }
    }

    /// Three seeds, with the slowest clock at the primary and the fastest ones at the others. `percent` is the
    /// drift.
    pub(crate) fn three_with_drift(percent: u64) -> Setup {
        let (slow, fast) = drifted(percent);
        Setup { clock_rates: vec![slow, fast, fast], ..Setup::three() }
    }

    /// Three seeds and a standby.
    pub(crate) fn four() -> Setup {
        Setup { clock_rates: vec![NOMINAL_RATE; 4], ..Setup::three() }
    }

    /// Five seeds; f = 2.
    pub(crate) fn five() -> Setup {
        Setup { tolerated_failures: 2, seeds: 5, clock_rates: vec![NOMINAL_RATE; 5], ..Setup::three() }
    }
}
