//! The lifecycle with a clock, and a notification to those who wait for it to change.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};

use super::within;
use crate::engine::Engine;
use crate::limits::Limits;
use crate::process::lifecycle::{Lifecycle, State, Stopping};
use crate::types::Nanos;

/// Monitors the lifecycle of this process; all parts ask it.
pub struct LifecycleMonitor {
    engine: Engine,
    limits: Rc<Limits>,
    life: RefCell<Lifecycle>,
    /// Whether there is what to serve with.
    ready: Box<dyn Fn() -> bool>,
    /// Nothing is ever sent here: it closes, and gives way to another, at each change.
    change_notice: RefCell<(Sender<()>, Receiver<()>)>,
}

impl LifecycleMonitor {
    /// A process that starts; `shared` says that its listener is another process's too.
    #[must_use]
    pub fn new(
        engine: Engine,
        limits: Rc<Limits>,
        shared: bool,
        ready: Box<dyn Fn() -> bool>,
    ) -> LifecycleMonitor {
        let grace = limits.lifecycle.shutdown_grace.as_nanos() as Nanos;
        let life = RefCell::new(Lifecycle::new(engine.now(), shared, grace));
        LifecycleMonitor {
            engine,
            limits,
            life,
            ready,
            change_notice: RefCell::new(async_channel::bounded(1)),
        }
    }

    fn change<T>(&self, change: impl FnOnce(&mut Lifecycle, Nanos) -> T) -> T {
        let (had, got, state) = {
            let mut life = self.life.borrow_mut();
            let had = life.state();
            let got = change(&mut life, self.engine.now());
            (had, got, life.state())
        };
        if had != state {
            log::info!(from:? = had, to:? = state; "state: clients are taken as this state has it");
            self.notify_waiters();
        }
        got
    }

    fn notify_waiters(&self) {
        let (old, _) = self.change_notice.replace(async_channel::bounded(1));
        old.close();
    }

    /// Returns at the next change.
    pub async fn changed(&self) {
        let change_notice = self.change_notice.borrow().1.clone();
        let _ = change_notice.recv().await;
    }

    /// Clients shall go elsewhere.
    ///
    /// # Errors
    ///
    /// `Stopping` if the process is on its way to its end.
    pub fn drain(&self) -> Result<(), Stopping> {
        self.change(Lifecycle::drain)
    }

    /// Clients may come again.
    ///
    /// # Errors
    ///
    /// `Stopping` if the process is on its way to its end.
    pub fn undrain(&self) -> Result<(), Stopping> {
        self.change(Lifecycle::undrain)
    }

    /// The process shall end.
    pub fn stop(&self) {
        self.change(Lifecycle::stop);
    }

    /// Whether clients should be sent here.
    pub fn wants_clients(&self) -> bool {
        self.look();
        self.life.borrow().wants_clients() && (self.ready)()
    }

    /// Whether this process can serve, drained or not.
    pub fn can_serve(&self) -> bool {
        self.look();
        self.life.borrow().can_serve() && (self.ready)()
    }

    /// Whether it takes nothing new and ends.
    pub fn is_stopping(&self) -> bool {
        self.life.borrow().state() == State::Stopping
    }

    /// Whether a connection may carry another request.
    pub fn keeps_connections(&self) -> bool {
        self.life.borrow().keeps_connections()
    }

    /// Whether what waits to be accepted is this process's alone.
    pub fn empties_queue(&self) -> bool {
        self.life.borrow().empties_queue()
    }

    /// Whether a request that has come whole is placed; else it is shed.
    pub fn takes_requests(&self) -> bool {
        self.life.borrow().takes_requests(self.engine.now())
    }

    fn look(&self) {
        if self.life.borrow().state() == State::Starting && (self.ready)() {
            self.change(Lifecycle::able);
        }
    }

    /// Returns once connections are accepted, or never will be again: whether they are.
    pub async fn accepting(&self) -> bool {
        loop {
            let (accepts, state) = {
                let life = self.life.borrow();
                (life.accepts(self.engine.now()), life.state())
            };
            if accepts || state == State::Stopping {
                return accepts;
            }
            self.changed().await;
        }
    }

    /// Returns once connections are no longer accepted.
    pub async fn closed(&self) {
        while self.life.borrow().accepts(self.engine.now()) {
            self.changed().await;
        }
    }

    /// Returns once a connection at rest has to close; `silent_since` is when it opened, if nothing came on it yet.
    pub async fn rest_over(&self, silent_since: Option<Nanos>) {
        loop {
            let until = self.life.borrow().idle_until(silent_since);
            let now = self.engine.now();
            match until {
                Some(until) if until <= now => return,
                Some(until) => {
                    let wait = Duration::from_nanos(until - now);
                    let _ = within(wait, self.changed()).await;
                }
                None => self.changed().await,
            }
        }
    }

    /// Whether all is done, with so many connections open.
    pub fn over(&self, open: usize) -> bool {
        self.life.borrow().over(self.engine.now(), open)
    }

    /// Notices what only time brings, up to the end.
    pub async fn run(&self) {
        loop {
            self.look();
            let now = self.engine.now();
            let due = self.life.borrow().due(now);
            let state = self.life.borrow().state();
            let wait = match due {
                Some(due) => Some(Duration::from_nanos(due.saturating_sub(now))),
                // What it serves with comes from elsewhere, without a word to here.
                None => (state == State::Starting).then_some(self.limits.lifecycle.start_check_interval),
            };
            match wait {
                Some(wait) => {
                    let _ = within(wait, self.changed()).await;
                    if due.is_some_and(|due| due <= self.engine.now()) {
                        self.notify_waiters();
                    }
                }
                None => self.changed().await,
            }
        }
    }
}
