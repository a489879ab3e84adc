//! The state machine of one forwarded stream, from its first event to its end.
//!
//! Bytes arrive from a replica, are buffered here and are taken by a client. Three timers run, each only while it
//! applies: the replica's idle timeout while the gateway reads, the reader's minimum rate while bytes are pending, and
//! the shutdown deadline once the process is stopping.

use super::outcome::{Cause, Outcome};
use crate::limits::{PaceLimit, StreamLimits};
use crate::types::Nanos;

/// The phase of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Begun; the client has taken nothing yet.
    Opening,
    /// Data is forwarded.
    Flowing,
    /// The buffer is full, so the replica is not read until the client takes bytes.
    ReaderPaused,
    /// All received data was taken; the replica has not sent more yet.
    ReplicaSilent,
    /// An event or its framing is incomplete.
    AmidEvent,
    /// The replica's side has ended; the client still takes the buffered bytes.
    Finishing,
    /// The stream has its outcome.
    Ended,
}

/// What the owner of a stream has to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayAction {
    /// Wait for the next event or timer.
    Wait,
    /// End it as a complete stream: all bytes are taken.
    Finish,
    /// End it as incomplete, without the last chunk.
    Cut,
    /// Offer it to the successor process.
    Offer,
}

/// How a replica's side ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum End {
    /// With its last chunk.
    Complete,
    /// Its connection ended before the last chunk.
    #[default]
    Disconnected,
    /// With data that can't be parsed.
    Malformed,
    /// With an error event.
    Failed,
}

/// How a client left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leaving {
    /// It closed its connection, or its sending half: both look the same here and both cancel the request.
    Ended,
    /// Its connection was reset.
    Reset,
}

/// Data of a stream that arrived together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Arrival {
    /// Number of bytes.
    pub bytes: usize,
    /// Number of complete events.
    pub events: u64,
    /// Bytes that are buffered on the replica's side until the rest of something arrives.
    pub inward: usize,
    /// A chunk or an event is incomplete.
    pub amid: bool,
    /// The dialect's last event has arrived.
    pub last: bool,
}

/// The interval over which a reader's rate is measured.
#[derive(Clone, Copy, Debug)]
struct ReaderSpan {
    started_at: Nanos,
    taken: usize,
}

/// The end of a stream.
#[derive(Clone, Copy, Debug)]
struct StreamEnd {
    cause: Cause,
    at: Nanos,
}

/// The state machine of one forwarded stream.
#[derive(Clone, Debug)]
pub struct Relay {
    limits: StreamLimits,
    began: Nanos,
    first: Nanos,
    bytes: u64,
    events: u64,
    /// Bytes that are buffered on the replica's side: an incomplete chunk or event.
    inward: usize,
    /// Bytes that are buffered for the client.
    waiting: usize,
    taken: u64,
    /// Bytes that the memory budget allows.
    allowance: usize,
    reading: bool,
    /// The response is assembled before it is sent, so nothing is pending for the client before the end.
    is_assembled: bool,
    /// Idle time that was counted before reading was last paused.
    idle_before: Nanos,
    /// Start of the current idle time; `None` while the replica is not read.
    idle_since: Option<Nanos>,
    amid: bool,
    last_event: bool,
    longest_gap: Nanos,
    /// The current interval of the reader; `None` while nothing is pending.
    span: Option<ReaderSpan>,
    /// Since when the reader has taken nothing of the pending bytes.
    paused_since: Option<Nanos>,
    longest_pause: Nanos,
    replica_end: Option<End>,
    stop_at: Option<Nanos>,
    /// When it is offered to another process.
    offer_at: Option<Nanos>,
    /// Until when the client may take the rest of a broken stream.
    linger_until: Option<Nanos>,
    ended: Option<StreamEnd>,
    stop: Option<Nanos>,
}

impl Relay {
    /// Starts a stream whose first event arrived `first` nanoseconds after its attempt began.
    #[must_use]
    pub fn new(now: Nanos, first: Nanos, limits: &StreamLimits) -> Relay {
        Relay {
            limits: limits.clone(),
            began: now,
            first,
            bytes: 0,
            events: 0,
            inward: 0,
            waiting: 0,
            taken: 0,
            allowance: usize::MAX,
            reading: true,
            is_assembled: false,
            idle_before: 0,
            idle_since: Some(now),
            amid: false,
            last_event: false,
            longest_gap: 0,
            span: None,
            paused_since: None,
            longest_pause: 0,
            replica_end: None,
            stop_at: None,
            offer_at: None,
            linger_until: None,
            ended: None,
            stop: None,
        }
    }

    /// Records data from the replica.
    pub fn arrived(&mut self, now: Nanos, arrival: &Arrival) {
        if self.ended.is_some() || self.replica_end.is_some() {
            return;
        }
        let gap = self.stalled_for(now);
        self.longest_gap = self.longest_gap.max(gap);
        self.idle_before = 0;
        self.idle_since = self.reading.then_some(now);
        self.bytes += arrival.bytes as u64;
        self.events += arrival.events;
        self.inward = arrival.inward;
        self.amid = arrival.amid;
        self.last_event |= arrival.last;
        self.update_reading(now);
    }

