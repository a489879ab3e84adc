//! From a process's first input to its departure, and the role that it has reported in between.

use super::interface::Role;

/// Where a member's process is between start and end.
#[derive(Clone, Debug)]
pub(super) struct Lifecycle {
    is_started: bool,
    is_leaving: bool,
    reported_role: Role,
}

impl Lifecycle {
    /// A process that has handled no input.
    pub(super) fn new() -> Lifecycle {
        Lifecycle { is_started: false, is_leaving: false, reported_role: Role::Standby }
    }

    /// Whether an input was handled.
    pub(super) fn is_started(&self) -> bool {
        self.is_started
    }

    /// Handles an input; returns whether it is the first one.
    pub(super) fn mark_started(&mut self) -> bool {
        !std::mem::replace(&mut self.is_started, true)
    }

    /// Whether the process ends soon.
    pub(super) fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// The process ends soon.
    pub(super) fn mark_leaving(&mut self) {
        self.is_leaving = true;
    }

    /// The role that was last reported to the owner.
    pub(super) fn reported_role(&self) -> Role {
        self.reported_role
    }

    /// Takes over the current role; returns whether it has to be reported.
    pub(super) fn record_reported_role(&mut self, role: Role) -> bool {
        std::mem::replace(&mut self.reported_role, role) != role
    }
}
