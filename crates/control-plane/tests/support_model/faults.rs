//! Promises that are broken on purpose, around the code under test, to show that the checker sees them.

use tulipridge_control_plane::replication::DurableRecord;
use tulipridge_protocol::replication::{Envelope, ReplicationMessage, View};

/// A promise that is broken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Fault {
    /// None.
    #[default]
    None,
    /// A promise is sent before its record is on disk.
    EarlyPromise,
    /// An entry is acknowledged before it is on disk.
    EarlyAppended,
    /// Data brought by a sync is acknowledged before it is on disk.
    EarlySynced,
    /// A member forgets what it has promised when it starts.
    ForgottenPromise,
    /// A member forgets its view when it starts.
    ForgottenView,
    /// A disk that was wiped keeps its generation.
    KeptGeneration,
    /// Nothing of a running grant is waited for after a start.
    NoQuietPeriod,
    /// A refusal of a voter that has granted a lease is taken for a promise.
    RefusalCountsAsPromise,
    /// Views don't name the voters before them.
    NoPreviousVoters,
    /// Members are told to withstand no loss, so one data replica is enough for them.
    OneDataReplica,
    /// The owner acts on its part and doesn't ask for the lease.
    RoleInsteadOfLease,
    /// The owner goes on to act as primary for a while after its lease has ended.
    LongLease,
    /// Clocks run further off true time than the terms bear.
    Drift,
    /// An entry takes effect though an earlier one of the same order did.
    RepeatTakesEffect,
    /// The agreed state is not taken over from snapshots.
    ForgottenOrders,
}

impl Fault {
    /// Whether these records are reported as synced before they are.
    pub(crate) fn reports_early(self, records: &[DurableRecord]) -> bool {
        let is_early = |record: &DurableRecord| match self {
            Fault::EarlyPromise => matches!(record, DurableRecord::Promised(_)),
            Fault::EarlyAppended => matches!(record, DurableRecord::Entry(_)),
            Fault::EarlySynced => matches!(record, DurableRecord::Reset { .. }),
            _ => false,
        };
        records.iter().any(is_early)
    }

    /// What becomes of a message on its way.
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
