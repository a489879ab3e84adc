//! Whether a member's process has started or is leaving, and the role that it last reported.

use super::interface::Role;

/// The lifecycle of a member's process.
#[derive(Clone, Debug)]
pub(super) struct Lifecycle {
    is_started: bool,
    is_leaving: bool,
    reported_role: Role,
}

impl Lifecycle {
    /// Creates the state of a process that has handled no input.
    pub(super) fn new() -> Lifecycle {
        Lifecycle { is_started: false, is_leaving: false, reported_role: Role::Standby }
    }

    /// Whether the process has handled an input.
    pub(super) fn is_started(&self) -> bool {
        self.is_started
    }

    /// Records that an input is handled; returns whether it is the first one.
    pub(super) fn mark_started(&mut self) -> bool {
        !std::mem::replace(&mut self.is_started, true)
    }

    /// Whether the process is about to shut down.
    pub(super) fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Records that the process is about to shut down.
    pub(super) fn mark_leaving(&mut self) {
        self.is_leaving = true;
    }

    /// The role that was last reported to the owner.
    pub(super) fn reported_role(&self) -> Role {
        self.reported_role
    }

    /// Records the current role; returns whether it has changed and has to be reported.
    pub(super) fn record_reported_role(&mut self, role: Role) -> bool {
        std::mem::replace(&mut self.reported_role, role) != role
    }
}
