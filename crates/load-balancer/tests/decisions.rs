//! Compares digests of all actions in random event sequences with recorded values, so that a refactoring
//! can't change a decision unnoticed.
//!
//! A commit that changes a decision on purpose replaces the digest and states why. The values depend on the
//! C library's `exp` and `ln`, and hold for the platforms that CI builds for.

use rstest::rstest;
use tulipridge_load_balancer::LoadBalancer;
use tulipridge_load_balancer::types::*;

const SECOND: Nanos = 1_000_000_000;
const MILLI: Nanos = 1_000_000;
const START: Nanos = 100 * SECOND;
const STEPS: u64 = 1_500;
const REPLICAS: u64 = 24;

/// A linear congruential generator, so that event sequences depend on their seed alone.
struct Random(u64);

impl Random {
    fn below(&mut self, end: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % end
    }

    fn one_in(&mut self, count: u64) -> bool {
        self.below(count) == 0
    }
}

/// An FNV-1a hash of the fields of actions.
struct Digest(u64);

impl Digest {
    fn add(&mut self, value: u64) {
        for byte in value.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0100_0000_01B3);
        }
    }

    fn add_action(&mut self, action: &Action) {
        match action {
            Action::Send { id, replica, timeout, write_within } => {
                self.add(1);
                self.add(id.0);
                replica.0.bytes().for_each(|byte| self.add(byte.into()));
                self.add(*timeout);
                self.add(*write_within);
            }
            Action::Refuse { id, retry_after } => {
                [2, id.0, *retry_after].into_iter().for_each(|value| self.add(value));
            }
            Action::Fail(id) => [3, id.0].into_iter().for_each(|value| self.add(value)),
            Action::Cancel { id, attempt } => {
                [4, id.0, u64::from(*attempt)].into_iter().for_each(|value| self.add(value));
            }
            Action::Timer { after, token } => {
                [5, *after, *token].into_iter().for_each(|value| self.add(value));
            }
            Action::Watch => self.add(6),
            Action::Fetch => self.add(7),
            Action::Probe(_) => self.add(8),
            Action::SendToPeer { .. } => self.add(9),
        }
    }
}

fn class(latency_target: Nanos, effect: Effect) -> Class {
    Class {
        latency_target,
        latency_target_per_token: 40_000,
        inter_token_target: 0,
        deadline: 6 * SECOND,
        effect,
        value: 1.0,
        late_value: 0.3,
        stream: true,
    }
}

fn settings(group_size: u32) -> Settings {
    let keyed = |scope| Effect::Keyed { scope, window: 3 * SECOND };
    Settings {
        group_size,
        gateway_index: group_size / 2,
        tick: MILLI,
        classes: vec![
            class(SECOND, Effect::Safe),
            class(2 * SECOND, Effect::Unsafe),
            class(SECOND, keyed(Scope::Zone)),
            class(SECOND, keyed(Scope::Cell)),
            class(SECOND, keyed(Scope::All)),
        ],
        tenants: vec![
            Tenant { share: 0.5, quota_per_s: Some(40.0) },
            Tenant { share: 0.5, quota_per_s: Some(15.0) },
        ],
        over_share_value: 0.1,
        limits: Limits {
            max_attempts: 3,
            cancellation: true,
            max_retry_after: 2 * SECOND,
            ..Limits::default()
        },
        slow_start: SlowStartSettings {
            initial_capacity: 0.2,
            slow_start_window: 20 * SECOND,
            overload_factor: 2.5,
            overload_window: 2 * SECOND,
            max_list_age: 10 * SECOND,
        },
        units_meaning: UnitsMeaning::Size,
        speeds: vec![1.0, 1.7],
        ..Settings::default()
    }
}

/// An attempt that has not ended.
struct OpenAttempt {
    id: RequestId,
    attempt: u32,
    ends_at: Nanos,
    first_token_at: Nanos,
    verdict: Verdict,
}

