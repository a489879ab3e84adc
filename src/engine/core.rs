//! The engine: drives the load balancer with a clock and timers, and passes its actions to the open requests.

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
use super::stream_table::StreamTable;
use crate::LoadBalancer;
use crate::limits::{Limits, StreamLimits};
use crate::process::lag::{LagMonitor, LateRun};
use crate::stream::EjectionChange;
use crate::types::{
    Action, ClassIndex, Event, ListKind, Member, Nanos, ReplicaId, Request, RequestId, Settings,
    SettingsError, TenantIndex, Verdict,
};

/// A monotonic clock that starts at Unix time, so that the load balancer can compare it with a replica's
/// `started_ms`.
struct Clock {
    unix_start: Nanos,
    started_at: Instant,
}

impl Clock {
    fn now(&self) -> Nanos {
        self.unix_start + self.started_at.elapsed().as_nanos() as Nanos
    }
}

/// A pending timer of the load balancer. Timers fire in the order of the fields.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PendingTimer {
    due: Nanos,
    token: u64,
}

/// An attempt in flight.
#[derive(Clone, Copy)]
struct InFlightAttempt {
    sent_at: Nanos,
    timeout: Nanos,
}

/// The state of the engine that an event changes.
struct Core {
    balancer: LoadBalancer,
    timers: BinaryHeap<Reverse<PendingTimer>>,
    requests: BTreeMap<RequestId, RequestMailbox>,
    actions: Vec<Action>,
    id_state: u64,
    lag: LagMonitor,
}

/// The queue of actions for an admitted request, and the number of attempts that it was told to start.
struct RequestMailbox {
    actions: Sender<RequestAction>,
    attempts: u32,
}

/// The load balancer and its runtime state. Clones are handles to the same engine.
#[derive(Clone)]
pub struct Engine {
    core: Rc<RefCell<Core>>,
    clock: Rc<Clock>,
    fleet_actions: Sender<FleetAction>,
    timer_wakeup: Sender<()>,
    timer_wakeups: Receiver<()>,
    timeout_slack: Duration,
    max_request_lifetime: Nanos,
    pub(super) limits: Rc<StreamLimits>,
    pub(super) streams: Rc<RefCell<StreamTable>>,
}

impl Engine {
    /// Creates an engine with a new load balancer. Returns it with the receiver of its actions for discovery and
    /// probes.
    ///
    /// # Errors
    /// The error of the load balancer if it rejects the settings.
    pub fn new(
        settings: Settings,
        seed: u64,
        limits: &Limits,
    ) -> Result<(Engine, Receiver<FleetAction>), SettingsError> {
        let unix_start =
            SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as Nanos;
        let (fleet_actions, fleet_receiver) = async_channel::unbounded();
        let (timer_wakeup, timer_wakeups) = async_channel::bounded(1);
        let core = Core {
            balancer: LoadBalancer::new(settings, seed)?,
            timers: BinaryHeap::new(),
            requests: BTreeMap::new(),
            actions: Vec::new(),
            id_state: seed,
            lag: LagMonitor::new(unix_start, cpu_time(), limits),
        };
        let clock = Rc::new(Clock { unix_start, started_at: Instant::now() });
        let core = Rc::new(RefCell::new(core));
        let (timeout_slack, max_request_lifetime) =
            (limits.timeout_slack, limits.max_request_lifetime.as_nanos() as Nanos);
        let streams = Rc::new(RefCell::new(StreamTable::new(limits)));
        let limits = Rc::new(limits.stream.clone());
        Ok((
            Engine {
                core,
                clock,
                fleet_actions,
                timer_wakeup,
                timer_wakeups,
                timeout_slack,
                max_request_lifetime,
                limits,
                streams,
            },
            fleet_receiver,
        ))
    }

    /// The load balancer's clock: Unix time in nanoseconds.
    #[must_use]
    pub fn now(&self) -> Nanos {
        self.clock.now()
    }

    /// Number of open requests, which have no final response yet.
    #[must_use]
    pub fn request_count(&self) -> usize {
        self.core.borrow().requests.len()
    }

    /// Opens a new watch of the list at once. The load balancer's schedule of calls applies only after failures.
    pub fn restart_list_watch(&self) {
        let _ = self.fleet_actions.try_send(FleetAction::WatchList);
    }

