//! The lifecycle and the rule of places against random steps, beside models that are too plain to be wrong.

use std::collections::BTreeMap;
use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use tulipridge::admission::connection_slots::{ConnectionSlots, ConnectionState, SlotTimeouts};
use tulipridge::process::lifecycle::{Lifecycle, State};
use tulipridge::process::overlap::{ConnectionCounts, ConnectionReport, ProcessLimits};

const GRACE: u64 = 700;

fn check(seed: u64) -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(60, seed)).tests(3000)
}

#[derive(Clone, Copy, Debug)]
enum Order {
    Able,
    Drain,
    Undrain,
    Stop,
    Wait(u16),
}

impl Arbitrary for Order {
    fn arbitrary(g: &mut Gen) -> Order {
        let wait = Order::Wait(u16::arbitrary(g) % 900);
        *g.choose(&[Order::Able, Order::Drain, Order::Undrain, wait, wait, wait, Order::Stop])
            .expect("some")
    }
}

/// What was ordered, without any state between.
fn orders(shared: bool, orders: Vec<Order>) {
    let (mut life, mut now) = (Lifecycle::new(0, shared, GRACE), 0);
    // When it last began to do without clients; whether it can serve, was drained, has stopped.
    let (mut left, mut able, mut drained, mut stopped) = (None, false, false, None);
    for order in orders {
        let done = match order {
            Order::Able => {
                life.set_ready(now);
                able = true;
                Ok(())
            }
            Order::Drain => life.drain(now),
            Order::Undrain => life.undrain(now),
            Order::Stop => {
                life.stop(now);
                stopped = stopped.or(Some(now));
                Ok(())
            }
            Order::Wait(time) => {
                now += u64::from(time);
                Ok(())
            }
        };
        assert_eq!(done.is_err(), stopped.is_some() && matches!(order, Order::Drain | Order::Undrain));
        match order {
            Order::Drain if done.is_ok() => drained = true,
            Order::Undrain if done.is_ok() => drained = false,
            _ => {}
        }
        let goes = stopped.is_some() || able && drained;
        left = if goes { stopped.or(left).or(Some(now)) } else { None };
        let over = stopped.is_some_and(|at| now >= at + GRACE);
        assert_eq!(life.is_in_rotation(), able && !drained && stopped.is_none());
        assert_eq!(life.can_serve(), able && stopped.is_none());
        assert_eq!(life.keeps_connections(), !goes);
        let accepts = if shared { able && stopped.is_none() } else { !over };
        assert_eq!(life.admits_requests(now), shared || !over);
        assert_eq!(life.accepts(now), accepts, "{:?} after {order:?}", life.state());
        assert_eq!(life.idle_deadline(None), left.map(|at| at + GRACE));
        // One that connects now is heard for as long, even if the grace is over.
        assert_eq!(life.idle_deadline(Some(now)), left.map(|_| now + GRACE));
        assert_eq!((life.is_finished(now, 0), life.is_finished(now, 1)), (over, false));
        assert_eq!(life.next_change(now), stopped.filter(|_| !over).map(|at| at + GRACE));
        assert_eq!(life.state() == State::Stopping, stopped.is_some());
    }
}

#[test]
fn the_lifecycle_does_what_was_ordered_last() {
    check(41).quickcheck(orders as fn(bool, Vec<Order>));
}

#[derive(Clone, Copy, Debug)]
enum Move {
    Acquire,
    Release(u8),
    SetState(u8, ConnectionState),
    Progress(u8),
    Wait(u16),
    Evict,
}

impl Arbitrary for Move {
    fn arbitrary(g: &mut Gen) -> Move {
        let state = *g
            .choose(&[
                ConnectionState::Receiving,
                ConnectionState::Serving,
                ConnectionState::Idle,
                ConnectionState::Closing,
                ConnectionState::Evicted,
            ])
            .expect("some");
        let slot = u8::arbitrary(g) % 12;
        let (set_state, progress) = (Move::SetState(slot, state), Move::Progress(slot));
        *g.choose(&[
            Move::Acquire,
            Move::Acquire,
            set_state,
            set_state,
            progress,
            Move::Release(slot),
            Move::Wait(70),
            Move::Evict,
        ])
        .expect("some")
    }
}