/// A timer that the balancer has set.
struct PendingTimer {
    due: Nanos,
    token: u64,
}

struct Simulation {
    balancer: LoadBalancer,
    random: Random,
    digest: Digest,
    now: Nanos,
    open_attempts: Vec<OpenAttempt>,
    attempts: Vec<u32>,
    timers: Vec<PendingTimer>,
}

impl Simulation {
    fn new(settings: Settings, seed: u64) -> Simulation {
        Simulation {
            balancer: LoadBalancer::new(settings, seed).expect("valid settings"),
            random: Random(seed),
            digest: Digest(0xCBF2_9CE4_8422_2325),
            now: START,
            open_attempts: Vec::new(),
            attempts: vec![0; STEPS as usize + 1],
            timers: Vec::new(),
        }
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            self.digest.add_action(&action);
            match action {
                Action::Send { id, .. } => self.start_attempt(id),
                Action::Timer { after, token } => {
                    self.timers.push(PendingTimer { due: self.now.saturating_add(after), token });
                }
                Action::Watch => self.respond_to_watch(),
                _ => {}
            }
        }
    }

    fn start_attempt(&mut self, id: RequestId) {
        let attempt = self.attempts[id.0 as usize];
        self.attempts[id.0 as usize] += 1;
        let verdict = match self.random.below(20) {
            0 => Verdict::Error,
            1 => Verdict::Full,
            2 => Verdict::NoConnection,
            3 => Verdict::Reset,
            4 => Verdict::TimedOut,
            5 => Verdict::NotSent,
            _ => Verdict::Ok,
        };
        let first_token_at = self.now + self.random.below(1_500) * MILLI;
        let ends_at = first_token_at + self.random.below(3_000) * MILLI;
        self.open_attempts.push(OpenAttempt { id, attempt, ends_at, first_token_at, verdict });
    }

    fn respond_to_watch(&mut self) {
        if self.random.one_in(2) {
            self.handle(Event::List { kind: ListKind::Failed, members: [].into() });
        } else {
            self.send_list(ListKind::Complete);
        }
    }

    fn member(&mut self, number: u64) -> Member {
        let phase = match self.random.below(12) {
            0 => Phase::Draining,
            1 => Phase::Gone,
            _ => Phase::Ready,
        };
        let started =
            self.random.one_in(6).then(|| self.now.saturating_sub(self.random.below(30) * SECOND));
        Member {
            id: ReplicaId::from(format!("replica-{number}").as_str()),
            units: 1.0 + (number % 3) as f64,
            zone: (number % 3) as u16,
            kind: (number % 2) as u16,
            cell: number % 5,
            phase,
            started,
        }
    }

    fn send_list(&mut self, kind: ListKind) {
        let numbers: Vec<u64> = match kind {
            ListKind::Changes | ListKind::Local => vec![self.random.below(REPLICAS)],
            _ => (0..REPLICAS).collect(),
        };
        let members: Vec<Member> = numbers.into_iter().map(|number| self.member(number)).collect();
        self.handle(Event::List { kind, members: members.into() });
    }

    fn report_loads(&mut self) {
        let id = |number: u64| ReplicaId::from(format!("replica-{number}").as_str());
        let loads = (0..REPLICAS)
            .map(|number| ReplicaWork { replica: id(number), work: self.random.below(9) as f64 })
            .collect();
        self.handle(Event::Loads(loads));
        let replica = id(self.random.below(REPLICAS));
        self.handle(Event::WorkSent(ReplicaWork { replica, work: 3.0 }));
    }

    fn send_request(&mut self, number: u64) {
        let prompt = 200 + self.random.below(8_000) as u32;
        let request = Request {
            id: RequestId(number),
            expires_in: (2 + self.random.below(6)) * SECOND,
            class: ClassIndex(self.random.below(5) as usize),
            tenant: (!self.random.one_in(4)).then_some(TenantIndex(self.random.below(2) as usize)),
            prefix: (!self.random.one_in(5)).then_some(self.random.below(9)),
            session: (!self.random.one_in(5)).then_some(self.random.below(60)),
            prompt_tokens: prompt,
            prefix_tokens: prompt / 2,
            max_output_tokens: 100,
            is_retry: self.random.one_in(6),
        };
        self.handle(Event::Request(request));
    }

    /// Reports first tokens and outcomes that are due.
    fn finish_attempts(&mut self) {
        while let Some(index) = self.open_attempts.iter().position(|open| open.first_token_at <= self.now) {
            let open = &mut self.open_attempts[index];
            let (id, attempt) = (open.id, open.attempt);
            if open.ends_at > self.now && open.verdict == Verdict::Ok {
                open.first_token_at = Nanos::MAX;
                self.handle(Event::FirstToken { id, attempt, elapsed: MILLI });
                continue;
            }
            self.end_attempt(index);
        }
        while let Some(index) = self.open_attempts.iter().position(|open| open.ends_at <= self.now) {
            self.end_attempt(index);
        }
    }

    fn end_attempt(&mut self, index: usize) {
        let OpenAttempt { id, attempt, verdict, .. } = self.open_attempts.swap_remove(index);
        let cached_tokens = (!self.random.one_in(4)).then_some(self.random.below(4_000) as u32);
        let (ended, elapsed, report) = (verdict == Verdict::Ok, MILLI, Vec::new());
        self.handle(Event::Outcome { id, attempt, verdict, ended, elapsed, cached_tokens, report });
    }

    fn run_timers(&mut self) {
        while let Some(index) = self.timers.iter().position(|timer| timer.due <= self.now) {
            let token = self.timers.remove(index).token;
            self.handle(Event::Timer(token));
        }
    }

    fn step(&mut self, number: u64) {
        self.now += self.random.below(40) * MILLI;
        self.run_timers();
        self.finish_attempts();
        match self.random.below(60) {
            0 => self.send_list(ListKind::Complete),
            1..6 => self.send_list(ListKind::Changes),
            6 => self.send_list(ListKind::Local),
            7 => self.handle(Event::ListServiceBusy(SECOND)),
            8..12 => self.report_loads(),
            12 => {
                let id = RequestId(self.random.below(number));
                self.handle(Event::ClientDisconnected(id));
            }
            _ => {}
        }
        self.send_request(number);
    }
}

