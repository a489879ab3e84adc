//! Requests, schedulings and outcomes; no wire is known here.
//!
//! The engine owns the decision module, its clock and its timers. It feeds events to the module and hands
//! each action to the request that waits for it.

mod forwarding;
mod request_lifecycle;
mod streams;

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

pub use request_lifecycle::{
    Answer, Arrival, BegunStream, Client, FailureReason, Servers, Step, StreamSuccessor, carry_on, serve,
};

use crate::LoadBalancer;
use crate::limits::{Limits, StreamLimits};
use crate::process::lag::{LagMonitor, LagSpell};
use crate::stream::{Change, End};
use crate::types::{
    Action, ClassIndex, Event, ListKind, Member, Nanos, ReplicaId, Request, RequestId, Settings,
    SettingsError, TenantIndex, Verdict,
};
use streams::Streams;

/// A request as the module wants it, but for its id, of which the engine makes sure.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The client's id, if it gave one.
    pub id: Option<u64>,
    /// Time until the client gives up, counted from the request's last byte.
    pub expires_in: Nanos,
    /// Index of the class.
    pub class: usize,
    /// Index of the tenant.
    pub tenant: Option<usize>,
    /// The beginning that the prompt shares with others.
    pub prefix: Option<u64>,
    /// The session.
    pub session: Option<u64>,
    /// Tokens of the prompt, of the shared beginning, and of the answer at the most.
    pub tokens: (u32, u32, u32),
    /// The client's repeat.
    pub repeat: bool,
}

/// What the module wants done for one request.
#[derive(Debug, PartialEq)]
pub enum Order {
    /// Start a scheduling; they are numbered from 0.
    Schedule {
        /// Its number.
        number: u32,
        /// Where to.
        server: ReplicaId,
        /// How long it may take to its first event.
        timeout: Duration,
        /// Within what time it may be written, however late its connection comes up.
        write_within: Duration,
    },
    /// Call a scheduling off.
    Cancel(u32),
    /// Final answer: turned down, with the time that the client should stay away.
    TurnDown(Duration),
    /// Final answer: failed.
    Fail,
}

/// What the module wants done by discovery and probes.
#[derive(Debug, PartialEq)]
pub enum FleetOrder {
    /// Follow the changes of the list.
    Watch,
    /// Ask for the whole list.
    Fetch,
    /// Probe a real server.
    Probe(ReplicaId),
}

/// How a scheduling ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Ending {
    /// How.
    pub verdict: Verdict,
    /// Prompt tokens that the real server had kept.
    pub kept: Option<u32>,
    /// Its load, in the settings' order; empty if it told nothing.
    pub report: Vec<f64>,
    /// How its stream ended, where one had begun.
    pub end: End,
}

impl From<Verdict> for Ending {
    fn from(verdict: Verdict) -> Ending {
        let end = match verdict {
            Verdict::Ok => End::Whole,
            Verdict::Error => End::Failed,
            _ => End::Broke,
        };
        Ending { verdict, kept: None, report: Vec::new(), end }
    }
}

/// Unix time that never runs backwards, so that the module's clock and `started_ms` agree.
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

/// A scheduling in flight.
#[derive(Clone, Copy)]
struct SentAttempt {
    sent_at: Nanos,
    timeout: Nanos,
}

struct Core {
    balancer: LoadBalancer,
    timers: BinaryHeap<Reverse<PendingTimer>>,
    waiting: BTreeMap<RequestId, Waiting>,
    actions: Vec<Action>,
    spare_id: u64,
    watch: LagMonitor,
}

/// An admitted request's mailbox, and how many schedulings it was ordered.
struct Waiting {
    orders: Sender<Order>,
    schedulings: u32,
}

