//! The life of one request, from its admission to its one final answer.

use std::future::Future;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_lite::{Stream, StreamExt, future};

use super::forwarding::{Forwarding, Next, Scheduling, ServerSide};
use super::{AdmittedRequest, Ask, Ending, Engine, Order};
use crate::stream::{Cause, Leaving, Relay};
use crate::types::{Nanos, ReplicaId, Verdict};

/// What came of a scheduling's stream since its last step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Arrival {
    /// Bytes.
    pub bytes: usize,
    /// Whole events.
    pub events: u64,
    /// Bytes that wait for the rest of something.
    pub inward: usize,
    /// A part of something is there.
    pub amid: bool,
    /// The last event of all has come.
    pub last: bool,
}

/// What a scheduling yields: events, then one ending.
#[derive(Debug)]
pub enum Step<E> {
    /// Events of the answer's stream, all that came together.
    Events(E, Arrival),
    /// Bytes that make no whole event yet.
    Bytes(Arrival),
    /// The request itself is held for wrong, with this status and these words: no real server would take it.
    Rejected(u16, String),
    /// The end.
    Ended(Ending),
}

/// Those who run schedulings. Dropping a scheduling closes its connection.
pub trait Servers<E> {
    /// A scheduling that runs.
    type Steps: Stream<Item = Step<E>> + Unpin;
    /// Starts a scheduling.
    fn schedule(&self, server: ReplicaId, timeout: Duration, write_within: Duration) -> Self::Steps;
}

/// A begun stream, as another process has to know it beside its two sides.
#[derive(Clone, Debug)]
pub struct BegunStream {
    /// Its request's id.
    pub id: u64,
    /// Its request's class.
    pub class: usize,
    /// Its request's tenant.
    pub tenant: Option<usize>,
    /// Its real server.
    pub server: ReplicaId,
    /// How long its first event took.
    pub first: Nanos,
}

/// The process that follows this one, if there is one.
pub trait StreamSuccessor<S, A> {
    /// Hands a begun stream over, with both its sides; whether it is taken. If it is, nothing more may be done to
    /// either side but to drop it.
    fn take(&self, begun: &BegunStream, steps: &mut S, answer: &mut A) -> bool;
}

/// The client's side of a request. Each way to answer takes the client itself, so there is just one.
pub trait Client<E>: Sized {
    /// What a begun answer is written to.
    type Answer: Answer<E>;
    /// Returns once the client has left.
    fn gone(&mut self) -> impl Future<Output = ()>;
    /// Whether it has left by now, though nobody may have told of it yet.
    fn has_left(&mut self) -> impl Future<Output = bool>;
    /// It has left, or sent so much that it counts as one that has: the last of it.
    fn left(self) -> impl Future<Output = ()>;
    /// Final answer: turned down.
    fn turn_down(self, wait: Duration) -> impl Future<Output = ()>;
    /// Final answer: the request itself is at fault.
    fn reject(self, status: u16, what: &str) -> impl Future<Output = ()>;
    /// Final answer: failed.
    fn fail(self, reason: FailureReason) -> impl Future<Output = ()>;
    /// Begins the answer.
    fn begin(self) -> Self::Answer;
}

