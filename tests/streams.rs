//! Streams that are passed on, without I/O: a model of one stream's life against random steps, the budget of all
//! of them, the record, and the standing of replicas. Fixed seeds.

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
const READ: usize = 16 << 10;

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
enum Move {
    /// So many bytes come, if the stream is read, as whole events or amid one.
    Come(u16, bool),
    /// The client takes so many of those that wait.
    Take(u16),
    /// Time passes.
    Wait(u16),
    /// The budget leaves so much.
    Allow(u16),
    End(End),
    Leave,
    Cancel,
    Evict,
    Stop(u16),
}

impl Arbitrary for Move {
    fn arbitrary(g: &mut Gen) -> Move {
        let n = u16::arbitrary(g);
        match u8::arbitrary(g) % 32 {
            0..=9 => Move::Come(n % READ as u16 + 1, bool::arbitrary(g)),
            10..=18 => Move::Take(n),
            19..=26 => Move::Wait(n % 3000),
            27 => Move::Allow(n),
            28 => Move::End(
                *g.choose(&[End::Complete, End::Disconnected, End::Malformed, End::Failed]).expect("some"),
            ),
            29 => *g.choose(&[Move::Leave, Move::Cancel]).expect("some"),
            30 => Move::Evict,
            _ => Move::Stop(n),
        }
    }
}

/// What is known from outside of a stream.
#[derive(Default)]
struct Model {
    now: Nanos,
    waiting: usize,
    inward: usize,
    came: u64,
    /// Silence while it was read, counted step by step.
    silent: Nanos,
    /// Time and takings since bytes began to wait, or since the last span.
    span: Option<(Nanos, usize)>,
    amid: bool,
    replica_end: Option<(End, Nanos)>,
    stop_at: Option<Nanos>,
    offer_at: Option<Nanos>,
    allowed: usize,
}

impl Model {
    /// Does one step with the relay, and with the model of it.
    fn apply(&mut self, relay: &mut Relay, step: Move, limits: &StreamLimits) {
        let before = relay.wants_read();
        match step {
            Move::Come(bytes, whole) if before => {
                let bytes = usize::from(bytes);
                // All that lies at the server's side becomes whole with the next whole event.
                let queued = if whole { self.inward + bytes } else { 0 };
                self.inward = if whole { 0 } else { self.inward + bytes };
                relay.record_queued(self.now, queued);
                let arrival = Arrival {
                    bytes,
                    events: u64::from(whole),
                    replica_buffered: self.inward,
                    is_partial: !whole,
                    is_last: false,
                };
                relay.record_arrival(self.now, &arrival);
                if queued > 0 && self.waiting == 0 {
                    self.span = Some((self.now, 0));
                }
                self.waiting += queued;
                (self.came, self.amid, self.silent) = (self.came + bytes as u64, !whole, 0);
            }
            Move::Take(bytes) if self.waiting > 0 => {
                let bytes = usize::from(bytes).clamp(1, self.waiting);
                relay.record_taken(self.now, bytes);
                self.waiting -= bytes;
                self.span = match self.span {
                    Some((from, taken)) if self.waiting > 0 => Some((from, taken + bytes)),
                    _ => None,
                };
            }
            Move::Wait(ms) => {
                self.now += Nanos::from(ms) * MS;
                if before {
                    self.silent += Nanos::from(ms) * MS;
                }
            }
            Move::Allow(bytes) => {
                self.allowed = usize::from(bytes);
                relay.set_allowance(self.now, self.allowed);
            }
            Move::End(end) if self.replica_end.is_none() => {
                relay.replica_ended(self.now, end);
                self.replica_end = Some((end, self.now));
                self.inward = 0;
            }
            Move::Stop(ms) => {
                let at = self.now + Nanos::from(ms) * MS;
                relay.set_shutdown_deadline(at);
                if self.stop_at.is_none_or(|was| at < was) {
                    self.stop_at = Some(at);
                    self.offer_at = Some(at.saturating_sub(nanos(limits.handover_lead_time)));
                }
            }
            Move::Leave => relay.client_left(self.now, Disconnect::Closed),
            Move::Cancel => relay.cancel(self.now),
            Move::Evict => relay.evict(self.now),
            _ => {}
        }
    }

