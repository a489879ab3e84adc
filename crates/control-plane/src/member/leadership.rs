//! What a member remembers of its own leadership. It reads no clock: whether the lease runs is known to the
//! replication.

use tulipridge_protocol::number::Epoch;

use crate::replication::Role;
use crate::tenure::Tenure;

/// A member's leadership.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Leadership {
    /// Since when this member is primary, if it is.
    tenure: Option<Tenure>,
    /// The epoch in which this member, as primary, has applied all that was committed before.
    ready_epoch: Option<Epoch>,
}

impl Leadership {
    /// Records a new role. A primary is not ready before it has caught up in its new epoch.
    pub(super) fn role_changed(&mut self, role: Role) {
        self.ready_epoch = None;
        self.tenure = match role {
            Role::Primary { epoch } => Some(self.tenure.unwrap_or(Tenure(epoch))),
            Role::Standby | Role::Voter | Role::Backup => None,
        };
    }

    /// Records that all that was committed before `epoch` is applied.
    pub(super) fn caught_up(&mut self, epoch: Epoch) {
        self.ready_epoch = Some(epoch);
    }

    /// Since when this member is primary, if it is.
    pub(super) fn tenure(&self) -> Option<Tenure> {
        self.tenure
    }

    /// The epoch in which this member is ready to act as primary. It may have ended since.
    pub(super) fn ready_epoch(&self) -> Option<Epoch> {
        self.ready_epoch
    }
}
