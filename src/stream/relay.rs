//! The life of one stream that is passed on, from its first event to its one end.
//!
//! Bytes come from a real server, wait here, and are taken by a client. Three clocks run, each only while its
//! owner has something to do: the server's silence while the gateway reads, the reader's patience while bytes
//! wait, and the stop's deadline once the program is stopping.

use super::outcome::{Cause, Outcome};
use crate::limits::StreamLimits;
use crate::types::Nanos;

/// Where a stream stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Begun, and nothing taken by the client yet.
    Opening,
    /// Bytes come and go.
    Flowing,
    /// The window is full, so nothing is read: the reader is waited for.
    ReaderPaused,
    /// All that came was taken, and nothing more has come yet.
    ServerSilent,
    /// A part of an event or of its framing is there, the rest is not.
    AmidEvent,
    /// The real server has done its part, whole or not; the client still takes what waits.
    Finishing,
    /// It has its outcome.
    Ended,
}

/// What the holder of a stream is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayAction {
    /// Go on, until something happens or the timer is due.
    Wait,
    /// End it as a whole stream: all is taken.
    Finish,
    /// End it without the last chunk.
    Cut,
    /// Offer it to the process that follows this one.
    Offer,
}

/// How a real server's side ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum End {
    /// With its last chunk.
    Whole,
    /// Its connection ended before.
    #[default]
    Broke,
    /// With what can't be read.
    Spoilt,
    /// With an event that says so.
    Failed,
}

/// How a client left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leaving {
    /// It ended its sending, by a close or by half of one: from here they look the same, and it asked that
    /// its request be given up either way.
    Ended,
    /// Its connection was reset.
    Reset,
}

/// How long a real server may be silent, learnt from how it has been.
#[derive(Clone, Copy, Debug)]
struct Pace {
    longest: Nanos,
}

/// The state machine that relays one stream, from its first event to its one end.
#[derive(Clone, Debug)]
pub struct Relay {
    limits: StreamLimits,
    began: Nanos,
    first: Nanos,
    bytes: u64,
    events: u64,
    /// Bytes that wait at the real server's side: amid a chunk or an event.
    inward: usize,
    /// Bytes that wait for the client.
    waiting: usize,
    taken: u64,
    /// What the budget leaves it.
    allowance: usize,
    reading: bool,
    /// Nothing waits for the client before the end: the answer is put together at the server's side.
    gathers: bool,
    /// Silence that was counted before the present stretch of reading.
    silent: Nanos,
    /// Since when the present silence or stretch of reading runs; none while it is not read.
    silent_since: Option<Nanos>,
    amid: bool,
    last_event: bool,
    pace: Pace,
    longest_gap: Nanos,
    /// The reader's span: when it began, and what it has taken since; none while nothing waits.
    span: Option<(Nanos, usize)>,
    /// Since when the reader has taken nothing though bytes wait.
    paused_since: Option<Nanos>,
    longest_pause: Nanos,
    server_end: Option<End>,
    stop_at: Option<Nanos>,
    /// When it is offered to another process; none: it is not, or not any more.
    offer_at: Option<Nanos>,
    /// Until when the client may take what is left of a broken stream.
    linger_until: Option<Nanos>,
    ended: Option<(Cause, Nanos)>,
    stop: Option<Nanos>,
}

