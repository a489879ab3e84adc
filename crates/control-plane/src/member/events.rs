//! Handling of the events of a member's disk and state machine.

use std::rc::Rc;

use async_channel::Receiver;
use snafu::Snafu;
use tulipridge_runtime::clock;

use super::Member;
use crate::disk::DiskEvent;
use crate::replication::{Input, WriteTicket};
use crate::state::StateError;
use crate::state_machine::StateMachineEvent;

/// Why the state machine has stopped. The member must not continue without it.
#[derive(Debug, Snafu)]
pub enum StateMachineStopped {
    /// A command or a snapshot could not be applied.
    #[snafu(display("{source}"))]
    Failed {
        /// Why.
        source: StateError,
    },
    /// The thread has ended unexpectedly.
    #[snafu(display("the thread of the state machine has ended unexpectedly"))]
    ThreadEnded,
}

impl Member {
    /// Handles the events of the disk. Returns only if the writer thread has ended.
    pub async fn run_disk_events(self: Rc<Self>, events: Receiver<DiskEvent>) {
        while let Ok(event) = events.recv().await {
            match event {
                DiskEvent::Persisted { ticket } => self.on_persisted(ticket),
                DiskEvent::WriteFailed { .. } => self.on_write_failed(),
            }
        }
    }

    fn on_persisted(&self, ticket: WriteTicket) {
        self.disk_health.borrow_mut().write_finished(ticket);
        self.check_disk_health();
        self.step(Input::Persisted { ticket });
    }

    fn on_write_failed(&self) {
        self.disk_health.borrow_mut().write_failed();
        self.check_disk_health();
    }

    /// Reports a change in the disk's health to the replication protocol.
    pub(super) fn check_disk_health(&self) {
        let change = self.disk_health.borrow_mut().health_change(clock::now());
        if let Some(healthy) = change {
            log::warn!(healthy = healthy; "disk health changed");
            self.step(Input::DiskHealthy(healthy));
        }
    }

    /// Handles the events of the state machine. Returns only if the state machine has stopped.
    pub async fn run_state_machine_events(
        self: Rc<Self>,
        events: Receiver<StateMachineEvent>,
    ) -> StateMachineStopped {
        while let Ok(event) = events.recv().await {
            match event {
                StateMachineEvent::Applied { sequence, applied, published } => {
                    self.published.set(published);
                    self.proposals.borrow_mut().applied(sequence, applied);
                    self.compact_if_due().await;
                }
                StateMachineEvent::CaughtUp { epoch } => {
                    self.update_leadership(|leadership| leadership.caught_up(epoch));
                }
                StateMachineEvent::Failed(source) => return StateMachineStopped::Failed { source },
            }
        }
        StateMachineStopped::ThreadEnded
    }

    async fn compact_if_due(&self) {
        if !self.applied_since_snapshot.get().is_snapshot_due() {
            return;
        }
        self.applied_since_snapshot.take();
        if let Some(snapshot) = self.state_machine.snapshot().await {
            self.step(Input::Compact { sequence: snapshot.sequence, snapshot: snapshot.state.into() });
        }
    }
}
