//! The engine's functions for streams: connects the modules of [`crate::stream`] with wakers, timers and the log.

use std::cell::Cell;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use async_io::Timer;
use futures_lite::Stream;

use super::core::Engine;
use super::participants::StreamInfo;
use crate::stream::{Account, Cause, EjectionChange, Outcome, Relay};
use crate::types::{Nanos, ReplicaId};

impl Engine {
    /// Sets the names of classes and tenants that log lines show.
    pub fn set_stream_labels(&self, classes: Vec<String>, tenants: Vec<String>) {
        let mut streams = self.streams.borrow_mut();
        (streams.class_names, streams.tenant_names) = (classes, tenants);
    }

    /// Starts the shutdown: streams that have not ended within this time are aborted.
    pub fn shut_down_streams(&self, within: Duration) {
        let mut streams = self.streams.borrow_mut();
        streams.shutdown_at = Some(self.now().saturating_add(within.as_nanos() as Nanos));
        streams.wake_all();
    }

    /// Sets the memory budget of all streams, in bytes.
    pub fn set_stream_budget(&self, bytes: usize) {
        self.streams.borrow_mut().budget.set_limit(bytes);
    }

    /// Logs the statistics of all streams.
    pub fn log_stream_statistics(&self) {
        let streams = self.streams.borrow();
        let name = |names: &[String], n: usize| names.get(n).cloned().unwrap_or_else(|| n.to_string());
        for summary in streams.statistics.summaries() {
            let of = |q: [u64; 3]| format!("{}/{}/{}", q[0], q[1], q[2]);
            log::info!(class = name(&streams.class_names, summary.class), cause = summary.cause.name(),
                count = summary.count, bytes = summary.bytes, events = summary.events,
                first_us = of(summary.time_to_first_event), gap_us = of(summary.longest_gap),
                pause_us = of(summary.longest_pause), stop_us = of(summary.release_delay),
                lasted_us = of(summary.duration);
                "stream-figures: since the start; median, 99th percentile and maximum");
        }
        log::info!(open = streams.budget.stream_count(), held = streams.budget.used(), most = streams.budget.peak();
            "stream-budget: bytes that streams buffer");
    }

    /// Ends ejections that are due, and logs the statistics at their interval; never returns.
    pub async fn maintain_streams(&self) {
        let mut log_at = None;
        loop {
            let now = self.now();
            let changes =
                self.streams.borrow_mut().outliers.as_mut().map_or(Vec::new(), |s| s.readmit(now));
            for change in &changes {
                if let EjectionChange::Readmit(id) = change {
                    log::info!(replica = &*id.0; "replica-readmitted: its ejection is over");
                }
                self.apply_ejection_change(change);
            }
            if let Some(every) = self.limits.statistics_interval {
                if log_at.is_some_and(|at| at <= now) {
                    self.log_stream_statistics();
                    log_at = None;
                }
                log_at.get_or_insert(now.saturating_add(every.as_nanos() as Nanos));
            }
            Timer::after(self.limits.check_interval).await;
            // The gateway sleeps this briefly even while it is idle, so the delay of this wake-up shows how late the
            // thread runs.
            self.record_lag(now.saturating_add(self.limits.check_interval.as_nanos() as Nanos), self.now());
        }
    }

    /// Records the end of a stream, and applies an ejection that follows from it.
    pub(super) fn record_stream_end(&self, info: &StreamInfo, replica: &ReplicaId, outcome: &Outcome) {
        let change = {
            let streams = &mut *self.streams.borrow_mut();
            streams.statistics.record(info.class, outcome);
            let level = match outcome.cause {
                Cause::Complete | Cause::ClientLeft | Cause::Cancelled | Cause::HandedOver => {
                    log::Level::Debug
                }
                _ => log::Level::Info,
            };
            if log::log_enabled!(level) {
                let millis = |n: Nanos| format!("{:.3}", n as f64 / 1e6);
                let none = String::from("-");
                log::log!(level, id = format!("{:016x}", info.id), replica = &*replica.0, cause = outcome.cause.name(),
                    side:? = outcome.cause.side(), class = streams.class_names.get(info.class).unwrap_or(&none),
                    tenant = info.tenant.and_then(|t| streams.tenant_names.get(t)).unwrap_or(&none),
                    bytes = outcome.bytes, events = outcome.events, first_ms = millis(outcome.time_to_first_event),
                    gap_ms = millis(outcome.longest_gap), pause_ms = millis(outcome.longest_pause),
                    lasted_ms = millis(outcome.duration), stop_ms = millis(outcome.release_delay);
                    "stream-ended: {}", describe(outcome.cause));
            }
            let now = self.now();
            streams.outliers.as_mut().and_then(|s| s.record_end(now, replica, outcome.cause))
        };
        if let Some(change) = change {
            log::warn!(replica = &*replica.0; "replica-ejected: too many of its streams failed");
            self.apply_ejection_change(&change);
        }
    }

