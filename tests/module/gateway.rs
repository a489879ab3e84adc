//! A load balancer with a simulated clock, and its settings.

use std::collections::{BTreeMap, BTreeSet};

use tulipridge::LoadBalancer;
use tulipridge::types::*;

pub(crate) const SECOND: Nanos = 1_000_000_000;
pub(crate) const MILLI: Nanos = 1_000_000;

pub(crate) fn class(effect: Effect) -> Class {
    Class {
        latency_target: SECOND,
        latency_target_per_token: 0,
        inter_token_target: 50 * MILLI,
        deadline: 5 * SECOND,
        effect,
        value: 1.0,
        late_value: 0.0,
        stream: true,
    }
}

pub(crate) fn settings(effect: Effect) -> Settings {
    Settings {
        group_size: 4,
        has_pushed_list: true,
        tick: MILLI,
        classes: vec![class(effect)],
        over_share_value: 1.0,
        limits: Limits {
            max_attempts: 4,
            hedging: false,
            cancellation: true,
            probes: false,
            peer_messages: false,
            max_retry_after: SECOND,
        },
        slow_start: SlowStartSettings {
            initial_capacity: 0.2,
            slow_start_window: 20 * SECOND,
            overload_factor: 2.5,
            overload_window: 2 * SECOND,
            max_list_age: 10 * SECOND,
        },
        ..Settings::default()
    }
}

pub(crate) fn member(n: usize) -> Member {
    Member {
        id: ReplicaId::from(format!("replica-{n}").as_str()),
        units: 1.0,
        zone: 0,
        kind: 0,
        cell: 0,
        phase: Phase::Ready,
        started: None,
    }
}

pub(crate) fn members(count: usize) -> Vec<Member> {
    (0..count).map(member).collect()
}

/// A load balancer with a simulated clock. Checks that each request is completed once, and that no attempt is
/// sent after its completion.
pub(crate) struct TestGateway {
    pub(crate) balancer: LoadBalancer,
    pub(crate) now: Nanos,
    pub(crate) last_request_id: u64,
    pub(crate) attempts: BTreeMap<u64, u32>,
    pub(crate) completed: BTreeSet<u64>,
    pub(crate) timers: Vec<(Nanos, u64)>,
    /// Whether the next requests are clients' retries.
    pub(crate) is_retry: bool,
    /// Tenant of the next requests.
    pub(crate) tenant: Option<usize>,
    /// Cached prompt tokens that each response reports. If this exceeds the length of the shared prefix, it
    /// saves prefill to keep a session at its replica.
    pub(crate) cached_tokens: u32,
}

impl TestGateway {
    pub(crate) fn new(settings: Settings, list: &[Member]) -> Self {
        let balancer = LoadBalancer::new(settings, 7).expect("good settings");
        let mut gateway = TestGateway {
            balancer,
            now: 100 * SECOND,
            last_request_id: 0,
            attempts: BTreeMap::new(),
            completed: BTreeSet::new(),
            timers: vec![],
            is_retry: false,
            tenant: None,
            cached_tokens: 900,
        };
        gateway.list(ListKind::Persisted, list);
        gateway
    }

    pub(crate) fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            match action {
                Action::Refuse { id, .. } | Action::Fail(id) => {
                    assert!(self.completed.insert(id.0), "{id:?} was completed twice");
                }
                Action::Send { id, .. } => {
                    assert!(!self.completed.contains(&id.0), "{id:?} was sent after its completion");
                    *self.attempts.entry(id.0).or_default() += 1;
                }
                Action::Timer { after, token } => self.timers.push((self.now + after, *token)),
                _ => {}
            }
        }
        actions
    }

    pub(crate) fn list(&mut self, kind: ListKind, list: &[Member]) -> Vec<Action> {
        self.handle(Event::List { kind, members: list.to_vec().into() })
    }

    pub(crate) fn request(&mut self, session: u64, prefix: Option<u64>) -> (RequestId, Vec<Action>) {
        self.last_request_id += 1;
        let id = RequestId(self.last_request_id);
        let request = Request {
            id,
            expires_in: 5 * SECOND,
            class: ClassIndex(0),
            tenant: self.tenant.map(TenantIndex),
            prefix,
            session: Some(session),
            prompt_tokens: 1000,
            prefix_tokens: 500,
            max_output_tokens: 100,
            is_retry: self.is_retry,
        };
        let actions = self.handle(Event::Request(request));
        (id, actions)
    }

    pub(crate) fn outcome(&mut self, id: RequestId, verdict: Verdict) -> Vec<Action> {
        let attempt = self.attempts[&id.0] - 1;
        self.outcome_of_attempt(id, attempt, verdict)
    }

    pub(crate) fn outcome_of_attempt(
        &mut self,
        id: RequestId,
        attempt: u32,
        verdict: Verdict,
    ) -> Vec<Action> {
        let ended = verdict == Verdict::Ok;
        if ended {
            self.completed.insert(id.0);
        }
        let (elapsed, report) = (10 * MILLI, vec![]);
        self.handle(Event::Outcome {
            id,
            attempt,
            verdict,
            ended,
            elapsed,
            cached_tokens: Some(self.cached_tokens),
            report,
        })
    }

    /// Places one request and, if it is sent, completes it at once. Returns its replica.
    pub(crate) fn serve(&mut self, session: u64, prefix: Option<u64>) -> Option<String> {
        let (id, actions) = self.request(session, prefix);
        let sent = destination(&actions);
        if sent.is_some() {
            self.handle(Event::FirstToken { id, attempt: 0, elapsed: MILLI });
            self.outcome(id, Verdict::Ok);
        }
        self.now += MILLI;
        sent
    }

    /// Advances the clock and fires the timers that are due.
    pub(crate) fn advance(&mut self, span: Nanos) -> Vec<Action> {
        let end = self.now + span;
        let mut actions = Vec::new();
        while let Some(at) = self.timers.iter().map(|t| t.0).filter(|t| *t <= end).min() {
            let due = self.timers.iter().position(|t| t.0 == at).expect("just found");
            let (_, token) = self.timers.remove(due);
            self.now = self.now.max(at);
            actions.extend(self.handle(Event::Timer(token)));
        }
        self.now = end;
        actions
    }
}

/// A group of a hundred gateways that start with `list`.
pub(crate) fn gateways(settings: &Settings, list: &[Member]) -> Vec<TestGateway> {
    let start = |gateway_index| {
        let settings = Settings { group_size: 100, gateway_index, ..settings.clone() };
        let balancer =
            LoadBalancer::new(settings.clone(), u64::from(gateway_index) * 977).expect("good settings");
        let mut gateway = TestGateway { balancer, ..TestGateway::new(settings, &[]) };
        gateway.timers.clear();
        gateway.list(ListKind::Persisted, list);
        gateway
    };
    (0..100).map(start).collect()
}

/// A gateway that may send hedged requests and has served some sessions.
pub(crate) fn hedging_gateway(replicas: usize, sessions: u64) -> TestGateway {
    let mut settings = settings(Effect::Safe);
    settings.limits.hedging = true;
    let mut gateway = TestGateway::new(settings, &members(replicas));
    for session in 0..sessions {
        gateway.serve(session, None);
    }
    gateway
}

pub(crate) fn destination(actions: &[Action]) -> Option<String> {
    actions.iter().find_map(|a| match a {
        Action::Send { replica, .. } => Some(replica.0.to_string()),
        _ => None,
    })
}

pub(crate) fn is_refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { .. }))
}

pub(crate) fn is_failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail(_)))
}
