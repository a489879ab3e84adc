//! The lifecycle, connection slots and connection limits under random steps, compared with simple models. Fixed seeds.

use std::collections::BTreeMap;
use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use tulipridge::admission::connection_slots::{ConnectionSlots, ConnectionState, SlotTimeouts};
use tulipridge::process::lifecycle::{Lifecycle, State};
use tulipridge::process::overlap::{ConnectionCounts, ConnectionReport, ProcessLimits};

/// Grace period in nanoseconds, like all times of these tests.
const GRACE: u64 = 700;

fn quickcheck_with_seed(seed: u64) -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(60, seed)).tests(3000)
}

#[derive(Clone, Copy, Debug)]
enum LifecycleStep {
    SetReady,
    Drain,
    Undrain,
    Stop,
    /// This many nanoseconds elapse.
    Wait(u16),
}

impl Arbitrary for LifecycleStep {
    fn arbitrary(g: &mut Gen) -> LifecycleStep {
        let wait = LifecycleStep::Wait(u16::arbitrary(g) % 900);
        *g.choose(&[
            LifecycleStep::SetReady,
            LifecycleStep::Drain,
            LifecycleStep::Undrain,
            wait,
            wait,
            wait,
            LifecycleStep::Stop,
        ])
        .expect("a nonempty list")
    }
}

/// Compares the lifecycle with its expected state, which follows from the steps since the start.
fn check_lifecycle(shared: bool, steps: Vec<LifecycleStep>) {
    let (mut lifecycle, mut now) = (Lifecycle::new(0, shared, GRACE), 0);
    // Since when clients are sent away; whether the process is ready and drained; when it was stopped first.
    let (mut leaving_since, mut is_ready, mut is_drained, mut stopped_at) = (None, false, false, None);
    for step in steps {
        let result = match step {
            LifecycleStep::SetReady => {
                lifecycle.set_ready(now);
                is_ready = true;
                Ok(())
            }
            LifecycleStep::Drain => lifecycle.drain(now),
            LifecycleStep::Undrain => lifecycle.undrain(now),
            LifecycleStep::Stop => {
                lifecycle.stop(now);
                stopped_at = stopped_at.or(Some(now));
                Ok(())
            }
            LifecycleStep::Wait(time) => {
                now += u64::from(time);
                Ok(())
            }
        };
        assert_eq!(
            result.is_err(),
            stopped_at.is_some() && matches!(step, LifecycleStep::Drain | LifecycleStep::Undrain)
        );
        match step {
            LifecycleStep::Drain if result.is_ok() => is_drained = true,
            LifecycleStep::Undrain if result.is_ok() => is_drained = false,
            _ => {}
        }
        let is_leaving = stopped_at.is_some() || is_ready && is_drained;
        leaving_since = if is_leaving { stopped_at.or(leaving_since).or(Some(now)) } else { None };
        let is_grace_over = stopped_at.is_some_and(|at| now >= at + GRACE);
        assert_eq!(lifecycle.is_in_rotation(), is_ready && !is_drained && stopped_at.is_none());
        assert_eq!(lifecycle.can_serve(), is_ready && stopped_at.is_none());
        assert_eq!(lifecycle.keeps_connections(), !is_leaving);
        let accepts = if shared { is_ready && stopped_at.is_none() } else { !is_grace_over };
        assert_eq!(lifecycle.admits_requests(now), shared || !is_grace_over);
        assert_eq!(lifecycle.accepts(now), accepts, "{:?} after {step:?}", lifecycle.state());
        assert_eq!(lifecycle.idle_deadline(None), leaving_since.map(|at| at + GRACE));
        // A connection opened now stays for one grace period, even if that of the process has ended.
        assert_eq!(lifecycle.idle_deadline(Some(now)), leaving_since.map(|_| now + GRACE));
        assert_eq!((lifecycle.is_finished(now, 0), lifecycle.is_finished(now, 1)), (is_grace_over, false));
        assert_eq!(lifecycle.next_change(now), stopped_at.filter(|_| !is_grace_over).map(|at| at + GRACE));
        assert_eq!(lifecycle.state() == State::Stopping, stopped_at.is_some());
    }
}

#[test]
fn the_lifecycle_follows_the_latest_step() {
    quickcheck_with_seed(41).quickcheck(check_lifecycle as fn(bool, Vec<LifecycleStep>));
}

#[derive(Clone, Copy, Debug)]
enum SlotStep {
    Acquire,
    Release(u8),
    SetState(u8, ConnectionState),
    Progress(u8),
    /// This many nanoseconds elapse.
    Wait(u16),
    Evict,
}

impl Arbitrary for SlotStep {
    fn arbitrary(g: &mut Gen) -> SlotStep {
        let state = *g
            .choose(&[
                ConnectionState::Receiving,
                ConnectionState::Serving,
                ConnectionState::Idle,
                ConnectionState::Closing,
                ConnectionState::Evicted,
            ])
            .expect("a nonempty list");
        let slot = u8::arbitrary(g) % 12;
        let (set_state, progress) = (SlotStep::SetState(slot, state), SlotStep::Progress(slot));
        *g.choose(&[
            SlotStep::Acquire,
            SlotStep::Acquire,
            set_state,
            set_state,
            progress,
            SlotStep::Release(slot),
            SlotStep::Wait(70),
            SlotStep::Evict,
        ])
        .expect("a nonempty list")
    }
}

