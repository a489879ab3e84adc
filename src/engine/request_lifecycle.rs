//! The lifecycle of a request, from its admission to its one final response.

use std::task::Poll;

use futures_lite::{Stream, StreamExt, future};

use super::core::{AdmittedRequest, Engine};
use super::forwarding::{Attempt, Forwarding, Next, ReplicaSide, forward_arrival};
use super::interface::{FailureReason, PlacementRequest, RequestAction};
use super::participants::{
    AttemptRunner, BegunStream, Client, Rejection, ResponseSink, Step, StreamSuccessor,
};
use crate::stream::{Arrival, Leaving, Relay};
use crate::types::Verdict;

/// The ends of a request's attempts so far.
#[derive(Default)]
struct AttemptHistory {
    ended: bool,
    silent: bool,
    errors: bool,
}

impl AttemptHistory {
    fn record(&mut self, verdict: Verdict) {
        self.ended = true;
        match verdict {
            Verdict::Full | Verdict::NoConnection | Verdict::NotSent => {}
            Verdict::TimedOut | Verdict::Cancelled => self.silent = true,
            _ => self.errors = true,
        }
    }

    fn reason(&self, out: usize) -> FailureReason {
        match self {
            _ if out > 0 => FailureReason::NoAnswer,
            AttemptHistory { silent: true, .. } | AttemptHistory { ended: false, .. } => {
                FailureReason::NoAnswer
            }
            AttemptHistory { errors: true, .. } => FailureReason::Errors,
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
    successor: &impl StreamSuccessor<S::Steps, C::Sink>,
) {
    // A second request under the id of an open one is rejected: neither replicas nor the load balancer could tell them
    // apart.
    let Some(mut admitted) = engine.admit(request) else {
        let message = "a request with this id is open".to_owned();
        return client.reject(Rejection { status: 409, message }).await;
    };
    let mut out: Vec<Attempt<S::Steps>> = Vec::new();
    let mut history = AttemptHistory::default();

    // Until the first event: actions of the load balancer, ends of attempts, the client's leaving.
    let (number, events, arrival) = loop {
        match next_step(&mut client, &mut admitted, &mut out).await {
            Next::Action(RequestAction::StartAttempt { number, replica, timeout, write_within }) => {
                // The client may have closed with the request, or since the last poll.
                if client.has_left().await {
                    drop((out, admitted));
                    return client.left().await;
                }
                out.push(Attempt {
                    number,
                    replica: replica.clone(),
                    steps: runner.start_attempt(replica, timeout, write_within),
                });
            }
            Next::Action(RequestAction::CancelAttempt(number)) => {
                out.retain(|s| s.number != number);
                history.record(Verdict::Cancelled);
                admitted.record_outcome(number, Verdict::Cancelled.into(), false);
            }
            Next::Action(RequestAction::Shed(wait)) => {
                // Connections close before the response is written, which may take a slow client long.
                drop((out, admitted));
                return client.shed(wait).await;
            }
            Next::Action(RequestAction::Fail) => {
                let reason = history.reason(out.len());
                drop((out, admitted));
                return client.fail(reason).await;
            }
            Next::Step(_, Step::Rejected(rejection)) => {
                drop((out, admitted));
                return client.reject(rejection).await;
            }
            Next::Step(number, Step::Ended(outcome)) => {
                out.retain(|s| s.number != number);
                history.record(outcome.verdict);
                admitted.record_outcome(number, outcome, false);
            }
            Next::Step(number, Step::Events(events, arrival)) => break (number, events, arrival),
            // Timers and taken bytes concern begun streams only.
            Next::Step(_, Step::Bytes(_)) | Next::Took(_) | Next::Due => {}
            Next::Gone(_) => {
                drop((out, admitted));
                return client.left().await;
            }
        }
    };

    let replica_side = ReplicaSide { admitted: Some(admitted), out, number };
    begin(engine, request, client, replica_side, Begun { events, arrival }, successor).await;
}

/// The first events of a request's stream.
struct Begun<E> {
    events: E,
    arrival: Arrival,
}

/// Begins the response. From here on the request belongs to this attempt. The load balancer may cancel others; those that
/// run on are observed to their end, but none of their data reaches the client.
async fn begin<E, S, C: Client<E>>(
    engine: &Engine,
    request: &PlacementRequest,
    client: C,
    mut replica_side: ReplicaSide<S>,
    Begun { events, arrival }: Begun<E>,
    successor: &impl StreamSuccessor<S, C::Sink>,
) where
    S: Stream<Item = Step<E>> + Unpin,
{
    let first = replica_side.first_event();
    let Some(replica) = replica_side.replica() else { return client.fail(FailureReason::Errors).await };
    let mut relay = Relay::new(engine.now(), first, &engine.limits);
    let mut answer = client.begin();
    if answer.is_assembled() {
        relay.set_assembled();
    }
    forward_arrival(engine, &mut relay, &mut answer, arrival, events);
    let id = replica_side.admitted.as_ref().map_or(0, |admitted| admitted.id.0);
    let begun = BegunStream { id, class: request.class, tenant: request.tenant, replica, first };
    Forwarding::new(engine, &begun, replica_side, relay, answer).run(successor).await;
}

/// The next event of a request whose response has not begun.
async fn next_step<E, S: Stream<Item = Step<E>> + Unpin>(
    client: &mut impl Client<E>,
    admitted: &mut AdmittedRequest,
    out: &mut [Attempt<S>],
) -> Next<E> {
    // The client's leaving is polled first, so that no attempt is started for a client that has left, perhaps long ago if
    // this thread was not scheduled.
    future::or(
        async {
            client.gone().await;
            Next::Gone(Leaving::Ended)
        },
        future::or(async { Next::Action(admitted.next_action().await) }, async {
            let (number, step) = any(out).await;
            Next::Step(number, step)
        }),
    )
    .await
}

/// Continues a stream that another process began, with `waiting` bytes buffered for the client. The load balancer of this
/// process does not know it.
pub async fn carry_on<E, S, A>(
    engine: &Engine,
    begun: &BegunStream,
    (steps, answer, waiting): (S, A, usize),
    successor: &impl StreamSuccessor<S, A>,
) where
    S: Stream<Item = Step<E>> + Unpin,
    A: ResponseSink<E>,
{
    let mut relay = Relay::new(engine.now(), begun.first, &engine.limits);
    relay.queued(engine.now(), waiting);
    let out = vec![Attempt { number: 0, replica: begun.replica.clone(), steps }];
    let replica_side = ReplicaSide { admitted: None, out, number: 0 };
    Forwarding::new(engine, begun, replica_side, relay, answer).run(successor).await;
}

/// The next step of whichever attempt has one.
async fn any<E, S: Stream<Item = Step<E>> + Unpin>(out: &mut [Attempt<S>]) -> (u32, Step<E>) {
    future::poll_fn(|cx| {
        for attempt in out.iter_mut() {
            if let Poll::Ready(Some(step)) = attempt.steps.poll_next(cx) {
                return Poll::Ready((attempt.number, step));
            }
        }
        Poll::Pending
    })
    .await
}
