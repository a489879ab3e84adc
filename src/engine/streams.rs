//! Streams within the engine: their statistics, and the wakers and timers around the modules of [`crate::stream`].

use std::cell::Cell;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use async_io::Timer;
use futures_lite::Stream;

use super::core::Engine;
use super::participants::BegunStream;
use crate::stream::{Account, Cause, Change, Outcome, Relay};
use crate::types::{Nanos, ReplicaId};

impl Engine {
    /// Sets the names of classes and tenants for log lines.
    pub fn name_streams(&self, classes: Vec<String>, tenants: Vec<String>) {
        let mut streams = self.streams.borrow_mut();
        (streams.classes, streams.tenants) = (classes, tenants);
    }

    /// Starts the shutdown: streams that have not ended within this time are cut.
    pub fn stop_streams(&self, within: Duration) {
        let mut streams = self.streams.borrow_mut();
        streams.stop_at = Some(self.now().saturating_add(within.as_nanos() as Nanos));
        streams.wake_all();
    }

    /// Sets the memory budget of all streams, in bytes.
    pub fn budget_streams(&self, bytes: usize) {
        self.streams.borrow_mut().budget.set_limit(bytes);
    }

    /// Logs the statistics of all streams.
    pub fn log_figures(&self) {
        let streams = self.streams.borrow();
        let name = |names: &[String], n: usize| names.get(n).cloned().unwrap_or_else(|| n.to_string());
        for f in streams.statistics.figures() {
            let of = |q: [u64; 3]| format!("{}/{}/{}", q[0], q[1], q[2]);
            log::info!(class = name(&streams.classes, f.class), cause = f.cause.name(), count = f.count,
                bytes = f.bytes, events = f.events, first_us = of(f.first), gap_us = of(f.gap),
                pause_us = of(f.pause), stop_us = of(f.stop), lasted_us = of(f.lasted);
                "stream-figures: since the start; median, 99th percentile and longest");
        }
        log::info!(open = streams.budget.streams(), held = streams.budget.used(), most = streams.budget.peak();
            "stream-budget: bytes that streams hold");
    }

    /// Ends ejections, and logs the statistics at their interval; never returns.
    pub async fn run_streams(&self) {
        let mut figures_at = None;
        loop {
            let now = self.now();
            let back = self.streams.borrow_mut().outliers.as_mut().map_or(Vec::new(), |s| s.readmit(now));
            for change in &back {
                if let Change::Readmit(id) = change {
                    log::info!(replica = &*id.0; "replica-readmitted: its ejection is over");
                }
                self.apply_standing(change);
            }
            if let Some(every) = self.limits.statistics_interval {
                if figures_at.is_some_and(|at| at <= now) {
                    self.log_figures();
                    figures_at = None;
                }
                figures_at.get_or_insert(now.saturating_add(every.as_nanos() as Nanos));
            }
            Timer::after(self.limits.check_interval).await;
            // This sleep is short even while the gateway is idle, so it shows how late the thread runs.
            self.record_lag(now.saturating_add(self.limits.check_interval.as_nanos() as Nanos), self.now());
        }
    }

    /// Records the end of a stream, and applies an ejection that follows from it.
    pub(super) fn record(&self, begun: &BegunStream, replica: &ReplicaId, outcome: &Outcome) {
        let change = {
            let streams = &mut *self.streams.borrow_mut();
            streams.statistics.record(begun.class, outcome);
            let level = match outcome.cause {
                Cause::Complete | Cause::ClientLeft | Cause::Cancelled | Cause::HandedOver => {
                    log::Level::Debug
                }
                _ => log::Level::Info,
            };
            if log::log_enabled!(level) {
                let millis = |n: Nanos| format!("{:.3}", n as f64 / 1e6);
                let none = String::from("-");
                log::log!(level, id = format!("{:016x}", begun.id), replica = &*replica.0, cause = outcome.cause.name(),
                    side:? = outcome.cause.side(), class = streams.classes.get(begun.class).unwrap_or(&none),
                    tenant = begun.tenant.and_then(|t| streams.tenants.get(t)).unwrap_or(&none),
                    bytes = outcome.bytes, events = outcome.events, first_ms = millis(outcome.first),
                    gap_ms = millis(outcome.longest_gap), pause_ms = millis(outcome.longest_pause),
                    lasted_ms = millis(outcome.lasted), stop_ms = millis(outcome.stop);
                    "stream-ended: {}", description(outcome.cause));
            }
            let now = self.now();
            streams.outliers.as_mut().and_then(|s| s.ended(now, replica, outcome.cause))
        };
        if let Some(change) = change {
            log::warn!(replica = &*replica.0; "replica-ejected: too many of its streams ended badly");
            self.apply_standing(&change);
        }
    }

