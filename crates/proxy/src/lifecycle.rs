//! The stages of a stop: pure, with the time handed in.

use std::time::Duration;

/// Time after SIGTERM for which connections and requests are still taken: by then the platform sends no more.
const ACCEPT_ON: Duration = Duration::from_millis(2500);
/// Connections and requests are taken for at most the first of so many equal parts of the leeway.
const ACCEPT_PARTS: u32 = 2;
/// Before the end of the leeway by so much, the process ends with whatever is still in flight.
const END_MARGIN: Duration = Duration::from_millis(300);

/// What the process does at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Takes connections and requests.
    Serving,
    /// Is not ready any more, but takes connections; each answer is the last of its connection.
    Leaving,
    /// Takes no more connections and closes idle ones. Requests in flight are answered; a new one is taken only
    /// if it can't outlast the process.
    Draining,
    /// Ends.
    Over,
}

/// Where a process stands in its life.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lifecycle {
    stop: Option<Stop>,
}

#[derive(Clone, Copy, Debug)]
struct Stop {
    at: Duration,
    leeway: Duration,
}

impl Stop {
    fn stages(self) -> [(Duration, Stage); 2] {
        let accept_until = self.at + ACCEPT_ON.min(self.leeway / ACCEPT_PARTS);
        [(accept_until, Stage::Draining), (self.end(), Stage::Over)]
    }

    fn end(self) -> Duration {
        self.at + self.leeway.saturating_sub(END_MARGIN)
    }
}

impl Lifecycle {
    /// SIGTERM came: the process is killed once the leeway has passed. A second one changes nothing.
    pub fn stop(&mut self, now: Duration, leeway: Duration) {
        self.stop.get_or_insert(Stop { at: now, leeway });
    }

    /// The stage at a moment.
    #[must_use]
    pub fn stage(&self, now: Duration) -> Stage {
        let Some(stop) = self.stop else { return Stage::Serving };
        let mut passed = stop.stages().into_iter().filter(|(from, _)| now >= *from);
        passed.next_back().map_or(Stage::Leaving, |(_, stage)| stage)
    }

    /// When the next stage begins; none while no stop was asked for, and after the last one.
    #[must_use]
    pub fn next_change(&self, now: Duration) -> Option<Duration> {
        self.stop?.stages().into_iter().map(|(from, _)| from).find(|from| *from > now)
    }

    /// Whether a request that comes now and is over by `deadline` is still taken.
    #[must_use]
    pub fn takes_request(&self, now: Duration, deadline: Duration) -> bool {
        match self.stage(now) {
            Stage::Serving | Stage::Leaving => true,
            Stage::Draining | Stage::Over => self.stop.is_some_and(|stop| deadline < stop.end()),
        }
    }

    /// Whether the process may end, with so many connections of clients open.
    #[must_use]
    pub fn may_end(&self, now: Duration, open_connections: usize) -> bool {
        match self.stage(now) {
            Stage::Serving | Stage::Leaving => false,
            Stage::Draining => open_connections == 0,
            Stage::Over => true,
        }
    }
}
