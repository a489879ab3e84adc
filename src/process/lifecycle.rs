//! The lifecycle of a gateway process, and what each state means for its connections.
//!
//! No I/O and no clock: times are passed in as nanoseconds of one monotonic clock.

use crate::types::Nanos;

/// The state of a gateway process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Can't serve requests yet.
    Starting,
    /// Serves requests.
    Serving,
    /// Drained by an operator; serves again once the drain is ended.
    Drained,
    /// Accepts requests until the end of the grace period, completes them, and exits.
    Stopping,
}

/// The process is shutting down, so it can be neither drained nor undrained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AlreadyStopping;

/// The lifecycle of one gateway process.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    state: State,
    state_entered_at: Nanos,
    /// Another process accepts from the same accept queue.
    shares_accept_queue: bool,
    /// A drain was requested before the process could serve requests.
    drain_requested: bool,
    grace_period: Nanos,
}

impl Lifecycle {
    /// Creates the lifecycle of a starting process. `shares_accept_queue` tells whether another process uses the same
    /// accept queue. After a drain or a stop, requests on idle connections are still accepted for the `grace_period`.
    #[must_use]
    pub fn new(now: Nanos, shares_accept_queue: bool, grace_period: Nanos) -> Lifecycle {
        Lifecycle {
            state: State::Starting,
            state_entered_at: now,
            shares_accept_queue,
            drain_requested: false,
            grace_period,
        }
    }

    /// The current state.
    #[must_use]
    pub fn state(&self) -> State {
        self.state
    }

    /// Records that the process can serve requests from now on.
    pub fn set_ready(&mut self, now: Nanos) {
        if self.state == State::Starting {
            self.enter(now, if self.drain_requested { State::Drained } else { State::Serving });
        }
    }

    /// Drains the process, so that clients use other gateways.
    ///
    /// # Errors
    ///
    /// [`AlreadyStopping`] if the process is shutting down.
    pub fn drain(&mut self, now: Nanos) -> Result<(), AlreadyStopping> {
        match self.state {
            State::Starting => self.drain_requested = true,
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
            State::Starting => self.drain_requested = false,
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
        (self.state, self.state_entered_at) = (state, now);
    }

    /// Whether the load balancers in front of the gateways should send clients to this process.
    #[must_use]
    pub fn is_in_rotation(&self) -> bool {
        self.state == State::Serving
    }

    /// Whether the process has started and isn't stopping, drained or not.
    #[must_use]
    pub fn can_serve(&self) -> bool {
        matches!(self.state, State::Serving | State::Drained)
    }

    /// Whether a connection may carry another request after the current one.
    #[must_use]
    pub fn keeps_connections(&self) -> bool {
        matches!(self.state, State::Starting | State::Serving)
    }

    /// Whether connections are accepted. With a shared accept queue, a starting or stopping process accepts none, since
    /// the other process does. Otherwise a process accepts connections until the grace period of its shutdown ends.
    #[must_use]
    pub fn accepts(&self, now: Nanos) -> bool {
        match self.state {
            State::Starting => !self.shares_accept_queue,
            State::Serving | State::Drained => true,
            State::Stopping => !self.shares_accept_queue && now < self.grace_end(),
        }
    }

    /// Whether the accept queue belongs to this process alone.
    #[must_use]
    pub fn owns_accept_queue(&self) -> bool {
        !self.shares_accept_queue
    }

    /// Whether a completely received request is sent to a replica. A stopping process is killed when the longest
    /// request deadline has passed since the end of the grace period. A request that arrives after the grace period
    /// could still be running at that time. With a shared accept queue the shutdown has no such time limit.
    #[must_use]
    pub fn admits_requests(&self, now: Nanos) -> bool {
        self.state != State::Stopping || self.shares_accept_queue || now < self.grace_end()
    }

    /// The time at which an idle connection has to close, if at all: at the end of the grace period. A connection that
    /// has received nothing yet gets at least one grace period from its opening. `opened_unused_at` is the time at which
    /// such a connection opened, and `None` for any other connection.
    #[must_use]
    pub fn idle_deadline(&self, opened_unused_at: Option<Nanos>) -> Option<Nanos> {
        match self.state {
            State::Starting | State::Serving => None,
            State::Drained | State::Stopping => {
                Some(self.grace_end().max(opened_unused_at.unwrap_or(0).saturating_add(self.grace_period)))
            }
        }
    }

    /// Whether the shutdown is complete, with this number of open connections.
    #[must_use]
    pub fn is_finished(&self, now: Nanos, open_connections: usize) -> bool {
        self.state == State::Stopping && now >= self.grace_end() && open_connections == 0
    }

    /// The next time at which the result of a method above changes without a change of state.
    #[must_use]
    pub fn next_change(&self, now: Nanos) -> Option<Nanos> {
        (self.state == State::Stopping && now < self.grace_end()).then(|| self.grace_end())
    }

    fn grace_end(&self) -> Nanos {
        self.state_entered_at.saturating_add(self.grace_period)
    }
}