    /// Records bytes that were queued for the client.
    pub fn queued(&mut self, now: Nanos, bytes: usize) {
        if bytes == 0 || self.ended.is_some() {
            return;
        }
        if self.waiting == 0 {
            self.span = Some(ReaderSpan { started_at: now, taken: 0 });
            self.paused_since = Some(now);
        }
        self.waiting += bytes;
        self.update_reading(now);
    }

    /// Records bytes that the client took.
    pub fn took(&mut self, now: Nanos, bytes: usize) {
        if bytes == 0 || self.ended.is_some() {
            return;
        }
        self.record_pause(now);
        self.waiting = self.waiting.saturating_sub(bytes);
        self.taken += bytes as u64;
        if self.waiting == 0 {
            (self.span, self.paused_since) = (None, None);
        } else {
            self.paused_since = Some(now);
            if let Some(span) = &mut self.span {
                span.taken += bytes;
            }
        }
        self.update_reading(now);
    }

    /// Sets how many bytes the memory budget allows this stream.
    pub fn allow(&mut self, now: Nanos, bytes: usize) {
        self.allowance = bytes;
        self.update_reading(now);
    }

    /// Records the end of the replica's side.
    pub fn replica_ended(&mut self, now: Nanos, end: End) {
        if self.ended.is_some() || self.replica_end.is_some() {
            return;
        }
        self.longest_gap = self.longest_gap.max(self.stalled_for(now));
        self.replica_end = Some(end);
        (self.inward, self.amid) = (0, false);
        self.stop = Some(0);
        if end != End::Complete {
            self.linger_until = Some(now.saturating_add(nanos(self.limits.linger)));
        }
        self.update_reading(now);
    }

    /// Ends the stream: the client has left.
    pub fn left(&mut self, now: Nanos, _: Leaving) {
        self.end(now, Cause::ClientLeft);
    }

    /// Ends the stream: the load balancer has cancelled it.
    pub fn cancel(&mut self, now: Nanos) {
        self.end(now, Cause::Cancelled);
    }

    /// Ends the stream to free its memory, if it has any.
    pub fn evict(&mut self, now: Nanos) {
        if self.waiting > 0 || self.is_assembled && self.inward > 0 {
            self.end(now, Cause::Budget);
        }
    }

    /// Marks the response as one that is assembled before it is sent.
    pub fn set_assembled(&mut self) {
        self.is_assembled = true;
    }

    /// Ends the stream: more of it would have to be buffered than one stream may.
    pub fn too_long(&mut self, now: Nanos) {
        self.end(now, Cause::TooLong);
    }

    /// Sets the shutdown deadline at which the stream is cut. Some time before, it is offered to the successor process.
    pub fn stop_at(&mut self, at: Nanos) {
        if self.stop_at.is_none_or(|before| at < before) {
            self.stop_at = Some(at);
            self.offer_at = Some(at.saturating_sub(nanos(self.limits.handover_lead_time)));
        }
    }

    /// Records that no process took the stream over; it is offered again soon.
    pub fn refused(&mut self, now: Nanos) {
        self.offer_at = Some(now.saturating_add(nanos(self.limits.handover_retry_interval)));
    }

    /// Ends the stream here: the successor process continues it.
    pub fn handed_over(&mut self, now: Nanos) {
        self.end(now, Cause::HandedOver);
    }

    /// Returns what to do now; to be called after each event and when [`Relay::due`] has come.
    pub fn poll(&mut self, now: Nanos) -> RelayAction {
        if self.ended.is_none() {
            self.apply_timers(now);
        }
        match self.ended.map(|end| end.cause) {
            None if self.replica_end.is_none() && self.is_over(now, self.offer_at) => RelayAction::Offer,
            None => RelayAction::Wait,
            Some(Cause::Complete) => RelayAction::Finish,
            Some(_) => RelayAction::Cut,
        }
    }

    fn apply_timers(&mut self, now: Nanos) {
        match self.replica_end {
            Some(end)
                if self.waiting == 0 || end != End::Complete && self.is_over(now, self.linger_until) =>
            {
                return self.end(now, end.cause());
            }
            Some(_) => {}
            None if self.is_over(now, self.idle_until()) => return self.end(now, Cause::Stalled),
            None => {}
        }
        if let Some(span) = self.span
            && now >= span.started_at.saturating_add(nanos(self.limits.reader_interval))
        {
            if span.taken < self.limits.reader_min_bytes {
                return self.end(now, Cause::ReaderSlow);
            }
            self.span = Some(ReaderSpan { started_at: now, taken: 0 });
        }
        if self.is_over(now, self.stop_at) {
            self.end(now, Cause::Shutdown);
        }
    }

    fn is_over(&self, now: Nanos, at: Option<Nanos>) -> bool {
        at.is_some_and(|at| now >= at)
    }

