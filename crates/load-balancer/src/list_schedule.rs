//! The schedule of calls to the list service. No I/O and no clock. It limits the load on the service, which
//! handles the calls of all gateways one at a time.
//!
//! Each gateway has a slot in a window that recurs on a shared clock, and calls only in its slot. The
//! service thus gets an even rate of calls regardless of which gateways start, fail or return, and when.
//! After a failure a gateway skips a random number of windows, drawn from a range that doubles (exponential
//! backoff with full jitter).
//!
//! A change of the list must be applied within [`PROPAGATION_DEADLINE`] after a watch became idle or the
//! service became available again. [`ListSchedule::propagation_bounds`] returns the bounds of the total of
//! these steps:
//!
//! | step | bound |
//! | --- | --- |
//! | detection of an idle watch | [`WATCH_IDLE_TIMEOUT`]; 0 if a watch was reset or a call refused |
//! | rest of this gateway's slot, in which it may have called | the window divided by the group size |
//! | wait for its next slot | the window, sized to fit into what the other steps leave |
//! | connection, call, response and application of the list | [`FETCH_ALLOWANCE`] |
//!
//! The grace period of a drain begins after these steps. It is the reserve for a response that is queued at
//! the service.
//!
//! A call that failed quickly cost the service nothing: the service is down or sheds load. A call that
//! failed late may have been queued at an overloaded service, whose work on it was wasted. The window is
//! then as long as a slow service needs for all gateways, and on average at least every other window is
//! skipped. The settings permit a gateway four times the maximum age of the list after a failed call, which
//! bounds this wait and the wait after quick failures.
//!
//! If the service answered this gateway's last call within [`MIN_SERVICE_TIMEOUT`], before a queued call
//! would have failed, it keeps up with the group, since all gateways called in the same window. If later
//! calls fail late, the service is down, and something in front of it holds calls until they time out.
//! Calls continue as after an idle watch, so that the deadline is met when the service returns, but for at
//! most [`OUTAGE_FAILURES`] in a row, since the service may be overloaded after all. For a service that has
//! not answered any call yet, the limit is [`UNKNOWN_FAILURES`], in the window that is used after quick
//! failures.

use crate::types::{Nanos, Settings};

const MILLI: Nanos = 1_000_000;
/// Service time of a call if the rate of the service is not stated. A slow service needs this time per
/// gateway.
const ASSUMED_SERVICE_TIME: Nanos = 60 * MILLI;
/// Limit of the first window as a fraction of the maximum age of the list.
const FIRST_WINDOW_FRACTION: f64 = 0.55;
/// Maximum rate of calls in the first window, as a multiple of what a slow service can serve. Takes
/// precedence over [`FIRST_WINDOW_FRACTION`].
const MAX_FIRST_RATE_FACTOR: Nanos = 4;
/// Maximum wait after late failures as a multiple of the maximum age of the list, unless two windows of a
/// slow service are longer.
const MAX_WAIT_FACTOR: f64 = 1.6;
/// After a failed call a gateway may be without the list for this multiple of its maximum age.
const AGE_FACTOR_AFTER_FAILURE: Nanos = 4;
/// Upper limit of the maximum age in the wait after failures; larger ages make no difference.
const MAX_RELEVANT_AGE: Nanos = 1_000_000 * MILLI;
/// Lower limit of the maximum age from the settings.
const MIN_LIST_AGE: Nanos = 1000 * MILLI;
/// Time within which a change of the list is propagated, after a watch became idle or the service became
/// available again.
pub const PROPAGATION_DEADLINE: Nanos = 6000 * MILLI;
/// A watch without traffic for this time is idle; the service sends something every 2 s. A message that is
/// only late is still read until the gateway's slot has come, so that a short timeout costs little.
pub const WATCH_IDLE_TIMEOUT: Nanos = 2400 * MILLI;
/// Time for a call, its response and the application of the list. A service that queues calls needs the
/// same total time for a group at any rate of calls within the window.
pub const FETCH_ALLOWANCE: Nanos = 500 * MILLI;
/// A call that fails within this time was not queued: services time out after [`MIN_SERVICE_TIMEOUT`] or
/// more.
const QUICK_FAILURE_LIMIT: Nanos = 500 * MILLI;
/// Minimum time after which an overloaded service fails a queued call. A service that answers sooner keeps
/// up, even if calls are queued for a moment, as when many gateways start at once.
pub const MIN_SERVICE_TIMEOUT: Nanos = 1000 * MILLI;
/// Maximum rate of calls in windows shortened for the deadline, as a multiple of what a slow service can
/// serve.
const MAX_EARLY_RATE_FACTOR: Nanos = 7;
/// Consecutive late failures that are treated as an outage if the service kept up before.
pub const OUTAGE_FAILURES: u32 = 6;
/// Consecutive late failures that are treated as an outage if the service has not answered any call yet.
pub const UNKNOWN_FAILURES: u32 = 3;
/// Timeout of a call, for connection and response together.
const CALL_TIMEOUT: Nanos = 3500 * MILLI;
/// Maximum number of doublings of the backoff range; keeps the shift in range.
const MAX_DOUBLINGS: u32 = 16;
const NANOS_PER_SECOND: f64 = 1e9;

