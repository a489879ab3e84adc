//! The engine: the load balancer with its clock, its timers, and the requests that wait for its actions.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::{Stream, future};
use rustix::time::{ClockId, DynamicClockId, clock_gettime_dynamic};

use super::interface::{AttemptOutcome, FleetAction, PlacementRequest, RequestAction, TokenCounts};
use super::stream_table::Streams;
use crate::LoadBalancer;
use crate::limits::{Limits, StreamLimits};
use crate::process::lag::{LagMonitor, LagSpell};
use crate::stream::Change;
use crate::types::{
    Action, ClassIndex, Event, ListKind, Member, Nanos, ReplicaId, Request, RequestId, Settings,
    SettingsError, TenantIndex, Verdict,
};

/// Unix time that never runs backwards, so that the load balancer's clock and `started_ms` agree.
struct Clock {
    unix: Nanos,
    from: Instant,
}

impl Clock {
    fn now(&self) -> Nanos {
        self.unix + self.from.elapsed().as_nanos() as Nanos
    }
}

/// A timer of the load balancer. The order of the fields is the order in which timers run.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PendingTimer {
    due: Nanos,
    token: u64,
}

/// An attempt in flight.
#[derive(Clone, Copy)]
struct SentAttempt {
    sent_at: Nanos,
    timeout: Nanos,
}

struct Core {
    balancer: LoadBalancer,
    timers: BinaryHeap<Reverse<PendingTimer>>,
    requests: BTreeMap<RequestId, RequestMailbox>,
    actions: Vec<Action>,
    spare_id: u64,
    lag: LagMonitor,
}

/// Where an admitted request gets its actions, and how many attempts it was told to start.
struct RequestMailbox {
    actions: Sender<RequestAction>,
    attempts: u32,
}

/// The load balancer with its surroundings; clones share it.
#[derive(Clone)]
pub struct Engine {
    core: Rc<RefCell<Core>>,
    clock: Rc<Clock>,
    fleet: Sender<FleetAction>,
    nudge: Sender<()>,
    nudged: Receiver<()>,
    slack: Duration,
    longest: Nanos,
    pub(super) limits: Rc<StreamLimits>,
    pub(super) streams: Rc<RefCell<Streams>>,
}

impl Engine {
    /// An engine with a new load balancer, and the orders that it will have for the fleet.
    ///
    /// # Errors
    /// Settings that the load balancer can't work with.
    pub fn new(
        settings: Settings,
        seed: u64,
        limits: &Limits,
    ) -> Result<(Engine, Receiver<FleetAction>), SettingsError> {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as Nanos;
        let (fleet, orders) = async_channel::unbounded();
        let (nudge, nudged) = async_channel::bounded(1);
        let core = Core {
            balancer: LoadBalancer::new(settings, seed)?,
            timers: BinaryHeap::new(),
            requests: BTreeMap::new(),
            actions: Vec::new(),
            spare_id: seed,
            lag: LagMonitor::new(unix, cpu_time(), limits),
        };
        let clock = Rc::new(Clock { unix, from: Instant::now() });
        let core = Rc::new(RefCell::new(core));
        let (slack, longest) = (limits.timeout_slack, limits.max_request_lifetime.as_nanos() as Nanos);
        let streams = Rc::new(RefCell::new(Streams::new(limits)));
        let limits = Rc::new(limits.stream.clone());
        Ok((Engine { core, clock, fleet, nudge, nudged, slack, longest, limits, streams }, orders))
    }

    /// The load balancer's clock: Unix time in nanoseconds.
    #[must_use]
    pub fn now(&self) -> Nanos {
        self.clock.now()
    }

    /// Requests that have not been answered yet.
    #[must_use]
    pub fn request_count(&self) -> usize {
        self.core.borrow().requests.len()
    }

    /// Has the list followed anew, at once: the load balancer's schedule of calls is for those that fail.
    pub fn watch_list(&self) {
        let _ = self.fleet.try_send(FleetAction::WatchList);
    }

    /// Slots that the load balancer keeps for replicas, to be observed from outside.
    #[must_use]
    pub fn replica_slots(&self) -> usize {
        self.core.borrow().balancer.replica_slots()
    }

    /// Takes over an update of the list. A replica that is ejected stays draining until its ejection is over.
    pub fn update_list(&self, kind: ListKind, mut members: Vec<Member>) {
        self.streams.borrow_mut().listed(kind, &mut members);
        self.feed(Event::List { kind, members: members.into() });
    }

    /// The list service asks not to be called for so long.
    pub fn defer_list_calls(&self, wait: Duration) {
        self.feed(Event::ListServiceBusy(Nanos::try_from(wait.as_nanos()).unwrap_or(Nanos::MAX)));
    }

    /// Applies a change of a replica's standing.
    pub(super) fn apply_standing(&self, change: &Change) {
        if let Some(member) = self.streams.borrow_mut().changed(change) {
            self.feed(Event::List { kind: ListKind::Local, members: [member].into() });
        }
    }

