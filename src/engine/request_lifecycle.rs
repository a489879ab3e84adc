//! The life of one request, from its admission to its one final answer.

use std::collections::BTreeMap;
use std::future::Future;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_lite::{Stream, StreamExt, future};

use super::streams::Alarm;
use super::{Ask, Ending, Engine, Held, Order};
use crate::stream::{Cause, Leaving, Relay, RelayAction};
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

/// A scheduling that is out.
struct Scheduling<S> {
    number: u32,
    server: ReplicaId,
    steps: S,
}

/// The real servers' side of a begun stream.
struct ServerSide<S> {
    /// What the module holds of its request; none if another process began it.
    held: Option<Held>,
    out: Vec<Scheduling<S>>,
    /// The scheduling that it belongs to.
    number: u32,
}

impl<S> ServerSide<S> {
    /// A scheduling has ended, and with it the request if it is the stream's own.
    fn outcome(&mut self, number: u32, ending: Ending) {
        if let Some(held) = &mut self.held {
            held.outcome(number, ending, number == self.number);
        }
    }
}

enum Next<E> {
    Gone(Leaving),
    Order(Order),
    Step(u32, Step<E>),
    Took(usize),
    Due,
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
        // Its leaving comes first. Guards against a request that is written to a real server, on a connection that
        // has just come up or for want of an answer elsewhere, in the moment in which its client is seen to be gone:
        // where this thread stood still, that was long ago.
        let next = future::or(
            async {
                client.gone().await;
                Next::Gone(Leaving::Ended)
            },
            future::or(async { Next::Order(held.order().await) }, async {
                let (number, step) = any(&mut out).await;
                Next::Step(number, step)
            }),
        );
        match next.await {
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

    // From here on the request belongs to that scheduling; the module calls others off, where it may. Any that
    // go on beside it are heard to their end, but nothing of them reaches the client.
    let first = held.first_event(number);
    let server = out.iter().find(|s| s.number == number).map(|s| s.server.clone());
    let Some(server) = server else { return client.fail(FailureReason::Errors).await };
    let mut relay = Relay::new(engine.now(), first, &engine.limits);
    let mut answer = client.begin();
    if answer.gathers() {
        relay.gathers();
    }
    arrival.put(engine, &mut relay, &mut answer, events);
    let begun = BegunStream { id: held.id.0, class: ask.class, tenant: ask.tenant, server, first };
    let server_side = ServerSide { held: Some(held), out, number };
    pass_on(engine, &begun, server_side, relay, answer, successor).await;
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
    pass_on(engine, begun, ServerSide { held: None, out, number: 0 }, relay, answer, successor).await;
}

/// Passes a begun stream on, up to its one end.
async fn pass_on<E, S, A>(
    engine: &Engine,
    begun: &BegunStream,
    mut server_side: ServerSide<S>,
    mut relay: Relay,
    mut answer: A,
    successor: &impl StreamSuccessor<S, A>,
) where
    S: Stream<Item = Step<E>> + Unpin,
    A: Answer<E>,
{
    let number = server_side.number;
    let limits = engine.limits.clone();
    let mut alarm = Alarm::new();
    let ticket = engine.ticket(answer.gathers());
    // Copies that began beside it: nothing of them is passed on, but each has its record.
    let mut copies: BTreeMap<u32, (ReplicaId, Relay)> = BTreeMap::new();
    let mut turn = 0;
    let action = loop {
        let now = engine.now();
        relay.allow(now, ticket.holds(relay.held(), relay.paused_since()));
        if ticket.evicted() {
            relay.evict(now);
        }
        if let Some(at) = ticket.stop_at() {
            relay.stop_at(at);
        }
        match relay.poll(now) {
            RelayAction::Wait => {}
            RelayAction::Offer => {
                let taken = match &mut server_side.out[..] {
                    [own] if own.number == number => successor.take(begun, &mut own.steps, &mut answer),
                    // One beside which copies run stays: the module here called for them.
                    _ => false,
                };
                if taken {
                    relay.handed_over(now);
                } else {
                    relay.refused(now);
                }
                continue;
            }
            action => break action,
        }
        // Guards against a real server that floods and a client that keeps up: others have their turn too.
        if turn >= limits.turn {
            turn = 0;
            future::yield_now().await;
        }
        let next = future::poll_fn(|cx| {
            if ticket.poll_called(cx).is_ready() {
                return Poll::Ready(Next::Due);
            }
            if let Some(Poll::Ready(order)) = server_side.held.as_mut().map(|held| held.poll_order(cx)) {
                return Poll::Ready(Next::Order(order));
            }
            if let Poll::Ready(how) = answer.poll_gone(cx) {
                return Poll::Ready(Next::Gone(how));
            }
            if relay.waiting() > 0
                && let Poll::Ready(taken) = answer.poll_take(cx)
            {
                return Poll::Ready(taken.map_or_else(Next::Gone, Next::Took));
            }
            for scheduling in &mut server_side.out {
                if (scheduling.number != number || relay.reads())
                    && let Poll::Ready(Some(step)) = scheduling.steps.poll_next(cx)
                {
                    return Poll::Ready(Next::Step(scheduling.number, step));
                }
            }
            alarm.poll(cx, engine, relay.due()).map(|()| Next::Due)
        });
        match next.await {
            Next::Gone(how) => relay.left(engine.now(), how),
            Next::Took(bytes) => {
                turn += bytes;
                relay.took(engine.now(), bytes);
            }
            Next::Step(n, Step::Events(events, arrival)) if n == number => {
                turn += arrival.bytes;
                arrival.put(engine, &mut relay, &mut answer, events);
            }
            Next::Step(n, Step::Bytes(mut arrival)) if n == number => {
                turn += arrival.bytes;
                arrival.inward += answer.holds();
                arrival.enter(engine, &mut relay);
            }
            Next::Step(n, step @ (Step::Ended(_) | Step::Rejected(..))) => {
                server_side.out.retain(|s| s.number != n);
                let ending = match step {
                    Step::Ended(ending) => ending,
                    // What has begun can't be rejected any more; of another copy it says nothing.
                    _ if n == number => Verdict::Error.into(),
                    _ => Verdict::NotSent.into(),
                };
                let end = ending.end;
                server_side.outcome(n, ending);
                if let Some((server, mut copy)) = copies.remove(&n) {
                    copy.server_ended(engine.now(), end);
                    engine.record_copy(begun, &server, &mut copy);
                }
                if n == number {
                    // Its connection is free or closed: that the client still takes what waits costs no real
                    // server anything.
                    let now = engine.now();
                    relay.queued(now, answer.put_end(end.cause()));
                    relay.server_ended(now, end);
                }
            }
            Next::Step(n, Step::Events(_, arrival) | Step::Bytes(arrival)) => {
                turn += arrival.bytes;
                if let Some(scheduling) = server_side.out.iter().find(|s| s.number == n) {
                    let begin = || {
                        let elapsed = server_side.held.as_ref().map_or(0, |held| held.elapsed(n));
                        let relay = Relay::new(engine.now(), elapsed, &limits);
                        (scheduling.server.clone(), relay)
                    };
                    arrival.enter(engine, &mut copies.entry(n).or_insert_with(begin).1);
                }
            }
            Next::Order(Order::Cancel(n)) => {
                server_side.out.retain(|s| s.number != n);
                if let Some((server, mut copy)) = copies.remove(&n) {
                    copy.cancel(engine.now());
                    engine.record_copy(begun, &server, &mut copy);
                }
                server_side.outcome(n, Verdict::Cancelled.into());
                if n == number {
                    relay.cancel(engine.now());
                }
            }
            // Nothing else is meant for what has begun.
            Next::Order(_) | Next::Due => {}
        }
    };
    // The connections of all schedulings close before anything else is done; then the module is told.
    let is_out = server_side.out.iter().any(|s| s.number == number);
    server_side.out.clear();
    if let (true, Some(outcome)) = (is_out, relay.outcome()) {
        server_side.outcome(number, outcome.cause.verdict().into());
    }
    relay.stopped(engine.now());
    let outcome = relay.outcome();
    if let Some(outcome) = &outcome {
        engine.record(begun, &begun.server, outcome);
    }
    for (n, (server, mut copy)) in copies {
        // Guards against a time-out told of a copy that did answer: it is called off, however long it was out.
        server_side.outcome(n, Verdict::Cancelled.into());
        copy.cancel(engine.now());
        engine.record_copy(begun, &server, &mut copy);
    }
    drop((ticket, server_side));
    match (action, outcome) {
        (RelayAction::Finish, _) => answer.finish(),
        (_, Some(outcome)) if outcome.cause == Cause::HandedOver => drop(answer),
        (_, Some(outcome)) if !relay.server_has_ended() => {
            answer.put_end(outcome.cause);
            answer.break_off();
        }
        _ => answer.break_off(),
    }
}

impl Arrival {
    fn put<E>(mut self, engine: &Engine, relay: &mut Relay, answer: &mut impl Answer<E>, events: E) {
        relay.queued(engine.now(), answer.put(events));
        self.inward += answer.holds();
        self.enter(engine, relay);
        if answer.is_full() {
            relay.too_long(engine.now());
        }
    }

    fn enter(&self, engine: &Engine, relay: &mut Relay) {
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
