//! Relaying of streams without I/O, with fixed seeds: a model of one relay under random steps, the shared buffer
//! budget, statistics, and outlier ejection of replicas.

use std::collections::BTreeMap;
use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck};

use tulipridge::limits::{Limits, OutlierLimits, PaceLimit, StreamLimits};
use tulipridge::stream::{
    Arrival, Budget, Cause, Disconnect, EjectionChange, End, Outcome, OutlierEjection, Phase, Relay,
    RelayAction, Side, StreamStatistics,
};
use tulipridge::types::{Nanos, ReplicaId, Verdict};

const MS: Nanos = 1_000_000;
const READ_BYTES: usize = 16 << 10;

fn check(seed: u64) -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(60, seed)).tests(600)
}

fn limits() -> StreamLimits {
    Limits::new(1024, 192, Duration::from_millis(150), Duration::from_secs(5)).stream
}

/// Bytes that are complete events, with nothing buffered behind them.
fn complete_events(bytes: usize, events: u64) -> Arrival {
    Arrival { bytes, events, ..Arrival::default() }
}

fn nanos(span: Duration) -> Nanos {
    span.as_nanos() as Nanos
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// This many bytes arrive, if the relay reads, as complete events or as part of one.
    Arrive(u16, bool),
    /// The client takes this many of the queued bytes.
    Take(u16),
    /// This many milliseconds elapse.
    Wait(u16),
    /// The budget allows this many bytes.
    Allow(u16),
    End(End),
    Leave,
    Cancel,
    Evict,
    /// The process will shut down in this many milliseconds.
    Stop(u16),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let n = u16::arbitrary(g);
        match u8::arbitrary(g) % 32 {
            0..=9 => Step::Arrive(n % READ_BYTES as u16 + 1, bool::arbitrary(g)),
            10..=18 => Step::Take(n),
            19..=26 => Step::Wait(n % 3000),
            27 => Step::Allow(n),
            28 => Step::End(
                *g.choose(&[End::Complete, End::Disconnected, End::Malformed, End::Failed]).expect("some"),
            ),
            29 => *g.choose(&[Step::Leave, Step::Cancel]).expect("some"),
            30 => Step::Evict,
            _ => Step::Stop(n),
        }
    }
}

/// Expected state of a relay, by what can be observed from outside.
#[derive(Default)]
struct Model {
    now: Nanos,
    client_queued: usize,
    replica_buffered: usize,
    received: u64,
    /// Time without an arrival while the relay was reading.
    idle_time: Nanos,
    /// Start of the current reader interval, and the bytes that the client took in it. An interval starts when bytes
    /// are first queued, or at the end of the previous one.
    reader_interval: Option<(Nanos, usize)>,
    is_partial: bool,
    replica_end: Option<(End, Nanos)>,
    shutdown_at: Option<Nanos>,
    handover_at: Option<Nanos>,
    allowance: usize,
}

