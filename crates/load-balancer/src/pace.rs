//! When the list service is called: a module without clock or I/O. What it decides spares the service, which answers
//! one call after another for all gateways; whom requests go to is decided elsewhere.
//!
//! Each gateway has a slot of its own in a window that recurs on the clock that all share, and calls in its slot only.
//! So the service sees an even stream whoever starts, fails or comes back, and whenever. After a failure windows are let
//! go by, a number drawn from a range that doubles (full jitter).
//!
//! What the list has to tell counts as told [`TOLD`] after a watch fell silent or the service was back, heard or not.
//! That is the budget of the whole chain, which [`Calls::budget`] states:
//!
//! | part | bound |
//! | --- | --- |
//! | silence noticed | [`SILENCE`]; none where a watch was reset or a call refused |
//! | what is left of this gateway's slot, if it may have called in it | a window's part |
//! | its slot | the window: what the other parts leave |
//! | connection, call, answer and the list's application | [`ANSWER`] |
//! | the drain's grace | is no part: it runs from then on, and is the reserve for an answer that queues |
//!
//! A call that failed at once cost the service nothing: it is away, or sheds. A call that failed late may have waited
//! at a service that can't keep up, and whose work at it was lost: then the window is as long as a slow service needs
//! for all gateways, and at least one in two is let go by on average. The settings give a gateway four times as long
//! after a failed call, and that bounds this wait.
//!
//! A service that answered this gateway's last call at once keeps up with the group, all of which called in the same
//! window. If it then fails late, it is away and something before it holds calls until they are given up. Calls go on as
//! after a silence, so that the budget holds at its return, but for [`OUTAGE_FAILURES`] in a row only: it may be
//! overloaded after all. A service that has not answered yet is given the benefit of the doubt for fewer, in the window
//! after quick failures.

use crate::types::{Nanos, Settings};

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
/// A gateway may go without the list for this multiple of that time after a failed call.
const FAILED: Nanos = 4;
/// Times for asking beyond this one make no difference here.
const MOST: Nanos = 1_000_000 * MILLI;
/// What the list has to tell counts as told so long after its watch fell silent or the service was back.
pub const TOLD: Nanos = 6000 * MILLI;
/// A watch says something every 2 s; one without a word for this time is taken for silent. Little is lost if its
/// line is only late: it is listened to until the gateway's slot has come.
pub const SILENCE: Nanos = 2400 * MILLI;
/// For a call to be made and answered and its list to be applied. A service that queues answers all of a group after
/// as long as it needs for all, however dense they come within their window.
pub const ANSWER: Nanos = 500 * MILLI;
/// A call that fails within this time has not waited for others: services time out after a second or more.
const QUICK: Nanos = 500 * MILLI;
/// Calls that the budget wants early come at most so many times as dense as a slow service can serve.
const EARLIEST: Nanos = 7;
/// Late failures in a row that are taken for an outage of a service that kept up before.
pub const OUTAGE_FAILURES: u32 = 6;
/// The same for a service that this gateway knows nothing of yet.
pub const UNKNOWN_FAILURES: u32 = 3;
/// So long may a call hang before it is given up, connection and answer.
const HANG: Nanos = 3500 * MILLI;

/// The calls of one gateway.
#[derive(Clone, Debug, Default)]
pub struct Calls {
    patience: Nanos,
    first: Nanos,
    /// After a watch that fell silent.
    anew: Nanos,
    /// After a call that failed at once.
    again: Nanos,
    slow: Nanos,
    longest: Nanos,
    slot: (u32, u32),
    failures: u32,
    /// The service has answered since the last failure.
    watched: bool,
    service: Service,
    not_before: Nanos,
    /// When the last call was to be made, until it is answered.
    due: Option<Nanos>,
}

/// What the last call that the service answered tells of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Service {
    /// It has answered none yet.
    #[default]
    Unknown,
    /// It answered at once.
    KeepsUp,
    /// Its answer came late.
    Slow,
}

/// The bounds of the chain from the start of a silence, or the service's return, to the list's application.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// For a watch that falls silent.
    pub silent: Nanos,
    /// After calls that failed at once.
    pub refused: Nanos,
    /// After calls that failed late, from the last call on.
    pub hung: Nanos,
}

impl Calls {
    /// For the gateway that has these settings.
    #[must_use]
    pub fn of(settings: &Settings) -> Calls {
        let patience = settings.safety.ask_within.max(1000 * MILLI);
        Calls::new(settings.me, settings.group_size, patience, settings.list_calls_per_s)
    }

    /// Another number of gateways shares the service: slots and windows follow it, from the next call on.
    pub fn set_group(&mut self, settings: &Settings) {
        let Calls { failures, watched, service, not_before, due, .. } = *self;
        *self = Calls { failures, watched, service, not_before, due, ..Calls::of(settings) };
    }

    /// For how long the gateway may go without the list: a call is made that long after one of which nothing was heard.
    #[must_use]
    pub fn patience(&self) -> Nanos {
        self.patience
    }

