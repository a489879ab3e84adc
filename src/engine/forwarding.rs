//! Forwards a begun stream from its real server to its client, up to its one end.

use std::collections::BTreeMap;
use std::task::{Context, Poll};

use futures_lite::{Stream, StreamExt, future};

use super::request_lifecycle::{Answer, Arrival, BegunStream, Step, StreamSuccessor};
use super::streams::{Alarm, Ticket};
use super::{AdmittedRequest, Ending, Engine, Order};
use crate::stream::{Cause, End, Leaving, Relay, RelayAction};
use crate::types::{Nanos, ReplicaId, Verdict};

/// A scheduling in flight.
pub(super) struct Scheduling<S> {
    pub(super) number: u32,
    pub(super) server: ReplicaId,
    pub(super) steps: S,
}

/// The real servers' side of a begun stream.
pub(super) struct ServerSide<S> {
    /// The module's side of its request; none if another process began it.
    pub(super) held: Option<AdmittedRequest>,
    pub(super) out: Vec<Scheduling<S>>,
    /// The scheduling that it belongs to.
    pub(super) number: u32,
}

impl<S> ServerSide<S> {
    /// The first event has come. Returns how long it took.
    pub(super) fn first_event(&mut self) -> Nanos {
        let number = self.number;
        self.held.as_mut().map_or(0, |held| held.first_event(number))
    }

    /// The real server of the scheduling that the stream belongs to.
    pub(super) fn server(&self) -> Option<ReplicaId> {
        let own = self.out.iter().find(|scheduling| scheduling.number == self.number);
        own.map(|scheduling| scheduling.server.clone())
    }

    /// A scheduling has ended, and with it the request if it is the stream's own.
    fn outcome(&mut self, number: u32, ending: Ending) {
        if let Some(held) = &mut self.held {
            held.outcome(number, ending, number == self.number);
        }
    }

    fn remove(&mut self, number: u32) {
        self.out.retain(|scheduling| scheduling.number != number);
    }
}

/// What comes next of a request.
pub(super) enum Next<E> {
    /// The client has left.
    Gone(Leaving),
    /// The module wants something done.
    Order(Order),
    /// A scheduling has something.
    Step(u32, Step<E>),
    /// The client has taken so many bytes.
    Took(usize),
    /// A time has come.
    Due,
}

/// An attempt that began beside the stream's own: nothing of it is passed on, but it has its record.
struct Hedge {
    server: ReplicaId,
    relay: Relay,
}

