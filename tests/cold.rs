//! The load that all gateways of a group together send to a cold replica, for random groups, traffic and
//! faults from fixed seeds. The load balancers run side by side on one clock.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use quickcheck::{Arbitrary, Gen};

use tulipridge::LoadBalancer;
use tulipridge::types::*;

const SECOND: Nanos = 1_000_000_000;
const MILLI: Nanos = 1_000_000;
/// Cost of a response, in prompt tokens.
const RESPONSE_COST: f64 = 1000.0;
/// For this time an old process of a gateway takes requests beside the new one.
const OVERLAP: Nanos = 700 * MILLI;
const COLD_START: Nanos = 100 * SECOND;

/// A group of gateways, its replicas, its traffic and its faults.
#[derive(Clone, Debug)]
struct Case {
    seed: u64,
    group: u32,
    warm: usize,
    cold: usize,
    /// Requests of mean cost per second that the quotas permit, at all gateways together.
    quota: f64,
    /// Offered load, as a multiple of the quota.
    load: f64,
    /// 0 for an even distribution over gateways; otherwise the busiest ones get several times the mean.
    skew: f64,
    /// Whether all requests have the same prompt prefix.
    single_prefix: bool,
    varied: bool,
    initial_capacity: f64,
    slow_start_window: Nanos,
    overload_factor: f64,
    overload_window: Nanos,
    /// Maximum delay of the list with the cold replicas at a gateway.
    list_delay: Nanos,
    /// Fraction of the gateways that restart while replicas are cold, at once or at different times.
    restarted: f64,
    at_once: bool,
    /// Fraction of the attempts that fail at once.
    errors: f64,
    /// Fraction of the attempts that time out without a response.
    timeouts: f64,
    hedging: bool,
    /// Requests per gateway that arrive together, as after an outage.
    burst: f64,
}

