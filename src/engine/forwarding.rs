//! Forwards a started stream from its replica to its client until it ends.

use std::collections::BTreeMap;
use std::task::{Context, Poll};

use futures_lite::{Stream, StreamExt, future};

use super::core::{AdmittedRequest, Engine};
use super::interface::{AttemptOutcome, RequestAction};
use super::participants::{AttemptUpdate, ResponseSink, StreamInfo, StreamSuccessor};
use super::streams::{StreamRegistration, StreamTimer};
use crate::stream::{Arrival, Cause, Disconnect, End, Relay, RelayAction};
use crate::types::{Nanos, ReplicaId, Verdict};

/// An attempt in flight.
pub(super) struct Attempt<S> {
    pub(super) number: u32,
    pub(super) replica: ReplicaId,
    pub(super) updates: S,
}

/// The replica side of a started stream.
pub(super) struct ReplicaSide<S> {
    /// The request at the load balancer; `None` if another process started the stream.
    pub(super) admitted: Option<AdmittedRequest>,
    pub(super) attempts: Vec<Attempt<S>>,
    /// The number of the attempt that is forwarded.
    pub(super) number: u32,
}

impl<S> ReplicaSide<S> {
    /// Records the first event of the forwarded attempt. Returns the time since the start of the attempt, or 0 if it is
    /// not in flight.
    pub(super) fn record_first_event(&mut self) -> Nanos {
        let number = self.number;
        self.admitted.as_mut().map_or(0, |admitted| admitted.record_first_event(number))
    }

    /// The replica of the forwarded attempt.
    pub(super) fn replica(&self) -> Option<ReplicaId> {
        let forwarded = self.attempts.iter().find(|attempt| attempt.number == self.number);
        forwarded.map(|attempt| attempt.replica.clone())
    }

    /// Records the outcome of an attempt; that of the forwarded attempt ends the request.
    fn record_outcome(&mut self, number: u32, outcome: AttemptOutcome) {
        if let Some(admitted) = &mut self.admitted {
            admitted.record_outcome(number, outcome, number == self.number);
        }
    }

    fn remove(&mut self, number: u32) {
        self.attempts.retain(|attempt| attempt.number != number);
    }
}

/// What the handling of a request reacts to.
pub(super) enum RequestEvent<E> {
    /// The client has disconnected.
    ClientDisconnected(Disconnect),
    /// The load balancer has decided on an action.
    Action(RequestAction),
    /// An attempt has yielded an update.
    Update(u32, AttemptUpdate<E>),
    /// This number of bytes was written to the client.
    BytesTaken(usize),
    /// A timer is due, or the stream was notified of an eviction or the shutdown.
    TimerDue,
}

/// A hedged attempt that runs beside the forwarded one. Its data is dropped, and its outcome is recorded.
struct Hedge {
    replica: ReplicaId,
    relay: Relay,
}

/// A started stream that is being forwarded to its client.
pub(super) struct Forwarding<'a, S, R> {
    engine: &'a Engine,
    info: &'a StreamInfo,
    replica_side: ReplicaSide<S>,
    relay: Relay,
    sink: R,
    timer: StreamTimer,
    registration: StreamRegistration,
    hedges: BTreeMap<u32, Hedge>,
    /// Bytes forwarded since the last yield to other tasks.
    bytes_since_yield: usize,
}

impl<'a, S, R> Forwarding<'a, S, R> {
    pub(super) fn new<E>(
        engine: &'a Engine,
        info: &'a StreamInfo,
        replica_side: ReplicaSide<S>,
        relay: Relay,
        sink: R,
    ) -> Forwarding<'a, S, R>
    where
        S: Stream<Item = AttemptUpdate<E>> + Unpin,
        R: ResponseSink<E>,
    {
        let (timer, registration) = (StreamTimer::new(), engine.register_stream(sink.is_assembled()));
        let hedges = BTreeMap::new();
        Forwarding {
            engine,
            info,
            replica_side,
            relay,
            sink,
            timer,
            registration,
            hedges,
            bytes_since_yield: 0,
        }
    }