    /// For gateway `me` of `group` that may go without the list for `patience`; `rate` is what the service can serve
    /// in a second, if somebody has said, and then the windows follow it however long they become.
    #[must_use]
    pub fn new(me: u32, group: u32, patience: Nanos, rate: Option<f64>) -> Calls {
        let group = group.max(1);
        let usual = (patience as f64 * PART) as Nanos;
        let all = Nanos::from(group);
        let slow = EACH * all;
        let stated = rate.filter(|r| *r > 0.0).map(|rate| (f64::from(group) / rate * 1e9) as Nanos);
        let first = stated.unwrap_or(slow.min(usual.max(slow / DENSEST)));
        // A window and its slot fit into what is left of the budget, the slot being a part of the window.
        let within = |left: Nanos| left * all / (all + 1);
        let early = |left| stated.unwrap_or(slow.min(within(left).max(slow / EARLIEST)));
        let (anew, again) = (early(TOLD - SILENCE - ANSWER), early(TOLD - ANSWER));
        let most = patience
            .saturating_mul(FAILED)
            .min(FAILED * MOST)
            .saturating_sub(HANG + ANSWER)
            .max(within(TOLD - ANSWER));
        let two = |window: Nanos| 2 * window + window / all;
        let longest = (patience as f64 * LONGEST) as Nanos;
        // Who was told the rate goes by it. Else two windows, of which one may be let go by, fit into what a gateway
        // has after a failed call.
        let (slow, longest) = match stated {
            Some(window) => (window, longest.max(two(window))),
            None => {
                let window = slow.min(most * all / (2 * all + 1));
                (window, longest.max(two(window)).min(most))
            }
        };
        Calls {
            patience,
            first,
            anew,
            again,
            slow,
            longest,
            slot: (me % group, group),
            failures: 0,
            watched: false,
            service: Service::Unknown,
            not_before: 0,
            due: None,
        }
    }

    /// What the chain takes at the most. Beyond [`TOLD`] it doesn't fit: the service can't answer a group of this
    /// size within the time, by the rate stated or else by what is assumed.
    #[must_use]
    pub fn budget(&self) -> Budget {
        let slot = |window: Nanos| window + window / Nanos::from(self.slot.1.max(1));
        let again =
            if self.again <= TOLD - ANSWER { slot(self.again).max(TOLD - ANSWER) } else { self.hang() };
        let hung = HANG + self.hang() + ANSWER;
        Budget { silent: SILENCE + slot(self.anew) + ANSWER, refused: again + ANSWER, hung }
    }

    /// The longest wait after a late failure.
    fn hang(&self) -> Nanos {
        self.longest.max(self.slow + self.slow / Nanos::from(self.slot.1.max(1)))
    }

    /// How long a gateway that has just started waits, by the clock that all gateways share; `chance` is a random
    /// number in 0..1.
    pub fn start(&mut self, now: Nanos, chance: f64) -> Nanos {
        let wait = self.slot_after(now, self.first, chance);
        self.due = Some(now + wait);
        wait
    }

    /// A call has failed, or a watch has ended: how long to wait before the next one.
    pub fn failed(&mut self, now: Nanos, chance: f64) -> Nanos {
        let quick = self.due.is_some_and(|due| now >= due && now - due < QUICK);
        let asked = self.not_before > now;
        let fits = |window: &Nanos| *window <= TOLD - ANSWER;
        let (outage_window, outage_failures) = self.outage();
        let is_outage = self.failures < outage_failures && fits(&outage_window);
        // Late failures that were taken for an outage don't count for the windows that are let go by.
        let late = 1 + self.failures.saturating_sub(outage_failures);
        let (window, failures, longest) = match (self.watched, quick) {
            (true, _) => (self.anew, 0, self.anew),
            // Asked to be left alone, a gateway has spent a part of its time.
            (_, true) if asked && fits(&self.anew) => (self.anew, 0, self.anew),
            (_, true) if fits(&self.again) => (self.again, self.failures, TOLD - ANSWER),
            (_, false) if is_outage => (outage_window, 0, outage_window),
            _ => (self.slow, late, self.longest),
        };
        let slot = window / Nanos::from(self.slot.1);
        let most = (longest.saturating_sub(slot) / window.max(1)).max(1);
        let windows = (1 << failures.min(16)).min(most);
        (self.failures, self.watched) = (self.failures + 1, false);
        // The whole part says how many windows go by, the rest where in its slot the call comes.
        let drawn = chance * windows as f64;
        // Not in the slot that it may still be in: that call was this window's.
        let from = self.not_before.max(now) + slot;
        let wait = from - now + window * drawn as Nanos + self.slot_after(from, window, drawn.fract());
        self.due = Some(now + wait);
        wait
    }

    /// The window for calls in an outage, and how many late failures in a row are taken for one.
    fn outage(&self) -> (Nanos, u32) {
        match self.service {
            Service::Unknown => (self.again, UNKNOWN_FAILURES),
            Service::KeepsUp => (self.anew, OUTAGE_FAILURES),
            Service::Slow => (self.slow, 0),
        }
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
    pub fn answered(&mut self, now: Nanos) {
        if let Some(due) = self.due.take() {
            let is_quick = now.saturating_sub(due) < QUICK;
            self.service = if is_quick { Service::KeepsUp } else { Service::Slow };
        }
        (self.failures, self.watched, self.not_before) = (0, true, 0);
    }
}
