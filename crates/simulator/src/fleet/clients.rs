//! Sessions, clients and their attempts, and the front layer that distributes these over the gateways.

use rand::RngExt;
use rand_distr::{Distribution, Exp, Zipf};
use rand_pcg::Pcg64Mcg;
use tulipridge::types::{ClassIndex, Event, Nanos, Request, RequestId, TenantIndex};

use super::events::FleetEvent;
use super::requests::{ClientRequest, GatewayRequest, Session};
use super::state::{Fleet, GatewayState};
use crate::experiment::{Class, Experiment};
use crate::random::{random_stream, weighted_index};
use crate::record::RequestOutcome;
use crate::replica::PrefixId;
use crate::time::{MILLISECOND, SECOND, nanos};

/// A client abandons an attempt this long after its timeout, so that a response that is just in time still counts.
const TIMEOUT_SLACK: Nanos = 8 * MILLISECOND;
/// Minimum delay of a client's retry.
const MIN_BACKOFF: Nanos = MILLISECOND;
/// Number of the random stream of the first class's prefix lengths; other classes follow in order.
const PREFIX_LENGTH_STREAM: u64 = 100;

/// Returns the class with this index in the experiment.
fn class(experiment: &Experiment, index: usize) -> Option<&Class> {
    experiment.classes.values().nth(index)
}

fn random_tokens(random: &mut Pcg64Mcg, [min, max]: [u32; 2]) -> u32 {
    random.random_range(min..=max)
}

