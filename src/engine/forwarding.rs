//! Forwards a begun stream from its replica to its client, up to its one end.

use std::collections::BTreeMap;
use std::task::{Context, Poll};

use futures_lite::{Stream, StreamExt, future};

use super::core::{AdmittedRequest, Engine};
use super::interface::{AttemptOutcome, RequestAction};
use super::participants::{BegunStream, ResponseSink, Step, StreamSuccessor};
use super::streams::{Alarm, Ticket};
use crate::stream::{Arrival, Cause, End, Leaving, Relay, RelayAction};
use crate::types::{Nanos, ReplicaId, Verdict};

/// An attempt in flight.
pub(super) struct Attempt<S> {
    pub(super) number: u32,
    pub(super) replica: ReplicaId,
    pub(super) steps: S,
}

/// The replicas' side of a begun stream.
pub(super) struct ReplicaSide<S> {
    /// The load balancer's side of its request; none if another process began it.
    pub(super) admitted: Option<AdmittedRequest>,
    pub(super) out: Vec<Attempt<S>>,
    /// The attempt that it belongs to.
    pub(super) number: u32,
}

impl<S> ReplicaSide<S> {
    /// The first event has come. Returns how long it took.
    pub(super) fn first_event(&mut self) -> Nanos {
        let number = self.number;
        self.admitted.as_mut().map_or(0, |admitted| admitted.record_first_event(number))
    }

    /// The replica of the attempt that the stream belongs to.
    pub(super) fn replica(&self) -> Option<ReplicaId> {
        let own = self.out.iter().find(|attempt| attempt.number == self.number);
        own.map(|attempt| attempt.replica.clone())
    }

    /// An attempt has ended, and with it the request if it is the stream's own.
    fn outcome(&mut self, number: u32, outcome: AttemptOutcome) {
        if let Some(admitted) = &mut self.admitted {
            admitted.record_outcome(number, outcome, number == self.number);
        }
    }

    fn remove(&mut self, number: u32) {
        self.out.retain(|attempt| attempt.number != number);
    }
}

/// The next event of a request.
pub(super) enum Next<E> {
    /// The client has left.
    Gone(Leaving),
    /// The load balancer wants something done.
    Action(RequestAction),
    /// An attempt has something.
    Step(u32, Step<E>),
    /// The client has taken bytes.
    Took(usize),
    /// A timer is due.
    Due,
}

/// A hedged attempt beside the stream's own: none of its data is forwarded, but its end is recorded.
struct Hedge {
    replica: ReplicaId,
    relay: Relay,
}

/// A begun stream on its way to the client.
pub(super) struct Forwarding<'a, S, A> {
    engine: &'a Engine,
    begun: &'a BegunStream,
    replica_side: ReplicaSide<S>,
    relay: Relay,
    answer: A,
    alarm: Alarm,
    ticket: Ticket,
    hedges: BTreeMap<u32, Hedge>,
    /// Bytes since other tasks last had their turn.
    turn_bytes: usize,
}

impl<'a, S, A> Forwarding<'a, S, A> {
    pub(super) fn new<E>(
        engine: &'a Engine,
        begun: &'a BegunStream,
        replica_side: ReplicaSide<S>,
        relay: Relay,
        answer: A,
    ) -> Forwarding<'a, S, A>
    where
        S: Stream<Item = Step<E>> + Unpin,
        A: ResponseSink<E>,
    {
        let (alarm, ticket) = (Alarm::new(), engine.ticket(answer.is_assembled()));
        let hedges = BTreeMap::new();
        Forwarding { engine, begun, replica_side, relay, answer, alarm, ticket, hedges, turn_bytes: 0 }
    }

    /// Forwards the stream up to its end.
    pub(super) async fn run<E>(mut self, successor: &impl StreamSuccessor<S, A>)
    where
        S: Stream<Item = Step<E>> + Unpin,
        A: ResponseSink<E>,
    {
        let action = loop {
            let now = self.engine.now();
            self.apply_budget(now);
            match self.relay.poll(now) {
                RelayAction::Wait => {}
                RelayAction::Offer => {
                    self.offer(now, successor);
                    continue;
                }
                action => break action,
            }
            // Yields to other tasks if a fast replica and a fast client would keep this one running.
            if self.turn_bytes >= self.engine.limits.bytes_before_yield {
                self.turn_bytes = 0;
                future::yield_now().await;
            }
            let next = future::poll_fn(|cx| self.poll_next(cx)).await;
            self.apply(next);
        };
        self.close(action);
    }