impl Model {
    /// Applies one step to the relay and to this model.
    fn apply(&mut self, relay: &mut Relay, step: Step, limits: &StreamLimits) {
        let was_reading = relay.wants_read();
        match step {
            Step::Arrive(bytes, is_complete) if was_reading => {
                let bytes = usize::from(bytes);
                // The next complete event also completes the bytes buffered from the replica.
                let queued = if is_complete { self.replica_buffered + bytes } else { 0 };
                self.replica_buffered = if is_complete { 0 } else { self.replica_buffered + bytes };
                relay.record_queued(self.now, queued);
                let arrival = Arrival {
                    bytes,
                    events: u64::from(is_complete),
                    replica_buffered: self.replica_buffered,
                    is_partial: !is_complete,
                    is_last: false,
                };
                relay.record_arrival(self.now, &arrival);
                if queued > 0 && self.client_queued == 0 {
                    self.reader_interval = Some((self.now, 0));
                }
                self.client_queued += queued;
                (self.received, self.is_partial, self.idle_time) =
                    (self.received + bytes as u64, !is_complete, 0);
            }
            Step::Take(bytes) if self.client_queued > 0 => {
                let bytes = usize::from(bytes).clamp(1, self.client_queued);
                relay.record_taken(self.now, bytes);
                self.client_queued -= bytes;
                self.reader_interval = match self.reader_interval {
                    Some((from, taken)) if self.client_queued > 0 => Some((from, taken + bytes)),
                    _ => None,
                };
            }
            Step::Wait(ms) => {
                self.now += Nanos::from(ms) * MS;
                if was_reading {
                    self.idle_time += Nanos::from(ms) * MS;
                }
            }
            Step::Allow(bytes) => {
                self.allowance = usize::from(bytes);
                relay.set_allowance(self.now, self.allowance);
            }
            Step::End(end) if self.replica_end.is_none() => {
                relay.replica_ended(self.now, end);
                self.replica_end = Some((end, self.now));
                self.replica_buffered = 0;
            }
            Step::Stop(ms) => {
                let at = self.now + Nanos::from(ms) * MS;
                relay.set_shutdown_deadline(at);
                if self.shutdown_at.is_none_or(|was| at < was) {
                    self.shutdown_at = Some(at);
                    self.handover_at = Some(at.saturating_sub(nanos(limits.handover_lead_time)));
                }
            }
            Step::Leave => relay.client_left(self.now, Disconnect::Closed),
            Step::Cancel => relay.cancel(self.now),
            Step::Evict => relay.evict(self.now),
            _ => {}
        }
    }

    fn is_past(&self, time: Option<Nanos>) -> bool {
        time.is_some_and(|time| self.now >= time)
    }

    /// Cause of the stream's end with this step; `None` if the stream continues.
    fn expected_cause(&self, step: Step, limits: &StreamLimits) -> Option<Cause> {
        let is_reader_slow = self.reader_interval.is_some_and(|(from, taken)| {
            self.now >= from + nanos(limits.reader_interval) && taken < limits.reader_min_bytes
        });
        let is_stalled = self.replica_end.is_none()
            && self.idle_time
                >= nanos(if self.is_partial { limits.partial_event_timeout } else { limits.idle_timeout });
        match step {
            Step::Leave => Some(Cause::ClientLeft),
            Step::Cancel => Some(Cause::Cancelled),
            Step::Evict if self.client_queued > 0 => Some(Cause::Budget),
            _ => match self.replica_end {
                Some((end, _)) if self.client_queued == 0 => Some(end.cause()),
                Some((end, at))
                    if end != End::Complete && self.is_past(Some(at + nanos(limits.linger))) =>
                {
                    Some(end.cause())
                }
                _ if is_stalled => Some(Cause::Stalled),
                _ if is_reader_slow => Some(Cause::ReaderSlow),
                _ if self.is_past(self.shutdown_at) => Some(Cause::Shutdown),
                _ => None,
            },
        }
    }

    /// Checks the invariants of a stream that has not ended.
    fn check_open(&self, relay: &Relay, limits: &StreamLimits) {
        assert_eq!(relay.buffered_bytes(), self.client_queued + self.replica_buffered);
        assert!(
            self.client_queued == 0
                || !relay.wants_read()
                || relay.buffered_bytes() < limits.high_watermark.min(self.allowance),
            "relay reads with {} of {} bytes buffered",
            relay.buffered_bytes(),
            self.allowance
        );
        // The relay waits for a peer with a deadline; otherwise it would never continue.
        assert!(relay.due().is_some_and(|due| due > self.now));
        assert!(relay.wants_read() || self.client_queued > 0);
    }
}

/// Checks that the relay of a stream that was handed over has ended.
fn check_handed_over(relay: &mut Relay, now: Nanos) {
    relay.handed_over(now);
    assert_eq!(relay.outcome().map(|o| o.cause), Some(Cause::HandedOver));
    assert_eq!(relay.poll(now + MS), RelayAction::Abort, "the relay has ended");
}

