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
const ANSWER: f64 = 1000.0;
/// For this time an old process of a gateway takes requests beside the new one.
const OVERLAP: Nanos = 700 * MILLI;
const BEGIN: Nanos = 100 * SECOND;

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
    one_beginning: bool,
    varied: bool,
    from: f64,
    ramp: Nanos,
    factor: f64,
    fall: Nanos,
    /// Maximum delay of the list with the cold replicas at a gateway.
    late: Nanos,
    /// Fraction of the gateways that restart while replicas are cold, at once or at different times.
    restarted: f64,
    at_once: bool,
    /// Fraction of the attempts that fail at once.
    errors: f64,
    /// Fraction of the attempts that time out without a response.
    mute: f64,
    copies: bool,
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
        let (factor, fall) = (pick(4, 1.5, 4.0), pick(5, 1.0, 3.0));
        let (from, ramp) = (pick(6, 0.1, 0.6), pick(7, 3.0, 20.0));
        let calls = 100f64.powf(unit(seed, 8));
        let quota = calls / (factor * fall * from) * (warm + cold) as f64;
        Case {
            seed,
            group,
            warm,
            cold,
            // Limits the work per case.
            quota: quota.min(80.0),
            load: 0.5 * 8f64.powf(unit(seed, 9)),
            skew: if often(10, 0.5) { 0.0 } else { pick(10, 0.0, 2.0) },
            one_beginning: often(11, 0.2),
            varied: often(12, 0.5),
            from,
            ramp: (ramp * 1e9) as Nanos,
            factor,
            fall: (fall * 1e9) as Nanos,
            late: if often(13, 0.5) { 0 } else { (pick(13, 0.0, 6.0) * 1e9) as Nanos },
            restarted: if often(14, 0.5) { 0.0 } else { pick(14, 0.0, 1.0) },
            at_once: often(15, 0.5),
            errors: if often(16, 0.6) { 0.0 } else { pick(16, 0.0, 0.6) },
            mute: if often(17, 0.7) { 0.0 } else { pick(17, 0.0, 0.3) },
            copies: often(18, 0.5),
            burst: if often(19, 0.7) { 0.0 } else { pick(19, 0.5, 3.0) },
        }
    }
}

/// Result of a case.
#[derive(Clone, Copy, Debug, Default)]
struct Found {
    /// Maximum over all overload windows of the work in requests of mean cost, divided by the budget and
    /// its tolerance.
    worst: f64,
    /// Work and budget in that window.
    sent: f64,
    budget: f64,
}

enum What {
    List { process: usize, cold: bool },
    Arrive(u64),
    Timer { process: usize, token: u64 },
    First { process: usize, id: RequestId, attempt: u32 },
    Over { process: usize, id: RequestId, attempt: u32, verdict: Verdict },
    Restart(usize),
}

struct World {
    case: Case,
    now: Nanos,
    queue: BinaryHeap<Reverse<(Nanos, u64)>>,
    whats: BTreeMap<u64, What>,
    count: u64,
    drawn: u64,
    /// All processes of the run; `current` has the index of each gateway's process that takes requests.
    processes: Vec<LoadBalancer>,
    current: Vec<usize>,
    /// Each gateway's previous process, and until when some requests still reach it.
    before: Vec<(usize, Nanos)>,
    costs: BTreeMap<RequestId, (u32, f64)>,
    attempts: BTreeMap<RequestId, u32>,
    sent: Vec<VecDeque<(Nanos, f64)>>,
    mean: f64,
    found: Found,
}

impl World {
    fn new(case: Case) -> World {
        let sent = vec![VecDeque::new(); case.cold];
        let mean = ANSWER + if case.varied { 3000.0 } else { 1000.0 };
        World {
            case,
            now: 0,
            queue: BinaryHeap::new(),
            whats: BTreeMap::new(),
            count: 0,
            drawn: 1000,
            processes: Vec::new(),
            current: Vec::new(),
            before: Vec::new(),
            costs: BTreeMap::new(),
            attempts: BTreeMap::new(),
            sent,
            mean,
            found: Found::default(),
        }
    }