    /// Records the end of a hedged attempt beside the forwarded stream.
    pub(super) fn record_hedged(&self, begun: &BegunStream, replica: &ReplicaId, copy: &mut Relay) {
        let now = self.now();
        // A relay determines its outcome when it is polled.
        copy.poll(now);
        copy.stopped(now);
        if let Some(outcome) = copy.outcome() {
            self.record(begun, replica, &outcome);
        }
    }

    pub(super) fn ticket(&self, is_assembled: bool) -> Ticket {
        let account = self.streams.borrow_mut().budget.open(is_assembled);
        Ticket { account, engine: self.clone(), knows_of_stop: Cell::new(false) }
    }
}

fn description(cause: Cause) -> &'static str {
    match cause {
        Cause::Complete => "complete, and taken completely",
        Cause::ClientLeft => "its client left",
        Cause::ReaderSlow => "its client took too little",
        Cause::Stalled => "its replica stalled",
        Cause::Disconnected => "its replica's connection ended",
        Cause::Malformed => "its replica's data can't be parsed",
        Cause::Failed => "its replica reported an error",
        Cause::Budget => "evicted for want of memory",
        Cause::TooLong => "it exceeds the buffer",
        Cause::Shutdown => "the program is stopping",
        Cause::Cancelled => "another attempt serves the request",
        Cause::HandedOver => "the successor process continues it",
    }
}

/// A stream's account in the budget, closed when it is dropped.
pub(super) struct Ticket {
    account: Account,
    engine: Engine,
    /// The stream knows of the shutdown.
    knows_of_stop: Cell<bool>,
}

impl Ticket {
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

    /// Whether the stream is to be evicted.
    pub(super) fn evicted(&self) -> bool {
        self.engine.streams.borrow_mut().evicted.remove(&self.account)
    }

    /// The shutdown deadline, if the shutdown has started.
    pub(super) fn stop_at(&self) -> Option<Nanos> {
        let at = self.engine.streams.borrow().stop_at;
        self.knows_of_stop.set(at.is_some());
        at
    }

    /// Ready when the stream is to be evicted, or does not know of the shutdown yet.
    pub(super) fn poll_called(&self, cx: &Context<'_>) -> Poll<()> {
        let streams = &mut *self.engine.streams.borrow_mut();
        // A wake-up alone does not end the waiting of a stream without other events.
        if streams.evicted.contains(&self.account) || streams.stop_at.is_some() && !self.knows_of_stop.get()
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

impl Drop for Ticket {
    fn drop(&mut self) {
        let streams = &mut *self.engine.streams.borrow_mut();
        streams.budget.close(self.account);
        streams.wakers.remove(&self.account);
        streams.evicted.remove(&self.account);
    }
}

/// The timer of a stream. A deadline that moves on does not reset it; it is compared again when the timer fires.
pub(super) struct Alarm {
    timer: Timer,
    at: Nanos,
}

impl Alarm {
    pub(super) fn new() -> Alarm {
        Alarm { timer: Timer::never(), at: Nanos::MAX }
    }

    /// Ready once `due` is reached.
    pub(super) fn poll(&mut self, cx: &mut Context<'_>, engine: &Engine, due: Option<Nanos>) -> Poll<()> {
        let Some(due) = due else { return Poll::Pending };
        if due < self.at {
            self.set(engine, due);
        }
        loop {
            if Pin::new(&mut self.timer).poll_next(cx).is_pending() {
                return Poll::Pending;
            }
            if engine.now() >= due {
                self.at = Nanos::MAX;
                return Poll::Ready(());
            }
            self.set(engine, due);
        }
    }

    fn set(&mut self, engine: &Engine, due: Nanos) {
        self.at = due;
        self.timer.set_after(Duration::from_nanos(due.saturating_sub(engine.now())));
    }
}
