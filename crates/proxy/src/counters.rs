//! Counts of what the proxy did, for its log.

use std::cell::Cell;

/// One count.
#[derive(Debug, Default)]
pub struct Count(Cell<u64>);

impl Count {
    /// Counts one more.
    pub fn add(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// The count so far.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// All counts.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests that were read whole.
    pub requests: Count,
    /// Requests that were written to a replica for the first time.
    pub first_sends: Count,
    /// Requests that were written to a further replica.
    pub repeated_sends: Count,
    /// Answers of replicas that were passed on whole.
    pub passed: Count,
    /// Requests refused with 503.
    pub refused: Count,
    /// Requests failed with 502 or 504.
    pub failed: Count,
    /// Requests denied with 401 or 404.
    pub denied: Count,
    /// Answers broken off after they had begun.
    pub broken: Count,
    /// Clients that left before their answer was whole.
    pub abandoned: Count,
    /// Attempts called off because they had not begun on weights whose term ended.
    pub outdated: Count,
    /// Connections made to replicas.
    pub connects: Count,
}

impl Counters {
    /// Writes all counts at the level of debugging.
    pub fn log(&self) {
        log::debug!(
            requests = self.requests.get(), first_sends = self.first_sends.get(),
            repeated_sends = self.repeated_sends.get(), passed = self.passed.get(),
            refused = self.refused.get(), failed = self.failed.get(), denied = self.denied.get(),
            broken = self.broken.get(), abandoned = self.abandoned.get(),
            outdated = self.outdated.get(), connects = self.connects.get();
            "counters"
        );
    }
}