    fn at(&mut self, at: Nanos, what: What) {
        self.count += 1;
        self.queue.push(Reverse((at, self.count)));
        self.whats.insert(self.count, what);
    }

    fn chance(&mut self) -> f64 {
        self.drawn += 1;
        unit(self.case.seed, self.drawn)
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
                hedging: case.copies,
                cancellation: true,
                probes: false,
                peer_messages: false,
                max_retry_after: SECOND,
            },
            safety: Safety {
                initial_capacity: case.from,
                slow_start_window: case.ramp,
                overload_factor: case.factor,
                overload_window: case.fall,
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
                started: (fresh && cold).then_some(BEGIN),
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
                    self.at(self.now + after.max(1), What::Timer { process, token });
                }
                Action::Send { id, replica, timeout, .. } => {
                    let attempt = self.attempts.entry(id).or_insert(0);
                    let (n, now) = (*attempt, self.now);
                    *attempt += 1;
                    if let Some(cold) = replica.0.strip_prefix("new-") {
                        let cold = cold.parse::<usize>().expect("a number") - self.case.warm;
                        self.send_cold(cold, self.costs[&id].1);
                    }
                    let chance = self.chance();
                    let over = |verdict| What::Over { process, id, attempt: n, verdict };
                    if chance < self.case.errors {
                        self.at(now + MILLI, over(Verdict::Error));
                    } else if chance < self.case.errors + self.case.mute {
                        self.at(now + timeout, over(Verdict::TimedOut));
                    } else {
                        let took = 50 * MILLI + (self.chance() * 0.2 * SECOND as f64) as Nanos;
                        self.at(now + took, What::First { process, id, attempt: n });
                        self.at(now + 2 * took, over(Verdict::Ok));
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
            let age = at.saturating_sub(BEGIN) as f64 / case.ramp as f64;
            (case.from + (1.0 - case.from) * age).min(1.0)
        };
        let mean = (0..20).map(|k| warmth(at + case.fall * (2 * k + 1) / 40)).sum::<f64>() / 20.0;
        let able = case.quota / (case.warm + case.cold) as f64 * mean;
        case.factor * able * case.fall as f64 / SECOND as f64
    }

    fn send_cold(&mut self, cold: usize, cost: f64) {
        if self.now >= BEGIN + self.case.ramp {
            return;
        }
        let (now, span) = (self.now, self.case.fall);
        let sent = &mut self.sent[cold];
        sent.push_back((now, cost / self.mean));
        while sent.front().is_some_and(|(at, _)| at + span <= now) {
            sent.pop_front();
        }
        let sum = sent.iter().map(|(_, cost)| cost).sum::<f64>();
        // The first window starts with the replica.
        let budget = self.budget(now.saturating_sub(span).max(BEGIN));
        let ratio = sum / (budget + 2.0 * budget.sqrt() + 2.0);
        if ratio > self.found.worst {
            (self.found.worst, self.found.sent, self.found.budget) = (ratio, sum, budget);
        }
    }

    fn play(mut self) -> Found {
        let cumulative_weights = self.cumulative_weights();
        // Earlier traffic lets the gateways measure the load.
        self.now = BEGIN - 3 * SECOND;
        self.start_gateways();
        let end = BEGIN + self.case.ramp;
        self.schedule_arrivals(end);
        while let Some(Reverse((at, n))) = self.queue.pop() {
            if at >= end {
                break;
            }
            self.now = at;
            let what = self.whats.remove(&n).expect("it was put in");
            self.perform(what, &cumulative_weights);
        }
        self.found
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
        for me in 0..case.group as usize {
            let process = self.process(me, false);
            self.current.push(process);
            self.before.push((process, 0));
            let after = (self.chance() * case.late as f64) as Nanos;
            self.at(BEGIN + after, What::List { process, cold: true });
            if self.chance() < case.restarted {
                let when = if case.at_once { 0.1 } else { self.chance() };
                let when = BEGIN + (when * 0.7 * case.ramp as f64) as Nanos;
                self.at(when, What::Restart(me));
            }
        }
    }