    /// When [`Relay::poll`] is to be called at the latest.
    #[must_use]
    pub fn due(&self) -> Option<Nanos> {
        if self.ended.is_some() {
            return None;
        }
        let span = self.span.map(|span| span.started_at.saturating_add(nanos(self.limits.reader_interval)));
        let (idle, offer) =
            if self.replica_end.is_none() { (self.idle_until(), self.offer_at) } else { (None, None) };
        [span, idle, offer, self.stop_at, self.linger_until].into_iter().flatten().min()
    }

    /// Whether the replica is to be read.
    #[must_use]
    pub fn reads(&self) -> bool {
        self.reading && self.replica_end.is_none() && self.ended.is_none()
    }

    /// Bytes that it buffers on both sides.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.inward + self.waiting
    }

    /// Bytes that are buffered for the client.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Whether the replica's side has ended, complete or not.
    #[must_use]
    pub fn replica_has_ended(&self) -> bool {
        self.replica_end.is_some()
    }

    /// Since when its reader has taken nothing of the pending bytes.
    #[must_use]
    pub fn paused_since(&self) -> Option<Nanos> {
        self.paused_since
    }

    /// The current phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        match () {
            () if self.ended.is_some() => Phase::Ended,
            () if self.replica_end.is_some() => Phase::Finishing,
            () if !self.reading => Phase::ReaderPaused,
            () if self.amid => Phase::AmidEvent,
            () if self.taken == 0 => Phase::Opening,
            () if self.waiting == 0 => Phase::ReplicaSilent,
            () => Phase::Flowing,
        }
    }

    /// Records that the replica's connection is released or closed.
    pub fn stopped(&mut self, now: Nanos) {
        if let (Some(end), None) = (self.ended, self.stop) {
            self.stop = Some(now.saturating_sub(end.at));
        }
    }

    /// The record of the stream, once it has ended.
    #[must_use]
    pub fn outcome(&self) -> Option<Outcome> {
        let StreamEnd { cause, at } = self.ended?;
        Some(Outcome {
            cause,
            bytes: self.bytes,
            events: self.events,
            first: self.first,
            longest_gap: self.longest_gap,
            longest_pause: self.longest_pause,
            lasted: at.saturating_sub(self.began),
            stop: self.stop.unwrap_or(0),
        })
    }

    fn end(&mut self, now: Nanos, cause: Cause) {
        if self.ended.is_some() {
            return;
        }
        self.record_pause(now);
        self.longest_gap = self.longest_gap.max(self.stalled_for(now));
        self.ended = Some(StreamEnd { cause, at: now });
        self.reading = false;
    }

    fn record_pause(&mut self, now: Nanos) {
        if let Some(since) = self.paused_since {
            self.longest_pause = self.longest_pause.max(now.saturating_sub(since));
        }
    }

    /// Turns reading on or off, and with it the idle timeout of the replica.
    fn update_reading(&mut self, now: Nanos) {
        let high = self.limits.high_watermark.min(self.allowance);
        let low = self.limits.low_watermark.min(self.allowance / 2);
        let reading = match self.waiting {
            // An incomplete event on the replica's side needs more data; its size is bounded there.
            0 => true,
            _ if self.reading => self.buffered_bytes() < high,
            _ => self.buffered_bytes() <= low,
        };
        if reading != self.reading {
            self.reading = reading;
            if reading {
                self.idle_since = Some(now);
            } else {
                self.idle_before = self.stalled_for(now);
                self.idle_since = None;
            }
        }
    }

    /// How long the replica has been idle while it was read.
    fn stalled_for(&self, now: Nanos) -> Nanos {
        self.idle_before + self.idle_since.map_or(0, |since| now.saturating_sub(since))
    }

    /// When the replica's idle timeout expires; `None` while it is not read.
    fn idle_until(&self) -> Option<Nanos> {
        let limits = &self.limits;
        let flat = match (self.last_event, self.amid) {
            (true, _) => limits.last_chunk_timeout,
            (_, true) => limits.partial_event_timeout,
            _ => limits.idle_timeout,
        };
        let limit = match limits.pace {
            // Follows the longest gap of this stream; the flat limit stays the upper bound.
            Some(PaceLimit { factor, min_timeout }) => {
                nanos(flat).min(nanos(min_timeout).max((self.longest_gap as f64 * factor) as Nanos))
            }
            None => nanos(flat),
        };
        Some(self.idle_since?.saturating_add(limit.saturating_sub(self.idle_before)))
    }
}

impl End {
    /// The cause of the stream's end that it stands for.
    #[must_use]
    pub fn cause(self) -> Cause {
        match self {
            End::Complete => Cause::Complete,
            End::Disconnected => Cause::Disconnected,
            End::Malformed => Cause::Malformed,
            End::Failed => Cause::Failed,
        }
    }
}

fn nanos(span: std::time::Duration) -> Nanos {
    span.as_nanos().min(u128::from(Nanos::MAX)) as Nanos
}
