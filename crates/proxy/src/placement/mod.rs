//! Which replica each request goes to: the decision modules of all services, with their timers, and the orders
//! that they give for each request. The time is handed in.

pub mod budget;
pub mod held;
pub mod prompt;
pub mod urgency;
pub mod work;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use tulipridge_configuration::{Configuration, Route, RouteKind};
use tulipridge_load_balancer::Gateway;
use tulipridge_load_balancer::types::{
    Action, Class, Effect, Event, Limits, ListKind, Member, Nanos, ReplicaId, Request, RequestId, Safety,
    Settings, Verdict,
};

use crate::placement::prompt::Prompt;
use crate::replica::outcome::RequestKind;

/// Attempts of a request at the most; a route may allow fewer.
const MAX_ATTEMPTS: u32 = 3;
/// Longest time for which a refused client is asked to stay away.
const RETRY_AFTER: Nanos = 1_000_000_000;
/// What a late answer earns beside one in time.
const LATE_WORTH: f64 = 0.3;
/// The target of a route that states none is this part of its time limit.
const UNSTATED_TARGET: u64 = 4;
/// Clients give a stream up after a silence of this time at the least ...
const LEAST_PATIENCE_MS: u64 = 2_000;
/// ... or of this multiple of the target ...
const PATIENCE_PER_TARGET: u64 = 4;
/// ... or of this multiple of the longest pause in time, whichever is longest.
const PATIENCE_PER_GAP: u64 = 8;
/// The module aims at this part of the clients' patience: late answers earn a part of their worth, and those that come
/// when nobody waits any more earn nothing.
const AIM_PART: f64 = 0.75;
const NANOS_PER_MILLI: u64 = 1_000_000;

/// What the decision module wants done for one request.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Send it. Attempts are numbered from 0.
    Send {
        /// The attempt's number.
        attempt: u32,
        /// Where to.
        replica: ReplicaId,
    },
    /// Stop waiting for an attempt.
    Cancel(u32),
    /// Answer that the request has not run, and how long the client should stay away.
    Refuse(Duration),
    /// Answer that the request failed.
    Fail,
}

/// A request to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    /// Class of its route.
    pub class: usize,
    /// Time until its client gives up.
    pub expires_in: Duration,
    /// Its prompt.
    pub prompt: Prompt,
}

/// A request that is placed, until it has ended.
struct Live {
    service: usize,
    orders: VecDeque<Order>,
    waker: Option<Waker>,
    attempts: u32,
    timers: Vec<TimerKey>,
}

/// When a timer is due, the service whose module asked for it, and the module's name for it.
type TimerKey = (Nanos, usize, u64);

/// The decision modules of all services.
pub struct Placement {
    services: Vec<Gateway>,
    service_index: BTreeMap<String, usize>,
    classes: Vec<Class>,
    class_index: BTreeMap<String, usize>,
    group_size: u32,
    zone: u16,
    seed: u64,
    live: BTreeMap<RequestId, Live>,
    last_id: u64,
    timers: BTreeMap<TimerKey, Option<RequestId>>,
    timer_waker: Option<Waker>,
    actions: Vec<Action>,
}

impl Placement {
    /// Without services yet; `seed` makes this gateway's chances its own.
    #[must_use]
    pub fn new(zone: u16, seed: u64) -> Self {
        Placement {
            services: Vec::new(),
            service_index: BTreeMap::new(),
            classes: Vec::new(),
            class_index: BTreeMap::new(),
            group_size: 1,
            zone,
            seed,
            live: BTreeMap::new(),
            last_id: 0,
            timers: BTreeMap::new(),
            timer_waker: None,
            actions: Vec::new(),
        }
    }

    /// Takes over a configuration: routes are classes, and each service has a module. Those of services that are
    /// gone stay for the requests that they still have.
    pub fn configure(&mut self, configuration: &Configuration) {
        for route in &configuration.routes {
            match self.class_index.get(&route.label) {
                Some(class) => self.classes[*class] = class_of(route),
                None => {
                    self.class_index.insert(route.label.clone(), self.classes.len());
                    self.classes.push(class_of(route));
                }
            }
        }
        for service in &mut self.services {
            service.set_classes(self.classes.clone());
        }
        let with_replicas = configuration.services.iter().filter(|service| service.store_address.is_none());
        for service in with_replicas {
            if !self.service_index.contains_key(&service.label) {
                self.add_service(&service.label);
            }
        }
    }

    fn add_service(&mut self, label: &str) {
        let index = self.services.len();
        match Gateway::new(self.settings(), self.seed.wrapping_add(index as u64)) {
            Ok(gateway) => {
                self.service_index.insert(label.to_owned(), index);
                self.services.push(gateway);
            }
            Err(error) => log::error!(service = label, error:% = error; "a service can't be placed"),
        }
    }

