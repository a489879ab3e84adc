//! Gateways: starts and stops, the events passed to their policies, and the actions that the policies return.

use std::sync::Arc;

use rand::RngExt;
use tulipridge::types::{Action, Event, ListKind, Member, SettingsError};

use super::events::FleetEvent;
use super::processes::GatewayProcess;
use super::requests::AttemptStage;
use super::state::Fleet;
use crate::policy::Policy;
use crate::record::RequestOutcome;
use crate::replica::AttemptId;
use crate::time::nanos;

impl Fleet<'_> {
    /// Passes an event to a gateway's policy and performs the resulting actions.
    pub(super) fn notify_policy(&mut self, gateway: usize, event: Event) {
        let now = self.queue.now();
        let Some(policy) = self.gateways[gateway].policy.as_mut() else { return };
        self.recorder.counters.events += 1;
        let mut actions = std::mem::take(&mut self.buffers.actions);
        policy.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.perform_action(gateway, action);
        }
        self.buffers.actions = actions;
    }

    /// Passes an event to a gateway's policy, unless the gateway has stopped or restarted since `process`.
    pub(super) fn notify_process(&mut self, process: GatewayProcess, event: Event) {
        if self.is_current_gateway(process) {
            self.notify_policy(process.gateway, event);
        }
    }

    fn perform_action(&mut self, gateway: usize, action: Action) {
        match action {
            Action::Send { id, replica, timeout, .. } => {
                self.send_attempt(gateway, id.0, &replica, timeout);
            }
            Action::Refuse { id, retry_after } => {
                self.respond_to_client(id.0, RequestOutcome::Rejected, retry_after);
            }
            Action::Fail(id) => self.respond_to_client(id.0, RequestOutcome::Failed, 0),
            Action::Cancel { id, attempt } => {
                let id = AttemptId { request: id.0, attempt };
                if self.attempt_stage(id) == Some(AttemptStage::Sent) {
                    self.cancel_attempt(id);
                }
            }
            Action::Timer { after, token } => {
                let process = self.gateway_process(gateway);
                self.schedule(after, FleetEvent::PolicyTimer { process, token });
            }
            Action::Watch | Action::Fetch => self.call_list_service(gateway),
            Action::Probe(_) | Action::SendToPeer { .. } => {}
        }
    }

    /// Starts a gateway with its persisted list.
    pub(super) fn start_gateway(&mut self, index: usize) -> Result<(), SettingsError> {
        let seed = self.random.policy_seeds.random();
        let settings = self.experiment.load_balancer_settings(index as u32);
        let policy = Policy::new(self.policy_kind, settings, seed, &self.fleet_load)?;
        let now = self.queue.now();
        let gateway = &mut self.gateways[index];
        gateway.policy = Some(policy);
        gateway.incarnation += 1;
        gateway.started = now;
        gateway.is_watching = false;
        gateway.has_list = false;
        gateway.list_call = None;
        let members: Arc<[Member]> = gateway.known_members.values().cloned().collect();
        if !gateway.is_in_rotation {
            let delay = nanos(self.experiment.gateways.detection_delay);
            self.schedule(delay, FleetEvent::GatewayStateDetected { gateway: index, is_up: true });
        }
        self.notify_policy(index, Event::List { kind: ListKind::Persisted, members });
        Ok(())
    }

    /// Stops a gateway: requests without a first token fail, and streams break.
    pub(super) fn stop_gateway(&mut self, index: usize) {
        let gateway = &mut self.gateways[index];
        gateway.policy = None;
        gateway.incarnation += 1;
        gateway.is_watching = false;
        gateway.list_call = None;
        let open_requests = std::mem::take(&mut gateway.open_requests);
        self.idle_connections.retain(|link, _| link.gateway != index);
        for number in open_requests {
            self.drop_request(number);
        }
        let delay = nanos(self.experiment.gateways.detection_delay);
        self.schedule(delay, FleetEvent::GatewayStateDetected { gateway: index, is_up: false });
    }

    /// Drops a request of a gateway that has stopped; the client retries unless its stream had begun.
    fn drop_request(&mut self, number: u64) {
        let Some(request) = self.gateway_requests[number as usize].as_ref() else { return };
        let (client, is_streaming) = (request.client, request.streaming.is_some());
        for attempt in 0..request.attempts.len() as u32 {
            self.abandon_attempt(AttemptId { request: number, attempt });
        }
        self.gateway_requests[number as usize] = None;
        if is_streaming {
            self.finish_client(client, RequestOutcome::Broken, None);
        } else {
            self.retry_client(client, RequestOutcome::Failed, 0);
        }
    }
}