/// The gateway's slot in each window.
#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    gateway_index: u32,
    group_size: u32,
}

/// Window lengths by case. In a window each gateway of the group calls once.
#[derive(Clone, Copy, Debug, Default)]
struct Windows {
    /// After a start.
    first: Nanos,
    /// After a watch that became idle.
    after_idle: Nanos,
    /// After a call that failed quickly.
    after_quick_failure: Nanos,
    /// Limit of the wait after quick failures, skipped windows included.
    max_wait_after_quick_failure: Nanos,
    /// After a late failure: the time that a slow service needs for the calls of all gateways.
    slow_service: Nanos,
    /// Limit of the wait after late failures, skipped windows included.
    max_wait: Nanos,
}

/// The schedule of one gateway's calls for the list.
#[derive(Clone, Debug, Default)]
pub struct ListSchedule {
    max_age: Nanos,
    windows: Windows,
    slot: Slot,
    failures: u32,
    /// Whether the service has answered since the last failure, so that a watch is established.
    has_watch: bool,
    service: ServiceState,
    /// The service asked not to be called before this time.
    not_before: Nanos,
    /// Scheduled time of the last call; `None` once the service has answered.
    call_due: Option<Nanos>,
}

/// The state of the service as inferred from the last call that it answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ServiceState {
    /// The service has not answered a call yet.
    #[default]
    Unknown,
    /// The response came within [`MIN_SERVICE_TIMEOUT`].
    KeepsUp,
    /// The response came later.
    Slow,
}

/// The number of consecutive late failures that are treated as an outage, and the window for calls in an
/// outage.
struct OutagePolicy {
    window: Nanos,
    failures: u32,
}

/// The backoff after a failure.
struct Backoff {
    window: Nanos,
    /// Base-2 logarithm of the range from which the number of skipped windows is drawn.
    doublings: u32,
    max_wait: Nanos,
}

/// Upper bounds of the time from when a watch became idle, or the service available again, until the list
/// is applied.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PropagationBounds {
    /// For a watch that becomes idle.
    pub after_idle: Nanos,
    /// After calls that failed quickly.
    pub after_refusal: Nanos,
    /// After calls that failed late, from the start of the last call.
    pub after_timeout: Nanos,
}

