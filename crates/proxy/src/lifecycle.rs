//! The stages of a graceful shutdown, as a state machine without I/O. The current time is passed in.

use std::time::Duration;

/// Time after SIGTERM during which all connections and requests are still accepted, since the platform may still route
/// some to this process.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(2500);
/// The time during which connections and requests are still accepted is at most the grace period divided by this.
const ACCEPT_DIVISOR: u32 = 2;
/// The process exits this long before the grace period ends, even with requests in flight.
const END_MARGIN: Duration = Duration::from_millis(300);

/// A stage of the process, which determines the connections and requests that it accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// The process accepts connections and requests.
    Serving,
    /// The process reports itself as not ready, but accepts connections and requests. Each response is the last one on
    /// its connection.
    NotReady,
    /// The process accepts no connections and closes idle ones. Requests in flight are completed. A further request is
    /// accepted only if its deadline is before the end of the process.
    Draining,
    /// The process exits, even with requests in flight.
    Terminated,
}

/// The state of a process between its start and its end.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lifecycle {
    stop: Option<StopSignal>,
}

/// The time at which SIGTERM was received, and the time from then until the platform kills the process.
#[derive(Clone, Copy, Debug)]
struct StopSignal {
    at: Duration,
    grace_period: Duration,
}

/// A stage and when it begins.
#[derive(Clone, Copy, Debug)]
struct StageStart {
    at: Duration,
    stage: Stage,
}

impl StopSignal {
    fn stages(self) -> [StageStart; 2] {
        let accept_until = self.at + ACCEPT_AFTER_STOP.min(self.grace_period / ACCEPT_DIVISOR);
        [
            StageStart { at: accept_until, stage: Stage::Draining },
            StageStart { at: self.end(), stage: Stage::Terminated },
        ]
    }

    fn end(self) -> Duration {
        self.at + self.grace_period.saturating_sub(END_MARGIN)
    }
}

impl Lifecycle {
    /// Records that SIGTERM was received. The platform kills the process after `grace_period`. Further signals have no
    /// effect.
    pub fn stop(&mut self, now: Duration, grace_period: Duration) {
        self.stop.get_or_insert(StopSignal { at: now, grace_period });
    }

    /// The stage at the time `now`.
    #[must_use]
    pub fn stage(&self, now: Duration) -> Stage {
        let Some(stop) = self.stop else { return Stage::Serving };
        let mut passed = stop.stages().into_iter().filter(|start| now >= start.at);
        passed.next_back().map_or(Stage::NotReady, |start| start.stage)
    }

    /// The time at which the next stage begins. None before SIGTERM and in the last stage.
    #[must_use]
    pub fn next_stage_at(&self, now: Duration) -> Option<Duration> {
        self.stop?.stages().into_iter().map(|start| start.at).find(|at| *at > now)
    }

    /// Whether a request that has just been read, and that ends by `deadline`, is still accepted.
    #[must_use]
    pub fn accepts_request(&self, now: Duration, deadline: Duration) -> bool {
        match self.stage(now) {
            Stage::Serving | Stage::NotReady => true,
            Stage::Draining | Stage::Terminated => self.stop.is_some_and(|stop| deadline < stop.end()),
        }
    }

    /// Whether the process may end while this many connections of clients are open.
    #[must_use]
    pub fn may_end(&self, now: Duration, open_connections: usize) -> bool {
        match self.stage(now) {
            Stage::Serving | Stage::NotReady => false,
            Stage::Draining => open_connections == 0,
            Stage::Terminated => true,
        }
    }
}