    fn is_over(&self, at: Option<Nanos>) -> bool {
        at.is_some_and(|at| self.now >= at)
    }

    /// Why the stream ends with this step, if it does.
    fn expected_cause(&self, step: Move, limits: &StreamLimits) -> Option<Cause> {
        let late_reader = self.span.is_some_and(|(from, taken)| {
            self.now >= from + nanos(limits.reader_interval) && taken < limits.reader_min_bytes
        });
        let stalled = self.replica_end.is_none()
            && self.silent
                >= nanos(if self.amid { limits.partial_event_timeout } else { limits.idle_timeout });
        match step {
            Move::Leave => Some(Cause::ClientLeft),
            Move::Cancel => Some(Cause::Cancelled),
            Move::Evict if self.waiting > 0 => Some(Cause::Budget),
            _ => match self.replica_end {
                Some((end, _)) if self.waiting == 0 => Some(end.cause()),
                Some((end, at))
                    if end != End::Complete && self.is_over(Some(at + nanos(limits.linger))) =>
                {
                    Some(end.cause())
                }
                _ if stalled => Some(Cause::Stalled),
                _ if late_reader => Some(Cause::ReaderSlow),
                _ if self.is_over(self.stop_at) => Some(Cause::Shutdown),
                _ => None,
            },
        }
    }

    /// What holds of a stream that goes on.
    fn check_open(&self, relay: &Relay, limits: &StreamLimits) {
        assert_eq!(relay.buffered_bytes(), self.waiting + self.inward);
        assert!(
            self.waiting == 0
                || !relay.wants_read()
                || relay.buffered_bytes() < limits.high_watermark.min(self.allowed),
            "read while {} bytes are held of {}",
            relay.buffered_bytes(),
            self.allowed
        );
        // Somebody is waited for, or nothing would ever happen again.
        assert!(relay.due().is_some_and(|due| due > self.now));
        assert!(relay.wants_read() || self.waiting > 0);
    }
}

/// A stream that was handed over is done with here.
fn check_handed_over(relay: &mut Relay, now: Nanos) {
    relay.handed_over(now);
    assert_eq!(relay.outcome().map(|o| o.cause), Some(Cause::HandedOver));
    assert_eq!(relay.poll(now + MS), RelayAction::Abort, "nothing more is done for it here");
}

/// Whatever comes after the end changes nothing of it.
fn check_ended(relay: &mut Relay, outcome: Outcome, model: &Model) {
    assert_eq!(outcome.bytes, model.came);
    assert_eq!(relay.phase(), Phase::Ended);
    assert!(!relay.wants_read() && relay.due().is_none());
    // Whatever comes after the end changes nothing of it.
    relay.record_arrival(model.now, &complete_events(7, 1));
    relay.record_queued(model.now, 9);
    relay.replica_ended(model.now, End::Disconnected);
    relay.client_left(model.now + MS, Disconnect::Reset);
    relay.cancel(model.now + MS);
    assert_eq!(relay.outcome(), Some(outcome));
}

