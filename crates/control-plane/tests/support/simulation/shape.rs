//! Size of a simulated cluster, and promises that its members break on purpose.

/// Faults of the members themselves, to show that the checker sees them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Fault {
    /// None.
    #[default]
    None,
    /// Syncs are reported before they are done.
    EarlySync,
    /// A member whose disk was lost keeps its generation.
    KeptGeneration,
    /// Clocks run at speeds far apart.
    WildClocks,
    /// A member forgets promises and views when it starts.
    ForgottenPromises,
    /// Backups report syncs before they are done.
    EarlyBackupSync,
    /// A standby answers in the place of a voter that is cut off.
    StandbyVotes,
    /// Snapshots do not hold the agreed state.
    EmptySnapshots,
    /// A member that was primary answers operators without a lease.
    IgnoredLease,
    /// A change that was taken before is refused.
    ForgottenRepeats,
    /// A proposal that came behind another one and changed nothing is refused, though that one may have been the
    /// same change.
    SupersededRefused,
}

/// Size of a cluster and its faults.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shape {
    /// f.
    pub losses: u32,
    /// Seeds.
    pub seeds: usize,
    /// Machines, seeds included.
    pub machines: usize,
    /// Fault of the members.
    pub fault: Fault,
}