/// Checks that input after the end does not change the outcome.
fn check_ended(relay: &mut Relay, outcome: Outcome, model: &Model) {
    assert_eq!(outcome.bytes, model.received);
    assert_eq!(relay.phase(), Phase::Ended);
    assert!(!relay.wants_read() && relay.due().is_none());
    relay.record_arrival(model.now, &complete_events(7, 1));
    relay.record_queued(model.now, 9);
    relay.replica_ended(model.now, End::Disconnected);
    relay.client_left(model.now + MS, Disconnect::Reset);
    relay.cancel(model.now + MS);
    assert_eq!(relay.outcome(), Some(outcome));
}

fn matches_model(steps: Vec<Step>) -> bool {
    let limits = limits();
    let mut model = Model { now: 1_000 * MS, allowance: usize::MAX, ..Model::default() };
    let mut relay = Relay::new(model.now, 5 * MS, &limits);
    for step in steps {
        model.apply(&mut relay, step, &limits);
        let action = relay.poll(model.now);
        let expected = model.expected_cause(step, &limits);
        let cause = relay.outcome().map(|o| o.cause);
        assert_eq!(cause, expected, "after {step:?}");
        // Handover is offered until the replica has ended, and after a refusal again at the retry interval.
        let is_offered = cause.is_none() && model.replica_end.is_none() && model.is_past(model.handover_at);
        assert_eq!(action == RelayAction::OfferHandover, is_offered);
        assert_eq!(action == RelayAction::Wait, cause.is_none() && !is_offered);
        assert_eq!(action == RelayAction::Finish, cause == Some(Cause::Complete));
        if is_offered && model.received.is_multiple_of(3) {
            check_handed_over(&mut relay, model.now);
            return true;
        }
        if is_offered {
            relay.handover_refused(model.now);
            model.handover_at = Some(model.now + nanos(limits.handover_retry_interval));
            assert_eq!(relay.poll(model.now), RelayAction::Wait);
        }
        if let Some(outcome) = relay.outcome() {
            check_ended(&mut relay, outcome, &model);
            return true;
        }
        // A reader interval with enough bytes is followed by the next one.
        if model.reader_interval.is_some_and(|(from, _)| model.now >= from + nanos(limits.reader_interval))
        {
            model.reader_interval = Some((model.now, 0));
        }
        model.check_open(&relay, &limits);
    }
    true
}

#[test]
fn a_relay_matches_its_model_under_random_steps() {
    check(31).quickcheck(matches_model as fn(Vec<Step>) -> bool);
}

#[test]
fn a_stall_is_not_timed_while_the_reader_is_paused() {
    let limits = limits();
    let mut relay = Relay::new(0, 0, &limits);
    relay.record_arrival(0, &complete_events(limits.high_watermark, 9));
    relay.record_queued(0, limits.high_watermark);
    assert!(!relay.wants_read());
    assert_eq!(relay.phase(), Phase::ReaderPaused);
    // More than four seconds without a read, here 7.9 s, are not a stall of the replica, and are within the reader's
    // limit.
    relay.record_taken(7_900 * MS, limits.high_watermark);
    assert!(relay.wants_read());
    assert_eq!(relay.poll(7_900 * MS), RelayAction::Wait);
    assert_eq!(relay.poll(7_900 * MS + nanos(limits.idle_timeout) - 1), RelayAction::Wait);
    assert_eq!(relay.poll(7_900 * MS + nanos(limits.idle_timeout)), RelayAction::Abort);
    let outcome = relay.outcome().expect("an ended stream");
    assert_eq!((outcome.cause, outcome.longest_pause), (Cause::Stalled, 7_900 * MS));
    assert_eq!(outcome.longest_gap, nanos(limits.idle_timeout));
}