fn follows_its_model(moves: Vec<Move>) -> bool {
    let limits = limits();
    let mut model = Model { now: 1_000 * MS, allowed: usize::MAX, ..Model::default() };
    let mut relay = Relay::new(model.now, 5 * MS, &limits);
    for step in moves {
        model.apply(&mut relay, step, &limits);
        let action = relay.poll(model.now);
        let expected = model.expected_cause(step, &limits);
        let is = relay.outcome().map(|o| o.cause);
        assert_eq!(is, expected, "after {step:?}");
        // It is offered for as long as its replica has more to say, and again a little later.
        let offered = is.is_none() && model.replica_end.is_none() && model.is_over(model.offer_at);
        assert_eq!(action == RelayAction::OfferHandover, offered);
        assert_eq!(action == RelayAction::Wait, is.is_none() && !offered);
        assert_eq!(action == RelayAction::Finish, is == Some(Cause::Complete));
        if offered && model.came.is_multiple_of(3) {
            check_handed_over(&mut relay, model.now);
            return true;
        }
        if offered {
            relay.handover_refused(model.now);
            model.offer_at = Some(model.now + nanos(limits.handover_retry_interval));
            assert_eq!(relay.poll(model.now), RelayAction::Wait);
        }
        if let Some(outcome) = relay.outcome() {
            check_ended(&mut relay, outcome, &model);
            return true;
        }
        // A span that ended well begins anew.
        if model.span.is_some_and(|(from, _)| model.now >= from + nanos(limits.reader_interval)) {
            model.span = Some((model.now, 0));
        }
        model.check_open(&relay, &limits);
    }
    true
}

#[test]
fn a_stream_has_one_outcome_holds_no_more_than_its_window_and_times_only_whom_it_waits_for() {
    check(31).quickcheck(follows_its_model as fn(Vec<Move>) -> bool);
}

#[test]
fn the_servers_stall_is_not_timed_while_the_reader_is_waited_for() {
    let limits = limits();
    let mut relay = Relay::new(0, 0, &limits);
    relay.record_arrival(0, &complete_events(limits.high_watermark, 9));
    relay.record_queued(0, limits.high_watermark);
    assert!(!relay.wants_read());
    assert_eq!(relay.phase(), Phase::ReaderPaused);
    // Four seconds without a read are no fault of the server's, and not too much of the reader's.
    relay.record_taken(7_900 * MS, limits.high_watermark);
    assert!(relay.wants_read());
    assert_eq!(relay.poll(7_900 * MS), RelayAction::Wait);
    assert_eq!(relay.poll(7_900 * MS + nanos(limits.idle_timeout) - 1), RelayAction::Wait);
    assert_eq!(relay.poll(7_900 * MS + nanos(limits.idle_timeout)), RelayAction::Abort);
    let outcome = relay.outcome().expect("over");
    assert_eq!((outcome.cause, outcome.longest_pause), (Cause::Stalled, 7_900 * MS));
    assert_eq!(outcome.longest_gap, nanos(limits.idle_timeout));
}

#[test]
fn a_trickler_is_cut_and_a_reader_that_pauses_is_not() {
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
    // A few bytes every 2 s: over at the end of its first span.
    assert_eq!(step(2_000 * MS, 16), (Some(Cause::ReaderSlow), 8_000));
    // As slow as a weak line may be, 4 KiB in 8 s: served to the end.
    assert_eq!(step(1_000 * MS, 600).0, Some(Cause::Complete));
    // Four seconds of nothing between lumps.
    assert_eq!(step(4_000 * MS, 9 << 10).0, Some(Cause::Complete));
}