    /// Forwards the stream until it ends.
    pub(super) async fn run<E>(mut self, successor: &impl StreamSuccessor<S, R>)
    where
        S: Stream<Item = AttemptUpdate<E>> + Unpin,
        R: ResponseSink<E>,
    {
        let action = loop {
            let now = self.engine.now();
            self.apply_budget(now);
            match self.relay.poll(now) {
                RelayAction::Wait => {}
                RelayAction::OfferHandover => {
                    self.offer_handover(now, successor);
                    continue;
                }
                action => break action,
            }
            // A fast replica with a fast client would otherwise starve other tasks.
            if self.bytes_since_yield >= self.engine.limits.bytes_before_yield {
                self.bytes_since_yield = 0;
                future::yield_now().await;
            }
            let event = future::poll_fn(|cx| self.poll_event(cx)).await;
            self.apply_event(event);
        };
        self.close(action);
    }

    /// Passes the memory budget and the shutdown deadline to the relay.
    fn apply_budget(&mut self, now: Nanos) {
        self.relay.set_allowance(
            now,
            self.registration.update(self.relay.buffered_bytes(), self.relay.paused_since()),
        );
        if self.registration.take_eviction() {
            self.relay.evict(now);
        }
        if let Some(at) = self.registration.shutdown_at() {
            self.relay.set_shutdown_deadline(at);
        }
    }

    /// Offers the stream to the successor process. A stream with hedged attempts is not offered: they belong to the
    /// load balancer of this process.
    fn offer_handover(&mut self, now: Nanos, successor: &impl StreamSuccessor<S, R>) {
        let number = self.replica_side.number;
        let is_taken = match &mut self.replica_side.attempts[..] {
            [attempt] if attempt.number == number => {
                successor.take_over(self.info, &mut attempt.updates, &mut self.sink)
            }
            _ => false,
        };
        if is_taken {
            self.relay.handed_over(now);
        } else {
            self.relay.handover_refused(now);
        }
    }

    fn poll_event<E>(&mut self, cx: &mut Context<'_>) -> Poll<RequestEvent<E>>
    where
        S: Stream<Item = AttemptUpdate<E>> + Unpin,
        R: ResponseSink<E>,
    {
        if self.registration.poll_notified(cx).is_ready() {
            return Poll::Ready(RequestEvent::TimerDue);
        }
        if let Some(Poll::Ready(action)) =
            self.replica_side.admitted.as_mut().map(|admitted| admitted.poll_action(cx))
        {
            return Poll::Ready(RequestEvent::Action(action));
        }
        if let Poll::Ready(disconnect) = self.sink.poll_disconnect(cx) {
            return Poll::Ready(RequestEvent::ClientDisconnected(disconnect));
        }
        if self.relay.client_queued() > 0
            && let Poll::Ready(taken) = self.sink.poll_write(cx)
        {
            return Poll::Ready(
                taken.map_or_else(RequestEvent::ClientDisconnected, RequestEvent::BytesTaken),
            );
        }
        for attempt in &mut self.replica_side.attempts {
            if (attempt.number != self.replica_side.number || self.relay.wants_read())
                && let Poll::Ready(Some(update)) = attempt.updates.poll_next(cx)
            {
                return Poll::Ready(RequestEvent::Update(attempt.number, update));
            }
        }
        self.timer.poll(cx, self.engine, self.relay.due()).map(|()| RequestEvent::TimerDue)
    }

    fn apply_event<E>(&mut self, event: RequestEvent<E>)
    where
        R: ResponseSink<E>,
    {
        let forwarded_number = self.replica_side.number;
        match event {
            RequestEvent::ClientDisconnected(disconnect) => {
                self.relay.client_left(self.engine.now(), disconnect);
            }
            RequestEvent::BytesTaken(bytes) => {
                self.bytes_since_yield += bytes;
                self.relay.record_taken(self.engine.now(), bytes);
            }
            RequestEvent::Update(number, AttemptUpdate::Events(events, arrival))
                if number == forwarded_number =>
            {
                self.bytes_since_yield += arrival.bytes;
                forward_arrival(self.engine, &mut self.relay, &mut self.sink, arrival, events);
            }
            RequestEvent::Update(number, AttemptUpdate::Bytes(mut arrival))
                if number == forwarded_number =>
            {
                self.bytes_since_yield += arrival.bytes;
                arrival.replica_buffered += self.sink.buffered_bytes();
                record_arrival(self.engine, &mut self.relay, &arrival);
            }
            RequestEvent::Update(number, AttemptUpdate::Ended(outcome)) => {
                self.end_attempt(number, outcome);
            }
            // A started stream can no longer be rejected, so that this is an error. A rejected hedged attempt has no
            // effect on the forwarded one.
            RequestEvent::Update(number, AttemptUpdate::Rejected(..)) => {
                let verdict = if number == forwarded_number { Verdict::Error } else { Verdict::NotSent };
                self.end_attempt(number, verdict.into());
            }
            RequestEvent::Update(
                number,
                AttemptUpdate::Events(_, arrival) | AttemptUpdate::Bytes(arrival),
            ) => {
                self.record_hedge(number, arrival);
            }
            RequestEvent::Action(RequestAction::CancelAttempt(number)) => self.cancel(number),
            // No other action applies to a started stream.
            RequestEvent::Action(_) | RequestEvent::TimerDue => {}
        }
    }

    fn end_attempt<E>(&mut self, number: u32, outcome: AttemptOutcome)
    where
        R: ResponseSink<E>,
    {
        self.replica_side.remove(number);
        let end: End = outcome.end;
        self.replica_side.record_outcome(number, outcome);
        if let Some(mut hedge) = self.hedges.remove(&number) {
            hedge.relay.replica_ended(self.engine.now(), end);
            self.engine.record_hedged(self.info, &hedge.replica, &mut hedge.relay);
        }
        if number == self.replica_side.number {
            // The replica's connection is released or closed already; the client reads the rest at no cost to the
            // replica.
            let now = self.engine.now();
            self.relay.record_queued(now, self.sink.queue_end(end.cause()));
            self.relay.replica_ended(now, end);
        }
    }

    fn record_hedge(&mut self, number: u32, arrival: Arrival) {
        self.bytes_since_yield += arrival.bytes;
        let (engine, replica_side) = (self.engine, &self.replica_side);
        let attempt = replica_side.attempts.iter().find(|attempt| attempt.number == number);
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
            self.engine.record_hedged(self.info, &hedge.replica, &mut hedge.relay);
        }
        self.replica_side.record_outcome(number, Verdict::Cancelled.into());
        if number == self.replica_side.number {
            self.relay.cancel(self.engine.now());
        }
    }

