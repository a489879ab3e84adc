//! Selects the replica for each request. Holds the load balancer of each service, the timers of the load balancers, and
//! the actions that they decide for each request. The current time is passed in.

pub mod budget;
pub mod placed_request;
pub mod prompt;
pub mod queued_work;
pub mod route_class;
mod service_index;
mod timers;
pub mod urgency;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use tulipridge_configuration::Configuration;
use tulipridge_load_balancer::LoadBalancer;
use tulipridge_load_balancer::types::{
    Action, Class, ClassIndex, Event, Limits, ListKind, Member, Nanos, ReplicaId, ReplicaWork, Request,
    RequestId, Settings, SlowStartSettings, Verdict,
};

use crate::placement::prompt::Prompt;
use crate::placement::service_index::ServiceIndex;
use crate::placement::timers::{DueTimer, PendingTimers, TimerKey};

pub use crate::placement::route_class::{effect_of, latency_target};

/// Maximum attempts of a request; a route may allow fewer.
const MAX_ATTEMPTS: u32 = 3;
/// Upper limit of the retry-after delay of a refused request, in nanoseconds.
const MAX_RETRY_AFTER_NS: Nanos = 1_000_000_000;

/// An action that the load balancer decides for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestAction {
    /// Send the request to a replica. Attempts are numbered from 0.
    Send {
        /// The number of the attempt.
        attempt: u32,
        /// The replica to send the request to.
        replica: ReplicaId,
    },
    /// Cancel an attempt.
    Cancel(u32),
    /// Refuse the request, which has not run; the client may retry it after this delay.
    Refuse(Duration),
    /// Respond with a failure.
    Fail,
}

/// A request that is to be sent to a replica.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest {
    /// The request class of the route.
    pub class: ClassIndex,
    /// The time until the deadline of the request.
    pub expires_in: Duration,
    /// The prompt of the request.
    pub prompt: Prompt,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptReport {
    /// The number of the attempt.
    pub attempt: u32,
    /// The verdict on the replica.
    pub verdict: Verdict,
    /// The time since the attempt began.
    pub elapsed: Duration,
    /// Whether the request ends with this attempt.
    pub ends_request: bool,
}

/// A placed request that has not ended.
struct ActiveRequest {
    service: ServiceIndex,
    actions: VecDeque<RequestAction>,
    waker: Option<Waker>,
    attempts: u32,
    timers: Vec<TimerKey>,
}

impl ActiveRequest {
    fn new(service: ServiceIndex) -> ActiveRequest {
        ActiveRequest { service, actions: VecDeque::new(), waker: None, attempts: 0, timers: Vec::new() }
    }
}

/// The load balancers of all services, and the requests that they place.
pub struct Placement {
    services: Vec<LoadBalancer>,
    service_index: BTreeMap<String, ServiceIndex>,
    classes: Vec<Class>,
    class_index: BTreeMap<String, ClassIndex>,
    group_size: u32,
    zone: u16,
    seed: u64,
    requests: BTreeMap<RequestId, ActiveRequest>,
    last_id: u64,
    timers: PendingTimers,
    /// A buffer for actions, which is empty between calls and kept to reuse its allocation.
    actions: Vec<Action>,
}