impl Windows {
    /// Windows for `group` gateways. If `rate_per_s`, the rate of the service, is stated, it
    /// determines their lengths, without an upper limit.
    fn new(group: Nanos, max_age: Nanos, rate_per_s: Option<f64>) -> Windows {
        let age_bound = (max_age as f64 * FIRST_WINDOW_FRACTION) as Nanos;
        let slow = ASSUMED_SERVICE_TIME * group;
        let stated = rate_per_s
            .filter(|rate| *rate > 0.0)
            .map(|rate| (group as f64 / rate * NANOS_PER_SECOND) as Nanos);
        // The longest window that fits into the remaining time together with one of its slots.
        let fit_with_slot = |left: Nanos| left * group / (group + 1);
        let early_window =
            |left| stated.unwrap_or(slow.min(fit_with_slot(left).max(slow / MAX_EARLY_RATE_FACTOR)));
        let age_after_failure = max_age
            .saturating_mul(AGE_FACTOR_AFTER_FAILURE)
            .min(AGE_FACTOR_AFTER_FAILURE * MAX_RELEVANT_AGE);
        let max_total_wait = age_after_failure
            .saturating_sub(CALL_TIMEOUT + FETCH_ALLOWANCE)
            .max(fit_with_slot(PROPAGATION_DEADLINE - FETCH_ALLOWANCE));
        let two_windows = |window: Nanos| 2 * window + window / group;
        let max_wait = (max_age as f64 * MAX_WAIT_FACTOR) as Nanos;
        // A stated rate takes precedence. Else two windows, one of which may be skipped, fit into the time
        // that a gateway may be without the list after a failed call.
        let (slow_service, max_wait) = match stated {
            Some(window) => (window, max_wait.max(two_windows(window))),
            None => {
                let window = slow.min(max_total_wait * group / (2 * group + 1));
                (window, max_wait.max(two_windows(window)).min(max_total_wait))
            }
        };
        Windows {
            first: stated.unwrap_or(slow.min(age_bound.max(slow / MAX_FIRST_RATE_FACTOR))),
            after_idle: early_window(PROPAGATION_DEADLINE - WATCH_IDLE_TIMEOUT - FETCH_ALLOWANCE),
            after_quick_failure: early_window(PROPAGATION_DEADLINE - FETCH_ALLOWANCE),
            max_wait_after_quick_failure: PROPAGATION_DEADLINE.min(age_after_failure) - FETCH_ALLOWANCE,
            slow_service,
            max_wait,
        }
    }
}

impl ListSchedule {
    /// Creates the schedule of a gateway with these settings.
    #[must_use]
    pub fn from_settings(settings: &Settings) -> ListSchedule {
        let max_age = settings.slow_start.max_list_age.max(MIN_LIST_AGE);
        ListSchedule::new(settings.gateway_index, settings.group_size, max_age, settings.list_calls_per_s)
    }

    /// Changes the group size. Slots and windows change from the next call on.
    pub fn set_group_size(&mut self, settings: &Settings) {
        let ListSchedule { failures, has_watch, service, not_before, call_due, .. } = *self;
        *self = ListSchedule {
            failures,
            has_watch,
            service,
            not_before,
            call_due,
            ..ListSchedule::from_settings(settings)
        };
    }

    /// The maximum age of the list. The next call is made this long after a call without a response.
    #[must_use]
    pub fn max_age(&self) -> Nanos {
        self.max_age
    }

    /// Creates the schedule of gateway `gateway_index` of `group_size`. `max_age` is the maximum age of the
    /// gateway's list. `rate_per_s` is the rate of calls that the service can serve. If stated, it
    /// determines the windows, however long they become.
    #[must_use]
    pub fn new(
        gateway_index: u32,
        group_size: u32,
        max_age: Nanos,
        rate_per_s: Option<f64>,
    ) -> ListSchedule {
        let group_size = group_size.max(1);
        ListSchedule {
            max_age,
            windows: Windows::new(Nanos::from(group_size), max_age, rate_per_s),
            slot: Slot { gateway_index: gateway_index % group_size, group_size },
            ..ListSchedule::default()
        }
    }

    /// The upper bounds of the propagation time. A bound beyond [`PROPAGATION_DEADLINE`] means that the
    /// service can't answer a group of this size in time, by the stated rate or else by the assumed one.
    #[must_use]
    pub fn propagation_bounds(&self) -> PropagationBounds {
        let after_refusal = if self.windows.after_quick_failure <= PROPAGATION_DEADLINE - FETCH_ALLOWANCE {
            self.with_slot(self.windows.after_quick_failure).max(PROPAGATION_DEADLINE - FETCH_ALLOWANCE)
        } else {
            self.max_wait()
        };
        PropagationBounds {
            after_idle: WATCH_IDLE_TIMEOUT + self.with_slot(self.windows.after_idle) + FETCH_ALLOWANCE,
            after_refusal: after_refusal + FETCH_ALLOWANCE,
            after_timeout: CALL_TIMEOUT + self.max_wait() + FETCH_ALLOWANCE,
        }
    }

    /// The maximum wait after a late failure.
    fn max_wait(&self) -> Nanos {
        self.windows.max_wait.max(self.with_slot(self.windows.slow_service))
    }

    /// The length of a window plus one of its slots.
    fn with_slot(&self, window: Nanos) -> Nanos {
        window + window / Nanos::from(self.slot.group_size.max(1))
    }