#[test]
fn each_stall_has_its_limit_and_a_pace_that_is_known_a_shorter_one() {
    let mut limits = limits();
    let stall = |limits: &StreamLimits, amid: bool, last: bool, gap: Nanos| {
        let mut relay = Relay::new(0, 0, limits);
        relay.record_arrival(gap, &complete_events(10, 1));
        relay.record_arrival(
            gap,
            &Arrival {
                replica_buffered: usize::from(amid),
                is_partial: amid,
                is_last: last,
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
fn blame_goes_to_whose_doing_it_was() {
    for cause in Cause::ALL {
        let counts = matches!(cause.verdict(), Verdict::Reset | Verdict::Error);
        assert_eq!(counts, cause.side() == Side::Replica, "{cause:?}");
        assert_eq!(cause.verdict() == Verdict::Ok, cause == Cause::Complete);
    }
}

#[test]
fn the_budget_leaves_everybody_something_and_cuts_the_longest_paused_first() {
    fn holds(steps: Vec<(u8, u16, bool)>) -> bool {
        let (whole, window, floor) = (100_000, 32_768, 4_096);
        let mut budget = Budget::new(whole, window, floor);
        let accounts: Vec<_> = (0..16).map(|_| budget.open(false)).collect();
        let mut held: BTreeMap<usize, (usize, Option<Nanos>)> = BTreeMap::new();
        for (now, (n, bytes, paused)) in steps.into_iter().enumerate() {
            // Now and then another process comes or goes.
            let limit = if now / 5 % 2 == 0 { whole } else { whole / 2 };
            budget.set_limit(limit);
            let n = usize::from(n) % accounts.len();
            let since = paused.then_some(now as Nanos);
            held.insert(n, (usize::from(bytes), since));
            let left = budget.update(accounts[n], usize::from(bytes), since);
            let used: usize = held.values().map(|(h, _)| h).sum();
            assert_eq!(budget.used(), used);
            assert!(left >= floor && left <= window);
            assert!(left <= floor.max(limit.saturating_sub(used)));
            while let Some(account) = budget.evict() {
                let gone = accounts.iter().position(|a| *a == account).expect("one of them");
                let since = held[&gone].1.expect("a paused one");
                let longest = held.values().filter_map(|(_, s)| *s).min();
                assert_eq!(Some(since), longest, "another was paused for longer");
                held.remove(&gone);
                // It ends, and another takes its place.
                budget.update(account, 0, None);
            }
            let used: usize = held.values().map(|(h, _)| h).sum();
            assert!(used <= limit || held.values().all(|(_, s)| s.is_none()));
        }
        accounts.iter().for_each(|a| budget.close(*a));
        (budget.used(), budget.stream_count()) == (0, 0)
    }
    check(32).quickcheck(holds as fn(Vec<(u8, u16, bool)>) -> bool);
}

#[test]
fn answers_that_are_put_together_keep_to_half_of_a_short_budget_and_the_last_begun_goes_first() {
    // Each step: who, and what it holds from then on.
    fn holds(steps: Vec<(u8, u16)>) -> bool {
        let limit = 100_000;
        let mut budget = Budget::new(limit, 32_768, 4_096);
        // Every other one gathers; a stream that holds something is paused.
        let accounts: Vec<_> = (0..16).map(|n| budget.open(n % 2 == 0)).collect();
        let mut held = [0usize; 16];
        let gathering = |held: &[usize; 16]| held.iter().step_by(2).sum::<usize>();
        for (now, (n, bytes)) in steps.into_iter().enumerate() {
            let n = usize::from(n) % 16;
            held[n] = usize::from(bytes);
            budget.update(accounts[n], held[n], (n % 2 == 1 && held[n] > 0).then_some(now as Nanos));
            while let Some(account) = budget.evict() {
                let gone = accounts.iter().position(|a| *a == account).expect("one of them");
                assert!(held.iter().sum::<usize>() > limit, "memory was not short");
                if gathering(&held) > limit / 2 {
                    let last = (0..16).rev().find(|n| n % 2 == 0 && held[*n] > 0);
                    assert_eq!(Some(gone), last, "another began later");
                } else {
                    assert_eq!(gone % 2, 1, "those that gather held no more than their half");
                }
                held[gone] = 0;
                budget.update(account, 0, None);
            }
            assert!(held.iter().sum::<usize>() <= limit);
        }
        true
    }
    check(33).quickcheck(holds as fn(Vec<(u8, u16)>) -> bool);
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
fn the_record_keeps_classes_and_causes_apart() {
    let mut statistics = StreamStatistics::default();
    for n in 1..=100 {
        statistics.record(0, &outcome(Cause::Complete, n * 1_000));
    }
    statistics.record(1, &outcome(Cause::Stalled, 5_000_000_000));
    let figures = statistics.summaries();
    assert_eq!(figures.len(), 2);
    let (whole, stalled) = (&figures[0], &figures[1]);
    assert_eq!((whole.class, whole.cause, whole.count), (0, Cause::Complete, 100));
    assert_eq!((whole.bytes, whole.events), (1_000, 200));
    let near = |is: u64, due: u64| is.abs_diff(due) * 50 <= due;
    assert!(
        near(whole.time_to_first_event[0], 50_000)
            && near(whole.time_to_first_event[1], 99_000)
            && near(whole.duration[2], 200_000)
    );
    // What is beyond the longest time counts as the longest.
    assert_eq!((stalled.class, stalled.count), (1, 1));
    assert!(near(stalled.time_to_first_event[2], 600_000_000));
}

fn id(n: usize) -> ReplicaId {
    ReplicaId::from(format!("s-{n}").as_str())
}

#[test]
fn a_server_that_spoils_streams_is_ejected_and_a_fault_of_all_ejects_nobody() {
    let limits = OutlierLimits::default();
    let fleet: Vec<ReplicaId> = (0..10).map(id).collect();
    let mut outliers = OutlierEjection::new(&limits);
    outliers.set_ready(&fleet);
    let mut now = 0;
    // All but one serve well; that one breaks every second stream.
    let mut rested = None;
    for round in 0..12 {
        for (n, server) in fleet.iter().enumerate() {
            now += 10 * MS;
            let bad = n == 3 && round % 2 == 0;
            let change =
                outliers.record_end(now, server, if bad { Cause::Disconnected } else { Cause::Complete });
            assert!(change.is_none() || n == 3);
            rested = rested.or(change);
        }
    }
    assert_eq!(rested, Some(EjectionChange::Eject(id(3))));
    assert!(outliers.is_ejected(&id(3)));
    let due = outliers.due().expect("an end");
    assert!(outliers.readmit(due - 1).is_empty());
    assert_eq!(outliers.readmit(due), [EjectionChange::Readmit(id(3))]);
    // Soon again: its next rest is twice as long.
    for _ in 0..3 {
        outliers.record_end(due + MS, &id(3), Cause::Stalled);
    }
    assert_eq!(outliers.due(), Some(due + MS + 2 * nanos(limits.ejection_time)));
    // Leavers and slow readers are nobody's fault here.
    let mut outliers = OutlierEjection::new(&limits);
    outliers.set_ready(&fleet);
    for n in 0..50 {
        assert_eq!(outliers.record_end(now + n, &id(1), Cause::ClientLeft), None);
        assert_eq!(outliers.record_end(now + n, &id(1), Cause::ReaderSlow), None);
    }
    // All break alike.
    for round in 0..20 {
        for server in &fleet {
            let cause = if round % 2 == 0 { Cause::Complete } else { Cause::Stalled };
            assert_eq!(outliers.record_end(now + round, server, cause), None);
        }
    }
}

#[test]
fn no_more_than_a_part_of_the_fleet_rests_and_what_left_is_forgotten() {
    fn bounded(ends: Vec<(u8, bool, u8)>) -> bool {
        let limits = OutlierLimits { ratio_to_others: 1.0, ..OutlierLimits::default() };
        let fleet: Vec<ReplicaId> = (0..10).map(id).collect();
        let mut outliers = OutlierEjection::new(&limits);
        outliers.set_ready(&fleet);
        let mut now = 0;
        for (n, bad, wait) in ends.into_iter().cycle().take(400) {
            now += Nanos::from(wait) * MS;
            outliers.readmit(now);
            outliers.record_end(
                now,
                &id(usize::from(n) % 10),
                if bad { Cause::Disconnected } else { Cause::Complete },
            );
            assert!(fleet.iter().filter(|s| outliers.is_ejected(s)).count() <= 2);
        }
        outliers.set_ready(&[]);
        outliers.due().is_none()
    }
    check(33).quickcheck(bounded as fn(Vec<(u8, bool, u8)>) -> bool);
}
