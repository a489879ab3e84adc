//! When the list service is called. No I/O and no clock. The schedule spares the service, which answers one call after
//! another for all gateways.
//!
//! Each gateway has a slot of its own in a window that recurs on the clock that all share, and calls in its slot only. So
//! the service sees an even stream whoever starts, fails or comes back, and whenever. After a failure windows are skipped,
//! a number drawn from a range that doubles (exponential backoff with full jitter).
//!
//! A change of the list must be applied within [`PROPAGATION_DEADLINE`] after a watch became idle or the service was back.
//! [`ListSchedule::propagation_bounds`] states the bounds of the whole chain:
//!
//! | step | bound |
//! | --- | --- |
//! | an idle watch is noticed | [`WATCH_IDLE_TIMEOUT`]; none where a watch was reset or a call refused |
//! | the rest of this gateway's slot, if it may have called in it | a window's part |
//! | its slot | the window: what the other steps leave |
//! | connection, call, response and application of the list | [`FETCH_ALLOWANCE`] |
//! | the drain's grace | is no step: it runs from then on, and is the reserve for a response that queues |
//!
//! A call that failed quickly cost the service nothing: it is down, or sheds load. A call that failed late may have waited
//! at a service that can't keep up, and whose work at it was lost: then the window is as long as a slow service needs for
//! all gateways, and at least one in two is skipped on average. The settings give a gateway four times as long after a
//! failed call, and that bounds this wait as it bounds the wait after quick failures.
//!
//! A service that answered this gateway's last call before a client of it would have given up keeps up with the group, all of which called in the same
//! window. If it then fails late, it is down and something before it holds calls until they time out. Calls go on as after
//! an idle watch, so that the deadline is met at its return, but for [`OUTAGE_FAILURES`] in a row only: it may be
//! overloaded after all. A service that has not answered yet is given the benefit of the doubt for fewer, in the window
//! after quick failures.

use crate::types::{Nanos, Settings};

const MILLI: Nanos = 1_000_000;
/// What a call costs the service where its rate is not stated: so much of the first window is each gateway's.
const ASSUMED_SERVICE_TIME: Nanos = 60 * MILLI;
/// The first window is at most this part of the list's longest age.
const FIRST_WINDOW_FRACTION: f64 = 0.55;
/// Yet never more calls than this multiple of what a slow service can serve.
const MAX_FIRST_RATE_FACTOR: Nanos = 4;
/// The longest window as a multiple of the list's longest age, unless twice what a slow service needs for all is longer.
const MAX_WAIT_FACTOR: f64 = 1.6;
/// A gateway may go without the list for this multiple of its longest age after a failed call.
const AGE_FACTOR_AFTER_FAILURE: Nanos = 4;
/// Longest ages beyond this one make no difference here.
const MAX_RELEVANT_AGE: Nanos = 1_000_000 * MILLI;
/// The shortest longest age that is taken from the settings.
const MIN_LIST_AGE: Nanos = 1000 * MILLI;
/// A change of the list counts as propagated so long after its watch became idle or the service was back.
pub const PROPAGATION_DEADLINE: Nanos = 6000 * MILLI;
/// A watch has traffic every 2 s; without any for this time it is idle. Little is lost if its message is only late: it is
/// read until the gateway's slot has come.
pub const WATCH_IDLE_TIMEOUT: Nanos = 2400 * MILLI;
/// For a call to be made and answered and its list to be applied. A service that queues answers all of a group after as
/// long as it needs for all, however dense they come within their window.
pub const FETCH_ALLOWANCE: Nanos = 500 * MILLI;
/// A call that fails within this time has not waited for others: services time out after [`MIN_SERVICE_TIMEOUT`] or more.
const QUICK_FAILURE_LIMIT: Nanos = 500 * MILLI;
/// The shortest time after which a service that can't keep up fails a call that has waited. One that answers earlier keeps
/// up, though calls may queue at it for a moment, as they do when many gateways start at once.
pub const MIN_SERVICE_TIMEOUT: Nanos = 1000 * MILLI;
/// Calls that the deadline wants early come at most so many times as dense as a slow service can serve.
const MAX_EARLY_RATE_FACTOR: Nanos = 7;
/// Late failures in a row that are taken for an outage of a service that kept up before.
pub const OUTAGE_FAILURES: u32 = 6;
/// The same for a service that this gateway knows nothing of yet.
pub const UNKNOWN_FAILURES: u32 = 3;
/// After this time a call is given up, connection and response.
const CALL_TIMEOUT: Nanos = 3500 * MILLI;
/// Doublings of the range of skipped windows, at most; keeps the shift in range.
const MAX_DOUBLINGS: u32 = 16;
const NANOS_PER_SECOND: f64 = 1e9;

