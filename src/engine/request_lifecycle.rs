//! The lifecycle of a request, from its admission to its one final response.

use std::task::Poll;

use futures_lite::{Stream, StreamExt, future};

use super::core::{AdmittedRequest, Engine};
use super::forwarding::{Attempt, Forwarding, ReplicaSide, RequestEvent, forward_arrival};
use super::interface::{FailureReason, PlacementRequest, RequestAction};
use super::participants::{
    AttemptRunner, AttemptUpdate, Client, Rejection, ResponseSink, StreamInfo, StreamSuccessor,
};
use crate::stream::{Arrival, Disconnect, Relay};
use crate::types::Verdict;

/// Summary of the ended attempts of a request.
#[derive(Default)]
struct AttemptHistory {
    any_ended: bool,
    any_timed_out: bool,
    any_error: bool,
}

impl AttemptHistory {
    fn record(&mut self, verdict: Verdict) {
        self.any_ended = true;
        match verdict {
            Verdict::Full | Verdict::NoConnection | Verdict::NotSent => {}
            Verdict::TimedOut | Verdict::Cancelled => self.any_timed_out = true,
            _ => self.any_error = true,
        }
    }

    fn reason(&self, in_flight: usize) -> FailureReason {
        match self {
            _ if in_flight > 0 => FailureReason::NoResponse,
            AttemptHistory { any_timed_out: true, .. } | AttemptHistory { any_ended: false, .. } => {
                FailureReason::NoResponse
            }
            AttemptHistory { any_error: true, .. } => FailureReason::Errors,
            _ => FailureReason::Refused,
        }
    }
}

/// Serves one request: carries out the load balancer's actions, and gives exactly one final response.
pub async fn serve<E, S: AttemptRunner<E>, C: Client<E>>(
    engine: &Engine,
    request: &PlacementRequest,
    runner: &S,
    mut client: C,
    successor: &impl StreamSuccessor<S::Updates, C::Sink>,
) {
    // A second request with the id of an open one is rejected: replicas and the load balancer could not tell them
    // apart.
    let Some(mut admitted) = engine.admit(request) else {
        let message = "a request with this id is open".to_owned();
        return client.reject(Rejection { status: 409, message }).await;
    };
    let mut attempts: Vec<Attempt<S::Updates>> = Vec::new();
    let mut history = AttemptHistory::default();

    // Until the first event, handles the load balancer's actions, ends of attempts and the client's disconnect.
    let (number, events, arrival) = loop {
        match next_event(&mut client, &mut admitted, &mut attempts).await {
            RequestEvent::Action(RequestAction::StartAttempt {
                number,
                replica,
                timeout,
                write_within,
            }) => {
                // The client may have closed its connection together with the request, or since the last poll.
                if client.is_disconnected().await {
                    drop((attempts, admitted));
                    return client.abandon().await;
                }
                let updates = runner.start_attempt(replica.clone(), timeout, write_within);
                attempts.push(Attempt { number, replica, updates });
            }
            RequestEvent::Action(RequestAction::CancelAttempt(number)) => {
                attempts.retain(|attempt| attempt.number != number);
                history.record(Verdict::Cancelled);
                admitted.record_outcome(number, Verdict::Cancelled.into(), false);
            }
            RequestEvent::Action(RequestAction::Shed(wait)) => {
                // Closes the replicas' connections first, since a slow client may take long to read the response.
                drop((attempts, admitted));
                return client.shed(wait).await;
            }
            RequestEvent::Action(RequestAction::Fail) => {
                let reason = history.reason(attempts.len());
                drop((attempts, admitted));
                return client.fail(reason).await;
            }
            RequestEvent::Update(_, AttemptUpdate::Rejected(rejection)) => {
                drop((attempts, admitted));
                return client.reject(rejection).await;
            }
            RequestEvent::Update(number, AttemptUpdate::Ended(outcome)) => {
                attempts.retain(|attempt| attempt.number != number);
                history.record(outcome.verdict);
                admitted.record_outcome(number, outcome, false);
            }
            RequestEvent::Update(number, AttemptUpdate::Events(events, arrival)) => {
                break (number, events, arrival);
            }
            // Timers and taken bytes concern only started streams.
            RequestEvent::Update(_, AttemptUpdate::Bytes(_))
            | RequestEvent::BytesTaken(_)
            | RequestEvent::TimerDue => {}
            RequestEvent::ClientDisconnected(_) => {
                drop((attempts, admitted));
                return client.abandon().await;
            }
        }
    };

    let replica_side = ReplicaSide { admitted: Some(admitted), attempts, number };
    begin_response(engine, request, client, replica_side, FirstEvents { events, arrival }, successor).await;
}