    /// Records how a probe ended.
    pub fn record_probe(&self, replica: ReplicaId, elapsed: Duration, outcome: AttemptOutcome) {
        let (verdict, elapsed) = (outcome.verdict, elapsed.as_nanos() as Nanos);
        self.feed(Event::Probed { replica, verdict, elapsed, report: outcome.load_report });
    }

    /// Hands the timers to the load balancer as they come due, for ever; by them it is seen whether the thread runs in time.
    pub async fn run_timers(&self) {
        // When it was to go on, where that is known.
        let mut due = None;
        loop {
            let now = self.now();
            self.record_lag(due.unwrap_or(now), now);
            let next = self.core.borrow().timers.peek().map(|Reverse(timer)| timer.due);
            match next {
                Some(at) if at <= now => {
                    let first = self.core.borrow_mut().timers.pop();
                    if let Some(Reverse(timer)) = first {
                        self.feed(Event::Timer(timer.token));
                    }
                    due = Some(now);
                    // Sockets have their turn between timers, however many are due.
                    future::yield_now().await;
                }
                _ => {
                    due = next;
                    let until = async {
                        match next {
                            Some(at) => {
                                Timer::after(Duration::from_nanos(at - now)).await;
                            }
                            None => future::pending().await,
                        }
                    };
                    future::or(until, async { self.nudged.recv().await.unwrap_or_default() }).await;
                }
            }
        }
    }

    /// Logs if the thread runs late. Loops that sleep for a known time report here, and none sleeps less for it: a wake-up
    /// costs a gateway that is idle more than all else.
    pub(super) fn record_lag(&self, due: Nanos, now: Nanos) {
        let spell = self.core.borrow_mut().lag.ran(due, now, cpu_time);
        if let Some(LagSpell { due, late, span, cpu }) = spell {
            let due = humantime::format_rfc3339_millis(UNIX_EPOCH + Duration::from_nanos(due));
            let [late, span, cpu] = [late, span, cpu].map(|nanos| nanos / 1_000_000);
            log::warn!(due:% = due, late_ms = late, span_ms = span, cpu_ms = cpu;
                "thread-late: the one thread stood still; with cpu_ms as long as late_ms by its own work");
        }
    }

    /// An id for a request whose client gave it none.
    #[must_use]
    pub fn fresh_id(&self) -> u64 {
        let core = &mut *self.core.borrow_mut();
        core.spare_id = core.spare_id.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        core.spare_id
    }

    /// Admits a request. What comes back owes its client one final response. `None`: a request with its id is open.
    #[must_use]
    pub fn admit(&self, request: &PlacementRequest) -> Option<AdmittedRequest> {
        let (actions, mailbox) = async_channel::unbounded();
        let id = {
            let core = &mut *self.core.borrow_mut();
            let mut id = request.id;
            if id.is_some_and(|id| core.requests.contains_key(&RequestId(id))) {
                return None;
            }
            while id.is_none_or(|id| core.requests.contains_key(&RequestId(id))) {
                core.spare_id = core.spare_id.wrapping_add(1);
                id = Some(core.spare_id);
            }
            let id = RequestId(id.unwrap_or_default());
            core.requests.insert(id, RequestMailbox { actions, attempts: 0 });
            id
        };
        let admitted = AdmittedRequest {
            engine: self.clone(),
            id,
            mailbox: Box::pin(mailbox),
            in_flight: BTreeMap::new(),
        };
        let TokenCounts { prompt, prefix, max_output } = request.tokens;
        self.feed(Event::Request(Request {
            id,
            expires_in: request.expires_in.min(self.longest),
            class: ClassIndex(request.class),
            tenant: request.tenant.map(TenantIndex),
            prefix: request.prefix,
            session: request.session,
            prompt_tokens: prompt,
            prefix_tokens: prefix,
            max_output_tokens: max_output,
            is_retry: request.is_retry,
        }));
        Some(admitted)
    }

