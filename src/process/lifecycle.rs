//! The lifecycle of a gateway process, and what each state means for its connections.
//!
//! No I/O and no clock: times are passed in as nanoseconds of one monotonic clock.

use crate::types::Nanos;

/// The state of a gateway process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It can't serve requests yet.
    Starting,
    /// It serves requests.
    Serving,
    /// An operator drained it; it serves again once the drain is ended.
    Drained,
    /// It completes its open requests and then exits.
    Stopping,
}

/// The process is shutting down, so it can be neither drained nor undrained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AlreadyStopping;

/// The lifecycle of one gateway process.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    state: State,
    since: Nanos,
    /// Another process accepts from the same listener queue.
    shared: bool,
    /// A drain was requested while it could not serve requests yet.
    drained: bool,
    grace: Nanos,
}

impl Lifecycle {
    /// Creates the lifecycle of a starting process. `shared` tells whether another process uses the same listener. After
    /// a drain or a stop, requests on idle connections are still accepted for the `grace` period.
    #[must_use]
    pub fn new(now: Nanos, shared: bool, grace: Nanos) -> Lifecycle {
        Lifecycle { state: State::Starting, since: now, shared, drained: false, grace }
    }

    /// The current state.
    #[must_use]
    pub fn state(&self) -> State {
        self.state
    }

    /// Records that the process can serve requests from now on.
    pub fn set_ready(&mut self, now: Nanos) {
        if self.state == State::Starting {
            self.enter(now, if self.drained { State::Drained } else { State::Serving });
        }
    }

    /// Drains the process, so that clients use other gateways.
    ///
    /// # Errors
    ///
    /// [`AlreadyStopping`] if the process is shutting down.
    pub fn drain(&mut self, now: Nanos) -> Result<(), AlreadyStopping> {
        match self.state {
            State::Starting => self.drained = true,
            State::Serving => self.enter(now, State::Drained),
            State::Drained => {}
            State::Stopping => return Err(AlreadyStopping),
        }
        Ok(())
    }

    /// Ends a drain.
    ///
    /// # Errors
    ///
    /// [`AlreadyStopping`] if the process is shutting down.
    pub fn undrain(&mut self, now: Nanos) -> Result<(), AlreadyStopping> {
        match self.state {
            State::Starting => self.drained = false,
            State::Serving => {}
            State::Drained => self.enter(now, State::Serving),
            State::Stopping => return Err(AlreadyStopping),
        }
        Ok(())
    }

    /// Starts the graceful shutdown.
    pub fn stop(&mut self, now: Nanos) {
        if self.state != State::Stopping {
            self.enter(now, State::Stopping);
        }
    }

    fn enter(&mut self, now: Nanos, state: State) {
        (self.state, self.since) = (state, now);
    }

    /// Whether load balancers should send clients to this process.
    #[must_use]
    pub fn is_in_rotation(&self) -> bool {
        self.state == State::Serving
    }

    /// Whether the process can serve requests, drained or not.
    #[must_use]
    pub fn can_serve(&self) -> bool {
        matches!(self.state, State::Serving | State::Drained)
    }

    /// Whether a connection may carry another request after the current one.
    #[must_use]
    pub fn keeps_connections(&self) -> bool {
        matches!(self.state, State::Starting | State::Serving)
    }

    /// Whether connections are accepted. From a shared queue, a process accepts only what it can serve, and a stopping
    /// process accepts nothing, since the other process serves the queue.
    #[must_use]
    pub fn accepts(&self, now: Nanos) -> bool {
        match self.state {
            State::Starting => !self.shared,
            State::Serving | State::Drained => true,
            State::Stopping => !self.shared && now < self.grace_end(),
        }
    }

    /// Whether the accept queue belongs to this process alone.
    #[must_use]
    pub fn owns_accept_queue(&self) -> bool {
        !self.shared
    }

    /// Whether a completely received request is sent to a replica. A stopping process is killed one longest deadline after
    /// the end of the grace period, so a request that arrives later could still be running then. With a shared listener
    /// the shutdown has no such time limit.
    #[must_use]
    pub fn admits_requests(&self, now: Nanos) -> bool {
        self.state != State::Stopping || self.shared || now < self.grace_end()
    }

    /// When an idle connection has to close, if at all: after the grace period, which counts from the opening of a
    /// connection that opened later and has received nothing yet.
    #[must_use]
    pub fn idle_deadline(&self, silent_since: Option<Nanos>) -> Option<Nanos> {
        match self.state {
            State::Starting | State::Serving => None,
            State::Drained | State::Stopping => {
                Some(self.grace_end().max(silent_since.unwrap_or(0).saturating_add(self.grace)))
            }
        }
    }

    /// Whether the shutdown is complete, with `open` connections left.
    #[must_use]
    pub fn is_finished(&self, now: Nanos, open: usize) -> bool {
        self.state == State::Stopping && now >= self.grace_end() && open == 0
    }

    /// When one of the conditions above next changes with time alone.
    #[must_use]
    pub fn next_change(&self, now: Nanos) -> Option<Nanos> {
        (self.state == State::Stopping && now < self.grace_end()).then(|| self.grace_end())
    }

    fn grace_end(&self) -> Nanos {
        self.since.saturating_add(self.grace)
    }
}
