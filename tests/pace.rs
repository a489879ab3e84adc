//! When the list service is called, for any group, slot and instant.

use quickcheck::{Gen, QuickCheck};
use tulipridge::pace::Calls;
use tulipridge::types::Nanos;

const MILLI: Nanos = 1_000_000;
/// What a call is taken to cost the service where nobody has said.
const EACH: Nanos = 60 * MILLI;
const SECOND: Nanos = 1000 * MILLI;

#[test]
fn first_calls_of_a_group_come_evenly_whenever_each_of_them_started() {
    for (group, rate, window) in [
        (3, None, 180),
        (50, None, 3000),
        (100, None, 5500),
        (300, None, 5500),
        (1000, None, 15_000),
        (300, Some(30.0), 10_000),
    ] {
        let calls: Vec<Nanos> = (0..group)
            .map(|me| {
                let start = 77 * SECOND + Nanos::from(me) * 7919 % 1000 * MILLI;
                let wait = Calls::new(me, group, 10 * SECOND, rate).start(start, f64::from(me % 10) / 10.0);
                assert!(wait <= window * MILLI, "{group} {rate:?}: {wait}");
                start + wait
            })
            .collect();
        let within = |from: &Nanos| calls.iter().filter(|c| (*from..*from + SECOND).contains(*c)).count();
        let most = calls.iter().map(within).max().unwrap_or(0) as f64;
        let mean = f64::from(group) / (window as f64 / 1000.0).max(1.0);
        assert!(most <= mean * 1.1 + 1.0, "{group} {rate:?}: {most} in a second, {mean} on average");
    }
}

#[test]
fn failures_widen_the_window_up_to_its_longest_and_an_answer_resets_it() {
    // The longest of many draws, in whole seconds: the last slot of the last window.
    let longest = |calls: &Calls| {
        let waits = (0..1000).map(|n| calls.clone().failed(77 * SECOND, f64::from(n) / 1000.0));
        waits.max().unwrap_or(0) / SECOND
    };
    let mut calls = Calls::new(0, 100, 10 * SECOND, None);
    let mut waits = Vec::new();
    for _ in 0..4 {
        waits.push(longest(&calls));
        calls.failed(0, 0.5);
    }
    assert_eq!(waits, [7, 7, 7, 7], "windows of 6 s: two fit into 16 s");
    calls.answered();
    assert_eq!(longest(&calls), 5, "a watch that ends is no sign of a slow service");
    let large = Calls::new(0, 1000, 10 * SECOND, None);
    assert_eq!(longest(&large), 103, "two windows of 60 s");
    let told = Calls::new(999, 1000, 10 * SECOND, Some(100.0));
    assert_eq!((told.start(0, 0.5), longest(&told)), (9995 * MILLI, 12));
}

#[test]
fn the_service_never_sees_more_than_its_rate_whatever_fails() {
    // It fails every call for a while, of gateways that start within a second.
    let mut next: Vec<(Nanos, Calls)> = (0..300)
        .map(|me| {
            let start = 77 * SECOND + Nanos::from(me) * 7919 % 1000 * MILLI;
            let calls = Calls::new(me, 300, 10 * SECOND, Some(50.0));
            (start + calls.start(start, 0.5), calls)
        })
        .collect();
    let mut called = Vec::new();
    for n in 0..3000 {
        let Some((at, calls)) = next.iter_mut().min_by_key(|(at, _)| *at) else { return };
        called.push(*at);
        *at += 1 + calls.failed(*at + 1, f64::from(n * 37 % 100) / 100.0);
    }
    let within = |from: &Nanos| called.iter().filter(|c| (*from..*from + SECOND).contains(*c)).count();
    let most = called.iter().map(within).max().unwrap_or(0);
    assert!(most <= 55, "{most} in a second, of 50");
    assert!(called[2999] - called[0] > 60 * SECOND, "and less and less");
}

#[test]
fn a_service_that_asks_to_be_left_alone_is_and_not_for_ever() {
    let mut calls = Calls::new(0, 10, 10 * SECOND, None);
    calls.busy(SECOND, 3 * SECOND);
    assert!((2 * SECOND..4 * SECOND).contains(&calls.failed(2 * SECOND, 0.0)));
    calls.busy(2 * SECOND, 1_000_000 * SECOND);
    assert!((16 * SECOND..17 * SECOND).contains(&calls.failed(2 * SECOND, 0.0)));
    calls.answered();
    assert!(calls.failed(2 * SECOND, 0.0) < SECOND);
}

/// Whatever happens: no wait beyond the longest window and what the service asked for, none before its time.
#[test]
fn waits_stay_within_their_bounds_whatever_happens() {
    fn holds((me, group, steps): (u32, u16, Vec<(u8, u16, u8)>)) -> bool {
        let mut calls = Calls::new(me, group.into(), 10 * SECOND, None);
        let longest = (16 * SECOND).max(2 * EACH * Nanos::from(group));
        let (mut now, mut asked) = (0, 0);
        steps.into_iter().all(|(what, span, chance)| {
            now += Nanos::from(span) * MILLI;
            let chance = f64::from(chance) / 256.0;
            match what % 4 {
                0 => calls.start(now, chance) <= longest,
                1 => {
                    calls.busy(now, Nanos::from(span) * MILLI);
                    asked = asked.max(now + (Nanos::from(span) * MILLI).min(longest));
                    true
                }
                2 => {
                    calls.answered();
                    asked = 0;
                    true
                }
                _ => {
                    let wait = calls.failed(now, chance);
                    now + wait >= asked && wait <= 2 * longest + asked.saturating_sub(now)
                }
            }
        })
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(60, 11)).tests(2000);
    check.quickcheck(holds as fn((u32, u16, Vec<(u8, u16, u8)>)) -> bool);
}
