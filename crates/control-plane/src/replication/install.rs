//! The last phase of a view change: its members record the view, and its proposer becomes primary.

use std::time::Duration;

use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::number::Epoch;
use tulipridge_protocol::replication::ReplicationMessage;

use super::machine::Replication;
use super::view_change::{Phase, ViewChange};

impl Replication {
    /// Sends the new view to the members of this phase that have not recorded it.
    pub(super) fn send_installs(&mut self) {
        let Some(view_change) = &self.view_change else { return };
        let message = ReplicationMessage::Install { view: view_change.view.clone() };
        for target in view_change.missing_installs() {
            self.outbox.send(target, message.clone());
        }
    }

    /// Handles a report that a member has recorded the new view.
    pub(super) fn on_installed(&mut self, now: Duration, from: NodeId, epoch: Epoch) {
        let stalled_at = now + self.election.stall_timeout();
        let Some(view_change) = &mut self.view_change else { return };
        if !view_change.is_installing(epoch) {
            return;
        }
        if view_change.record_installed(from) {
            view_change.restart_stall_timeout(stalled_at);
        }
        if !view_change.is_installed_at_replicas() {
            return;
        }
        if view_change.phase == Phase::InstallingAtReplicas {
            view_change.start_installing_at_voters(now);
            self.send_installs();
        }
        self.lead_if_in_force(now);
    }

    fn lead_if_in_force(&mut self, now: Duration) {
        let is_in_force = |view_change: &mut ViewChange| view_change.is_in_force();
        if let Some(view_change) = self.view_change.take_if(is_in_force) {
            self.election.record_success();
            self.become_primary(now, view_change.view);
        }
    }
}