    /// Records the end of a hedged attempt that was not forwarded.
    pub(super) fn record_hedged(&self, info: &StreamInfo, replica: &ReplicaId, hedge: &mut Relay) {
        let now = self.now();
        // A relay determines its outcome when it is polled.
        hedge.poll(now);
        hedge.connection_released(now);
        if let Some(outcome) = hedge.outcome() {
            self.record_stream_end(info, replica, &outcome);
        }
    }

    pub(super) fn register_stream(&self, is_assembled: bool) -> StreamRegistration {
        let account = self.streams.borrow_mut().budget.open(is_assembled);
        StreamRegistration { account, engine: self.clone(), has_seen_shutdown: Cell::new(false) }
    }
}

fn describe(cause: Cause) -> &'static str {
    match cause {
        Cause::Complete => "complete, and delivered completely",
        Cause::ClientLeft => "its client left",
        Cause::ReaderSlow => "its client read too slowly",
        Cause::Stalled => "its replica stalled",
        Cause::Disconnected => "its replica's connection ended",
        Cause::Malformed => "its replica's data can't be parsed",
        Cause::Failed => "its replica reported an error",
        Cause::Budget => "evicted because the memory budget ran short",
        Cause::TooLong => "it exceeds the buffer of one stream",
        Cause::Shutdown => "the process is shutting down",
        Cause::Cancelled => "another attempt serves the request",
        Cause::HandedOver => "the successor process continues it",
    }
}

/// A stream's registration with the engine: its account in the budget, its waker and its notifications. Ends on drop.
pub(super) struct StreamRegistration {
    account: Account,
    engine: Engine,
    /// Whether the stream has read the shutdown deadline.
    has_seen_shutdown: Cell<bool>,
}

impl StreamRegistration {
    /// Updates the stream's account; returns the bytes that it may buffer. Wakes streams that are evicted.
    pub(super) fn update(&self, buffered_bytes: usize, paused_since: Option<Nanos>) -> usize {
        let streams = &mut *self.engine.streams.borrow_mut();
        let left = streams.budget.update(self.account, buffered_bytes, paused_since);
        while let Some(account) = streams.budget.evict() {
            streams.evicted.insert(account);
            if let Some(waker) = streams.wakers.remove(&account) {
                waker.wake();
            }
        }
        left
    }

    /// Whether the stream is to be evicted; clears the request.
    pub(super) fn take_eviction(&self) -> bool {
        self.engine.streams.borrow_mut().evicted.remove(&self.account)
    }

    /// The shutdown deadline, if the shutdown has started.
    pub(super) fn shutdown_at(&self) -> Option<Nanos> {
        let at = self.engine.streams.borrow().shutdown_at;
        self.has_seen_shutdown.set(at.is_some());
        at
    }

    /// Ready when the stream is to be evicted, or has not read the shutdown deadline yet.
    pub(super) fn poll_notified(&self, cx: &Context<'_>) -> Poll<()> {
        let streams = &mut *self.engine.streams.borrow_mut();
        // Checks the state and not just the wake-up: a task that is woken without an event continues to wait.
        if streams.evicted.contains(&self.account)
            || streams.shutdown_at.is_some() && !self.has_seen_shutdown.get()
        {
            return Poll::Ready(());
        }
        match streams.wakers.get_mut(&self.account) {
            Some(waker) => waker.clone_from(cx.waker()),
            None => drop(streams.wakers.insert(self.account, cx.waker().clone())),
        }
        Poll::Pending
    }
}

impl Drop for StreamRegistration {
    fn drop(&mut self) {
        let streams = &mut *self.engine.streams.borrow_mut();
        streams.budget.close(self.account);
        streams.wakers.remove(&self.account);
        streams.evicted.remove(&self.account);
    }
}

/// The timer of a stream. A deadline that moves to a later time doesn't reset the timer; the timer is set again when
/// it fires early.
pub(super) struct StreamTimer {
    timer: Timer,
    fires_at: Nanos,
}

impl StreamTimer {
    pub(super) fn new() -> StreamTimer {
        StreamTimer { timer: Timer::never(), fires_at: Nanos::MAX }
    }

    /// Ready once `due` is reached.
    pub(super) fn poll(&mut self, cx: &mut Context<'_>, engine: &Engine, due: Option<Nanos>) -> Poll<()> {
        let Some(due) = due else { return Poll::Pending };
        if due < self.fires_at {
            self.set(engine, due);
        }
        loop {
            if Pin::new(&mut self.timer).poll_next(cx).is_pending() {
                return Poll::Pending;
            }
            if engine.now() >= due {
                self.fires_at = Nanos::MAX;
                return Poll::Ready(());
            }
            self.set(engine, due);
        }
    }

    fn set(&mut self, engine: &Engine, due: Nanos) {
        self.fires_at = due;
        self.timer.set_after(Duration::from_nanos(due.saturating_sub(engine.now())));
    }
}