#[test]
fn a_trickling_reader_is_cut_off_and_a_pausing_one_is_not() {
    let limits = limits();
    let step = |every: Nanos, bytes: usize| {
        let mut relay = Relay::new(0, 0, &limits);
        relay.record_arrival(0, &complete_events(limits.high_watermark, 1));
        relay.record_queued(0, limits.high_watermark);
        relay.replica_ended(0, End::Complete);
        let mut now = 0;
        while now < 60_000 * MS && relay.client_queued() > 0 && relay.poll(now) == RelayAction::Wait {
            now += every;
            relay.record_taken(now, bytes);
            relay.poll(now);
        }
        (relay.outcome().map(|o| o.cause), now / MS)
    };
    // A few bytes every 2 s: cut off at the end of the first reader interval.
    assert_eq!(step(2_000 * MS, 16), (Some(Cause::ReaderSlow), 8_000));
    // Minimum rate of a slow connection, 4 KiB in 8 s: served to the end.
    assert_eq!(step(1_000 * MS, 600).0, Some(Cause::Complete));
    // Pauses of 4 s between large reads.
    assert_eq!(step(4_000 * MS, 9 << 10).0, Some(Cause::Complete));
}

#[test]
fn stall_timeouts_depend_on_partial_events_and_known_pace() {
    let mut limits = limits();
    let stall = |limits: &StreamLimits, is_partial: bool, is_last: bool, gap: Nanos| {
        let mut relay = Relay::new(0, 0, limits);
        relay.record_arrival(gap, &complete_events(10, 1));
        relay.record_arrival(
            gap,
            &Arrival {
                replica_buffered: usize::from(is_partial),
                is_partial,
                is_last,
                ..complete_events(10, 1)
            },
        );
        let due = relay.due().expect("a limit");
        assert_eq!(relay.poll(due - 1), RelayAction::Wait);
        assert_eq!(relay.poll(due), RelayAction::Abort);
        assert_eq!(relay.outcome().map(|o| o.cause), Some(Cause::Stalled));
        (due - gap) / MS
    };
    assert_eq!(stall(&limits, false, false, 600 * MS), 4_000);
    assert_eq!(stall(&limits, true, false, 600 * MS), 1_500);
    assert_eq!(stall(&limits, false, true, 600 * MS), 1_500);
    limits.pace = Some(PaceLimit { factor: 3.0, min_timeout: Duration::from_millis(900) });
    assert_eq!(stall(&limits, false, false, 10 * MS), 900);
    assert_eq!(stall(&limits, false, false, 600 * MS), 1_800);
    assert_eq!(stall(&limits, false, false, 3_000 * MS), 4_000);
}

#[test]
fn only_causes_at_the_replica_count_as_its_failures() {
    for cause in Cause::ALL {
        let counts = matches!(cause.verdict(), Verdict::Reset | Verdict::Error);
        assert_eq!(counts, cause.side() == Side::Replica, "{cause:?}");
        assert_eq!(cause.verdict() == Verdict::Ok, cause == Cause::Complete);
    }
}