    /// The one place where the load balancer is called.
    fn feed(&self, event: Event) {
        let core = &mut *self.core.borrow_mut();
        let now = self.now();
        core.balancer.handle(now, event, &mut core.actions);
        let mut is_sooner = false;
        for action in core.actions.drain(..) {
            let mut send = |id: RequestId, action: &mut dyn FnMut(&mut RequestMailbox) -> RequestAction| {
                if let Some(mailbox) = core.requests.get_mut(&id) {
                    let action = action(mailbox);
                    // A request that is just being dropped takes no more actions.
                    let _ = mailbox.actions.try_send(action);
                }
            };
            match action {
                Action::Send { id, replica, timeout, write_within } => send(id, &mut |mailbox| {
                    let number = mailbox.attempts;
                    mailbox.attempts += 1;
                    let [timeout, write_within] = [timeout, write_within].map(Duration::from_nanos);
                    RequestAction::StartAttempt { number, replica: replica.clone(), timeout, write_within }
                }),
                Action::Refuse { id, retry_after } => {
                    send(id, &mut |_| RequestAction::Shed(Duration::from_nanos(retry_after)));
                }
                Action::Fail(id) => send(id, &mut |_| RequestAction::Fail),
                Action::Cancel { id, attempt } => send(id, &mut |_| RequestAction::CancelAttempt(attempt)),
                Action::Timer { after, token } => {
                    let due = now.saturating_add(after);
                    is_sooner |= core.timers.peek().is_none_or(|Reverse(first)| due < first.due);
                    core.timers.push(Reverse(PendingTimer { due, token }));
                }
                Action::Watch => drop(self.fleet.try_send(FleetAction::WatchList)),
                Action::Fetch => drop(self.fleet.try_send(FleetAction::FetchList)),
                Action::Probe(replica) => drop(self.fleet.try_send(FleetAction::Probe(replica))),
                // Gateways share nothing that feeds a decision.
                Action::SendToPeer { .. } => {}
            }
        }
        if is_sooner {
            let _ = self.nudge.try_send(());
        }
    }
}

/// The processor time that this thread has had. A system that does not say it leaves the watch without that figure.
fn cpu_time() -> Nanos {
    let thread = DynamicClockId::Known(ClockId::ThreadCPUTime);
    clock_gettime_dynamic(thread)
        .map_or(0, |time| time.tv_sec as Nanos * 1_000_000_000 + time.tv_nsec as Nanos)
}

/// An admitted request: its actions come out of it, its events go into it. When it is dropped the load balancer
/// learns that the request is over and that attempts in flight were cancelled.
pub struct AdmittedRequest {
    engine: Engine,
    pub(super) id: RequestId,
    mailbox: Pin<Box<Receiver<RequestAction>>>,
    /// Attempts in flight, by their numbers.
    in_flight: BTreeMap<u32, SentAttempt>,
}

impl AdmittedRequest {
    /// The load balancer's next action.
    pub async fn next_action(&mut self) -> RequestAction {
        future::poll_fn(|cx| self.poll_action(cx)).await
    }

    /// The same as a poll.
    pub fn poll_action(&mut self, cx: &mut Context<'_>) -> Poll<RequestAction> {
        match self.mailbox.as_mut().poll_next(cx) {
            Poll::Ready(Some(action)) => Poll::Ready(self.record_action(action)),
            // The sender lives as long as this does.
            Poll::Ready(None) | Poll::Pending => Poll::Pending,
        }
    }

    fn record_action(&mut self, action: RequestAction) -> RequestAction {
        if let RequestAction::StartAttempt { number, timeout, .. } = &action {
            let timeout = timeout.as_nanos() as Nanos;
            self.in_flight.insert(*number, SentAttempt { sent_at: self.engine.now(), timeout });
        }
        action
    }

    /// An attempt's first event has come. Returns how long it took.
    pub fn record_first_event(&mut self, number: u32) -> Nanos {
        let Some(attempt) = self.in_flight.get(&number) else { return 0 };
        let elapsed = self.engine.now().saturating_sub(attempt.sent_at);
        self.engine.feed(Event::FirstToken { id: self.id, attempt: number, elapsed });
        elapsed
    }

    /// How long ago an attempt that is in flight was started.
    pub(super) fn elapsed(&self, number: u32) -> Nanos {
        self.in_flight.get(&number).map_or(0, |attempt| self.engine.now().saturating_sub(attempt.sent_at))
    }

    /// An attempt has ended, and with it the request if `ended`.
    pub fn record_outcome(&mut self, number: u32, outcome: AttemptOutcome, ended: bool) {
        let Some(attempt) = self.in_flight.remove(&number) else { return };
        let elapsed = self.engine.now().saturating_sub(attempt.sent_at);
        let AttemptOutcome { verdict, cached_tokens, load_report: report, .. } = outcome;
        let id = self.id;
        self.engine.feed(Event::Outcome {
            id,
            attempt: number,
            verdict,
            ended,
            elapsed,
            cached_tokens,
            report,
        });
    }
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        self.engine.feed(Event::Expired(self.id));
        let slack = self.engine.slack.as_nanos() as Nanos;
        while let Some((number, attempt)) = self.in_flight.pop_first() {
            let elapsed = self.engine.now().saturating_sub(attempt.sent_at);
            // A client leaves at its deadline, which is also the time-out's end: whichever is noticed first,
            // the replica has answered nothing in all that time.
            let waited = elapsed.saturating_add(slack) >= attempt.timeout;
            let verdict = if waited { Verdict::TimedOut } else { Verdict::Cancelled };
            let (id, report) = (self.id, Vec::new());
            let outcome = Event::Outcome {
                id,
                attempt: number,
                verdict,
                ended: true,
                elapsed,
                cached_tokens: None,
                report,
            };
            self.engine.feed(outcome);
        }
        self.engine.core.borrow_mut().requests.remove(&self.id);
    }
}
