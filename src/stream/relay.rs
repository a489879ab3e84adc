//! The state machine of one forwarded stream, from its first event to its end.
//!
//! Bytes arrive from a replica, are buffered here and are read by a client. Three timers run, each only while it
//! applies: the replica's idle timeout while the gateway reads, the reader's minimum rate while bytes are pending,
//! and the shutdown deadline once the process is stopping.

use super::outcome::{Cause, Outcome};
use crate::limits::{PaceLimit, StreamLimits};
use crate::types::Nanos;

/// The phase of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Started; the client has read nothing yet.
    Opening,
    /// Data is forwarded.
    Flowing,
    /// The buffer is full, so the replica is not read until the client reads.
    ReaderPaused,
    /// The client has read all received data; the replica has not sent more yet.
    ReplicaIdle,
    /// An event or its framing is incomplete.
    PartialEvent,
    /// The replica's side has ended; the client still reads the buffered bytes.
    Finishing,
    /// The stream has its outcome.
    Ended,
}

/// The next action of a stream's owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayAction {
    /// Wait for the next event or timer.
    Wait,
    /// End the stream as complete: the client has read all bytes.
    Finish,
    /// End the stream as incomplete, without the last chunk.
    Abort,
    /// Offer the stream to the successor process.
    OfferHandover,
}

/// How a replica's side ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum End {
    /// The last chunk arrived.
    Complete,
    /// The replica's connection ended before the last chunk.
    #[default]
    Disconnected,
    /// The replica sent data that can't be parsed.
    Malformed,
    /// The replica sent an error event.
    Failed,
}

/// How a client left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disconnect {
    /// The client closed its connection, or its sending half: both look the same here and both cancel the request.
    Closed,
    /// The client's connection was reset or failed otherwise, or the client sent too much pipelined data.
    Reset,
}

/// Data of a stream that arrived together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Arrival {
    /// Number of bytes.
    pub bytes: usize,
    /// Number of complete events.
    pub events: u64,
    /// Bytes of an incomplete chunk or event that are buffered on the replica's side.
    pub replica_buffered: usize,
    /// Whether a chunk or an event is incomplete.
    pub is_partial: bool,
    /// Whether the dialect's last event has arrived.
    pub is_last: bool,
}

/// The interval over which a reader's rate is measured.
#[derive(Clone, Copy, Debug)]
struct ReaderInterval {
    started_at: Nanos,
    bytes_read: usize,
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
    started_at: Nanos,
    time_to_first_event: Nanos,
    bytes: u64,
    events: u64,
    /// Bytes that are buffered on the replica's side: an incomplete chunk or event.
    replica_buffered: usize,
    /// Bytes that are buffered for the client.
    client_queued: usize,
    bytes_read: u64,
    /// Bytes that the memory budget allows.
    allowance: usize,
    reading: bool,
    /// Whether the response is assembled before it is sent, so that nothing is queued for the client until its end.
    is_assembled: bool,
    /// Idle time that was counted before reading was last paused.
    idle_before: Nanos,
    /// Start of the current idle time; `None` while the replica is not read.
    idle_since: Option<Nanos>,
    is_partial: bool,
    has_last_event: bool,
    longest_gap: Nanos,
    /// The current interval of the client's read rate; `None` while nothing is queued.
    reader_interval: Option<ReaderInterval>,
    /// Since when the client has read nothing of the queued bytes.
    paused_since: Option<Nanos>,
    longest_pause: Nanos,
    replica_end: Option<End>,
    shutdown_at: Option<Nanos>,
    /// When the stream is offered to the successor process.
    offer_at: Option<Nanos>,
    /// Until when the client may read the rest of a broken stream.
    linger_until: Option<Nanos>,
    end: Option<StreamEnd>,
    release_delay: Option<Nanos>,
}

impl Relay {
    /// Starts a stream whose first event arrived `time_to_first_event` nanoseconds after its attempt began.
    #[must_use]
    pub fn new(now: Nanos, time_to_first_event: Nanos, limits: &StreamLimits) -> Relay {
        Relay {
            limits: limits.clone(),
            started_at: now,
            time_to_first_event,
            bytes: 0,
            events: 0,
            replica_buffered: 0,
            client_queued: 0,
            bytes_read: 0,
            allowance: usize::MAX,
            reading: true,
            is_assembled: false,
            idle_before: 0,
            idle_since: Some(now),
            is_partial: false,
            has_last_event: false,
            longest_gap: 0,
            reader_interval: None,
            paused_since: None,
            longest_pause: 0,
            replica_end: None,
            shutdown_at: None,
            offer_at: None,
            linger_until: None,
            end: None,
            release_delay: None,
        }
    }

    /// Records data from the replica.
    pub fn record_arrival(&mut self, now: Nanos, arrival: &Arrival) {
        if self.end.is_some() || self.replica_end.is_some() {
            return;
        }
        let gap = self.idle_time(now);
        self.longest_gap = self.longest_gap.max(gap);
        self.idle_before = 0;
        self.idle_since = self.reading.then_some(now);
        self.bytes += arrival.bytes as u64;
        self.events += arrival.events;
        self.replica_buffered = arrival.replica_buffered;
        self.is_partial = arrival.is_partial;
        self.has_last_event |= arrival.is_last;
        self.update_reading(now);
    }

