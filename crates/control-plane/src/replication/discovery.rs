//! Addresses at which other members may be running, and the timer of requests to join.

use std::time::Duration;

use tulipridge_protocol::node::NodeId;

use super::timing::JOIN_INTERVAL;

/// The known addresses and the time of the next requests to join.
#[derive(Clone, Debug)]
pub(super) struct Discovery {
    known: Vec<NodeId>,
    join_at: Duration,
}

impl Discovery {
    /// Creates a state without known addresses; the first requests are due at `now`.
    pub(super) fn new(now: Duration) -> Discovery {
        Discovery { known: Vec::new(), join_at: now }
    }

    /// Replaces the known addresses.
    pub(super) fn set_known(&mut self, known: Vec<NodeId>) {
        self.known = known;
    }

    pub(super) fn known(&self) -> &[NodeId] {
        &self.known
    }

    /// When the next requests to join are due.
    pub(super) fn join_at(&self) -> Duration {
        self.join_at
    }

    /// Whether requests to join are due; if so, schedules the next ones.
    pub(super) fn take_due_join(&mut self, now: Duration) -> bool {
        let is_due = now >= self.join_at;
        if is_due {
            self.join_at = now + JOIN_INTERVAL;
        }
        is_due
    }
}
