//! The voter's side of a view change: promises an epoch and records the new view.

use std::time::Duration;

use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::number::Epoch;
use tulipridge_protocol::replication::{ReplicationMessage, View};

use super::machine::Replication;

impl Replication {
    /// Handles a request of a proposer to promise its epoch.
    pub(super) fn on_prepare(&mut self, now: Duration, from: NodeId, epoch: Epoch) {
        self.promises.observe_epoch(epoch);
        let is_repeated = epoch == self.storage.promised() && self.promises.has_promised_to(from);
        if !is_repeated {
            if epoch <= self.storage.promised() || !self.promises.may_promise_to(now, from) {
                self.refuse(from, epoch);
                return;
            }
            self.promise_to(from, epoch);
            self.yield_to_proposer(now, from, epoch);
        }
        let view = self.storage.view().cloned().unwrap_or_default();
        self.outbox.send_when_durable(from, ReplicationMessage::Promise { epoch, view });
    }

    /// Ends this member's own view change and leadership in favour of another proposer, which holds this member's
    /// promise.
    pub(super) fn yield_to_proposer(&mut self, now: Duration, proposer: NodeId, epoch: Epoch) {
        if proposer == self.settings.node {
            return;
        }
        self.view_change.take_if(|view_change| view_change.epoch < epoch);
        if self.leadership.is_some() {
            self.step_down(now);
        }
        self.postpone_campaign(now);
    }

    /// Handles a request of a proposer to record its view.
    pub(super) fn on_install(&mut self, now: Duration, from: NodeId, view: &View) {
        let epoch = view.epoch;
        if epoch < self.storage.promised() || epoch < self.storage.view_epoch() {
            self.refuse(from, epoch);
            return;
        }
        if epoch > self.storage.promised() {
            self.promise_to(from, epoch);
        }
        self.incoming.clear();
        self.adopt_view(now, view);
        if !self.storage.has_recorded_view_of(epoch) {
            self.record_view(view);
        }
        self.yield_to_proposer(now, from, epoch);
        self.outbox.send_when_durable(from, ReplicationMessage::Installed { epoch });
    }
}
