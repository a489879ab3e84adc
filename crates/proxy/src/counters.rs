//! Counters for the proxy's log.

use std::cell::Cell;

/// One counter.
#[derive(Debug, Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Adds one.
    pub fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// The current value.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// All counters.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests that were read completely.
    pub requests: Counter,
    /// Requests that were written to a replica for the first time.
    pub first_sends: Counter,
    /// Requests that were written to a further replica.
    pub retries: Counter,
    /// Successes that were forwarded completely.
    pub completed: Counter,
    /// Requests refused with 503.
    pub refused: Counter,
    /// Requests failed with 502 or 504.
    pub failed: Counter,
    /// Requests denied with 401 or 404.
    pub denied: Counter,
    /// Responses aborted after they had begun.
    pub aborted: Counter,
    /// Clients that disconnected before their response was complete.
    pub client_disconnects: Counter,
    /// Attempts cancelled because they had not begun when their weights expired.
    pub weights_expired: Counter,
    /// Connections to replicas that were attempted.
    pub connects: Counter,
}

impl Counters {
    /// Logs all counters at debug level.
    pub fn log(&self) {
        log::debug!(
            requests = self.requests.get(), first_sends = self.first_sends.get(),
            repeated_sends = self.retries.get(), passed = self.completed.get(),
            refused = self.refused.get(), failed = self.failed.get(), denied = self.denied.get(),
            broken = self.aborted.get(), abandoned = self.client_disconnects.get(),
            outdated = self.weights_expired.get(), connects = self.connects.get();
            "counters"
        );
    }
}
