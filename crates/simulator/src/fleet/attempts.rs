//! Gateways' attempts at replicas, and the responses that clients receive.

use rand::RngExt;
use tulipridge::types::{Event, Nanos, ReplicaId, RequestId, Verdict};

use super::events::{AttemptEnd, FleetEvent};
use super::processes::ReplicaProcess;
use super::requests::{Attempt, AttemptStage};
use super::state::{Fleet, Link, RESPONSE_COST_TOKENS};
use crate::record::RequestOutcome;
use crate::replica::{AttemptId, Job};
use crate::time::{MILLISECOND, nanos};

/// Time from the arrival of a request at a faulty replica to its error response, in nanoseconds.
const ERROR_RESPONSE_TIME: Nanos = MILLISECOND;

impl Fleet<'_> {
    /// Sends an attempt to a replica, or schedules its failure if there is no connection.
    pub(super) fn send_attempt(
        &mut self,
        gateway: usize,
        number: u64,
        replica: &ReplicaId,
        timeout: Nanos,
    ) {
        let Some(&index) = self.replica_index.get(replica) else { return };
        let now = self.now();
        let process =
            ReplicaProcess { replica: index, incarnation: self.replicas[index].replica.incarnation };
        let Some(request) = self.gateway_requests[number as usize].as_mut() else { return };
        let id = AttemptId { request: number, attempt: request.attempts.len() as u32 };
        request.attempts.push(Attempt { process, stage: AttemptStage::Sent, sent: now });
        let client = &self.client_requests[request.client];
        let cost_tokens = f64::from(client.prompt_tokens) + RESPONSE_COST_TOKENS;
        self.recorder.add_attempt(now, client.arrived, index);
        if let Some(load) = self.fleet_load.borrow_mut().get_mut(&*replica.0) {
            load.in_flight += 1.0;
        }
        self.record_slow_start_work(index, cost_tokens);
        match self.connect(Link { gateway, replica: index }) {
            Connection::Established { delay } => {
                let latency = self.latency(gateway, index);
                self.schedule(delay + latency, FleetEvent::AttemptArrival(id));
                self.schedule(timeout, FleetEvent::AttemptTimeout(id));
            }
            Connection::Failed { delay } => self.schedule_end(delay, id, Verdict::NoConnection),
        }
    }

    /// Reuses an idle connection that has not expired, or opens a new one.
    fn connect(&mut self, link: Link) -> Connection {
        let now = self.now();
        let network = &self.experiment.network;
        let round_trip = 2 * self.latency(link.gateway, link.replica);
        let replica = &self.replicas[link.replica].replica;
        if !replica.is_running {
            // The process is down, so the machine refuses the connection after one round trip.
            return Connection::Failed { delay: round_trip };
        }
        let idle = self.idle_connections.get_mut(&link).and_then(|expiries| {
            expiries.retain(|expiry| *expiry > now);
            expiries.pop()
        });
        if idle.is_some() {
            return Connection::Established { delay: 0 };
        }
        if replica.faults.is_unreachable {
            return Connection::Failed { delay: nanos(network.connect_timeout) };
        }
        self.recorder.add_connection(link.replica);
        Connection::Established { delay: round_trip + nanos(network.handshake_duration) }
    }

    /// Schedules the end of an attempt without a complete response, as observed at its gateway.
    pub(super) fn schedule_end(&mut self, delay: Nanos, id: AttemptId, verdict: Verdict) {
        let end = AttemptEnd { id, verdict, cached_tokens: None };
        self.schedule(delay, FleetEvent::AttemptEnded(end));
    }

    /// Sends a client a final response without a stream: a rejection or a failure. No effect on a closed request.
    pub(super) fn respond_to_client(&mut self, number: u64, outcome: RequestOutcome, retry_after: Nanos) {
        let Some(request) = self.gateway_requests[number as usize].as_mut() else { return };
        if std::mem::replace(&mut request.is_closed, true) {
            return;
        }
        let (client, attempts) = (request.client, request.attempts.len());
        if request.streaming.is_none() {
            let arrived = self.client_requests[client].arrived;
            if attempts >= self.experiment.attempt_limits.max_attempts as usize {
                self.recorder.add_exhausted(arrived);
            }
            if outcome == RequestOutcome::Rejected {
                self.record_rejection(arrived);
            }
            self.retry_client(client, outcome, retry_after);
        }
        self.clean_up_request(number);
    }

    fn record_rejection(&mut self, arrived: Nanos) {
        let now = self.queue.now();
        let settings = &self.experiment.replicas;
        let replicas = self.replicas.iter().enumerate();
        let with_free_capacity = replicas
            .filter(|(_, entry)| entry.replica.has_free_capacity(now, settings))
            .map(|(index, _)| index);
        self.recorder.add_rejection(now, arrived, with_free_capacity);
    }

    /// The stage of an attempt; `None` if its request has been removed.
    pub(super) fn attempt_stage(&self, id: AttemptId) -> Option<AttemptStage> {
        let request = self.gateway_requests.get(id.request as usize)?.as_ref()?;
        request.attempts.get(id.attempt as usize).map(|attempt| attempt.stage)
    }

    /// Ends an attempt at its gateway. The cancellation reaches the replica after the one-way latency.
    pub(super) fn abandon_attempt(&mut self, id: AttemptId) {
        let Some(request) = self.gateway_requests[id.request as usize].as_mut() else { return };
        let Some(attempt) = request.attempts.get_mut(id.attempt as usize) else { return };
        if attempt.stage == AttemptStage::Ended {
            return;
        }
        attempt.stage = AttemptStage::Ended;
        let (process, gateway) = (attempt.process, request.process.gateway);
        self.remove_from_fleet_load(process.replica);
        let latency = self.latency(gateway, process.replica);
        self.schedule(latency, FleetEvent::AttemptCancelled { process, id });
    }

    /// Abandons an attempt and notifies the policy by a separate event, as for all outcomes.
    pub(super) fn cancel_attempt(&mut self, id: AttemptId) {
        self.abandon_attempt(id);
        if let Some(request) = self.gateway_requests[id.request as usize].as_mut() {
            request.pending_cancellations += 1;
        }
        self.schedule_end(0, id, Verdict::Cancelled);
    }

    fn remove_from_fleet_load(&mut self, replica: usize) {
        let name = &self.replicas[replica].replica.name;
        if let Some(load) = self.fleet_load.borrow_mut().get_mut(name) {
            load.in_flight -= 1.0;
        }
    }

    /// Delivers an attempt to its replica, which enqueues, resets or fails it.
    pub(super) fn deliver_attempt(&mut self, id: AttemptId) {
        let now = self.now();
        let Some(request) = self.gateway_requests[id.request as usize].as_ref() else { return };
        let attempt = &request.attempts[id.attempt as usize];
        if attempt.stage != AttemptStage::Sent {
            return;
        }
        let (process, client) = (attempt.process, &self.client_requests[request.client]);
        let job = Job {
            id,
            prefix: client.prefix,
            session: client.session,
            prompt_tokens: client.prompt_tokens,
            prefix_tokens: client.prefix_tokens,
            response_tokens: client.response_tokens,
        };
        let latency = self.latency(request.process.gateway, process.replica);
        let replica = &self.replicas[process.replica].replica;
        if !replica.is_running || replica.incarnation != process.incarnation {
            return self.schedule_end(latency, id, Verdict::Reset);
        }
        self.recorder.add_arrival(now, process.replica);
        let error_fraction = replica.faults.error_fraction;
        if error_fraction > 0.0 && self.random.faults_and_delays.random::<f64>() < error_fraction {
            return self.schedule_end(latency + ERROR_RESPONSE_TIME, id, Verdict::Error);
        }
        self.replicas[process.replica].replica.enqueue(job);
        self.record_replica(process.replica);
        self.begin_step(process.replica);
    }

    /// Begins the stream to the client. If another attempt has begun it or the request is closed, cancels this attempt.
    pub(super) fn receive_first_token(&mut self, id: AttemptId) {
        if self.attempt_stage(id) != Some(AttemptStage::Sent) {
            return;
        }
        let now = self.now();
        let Some(request) = self.gateway_requests[id.request as usize].as_mut() else { return };
        if request.streaming.is_some() || request.is_closed {
            return self.cancel_attempt(id);
        }
        request.streaming = Some(id.attempt);
        let attempt = &mut request.attempts[id.attempt as usize];
        attempt.stage = AttemptStage::Streaming;
        let (elapsed, gateway) = (now - attempt.sent, request.process.gateway);
        let client = &mut self.client_requests[request.client];
        client.first_token = client.first_token.or(Some(now));
        let event = Event::FirstToken { id: RequestId(id.request), attempt: id.attempt, elapsed };
        self.notify_policy(gateway, event);
    }

    /// Ends an attempt: notifies the policy, and finishes the client's request if its stream has ended.
    pub(super) fn end_attempt(&mut self, end: AttemptEnd) {
        let AttemptEnd { id, verdict, cached_tokens } = end;
        let now = self.now();
        let Some(request) = self.gateway_requests[id.request as usize].as_mut() else { return };
        let Some(attempt) = request.attempts.get_mut(id.attempt as usize) else { return };
        let stage = std::mem::replace(&mut attempt.stage, AttemptStage::Ended);
        // The outcome of an abandoned attempt is notified after its end; all other attempts end once.
        let is_abandoned = matches!(verdict, Verdict::Cancelled | Verdict::TimedOut);
        request.pending_cancellations -= u32::from(verdict == Verdict::Cancelled);
        if stage == AttemptStage::Ended && !is_abandoned {
            return;
        }
        let (replica, elapsed) = (attempt.process.replica, now - attempt.sent);
        let (gateway, client) = (request.process.gateway, request.client);
        let is_streaming = request.streaming == Some(id.attempt);
        let has_ended = is_streaming && matches!(verdict, Verdict::Ok | Verdict::Reset | Verdict::Error);
        request.is_closed |= has_ended;
        if stage != AttemptStage::Ended {
            self.remove_from_fleet_load(replica);
        }
        if has_ended {
            self.end_stream(client, Link { gateway, replica }, &end);
        }
        if verdict == Verdict::Error {
            self.recorder.add_error(now, self.client_requests[client].arrived, replica);
        }
        let report = match verdict {
            Verdict::Ok | Verdict::Error => self.load_report(replica),
            _ => Vec::new(),
        };
        let (ended, cached_tokens, attempt) = (has_ended, cached_tokens, id.attempt);
        let id = RequestId(id.request);
        self.notify_policy(
            gateway,
            Event::Outcome { id, attempt, verdict, ended, elapsed, cached_tokens, report },
        );
        self.clean_up_request(id.0);
    }

    /// Ends the stream to a client. After a complete response the connection becomes idle and can be reused.
    fn end_stream(&mut self, client: usize, link: Link, end: &AttemptEnd) {
        if end.verdict != Verdict::Ok {
            return self.finish_client(client, RequestOutcome::Broken, None);
        }
        let expiry = self.now() + nanos(self.experiment.network.idle_timeout);
        self.idle_connections.entry(link).or_default().push(expiry);
        let (arrived, prompt_tokens) =
            (self.client_requests[client].arrived, self.client_requests[client].prompt_tokens);
        self.recorder.add_cached_tokens(arrived, end.cached_tokens.unwrap_or(0), prompt_tokens);
        self.finish_served(client);
    }

    /// Removes a closed request without attempts in flight from its gateway, and from the fleet once no cancellation is
    /// pending.
    pub(super) fn clean_up_request(&mut self, number: u64) {
        let Some(request) = &self.gateway_requests[number as usize] else { return };
        let has_attempts = request.attempts.iter().any(|attempt| attempt.stage != AttemptStage::Ended);
        if request.is_closed && !has_attempts {
            let open_requests = &mut self.gateways[request.process.gateway].open_requests;
            open_requests.retain(|open| *open != number);
            if request.pending_cancellations == 0 {
                self.gateway_requests[number as usize] = None;
            }
        }
    }
}

/// The result of connecting to a replica.
enum Connection {
    /// The request can be sent after `delay`, 0 on an idle connection.
    Established { delay: Nanos },
    /// The gateway detects the failure after `delay`.
    Failed { delay: Nanos },
}