/// A begun answer; it is ended by `finish` or `break_off`, or by its client's leaving.
pub trait Answer<E> {
    /// Ready once the client has left.
    fn poll_gone(&mut self, cx: &mut Context<'_>) -> Poll<Leaving>;
    /// Nothing is in line before the end, as the answer is put together first.
    fn gathers(&self) -> bool;
    /// Bytes that it holds which are not in line yet.
    fn holds(&self) -> usize;
    /// It can't hold what is still to come.
    fn is_full(&self) -> bool;
    /// Puts events in line for the client; returns how many bytes that made.
    fn put(&mut self, events: E) -> usize;
    /// Puts the stream's end in line, after all events: its proper one, or what the client is told of a break.
    fn put_end(&mut self, cause: Cause) -> usize;
    /// Writes some of what is in line, and returns how much the client took; an error says that it has left.
    /// Called only while something is in line.
    fn poll_take(&mut self, cx: &mut Context<'_>) -> Poll<Result<usize, Leaving>>;
    /// All is taken: the connection may serve again.
    fn finish(self);
    /// The stream ends here: what the client takes at once of what is in line is all that it gets.
    fn break_off(self);
}

/// Why a request failed, for a client that can be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// Nobody has run it: it was turned away wherever it was tried.
    TurnedAway,
    /// It was tried, and real servers failed it.
    Errors,
    /// No answer came in time.
    Silence,
}

/// What came of a request's schedulings.
#[derive(Default)]
struct AttemptHistory {
    ended: bool,
    silent: bool,
    errors: bool,
}

impl AttemptHistory {
    fn note(&mut self, verdict: Verdict) {
        self.ended = true;
        match verdict {
            Verdict::Full | Verdict::NoConnection | Verdict::NotSent => {}
            Verdict::TimedOut | Verdict::Cancelled => self.silent = true,
            _ => self.errors = true,
        }
    }