    /// Returns the wait before the first call of a gateway that has just started. `now` is on the clock
    /// that all gateways share; `jitter` is a random number in 0..1.
    pub fn first_wait(&mut self, now: Nanos, jitter: f64) -> Nanos {
        let wait = self.time_to_slot(now, self.windows.first, jitter);
        self.call_due = Some(now + wait);
        wait
    }

    /// Records that a call has failed or a watch has ended, and returns the wait before the next call.
    /// `jitter` is a random number in 0..1.
    pub fn record_failure(&mut self, now: Nanos, jitter: f64) -> Nanos {
        let Backoff { window, doublings, max_wait } = self.backoff(now);
        let slot = window / Nanos::from(self.slot.group_size);
        let max_windows = (max_wait.saturating_sub(slot) / window.max(1)).max(1);
        let windows = (1 << doublings.min(MAX_DOUBLINGS)).min(max_windows);
        (self.failures, self.has_watch) = (self.failures + 1, false);
        // The integer part is the number of skipped windows, the fraction the position of the call in its
        // slot.
        let drawn_windows = jitter * windows as f64;
        // The current slot is skipped, since this gateway may already have called in it.
        let from = self.not_before.max(now) + slot;
        let wait = from - now
            + window * drawn_windows as Nanos
            + self.time_to_slot(from, window, drawn_windows.fract());
        self.call_due = Some(now + wait);
        wait
    }

    fn backoff(&self, now: Nanos) -> Backoff {
        let is_quick_failure =
            self.call_due.is_some_and(|due| now >= due && now - due < QUICK_FAILURE_LIMIT);
        let is_deferred = self.not_before > now;
        let fits_deadline = |window: Nanos| window <= PROPAGATION_DEADLINE - FETCH_ALLOWANCE;
        let outage = self.outage_policy();
        let is_outage = self.failures < outage.failures && fits_deadline(outage.window);
        let Windows {
            after_idle,
            after_quick_failure,
            max_wait_after_quick_failure,
            slow_service,
            max_wait,
            ..
        } = self.windows;
        let single_window = |window| Backoff { window, doublings: 0, max_wait: window };
        match (self.has_watch, is_quick_failure) {
            (true, _) => single_window(after_idle),
            // The deferral uses up a part of the time until the deadline, so the shorter window applies.
            (_, true) if is_deferred && fits_deadline(after_idle) => single_window(after_idle),
            (_, true) if fits_deadline(after_quick_failure) => Backoff {
                window: after_quick_failure,
                doublings: self.failures,
                max_wait: max_wait_after_quick_failure,
            },
            (_, false) if is_outage => single_window(outage.window),
            // Late failures that were treated as an outage don't widen the backoff range.
            _ => Backoff {
                window: slow_service,
                doublings: 1 + self.failures.saturating_sub(outage.failures),
                max_wait,
            },
        }
    }

    fn outage_policy(&self) -> OutagePolicy {
        let (window, failures) = match self.service {
            ServiceState::Unknown => (self.windows.after_quick_failure, UNKNOWN_FAILURES),
            ServiceState::KeepsUp => (self.windows.after_idle, OUTAGE_FAILURES),
            ServiceState::Slow => (self.windows.slow_service, 0),
        };
        OutagePolicy { window, failures }
    }

    /// The time until this gateway's next slot in windows of the given length.
    fn time_to_slot(&self, now: Nanos, window: Nanos, jitter: f64) -> Nanos {
        let Slot { gateway_index, group_size } = self.slot;
        let window = window.max(1);
        let slot = (window as f64 * (f64::from(gateway_index) + jitter) / f64::from(group_size)) as Nanos;
        (slot + window - now % window) % window
    }

    /// Records that the service asks not to be called for `wait`. It may have asked all gateways the same.
    pub fn defer(&mut self, now: Nanos, wait: Nanos) {
        // The wait is limited, so that the service can't leave a gateway without the list for too long.
        self.not_before = self.not_before.max(now.saturating_add(wait.min(self.windows.max_wait)));
    }

    /// Records that the list has been received.
    pub fn record_success(&mut self, now: Nanos) {
        if let Some(due) = self.call_due.take() {
            let keeps_up = now.saturating_sub(due) < MIN_SERVICE_TIMEOUT;
            self.service = if keeps_up { ServiceState::KeepsUp } else { ServiceState::Slow };
        }
        (self.failures, self.has_watch, self.not_before) = (0, true, 0);
    }
}
