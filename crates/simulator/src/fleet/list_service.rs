//! The list service, which serves calls one after another and publishes changes to watching gateways.

use std::collections::BTreeMap;
use std::sync::Arc;

use tulipridge::types::{Event, ListKind, Member, Nanos, Phase};

use super::events::FleetEvent;
use super::processes::{GatewayProcess, ListCall};
use super::state::{Fleet, PendingChange};
use crate::time::{SECOND, nanos};

impl Fleet<'_> {
    /// Sends a gateway's call to the list service, which queues or rejects it. In an outage the call times out.
    pub(super) fn call_list_service(&mut self, gateway: usize) {
        self.list_service.last_call_number += 1;
        self.recorder.add_list_call();
        let call =
            ListCall { caller: self.gateway_process(gateway), number: self.list_service.last_call_number };
        self.gateways[gateway].list_call = Some(call.number);
        // Calls are served one after another, so the wait includes all queued ones.
        let wait = self.list_call_duration().saturating_mul(self.list_service.queue.len() as u64 + 1);
        let max_wait = self.experiment.list_service.max_queue_wait.map(nanos);
        if let Some(max_wait) = max_wait.filter(|max_wait| wait > *max_wait) {
            return self.schedule(0, FleetEvent::ListCallRejected { call, wait: max_wait });
        }
        if self.now() >= self.list_service.unavailable_until {
            self.list_service.queue.push_back(call);
            if self.list_service.queue.len() == 1 {
                self.schedule(self.list_call_duration(), FleetEvent::ListCallServed);
            }
        }
        let timeout = nanos(self.experiment.list_service.timeout);
        self.schedule(timeout, FleetEvent::ListCallTimeout(call));
    }

    fn list_call_duration(&self) -> Nanos {
        (SECOND as f64 / self.experiment.list_service.calls_per_s) as Nanos
    }

    /// Completes the call at the head of the queue, and responds with the complete list.
    pub(super) fn serve_list_call(&mut self) {
        let Some(call) = self.list_service.queue.pop_front() else { return };
        if !self.list_service.queue.is_empty() {
            self.schedule(self.list_call_duration(), FleetEvent::ListCallServed);
        }
        // The response is lost in an outage, or if the call has timed out or its gateway has stopped.
        if self.now() < self.list_service.unavailable_until || !self.is_pending(call) {
            return;
        }
        let gateway = &mut self.gateways[call.caller.gateway];
        gateway.list_call = None;
        gateway.is_watching = true;
        let (process, kind, members) = (call.caller, ListKind::Complete, self.complete_list());
        self.schedule(0, FleetEvent::ListUpdate { process, kind, members });
    }

    fn is_pending(&self, call: ListCall) -> bool {
        self.is_current_gateway(call.caller)
            && self.gateways[call.caller.gateway].list_call == Some(call.number)
    }

    fn complete_list(&self) -> Arc<[Member]> {
        let members = self.replicas.iter().map(|entry| &entry.member);
        members.filter(|member| member.phase != Phase::Gone).cloned().collect()
    }

    /// Fails a call that is still pending, and notifies the policy.
    pub(super) fn fail_list_call(&mut self, call: ListCall) {
        if self.is_pending(call) {
            self.gateways[call.caller.gateway].list_call = None;
            self.recorder.counters.list_calls_failed += 1;
            let event = Event::List { kind: ListKind::Failed, members: Arc::from([]) };
            self.notify_policy(call.caller.gateway, event);
        }
    }

    /// Delivers a list or its changes to a gateway.
    pub(super) fn receive_list(&mut self, process: GatewayProcess, kind: ListKind, members: Arc<[Member]>) {
        if !self.is_current_gateway(process) {
            return;
        }
        let now = self.queue.now();
        let gateway = &mut self.gateways[process.gateway];
        if kind == ListKind::Complete {
            gateway.known_members.clear();
            if !std::mem::replace(&mut gateway.has_list, true) {
                self.recorder.counters.list_waits.push(now - gateway.started);
            }
        }
        for member in members.iter() {
            if let Some(&replica) = self.replica_index.get(&member.id) {
                gateway.known_members.insert(replica, member.clone());
            }
        }
        self.notify_policy(process.gateway, Event::List { kind, members });
    }

    /// Publishes the changes that the service has detected to all watching gateways, and schedules the next
    /// publication.
    pub(super) fn publish_changes(&mut self) {
        let settings = &self.experiment.list_service;
        self.schedule(nanos(settings.publish_interval), FleetEvent::ListPublication);
        if self.now() < self.list_service.unavailable_until {
            // Changes stay pending until the outage has ended.
            return;
        }
        if settings.has_push {
            self.push_complete_list();
        }
        let members = self.apply_due_changes();
        if members.is_empty() {
            return;
        }
        for gateway in 0..self.gateways.len() {
            if self.gateways[gateway].is_watching {
                let delay = self.random_delay(nanos(settings.delivery_spread));
                let (process, members) = (self.gateway_process(gateway), Arc::clone(&members));
                self.schedule(delay, FleetEvent::ListUpdate { process, kind: ListKind::Changes, members });
            }
        }
    }

    /// Applies the changes that the service has detected to the list, and returns the changed members.
    fn apply_due_changes(&mut self) -> Arc<[Member]> {
        let now = self.now();
        let pending = &mut self.list_service.pending_changes;
        let mut due: Vec<PendingChange> =
            pending.extract_if(.., |change| change.detected_at <= now).collect();
        due.sort_by_key(|change| (change.detected_at, change.replica));
        let mut changed = BTreeMap::new();
        for change in due {
            let member = &mut self.replicas[change.replica].member;
            member.phase = change.phase;
            member.started = change.started;
            changed.insert(change.replica, member.clone());
        }
        changed.into_values().collect()
    }

    /// Pushes the complete list to each gateway that has started since the last publication.
    fn push_complete_list(&mut self) {
        let list = self.complete_list();
        for index in 0..self.gateways.len() {
            let gateway = &mut self.gateways[index];
            if gateway.policy.is_some() && !std::mem::replace(&mut gateway.is_watching, true) {
                let (process, members) = (self.gateway_process(index), Arc::clone(&list));
                self.schedule(0, FleetEvent::ListUpdate { process, kind: ListKind::Complete, members });
            }
        }
    }

    /// Schedules the detection of a change by the list service after `delay`, or after the experiment's change delay if
    /// set. Earlier changes of the same replica that would be detected later are outdated and dropped.
    pub(super) fn schedule_detection(
        &mut self,
        delay: Nanos,
        replica: usize,
        phase: Phase,
        started: Option<Nanos>,
    ) {
        let delay = match &self.experiment.list_service.change_delay {
            Some(range) => nanos(range.min) + self.random_delay(nanos(range.max) - nanos(range.min)),
            None => delay,
        };
        let detected_at = self.now() + delay;
        let pending = &mut self.list_service.pending_changes;
        pending.retain(|change| change.replica != replica || change.detected_at < detected_at);
        pending.push(PendingChange { detected_at, replica, phase, started });
    }
}