    fn settings(&self) -> Settings {
        Settings {
            group_size: self.group_size,
            zone: Some(self.zone),
            push: true,
            classes: self.classes.clone(),
            movable: true,
            limits: Limits {
                attempts: MAX_ATTEMPTS,
                cancel: true,
                retry_after: RETRY_AFTER,
                ..Limits::default()
            },
            safety: Safety { cold_from: 1.0, overload_factor: 1.0, ..Safety::default() },
            ..Settings::default()
        }
    }

    /// How many gateways share the fleet.
    pub fn set_group_size(&mut self, gateways: u32) {
        let gateways = gateways.max(1);
        if gateways != self.group_size {
            self.group_size = gateways;
            self.services.iter_mut().for_each(|service| service.set_group_size(gateways));
        }
    }

    /// The replicas of a service.
    pub fn set_members(&mut self, now: Nanos, service: &str, members: Arc<[Member]>) {
        if let Some(&service) = self.service_index.get(service) {
            self.feed(now, service, None, Event::List { kind: ListKind::Whole, members });
        }
    }

    /// How much work of all gateways waits at the replicas of a service.
    pub fn set_loads(&mut self, now: Nanos, service: &str, loads: Vec<(ReplicaId, f64)>) {
        if let Some(&service) = self.service_index.get(service) {
            self.feed(now, service, None, Event::Loads(loads));
        }
    }

    /// The class of a route.
    #[must_use]
    pub fn class(&self, route: &str) -> Option<usize> {
        self.class_index.get(route).copied()
    }

    /// Places a request; none if its service has no replicas that were ever told of.
    pub fn request(&mut self, now: Nanos, service: &str, ask: Ask) -> Option<RequestId> {
        let &service = self.service_index.get(service)?;
        self.last_id += 1;
        let id = RequestId(self.last_id);
        let live = Live { service, orders: VecDeque::new(), waker: None, attempts: 0, timers: Vec::new() };
        self.live.insert(id, live);
        let request = Request {
            id,
            expires_in: nanos(ask.expires_in),
            class: ask.class,
            tenant: None,
            prefix: ask.prompt.shared,
            session: ask.prompt.session,
            prompt: ask.prompt.tokens,
            prefix_len: ask.prompt.shared_tokens,
            max_answer: ask.prompt.answer_tokens,
            repeat: false,
        };
        self.feed(now, service, Some(id), Event::Request(request));
        Some(id)
    }

    /// A request is sent to a replica, which has so much to do for it.
    pub fn sent(&mut self, now: Nanos, id: RequestId, replica: &ReplicaId, work: u32) {
        let Some(service) = self.live.get(&id).map(|live| live.service) else { return };
        self.feed(now, service, Some(id), Event::Work(replica.clone(), work.into()));
    }

    /// An attempt's answer has begun.
    pub fn first_token(&mut self, now: Nanos, id: RequestId, attempt: u32, elapsed: Duration) {
        let Some(service) = self.live.get(&id).map(|live| live.service) else { return };
        let elapsed = nanos(elapsed);
        self.feed(now, service, Some(id), Event::FirstToken { id, attempt, elapsed });
    }

    /// An attempt has ended, and with it the request if `ended`.
    pub fn outcome(
        &mut self,
        now: Nanos,
        id: RequestId,
        (attempt, verdict, elapsed): (u32, Verdict, Duration),
        ended: bool,
    ) {
        let Some(service) = self.live.get(&id).map(|live| live.service) else { return };
        let (elapsed, report) = (nanos(elapsed), Vec::new());
        let event = Event::Outcome { id, attempt, verdict, ended, elapsed, kept: None, report };
        self.feed(now, service, Some(id), event);
    }

    /// A request has ended; all its attempts have been told of. The module is rid of its timers at once, which
    /// spares their wake-ups.
    pub fn end(&mut self, now: Nanos, id: RequestId) {
        let Some(service) = self.live.get(&id).map(|live| live.service) else { return };
        self.feed(now, service, Some(id), Event::Expired(id));
        let Some(live) = self.live.remove(&id) else { return };
        for key in live.timers {
            if self.timers.remove(&key).is_some() {
                self.feed(now, service, None, Event::Timer(key.2));
            }
        }
    }

    /// The next order for a request, in their order.
    pub fn poll_order(&mut self, id: RequestId, context: &mut Context<'_>) -> Poll<Order> {
        let Some(live) = self.live.get_mut(&id) else { return Poll::Pending };
        if let Some(order) = live.orders.pop_front() {
            return Poll::Ready(order);
        }
        match &mut live.waker {
            Some(waker) => waker.clone_from(context.waker()),
            None => live.waker = Some(context.waker().clone()),
        }
        Poll::Pending
    }

