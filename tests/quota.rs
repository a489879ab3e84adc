//! Quotas of tenants, checked against a model under random steps: admission, the reported status, and reconciliation.

use quickcheck::{Arbitrary, Gen, QuickCheck};

use tulipridge::admission::quota::{Grant, LimitKind, Quota, Rates};

const SECOND_NS: u64 = 1_000_000_000;
const START: u64 = 1_000 * SECOND_NS;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// The clock advances by this many nanoseconds.
    Wait(u64),
    /// The clock goes back by this many nanoseconds, at most to `START`.
    GoBack(u64),
    Request {
        tenant: usize,
        input: u64,
        output: u64,
    },
    /// The oldest open request ends with this usage of input and output tokens; `None` if it was not run.
    End(Option<(u64, u64)>),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let below = |g: &mut Gen, bound: u64| u64::arbitrary(g) % bound;
        match below(g, 10) {
            0..3 => Step::Wait(below(g, 20 * SECOND_NS)),
            3 => Step::GoBack(below(g, 5 * SECOND_NS)),
            4..8 => {
                Step::Request { tenant: below(g, 3) as usize, input: below(g, 900), output: below(g, 300) }
            }
            8 => Step::End(None),
            _ => Step::End(Some((below(g, 900), below(g, 600)))),
        }
    }
}

/// Checks that the remaining amounts are within their limits, and that each bucket is full at its `full_at`.
fn check_status(quota: &mut Quota, now: u64) {
    for tenant in 0..3 {
        for status in quota.status(now, tenant) {
            assert!(status.remaining <= status.limit);
            assert!(status.full_at >= now);
            let mut later = quota.clone();
            let later_statuses = later.status(status.full_at + 1000, tenant);
            let full =
                later_statuses.iter().find(|s| s.kind == status.kind).expect("the same kind of limit");
            assert_eq!(full.remaining, full.limit, "the bucket is full at `full_at`");
        }
    }
}

/// Checks admissions (time, 1) and refunds (time, -1) against a limit of 6 requests per minute: in each interval at
/// most 6 requests as a burst, plus 6 for each minute of its length.
fn check_request_rate(admitted: &[(u64, i64)]) {
    for (n, (from, _)) in admitted.iter().enumerate() {
        let mut sum = 0;
        for (to, count) in &admitted[n..] {
            sum += count;
            let max = 6.0 + 6.0 * (to - from) as f64 / (60 * SECOND_NS) as f64;
            assert!(sum as f64 <= max + 0.001, "{sum} of {max}");
        }
    }
}

#[test]
fn admissions_keep_to_burst_and_rate_and_waits_are_tight() {
    fn keeps_limits(steps: Vec<Step>) -> bool {
        let rates = [
            Rates { requests: Some(6), input: Some(2000), output: Some(500) },
            Rates { requests: Some(30), ..Rates::default() },
            Rates::default(),
        ];
        let mut quota = Quota::new(&rates);
        let (mut now, mut open_grants): (u64, Vec<(usize, Grant)>) = (START, Vec::new());
        let mut latest = now;
        // The first tenant's admissions as (time, 1), and refunds of requests that were not run as (time, -1).
        let mut admitted: Vec<(u64, i64)> = Vec::new();
        for step in steps {
            match step {
                Step::Wait(span_ns) => now += span_ns,
                Step::GoBack(span_ns) => now = now.saturating_sub(span_ns).max(START),
                Step::Request { tenant, input, output } => {
                    match quota.admit(now, tenant, input, output) {
                        Ok(Some(grant)) => {
                            assert!(tenant < 2, "a tenant without limits gets no grant");
                            open_grants.push((tenant, grant));
                            if tenant == 0 {
                                admitted.push((latest.max(now), 1));
                            }
                        }
                        Ok(None) => assert_eq!(tenant, 2),
                        Err(shortage) => {
                            assert!(tenant < 2 && shortage.wait > 0);
                            // The reported wait is enough, and half of it is not.
                            for (wait_ns, is_enough) in
                                [(shortage.wait + 1000, true), (shortage.wait / 2, false)]
                            {
                                let mut later = quota.clone();
                                let result = later.admit(now + wait_ns, tenant, input, output);
                                assert_eq!(result.is_ok(), is_enough, "{shortage:?} after {wait_ns} ns");
                            }
                        }
                    }
                }
                Step::End(usage) if !open_grants.is_empty() => {
                    let (tenant, grant) = open_grants.remove(0);
                    quota.reconcile(now, grant, usage);
                    if tenant == 0 && usage.is_none() {
                        admitted.push((latest.max(now), -1));
                    }
                }
                Step::End(_) => {}
            }
            latest = latest.max(now);
            check_status(&mut quota, now);
        }
        check_request_rate(&admitted);
        true
    }
    let test = keeps_limits as fn(Vec<Step>) -> bool;
    QuickCheck::new().rng(Gen::from_size_and_seed(60, 7)).tests(400).quickcheck(test);
}

#[test]
fn a_request_beyond_a_minutes_worth_waits_for_a_full_bucket() {
    let mut quota = Quota::new(&[Rates { input: Some(100), ..Rates::default() }]);
    let grant = quota.admit(START, 0, 1_000_000, 0).expect("a full bucket").expect("a limit");
    let shortage = quota.admit(START, 0, 1_000_000, 0).expect_err("an empty bucket");
    assert_eq!((shortage.kind, shortage.wait.div_ceil(SECOND_NS)), (LimitKind::Input, 60));
    // Usage beyond the bucket is a debt that later requests wait for: 300 tokens from a bucket of 100 leave a debt of
    // 200, refilled in two minutes.
    quota.reconcile(START, grant, Some((300, 0)));
    let shortage = quota.admit(START, 0, 1, 0).expect_err("a debt");
    assert!((120 * SECOND_NS..=122 * SECOND_NS).contains(&shortage.wait), "{shortage:?}");
    assert_eq!(quota.status(START, 0)[0].remaining, 0);
}