impl Placement {
    /// A placement without services. `seed` seeds the random choices, so that they differ between proxies.
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
            requests: BTreeMap::new(),
            last_id: 0,
            timers: PendingTimers::default(),
            actions: Vec::new(),
        }
    }

    /// Applies a configuration: each route is a request class, and each service with replicas has a load balancer. Load
    /// balancers of removed services are kept for the requests that are still active.
    pub fn configure(&mut self, configuration: &Configuration) {
        for route in &configuration.routes {
            let class = route_class::class_of(route);
            match self.class_index.get(&route.label) {
                Some(index) => self.classes[index.0] = class,
                None => {
                    self.class_index.insert(route.label.clone(), ClassIndex(self.classes.len()));
                    self.classes.push(class);
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
        match LoadBalancer::new(self.settings(), self.seed.wrapping_add(index as u64)) {
            Ok(balancer) => {
                self.service_index.insert(label.to_owned(), ServiceIndex(index));
                self.services.push(balancer);
            }
            Err(error) => log::error!(service = label, error:% = error; "failed to create a load balancer"),
        }
    }

    fn settings(&self) -> Settings {
        Settings {
            group_size: self.group_size,
            zone: Some(self.zone),
            has_pushed_list: true,
            classes: self.classes.clone(),
            has_prefix_transfer: true,
            limits: Limits {
                max_attempts: MAX_ATTEMPTS,
                cancellation: true,
                max_retry_after: MAX_RETRY_AFTER_NS,
                ..Limits::default()
            },
            slow_start: SlowStartSettings {
                initial_capacity: 1.0,
                overload_factor: 1.0,
                ..SlowStartSettings::default()
            },
            ..Settings::default()
        }
    }

    /// Sets the number of proxies that share the fleet; 0 counts as 1.
    pub fn set_group_size(&mut self, proxy_count: u32) {
        let proxy_count = proxy_count.max(1);
        if proxy_count != self.group_size {
            self.group_size = proxy_count;
            self.services.iter_mut().for_each(|service| service.set_group_size(proxy_count));
        }
    }

    /// Replaces the replica list of a service.
    pub fn set_replicas(&mut self, now: Nanos, service: &str, members: Arc<[Member]>) {
        if let Some(&service) = self.service_index.get(service) {
            self.handle_event(now, service, None, Event::List { kind: ListKind::Complete, members });
        }
    }

    /// Sets the work that all proxies together have queued at the replicas of a service.
    pub fn set_loads(&mut self, now: Nanos, service: &str, loads: Vec<ReplicaWork>) {
        if let Some(&service) = self.service_index.get(service) {
            self.handle_event(now, service, None, Event::Loads(loads));
        }
    }

    /// The request class of a route.
    #[must_use]
    pub fn class(&self, route: &str) -> Option<ClassIndex> {
        self.class_index.get(route).copied()
    }

    /// Places a request. None if the service has no load balancer: no configuration has listed it yet, or it was only
    /// listed as a store and so never had replicas. Also None if its load balancer could not be created.
    pub fn place(&mut self, now: Nanos, service: &str, request: PlacementRequest) -> Option<RequestId> {
        let &service = self.service_index.get(service)?;
        self.last_id += 1;
        let id = RequestId(self.last_id);
        self.requests.insert(id, ActiveRequest::new(service));
        let PlacementRequest { class, expires_in, prompt } = request;
        let request = Request {
            id,
            expires_in: nanos(expires_in),
            class,
            tenant: None,
            prefix: prompt.shared,
            session: prompt.session,
            prompt_tokens: prompt.tokens,
            prefix_tokens: prompt.shared_tokens,
            max_output_tokens: prompt.max_output_tokens,
            is_retry: false,
        };
        self.handle_event(now, service, Some(id), Event::Request(request));
        Some(id)
    }

    /// Records that a request is sent to a replica, with `work` units of work for it.
    pub fn record_send(&mut self, now: Nanos, id: RequestId, replica: &ReplicaId, work: u32) {
        let work = ReplicaWork { replica: replica.clone(), work: work.into() };
        self.handle_request_event(now, id, Event::WorkSent(work));
    }

    /// Records that the response to an attempt has begun.
    pub fn record_first_token(&mut self, now: Nanos, id: RequestId, attempt: u32, elapsed: Duration) {
        let elapsed = nanos(elapsed);
        self.handle_request_event(now, id, Event::FirstToken { id, attempt, elapsed });
    }

    /// Records the outcome of an attempt.
    pub fn record_outcome(&mut self, now: Nanos, id: RequestId, report: AttemptReport) {
        let AttemptReport { attempt, verdict, elapsed, ends_request } = report;
        let event = Event::Outcome {
            id,
            attempt,
            verdict,
            ended: ends_request,
            elapsed: nanos(elapsed),
            cached_tokens: None,
            report: Vec::new(),
        };
        self.handle_request_event(now, id, event);
    }

    /// Ends a request. The outcomes of all its attempts must have been recorded. Runs the timers of the request early,
    /// to save their wake-ups.
    pub fn end_request(&mut self, now: Nanos, id: RequestId) {
        self.handle_request_event(now, id, Event::ClientDisconnected(id));
        let Some(request) = self.requests.remove(&id) else { return };
        for key in request.timers {
            if self.timers.remove(&key) {
                self.handle_event(now, request.service, None, Event::Timer(key.token));
            }
        }
    }

    /// The next action for a request. Actions are returned in the order in which the load balancer decided them.
    pub fn poll_action(&mut self, id: RequestId, context: &mut Context<'_>) -> Poll<RequestAction> {
        let Some(request) = self.requests.get_mut(&id) else { return Poll::Pending };
        if let Some(action) = request.actions.pop_front() {
            return Poll::Ready(action);
        }
        match &mut request.waker {
            Some(waker) => waker.clone_from(context.waker()),
            None => request.waker = Some(context.waker().clone()),
        }
        Poll::Pending
    }

    /// The time at which the next timer is due.
    #[must_use]
    pub fn next_timer(&self) -> Option<Nanos> {
        self.timers.next_due()
    }

    /// Runs the timers that are due.
    pub fn run_timers(&mut self, now: Nanos) {
        while let Some(DueTimer { key, request }) = self.timers.pop_due(now) {
            if let Some(active) = request.and_then(|id| self.requests.get_mut(&id)) {
                active.timers.retain(|other| *other != key);
            }
            self.handle_event(now, key.service, request, Event::Timer(key.token));
        }
    }

    /// Ready once a timer is due before `known`, the time that the caller already waits for.
    pub fn poll_earlier_timer(&mut self, known: Option<Nanos>, context: &mut Context<'_>) -> Poll<()> {
        self.timers.poll_earlier(known, context)
    }

    /// The number of requests that are placed and have not ended.
    #[must_use]
    pub fn active_request_count(&self) -> usize {
        self.requests.len()
    }

    /// Passes an event of a request to the load balancer of its service, unless the request has ended.
    fn handle_request_event(&mut self, now: Nanos, id: RequestId, event: Event) {
        if let Some(service) = self.requests.get(&id).map(|request| request.service) {
            self.handle_event(now, service, Some(id), event);
        }
    }

    /// Passes an event to a load balancer and applies the resulting actions. `request` is the request that the event
    /// concerns. All calls of [`LoadBalancer::handle`] are made here.
    fn handle_event(
        &mut self,
        now: Nanos,
        service: ServiceIndex,
        request: Option<RequestId>,
        event: Event,
    ) {
        let mut actions = std::mem::take(&mut self.actions);
        self.services[service.0].handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.apply_action(now, service, request, action);
        }
        self.actions = actions;
    }

    fn apply_action(
        &mut self,
        now: Nanos,
        service: ServiceIndex,
        request: Option<RequestId>,
        action: Action,
    ) {
        match action {
            Action::Send { id, replica, .. } => self.push_action(id, |request| {
                request.attempts += 1;
                RequestAction::Send { attempt: request.attempts - 1, replica }
            }),
            Action::Refuse { id, retry_after } => {
                self.push_action(id, |_| RequestAction::Refuse(Duration::from_nanos(retry_after)));
            }
            Action::Fail(id) => self.push_action(id, |_| RequestAction::Fail),
            Action::Cancel { id, attempt } => self.push_action(id, |_| RequestAction::Cancel(attempt)),
            Action::Timer { after, token } => {
                self.set_timer(TimerKey { due: now.saturating_add(after), service, token }, request);
            }
            // The replica list is pushed, replicas are not probed, and load balancers exchange no messages.
            Action::Watch | Action::Fetch | Action::Probe(_) | Action::SendToPeer { .. } => {}
        }
    }

    fn push_action(&mut self, id: RequestId, action: impl FnOnce(&mut ActiveRequest) -> RequestAction) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let action = action(request);
        request.actions.push_back(action);
        if let Some(waker) = request.waker.take() {
            waker.wake();
        }
    }

    fn set_timer(&mut self, key: TimerKey, request: Option<RequestId>) {
        let request = request.filter(|id| self.requests.contains_key(id));
        if let Some(active) = request.and_then(|id| self.requests.get_mut(&id)) {
            active.timers.push(key);
        }
        self.timers.insert(key, request);
    }
}

fn nanos(time: Duration) -> Nanos {
    Nanos::try_from(time.as_nanos()).unwrap_or(Nanos::MAX)
}