/// The first events of a request's stream.
struct FirstEvents<E> {
    events: E,
    arrival: Arrival,
}

/// Starts the response. From then on only this attempt is forwarded. The load balancer may cancel others; those that
/// continue are recorded until they end, but their data is dropped.
async fn begin_response<E, S, C: Client<E>>(
    engine: &Engine,
    request: &PlacementRequest,
    client: C,
    mut replica_side: ReplicaSide<S>,
    FirstEvents { events, arrival }: FirstEvents<E>,
    successor: &impl StreamSuccessor<S, C::Sink>,
) where
    S: Stream<Item = AttemptUpdate<E>> + Unpin,
{
    let time_to_first_event = replica_side.record_first_event();
    let Some(replica) = replica_side.replica() else { return client.fail(FailureReason::Errors).await };
    let mut relay = Relay::new(engine.now(), time_to_first_event, &engine.limits);
    let mut sink = client.begin_response();
    if sink.is_assembled() {
        relay.set_assembled();
    }
    forward_arrival(engine, &mut relay, &mut sink, arrival, events);
    let id = replica_side.admitted.as_ref().map_or(0, |admitted| admitted.id.0);
    let info =
        StreamInfo { id, class: request.class, tenant: request.tenant, replica, time_to_first_event };
    Forwarding::new(engine, &info, replica_side, relay, sink).run(successor).await;
}

/// Waits for the next event of a request whose response has not started.
async fn next_event<E, S: Stream<Item = AttemptUpdate<E>> + Unpin>(
    client: &mut impl Client<E>,
    admitted: &mut AdmittedRequest,
    attempts: &mut [Attempt<S>],
) -> RequestEvent<E> {
    // Polls the client's disconnect first, so that no attempt is started for a client that has left, which may have
    // been long ago if this thread was not scheduled.
    future::or(
        async {
            client.wait_for_disconnect().await;
            RequestEvent::ClientDisconnected(Disconnect::Closed)
        },
        future::or(async { RequestEvent::Action(admitted.next_action().await) }, async {
            let (number, update) = next_update(attempts).await;
            RequestEvent::Update(number, update)
        }),
    )
    .await
}

/// Continues a stream that another process started, with `queued_bytes` buffered for the client. The load balancer of
/// this process does not know the stream.
pub async fn resume_stream<E, S, R>(
    engine: &Engine,
    info: &StreamInfo,
    (updates, sink, queued_bytes): (S, R, usize),
    successor: &impl StreamSuccessor<S, R>,
) where
    S: Stream<Item = AttemptUpdate<E>> + Unpin,
    R: ResponseSink<E>,
{
    let mut relay = Relay::new(engine.now(), info.time_to_first_event, &engine.limits);
    relay.record_queued(engine.now(), queued_bytes);
    let attempts = vec![Attempt { number: 0, replica: info.replica.clone(), updates }];
    let replica_side = ReplicaSide { admitted: None, attempts, number: 0 };
    Forwarding::new(engine, info, replica_side, relay, sink).run(successor).await;
}

/// Waits for the next update of any attempt.
async fn next_update<E, S: Stream<Item = AttemptUpdate<E>> + Unpin>(
    attempts: &mut [Attempt<S>],
) -> (u32, AttemptUpdate<E>) {
    future::poll_fn(|cx| {
        for attempt in attempts.iter_mut() {
            if let Poll::Ready(Some(update)) = attempt.updates.poll_next(cx) {
                return Poll::Ready((attempt.number, update));
            }
        }
        Poll::Pending
    })
    .await
}
