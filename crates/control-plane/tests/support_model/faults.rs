//! Faults injected around the code under test, each of which violates a guarantee that the checker must detect.

use tulipridge_control_plane::replication::DurableRecord;
use tulipridge_protocol::replication::{Envelope, ReplicationMessage, View};

/// A violated guarantee.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Fault {
    /// None.
    #[default]
    None,
    /// A promise is sent before its record is durable.
    EarlyPromise,
    /// An entry is acknowledged before it is durable.
    EarlyAppendAck,
    /// Data received in a sync is acknowledged before it is durable.
    EarlySyncAck,
    /// A member loses its promised epoch on restart.
    LostPromise,
    /// A member loses its view on restart.
    LostView,
    /// A member whose disk was wiped keeps its generation.
    ReusedGeneration,
    /// A member does not wait after a start for lease grants of its earlier incarnation to expire.
    NoLeaseWaitAtStart,
    /// A refusal by a voter that has granted a lease counts as a promise.
    RefusalCountsAsPromise,
    /// Views do not name the voters of the previous view.
    NoPreviousVoters,
    /// Members are configured to tolerate no failure, so one data replica suffices for them.
    SingleDataReplica,
    /// A member acts as primary by its role, without a check of its lease.
    RoleInsteadOfLease,
    /// A member acts as primary for a while after its lease has ended.
    OverrunLease,
    /// Clocks drift further than the lease terms allow for.
    ExcessiveDrift,
    /// An entry takes effect though an earlier entry of the same request did.
    RepeatedRequestApplied,
    /// The replicated state is not restored from snapshots.
    SnapshotIgnored,
}

impl Fault {
    /// Whether these records are reported as durable before they are.
    pub(crate) fn reports_early(self, records: &[DurableRecord]) -> bool {
        let is_early = |record: &DurableRecord| match self {
            Fault::EarlyPromise => matches!(record, DurableRecord::Promised(_)),
            Fault::EarlyAppendAck => matches!(record, DurableRecord::Entry(_)),
            Fault::EarlySyncAck => matches!(record, DurableRecord::Reset { .. }),
            _ => false,
        };
        records.iter().any(is_early)
    }

    /// Alters a message in transit.
    pub(crate) fn change_message(self, envelope: &mut Envelope) {
        match (self, &mut envelope.message) {
            (
                Fault::NoPreviousVoters,
                ReplicationMessage::Install { view }
                | ReplicationMessage::Heartbeat { view, .. }
                | ReplicationMessage::Promise { view, .. },
            ) => view.previous_voters.clear(),
            (Fault::RefusalCountsAsPromise, ReplicationMessage::Refuse { epoch, promised })
                if *promised < *epoch =>
            {
                let epoch = *epoch;
                envelope.message = ReplicationMessage::Promise { epoch, view: View::default() };
            }
            _ => {}
        }
    }
}
