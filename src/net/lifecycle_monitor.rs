//! Runs the lifecycle against the clock and notifies tasks that wait for a change.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};

use super::within;
use crate::engine::Engine;
use crate::limits::Limits;
use crate::process::lifecycle::{AlreadyStopping, Lifecycle, State};
use crate::types::Nanos;

/// The lifecycle of this process, shared by all its tasks.
pub struct LifecycleMonitor {
    engine: Engine,
    limits: Rc<Limits>,
    life: RefCell<Lifecycle>,
    /// Whether the process has what it needs to serve requests.
    ready: Box<dyn Fn() -> bool>,
    /// Carries no messages: at each change the channel is closed and replaced.
    change_notice: RefCell<(Sender<()>, Receiver<()>)>,
}

impl LifecycleMonitor {
    /// Creates the monitor of a starting process. `shares_accept_queue` tells whether another process uses the same
    /// accept queue.
    #[must_use]
    pub fn new(
        engine: Engine,
        limits: Rc<Limits>,
        shares_accept_queue: bool,
        ready: Box<dyn Fn() -> bool>,
    ) -> LifecycleMonitor {
        let grace_period = limits.lifecycle.shutdown_grace.as_nanos() as Nanos;
        let life = RefCell::new(Lifecycle::new(engine.now(), shares_accept_queue, grace_period));
        LifecycleMonitor {
            engine,
            limits,
            life,
            ready,
            change_notice: RefCell::new(async_channel::bounded(1)),
        }
    }

    fn change<T>(&self, change: impl FnOnce(&mut Lifecycle, Nanos) -> T) -> T {
        let (previous, result, state) = {
            let mut life = self.life.borrow_mut();
            let previous = life.state();
            let result = change(&mut life, self.engine.now());
            (previous, result, life.state())
        };
        if previous != state {
            log::info!(from:? = previous, to:? = state; "state: lifecycle state changed");
            self.notify_waiters();
        }
        result
    }

    fn notify_waiters(&self) {
        let (old, _) = self.change_notice.replace(async_channel::bounded(1));
        old.close();
    }

    /// Waits for the next change.
    pub async fn changed(&self) {
        let change_notice = self.change_notice.borrow().1.clone();
        let _ = change_notice.recv().await;
    }

    /// Drains the process, so that clients use other gateways.
    ///
    /// # Errors
    ///
    /// [`AlreadyStopping`] if the process is shutting down.
    pub fn drain(&self) -> Result<(), AlreadyStopping> {
        self.change(Lifecycle::drain)
    }

    /// Ends a drain.
    ///
    /// # Errors
    ///
    /// [`AlreadyStopping`] if the process is shutting down.
    pub fn undrain(&self) -> Result<(), AlreadyStopping> {
        self.change(Lifecycle::undrain)
    }

    /// Starts the graceful shutdown.
    pub fn stop(&self) {
        self.change(Lifecycle::stop);
    }

    /// Whether the load balancers in front of the gateways should send clients to this process.
    pub fn is_in_rotation(&self) -> bool {
        self.check_ready();
        self.life.borrow().is_in_rotation() && (self.ready)()
    }

    /// Whether the process has started, has what it needs to serve requests, and isn't stopping, drained or not.
    pub fn can_serve(&self) -> bool {
        self.check_ready();
        self.life.borrow().can_serve() && (self.ready)()
    }

    /// Whether the process is shutting down.
    pub fn is_stopping(&self) -> bool {
        self.life.borrow().state() == State::Stopping
    }

    /// Whether a connection may carry another request after the current one.
    pub fn keeps_connections(&self) -> bool {
        self.life.borrow().keeps_connections()
    }

    /// Whether the accept queue belongs to this process alone.
    pub fn owns_accept_queue(&self) -> bool {
        self.life.borrow().owns_accept_queue()
    }

    /// Whether a completely received request is sent to a replica; otherwise it is shed.
    pub fn admits_requests(&self) -> bool {
        self.life.borrow().admits_requests(self.engine.now())
    }

    fn check_ready(&self) {
        if self.life.borrow().state() == State::Starting && (self.ready)() {
            self.change(Lifecycle::set_ready);
        }
    }

    /// Waits until connections are accepted or the process is stopping; returns whether they are accepted.
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

    /// Waits until connections are no longer accepted.
    pub async fn closed(&self) {
        while self.life.borrow().accepts(self.engine.now()) {
            self.changed().await;
        }
    }

    /// Waits until an idle connection has to close. `opened_unused_at` is the time at which a connection opened that has
    /// received nothing yet, and `None` for any other connection.
    pub async fn idle_expired(&self, opened_unused_at: Option<Nanos>) {
        loop {
            let until = self.life.borrow().idle_deadline(opened_unused_at);
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

    /// Whether the shutdown is complete, with this number of open connections.
    pub fn is_finished(&self, open_connections: usize) -> bool {
        self.life.borrow().is_finished(self.engine.now(), open_connections)
    }

    /// Runs for the life of the process and notifies waiting tasks of changes that happen with time alone.
    pub async fn run(&self) {
        loop {
            self.check_ready();
            let now = self.engine.now();
            let due = self.life.borrow().next_change(now);
            let state = self.life.borrow().state();
            let wait = match due {
                Some(due) => Some(Duration::from_nanos(due.saturating_sub(now))),
                // Readiness changes elsewhere without a notification, so it is polled.
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
