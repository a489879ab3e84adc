//! What the engine keeps for all streams that are passed on: the budget, the record and the standing of real
//! servers, with the wakers and the timers that these modules do without.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use async_io::Timer;
use futures_lite::Stream;

use super::{BegunStream, Engine};
use crate::limits::Limits;
use crate::stream::{Account, Budget, Cause, Change, Ledger, Outcome, OutlierEjection, Relay};
use crate::types::{ListKind, Member, Nanos, Phase, ReplicaId};

pub(super) struct Streams {
    budget: Budget,
    ledger: Ledger,
    outliers: Option<OutlierEjection>,
    /// The list as it was told, which a rest covers for a while.
    members: BTreeMap<ReplicaId, Member>,
    wakers: BTreeMap<Account, Waker>,
    evicted: BTreeSet<Account>,
    stop_at: Option<Nanos>,
    classes: Vec<String>,
    tenants: Vec<String>,
}

impl Streams {
    pub(super) fn new(limits: &Limits) -> Streams {
        let stream = &limits.stream;
        Streams {
            budget: Budget::new(stream.budget, stream.high, stream.floor),
            ledger: Ledger::default(),
            outliers: limits.rest.as_ref().map(OutlierEjection::new),
            members: BTreeMap::new(),
            wakers: BTreeMap::new(),
            evicted: BTreeSet::new(),
            stop_at: None,
            classes: Vec::new(),
            tenants: Vec::new(),
        }
    }

    /// Notes the list, and covers those that rest.
    pub(super) fn listed(&mut self, kind: ListKind, members: &mut [Member]) {
        let Some(outliers) = &mut self.outliers else { return };
        if matches!(kind, ListKind::Complete | ListKind::Persisted) {
            self.members.clear();
        }
        for member in members.iter() {
            match member.phase {
                Phase::Gone => drop(self.members.remove(&member.id)),
                _ => drop(self.members.insert(member.id.clone(), member.clone())),
            }
        }
        let ready = self.members.values().filter(|m| m.phase == Phase::Ready).map(|m| m.id.clone());
        outliers.fleet(&ready.collect::<Vec<_>>());
        for member in members.iter_mut() {
            if member.phase == Phase::Ready && outliers.rests(&member.id) {
                member.phase = Phase::Draining;
            }
        }
    }

    /// The list's line that a change of standing comes to.
    pub(super) fn changed(&mut self, change: &Change) -> Option<Member> {
        let (id, phase) = match change {
            Change::Rest(id) => (id, Phase::Draining),
            Change::Back(id) => (id, Phase::Ready),
        };
        let member = self.members.get(id)?;
        Some(Member { phase, ..member.clone() })
    }

    fn wake_all(&mut self) {
        std::mem::take(&mut self.wakers).into_values().for_each(Waker::wake);
    }
}

impl Engine {
    /// The names that the record shows for classes and tenants.
    pub fn name_streams(&self, classes: Vec<String>, tenants: Vec<String>) {
        let mut streams = self.streams.borrow_mut();
        (streams.classes, streams.tenants) = (classes, tenants);
    }

    /// The program stops: streams that have not ended within this time are cut.
    pub fn stop_streams(&self, within: Duration) {
        let mut streams = self.streams.borrow_mut();
        streams.stop_at = Some(self.now().saturating_add(within.as_nanos() as Nanos));
        streams.wake_all();
    }

    /// All streams together may hold so many bytes from now on.
    pub fn budget_streams(&self, bytes: usize) {
        self.streams.borrow_mut().budget.limit(bytes);
    }

    /// Streams that are passed on, the bytes that they hold, and the most that they ever held.
    #[must_use]
    pub fn streams_held(&self) -> (usize, usize, usize) {
        let streams = self.streams.borrow();
        (streams.budget.streams(), streams.budget.used(), streams.budget.most())
    }

    /// Writes the figures of all streams to the log.
    pub fn log_figures(&self) {
        let streams = self.streams.borrow();
        let name = |names: &[String], n: usize| names.get(n).cloned().unwrap_or_else(|| n.to_string());
        for f in streams.ledger.figures() {
            let of = |q: [u64; 3]| format!("{}/{}/{}", q[0], q[1], q[2]);
            log::info!(class = name(&streams.classes, f.class), cause = f.cause.name(), count = f.count,
                bytes = f.bytes, events = f.events, first_us = of(f.first), gap_us = of(f.gap),
                pause_us = of(f.pause), stop_us = of(f.stop), lasted_us = of(f.lasted);
                "stream-figures: since the start; median, 99th percentile and longest");
        }
        log::info!(open = streams.budget.streams(), held = streams.budget.used(), most = streams.budget.most();
            "stream-budget: bytes that streams hold");
    }

    /// Ends rests, and writes the figures at their pace, for ever.
    pub async fn run_streams(&self) {
        let mut figures_at = None;
        loop {
            let now = self.now();
            let back = self.streams.borrow_mut().outliers.as_mut().map_or(Vec::new(), |s| s.back(now));
            for change in &back {
                if let Change::Back(id) = change {
                    log::info!(server = &*id.0; "server-back: its rest is over");
                }
                self.change(change);
            }
            if let Some(every) = self.limits.figures_every {
                if figures_at.is_some_and(|at| at <= now) {
                    self.log_figures();
                    figures_at = None;
                }
                figures_at.get_or_insert(now.saturating_add(every.as_nanos() as Nanos));
            }
            Timer::after(self.limits.look).await;
            // The one sleep that is short however idle the gateway is.
            self.watch(now.saturating_add(self.limits.look.as_nanos() as Nanos), self.now());
        }
    }