#[test]
fn the_budget_evicts_the_longest_paused_stream_first() {
    fn stays_within(steps: Vec<(u8, u16, bool)>) -> bool {
        let (max_bytes, window, floor) = (100_000, 32_768, 4_096);
        let mut budget = Budget::new(max_bytes, window, floor);
        let accounts: Vec<_> = (0..16).map(|_| budget.open(false)).collect();
        let mut buffered: BTreeMap<usize, (usize, Option<Nanos>)> = BTreeMap::new();
        for (now, (n, bytes, paused)) in steps.into_iter().enumerate() {
            // The limit changes when another process starts or exits.
            let limit = if now / 5 % 2 == 0 { max_bytes } else { max_bytes / 2 };
            budget.set_limit(limit);
            let n = usize::from(n) % accounts.len();
            let since = paused.then_some(now as Nanos);
            buffered.insert(n, (usize::from(bytes), since));
            let allowance = budget.update(accounts[n], usize::from(bytes), since);
            let used: usize = buffered.values().map(|(h, _)| h).sum();
            assert_eq!(budget.used(), used);
            assert!(allowance >= floor && allowance <= window);
            assert!(allowance <= floor.max(limit.saturating_sub(used)));
            while let Some(account) = budget.evict() {
                let evicted = accounts.iter().position(|a| *a == account).expect("an open account");
                let since = buffered[&evicted].1.expect("a paused stream");
                let longest = buffered.values().filter_map(|(_, s)| *s).min();
                assert_eq!(Some(since), longest, "another stream was paused for longer");
                buffered.remove(&evicted);
                // The evicted stream ends, and another one uses its account.
                budget.update(account, 0, None);
            }
            let used: usize = buffered.values().map(|(h, _)| h).sum();
            assert!(used <= limit || buffered.values().all(|(_, s)| s.is_none()));
        }
        accounts.iter().for_each(|a| budget.close(*a));
        (budget.used(), budget.stream_count()) == (0, 0)
    }
    check(32).quickcheck(stays_within as fn(Vec<(u8, u16, bool)>) -> bool);
}

#[test]
fn assembly_above_half_the_budget_evicts_the_newest_first() {
    // Each step: a stream, and its buffered bytes from then on.
    fn stays_within(steps: Vec<(u8, u16)>) -> bool {
        let limit = 100_000;
        let mut budget = Budget::new(limit, 32_768, 4_096);
        // Every other stream assembles its response; the others are paused while they have buffered bytes.
        let accounts: Vec<_> = (0..16).map(|n| budget.open(n % 2 == 0)).collect();
        let mut buffered = [0usize; 16];
        let assembled_bytes = |buffered: &[usize; 16]| buffered.iter().step_by(2).sum::<usize>();
        for (now, (n, bytes)) in steps.into_iter().enumerate() {
            let n = usize::from(n) % 16;
            buffered[n] = usize::from(bytes);
            budget.update(
                accounts[n],
                buffered[n],
                (n % 2 == 1 && buffered[n] > 0).then_some(now as Nanos),
            );
            while let Some(account) = budget.evict() {
                let evicted = accounts.iter().position(|a| *a == account).expect("an open account");
                assert!(buffered.iter().sum::<usize>() > limit, "evicted below the limit");
                if assembled_bytes(&buffered) > limit / 2 {
                    let last = (0..16).rev().find(|n| n % 2 == 0 && buffered[*n] > 0);
                    assert_eq!(Some(evicted), last, "another stream started later");
                } else {
                    assert_eq!(evicted % 2, 1, "evicted an assembled response within its half");
                }
                buffered[evicted] = 0;
                budget.update(account, 0, None);
            }
            assert!(buffered.iter().sum::<usize>() <= limit);
        }
        true
    }
    check(33).quickcheck(stays_within as fn(Vec<(u8, u16)>) -> bool);
}

fn outcome(cause: Cause, micros: u64) -> Outcome {
    let t = micros * 1_000;
    Outcome {
        cause,
        bytes: 10,
        events: 2,
        time_to_first_event: t,
        longest_gap: t,
        longest_pause: 0,
        duration: t * 2,
        release_delay: t,
    }
}