    /// Schedules the arrival of requests: at random times, and a burst.
    fn schedule_arrivals(&mut self, end: Nanos) {
        let case = self.case.clone();
        let mut at = self.now as f64;
        let mut n = 0;
        loop {
            at -= (1.0 - self.chance()).ln() / (case.quota * case.load) * SECOND as f64;
            if at as Nanos >= end {
                break;
            }
            n += 1;
            self.at(at as Nanos, What::Arrive(n));
        }
        let moment = BEGIN + (self.chance() * 0.5 * case.ramp as f64) as Nanos;
        for _ in 0..(case.burst * f64::from(case.group)) as usize {
            n += 1;
            let at = moment + (self.chance() * 0.2 * SECOND as f64) as Nanos;
            self.at(at, What::Arrive(n));
        }
    }

    fn perform(&mut self, what: What, cumulative_weights: &[f64]) {
        match what {
            What::List { process, cold } => {
                let members = self.list(cold).into();
                self.handle(process, Event::List { kind: ListKind::Complete, members });
            }
            What::Restart(me) => self.restart(me),
            What::Arrive(n) => self.arrive(n, cumulative_weights),
            What::Timer { process, token } => self.handle(process, Event::Timer(token)),
            What::First { process, id, attempt } => {
                self.handle(process, Event::FirstToken { id, attempt, elapsed: MILLI });
            }
            What::Over { process, id, attempt, verdict } => {
                let ended = verdict == Verdict::Ok;
                let kept = Some(self.costs[&id].0 / 2);
                let (elapsed, report) = (10 * MILLI, vec![]);
                self.handle(
                    process,
                    Event::Outcome { id, attempt, verdict, ended, elapsed, cached_tokens: kept, report },
                );
            }
        }
    }

    fn restart(&mut self, me: usize) {
        let told = self.now - BEGIN >= self.case.late || self.chance() < 0.5;
        self.before[me] = (self.current[me], self.now + OVERLAP);
        self.current[me] = self.process(me, told);
        if !told {
            let process = self.current[me];
            self.at(self.now + OVERLAP, What::List { process, cold: true });
        }
    }

    fn arrive(&mut self, n: u64, cumulative_weights: &[f64]) {
        let at = self.chance();
        let me = cumulative_weights.partition_point(|s| *s < at).min(self.case.group as usize - 1);
        // Some requests reach the old process while both accept connections.
        let (old, until) = self.before[me];
        let to_old = self.now < until && self.chance() < 0.5;
        let process = if to_old { old } else { self.current[me] };
        let prompt = if self.case.varied { (6000.0 * self.chance()) as u32 } else { 1000 };
        let (id, cost) = (RequestId(n), f64::from(prompt) + ANSWER);
        self.costs.insert(id, (prompt, cost));
        let prefix = if self.case.one_beginning { 1 } else { 1 + (self.chance() * 40.0) as u64 };
        let session = Some((self.chance() * 1000.0) as u64);
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
fn a_group_of_any_size_keeps_to_a_cold_servers_budget() {
    let mut draw = Gen::from_size_and_seed(60, 31);
    let cases: Vec<Case> = (0..120).map(|_| Case::arbitrary(&mut draw)).collect();
    let play = |case: &Case| (World::new(case.clone()).play(), case.clone());
    let mut played = std::thread::scope(|scope| {
        let parts: Vec<_> = cases
            .chunks(30)
            .map(|part| scope.spawn(|| part.iter().map(play).collect::<Vec<_>>()))
            .collect();
        parts.into_iter().flat_map(|part| part.join().expect("played")).collect::<Vec<_>>()
    });
    // Reports the number of failed cases and the worst one.
    played.sort_by(|a, b| b.0.worst.total_cmp(&a.0.worst));
    let over = played.iter().filter(|(found, _)| found.worst > 1.0).count();
    assert_eq!(over, 0, "of {} cases; the worst: {:#?}", played.len(), played[0]);
}