    /// Records bytes that were queued for the client.
    pub fn record_queued(&mut self, now: Nanos, bytes: usize) {
        if bytes == 0 || self.end.is_some() {
            return;
        }
        if self.client_queued == 0 {
            self.reader_interval = Some(ReaderInterval { started_at: now, bytes_read: 0 });
            self.paused_since = Some(now);
        }
        self.client_queued += bytes;
        self.update_reading(now);
    }

    /// Records bytes that the client has read.
    pub fn record_taken(&mut self, now: Nanos, bytes: usize) {
        if bytes == 0 || self.end.is_some() {
            return;
        }
        self.record_pause(now);
        self.client_queued = self.client_queued.saturating_sub(bytes);
        self.bytes_read += bytes as u64;
        if self.client_queued == 0 {
            (self.reader_interval, self.paused_since) = (None, None);
        } else {
            self.paused_since = Some(now);
            if let Some(interval) = &mut self.reader_interval {
                interval.bytes_read += bytes;
            }
        }
        self.update_reading(now);
    }

    /// Sets how many bytes the memory budget allows this stream.
    pub fn set_allowance(&mut self, now: Nanos, bytes: usize) {
        self.allowance = bytes;
        self.update_reading(now);
    }

    /// Records the end of the replica's side.
    pub fn replica_ended(&mut self, now: Nanos, end: End) {
        if self.end.is_some() || self.replica_end.is_some() {
            return;
        }
        self.longest_gap = self.longest_gap.max(self.idle_time(now));
        self.replica_end = Some(end);
        (self.replica_buffered, self.is_partial) = (0, false);
        self.release_delay = Some(0);
        if end != End::Complete {
            self.linger_until = Some(now.saturating_add(nanos(self.limits.linger)));
        }
        self.update_reading(now);
    }

    /// Ends the stream: the client has left.
    pub fn client_left(&mut self, now: Nanos, _: Disconnect) {
        self.finish(now, Cause::ClientLeft);
    }

    /// Ends the stream: the load balancer has cancelled it.
    pub fn cancel(&mut self, now: Nanos) {
        self.finish(now, Cause::Cancelled);
    }

    /// Ends the stream to free its memory, if it buffers any.
    pub fn evict(&mut self, now: Nanos) {
        if self.client_queued > 0 || self.is_assembled && self.replica_buffered > 0 {
            self.finish(now, Cause::Budget);
        }
    }

    /// Marks the response as one that is assembled before it is sent.
    pub fn set_assembled(&mut self) {
        self.is_assembled = true;
    }

    /// Ends the stream: it exceeds the buffer of one stream.
    pub fn buffer_exceeded(&mut self, now: Nanos) {
        self.finish(now, Cause::TooLong);
    }

    /// Sets the deadline at which the stream is aborted. Some time before, it is offered to the successor process.
    pub fn set_shutdown_deadline(&mut self, at: Nanos) {
        if self.shutdown_at.is_none_or(|before| at < before) {
            self.shutdown_at = Some(at);
            self.offer_at = Some(at.saturating_sub(nanos(self.limits.handover_lead_time)));
        }
    }

    /// Records that no process took the stream over; it is offered again soon.
    pub fn handover_refused(&mut self, now: Nanos) {
        self.offer_at = Some(now.saturating_add(nanos(self.limits.handover_retry_interval)));
    }

    /// Ends the stream here: the successor process continues it.
    pub fn handed_over(&mut self, now: Nanos) {
        self.finish(now, Cause::HandedOver);
    }

    /// Returns what to do now. Must be called after each event and at the time of [`Relay::due`].
    pub fn poll(&mut self, now: Nanos) -> RelayAction {
        if self.end.is_none() {
            self.apply_timeouts(now);
        }
        match self.end.map(|end| end.cause) {
            None if self.replica_end.is_none() && self.has_passed(now, self.offer_at) => {
                RelayAction::OfferHandover
            }
            None => RelayAction::Wait,
            Some(Cause::Complete) => RelayAction::Finish,
            Some(_) => RelayAction::Abort,
        }
    }

    fn apply_timeouts(&mut self, now: Nanos) {
        match self.replica_end {
            Some(end)
                if self.client_queued == 0
                    || end != End::Complete && self.has_passed(now, self.linger_until) =>
            {
                return self.finish(now, end.cause());
            }
            Some(_) => {}
            None if self.has_passed(now, self.idle_deadline()) => return self.finish(now, Cause::Stalled),
            None => {}
        }
        if let Some(interval) = self.reader_interval
            && now >= interval.started_at.saturating_add(nanos(self.limits.reader_interval))
        {
            if interval.bytes_read < self.limits.reader_min_bytes {
                return self.finish(now, Cause::ReaderSlow);
            }
            self.reader_interval = Some(ReaderInterval { started_at: now, bytes_read: 0 });
        }
        if self.has_passed(now, self.shutdown_at) {
            self.finish(now, Cause::Shutdown);
        }
    }