    /// Enters a stream's end in the record, and draws what follows from it for its real server.
    pub(super) fn record(&self, begun: &BegunStream, server: &ReplicaId, outcome: &Outcome) {
        let change = {
            let streams = &mut *self.streams.borrow_mut();
            streams.ledger.enter(begun.class, outcome);
            let level = match outcome.cause {
                Cause::Whole | Cause::ClientLeft | Cause::Cancelled | Cause::HandedOver => {
                    log::Level::Debug
                }
                _ => log::Level::Info,
            };
            if log::log_enabled!(level) {
                let millis = |n: Nanos| format!("{:.3}", n as f64 / 1e6);
                let none = String::from("-");
                log::log!(level, id = format!("{:016x}", begun.id), server = &*server.0, cause = outcome.cause.name(),
                    side:? = outcome.cause.side(), class = streams.classes.get(begun.class).unwrap_or(&none),
                    tenant = begun.tenant.and_then(|t| streams.tenants.get(t)).unwrap_or(&none),
                    bytes = outcome.bytes, events = outcome.events, first_ms = millis(outcome.first),
                    gap_ms = millis(outcome.longest_gap), pause_ms = millis(outcome.longest_pause),
                    lasted_ms = millis(outcome.lasted), stop_ms = millis(outcome.stop);
                    "stream-ended: {}", words(outcome.cause));
            }
            let now = self.now();
            streams.outliers.as_mut().and_then(|s| s.ended(now, server, outcome.cause))
        };
        if let Some(change) = change {
            log::warn!(server = &*server.0; "server-rests: too many of its streams ended badly");
            self.change(&change);
        }
    }

    /// The same for a copy that began beside the stream that was passed on.
    pub(super) fn record_copy(&self, begun: &BegunStream, server: &ReplicaId, copy: &mut Relay) {
        let now = self.now();
        // What ended by itself comes to its outcome only when it is asked.
        copy.poll(now);
        copy.stopped(now);
        if let Some(outcome) = copy.outcome() {
            self.record(begun, server, &outcome);
        }
    }

    pub(super) fn ticket(&self, gathers: bool) -> Ticket {
        let account = self.streams.borrow_mut().budget.open(gathers);
        Ticket { account, engine: self.clone(), stop_told: Cell::new(false) }
    }
}

fn words(cause: Cause) -> &'static str {
    match cause {
        Cause::Whole => "whole, and taken whole",
        Cause::ClientLeft => "its client left",
        Cause::ReaderSlow => "its client took too little",
        Cause::Stalled => "its real server fell silent",
        Cause::Broke => "its real server's connection ended",
        Cause::Spoilt => "what its real server sent can't be read",
        Cause::Failed => "its real server said that it failed",
        Cause::Budget => "memory was short and it had waited longest",
        Cause::TooLong => "more of it had to be held than may be",
        Cause::Shutdown => "the program is stopping",
        Cause::Cancelled => "another scheduling serves the request",
        Cause::HandedOver => "the process that follows goes on with it",
    }
}

/// A stream's place in the budget, given back when it is dropped.
pub(super) struct Ticket {
    account: Account,
    engine: Engine,
    /// The stream has heard of the program's stop.
    stop_told: Cell<bool>,
}

impl Ticket {
    /// Tells what the stream holds; returns what it may. Wakes those that have to go for it.
    pub(super) fn holds(&self, held: usize, paused_since: Option<Nanos>) -> usize {
        let streams = &mut *self.engine.streams.borrow_mut();
        let left = streams.budget.holds(self.account, held, paused_since);
        while let Some(account) = streams.budget.evict() {
            streams.evicted.insert(account);
            if let Some(waker) = streams.wakers.remove(&account) {
                waker.wake();
            }
        }
        left
    }

    /// It was named to go.
    pub(super) fn evicted(&self) -> bool {
        self.engine.streams.borrow_mut().evicted.remove(&self.account)
    }

    /// When the program's stop cuts it.
    pub(super) fn stop_at(&self) -> Option<Nanos> {
        let at = self.engine.streams.borrow().stop_at;
        self.stop_told.set(at.is_some());
        at
    }

    /// Ready when it was named to go, or the program's stop has come and it has not heard of it.
    pub(super) fn poll_called(&self, cx: &Context<'_>) -> Poll<()> {
        let streams = &mut *self.engine.streams.borrow_mut();
        // Guards against a stream on which nothing else happens: being woken alone ends no waiting.
        if streams.evicted.contains(&self.account) || streams.stop_at.is_some() && !self.stop_told.get() {
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

/// One timer of a stream. Times that move on with every byte do not move it: it looks again when it is due.
pub(super) struct Alarm {
    timer: Timer,
    at: Nanos,
}

impl Alarm {
    pub(super) fn new() -> Alarm {
        Alarm { timer: Timer::never(), at: Nanos::MAX }
    }

    /// Ready once `due` has come.
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
