//! The state of a member's own leadership. It reads no clock: the replication protocol knows whether the lease is
//! valid.

use tulipridge_protocol::number::Epoch;

use crate::replication::Role;
use crate::tenure::Tenure;

/// A member's leadership.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Leadership {
    /// The member's tenure, if it is primary.
    tenure: Option<Tenure>,
    /// The epoch in which this member, as primary, has applied everything committed before.
    ready_epoch: Option<Epoch>,
}

impl Leadership {
    /// Records a new role. A primary is not ready until it has caught up in its new epoch.
    pub(super) fn role_changed(&mut self, role: Role) {
        self.ready_epoch = None;
        self.tenure = match role {
            Role::Primary { epoch } => Some(self.tenure.unwrap_or(Tenure(epoch))),
            Role::Standby | Role::Voter | Role::Backup => None,
        };
    }

    /// Records that everything committed before `epoch` has been applied.
    pub(super) fn caught_up(&mut self, epoch: Epoch) {
        self.ready_epoch = Some(epoch);
    }

    /// The member's tenure, if it is primary.
    pub(super) fn tenure(&self) -> Option<Tenure> {
        self.tenure
    }

    /// The epoch in which this member became ready to act as primary. It may have ended since then.
    pub(super) fn ready_epoch(&self) -> Option<Epoch> {
        self.ready_epoch
    }
}