    /// Passes the memory budget and the shutdown deadline to the relay.
    fn apply_budget(&mut self, now: Nanos) {
        self.relay.allow(now, self.ticket.update(self.relay.buffered_bytes(), self.relay.paused_since()));
        if self.ticket.evicted() {
            self.relay.evict(now);
        }
        if let Some(at) = self.ticket.stop_at() {
            self.relay.stop_at(at);
        }
    }

    /// Offers the stream to the successor process. A stream with hedged attempts stays: they belong to this load balancer.
    fn offer(&mut self, now: Nanos, successor: &impl StreamSuccessor<S, A>) {
        let number = self.replica_side.number;
        let is_taken = match &mut self.replica_side.out[..] {
            [own] if own.number == number => successor.take(self.begun, &mut own.steps, &mut self.answer),
            _ => false,
        };
        if is_taken {
            self.relay.handed_over(now);
        } else {
            self.relay.refused(now);
        }
    }

    fn poll_next<E>(&mut self, cx: &mut Context<'_>) -> Poll<Next<E>>
    where
        S: Stream<Item = Step<E>> + Unpin,
        A: ResponseSink<E>,
    {
        if self.ticket.poll_called(cx).is_ready() {
            return Poll::Ready(Next::Due);
        }
        if let Some(Poll::Ready(order)) =
            self.replica_side.admitted.as_mut().map(|admitted| admitted.poll_action(cx))
        {
            return Poll::Ready(Next::Action(order));
        }
        if let Poll::Ready(how) = self.answer.poll_gone(cx) {
            return Poll::Ready(Next::Gone(how));
        }
        if self.relay.waiting() > 0
            && let Poll::Ready(taken) = self.answer.poll_take(cx)
        {
            return Poll::Ready(taken.map_or_else(Next::Gone, Next::Took));
        }
        for attempt in &mut self.replica_side.out {
            if (attempt.number != self.replica_side.number || self.relay.reads())
                && let Poll::Ready(Some(step)) = attempt.steps.poll_next(cx)
            {
                return Poll::Ready(Next::Step(attempt.number, step));
            }
        }
        self.alarm.poll(cx, self.engine, self.relay.due()).map(|()| Next::Due)
    }

    fn apply<E>(&mut self, next: Next<E>)
    where
        A: ResponseSink<E>,
    {
        let own = self.replica_side.number;
        match next {
            Next::Gone(how) => self.relay.left(self.engine.now(), how),
            Next::Took(bytes) => {
                self.turn_bytes += bytes;
                self.relay.took(self.engine.now(), bytes);
            }
            Next::Step(number, Step::Events(events, arrival)) if number == own => {
                self.turn_bytes += arrival.bytes;
                forward_arrival(self.engine, &mut self.relay, &mut self.answer, arrival, events);
            }
            Next::Step(number, Step::Bytes(mut arrival)) if number == own => {
                self.turn_bytes += arrival.bytes;
                arrival.inward += self.answer.buffered_bytes();
                record_arrival(self.engine, &mut self.relay, &arrival);
            }
            Next::Step(number, Step::Ended(outcome)) => self.end_attempt(number, outcome),
            // A begun stream can't be rejected any more, and a rejected hedge says nothing about it.
            Next::Step(number, Step::Rejected(..)) => {
                let verdict = if number == own { Verdict::Error } else { Verdict::NotSent };
                self.end_attempt(number, verdict.into());
            }
            Next::Step(number, Step::Events(_, arrival) | Step::Bytes(arrival)) => {
                self.record_hedge(number, arrival);
            }
            Next::Action(RequestAction::CancelAttempt(number)) => self.cancel(number),
            // No other action concerns a begun stream.
            Next::Action(_) | Next::Due => {}
        }
    }

    fn end_attempt<E>(&mut self, number: u32, outcome: AttemptOutcome)
    where
        A: ResponseSink<E>,
    {
        self.replica_side.remove(number);
        let end: End = outcome.end;
        self.replica_side.outcome(number, outcome);
        if let Some(mut hedge) = self.hedges.remove(&number) {
            hedge.relay.replica_ended(self.engine.now(), end);
            self.engine.record_hedged(self.begun, &hedge.replica, &mut hedge.relay);
        }
        if number == self.replica_side.number {
            // The connection is released or closed; the client can take the rest without any cost to the replica.
            let now = self.engine.now();
            self.relay.queued(now, self.answer.put_end(end.cause()));
            self.relay.replica_ended(now, end);
        }
    }

    fn record_hedge(&mut self, number: u32, arrival: Arrival) {
        self.turn_bytes += arrival.bytes;
        let (engine, replica_side) = (self.engine, &self.replica_side);
        let attempt = replica_side.out.iter().find(|attempt| attempt.number == number);
        let Some(attempt) = attempt else { return };
        let begin = || {
            let elapsed = replica_side.admitted.as_ref().map_or(0, |admitted| admitted.elapsed(number));
            let relay = Relay::new(engine.now(), elapsed, &engine.limits);
            Hedge { replica: attempt.replica.clone(), relay }
        };
        record_arrival(engine, &mut self.hedges.entry(number).or_insert_with(begin).relay, &arrival);
    }

    fn cancel(&mut self, number: u32) {
        self.replica_side.remove(number);
        if let Some(mut hedge) = self.hedges.remove(&number) {
            hedge.relay.cancel(self.engine.now());
            self.engine.record_hedged(self.begun, &hedge.replica, &mut hedge.relay);
        }
        self.replica_side.outcome(number, Verdict::Cancelled.into());
        if number == self.replica_side.number {
            self.relay.cancel(self.engine.now());
        }
    }

    /// Ends both sides: first the connections of all attempts close, then the load balancer learns of it, and then the
    /// response ends.
    fn close<E>(self, action: RelayAction)
    where
        A: ResponseSink<E>,
    {
        let Forwarding { engine, begun, mut replica_side, mut relay, mut answer, ticket, hedges, .. } =
            self;
        let own = replica_side.number;
        let is_in_flight = replica_side.out.iter().any(|attempt| attempt.number == own);
        replica_side.out.clear();
        if let (true, Some(outcome)) = (is_in_flight, relay.outcome()) {
            replica_side.outcome(own, outcome.cause.verdict().into());
        }
        relay.stopped(engine.now());
        let outcome = relay.outcome();
        if let Some(outcome) = &outcome {
            engine.record(begun, &begun.replica, outcome);
        }
        for (number, mut hedge) in hedges {
            // A hedge that has sent data did not time out: it is cancelled, however long it ran.
            replica_side.outcome(number, Verdict::Cancelled.into());
            hedge.relay.cancel(engine.now());
            engine.record_hedged(begun, &hedge.replica, &mut hedge.relay);
        }
        drop((ticket, replica_side));
        match (action, outcome) {
            (RelayAction::Finish, _) => answer.finish(),
            (_, Some(outcome)) if outcome.cause == Cause::HandedOver => drop(answer),
            (_, Some(outcome)) if !relay.replica_has_ended() => {
                answer.put_end(outcome.cause);
                answer.break_off();
            }
            _ => answer.break_off(),
        }
    }
}

/// Queues events for the client, and records their arrival in the relay.
pub(super) fn forward_arrival<E>(
    engine: &Engine,
    relay: &mut Relay,
    answer: &mut impl ResponseSink<E>,
    mut arrival: Arrival,
    events: E,
) {
    relay.queued(engine.now(), answer.put(events));
    arrival.inward += answer.buffered_bytes();
    record_arrival(engine, relay, &arrival);
    if answer.is_full() {
        relay.too_long(engine.now());
    }
}

fn record_arrival(engine: &Engine, relay: &mut Relay, arrival: &Arrival) {
    relay.arrived(engine.now(), arrival);
}