    /// Closes the connections of all attempts, then reports their outcomes to the load balancer, then ends the response
    /// to the client.
    fn close<E>(self, action: RelayAction)
    where
        R: ResponseSink<E>,
    {
        let Forwarding {
            engine, info, mut replica_side, mut relay, mut sink, registration, hedges, ..
        } = self;
        let forwarded_number = replica_side.number;
        let is_in_flight = replica_side.attempts.iter().any(|attempt| attempt.number == forwarded_number);
        replica_side.attempts.clear();
        if let (true, Some(outcome)) = (is_in_flight, relay.outcome()) {
            replica_side.record_outcome(forwarded_number, outcome.cause.verdict().into());
        }
        relay.connection_released(engine.now());
        let outcome = relay.outcome();
        if let Some(outcome) = &outcome {
            engine.record_stream_end(info, &info.replica, outcome);
        }
        for (number, mut hedge) in hedges {
            // A hedged attempt that has sent data counts as cancelled and not as timed out, however long it ran.
            replica_side.record_outcome(number, Verdict::Cancelled.into());
            hedge.relay.cancel(engine.now());
            engine.record_hedged(info, &hedge.replica, &mut hedge.relay);
        }
        drop((registration, replica_side));
        match (action, outcome) {
            (RelayAction::Finish, _) => sink.finish(),
            (_, Some(outcome)) if outcome.cause == Cause::HandedOver => drop(sink),
            (_, Some(outcome)) if !relay.replica_has_ended() => {
                sink.queue_end(outcome.cause);
                sink.abort();
            }
            _ => sink.abort(),
        }
    }
}

/// Queues events for the client, and records their arrival in the relay.
pub(super) fn forward_arrival<E>(
    engine: &Engine,
    relay: &mut Relay,
    sink: &mut impl ResponseSink<E>,
    mut arrival: Arrival,
    events: E,
) {
    relay.record_queued(engine.now(), sink.queue(events));
    arrival.replica_buffered += sink.buffered_bytes();
    record_arrival(engine, relay, &arrival);
    if sink.is_full() {
        relay.buffer_exceeded(engine.now());
    }
}

fn record_arrival(engine: &Engine, relay: &mut Relay, arrival: &Arrival) {
    relay.record_arrival(engine.now(), arrival);
}
