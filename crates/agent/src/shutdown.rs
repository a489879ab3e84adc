//! When an agent that received a stop signal may end. No I/O and no clock.

use std::time::Duration;

/// Time before SIGKILL at which the agent ends in any case.
const KILL_MARGIN: Duration = Duration::from_millis(500);
/// Time without a proxy after which the agent ends; a proxy that lost its connection reconnects within it.
const RECONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The shutdown of an agent. It serves the proxy until the proxy has ended, because the proxy replies to requests
/// while it drains only as long as its state is fresh.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    deadline: Duration,
    proxy_last_seen: Duration,
}

impl Shutdown {
    /// The agent received the stop signal at `now` and is killed after `leeway`.
    #[must_use]
    pub fn new(now: Duration, leeway: Duration) -> Self {
        let deadline = now.saturating_add(leeway.saturating_sub(KILL_MARGIN));
        Shutdown { deadline, proxy_last_seen: now }
    }

    /// Whether to end at `now`. To be called regularly, with whether a proxy is connected.
    pub fn is_over(&mut self, now: Duration, is_proxy_connected: bool) -> bool {
        if is_proxy_connected {
            self.proxy_last_seen = now;
        }
        now >= self.deadline || now.saturating_sub(self.proxy_last_seen) >= RECONNECT_TIMEOUT
    }
}