/// The gateway's slot in each window.
#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    gateway_index: u32,
    group_size: u32,
}

/// The lengths of windows: the time in which each gateway of the group calls once.
#[derive(Clone, Copy, Debug, Default)]
struct Windows {
    /// After a start.
    first: Nanos,
    /// After a watch that became idle.
    after_idle: Nanos,
    /// After a call that failed quickly.
    after_quick_failure: Nanos,
    /// The longest wait after quick failures, in windows that are skipped.
    max_wait_after_quick_failure: Nanos,
    /// What a slow service needs for all.
    slow_service: Nanos,
    /// The longest wait after late failures, in windows that are skipped.
    max_wait: Nanos,
}

/// The schedule of one gateway's calls for the list.
#[derive(Clone, Debug, Default)]
pub struct ListSchedule {
    max_age: Nanos,
    windows: Windows,
    slot: Slot,
    failures: u32,
    /// The service has answered since the last failure.
    has_watch: bool,
    service: ServiceState,
    /// The service asked not to be called before this time.
    not_before: Nanos,
    /// When the last call was to be made, until it is answered.
    call_due: Option<Nanos>,
}

/// What the last call that the service answered says of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ServiceState {
    /// It has answered none yet.
    #[default]
    Unknown,
    /// It answered within [`MIN_SERVICE_TIMEOUT`].
    KeepsUp,
    /// Its response came later.
    Slow,
}

/// What an outage allows: late failures in a row that are taken for one, and the window for calls in it.
struct OutagePolicy {
    window: Nanos,
    failures: u32,
}

/// How windows are drawn after a failure.
struct Backoff {
    window: Nanos,
    /// Exponent of the range from which the number of skipped windows is drawn.
    doublings: u32,
    max_wait: Nanos,
}

/// The bounds of the chain from a watch's idleness, or the service's return, to the list's application.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PropagationBounds {
    /// For a watch that becomes idle.
    pub after_idle: Nanos,
    /// After calls that failed quickly.
    pub after_refusal: Nanos,
    /// After calls that failed late, from the last call on.
    pub after_timeout: Nanos,
}