    /// Number of slots that the load balancer keeps for replicas; for monitoring.
    #[must_use]
    pub fn replica_slots(&self) -> usize {
        self.core.borrow().balancer.replica_slots()
    }

    /// Applies an update of the replica list. An ejected replica is treated as draining until its ejection ends.
    pub fn update_list(&self, kind: ListKind, mut members: Vec<Member>) {
        self.streams.borrow_mut().record_list(kind, &mut members);
        self.handle_event(Event::List { kind, members: members.into() });
    }

    /// Defers calls to the list service, as it has asked for.
    pub fn defer_list_calls(&self, wait: Duration) {
        self.handle_event(Event::ListServiceBusy(Nanos::try_from(wait.as_nanos()).unwrap_or(Nanos::MAX)));
    }

    /// Applies an ejection or its end to the load balancer's list.
    pub(super) fn apply_ejection_change(&self, change: &EjectionChange) {
        if let Some(member) = self.streams.borrow_mut().changed_member(change) {
            self.handle_event(Event::List { kind: ListKind::Local, members: [member].into() });
        }
    }

    /// Records the outcome of a probe.
    pub fn record_probe(&self, replica: ReplicaId, elapsed: Duration, outcome: AttemptOutcome) {
        let (verdict, elapsed) = (outcome.verdict, elapsed.as_nanos() as Nanos);
        self.handle_event(Event::Probed { replica, verdict, elapsed, report: outcome.load_report });
    }

    /// Fires the load balancer's timers when they are due, and records how late they fire; never returns.
    pub async fn run_timers(&self) {
        // When this iteration was due, if that is known.
        let mut due = None;
        loop {
            let now = self.now();
            self.record_lag(due.unwrap_or(now), now);
            let next = self.core.borrow().timers.peek().map(|Reverse(timer)| timer.due);
            match next {
                Some(at) if at <= now => {
                    let first = self.core.borrow_mut().timers.pop();
                    if let Some(Reverse(timer)) = first {
                        self.handle_event(Event::Timer(timer.token));
                    }
                    due = Some(now);
                    // Yields to I/O between two timers, even if many are due.
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
                    future::or(until, async { self.timer_wakeups.recv().await.unwrap_or_default() }).await;
                }
            }
        }
    }

    /// Records how late the thread runs, and logs a delay above the threshold. Loops that sleep for a known time call
    /// this; none wakes more often for it, since wake-ups are the main cost of an idle gateway.
    pub(super) fn record_lag(&self, due: Nanos, now: Nanos) {
        let late_run = self.core.borrow_mut().lag.record_run(due, now, cpu_time);
        if let Some(LateRun { due, delay, span, cpu_time }) = late_run {
            let due = humantime::format_rfc3339_millis(UNIX_EPOCH + Duration::from_nanos(due));
            let [delay, span, cpu_time] = [delay, span, cpu_time].map(|nanos| nanos / 1_000_000);
            log::warn!(due:% = due, late_ms = delay, span_ms = span, cpu_ms = cpu_time;
                "thread-late: the serving thread was delayed; by its own work if cpu_ms is close to late_ms");
        }
    }

    /// Generates an id for a request whose client gave none (a linear congruential generator).
    #[must_use]
    pub fn generate_id(&self) -> u64 {
        let core = &mut *self.core.borrow_mut();
        core.id_state = core.id_state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        core.id_state
    }