impl Fleet<'_> {
    /// Begins a session and schedules the next arrival. Arrivals are a Poisson process at the maximum rate, which is
    /// thinned to the current rate.
    pub(super) fn begin_session(&mut self) {
        let experiment = self.experiment;
        let turns: f64 =
            experiment.classes.values().map(|class| class.session_fraction * class.mean_turns).sum();
        let max_factor = experiment.max_load_factor();
        let rate = experiment.load.requests_per_s / turns * max_factor;
        let arrivals = &mut self.random.arrivals;
        let delay = Exp::new(rate).map_or(1.0, |distribution| distribution.sample(arrivals));
        self.schedule((delay * SECOND as f64) as Nanos, FleetEvent::SessionArrival);
        let factor = experiment.load_factor_at(self.now());
        if self.random.arrivals.random::<f64>() * max_factor > factor {
            return;
        }
        if let Some(session) = self.draw_session() {
            self.begin_turn(session);
        }
    }

    fn draw_session(&mut self) -> Option<Session> {
        let experiment = self.experiment;
        let arrivals = &mut self.random.arrivals;
        let index =
            weighted_index(arrivals, experiment.classes.values().map(|class| class.session_fraction));
        let class = class(experiment, index)?;
        let tenants = experiment.tenants.values().map(|tenant| tenant.traffic_fraction);
        let tenant = (!experiment.tenants.is_empty()).then(|| weighted_index(arrivals, tenants));
        let rank = Zipf::new(f64::from(class.prefix_count), class.zipf_exponent)
            .map_or(1.0, |distribution| distribution.sample(arrivals)) as u32;
        self.session_count += 1;
        let zone = arrivals.random_range(0..experiment.gateways.zones);
        // The length of a prefix is the same for all sessions.
        let mut lengths =
            random_stream(experiment.seed ^ u64::from(rank) << 8, PREFIX_LENGTH_STREAM + index as u64);
        let prefix_tokens = random_tokens(&mut lengths, class.prefix_tokens);
        Some(Session {
            tenant,
            zone,
            number: self.session_count,
            prefix: PrefixId { class: index, rank },
            prefix_tokens,
            context_tokens: prefix_tokens,
        })
    }

    /// Sends the next request of a session, and either schedules the following turn or ends the session.
    pub(super) fn begin_turn(&mut self, mut session: Session) {
        let Some(class) = class(self.experiment, session.prefix.class) else { return };
        let arrivals = &mut self.random.arrivals;
        let prompt_tokens = session.context_tokens + random_tokens(arrivals, class.turn_tokens);
        let response_tokens = random_tokens(arrivals, class.response_tokens);
        let now = self.queue.now();
        let client = self.client_requests.len();
        self.client_requests.push(ClientRequest {
            tenant: session.tenant,
            zone: session.zone,
            session: session.number,
            prefix: session.prefix,
            prefix_tokens: session.prefix_tokens,
            prompt_tokens,
            response_tokens,
            arrived: now,
            deadline: now + nanos(class.deadline),
            attempts: 0,
            first_token: None,
            is_finished: false,
        });
        session.context_tokens = prompt_tokens + response_tokens;
        let end_probability = 1.0 / class.mean_turns;
        if arrivals.random::<f64>() >= end_probability {
            let think_times = Exp::new(1.0).map_or(1.0, |distribution| distribution.sample(arrivals));
            let delay = (think_times * nanos(self.experiment.load.think_time) as f64) as Nanos;
            self.schedule(delay, FleetEvent::SessionTurn(Box::new(session)));
        }
        self.recorder.add_request(now);
        self.send_client_attempt(client);
    }

    /// Sends a client's request to a gateway, as its first attempt or as a retry.
    pub(super) fn send_client_attempt(&mut self, index: usize) {
        let now = self.now();
        let client = &mut self.client_requests[index];
        if client.is_finished {
            return;
        }
        client.attempts += 1;
        let (zone, time_remaining) = (client.zone, client.deadline.saturating_sub(now));
        self.recorder.add_client_attempt(client.arrived);
        let Some(class) = class(self.experiment, client.prefix.class) else { return };
        let fraction = self.experiment.clients.attempt_deadline_fraction;
        let timeout = (nanos(class.deadline) as f64 * fraction) as Nanos;
        let expires_in = timeout.min(time_remaining);
        let gateway = self.select_gateway(zone);
        // The front layer may not have detected yet that the gateway has stopped.
        let Some(gateway) = gateway.filter(|gateway| self.gateways[*gateway].policy.is_some()) else {
            return self.retry_client(index, RequestOutcome::Failed, 0);
        };
        let request = self.open_request(index, gateway);
        self.schedule(expires_in + TIMEOUT_SLACK, FleetEvent::ClientTimeout(request));
        let event = Event::Request(self.policy_request(index, request, expires_in));
        self.notify_policy(gateway, event);
    }

    /// Registers a client's attempt at a gateway, and returns the number of the request.
    fn open_request(&mut self, client: usize, gateway: usize) -> u64 {
        let number = self.gateway_requests.len() as u64;
        let process = self.gateway_process(gateway);
        self.gateway_requests.push(Some(GatewayRequest {
            client,
            process,
            attempts: Vec::new(),
            streaming: None,
            is_closed: false,
            pending_cancellations: 0,
        }));
        self.gateways[gateway].open_requests.push(number);
        number
    }

    /// Converts a client's request to the policy's form.
    fn policy_request(&self, client: usize, number: u64, expires_in: Nanos) -> Request {
        let client = &self.client_requests[client];
        let prefix = client.prefix;
        Request {
            id: RequestId(number),
            expires_in,
            class: ClassIndex(prefix.class),
            tenant: client.tenant.map(TenantIndex),
            prefix: Some((prefix.class as u64 + 1) << 32 | u64::from(prefix.rank)),
            session: Some(client.session),
            prompt_tokens: client.prompt_tokens,
            prefix_tokens: client.prefix_tokens,
            max_output_tokens: client.response_tokens,
            is_retry: client.attempts > 1,
        }
    }

    /// Draws a gateway in the rotation of the front layer by weight, from the client's zone unless that has none.
    fn select_gateway(&mut self, zone: u16) -> Option<usize> {
        let is_local = |gateway: &GatewayState| gateway.is_in_rotation && gateway.zone == zone;
        let has_local = self.gateways.iter().any(is_local);
        let is_candidate =
            |gateway: &GatewayState| gateway.is_in_rotation && (!has_local || gateway.zone == zone);
        let candidates: Vec<usize> =
            (0..self.gateways.len()).filter(|index| is_candidate(&self.gateways[*index])).collect();
        let weights = candidates.iter().map(|index| self.gateways[*index].weight);
        let selected = weighted_index(&mut self.random.front_layer, weights);
        candidates.get(selected).copied()
    }

    /// Schedules a client's retry after a failed attempt, or finishes its request with `outcome`. `retry_after` is the
    /// `Retry-After` of the gateway in nanoseconds, 0 if none.
    pub(super) fn retry_client(&mut self, index: usize, outcome: RequestOutcome, retry_after: Nanos) {
        let settings = &self.experiment.clients;
        let is_compliant = self.random.front_layer.random::<f64>() < settings.retry_after_compliance;
        let now = self.now();
        let client = &self.client_requests[index];
        if client.is_finished {
            return;
        }
        let delay = if is_compliant && retry_after > 0 { retry_after } else { nanos(settings.backoff) };
        if client.attempts > settings.max_retries || now + delay >= client.deadline {
            return self.finish_client(index, outcome, None);
        }
        self.schedule(delay.max(MIN_BACKOFF), FleetEvent::ClientAttempt(index));
    }

    /// Closes a client's attempt that has no first token at its timeout, and retries it if possible.
    pub(super) fn time_out_client_attempt(&mut self, number: u64) {
        let Some(request) = self.gateway_requests[number as usize].as_mut() else { return };
        if request.is_closed || request.streaming.is_some() {
            return;
        }
        request.is_closed = true;
        let (client, process) = (request.client, request.process);
        self.notify_process(process, Event::ClientDisconnected(RequestId(number)));
        self.retry_client(client, RequestOutcome::Failed, 0);
        self.clean_up_request(number);
    }

    /// Finishes a client's request that was served: in time if the first token met the latency target, else late.
    pub(super) fn finish_served(&mut self, index: usize) {
        let client = &self.client_requests[index];
        let Some(class) = class(self.experiment, client.prefix.class) else { return };
        let per_token = nanos(class.latency_target_per_1000_tokens) / 1000;
        let target = nanos(class.latency_target) + per_token * Nanos::from(client.prompt_tokens);
        let latency = client.first_token.map(|at| at - client.arrived);
        let is_in_time = latency.is_some_and(|latency| latency <= target);
        let outcome = if is_in_time { RequestOutcome::InTime } else { RequestOutcome::Late };
        self.finish_client(index, outcome, latency);
    }

    /// Finishes a client's request and records its outcome. No effect on a finished request.
    pub(super) fn finish_client(
        &mut self,
        index: usize,
        outcome: RequestOutcome,
        first_token: Option<Nanos>,
    ) {
        let client = &mut self.client_requests[index];
        if !std::mem::replace(&mut client.is_finished, true) {
            self.recorder.add_outcome(client.arrived, client.prefix.class, outcome, first_token);
        }
    }
}
