//! Counters of requests, attempts and connections, which are logged periodically.

use std::cell::Cell;

/// A count of events since the start of the process.
#[derive(Debug, Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Adds 1.
    pub fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// The count.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// All counters of the proxy. The keys in the log differ from some of the names here.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests that were read completely.
    pub requests: Counter,
    /// First sends of a request to a replica.
    pub first_sends: Counter,
    /// Retries that were sent to a replica.
    pub retries: Counter,
    /// Successful responses that were forwarded completely.
    pub completed: Counter,
    /// Of these, responses without a length, whose end was that of the replica's connection.
    pub unframed: Counter,
    /// Streams that broke off and that a further attempt was to resume.
    pub resumed: Counter,
    /// Requests that were refused with 503.
    pub refused: Counter,
    /// Requests that failed: the client was sent 502, 504 or the error response of a replica.
    pub failed: Counter,
    /// Requests that were denied with 401 or 404.
    pub denied: Counter,
    /// Responses that were aborted after they had begun.
    pub aborted: Counter,
    /// Clients that disconnected before their response was complete.
    pub client_disconnects: Counter,
    /// Attempts that were cancelled because the response had not begun when the weights expired.
    pub weights_expired: Counter,
    /// Attempts to open a connection to a replica.
    pub connects: Counter,
}

impl Counters {
    /// Logs all counters at debug level.
    pub fn log(&self) {
        log::debug!(
            requests = self.requests.get(), first_sends = self.first_sends.get(),
            repeated_sends = self.retries.get(), passed = self.completed.get(),
            unframed = self.unframed.get(), resumed = self.resumed.get(),
            refused = self.refused.get(), failed = self.failed.get(), denied = self.denied.get(),
            broken = self.aborted.get(), abandoned = self.client_disconnects.get(),
            outdated = self.weights_expired.get(), connects = self.connects.get();
            "counters"
        );
    }
}
