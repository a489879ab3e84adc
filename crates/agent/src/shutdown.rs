//! When an agent that was asked to stop may end. No I/O and no clock.

use std::time::Duration;

/// Time before SIGKILL at which the agent ends in any case.
const RESERVE: Duration = Duration::from_millis(500);
/// Time without a proxy after which the agent ends; a proxy that lost its connection is back within it.
const ABSENCE: Duration = Duration::from_millis(500);

/// The end of an agent: it serves the proxy until the proxy is done, because the proxy answers requests
/// while it drains only as long as its state is fresh.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    deadline: Duration,
    proxy_seen: Duration,
}

impl Shutdown {
    /// The agent is asked to stop at `now` and killed after `leeway`.
    #[must_use]
    pub fn new(now: Duration, leeway: Duration) -> Self {
        let deadline = now.saturating_add(leeway.saturating_sub(RESERVE));
        Shutdown { deadline, proxy_seen: now }
    }

    /// Whether to end, with a proxy connected or not.
    pub fn is_over(&mut self, now: Duration, proxy_connected: bool) -> bool {
        if proxy_connected {
            self.proxy_seen = now;
        }
        now >= self.deadline || now.saturating_sub(self.proxy_seen) >= ABSENCE
    }
}