impl Relay {
    /// A stream whose first event has come `first` after its scheduling began.
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
            gathers: false,
            silent: 0,
            silent_since: Some(now),
            amid: false,
            last_event: false,
            pace: Pace { longest: 0 },
            longest_gap: 0,
            span: None,
            paused_since: None,
            longest_pause: 0,
            server_end: None,
            stop_at: None,
            offer_at: None,
            linger_until: None,
            ended: None,
            stop: None,
        }
    }

    /// Bytes came from the real server, and with them so many whole events. `inward` is what waits at its side
    /// now; `amid` says that something is there in part, `last` that the dialect's last event has come.
    pub fn arrived(
        &mut self,
        now: Nanos,
        bytes: usize,
        events: u64,
        inward: usize,
        amid: bool,
        last: bool,
    ) {
        if self.ended.is_some() || self.server_end.is_some() {
            return;
        }
        let gap = self.silence(now);
        self.longest_gap = self.longest_gap.max(gap);
        self.pace.longest = self.pace.longest.max(gap);
        (self.silent, self.silent_since) = (0, self.reading.then_some(now));
        self.bytes += bytes as u64;
        self.events += events;
        (self.inward, self.amid) = (inward, amid);
        self.last_event |= last;
        self.turn(now);
    }

    /// So many bytes more wait for the client.
    pub fn queued(&mut self, now: Nanos, bytes: usize) {
        if bytes == 0 || self.ended.is_some() {
            return;
        }
        if self.waiting == 0 {
            (self.span, self.paused_since) = (Some((now, 0)), Some(now));
        }
        self.waiting += bytes;
        self.turn(now);
    }

    /// The client took so many bytes.
    pub fn took(&mut self, now: Nanos, bytes: usize) {
        if bytes == 0 || self.ended.is_some() {
            return;
        }
        self.note_pause(now);
        self.waiting = self.waiting.saturating_sub(bytes);
        self.taken += bytes as u64;
        if self.waiting == 0 {
            (self.span, self.paused_since) = (None, None);
        } else {
            self.paused_since = Some(now);
            if let Some((_, taken)) = &mut self.span {
                *taken += bytes;
            }
        }
        self.turn(now);
    }

    /// The budget leaves this stream so many bytes.
    pub fn allow(&mut self, now: Nanos, bytes: usize) {
        self.allowance = bytes;
        self.turn(now);
    }

    /// The real server's side has ended.
    pub fn server_ended(&mut self, now: Nanos, end: End) {
        if self.ended.is_some() || self.server_end.is_some() {
            return;
        }
        self.longest_gap = self.longest_gap.max(self.silence(now));
        self.server_end = Some(end);
        (self.inward, self.amid) = (0, false);
        self.stop = Some(0);
        if end != End::Whole {
            self.linger_until = Some(now.saturating_add(nanos(self.limits.linger)));
        }
        self.turn(now);
    }

    /// The client has left.
    pub fn left(&mut self, now: Nanos, _: Leaving) {
        self.end(now, Cause::ClientLeft);
    }

    /// The module has called it off.
    pub fn cancel(&mut self, now: Nanos) {
        self.end(now, Cause::Cancelled);
    }

    /// Others need the memory that it holds.
    pub fn evict(&mut self, now: Nanos) {
        // What has nothing waiting has nothing to give.
        if self.waiting > 0 || self.gathers && self.inward > 0 {
            self.end(now, Cause::Budget);
        }
    }

    /// The answer is put together before any of it waits for the client.
    pub fn gathers(&mut self) {
        self.gathers = true;
    }

    /// More of it would have to be held than may be.
    pub fn too_long(&mut self, now: Nanos) {
        self.end(now, Cause::TooLong);
    }

    /// The program is stopping: what has not ended by then is cut. A while before, it is offered to the process
    /// that follows.
    pub fn stop_at(&mut self, at: Nanos) {
        if self.stop_at.is_none_or(|before| at < before) {
            self.stop_at = Some(at);
            self.offer_at = Some(at.saturating_sub(nanos(self.limits.offer_before)));
        }
    }

    /// Nobody took it over; it is offered again soon.
    pub fn refused(&mut self, now: Nanos) {
        self.offer_at = Some(now.saturating_add(nanos(self.limits.offer_again)));
    }

    /// Another process goes on with it.
    pub fn handed_over(&mut self, now: Nanos) {
        self.end(now, Cause::HandedOver);
    }

    /// What is to be done now; called after anything happened and when the timer is due.
    pub fn poll(&mut self, now: Nanos) -> RelayAction {
        if self.ended.is_none() {
            self.judge(now);
        }
        match self.ended {
            None if self.server_end.is_none() && self.is_over(now, self.offer_at) => RelayAction::Offer,
            None => RelayAction::Wait,
            Some((Cause::Whole, _)) => RelayAction::Finish,
            Some(_) => RelayAction::Cut,
        }
    }

    fn judge(&mut self, now: Nanos) {
        match self.server_end {
            Some(end) if self.waiting == 0 || end != End::Whole && self.is_over(now, self.linger_until) => {
                return self.end(now, end.cause());
            }
            Some(_) => {}
            None if self.is_over(now, self.silent_until()) => return self.end(now, Cause::Stalled),
            None => {}
        }
        if let Some((from, taken)) = self.span
            && now >= from.saturating_add(nanos(self.limits.reader_span))
        {
            if taken < self.limits.reader_floor {
                return self.end(now, Cause::ReaderSlow);
            }
            self.span = Some((now, 0));
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
        let span = self.span.map(|(from, _)| from.saturating_add(nanos(self.limits.reader_span)));
        let (silence, offer) =
            if self.server_end.is_none() { (self.silent_until(), self.offer_at) } else { (None, None) };
        [span, silence, offer, self.stop_at, self.linger_until].into_iter().flatten().min()
    }

    /// Whether more is to be read from the real server.
    #[must_use]
    pub fn reads(&self) -> bool {
        self.reading && self.server_end.is_none() && self.ended.is_none()
    }

    /// Bytes that it holds.
    #[must_use]
    pub fn held(&self) -> usize {
        self.inward + self.waiting
    }

    /// Bytes that wait for the client.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Whether the real server's side has come to its end, whole or not.
    #[must_use]
    pub fn server_has_ended(&self) -> bool {
        self.server_end.is_some()
    }

    /// Since when its reader has taken nothing though bytes wait.
    #[must_use]
    pub fn paused_since(&self) -> Option<Nanos> {
        self.paused_since
    }

    /// Where it stands.
    #[must_use]
    pub fn phase(&self) -> Phase {
        match () {
            () if self.ended.is_some() => Phase::Ended,
            () if self.server_end.is_some() => Phase::Finishing,
            () if !self.reading => Phase::ReaderPaused,
            () if self.amid => Phase::AmidEvent,
            () if self.taken == 0 => Phase::Opening,
            () if self.waiting == 0 => Phase::ServerSilent,
            () => Phase::Flowing,
        }
    }

    /// The real server's connection is free or closed now.
    pub fn stopped(&mut self, now: Nanos) {
        if let (Some((_, at)), None) = (self.ended, self.stop) {
            self.stop = Some(now.saturating_sub(at));
        }
    }

    /// The record, once it has ended.
    #[must_use]
    pub fn outcome(&self) -> Option<Outcome> {
        let (cause, at) = self.ended?;
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
        self.note_pause(now);
        self.longest_gap = self.longest_gap.max(self.silence(now));
        self.ended = Some((cause, now));
        self.reading = false;
    }

    fn note_pause(&mut self, now: Nanos) {
        if let Some(since) = self.paused_since {
            self.longest_pause = self.longest_pause.max(now.saturating_sub(since));
        }
    }

    /// Turns reading on or off, and with it the clock of the server's silence.
    fn turn(&mut self, now: Nanos) {
        let high = self.limits.high.min(self.allowance);
        let low = self.limits.low.min(self.allowance / 2);
        let reading = match self.waiting {
            // Whatever lies at the server's side is of no use before more has come; it is bounded there.
            0 => true,
            _ if self.reading => self.held() < high,
            _ => self.held() <= low,
        };
        if reading != self.reading {
            self.reading = reading;
            if reading {
                self.silent_since = Some(now);
            } else {
                self.silent = self.silence(now);
                self.silent_since = None;
            }
        }
    }

    /// For how long the real server has been silent while it was read.
    fn silence(&self, now: Nanos) -> Nanos {
        self.silent + self.silent_since.map_or(0, |since| now.saturating_sub(since))
    }

    /// When the real server's silence will have been too long; none while nothing is read.
    fn silent_until(&self) -> Option<Nanos> {
        let limits = &self.limits;
        let flat = match (self.last_event, self.amid) {
            (true, _) => limits.tail,
            (_, true) => limits.stall,
            _ => limits.silence,
        };
        let limit = match limits.pace {
            // Follows the longest silence that this stream came back from; the flat limit stays the longest.
            Some((factor, least)) => {
                nanos(flat).min(nanos(least).max((self.pace.longest as f64 * factor) as Nanos))
            }
            None => nanos(flat),
        };
        Some(self.silent_since?.saturating_add(limit.saturating_sub(self.silent)))
    }
}

impl End {
    /// The cause that it is for the stream.
    #[must_use]
    pub fn cause(self) -> Cause {
        match self {
            End::Whole => Cause::Whole,
            End::Broke => Cause::Broke,
            End::Spoilt => Cause::Spoilt,
            End::Failed => Cause::Failed,
        }
    }
}

fn nanos(span: std::time::Duration) -> Nanos {
    span.as_nanos().min(u128::from(Nanos::MAX)) as Nanos
}
