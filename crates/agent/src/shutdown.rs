//! Decides when the agent may exit after a stop signal. No I/O and no clock.

use std::time::Duration;

/// Time before the expected SIGKILL at which the agent exits even if the proxy is still connected.
const KILL_MARGIN: Duration = Duration::from_millis(500);
/// Time without a connected proxy after which the agent exits. A proxy that lost its connection reconnects sooner.
const RECONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The graceful shutdown of an agent. The agent serves the proxy until the proxy has exited, because a draining proxy
/// responds to requests only as long as its state is fresh.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    deadline: Duration,
    proxy_last_seen: Duration,
}

impl Shutdown {
    /// Begins the shutdown of an agent that received the stop signal at `now` and is killed `leeway` later.
    #[must_use]
    pub fn new(now: Duration, leeway: Duration) -> Self {
        let deadline = now.saturating_add(leeway.saturating_sub(KILL_MARGIN));
        Shutdown { deadline, proxy_last_seen: now }
    }

    /// Whether the agent should exit at `now`. Must be called at short intervals, as each call records whether a proxy
    /// is connected.
    pub fn should_exit(&mut self, now: Duration, is_proxy_connected: bool) -> bool {
        if is_proxy_connected {
            self.proxy_last_seen = now;
        }
        now >= self.deadline || now.saturating_sub(self.proxy_last_seen) >= RECONNECT_TIMEOUT
    }
}
