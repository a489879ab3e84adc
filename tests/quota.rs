//! Tenants' limits as a model against random steps: what is let in, what is told of it, and what is given back.

use quickcheck::{Arbitrary, Gen, QuickCheck};

use tulipridge::admission::quota::{Grant, LimitKind, Quota, Rates};

const SECOND: u64 = 1_000_000_000;
const START: u64 = 1_000 * SECOND;

#[derive(Clone, Copy, Debug)]
enum Step {
    Wait(u64),
    /// The clock runs back.
    Back(u64),
    PlacementRequest {
        tenant: usize,
        input: u64,
        output: u64,
    },
    /// The oldest that is open ends, having needed so much; or it was not run.
    End(Option<(u64, u64)>),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let upto = |g: &mut Gen, most: u64| u64::arbitrary(g) % most;
        match upto(g, 10) {
            0..3 => Step::Wait(upto(g, 20 * SECOND)),
            3 => Step::Back(upto(g, 5 * SECOND)),
            4..8 => Step::PlacementRequest {
                tenant: upto(g, 3) as usize,
                input: upto(g, 900),
                output: upto(g, 300),
            },
            8 => Step::End(None),
            _ => Step::End(Some((upto(g, 900), upto(g, 600)))),
        }
    }
}

/// What is left is within its limit, and a bucket is full when it says so.
fn check_standings(quota: &mut Quota, now: u64) {
    for tenant in 0..3 {
        for standing in quota.status(now, tenant) {
            assert!(standing.remaining <= standing.limit);
            assert!(standing.full_at >= now);
            let mut later = quota.clone();
            let full = later.status(standing.full_at + 1000, tenant);
            let then = full.iter().find(|s| s.kind == standing.kind).expect("the same");
            assert_eq!(then.remaining, then.limit, "it is full when it says so");
        }
    }
}

/// Requests taken, and when, keep to a minute's burst and the rate.
fn check_stretches(taken: &[(u64, i64)]) {
    // In any stretch no more requests than a minute's worth and what the stretch brought.
    for (n, (from, _)) in taken.iter().enumerate() {
        let mut sum = 0;
        for (to, count) in &taken[n..] {
            sum += count;
            let most = 6.0 + 6.0 * (to - from) as f64 / (60 * SECOND) as f64;
            assert!(sum as f64 <= most + 0.001, "{sum} of {most}");
        }
    }
}

#[test]
fn no_window_lets_in_more_than_a_burst_and_its_minutes_share_and_waits_are_honest() {
    fn holds(steps: Vec<Step>) -> bool {
        let rates = [
            Rates { requests: Some(6), input: Some(2000), output: Some(500) },
            Rates { requests: Some(30), ..Rates::default() },
            Rates::default(),
        ];
        let mut quota = Quota::new(&rates);
        let (mut now, mut open): (u64, Vec<(usize, Grant)>) = (START, Vec::new());
        let mut latest = now;
        // What was taken of the first tenant's requests, net of what was given back, and when.
        let mut taken: Vec<(u64, i64)> = Vec::new();
        for step in steps {
            match step {
                Step::Wait(span) => now += span,
                Step::Back(span) => now = now.saturating_sub(span).max(START),
                Step::PlacementRequest { tenant, input, output } => {
                    match quota.admit(now, tenant, input, output) {
                        Ok(Some(grant)) => {
                            assert!(tenant < 2, "a tenant without limits gets no grant");
                            open.push((tenant, grant));
                            if tenant == 0 {
                                taken.push((latest.max(now), 1));
                            }
                        }
                        Ok(None) => assert_eq!(tenant, 2),
                        Err(short) => {
                            assert!(tenant < 2 && short.wait > 0);
                            // The wait that is told is enough, and half of it is not.
                            for (wait, enough) in [(short.wait + 1000, true), (short.wait / 2, false)] {
                                let mut later = quota.clone();
                                let late = later.admit(now + wait, tenant, input, output);
                                assert_eq!(late.is_ok(), enough, "{short:?} after {wait}");
                            }
                        }
                    }
                }
                Step::End(needed) if !open.is_empty() => {
                    let (tenant, grant) = open.remove(0);
                    quota.reconcile(now, grant, needed);
                    if tenant == 0 && needed.is_none() {
                        taken.push((latest.max(now), -1));
                    }
                }
                Step::End(_) => {}
            }
            latest = latest.max(now);
            check_standings(&mut quota, now);
        }
        check_stretches(&taken);
        true
    }
    let test = holds as fn(Vec<Step>) -> bool;
    QuickCheck::new().rng(Gen::from_size_and_seed(60, 7)).tests(400).quickcheck(test);
}

#[test]
fn a_request_larger_than_a_minutes_worth_waits_for_a_full_bucket_and_no_longer() {
    let mut quota = Quota::new(&[Rates { input: Some(100), ..Rates::default() }]);
    let grant = quota.admit(START, 0, 1_000_000, 0).expect("a full bucket").expect("a limit");
    let short = quota.admit(START, 0, 1_000_000, 0).expect_err("it is empty");
    assert_eq!((short.kind, short.wait.div_ceil(SECOND)), (LimitKind::Input, 60));
    // What it did need is a debt that later ones wait for: 300 tokens are three minutes.
    quota.reconcile(START, grant, Some((300, 0)));
    let short = quota.admit(START, 0, 1, 0).expect_err("a debt");
    assert!((120 * SECOND..=122 * SECOND).contains(&short.wait), "{short:?}");
    assert_eq!(quota.status(START, 0)[0].remaining, 0);
}