    /// When the next timer is due.
    #[must_use]
    pub fn next_timer(&self) -> Option<Nanos> {
        self.timers.first_key_value().map(|((due, ..), _)| *due)
    }

    /// Hands over the timers that are due.
    pub fn run_timers(&mut self, now: Nanos) {
        while let Some((key, owner)) = self.timers.pop_first() {
            if key.0 > now {
                self.timers.insert(key, owner);
                return;
            }
            if let Some(live) = owner.and_then(|id| self.live.get_mut(&id)) {
                live.timers.retain(|held| *held != key);
            }
            self.feed(now, key.1, owner, Event::Timer(key.2));
        }
    }

    /// Ready once a timer is due before the one that was told of.
    pub fn poll_earlier_timer(&mut self, told: Option<Nanos>, context: &mut Context<'_>) -> Poll<()> {
        if self.next_timer().is_some_and(|due| told.is_none_or(|told| due < told)) {
            return Poll::Ready(());
        }
        self.timer_waker = Some(context.waker().clone());
        Poll::Pending
    }

    /// Requests that are placed and have not ended.
    #[must_use]
    pub fn live_count(&self) -> usize {
        self.live.len()
    }

    /// The one place where a module is called; `owner` is the request that the event is about.
    fn feed(&mut self, now: Nanos, service: usize, owner: Option<RequestId>, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.services[service].handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.act(now, service, owner, action);
        }
        self.actions = actions;
    }

    fn act(&mut self, now: Nanos, service: usize, owner: Option<RequestId>, action: Action) {
        match action {
            Action::Send { id, replica, .. } => self.order(id, |live| {
                live.attempts += 1;
                Order::Send { attempt: live.attempts - 1, replica }
            }),
            Action::Refuse { id, wait } => self.order(id, |_| Order::Refuse(Duration::from_nanos(wait))),
            Action::Fail(id) => self.order(id, |_| Order::Fail),
            Action::Cancel { id, attempt } => self.order(id, |_| Order::Cancel(attempt)),
            Action::Timer { after, token } => {
                self.set_timer((now.saturating_add(after), service, token), owner);
            }
            // The list comes unasked, replicas are not probed, and gateways share nothing.
            Action::Watch | Action::Fetch | Action::Probe(_) | Action::Tell { .. } => {}
        }
    }

    fn order(&mut self, id: RequestId, order: impl FnOnce(&mut Live) -> Order) {
        let Some(live) = self.live.get_mut(&id) else { return };
        let order = order(live);
        live.orders.push_back(order);
        if let Some(waker) = live.waker.take() {
            waker.wake();
        }
    }

    fn set_timer(&mut self, key: TimerKey, owner: Option<RequestId>) {
        let is_first = self.next_timer().is_none_or(|first| key.0 < first);
        let owner = owner.filter(|id| self.live.contains_key(id));
        if let Some(live) = owner.and_then(|id| self.live.get_mut(&id)) {
            live.timers.push(key);
        }
        self.timers.insert(key, owner);
        if is_first && let Some(waker) = self.timer_waker.take() {
            waker.wake();
        }
    }
}

/// What may be repeated of a route's requests, as far as the module is concerned.
#[must_use]
pub fn effect_of(route: &Route) -> Effect {
    if RequestKind::of(route).is_repeatable() { Effect::Safe } else { Effect::Unsafe }
}

fn class_of(route: &Route) -> Class {
    Class {
        aim: aim_ms(route).saturating_mul(NANOS_PER_MILLI),
        aim_per_token: 0,
        token_aim: 0,
        deadline: route.time_limit_ms.saturating_mul(NANOS_PER_MILLI),
        effect: effect_of(route),
        worth: 1.0,
        late_worth: LATE_WORTH,
        stream: true,
    }
}

/// The time within which an answer of a route earns its full worth.
#[must_use]
pub fn target(route: &Route) -> Duration {
    Duration::from_millis(target_ms(route))
}

fn target_ms(route: &Route) -> u64 {
    if route.target_ms > 0 { route.target_ms } else { route.time_limit_ms / UNSTATED_TARGET }
}

/// The time up to a first token that the module aims at.
fn aim_ms(route: &Route) -> u64 {
    let target = target_ms(route);
    if route.kind != RouteKind::Stream {
        return target;
    }
    let by_target = target.saturating_mul(PATIENCE_PER_TARGET);
    let by_gap = route.gap_target_ms.saturating_mul(PATIENCE_PER_GAP);
    let patience = by_target.max(by_gap).max(LEAST_PATIENCE_MS).min(route.time_limit_ms);
    target.max((patience as f64 * AIM_PART) as u64)
}

fn nanos(time: Duration) -> Nanos {
    Nanos::try_from(time.as_nanos()).unwrap_or(Nanos::MAX)
}
