//! The stages of a graceful shutdown. Decides only: the time is passed in.

use std::time::Duration;

/// Time after SIGTERM for which connections and requests are accepted, since the platform may still route some here.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(2500);
/// Connections and requests are accepted for at most the grace period divided by this.
const ACCEPT_DIVISOR: u32 = 2;
/// The process exits this long before the grace period ends, even with requests in flight.
const END_MARGIN: Duration = Duration::from_millis(300);

/// What the process accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// It accepts connections and requests.
    Serving,
    /// It reports itself as not ready, but accepts connections; each response is the last of its connection.
    NotReady,
    /// It accepts no connections and closes idle ones. Requests in flight are completed; a new one is accepted only if
    /// it can't outlast the process.
    Draining,
    /// It exits.
    Terminated,
}

/// The state of a process between its start and its end.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lifecycle {
    stop: Option<StopSignal>,
}

/// When SIGTERM came, and the time from then until the platform kills the process.
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
    /// Records SIGTERM: the platform kills the process after `grace_period`. A second one changes nothing.
    pub fn stop(&mut self, now: Duration, grace_period: Duration) {
        self.stop.get_or_insert(StopSignal { at: now, grace_period });
    }

    /// The stage at a time.
    #[must_use]
    pub fn stage(&self, now: Duration) -> Stage {
        let Some(stop) = self.stop else { return Stage::Serving };
        let mut passed = stop.stages().into_iter().filter(|start| now >= start.at);
        passed.next_back().map_or(Stage::NotReady, |start| start.stage)
    }

    /// When the next stage begins; none before SIGTERM and after the last stage.
    #[must_use]
    pub fn next_stage_at(&self, now: Duration) -> Option<Duration> {
        self.stop?.stages().into_iter().map(|start| start.at).find(|at| *at > now)
    }

    /// Whether a request that was read now and ends by `deadline` is still accepted.
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