/// Compares the slots with a table of the connections that have a slot.
fn check_slots(steps: Vec<SlotStep>) {
    let ns = Duration::from_nanos;
    let timeouts = SlotTimeouts { silent: ns(100), receiving: ns(300), idle: ns(200), closing: ns(20) };
    let (mut slots, mut model, mut now) = (ConnectionSlots::new(timeouts), BTreeMap::new(), 0);
    for step in steps {
        match step {
            SlotStep::Acquire => drop(model.insert(slots.acquire(now), (ConnectionState::Silent, now))),
            SlotStep::Release(n) => {
                slots.release(n.into());
                model.remove(&u64::from(n));
            }
            SlotStep::SetState(n, state) => {
                let before =
                    model.get_mut(&u64::from(n)).map(|slot| std::mem::replace(slot, (state, now)).0);
                assert_eq!(slots.set_state(now, n.into(), state), before);
            }
            SlotStep::Progress(n) => {
                slots.progress(now, n.into());
                // Only an incomplete request makes progress.
                if let Some(slot) =
                    model.get_mut(&u64::from(n)).filter(|(s, _)| *s == ConnectionState::Receiving)
                {
                    slot.1 = now;
                }
            }
            SlotStep::Wait(time) => now += u64::from(time),
            SlotStep::Evict => {
                let oldest = |state, timeout| {
                    let evictable =
                        model.iter().filter(move |(_, (s, since))| *s == state && now - since >= timeout);
                    evictable.map(|(n, (_, since))| (*since, *n)).min()
                };
                let not_silent = [
                    oldest(ConnectionState::Receiving, 300),
                    oldest(ConnectionState::Idle, 200),
                    oldest(ConnectionState::Closing, 20),
                ];
                let expected = oldest(ConnectionState::Silent, 100)
                    .or(not_silent.into_iter().flatten().min())
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
fn eviction_order_is_silent_first_then_oldest_and_never_serving() {
    quickcheck_with_seed(42).quickcheck(check_slots as fn(Vec<SlotStep>));
}

/// Two processes of one gateway, each of which opens and closes random numbers of connections within its limits.
fn check_overlap(all: (u8, u8), open: (u8, u8), steps: Vec<(bool, i8, i8)>, stop_step: u8) {
    let all = ConnectionCounts { edge: 16 + usize::from(all.0), replicas: 16 + usize::from(all.1) };
    let (older, newer) = (ProcessLimits::new(all), ProcessLimits::new(all));
    // While it was alone, the older process may have used all connections.
    let mut old = ConnectionCounts {
        edge: usize::from(open.0).min(all.edge),
        replicas: usize::from(open.1).min(all.replicas),
    };
    let mut new = ConnectionCounts::default();
    assert_eq!(older.limits(), all);
    older.newer_started();
    assert_eq!(
        (older.memory_share(100), newer.memory_share(100)),
        (50, 100),
        "the newer process has no report yet"
    );
    for (n, (is_old, edge, replicas)) in steps.into_iter().enumerate() {
        let stopping = n >= usize::from(stop_step) % 32;
        newer.older_reported(ConnectionReport { open: old, stopping });
        let change = |count: usize, by: i8, limit: usize| match by {
            // A count above the limit may only decrease.
            0.. => (count + by as usize).min(limit.max(count)),
            _ => count.saturating_sub(usize::from(by.unsigned_abs())),
        };
        let (open, limits) = if is_old { (&mut old, older.limits()) } else { (&mut new, newer.limits()) };
        let edge = if stopping && is_old { -edge.saturating_abs() } else { edge };
        let replicas = if stopping && is_old { -replicas.saturating_abs() } else { replicas };
        *open = ConnectionCounts {
            edge: change(open.edge, edge, limits.edge),
            replicas: change(open.replicas, replicas, limits.replicas),
        };
        // Reserved descriptors cover the four connections that a newer process may always open.
        assert!(old.edge + new.edge <= all.edge + 4, "{old:?} {new:?} of {all:?}");
        assert!(old.replicas + new.replicas <= all.replicas + 4, "{old:?} {new:?} of {all:?}");
    }
    older.newer_exited();
    newer.older_exited();
    assert_eq!((older.limits(), newer.limits()), (all, all));
    assert_eq!((older.memory_share(100), newer.memory_share(100)), (100, 100));
}

#[test]
fn two_processes_open_no_more_connections_than_one_alone() {
    type Steps = Vec<(bool, i8, i8)>;
    quickcheck_with_seed(43).quickcheck(check_overlap as fn((u8, u8), (u8, u8), Steps, u8));
}

/// However often descriptors run out, and whatever the numbers of open connections: limits never increase, none is less
/// than the minimum of its kind, and the descriptors to be reserved are reserved.
fn check_reduced_limits(all: (u8, u8), own: u8, shortages: Vec<(u8, u8)>) {
    let all = ConnectionCounts { edge: 8 + usize::from(all.0), replicas: 8 + usize::from(all.1) };
    let (limits, own) = (ProcessLimits::new(all), usize::from(own));
    for (edge, replicas) in shortages {
        let before = limits.limits();
        let open = ConnectionCounts { edge: usize::from(edge), replicas: usize::from(replicas) };
        let is_reduced = limits.reduce_limits(open, own);
        let (after, open_count) = (limits.limits(), open.edge + open.replicas);
        assert_eq!(is_reduced, after != before);
        assert!(
            after.edge <= before.edge && after.replicas <= before.replicas,
            "{after:?} after {before:?}"
        );
        assert!(after.edge >= 4 && after.replicas >= 4, "{after:?}");
        let reserved = open_count.saturating_sub(after.edge + after.replicas);
        assert!(
            reserved >= own.min(open_count / 2) || after.edge.min(after.replicas) == 4,
            "{after:?} of {open:?}"
        );
    }
}

#[test]
fn limits_are_reduced_when_descriptors_run_out() {
    quickcheck_with_seed(44).quickcheck(check_reduced_limits as fn((u8, u8), u8, Vec<(u8, u8)>));
}