    /// Admits a request, which must get exactly one final response. `None`: a request with the same id is open.
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
                core.id_state = core.id_state.wrapping_add(1);
                id = Some(core.id_state);
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
        self.handle_event(Event::Request(Request {
            id,
            expires_in: request.expires_in.min(self.max_request_lifetime),
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

    /// Passes an event to the load balancer and carries out its actions. All calls of the load balancer go through
    /// here.
    fn handle_event(&self, event: Event) {
        let core = &mut *self.core.borrow_mut();
        let now = self.now();
        core.balancer.handle(now, event, &mut core.actions);
        let mut is_sooner = false;
        for action in core.actions.drain(..) {
            let mut send = |id: RequestId, action: &mut dyn FnMut(&mut RequestMailbox) -> RequestAction| {
                if let Some(mailbox) = core.requests.get_mut(&id) {
                    let action = action(mailbox);
                    // Fails for a request that is being dropped, which needs no more actions.
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
                Action::Watch => drop(self.fleet_actions.try_send(FleetAction::WatchList)),
                Action::Fetch => drop(self.fleet_actions.try_send(FleetAction::FetchList)),
                Action::Probe(replica) => drop(self.fleet_actions.try_send(FleetAction::Probe(replica))),
                // Gateways don't exchange data for placement decisions.
                Action::SendToPeer { .. } => {}
            }
        }
        if is_sooner {
            let _ = self.timer_wakeup.try_send(());
        }
    }
}

/// The CPU time of this thread; 0 on a system that doesn't report it.
fn cpu_time() -> Nanos {
    let thread = DynamicClockId::Known(ClockId::ThreadCPUTime);
    clock_gettime_dynamic(thread)
        .map_or(0, |time| time.tv_sec as Nanos * 1_000_000_000 + time.tv_nsec as Nanos)
}

/// An admitted request: yields the load balancer's actions for it, and takes its events. Dropping it tells the load
/// balancer that the request has ended and that its attempts in flight were cancelled.
pub struct AdmittedRequest {
    engine: Engine,
    pub(super) id: RequestId,
    mailbox: Pin<Box<Receiver<RequestAction>>>,
    /// Attempts in flight, by number.
    in_flight: BTreeMap<u32, InFlightAttempt>,
}

impl AdmittedRequest {
    /// Waits for the load balancer's next action.
    pub async fn next_action(&mut self) -> RequestAction {
        future::poll_fn(|cx| self.poll_action(cx)).await
    }

    /// Polls for the load balancer's next action.
    pub fn poll_action(&mut self, cx: &mut Context<'_>) -> Poll<RequestAction> {
        match self.mailbox.as_mut().poll_next(cx) {
            Poll::Ready(Some(action)) => Poll::Ready(self.record_action(action)),
            // `None` does not occur: the engine keeps the sender until this is dropped.
            Poll::Ready(None) | Poll::Pending => Poll::Pending,
        }
    }

    fn record_action(&mut self, action: RequestAction) -> RequestAction {
        if let RequestAction::StartAttempt { number, timeout, .. } = &action {
            let timeout = timeout.as_nanos() as Nanos;
            self.in_flight.insert(*number, InFlightAttempt { sent_at: self.engine.now(), timeout });
        }
        action
    }

    /// Records the first event of an attempt. Returns the time that it took.
    pub fn record_first_event(&mut self, number: u32) -> Nanos {
        let Some(attempt) = self.in_flight.get(&number) else { return 0 };
        let elapsed = self.engine.now().saturating_sub(attempt.sent_at);
        self.engine.handle_event(Event::FirstToken { id: self.id, attempt: number, elapsed });
        elapsed
    }

    /// Time since the start of an attempt in flight.
    pub(super) fn elapsed(&self, number: u32) -> Nanos {
        self.in_flight.get(&number).map_or(0, |attempt| self.engine.now().saturating_sub(attempt.sent_at))
    }

    /// Records the outcome of an attempt; `ended` says whether the request has ended too.
    pub fn record_outcome(&mut self, number: u32, outcome: AttemptOutcome, ended: bool) {
        let Some(attempt) = self.in_flight.remove(&number) else { return };
        let elapsed = self.engine.now().saturating_sub(attempt.sent_at);
        let AttemptOutcome { verdict, cached_tokens, load_report: report, .. } = outcome;
        let id = self.id;
        self.engine.handle_event(Event::Outcome {
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
        self.engine.handle_event(Event::ClientDisconnected(self.id));
        let timeout_slack = self.engine.timeout_slack.as_nanos() as Nanos;
        while let Some((number, attempt)) = self.in_flight.pop_first() {
            let elapsed = self.engine.now().saturating_sub(attempt.sent_at);
            // A client often leaves at its deadline, when the attempt's timeout expires too. Whichever is noticed
            // first, the replica has not responded within the timeout.
            let has_timed_out = elapsed.saturating_add(timeout_slack) >= attempt.timeout;
            let verdict = if has_timed_out { Verdict::TimedOut } else { Verdict::Cancelled };
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
            self.engine.handle_event(outcome);
        }
        self.engine.core.borrow_mut().requests.remove(&self.id);
    }
}
