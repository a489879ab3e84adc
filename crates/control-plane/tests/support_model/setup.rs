//! What stays the same in all histories of an exploration.

use super::faults::Fault;

/// Microseconds in a millisecond.
pub(crate) const MS: u64 = 1000;
/// A clock's nominal speed, in millionths.
pub(crate) const TRUE_RATE: u64 = 1_000_000;
/// How far clocks may be off true time, in parts of a hundred.
pub(crate) const DRIFT_PERCENT: u64 = 2;

/// The speeds of the slowest and the fastest clock.
pub(crate) fn drifted(percent: u64) -> (u64, u64) {
    let difference = TRUE_RATE / 100 * percent;
    (TRUE_RATE - difference, TRUE_RATE + difference)
}

/// What stays the same in all histories of an exploration.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    /// f.
    pub losses: u32,
    /// Machines that are in the first view.
    pub seeds: usize,
    /// Speeds of the machines' clocks; as many machines.
    pub rates: Vec<u64>,
    /// Entries between snapshots; none are taken without it.
    pub compact_every: Option<u64>,
    /// Whether the replicas of acknowledged orders are counted.
    pub counts_replicas: bool,
    /// Varies the jitter.
    pub jitter: u64,
    /// A promise that is broken.
    pub fault: Fault,
}

impl Setup {
    /// Three seeds whose clocks run true; f = 1.
    pub(crate) fn three() -> Setup {
        Setup {
            losses: 1,
            seeds: 3,
            rates: vec![TRUE_RATE; 3],
            compact_every: None,
            counts_replicas: true,
            jitter: 1,
            fault: Fault::None,
        }
    }

    /// The same, with the slowest clock at the primary and the fastest ones at the others: so many parts of a
    /// hundred off true time.
    pub(crate) fn three_with_drift(percent: u64) -> Setup {
        let (slow, fast) = drifted(percent);
        Setup { rates: vec![slow, fast, fast], ..Setup::three() }
    }

    /// Three seeds and a standby.
    pub(crate) fn four() -> Setup {
        Setup { rates: vec![TRUE_RATE; 4], ..Setup::three() }
    }

    /// Five seeds; f = 2.
    pub(crate) fn five() -> Setup {
        Setup { losses: 2, seeds: 5, rates: vec![TRUE_RATE; 5], ..Setup::three() }
    }
}