/// The connections that have a slot at the moment, in a plain table.
fn moves(moves: Vec<Move>) {
    let span = Duration::from_nanos;
    let timeouts =
        SlotTimeouts { silent: span(100), receiving: span(300), idle: span(200), closing: span(20) };
    let (mut slots, mut model, mut now) = (ConnectionSlots::new(timeouts), BTreeMap::new(), 0);
    for step in moves {
        match step {
            Move::Acquire => drop(model.insert(slots.acquire(now), (ConnectionState::Silent, now))),
            Move::Release(n) => {
                slots.release(n.into());
                model.remove(&u64::from(n));
            }
            Move::SetState(n, state) => {
                let before =
                    model.get_mut(&u64::from(n)).map(|slot| std::mem::replace(slot, (state, now)).0);
                assert_eq!(slots.set_state(now, n.into(), state), before);
            }
            Move::Progress(n) => {
                slots.progress(now, n.into());
                // Only what arrives makes progress.
                if let Some(slot) =
                    model.get_mut(&u64::from(n)).filter(|(s, _)| *s == ConnectionState::Receiving)
                {
                    slot.1 = now;
                }
            }
            Move::Wait(time) => now += u64::from(time),
            Move::Evict => {
                let old = |state, most| {
                    let of = model.iter().filter(move |(_, (s, since))| *s == state && now - since >= most);
                    of.map(|(n, (_, since))| (*since, *n)).min()
                };
                let talkers = [
                    old(ConnectionState::Receiving, 300),
                    old(ConnectionState::Idle, 200),
                    old(ConnectionState::Closing, 20),
                ];
                let expected = old(ConnectionState::Silent, 100)
                    .or(talkers.into_iter().flatten().min())
                    .map(|(_, n)| n);
                assert_eq!(slots.evict(now), expected);
                if let Some(slot) = expected.and_then(|n| model.get_mut(&n)) {
                    slot.0 = ConnectionState::Evicted;
                }
            }
        }
        assert_eq!(slots.in_use(), model.len());
        assert!((0..40).all(|capacity| slots.is_crowded(capacity) == (4 * model.len() >= 3 * capacity)));
        assert!(model.iter().all(|(n, slot)| slots.get(*n) == Some(*slot)));
    }
}

#[test]
fn silent_connections_go_first_then_the_oldest_and_nobody_with_a_request_open() {
    check(42).quickcheck(moves as fn(Vec<Move>));
}

/// Two processes of one gateway, each of which opens and closes connections as it likes within its places.
fn overlaps(whole: (u8, u8), held: (u8, u8), steps: Vec<(bool, i8, i8)>, stops: u8) {
    let whole = ConnectionCounts { edge: 16 + usize::from(whole.0), replicas: 16 + usize::from(whole.1) };
    let (older, newer) = (ProcessLimits::new(whole), ProcessLimits::new(whole));
    // Alone the older one may have filled all of it.
    let mut old = ConnectionCounts {
        edge: usize::from(held.0).min(whole.edge),
        replicas: usize::from(held.1).min(whole.replicas),
    };
    let mut new = ConnectionCounts::default();
    assert_eq!(older.limits(), whole);
    older.newer_started();
    assert_eq!(
        (older.memory_share(100), newer.memory_share(100)),
        (50, 100),
        "the newcomer knows nothing yet"
    );
    for (n, (is_old, edge, replicas)) in steps.into_iter().enumerate() {
        let stopping = n >= usize::from(stops) % 32;
        newer.older_reported(ConnectionReport { open: old, stopping });
        let to = |held: usize, by: i8, most: usize| match by {
            // What is over the part already may only become less.
            0.. => (held + by as usize).min(most.max(held)),
            _ => held.saturating_sub(usize::from(by.unsigned_abs())),
        };
        let (open, may) = if is_old { (&mut old, older.limits()) } else { (&mut new, newer.limits()) };
        let edge = if stopping && is_old { -edge.saturating_abs() } else { edge };
        let replicas = if stopping && is_old { -replicas.saturating_abs() } else { replicas };
        *open = ConnectionCounts {
            edge: to(open.edge, edge, may.edge),
            replicas: to(open.replicas, replicas, may.replicas),
        };
        // Those four that a newcomer always has come out of what is kept back.
        assert!(old.edge + new.edge <= whole.edge + 4, "{old:?} {new:?} of {whole:?}");
        assert!(old.replicas + new.replicas <= whole.replicas + 4, "{old:?} {new:?} of {whole:?}");
    }
    older.newer_exited();
    newer.older_exited();
    assert_eq!((older.limits(), newer.limits()), (whole, whole));
    assert_eq!((older.memory_share(100), newer.memory_share(100)), (100, 100));
}

#[test]
fn two_processes_together_hold_no_more_than_one_alone() {
    type Steps = Vec<(bool, i8, i8)>;
    check(43).quickcheck(overlaps as fn((u8, u8), (u8, u8), Steps, u8));
}

/// However often descriptors run out, and with whatever open: places never become more, never fewer than each kind needs
/// at the least, and what is kept back is kept back.
fn runs_out(whole: (u8, u8), own: u8, spells: Vec<(u8, u8)>) {
    let whole = ConnectionCounts { edge: 8 + usize::from(whole.0), replicas: 8 + usize::from(whole.1) };
    let (limits, own) = (ProcessLimits::new(whole), usize::from(own));
    for (edge, replicas) in spells {
        let before = limits.limits();
        let open = ConnectionCounts { edge: usize::from(edge), replicas: usize::from(replicas) };
        let fewer = limits.reduce_limits(open, own);
        let (after, all) = (limits.limits(), open.edge + open.replicas);
        assert_eq!(fewer, after != before);
        assert!(
            after.edge <= before.edge && after.replicas <= before.replicas,
            "{after:?} after {before:?}"
        );
        assert!(after.edge >= 4 && after.replicas >= 4, "{after:?}");
        let kept_back = all.saturating_sub(after.edge + after.replicas);
        assert!(
            kept_back >= own.min(all / 2) || after.edge.min(after.replicas) == 4,
            "{after:?} of {open:?}"
        );
    }
}

#[test]
fn places_become_fewer_where_descriptors_run_out() {
    check(44).quickcheck(runs_out as fn((u8, u8), u8, Vec<(u8, u8)>));
}
