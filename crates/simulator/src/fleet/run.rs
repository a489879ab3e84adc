//! The event loop of a simulation.

use tulipridge::types::{Event, SettingsError, Verdict};

use super::events::{AttemptEnd, FleetEvent};
use super::requests::AttemptStage;
use super::state::{Fleet, GatewayState};
use crate::record::WINDOW_DURATION;
use crate::replica::AttemptId;
use crate::time::nanos;

impl Fleet<'_> {
    /// Handles all events up to the end of the experiment.
    pub(super) fn run(&mut self) -> Result<(), SettingsError> {
        self.schedule_initial_events();
        let end = self.experiment.end();
        while let Some(event) = self.queue.advance(end) {
            self.handle(event)?;
        }
        let without_list = |gateway: &&GatewayState| gateway.policy.is_some() && !gateway.has_list;
        self.recorder.counters.gateways_without_list = self.gateways.iter().filter(without_list).count();
        self.count_open_streams();
        Ok(())
    }

    fn schedule_initial_events(&mut self) {
        for gateway in 0..self.gateways.len() {
            let delay = self.random_delay(nanos(self.experiment.gateways.start_spread));
            self.schedule(delay, FleetEvent::GatewayStart(gateway));
        }
        for (index, (_, fault)) in self.experiment.faults_in_order().into_iter().enumerate() {
            let start = nanos(self.experiment.warmup + fault.start);
            self.schedule(start, FleetEvent::FaultBegins(index));
        }
        self.schedule(0, FleetEvent::SessionArrival);
        self.schedule(WINDOW_DURATION, FleetEvent::WindowEnded);
        self.schedule(nanos(self.experiment.list_service.publish_interval), FleetEvent::ListPublication);
        if let Some(reports) = &self.experiment.replicas.load_reports {
            self.schedule(nanos(reports.period), FleetEvent::LoadReports);
        }
    }

    /// Counts streams in progress at the end as served, since only the first token decides whether they are in time.
    fn count_open_streams(&mut self) {
        for client in 0..self.client_requests.len() {
            if self.client_requests[client].first_token.is_some()
                && !self.client_requests[client].is_finished
            {
                self.finish_served(client);
            }
        }
    }

    fn handle(&mut self, event: FleetEvent) -> Result<(), SettingsError> {
        match event {
            FleetEvent::SessionArrival => self.begin_session(),
            FleetEvent::SessionTurn(session) => self.begin_turn(*session),
            FleetEvent::ClientAttempt(client) => self.send_client_attempt(client),
            FleetEvent::ClientTimeout(request) => self.time_out_client_attempt(request),
            FleetEvent::PolicyTimer { process, token } => {
                self.notify_process(process, Event::Timer(token));
            }
            FleetEvent::AttemptArrival(id) => self.deliver_attempt(id),
            FleetEvent::AttemptTimeout(id) => self.time_out_attempt(id),
            FleetEvent::FirstToken(id) => self.receive_first_token(id),
            FleetEvent::AttemptEnded(end) => self.end_attempt(end),
            FleetEvent::AttemptCancelled { process, id } => self.cancel_at_replica(process, id),
            FleetEvent::StepEnded(process) => self.end_step(process),
            FleetEvent::ListCallServed => self.serve_list_call(),
            FleetEvent::ListCallTimeout(call) => self.fail_list_call(call),
            FleetEvent::ListCallRejected { call, wait } => {
                self.notify_process(call.caller, Event::ListServiceBusy(wait));
                self.fail_list_call(call);
            }
            FleetEvent::ListUpdate { process, kind, members } => {
                self.receive_list(process, kind, members);
            }
            FleetEvent::ListPublication => self.publish_changes(),
            FleetEvent::LoadReports => self.measure_load_reports(),
            FleetEvent::WindowEnded => {
                self.recorder.end_window(self.queue.now());
                self.schedule(WINDOW_DURATION, FleetEvent::WindowEnded);
            }
            FleetEvent::FaultBegins(fault) => self.begin_fault(fault),
            FleetEvent::GatewayStop(gateway) => self.stop_gateway(gateway),
            FleetEvent::GatewayStart(gateway) => self.start_gateway(gateway)?,
            FleetEvent::GatewayStateDetected { gateway, is_up } => {
                self.gateways[gateway].is_in_rotation = is_up;
            }
            FleetEvent::ReplicaFault { replica, fault } => self.apply_fault(replica, fault),
            FleetEvent::ReplicaStop(replica) => self.stop_drained(replica),
            FleetEvent::ReplicaRecovery { replica, fault } => self.recover(replica, fault),
        }
        Ok(())
    }

    fn time_out_attempt(&mut self, id: AttemptId) {
        if self.attempt_stage(id) == Some(AttemptStage::Sent) {
            self.abandon_attempt(id);
            self.end_attempt(AttemptEnd { id, verdict: Verdict::TimedOut, cached_tokens: None });
        }
    }
}