/// Returns a number from 0 to 1 without state (SplitMix64).
fn unit(seed: u64, n: u64) -> f64 {
    let mut z = seed.wrapping_add((n + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15));
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

impl Arbitrary for Case {
    fn arbitrary(g: &mut Gen) -> Case {
        let seed = u64::arbitrary(g);
        let pick = |n: u64, least: f64, most: f64| least + (most - least) * unit(seed, n);
        let often = |n: u64, share: f64| unit(seed, n) < share;
        let group = (300f64.powf(unit(seed, 1)) as u32).clamp(1, 300);
        let cold = if often(2, 0.4) { 1 } else { pick(2, 1.0, 12.0) as usize };
        let warm = if often(3, 0.3) { 0 } else { pick(3, 1.0, 20.0) as usize };
        // From 1 to 100 requests per replica within the overload window.
        let (overload_factor, overload_window) = (pick(4, 1.5, 4.0), pick(5, 1.0, 3.0));
        let (initial_capacity, slow_start_window) = (pick(6, 0.1, 0.6), pick(7, 3.0, 20.0));
        let calls = 100f64.powf(unit(seed, 8));
        let quota = calls / (overload_factor * overload_window * initial_capacity) * (warm + cold) as f64;
        Case {
            seed,
            group,
            warm,
            cold,
            // Limits the work per case.
            quota: quota.min(80.0),
            load: 0.5 * 8f64.powf(unit(seed, 9)),
            skew: if often(10, 0.5) { 0.0 } else { pick(10, 0.0, 2.0) },
            single_prefix: often(11, 0.2),
            varied: often(12, 0.5),
            initial_capacity,
            slow_start_window: (slow_start_window * 1e9) as Nanos,
            overload_factor,
            overload_window: (overload_window * 1e9) as Nanos,
            list_delay: if often(13, 0.5) { 0 } else { (pick(13, 0.0, 6.0) * 1e9) as Nanos },
            restarted: if often(14, 0.5) { 0.0 } else { pick(14, 0.0, 1.0) },
            at_once: often(15, 0.5),
            errors: if often(16, 0.6) { 0.0 } else { pick(16, 0.0, 0.6) },
            timeouts: if often(17, 0.7) { 0.0 } else { pick(17, 0.0, 0.3) },
            hedging: often(18, 0.5),
            burst: if often(19, 0.7) { 0.0 } else { pick(19, 0.5, 3.0) },
        }
    }
}

/// Result of a case.
#[derive(Clone, Copy, Debug, Default)]
struct Peak {
    /// Maximum over all overload windows of the work in requests of mean cost, divided by the budget and
    /// its tolerance.
    worst: f64,
    /// Work and budget in that window.
    sent: f64,
    budget: f64,
}

enum ScheduledEvent {
    List { process: usize, cold: bool },
    Request(u64),
    Timer { process: usize, token: u64 },
    FirstToken { process: usize, id: RequestId, attempt: u32 },
    Outcome { process: usize, id: RequestId, attempt: u32, verdict: Verdict },
    Restart(usize),
}

struct Simulation {
    case: Case,
    now: Nanos,
    queue: BinaryHeap<Reverse<(Nanos, u64)>>,
    events: BTreeMap<u64, ScheduledEvent>,
    count: u64,
    draws: u64,
    /// All processes of the run; `current` has the index of each gateway's process that takes requests.
    processes: Vec<LoadBalancer>,
    current: Vec<usize>,
    /// Each gateway's previous process, and until when some requests still reach it.
    previous: Vec<(usize, Nanos)>,
    costs: BTreeMap<RequestId, (u32, f64)>,
    attempts: BTreeMap<RequestId, u32>,
    sent: Vec<VecDeque<(Nanos, f64)>>,
    mean: f64,
    peak: Peak,
}

impl Simulation {
    fn new(case: Case) -> Simulation {
        let sent = vec![VecDeque::new(); case.cold];
        let mean = RESPONSE_COST + if case.varied { 3000.0 } else { 1000.0 };
        Simulation {
            case,
            now: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            count: 0,
            draws: 1000,
            processes: Vec::new(),
            current: Vec::new(),
            previous: Vec::new(),
            costs: BTreeMap::new(),
            attempts: BTreeMap::new(),
            sent,
            mean,
            peak: Peak::default(),
        }
    }

    fn schedule(&mut self, at: Nanos, event: ScheduledEvent) {
        self.count += 1;
        self.queue.push(Reverse((at, self.count)));
        self.events.insert(self.count, event);
    }

    fn random(&mut self) -> f64 {
        self.draws += 1;
        unit(self.case.seed, self.draws)
    }

    fn settings(&self, gateway_index: u32) -> Settings {
        let case = &self.case;
        let class = Class {
            latency_target: SECOND,
            latency_target_per_token: 0,
            inter_token_target: 50 * MILLI,
            deadline: 5 * SECOND,
            effect: Effect::Safe,
            value: 1.0,
            late_value: 0.0,
            stream: true,
        };
        Settings {
            group_size: case.group,
            gateway_index,
            has_pushed_list: true,
            tick: MILLI,
            classes: vec![class],
            // All load is within the tenant's share, so admission control does not shed for the share here.
            tenants: vec![Tenant { share: 1.0, quota_per_s: Some(case.quota) }],
            over_share_value: 1.0,
            limits: Limits {
                max_attempts: 4,
                hedging: case.hedging,
                cancellation: true,
                probes: false,
                peer_messages: false,
                max_retry_after: SECOND,
            },
            slow_start: SlowStartSettings {
                initial_capacity: case.initial_capacity,
                slow_start_window: case.slow_start_window,
                overload_factor: case.overload_factor,
                overload_window: case.overload_window,
                max_list_age: 10 * SECOND,
            },
            ..Settings::default()
        }
    }

    /// The list before (`cold` is false) and after the cold replicas started; before, they are warm ones
    /// with other ids.
    fn list(&self, cold: bool) -> Vec<Member> {
        let all = 0..self.case.warm + self.case.cold;
        all.map(|n| {
            let fresh = n >= self.case.warm;
            Member {
                id: ReplicaId::from(format!("{}-{n}", if fresh && cold { "new" } else { "old" }).as_str()),
                units: 1.0,
                zone: 0,
                kind: 0,
                cell: 0,
                phase: Phase::Ready,
                started: (fresh && cold).then_some(COLD_START),
            }
        })
        .collect()
    }

    fn process(&mut self, gateway_index: usize, cold: bool) -> usize {
        let seed = self.case.seed ^ (self.processes.len() as u64).wrapping_mul(0xD129_0F6D);
        self.processes
            .push(LoadBalancer::new(self.settings(gateway_index as u32), seed).expect("good settings"));
        let process = self.processes.len() - 1;
        let members = self.list(cold).into();
        self.handle(process, Event::List { kind: ListKind::Persisted, members });
        process
    }

    fn handle(&mut self, process: usize, event: Event) {
        let mut actions = Vec::new();
        self.processes[process].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Timer { after, token } => {
                    self.schedule(self.now + after.max(1), ScheduledEvent::Timer { process, token });
                }
                Action::Send { id, replica, timeout, .. } => {
                    let attempt = self.attempts.entry(id).or_insert(0);
                    let (n, now) = (*attempt, self.now);
                    *attempt += 1;
                    if let Some(cold) = replica.0.strip_prefix("new-") {
                        let cold = cold.parse::<usize>().expect("a number") - self.case.warm;
                        self.record_cold_send(cold, self.costs[&id].1);
                    }
                    let chance = self.random();
                    let outcome = |verdict| ScheduledEvent::Outcome { process, id, attempt: n, verdict };
                    if chance < self.case.errors {
                        self.schedule(now + MILLI, outcome(Verdict::Error));
                    } else if chance < self.case.errors + self.case.timeouts {
                        self.schedule(now + timeout, outcome(Verdict::TimedOut));
                    } else {
                        let took = 50 * MILLI + (self.random() * 0.2 * SECOND as f64) as Nanos;
                        self.schedule(now + took, ScheduledEvent::FirstToken { process, id, attempt: n });
                        self.schedule(now + 2 * took, outcome(Verdict::Ok));
                    }
                }
                _ => {}
            }
        }
    }

    /// Requests of mean cost that the settings permit for one cold replica in the overload window that
    /// starts at `at`. The capacity of a warm replica is its part of the quotas. The permitted work is
    /// summed over the window, which gives less than the capacity at its end would permit, the other
    /// reading of the rule.
    fn budget(&self, at: Nanos) -> f64 {
        let case = &self.case;
        let warmth = |at: Nanos| {
            let age = at.saturating_sub(COLD_START) as f64 / case.slow_start_window as f64;
            (case.initial_capacity + (1.0 - case.initial_capacity) * age).min(1.0)
        };
        let mean =
            (0..20).map(|k| warmth(at + case.overload_window * (2 * k + 1) / 40)).sum::<f64>() / 20.0;
        let able = case.quota / (case.warm + case.cold) as f64 * mean;
        case.overload_factor * able * case.overload_window as f64 / SECOND as f64
    }

    fn record_cold_send(&mut self, cold: usize, cost: f64) {
        if self.now >= COLD_START + self.case.slow_start_window {
            return;
        }
        let (now, span) = (self.now, self.case.overload_window);
        let sent = &mut self.sent[cold];
        sent.push_back((now, cost / self.mean));
        while sent.front().is_some_and(|(at, _)| at + span <= now) {
            sent.pop_front();
        }
        let sum = sent.iter().map(|(_, cost)| cost).sum::<f64>();
        // The first window starts with the replica.
        let budget = self.budget(now.saturating_sub(span).max(COLD_START));
        let ratio = sum / (budget + 2.0 * budget.sqrt() + 2.0);
        if ratio > self.peak.worst {
            (self.peak.worst, self.peak.sent, self.peak.budget) = (ratio, sum, budget);
        }
    }

    fn run(mut self) -> Peak {
        let cumulative_weights = self.cumulative_weights();
        // Earlier traffic lets the gateways measure the load.
        self.now = COLD_START - 3 * SECOND;
        self.start_gateways();
        let end = COLD_START + self.case.slow_start_window;
        self.schedule_arrivals(end);
        while let Some(Reverse((at, n))) = self.queue.pop() {
            if at >= end {
                break;
            }
            self.now = at;
            let event = self.events.remove(&n).expect("scheduled once");
            self.apply(event, &cumulative_weights);
        }
        self.peak
    }

    /// Cumulative fraction of all requests per gateway.
    fn cumulative_weights(&self) -> Vec<f64> {
        let case = &self.case;
        let weights: Vec<f64> = (0..case.group)
            .map(|n| (1.0 - unit(case.seed ^ 77, u64::from(n))).powf(-case.skew / 2.0).min(12.0))
            .collect();
        let all: f64 = weights.iter().sum();
        weights
            .iter()
            .scan(0.0, |sum, w| {
                *sum += w / all;
                Some(*sum)
            })
            .collect()
    }

    /// Starts each gateway, and schedules its list with the cold replicas and its restart.
    fn start_gateways(&mut self) {
        let case = self.case.clone();
        for gateway_index in 0..case.group as usize {
            let process = self.process(gateway_index, false);
            self.current.push(process);
            self.previous.push((process, 0));
            let after = (self.random() * case.list_delay as f64) as Nanos;
            self.schedule(COLD_START + after, ScheduledEvent::List { process, cold: true });
            if self.random() < case.restarted {
                let when = if case.at_once { 0.1 } else { self.random() };
                let when = COLD_START + (when * 0.7 * case.slow_start_window as f64) as Nanos;
                self.schedule(when, ScheduledEvent::Restart(gateway_index));
            }
        }
    }

    /// Schedules the arrival of requests: at random times, and a burst.
    fn schedule_arrivals(&mut self, end: Nanos) {
        let case = self.case.clone();
        let mut at = self.now as f64;
        let mut n = 0;
        loop {
            at -= (1.0 - self.random()).ln() / (case.quota * case.load) * SECOND as f64;
            if at as Nanos >= end {
                break;
            }
            n += 1;
            self.schedule(at as Nanos, ScheduledEvent::Request(n));
        }
        let moment = COLD_START + (self.random() * 0.5 * case.slow_start_window as f64) as Nanos;
        for _ in 0..(case.burst * f64::from(case.group)) as usize {
            n += 1;
            let at = moment + (self.random() * 0.2 * SECOND as f64) as Nanos;
            self.schedule(at, ScheduledEvent::Request(n));
        }
    }

    fn apply(&mut self, event: ScheduledEvent, cumulative_weights: &[f64]) {
        match event {
            ScheduledEvent::List { process, cold } => {
                let members = self.list(cold).into();
                self.handle(process, Event::List { kind: ListKind::Complete, members });
            }
            ScheduledEvent::Restart(gateway_index) => self.restart(gateway_index),
            ScheduledEvent::Request(n) => self.arrive(n, cumulative_weights),
            ScheduledEvent::Timer { process, token } => self.handle(process, Event::Timer(token)),
            ScheduledEvent::FirstToken { process, id, attempt } => {
                self.handle(process, Event::FirstToken { id, attempt, elapsed: MILLI });
            }
            ScheduledEvent::Outcome { process, id, attempt, verdict } => {
                let ended = verdict == Verdict::Ok;
                let cached = Some(self.costs[&id].0 / 2);
                let (elapsed, report) = (10 * MILLI, vec![]);
                self.handle(
                    process,
                    Event::Outcome { id, attempt, verdict, ended, elapsed, cached_tokens: cached, report },
                );
            }
        }
    }

    fn restart(&mut self, gateway_index: usize) {
        let is_informed = self.now - COLD_START >= self.case.list_delay || self.random() < 0.5;
        self.previous[gateway_index] = (self.current[gateway_index], self.now + OVERLAP);
        self.current[gateway_index] = self.process(gateway_index, is_informed);
        if !is_informed {
            let process = self.current[gateway_index];
            self.schedule(self.now + OVERLAP, ScheduledEvent::List { process, cold: true });
        }
    }

    fn arrive(&mut self, n: u64, cumulative_weights: &[f64]) {
        let at = self.random();
        let gateway_index =
            cumulative_weights.partition_point(|s| *s < at).min(self.case.group as usize - 1);
        // Some requests reach the old process while both accept connections.
        let (old, until) = self.previous[gateway_index];
        let to_old = self.now < until && self.random() < 0.5;
        let process = if to_old { old } else { self.current[gateway_index] };
        let prompt = if self.case.varied { (6000.0 * self.random()) as u32 } else { 1000 };
        let (id, cost) = (RequestId(n), f64::from(prompt) + RESPONSE_COST);
        self.costs.insert(id, (prompt, cost));
        let prefix = if self.case.single_prefix { 1 } else { 1 + (self.random() * 40.0) as u64 };
        let session = Some((self.random() * 1000.0) as u64);
        let request = Request {
            id,
            expires_in: 5 * SECOND,
            class: ClassIndex(0),
            tenant: Some(TenantIndex(0)),
            prefix: Some(prefix),
            session,
            prompt_tokens: prompt,
            prefix_tokens: prompt / 2,
            max_output_tokens: 100,
            is_retry: false,
        };
        self.handle(process, Event::Request(request));
    }
}

#[test]
fn a_group_of_any_size_keeps_to_a_cold_replicas_budget() {
    let mut draw = Gen::from_size_and_seed(60, 31);
    let cases: Vec<Case> = (0..120).map(|_| Case::arbitrary(&mut draw)).collect();
    let run = |case: &Case| (Simulation::new(case.clone()).run(), case.clone());
    let mut results = std::thread::scope(|scope| {
        let parts: Vec<_> =
            cases.chunks(30).map(|part| scope.spawn(|| part.iter().map(run).collect::<Vec<_>>())).collect();
        parts.into_iter().flat_map(|part| part.join().expect("no panic")).collect::<Vec<_>>()
    });
    // Reports the number of failed cases and the worst one.
    results.sort_by(|a, b| b.0.worst.total_cmp(&a.0.worst));
    let failed = results.iter().filter(|(peak, _)| peak.worst > 1.0).count();
    assert_eq!(failed, 0, "failed of {} cases; the worst: {:#?}", results.len(), results[0]);
}