impl Windows {
    /// Windows for `group` gateways; a stated `rate_per_s` of the service sets them, however long they become.
    fn new(group: Nanos, max_age: Nanos, rate_per_s: Option<f64>) -> Windows {
        let age_bound = (max_age as f64 * FIRST_WINDOW_FRACTION) as Nanos;
        let slow = ASSUMED_SERVICE_TIME * group;
        let stated = rate_per_s
            .filter(|rate| *rate > 0.0)
            .map(|rate| (group as f64 / rate * NANOS_PER_SECOND) as Nanos);
        // A window and its slot fit into what is left of the deadline, the slot being a part of the window.
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
        // Where the rate is stated, it decides. Else two windows, of which one may be skipped, fit into what a gateway has
        // after a failed call.
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
    /// The schedule of the gateway that has these settings.
    #[must_use]
    pub fn from_settings(settings: &Settings) -> ListSchedule {
        let max_age = settings.safety.max_list_age.max(MIN_LIST_AGE);
        ListSchedule::new(settings.gateway_index, settings.group_size, max_age, settings.list_calls_per_s)
    }

    /// Takes over another group size: slots and windows follow it, from the next call on.
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

    /// How old the list may become: so long after a call without a response the next one is made.
    #[must_use]
    pub fn max_age(&self) -> Nanos {
        self.max_age
    }

    /// For gateway `gateway_index` of `group_size` whose list may become `max_age` old; `rate_per_s` is what the service
    /// can serve, where it is stated, and then the windows follow it however long they become.
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

    /// What the chain takes at the most. Beyond [`PROPAGATION_DEADLINE`] it doesn't fit: the service can't answer a group
    /// of this size within the time, by the rate stated or else by what is assumed.
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

    /// The longest wait after a late failure.
    fn max_wait(&self) -> Nanos {
        self.windows.max_wait.max(self.with_slot(self.windows.slow_service))
    }

    /// A window and one slot of it.
    fn with_slot(&self, window: Nanos) -> Nanos {
        window + window / Nanos::from(self.slot.group_size.max(1))
    }

    /// How long a gateway that has just started waits before its first call, by the clock that all gateways share;
    /// `jitter` is a random number in 0..1.
    pub fn first_wait(&mut self, now: Nanos, jitter: f64) -> Nanos {
        let wait = self.time_to_slot(now, self.windows.first, jitter);
        self.call_due = Some(now + wait);
        wait
    }

    /// A call has failed, or a watch has ended. Returns how long to wait before the next one; `jitter` is a random number
    /// in 0..1.
    pub fn record_failure(&mut self, now: Nanos, jitter: f64) -> Nanos {
        let Backoff { window, doublings, max_wait } = self.backoff(now);
        let slot = window / Nanos::from(self.slot.group_size);
        let max_windows = (max_wait.saturating_sub(slot) / window.max(1)).max(1);
        let windows = (1 << doublings.min(MAX_DOUBLINGS)).min(max_windows);
        (self.failures, self.has_watch) = (self.failures + 1, false);
        // The integer part says how many windows are skipped, the rest where in its slot the call comes.
        let drawn_windows = jitter * windows as f64;
        // Not in the slot that it may still be in: that call was this window's.
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
            // While it is deferred, a gateway has spent a part of its time.
            (_, true) if is_deferred && fits_deadline(after_idle) => single_window(after_idle),
            (_, true) if fits_deadline(after_quick_failure) => Backoff {
                window: after_quick_failure,
                doublings: self.failures,
                max_wait: max_wait_after_quick_failure,
            },
            (_, false) if is_outage => single_window(outage.window),
            // Late failures that were taken for an outage don't count for the windows that are skipped.
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

    /// The time to this gateway's next slot in windows of this length.
    fn time_to_slot(&self, now: Nanos, window: Nanos, jitter: f64) -> Nanos {
        let Slot { gateway_index, group_size } = self.slot;
        let window = window.max(1);
        let slot = (window as f64 * (f64::from(gateway_index) + jitter) / f64::from(group_size)) as Nanos;
        (slot + window - now % window) % window
    }

    /// The service asks not to be called for `wait`; it may have asked all gateways the same.
    pub fn defer(&mut self, now: Nanos, wait: Nanos) {
        // Guards against a service that would have a gateway go without the list for long.
        self.not_before = self.not_before.max(now.saturating_add(wait.min(self.windows.max_wait)));
    }

    /// The list has come.
    pub fn record_success(&mut self, now: Nanos) {
        if let Some(due) = self.call_due.take() {
            let keeps_up = now.saturating_sub(due) < MIN_SERVICE_TIMEOUT;
            self.service = if keeps_up { ServiceState::KeepsUp } else { ServiceState::Slow };
        }
        (self.failures, self.has_watch, self.not_before) = (0, true, 0);
    }
}
