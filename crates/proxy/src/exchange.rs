//! Handles a request that has been read completely, up to its final response.
//!
//! [`handle_request`] admits a request according to the newest configuration and places it. `Exchange::run` then
//! executes the load balancer's actions one at a time:
//!
//! 1. `attempts` sends the request to the replica that the action specifies, if a further attempt is still allowed;
//! 2. `interruption` ends an attempt when the client disconnects, the deadline passes, the load balancer cancels it, or
//!    the replica's weights expire;
//! 3. the retry table ([`crate::replica::retry`]) determines the action after a failed attempt;
//! 4. `final_response` forwards a successful response as it arrives, or writes an error. A stream that breaks off may
//!    be resumed by a further attempt.
//!
//! `upstream_head` encodes the head of the request to a replica.

mod attempts;
mod final_response;
mod interruption;
mod upstream_head;

use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use futures_lite::future;

use crate::admission::AdmittedRequest;
use crate::downstream::client::{Client, Completion, write_local_response};
use crate::downstream::relay::Relay;
use crate::downstream::request::DownstreamRequest;
use crate::headers::LocalResponse;
use crate::placement::placed_request::PlacedRequest;
use crate::placement::prompt::PromptHeaders;
use crate::placement::{self, PlacementRequest, RequestAction};
use crate::proxy::Proxy;
use crate::replica::outcome::Execution;
use crate::replica::request_kind::RequestKind;
use crate::replica::response::{ErrorResponse, UpstreamResponse};
use crate::replica::retry::{self, FinalStatus};

/// `Retry-After` of a request that can't be admitted or placed, or that fails.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_millis(500);
/// `Retry-After` of a request that the newest configuration handles differently, that another proxy can serve, or whose
/// attempt was ended early.
const RETRY_AFTER_SHORT: Duration = Duration::from_millis(50);
/// The time after which a request without an available replica is abandoned is the latency target of its route divided
/// by this.
const PLACEMENT_TIMEOUT_DIVISOR: u32 = 5;
/// A response that has begun is aborted this long after the deadline of its request. Replicas end it before that.
const DEADLINE_GRACE: Duration = Duration::from_secs(1);

/// Admits a request and places it, or rejects it, and writes its final response.
pub async fn handle_request(
    proxy: &Rc<Proxy>,
    client: Client<'_>,
    request: &DownstreamRequest,
) -> Completion {
    proxy.counters.requests.increment();
    let Some(routing) = proxy.routing_for(&request.head) else {
        proxy.counters.refused.increment();
        return write_local_response(proxy, client, request, LocalResponse::refusal(RETRY_AFTER_DEFAULT))
            .await;
    };
    let admitted = match routing.admit(&request.head, proxy.random_fraction()) {
        Ok(admitted) => admitted,
        Err(denial) => {
            proxy.counters.denied.increment();
            return write_local_response(proxy, client, request, LocalResponse::plain(denial.status()))
                .await;
        }
    };
    drop(routing);
    let deadline = deadline(request, &admitted);
    if !proxy.accepts_request(deadline.saturating_duration_since(Instant::now())) {
        proxy.counters.refused.increment();
        return write_local_response(proxy, client, request, LocalResponse::refusal(RETRY_AFTER_SHORT))
            .await;
    }
    match Exchange::place(proxy, request, admitted, deadline) {
        Some(exchange) => exchange.run(client).await,
        None => {
            proxy.counters.refused.increment();
            write_local_response(proxy, client, request, LocalResponse::refusal(RETRY_AFTER_DEFAULT)).await
        }
    }
}

/// The deadline of a request: the earlier of the deadlines that the client and the route set.
fn deadline(request: &DownstreamRequest, admitted: &AdmittedRequest) -> Instant {
    let limit = Duration::from_millis(admitted.route().time_limit_ms);
    request.started + request.time_left().map_or(limit, |left| left.min(limit))
}

/// What ends a wait for the load balancer's next action.
enum WaitEvent {
    Action(RequestAction),
    ClientDisconnected,
    /// No replica was available within the placement timeout.
    NoReplicaAvailable,
}

/// How the handling of a request continues.
enum Step {
    /// Wait for the load balancer's next action.
    Continue,
    /// End the request with this response.
    Respond(FinalResponse),
    /// Forward the response of a replica, which has begun.
    Forward(Box<UpstreamResponse>),
}

/// The final response of a request, unless a successful response was forwarded.
enum FinalResponse {
    /// A response that the proxy itself generates.
    Local(LocalResponse),
    /// An error response of a replica.
    Upstream(Box<ErrorResponse>),
    /// None, since the client has disconnected.
    ClientDisconnected,
}