/// A begun stream on its way to the client.
pub(super) struct Forwarding<'a, S, A> {
    engine: &'a Engine,
    begun: &'a BegunStream,
    server_side: ServerSide<S>,
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
        server_side: ServerSide<S>,
        relay: Relay,
        answer: A,
    ) -> Forwarding<'a, S, A>
    where
        S: Stream<Item = Step<E>> + Unpin,
        A: Answer<E>,
    {
        let (alarm, ticket) = (Alarm::new(), engine.ticket(answer.gathers()));
        let hedges = BTreeMap::new();
        Forwarding { engine, begun, server_side, relay, answer, alarm, ticket, hedges, turn_bytes: 0 }
    }

    /// Forwards the stream up to its end.
    pub(super) async fn run<E>(mut self, successor: &impl StreamSuccessor<S, A>)
    where
        S: Stream<Item = Step<E>> + Unpin,
        A: Answer<E>,
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
            // Guards against a real server that floods and a client that keeps up: others have their turn too.
            if self.turn_bytes >= self.engine.limits.turn {
                self.turn_bytes = 0;
                future::yield_now().await;
            }
            let next = future::poll_fn(|cx| self.poll_next(cx)).await;
            self.apply(next);
        };
        self.close(action);
    }

    /// Brings the relay in step with the budget of memory and with the program's stop.
    fn apply_budget(&mut self, now: Nanos) {
        self.relay.allow(now, self.ticket.holds(self.relay.held(), self.relay.paused_since()));
        if self.ticket.evicted() {
            self.relay.evict(now);
        }
        if let Some(at) = self.ticket.stop_at() {
            self.relay.stop_at(at);
        }
    }

    /// Offers the stream to the process that follows. One beside which hedges run stays: the module here called for them.
    fn offer(&mut self, now: Nanos, successor: &impl StreamSuccessor<S, A>) {
        let number = self.server_side.number;
        let is_taken = match &mut self.server_side.out[..] {
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
        A: Answer<E>,
    {
        if self.ticket.poll_called(cx).is_ready() {
            return Poll::Ready(Next::Due);
        }
        if let Some(Poll::Ready(order)) = self.server_side.held.as_mut().map(|held| held.poll_order(cx)) {
            return Poll::Ready(Next::Order(order));
        }
        if let Poll::Ready(how) = self.answer.poll_gone(cx) {
            return Poll::Ready(Next::Gone(how));
        }
        if self.relay.waiting() > 0
            && let Poll::Ready(taken) = self.answer.poll_take(cx)
        {
            return Poll::Ready(taken.map_or_else(Next::Gone, Next::Took));
        }
        for scheduling in &mut self.server_side.out {
            if (scheduling.number != self.server_side.number || self.relay.reads())
                && let Poll::Ready(Some(step)) = scheduling.steps.poll_next(cx)
            {
                return Poll::Ready(Next::Step(scheduling.number, step));
            }
        }
        self.alarm.poll(cx, self.engine, self.relay.due()).map(|()| Next::Due)
    }

    fn apply<E>(&mut self, next: Next<E>)
    where
        A: Answer<E>,
    {
        let own = self.server_side.number;
        match next {
            Next::Gone(how) => self.relay.left(self.engine.now(), how),
            Next::Took(bytes) => {
                self.turn_bytes += bytes;
                self.relay.took(self.engine.now(), bytes);
            }
            Next::Step(number, Step::Events(events, arrival)) if number == own => {
                self.turn_bytes += arrival.bytes;
                arrival.put(self.engine, &mut self.relay, &mut self.answer, events);
            }
            Next::Step(number, Step::Bytes(mut arrival)) if number == own => {
                self.turn_bytes += arrival.bytes;
                arrival.inward += self.answer.holds();
                arrival.enter(self.engine, &mut self.relay);
            }
            Next::Step(number, Step::Ended(ending)) => self.end_scheduling(number, ending),
            // What has begun can't be rejected any more; of a hedge it says nothing.
            Next::Step(number, Step::Rejected(..)) => {
                let verdict = if number == own { Verdict::Error } else { Verdict::NotSent };
                self.end_scheduling(number, verdict.into());
            }
            Next::Step(number, Step::Events(_, arrival) | Step::Bytes(arrival)) => {
                self.record_hedge(number, arrival);
            }
            Next::Order(Order::Cancel(number)) => self.cancel(number),
            // Nothing else is meant for what has begun.
            Next::Order(_) | Next::Due => {}
        }
    }

    fn end_scheduling<E>(&mut self, number: u32, ending: Ending)
    where
        A: Answer<E>,
    {
        self.server_side.remove(number);
        let end: End = ending.end;
        self.server_side.outcome(number, ending);
        if let Some(mut hedge) = self.hedges.remove(&number) {
            hedge.relay.server_ended(self.engine.now(), end);
            self.engine.record_copy(self.begun, &hedge.server, &mut hedge.relay);
        }
        if number == self.server_side.number {
            // Its connection is free or closed: that the client still takes what waits costs no real server anything.
            let now = self.engine.now();
            self.relay.queued(now, self.answer.put_end(end.cause()));
            self.relay.server_ended(now, end);
        }
    }

    fn record_hedge(&mut self, number: u32, arrival: Arrival) {
        self.turn_bytes += arrival.bytes;
        let (engine, server_side) = (self.engine, &self.server_side);
        let scheduling = server_side.out.iter().find(|scheduling| scheduling.number == number);
        let Some(scheduling) = scheduling else { return };
        let begin = || {
            let elapsed = server_side.held.as_ref().map_or(0, |held| held.elapsed(number));
            let relay = Relay::new(engine.now(), elapsed, &engine.limits);
            Hedge { server: scheduling.server.clone(), relay }
        };
        arrival.enter(engine, &mut self.hedges.entry(number).or_insert_with(begin).relay);
    }

    fn cancel(&mut self, number: u32) {
        self.server_side.remove(number);
        if let Some(mut hedge) = self.hedges.remove(&number) {
            hedge.relay.cancel(self.engine.now());
            self.engine.record_copy(self.begun, &hedge.server, &mut hedge.relay);
        }
        self.server_side.outcome(number, Verdict::Cancelled.into());
        if number == self.server_side.number {
            self.relay.cancel(self.engine.now());
        }
    }

    /// Ends both sides. The connections of all schedulings close before anything else is done; then the module learns of
    /// it, and only then the answer ends.
    fn close<E>(self, action: RelayAction)
    where
        A: Answer<E>,
    {
        let Forwarding { engine, begun, mut server_side, mut relay, mut answer, ticket, hedges, .. } = self;
        let own = server_side.number;
        let is_in_flight = server_side.out.iter().any(|scheduling| scheduling.number == own);
        server_side.out.clear();
        if let (true, Some(outcome)) = (is_in_flight, relay.outcome()) {
            server_side.outcome(own, outcome.cause.verdict().into());
        }
        relay.stopped(engine.now());
        let outcome = relay.outcome();
        if let Some(outcome) = &outcome {
            engine.record(begun, &begun.server, outcome);
        }
        for (number, mut hedge) in hedges {
            // Guards against a time-out reported of a hedge that did answer: it is cancelled, however long it was out.
            server_side.outcome(number, Verdict::Cancelled.into());
            hedge.relay.cancel(engine.now());
            engine.record_copy(begun, &hedge.server, &mut hedge.relay);
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
}
