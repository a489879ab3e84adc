//! The queue of the load balancers' timers, ordered by due time.

use std::collections::BTreeMap;
use std::task::{Context, Poll, Waker};

use tulipridge_load_balancer::types::{Nanos, RequestId};

use crate::placement::service_index::ServiceIndex;

/// A timer. The order of the fields is the order in which timers run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TimerKey {
    pub(crate) due: Nanos,
    /// The service whose load balancer set the timer.
    pub(crate) service: ServiceIndex,
    /// The load balancer's id of the timer.
    pub(crate) token: u64,
}

/// A timer that is due, and the request that it was set for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DueTimer {
    pub(crate) key: TimerKey,
    pub(crate) request: Option<RequestId>,
}

/// The timers that have not run yet.
#[derive(Default)]
pub(crate) struct PendingTimers {
    timers: BTreeMap<TimerKey, Option<RequestId>>,
    waker: Option<Waker>,
}

impl PendingTimers {
    /// The time at which the next timer is due.
    pub(crate) fn next_due(&self) -> Option<Nanos> {
        self.timers.first_key_value().map(|(key, _)| key.due)
    }

    /// Adds a timer. Wakes the waiting task if the timer is due before all others.
    pub(crate) fn insert(&mut self, key: TimerKey, request: Option<RequestId>) {
        let is_first = self.next_due().is_none_or(|first| key.due < first);
        self.timers.insert(key, request);
        if is_first {
            if let Some(waker) = self.waker.take() {
                waker.wake();
            }
        }
    }

    /// Removes a timer. Returns false if the timer has already run.
    pub(crate) fn remove(&mut self, key: &TimerKey) -> bool {
        self.timers.remove(key).is_some()
    }

    /// Removes the next timer if it is due.
    pub(crate) fn pop_due(&mut self, now: Nanos) -> Option<DueTimer> {
        let first = self.timers.first_entry().filter(|first| first.key().due <= now)?;
        let (key, request) = first.remove_entry();
        Some(DueTimer { key, request })
    }

    /// Ready once a timer is due before `known`, the time that the caller already waits for.
    pub(crate) fn poll_earlier(&mut self, known: Option<Nanos>, context: &mut Context<'_>) -> Poll<()> {
        if self.next_due().is_some_and(|due| known.is_none_or(|known| due < known)) {
            return Poll::Ready(());
        }
        self.waker = Some(context.waker().clone());
        Poll::Pending
    }
}
