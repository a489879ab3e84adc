//! Where the gateway is between its start and its end, and what that means for connections.
//!
//! No I/O and no clock: times are handed in as nanoseconds of one clock that never runs backwards.

use crate::types::Nanos;

/// Where the gateway is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It can't serve yet.
    Starting,
    /// It serves.
    Serving,
    /// It was told to do without clients until it is told otherwise.
    Drained,
    /// It completes its open requests and ends.
    Stopping,
}

/// Why an order can't be carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stopping;

/// The life of one gateway's process.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    state: State,
    since: Nanos,
    /// Another process accepts from the same queue.
    shared: bool,
    /// It was told to drain while it could not serve yet.
    drained: bool,
    grace: Nanos,
}

impl Lifecycle {
    /// A process that starts. `shared` says that its listener is another process's too; once it is drained or
    /// stops, requests are still taken on connections at rest for the `grace`.
    #[must_use]
    pub fn new(now: Nanos, shared: bool, grace: Nanos) -> Lifecycle {
        Lifecycle { state: State::Starting, since: now, shared, drained: false, grace }
    }

    /// Where it is.
    #[must_use]
    pub fn state(&self) -> State {
        self.state
    }

    /// It can serve from now on.
    pub fn able(&mut self, now: Nanos) {
        if self.state == State::Starting {
            self.enter(now, if self.drained { State::Drained } else { State::Serving });
        }
    }

    /// Clients shall go elsewhere.
    ///
    /// # Errors
    ///
    /// `Stopping` if the process is on its way to its end.
    pub fn drain(&mut self, now: Nanos) -> Result<(), Stopping> {
        match self.state {
            State::Starting => self.drained = true,
            State::Serving => self.enter(now, State::Drained),
            State::Drained => {}
            State::Stopping => return Err(Stopping),
        }
        Ok(())
    }

    /// Clients may come again.
    ///
    /// # Errors
    ///
    /// `Stopping` if the process is on its way to its end.
    pub fn undrain(&mut self, now: Nanos) -> Result<(), Stopping> {
        match self.state {
            State::Starting => self.drained = false,
            State::Serving => {}
            State::Drained => self.enter(now, State::Serving),
            State::Stopping => return Err(Stopping),
        }
        Ok(())
    }

    /// It shall end.
    pub fn stop(&mut self, now: Nanos) {
        if self.state != State::Stopping {
            self.enter(now, State::Stopping);
        }
    }

    fn enter(&mut self, now: Nanos, state: State) {
        (self.state, self.since) = (state, now);
    }

    /// Whether clients should be sent here.
    #[must_use]
    pub fn wants_clients(&self) -> bool {
        self.state == State::Serving
    }

    /// Whether the process can serve, drained or not.
    #[must_use]
    pub fn can_serve(&self) -> bool {
        matches!(self.state, State::Serving | State::Drained)
    }

    /// Whether a connection may carry another request after the current one.
    #[must_use]
    pub fn keeps_connections(&self) -> bool {
        matches!(self.state, State::Starting | State::Serving)
    }

    /// Whether connections are accepted. From a shared queue a process takes only what it can serve, and a
    /// stopping one nothing: what waits there is the other's.
    #[must_use]
    pub fn accepts(&self, now: Nanos) -> bool {
        match self.state {
            State::Starting => !self.shared,
            State::Serving | State::Drained => true,
            State::Stopping => !self.shared && now < self.graced(),
        }
    }

    /// Whether what waits to be accepted is this process's alone.
    #[must_use]
    pub fn empties_queue(&self) -> bool {
        !self.shared
    }

    /// Whether a request that has come whole is placed. Guards against a process that is killed over a request: it is
    /// given the longest deadline from the end of the grace on, and what came after that would outlast it. Where
    /// another process has its listener, nobody is in a hurry.
    #[must_use]
    pub fn takes_requests(&self, now: Nanos) -> bool {
        self.state != State::Stopping || self.shared || now < self.graced()
    }

    /// When a connection at rest closes, if it has to: after the grace, which for one that opened later and has
    /// carried nothing yet counts from then.
    #[must_use]
    pub fn idle_until(&self, silent_since: Option<Nanos>) -> Option<Nanos> {
        match self.state {
            State::Starting | State::Serving => None,
            State::Drained | State::Stopping => {
                Some(self.graced().max(silent_since.unwrap_or(0).saturating_add(self.grace)))
            }
        }
    }

    /// Whether all is done, with so many connections open.
    #[must_use]
    pub fn over(&self, now: Nanos, open: usize) -> bool {
        self.state == State::Stopping && now >= self.graced() && open == 0
    }

    /// When a response above changes with time alone.
    #[must_use]
    pub fn due(&self, now: Nanos) -> Option<Nanos> {
        (self.state == State::Stopping && now < self.graced()).then(|| self.graced())
    }

    fn graced(&self) -> Nanos {
        self.since.saturating_add(self.grace)
    }
}