#[test]
fn statistics_are_kept_per_class_and_cause() {
    let mut statistics = StreamStatistics::default();
    for n in 1..=100 {
        statistics.record(0, &outcome(Cause::Complete, n * 1_000));
    }
    statistics.record(1, &outcome(Cause::Stalled, 5_000_000_000));
    let summaries = statistics.summaries();
    assert_eq!(summaries.len(), 2);
    let (complete, stalled) = (&summaries[0], &summaries[1]);
    assert_eq!((complete.class, complete.cause, complete.count), (0, Cause::Complete, 100));
    assert_eq!((complete.bytes, complete.events), (1_000, 200));
    let near = |actual: u64, expected: u64| actual.abs_diff(expected) * 50 <= expected;
    assert!(
        near(complete.time_to_first_event[0], 50_000)
            && near(complete.time_to_first_event[1], 99_000)
            && near(complete.duration[2], 200_000)
    );
    // Longer times are recorded as the longest one.
    assert_eq!((stalled.class, stalled.count), (1, 1));
    assert!(near(stalled.time_to_first_event[2], 600_000_000));
}

fn id(n: usize) -> ReplicaId {
    ReplicaId::from(format!("s-{n}").as_str())
}

#[test]
fn a_faulty_replica_is_ejected_but_a_common_fault_ejects_none() {
    let limits = OutlierLimits::default();
    let fleet: Vec<ReplicaId> = (0..10).map(id).collect();
    let mut outliers = OutlierEjection::new(&limits);
    outliers.set_ready(&fleet);
    let mut now = 0;
    // One replica breaks every second stream; the others serve all.
    let mut ejected = None;
    for round in 0..12 {
        for (n, replica) in fleet.iter().enumerate() {
            now += 10 * MS;
            let is_broken = n == 3 && round % 2 == 0;
            let change = outliers.record_end(
                now,
                replica,
                if is_broken { Cause::Disconnected } else { Cause::Complete },
            );
            assert!(change.is_none() || n == 3);
            ejected = ejected.or(change);
        }
    }
    assert_eq!(ejected, Some(EjectionChange::Eject(id(3))));
    assert!(outliers.is_ejected(&id(3)));
    let due = outliers.due().expect("a time of readmission");
    assert!(outliers.readmit(due - 1).is_empty());
    assert_eq!(outliers.readmit(due), [EjectionChange::Readmit(id(3))]);
    // A repeated ejection soon after the first lasts twice as long.
    for _ in 0..3 {
        outliers.record_end(due + MS, &id(3), Cause::Stalled);
    }
    assert_eq!(outliers.due(), Some(due + MS + 2 * nanos(limits.ejection_time)));
    // Disconnected clients and slow readers do not count against a replica.
    let mut outliers = OutlierEjection::new(&limits);
    outliers.set_ready(&fleet);
    for n in 0..50 {
        assert_eq!(outliers.record_end(now + n, &id(1), Cause::ClientLeft), None);
        assert_eq!(outliers.record_end(now + n, &id(1), Cause::ReaderSlow), None);
    }
    // All replicas break streams at the same rate.
    for round in 0..20 {
        for replica in &fleet {
            let cause = if round % 2 == 0 { Cause::Complete } else { Cause::Stalled };
            assert_eq!(outliers.record_end(now + round, replica, cause), None);
        }
    }
}

#[test]
fn ejections_are_bounded_and_removed_replicas_are_forgotten() {
    fn is_bounded(ends: Vec<(u8, bool, u8)>) -> bool {
        let limits = OutlierLimits { ratio_to_others: 1.0, ..OutlierLimits::default() };
        let fleet: Vec<ReplicaId> = (0..10).map(id).collect();
        let mut outliers = OutlierEjection::new(&limits);
        outliers.set_ready(&fleet);
        let mut now = 0;
        for (n, is_broken, wait) in ends.into_iter().cycle().take(400) {
            now += Nanos::from(wait) * MS;
            outliers.readmit(now);
            outliers.record_end(
                now,
                &id(usize::from(n) % 10),
                if is_broken { Cause::Disconnected } else { Cause::Complete },
            );
            assert!(fleet.iter().filter(|s| outliers.is_ejected(s)).count() <= 2);
        }
        outliers.set_ready(&[]);
        outliers.due().is_none()
    }
    check(33).quickcheck(is_bounded as fn(Vec<(u8, bool, u8)>) -> bool);
}
