//! From when on requests must not begin on older weights.
//!
//! A replica starts what waits in its queue with the weights that it has then, so it is not enough to send nothing new
//! to a replica whose weights are withdrawn. The order to load empties its queue; a request that is still there some
//! time later, as where that order does not get through, is called off by the gateway that sent it.

use std::collections::BTreeMap;
use std::time::Duration;

use intercom::feed::{ModelRevision, ModelWeights, WeightsTable};

/// The limits of all models. The time is handed in.
#[derive(Debug)]
pub struct Expiry {
    call_off_delay: Duration,
    limits: BTreeMap<String, Vec<Limit>>,
}

/// Requests that wait on revisions below this one are called off at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Limit {
    revision: u64,
    at: Duration,
}

impl Expiry {
    /// No limits yet. From the news that weights have expired on, requests have so long to begin.
    pub fn new(call_off_delay: Duration) -> Expiry {
        Expiry { call_off_delay, limits: BTreeMap::new() }
    }

    /// Takes another delay, for news from now on.
    pub fn set_call_off_delay(&mut self, call_off_delay: Duration) {
        self.call_off_delay = call_off_delay;
    }

    /// Takes the table of weights; whether there is a new limit.
    pub fn take(&mut self, table: &WeightsTable, now: Duration) -> bool {
        let mut has_news = false;
        for line in &table.models {
            has_news |= self.take_line(line, now);
        }
        has_news
    }

    fn take_line(&mut self, line: &ModelWeights, now: Duration) -> bool {
        let limits = self.limits.entry(line.model.clone()).or_default();
        let newest = limits.last().map_or(0, |limit| limit.revision);
        if line.expired <= newest {
            return false;
        }
        let passed = limits.iter().filter(|limit| limit.at <= now).count();
        // The last of them stands for all that came before.
        limits.drain(..passed.saturating_sub(1));
        limits.push(Limit { revision: line.expired, at: now + self.call_off_delay });
        true
    }

    /// When requests that have not begun on these weights are called off; none while they may wait on.
    pub fn call_off_at(&self, weights: &ModelRevision) -> Option<Duration> {
        let limits = self.limits.get(&weights.model)?;
        limits.iter().find(|limit| limit.revision > weights.revision).map(|limit| limit.at)
    }
}
