//! Size of a simulated cluster, and faults that its members have on purpose.

/// Injected faults of the members themselves, to verify that the checker detects them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Fault {
    /// No fault.
    #[default]
    None,
    /// Members report disk syncs before they complete.
    EarlySync,
    /// A member whose disk was lost restarts with its previous generation.
    ReusedGeneration,
    /// Clocks run at widely different rates.
    ExcessiveDrift,
    /// A member loses its durable promises and view when it starts.
    LostPromises,
    /// Backups report disk syncs before they complete.
    EarlyBackupSync,
    /// A standby acknowledges heartbeats as a voter that is cut off.
    StandbyVotes,
    /// Snapshots omit the replicated state.
    EmptySnapshots,
    /// A former primary responds to operators without a lease.
    IgnoredLease,
    /// A repeat of an accepted change is rejected as stale.
    RefusedRepeats,
    /// A proposal that another one overtook and that changed nothing is rejected as stale, although the other
    /// one may have been the same change.
    SupersededRefused,
}

/// Size of a cluster, and the fault of its members.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClusterShape {
    /// The number of failures that the cluster tolerates (f).
    pub tolerated_failures: u32,
    /// Number of seeds.
    pub seeds: usize,
    /// Number of machines, including the seeds.
    pub machines: usize,
    /// Injected fault of the members.
    pub fault: Fault,
}