/// A placed request and the state of its attempts.
struct Exchange<'a> {
    proxy: &'a Rc<Proxy>,
    request: &'a DownstreamRequest,
    admitted: AdmittedRequest,
    prompt: PromptHeaders,
    placed: PlacedRequest,
    deadline: Instant,
    /// The number of times that the request was sent to a replica.
    sends: u32,
    /// Whether the request has run, as far as the attempts so far show.
    execution: Execution,
    /// The last error response of a replica, which is forwarded to the client if no retry succeeds.
    last_error: Option<Box<ErrorResponse>>,
    /// The relay of a partly forwarded response that another replica is to resume.
    relay: Option<Relay>,
}

impl<'a> Exchange<'a> {
    fn place(
        proxy: &'a Rc<Proxy>,
        request: &'a DownstreamRequest,
        admitted: AdmittedRequest,
        deadline: Instant,
    ) -> Option<Exchange<'a>> {
        let prompt = PromptHeaders::read(&request.head);
        let placement_request = PlacementRequest {
            class: proxy.placement.borrow().class(&admitted.route().label)?,
            expires_in: deadline.saturating_duration_since(Instant::now()),
            prompt: prompt.prompt,
        };
        let placed =
            PlacedRequest::place(&proxy.placement, admitted.service(), deadline, placement_request)?;
        Some(Exchange {
            proxy,
            request,
            admitted,
            prompt,
            placed,
            deadline,
            sends: 0,
            execution: Execution::NotRun,
            last_error: None,
            relay: None,
        })
    }

    async fn run(mut self, mut client: Client<'_>) -> Completion {
        loop {
            let step = match self.next_event(&mut client).await {
                WaitEvent::ClientDisconnected => Step::Respond(FinalResponse::ClientDisconnected),
                WaitEvent::NoReplicaAvailable => {
                    Step::Respond(self.abandoned_response(RETRY_AFTER_DEFAULT))
                }
                WaitEvent::Action(action) => self.execute(&mut client, action).await,
            };
            let completion = match step {
                Step::Continue => None,
                Step::Respond(response) => return self.respond(client, response).await,
                Step::Forward(response) => self.forward(&mut client, response).await,
            };
            if let Some(completion) = completion {
                return completion;
            }
        }
    }

    /// Waits for the next action while no attempt is in flight, up to the placement timeout.
    async fn next_event(&self, client: &mut Client<'_>) -> WaitEvent {
        let timeout = placement::latency_target(self.admitted.route()) / PLACEMENT_TIMEOUT_DIVISOR;
        let wait_started = if self.sends == 0 { self.request.started } else { Instant::now() };
        let mut placement_timeout = self.proxy.timers.sleep_until(wait_started + timeout);
        future::poll_fn(|context| {
            if let Poll::Ready(action) = self.placed.poll_action(context) {
                return Poll::Ready(WaitEvent::Action(action));
            }
            if client.poll_disconnected(context).is_ready() {
                return Poll::Ready(WaitEvent::ClientDisconnected);
            }
            placement_timeout.poll_passed(context).map(|()| WaitEvent::NoReplicaAvailable)
        })
        .await
    }

    async fn execute(&mut self, client: &mut Client<'_>, action: RequestAction) -> Step {
        match action {
            RequestAction::Send { attempt, replica } => self.attempt(client, attempt, &replica).await,
            // No attempt is in flight that could be cancelled.
            RequestAction::Cancel(_) => Step::Continue,
            RequestAction::Refuse(retry_after) => Step::Respond(self.abandoned_response(retry_after)),
            RequestAction::Fail => Step::Respond(self.failed_response(RETRY_AFTER_DEFAULT)),
        }
    }

    /// Whether the request is idempotent, and whether its response can be resumed.
    fn kind(&self) -> RequestKind {
        RequestKind::of(self.admitted.route())
    }

    /// The final response of a request that is abandoned: no replica was available, or the load balancer refused it.
    fn abandoned_response(&self, retry_after: Duration) -> FinalResponse {
        FinalResponse::Local(self.local_response(true, retry_after))
    }

    /// The final response of a request that has failed or is no longer admitted.
    fn failed_response(&self, retry_after: Duration) -> FinalResponse {
        FinalResponse::Local(self.local_response(false, retry_after))
    }

    fn local_response(&self, is_abandoned: bool, retry_after: Duration) -> LocalResponse {
        let is_late = Instant::now() >= self.deadline;
        match retry::final_status(self.kind(), self.execution, is_late, is_abandoned) {
            FinalStatus::ServiceUnavailable => LocalResponse::refusal(retry_after),
            FinalStatus::BadGateway => LocalResponse::plain(502),
            FinalStatus::GatewayTimeout => LocalResponse::plain(504),
        }
    }
}