/// The module with its surroundings; clones share it.
#[derive(Clone)]
pub struct Engine {
    core: Rc<RefCell<Core>>,
    clock: Rc<Clock>,
    fleet: Sender<FleetOrder>,
    nudge: Sender<()>,
    nudged: Receiver<()>,
    slack: Duration,
    longest: Nanos,
    limits: Rc<StreamLimits>,
    streams: Rc<RefCell<Streams>>,
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
    ) -> Result<(Engine, Receiver<FleetOrder>), SettingsError> {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as Nanos;
        let (fleet, orders) = async_channel::unbounded();
        let (nudge, nudged) = async_channel::bounded(1);
        let core = Core {
            balancer: LoadBalancer::new(settings, seed)?,
            timers: BinaryHeap::new(),
            waiting: BTreeMap::new(),
            actions: Vec::new(),
            spare_id: seed,
            watch: LagMonitor::new(unix, cpu_time(), limits),
        };
        let clock = Rc::new(Clock { unix, from: Instant::now() });
        let core = Rc::new(RefCell::new(core));
        let (slack, longest) = (limits.timeout_slack, limits.longest_wait.as_nanos() as Nanos);
        let streams = Rc::new(RefCell::new(Streams::new(limits)));
        let limits = Rc::new(limits.stream.clone());
        Ok((Engine { core, clock, fleet, nudge, nudged, slack, longest, limits, streams }, orders))
    }

    /// The module's clock: Unix time in nanoseconds.
    #[must_use]
    pub fn now(&self) -> Nanos {
        self.clock.now()
    }

    /// Requests that are held.
    #[must_use]
    pub fn held(&self) -> usize {
        self.core.borrow().waiting.len()
    }

    /// Has the list followed anew, at once: the module's own pace of calls is for what fails.
    pub fn watch_anew(&self) {
        let _ = self.fleet.try_send(FleetOrder::Watch);
    }

    /// Places that the module holds for real servers, to be watched from outside.
    #[must_use]
    pub fn places(&self) -> usize {
        self.core.borrow().balancer.replica_slots()
    }

    /// News of the list. A real server that rests stays as one that drains until its rest is over.
    pub fn list(&self, kind: ListKind, mut members: Vec<Member>) {
        self.streams.borrow_mut().listed(kind, &mut members);
        self.feed(Event::List { kind, members: members.into() });
    }

    /// The list service asks to be left alone for so long.
    pub fn busy(&self, wait: Duration) {
        self.feed(Event::ListServiceBusy(Nanos::try_from(wait.as_nanos()).unwrap_or(Nanos::MAX)));
    }

    /// Carries out what the standing of real servers calls for.
    fn change(&self, change: &Change) {
        if let Some(member) = self.streams.borrow_mut().changed(change) {
            self.feed(Event::List { kind: ListKind::Local, members: [member].into() });
        }
    }

    /// A probe's end.
    pub fn probed(&self, replica: ReplicaId, elapsed: Duration, ending: Ending) {
        let (verdict, elapsed) = (ending.verdict, elapsed.as_nanos() as Nanos);
        self.feed(Event::Probed { replica, verdict, elapsed, report: ending.report });
    }

    /// Hands the timers to the module as they come due, for ever; by them it is seen whether the thread runs in time.
    pub async fn run_timers(&self) {
        // When it was to go on, where that is known.
        let mut due = None;
        loop {
            let now = self.now();
            self.watch(due.unwrap_or(now), now);
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

    /// Tells if the thread runs late. Loops that sleep for a known time say so here, and none sleeps less for it: a wake
    /// costs a gateway that is idle more than all else.
    fn watch(&self, due: Nanos, now: Nanos) {
        let told = self.core.borrow_mut().watch.ran(due, now, cpu_time);
        if let Some(LagSpell { due, late, span, cpu }) = told {
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

    /// Takes a request in. What comes back owes its client one final answer. `None`: a request with its id is open.
    #[must_use]
    pub fn admit(&self, ask: &Ask) -> Option<AdmittedRequest> {
        let (orders, mailbox) = async_channel::unbounded();
        let id = {
            let core = &mut *self.core.borrow_mut();
            let mut id = ask.id;
            if id.is_some_and(|id| core.waiting.contains_key(&RequestId(id))) {
                return None;
            }
            while id.is_none_or(|id| core.waiting.contains_key(&RequestId(id))) {
                core.spare_id = core.spare_id.wrapping_add(1);
                id = Some(core.spare_id);
            }
            let id = RequestId(id.unwrap_or_default());
            core.waiting.insert(id, Waiting { orders, schedulings: 0 });
            id
        };
        let admitted = AdmittedRequest {
            engine: self.clone(),
            id,
            mailbox: Box::pin(mailbox),
            in_flight: BTreeMap::new(),
        };
        let (prompt_tokens, prefix_tokens, max_output_tokens) = ask.tokens;
        self.feed(Event::Request(Request {
            id,
            expires_in: ask.expires_in.min(self.longest),
            class: ClassIndex(ask.class),
            tenant: ask.tenant.map(TenantIndex),
            prefix: ask.prefix,
            session: ask.session,
            prompt_tokens,
            prefix_tokens,
            max_output_tokens,
            is_retry: ask.repeat,
        }));
        Some(admitted)
    }

    /// The one place where the load balancer is called.
    fn feed(&self, event: Event) {
        let core = &mut *self.core.borrow_mut();
        let now = self.now();
        core.balancer.handle(now, event, &mut core.actions);
        let mut sooner = false;
        for action in core.actions.drain(..) {
            let mut give = |id: RequestId, order: &mut dyn FnMut(&mut Waiting) -> Order| {
                if let Some(waiting) = core.waiting.get_mut(&id) {
                    let order = order(waiting);
                    // A request that is just being dropped takes no more orders.
                    let _ = waiting.orders.try_send(order);
                }
            };
            match action {
                Action::Send { id, replica, timeout, write_within } => give(id, &mut |waiting| {
                    let number = waiting.schedulings;
                    waiting.schedulings += 1;
                    let [timeout, write_within] = [timeout, write_within].map(Duration::from_nanos);
                    Order::Schedule { number, server: replica.clone(), timeout, write_within }
                }),
                Action::Refuse { id, retry_after } => {
                    give(id, &mut |_| Order::TurnDown(Duration::from_nanos(retry_after)));
                }
                Action::Fail(id) => give(id, &mut |_| Order::Fail),
                Action::Cancel { id, attempt } => give(id, &mut |_| Order::Cancel(attempt)),
                Action::Timer { after, token } => {
                    let due = now.saturating_add(after);
                    sooner |= core.timers.peek().is_none_or(|Reverse(first)| due < first.due);
                    core.timers.push(Reverse(PendingTimer { due, token }));
                }
                Action::Watch => drop(self.fleet.try_send(FleetOrder::Watch)),
                Action::Fetch => drop(self.fleet.try_send(FleetOrder::Fetch)),
                Action::Probe(replica) => drop(self.fleet.try_send(FleetOrder::Probe(replica))),
                // Gateways share nothing that feeds a decision.
                Action::SendToPeer { .. } => {}
            }
        }
        if sooner {
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

/// An admitted request: its orders come out of it, its events go into it. When it is dropped the load balancer
/// learns that the request is over and that schedulings in flight were cancelled.
pub struct AdmittedRequest {
    engine: Engine,
    id: RequestId,
    mailbox: Pin<Box<Receiver<Order>>>,
    /// Schedulings in flight, by their numbers.
    in_flight: BTreeMap<u32, SentAttempt>,
}

impl AdmittedRequest {
    /// The module's next order.
    pub async fn order(&mut self) -> Order {
        future::poll_fn(|cx| self.poll_order(cx)).await
    }

    /// The same as a poll.
    pub fn poll_order(&mut self, cx: &mut Context<'_>) -> Poll<Order> {
        match self.mailbox.as_mut().poll_next(cx) {
            Poll::Ready(Some(order)) => Poll::Ready(self.record_order(order)),
            // The sender lives as long as this does.
            Poll::Ready(None) | Poll::Pending => Poll::Pending,
        }
    }

    fn record_order(&mut self, order: Order) -> Order {
        if let Order::Schedule { number, timeout, .. } = &order {
            let timeout = timeout.as_nanos() as Nanos;
            self.in_flight.insert(*number, SentAttempt { sent_at: self.engine.now(), timeout });
        }
        order
    }

    /// A scheduling's first event has come. Returns how long it took.
    pub fn first_event(&mut self, number: u32) -> Nanos {
        let Some(attempt) = self.in_flight.get(&number) else { return 0 };
        let elapsed = self.engine.now().saturating_sub(attempt.sent_at);
        self.engine.feed(Event::FirstToken { id: self.id, attempt: number, elapsed });
        elapsed
    }

    /// How long ago a scheduling that is out was ordered.
    fn elapsed(&self, number: u32) -> Nanos {
        self.in_flight.get(&number).map_or(0, |attempt| self.engine.now().saturating_sub(attempt.sent_at))
    }

    /// A scheduling has ended, and with it the request if `ended`.
    pub fn outcome(&mut self, number: u32, ending: Ending, ended: bool) {
        let Some(attempt) = self.in_flight.remove(&number) else { return };
        let elapsed = self.engine.now().saturating_sub(attempt.sent_at);
        let Ending { verdict, kept: cached_tokens, report, .. } = ending;
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
            // the real server has answered nothing in all that time.
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
        self.engine.core.borrow_mut().waiting.remove(&self.id);
    }
}