    fn has_passed(&self, now: Nanos, at: Option<Nanos>) -> bool {
        at.is_some_and(|at| now >= at)
    }

    /// The latest time for the next call of [`Relay::poll`].
    #[must_use]
    pub fn due(&self) -> Option<Nanos> {
        if self.end.is_some() {
            return None;
        }
        let reader = self
            .reader_interval
            .map(|interval| interval.started_at.saturating_add(nanos(self.limits.reader_interval)));
        let (idle, offer) =
            if self.replica_end.is_none() { (self.idle_deadline(), self.offer_at) } else { (None, None) };
        [reader, idle, offer, self.shutdown_at, self.linger_until].into_iter().flatten().min()
    }

    /// Whether the replica is to be read.
    #[must_use]
    pub fn wants_read(&self) -> bool {
        self.reading && self.replica_end.is_none() && self.end.is_none()
    }

    /// Number of bytes that are buffered on both sides.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.replica_buffered + self.client_queued
    }

    /// Bytes that are buffered for the client.
    #[must_use]
    pub fn client_queued(&self) -> usize {
        self.client_queued
    }

    /// Whether the replica's side has ended, complete or not.
    #[must_use]
    pub fn replica_has_ended(&self) -> bool {
        self.replica_end.is_some()
    }

    /// Since when the client has read nothing of the queued bytes.
    #[must_use]
    pub fn paused_since(&self) -> Option<Nanos> {
        self.paused_since
    }

    /// The current phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        match () {
            () if self.end.is_some() => Phase::Ended,
            () if self.replica_end.is_some() => Phase::Finishing,
            () if !self.reading => Phase::ReaderPaused,
            () if self.is_partial => Phase::PartialEvent,
            () if self.bytes_read == 0 => Phase::Opening,
            () if self.client_queued == 0 => Phase::ReplicaIdle,
            () => Phase::Flowing,
        }
    }

    /// Records that the replica's connection is released or closed.
    pub fn connection_released(&mut self, now: Nanos) {
        if let (Some(end), None) = (self.end, self.release_delay) {
            self.release_delay = Some(now.saturating_sub(end.at));
        }
    }

    /// The record of the stream, once it has ended.
    #[must_use]
    pub fn outcome(&self) -> Option<Outcome> {
        let StreamEnd { cause, at } = self.end?;
        Some(Outcome {
            cause,
            bytes: self.bytes,
            events: self.events,
            time_to_first_event: self.time_to_first_event,
            longest_gap: self.longest_gap,
            longest_pause: self.longest_pause,
            duration: at.saturating_sub(self.started_at),
            release_delay: self.release_delay.unwrap_or(0),
        })
    }

    fn finish(&mut self, now: Nanos, cause: Cause) {
        if self.end.is_some() {
            return;
        }
        self.record_pause(now);
        self.longest_gap = self.longest_gap.max(self.idle_time(now));
        self.end = Some(StreamEnd { cause, at: now });
        self.reading = false;
    }

    fn record_pause(&mut self, now: Nanos) {
        if let Some(since) = self.paused_since {
            self.longest_pause = self.longest_pause.max(now.saturating_sub(since));
        }
    }

    /// Starts or pauses reading, and the replica's idle timeout with it.
    fn update_reading(&mut self, now: Nanos) {
        let high = self.limits.high_watermark.min(self.allowance);
        let low = self.limits.low_watermark.min(self.allowance / 2);
        let reading = match self.client_queued {
            // With nothing queued, an incomplete event may need more data; its size is limited on the replica's side.
            0 => true,
            _ if self.reading => self.buffered_bytes() < high,
            _ => self.buffered_bytes() <= low,
        };
        if reading != self.reading {
            self.reading = reading;
            if reading {
                self.idle_since = Some(now);
            } else {
                self.idle_before = self.idle_time(now);
                self.idle_since = None;
            }
        }
    }

    /// How long the replica has been idle while it was read.
    fn idle_time(&self, now: Nanos) -> Nanos {
        self.idle_before + self.idle_since.map_or(0, |since| now.saturating_sub(since))
    }

    /// When the replica's idle timeout expires; `None` while it is not read.
    fn idle_deadline(&self) -> Option<Nanos> {
        let limits = &self.limits;
        let fixed = match (self.has_last_event, self.is_partial) {
            (true, _) => limits.last_chunk_timeout,
            (_, true) => limits.partial_event_timeout,
            _ => limits.idle_timeout,
        };
        let limit = match limits.pace {
            // Adapts to the longest gap of this stream; the fixed timeout remains the maximum.
            Some(PaceLimit { factor, min_timeout }) => {
                nanos(fixed).min(nanos(min_timeout).max((self.longest_gap as f64 * factor) as Nanos))
            }
            None => nanos(fixed),
        };
        Some(self.idle_since?.saturating_add(limit.saturating_sub(self.idle_before)))
    }
}

impl End {
    /// The cause of a stream that ends like this on the replica's side.
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

fn nanos(duration: std::time::Duration) -> Nanos {
    duration.as_nanos().min(u128::from(Nanos::MAX)) as Nanos
}