fn digest_of(settings: Settings, seed: u64) -> u64 {
    let mut simulation = Simulation::new(settings, seed);
    simulation.send_list(ListKind::Persisted);
    for number in 1..=STEPS {
        simulation.step(number);
        if number == STEPS / 2 {
            let group_size = 2 + simulation.random.below(20) as u32;
            simulation.balancer.set_group_size(group_size);
        }
    }
    simulation.digest.0
}

#[rstest]
#[case::alone(settings(1), 1, 0x65E7_0811_6A6A_06DE)]
#[case::small_group(settings(4), 2, 0x8C66_F36B_D343_1D3D)]
#[case::large_group(settings(120), 3, 0xCC23_D895_2D14_2156)]
#[case::prefix_transfer(Settings { has_prefix_transfer: true, has_pushed_list: true, ..settings(12) }, 4, 0x6C8D_FE74_574C_5085)]
#[case::live_units(Settings { units_meaning: UnitsMeaning::Live, ..settings(6) }, 5, 0xFDD0_F978_59BF_B38A)]
#[case::no_quotas(Settings { tenants: Vec::new(), units_meaning: UnitsMeaning::None, ..settings(3) }, 6, 0x23CB_9336_3438_4D21)]
#[case::hedging(Settings { limits: Limits { hedging: true, ..settings(4).limits }, ..settings(4) }, 7, 0xD7AB_4268_BC5F_0838)]
fn decisions_match_the_recorded_digests(
    #[case] settings: Settings,
    #[case] seed: u64,
    #[case] expected: u64,
) {
    assert_eq!(digest_of(settings, seed), expected);
}
