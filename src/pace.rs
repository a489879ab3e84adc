//! When the list service is called: a module without clock or I/O. What it decides spares the service, which answers
//! one call after another for all gateways; whom requests go to is decided elsewhere.
//!
//! Each gateway has a slot of its own in a window that recurs on the clock that all share, and calls in its slot only.
//! So the service sees an even stream whoever starts, fails or comes back, and whenever. After a failure windows are let
//! go by, a number drawn from a range that doubles (full jitter). A failed call, unlike a watch that has ended, also
//! says that the service could not keep up: then the window is as long as a slow service needs for all gateways, and
//! at least one in two is let go by on average, since it still works at calls whose callers have given up.

use crate::types::Nanos;

const MILLI: Nanos = 1_000_000;
/// What a call costs the service where nobody has said: so much of the first window is each gateway's.
const EACH: Nanos = 60 * MILLI;
/// The first window is at most this part of the time that a gateway may go without the list: what the list has to
/// tell counts as told some seconds later, whether it was heard or not.
const PART: f64 = 0.55;
/// Yet never more calls than this multiple of what a slow service can serve.
const DENSEST: Nanos = 4;
/// The longest window, as a multiple of that time, unless twice what a slow service needs for all is longer.
const LONGEST: f64 = 1.6;

/// The calls of one gateway.
#[derive(Clone, Debug, Default)]
pub struct Calls {
    first: Nanos,
    slow: Nanos,
    longest: Nanos,
    slot: (u32, u32),
    failures: u32,
    /// The service has answered since the last failure.
    watched: bool,
    not_before: Nanos,
}

impl Calls {
    /// For gateway `me` of `group` that may go without the list for `patience`; `rate` is what the service can serve
    /// in a second, if somebody has said, and then the first window follows it however long it becomes.
    pub fn new(me: u32, group: u32, patience: Nanos, rate: Option<f64>) -> Calls {
        let group = group.max(1);
        let usual = (patience as f64 * PART) as Nanos;
        let slow = EACH * Nanos::from(group);
        let first = match rate.filter(|r| *r > 0.0) {
            Some(rate) => (f64::from(group) / rate * 1e9) as Nanos,
            None => slow.min(usual.max(slow / DENSEST)),
        };
        // Who was told the rate goes by it.
        let slow = if rate.is_some() { first } else { slow };
        let longest = ((patience as f64 * LONGEST) as Nanos).max(2 * slow);
        Calls {
            first,
            slow,
            longest,
            slot: (me % group, group),
            failures: 0,
            watched: false,
            not_before: 0,
        }
    }

    /// How long a gateway that has just started waits, by the clock that all gateways share; `chance` is a random
    /// number in 0..1.
    pub fn start(&self, now: Nanos, chance: f64) -> Nanos {
        self.slot_after(now, self.first, chance)
    }

    /// A call has failed, or a watch has ended: how long to wait before the next one.
    pub fn failed(&mut self, now: Nanos, chance: f64) -> Nanos {
        let (window, more) = if self.watched { (self.first, 0) } else { (self.slow, 1) };
        let most = (self.longest / window.max(1)).max(1);
        let windows = (1 << (self.failures + more).min(16)).min(most);
        (self.failures, self.watched) = (self.failures + 1, false);
        // The whole part says how many windows go by, the rest where in its slot the call comes.
        let drawn = chance * windows as f64;
        // Not in the slot that it may still be in: that call was this window's.
        let from = self.not_before.max(now) + window / Nanos::from(self.slot.1);
        from - now + window * drawn as Nanos + self.slot_after(from, window, drawn.fract())
    }

    /// The time to this gateway's next slot in windows of this length.
    fn slot_after(&self, now: Nanos, window: Nanos, chance: f64) -> Nanos {
        let (me, group) = self.slot;
        let window = window.max(1);
        let slot = (window as f64 * (f64::from(me) + chance) / f64::from(group)) as Nanos;
        (slot + window - now % window) % window
    }

    /// The service asks to be left alone for `wait`; all gateways may have been told the same.
    pub fn busy(&mut self, now: Nanos, wait: Nanos) {
        // Guards against a service that would have a gateway go without the list for long.
        self.not_before = self.not_before.max(now.saturating_add(wait.min(self.longest)));
    }

    /// The list has come.
    pub fn answered(&mut self) {
        (self.failures, self.watched, self.not_before) = (0, true, 0);
    }
}