    fn reason(&self, out: usize) -> FailureReason {
        match self {
            _ if out > 0 => FailureReason::Silence,
            AttemptHistory { silent: true, .. } | AttemptHistory { ended: false, .. } => {
                FailureReason::Silence
            }
            AttemptHistory { errors: true, .. } => FailureReason::Errors,
            _ => FailureReason::TurnedAway,
        }
    }
}

/// Serves one request: asks the module at each point of choice, and gives exactly one final answer.
pub async fn serve<E, S: Servers<E>, C: Client<E>>(
    engine: &Engine,
    ask: &Ask,
    servers: &S,
    mut client: C,
    successor: &impl StreamSuccessor<S::Steps, C::Answer>,
) {
    // Guards against a second request under the id of one that is open: neither real servers nor the module
    // could tell them apart, and the first would suffer.
    let Some(mut held) = engine.admit(ask) else {
        return client.reject(409, "a request with this id is open").await;
    };
    let mut out: Vec<Scheduling<S::Steps>> = Vec::new();
    let mut history = AttemptHistory::default();

    // Until the first event: the module orders, schedulings end, the client may leave.
    let (number, events, arrival) = loop {
        match next_step(&mut client, &mut held, &mut out).await {
            Next::Order(Order::Schedule { number, server, timeout, write_within }) => {
                // Guards against a close that came with the request, or that nobody has heard of yet.
                if client.has_left().await {
                    drop((out, held));
                    return client.left().await;
                }
                out.push(Scheduling {
                    number,
                    server: server.clone(),
                    steps: servers.schedule(server, timeout, write_within),
                });
            }
            Next::Order(Order::Cancel(number)) => {
                out.retain(|s| s.number != number);
                history.note(Verdict::Cancelled);
                held.outcome(number, Verdict::Cancelled.into(), false);
            }
            Next::Order(Order::TurnDown(wait)) => {
                // Connections close before the answer is written, which may take a slow client's time.
                drop((out, held));
                return client.turn_down(wait).await;
            }
            Next::Order(Order::Fail) => {
                let reason = history.reason(out.len());
                drop((out, held));
                return client.fail(reason).await;
            }
            Next::Step(_, Step::Rejected(status, words)) => {
                drop((out, held));
                return client.reject(status, &words).await;
            }
            Next::Step(number, Step::Ended(ending)) => {
                out.retain(|s| s.number != number);
                history.note(ending.verdict);
                held.outcome(number, ending, false);
            }
            Next::Step(number, Step::Events(events, arrival)) => break (number, events, arrival),
            // A timer and takings are for what has begun.
            Next::Step(_, Step::Bytes(_)) | Next::Took(_) | Next::Due => {}
            Next::Gone(_) => {
                drop((out, held));
                return client.left().await;
            }
        }
    };

    let server_side = ServerSide { held: Some(held), out, number };
    begin(engine, ask, client, server_side, Begun { events, arrival }, successor).await;
}

/// The first events of a request's stream.
struct Begun<E> {
    events: E,
    arrival: Arrival,
}

/// Begins the answer. From here on the request belongs to that scheduling; the module calls others off, where it may.
/// Any that go on beside it are heard to their end, but nothing of them reaches the client.
async fn begin<E, S, C: Client<E>>(
    engine: &Engine,
    ask: &Ask,
    client: C,
    mut server_side: ServerSide<S>,
    Begun { events, arrival }: Begun<E>,
    successor: &impl StreamSuccessor<S, C::Answer>,
) where
    S: Stream<Item = Step<E>> + Unpin,
{
    let first = server_side.first_event();
    let Some(server) = server_side.server() else { return client.fail(FailureReason::Errors).await };
    let mut relay = Relay::new(engine.now(), first, &engine.limits);
    let mut answer = client.begin();
    if answer.gathers() {
        relay.gathers();
    }
    arrival.put(engine, &mut relay, &mut answer, events);
    let id = server_side.held.as_ref().map_or(0, |held| held.id.0);
    let begun = BegunStream { id, class: ask.class, tenant: ask.tenant, server, first };
    Forwarding::new(engine, &begun, server_side, relay, answer).run(successor).await;
}

/// What comes next of a request whose answer has not begun.
async fn next_step<E, S: Stream<Item = Step<E>> + Unpin>(
    client: &mut impl Client<E>,
    held: &mut AdmittedRequest,
    out: &mut [Scheduling<S>],
) -> Next<E> {
    // Its leaving comes first. Guards against a request that is written to a real server, on a connection that
    // has just come up or for want of an answer elsewhere, in the moment in which its client is seen to be gone:
    // where this thread stood still, that was long ago.
    future::or(
        async {
            client.gone().await;
            Next::Gone(Leaving::Ended)
        },
        future::or(async { Next::Order(held.order().await) }, async {
            let (number, step) = any(out).await;
            Next::Step(number, step)
        }),
    )
    .await
}

/// Goes on with a stream that another process began, of which so many bytes wait for the client. The module here
/// knows nothing of it.
pub async fn carry_on<E, S, A>(
    engine: &Engine,
    begun: &BegunStream,
    (steps, answer, waiting): (S, A, usize),
    successor: &impl StreamSuccessor<S, A>,
) where
    S: Stream<Item = Step<E>> + Unpin,
    A: Answer<E>,
{
    let mut relay = Relay::new(engine.now(), begun.first, &engine.limits);
    relay.queued(engine.now(), waiting);
    let out = vec![Scheduling { number: 0, server: begun.server.clone(), steps }];
    let server_side = ServerSide { held: None, out, number: 0 };
    Forwarding::new(engine, begun, server_side, relay, answer).run(successor).await;
}

impl Arrival {
    pub(super) fn put<E>(
        mut self,
        engine: &Engine,
        relay: &mut Relay,
        answer: &mut impl Answer<E>,
        events: E,
    ) {
        relay.queued(engine.now(), answer.put(events));
        self.inward += answer.holds();
        self.enter(engine, relay);
        if answer.is_full() {
            relay.too_long(engine.now());
        }
    }

    pub(super) fn enter(&self, engine: &Engine, relay: &mut Relay) {
        let Arrival { bytes, events, inward, amid, last } = *self;
        relay.arrived(engine.now(), bytes, events, inward, amid, last);
    }
}

/// The next step of whichever scheduling has one.
async fn any<E, S: Stream<Item = Step<E>> + Unpin>(out: &mut [Scheduling<S>]) -> (u32, Step<E>) {
    future::poll_fn(|cx| {
        for scheduling in out.iter_mut() {
            if let Poll::Ready(Some(step)) = scheduling.steps.poll_next(cx) {
                return Poll::Ready((scheduling.number, step));
            }
        }
        Poll::Pending
    })
    .await
}
