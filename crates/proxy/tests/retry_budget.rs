//! The retry budgets of all proxies together stay within the allowance of the fleet.

use rstest::rstest;
use tulipridge_proxy::placement::budget::{RetryAllowance, RetryBudget};

const RETRY_RATIO: f64 = 0.2;
const SPARE_ATTEMPTS: f64 = 58.0;
const WINDOW_S: usize = 10;

/// The number of requests and retries in one second.
#[derive(Clone, Copy, Default)]
struct Second {
    requests: f64,
    retries: f64,
}

/// Simulates gateways that use all tokens of their budgets under a random load. Some gateways restart on the way, and
/// there are twice as many gateways as each one knows of.
fn history(seed: u64, known_count: u32) -> Vec<Second> {
    let mut random = fastrand::Rng::with_seed(seed);
    let allowance = RetryAllowance { ratio: RETRY_RATIO, spare: SPARE_ATTEMPTS };
    let new_budget = || {
        let mut budget = RetryBudget::new(allowance);
        budget.set_proxy_count(known_count);
        budget
    };
    let mut gateways: Vec<RetryBudget> = (0..2 * known_count).map(|_| new_budget()).collect();
    let mut seconds = vec![Second::default(); 60];
    for second in &mut seconds {
        let load = random.u64(..40);
        for gateway in &mut gateways {
            if random.u8(..50) == 0 {
                *gateway = new_budget();
            }
            for _ in 0..random.u64(..=load) {
                gateway.record_first_send();
                second.requests += 1.0;
                while random.u8(..4) > 0 && gateway.take_token() {
                    second.retries += 1.0;
                }
            }
        }
    }
    seconds
}

#[rstest]
fn retries_of_all_gateways_stay_within_the_fleets_budget(
    #[values(1, 2, 9, 40)] known_count: u32,
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)] seed: u64,
) {
    for window in history(seed, known_count).windows(WINDOW_S) {
        let requests: f64 = window.iter().map(|second| second.requests).sum();
        let retries: f64 = window.iter().map(|second| second.retries).sum();
        assert!(
            retries <= RETRY_RATIO * requests + SPARE_ATTEMPTS,
            "{retries} retries of {requests} requests"
        );
    }
}

/// The tokens saved by all gateways, including gateways that no other one knows of yet, are within the spare attempts.
#[rstest]
fn retries_after_an_idle_time_stay_within_the_spare_attempts(#[values(1, 2, 9, 40)] known_count: u32) {
    let mut retries = 0;
    for _ in 0..2 * known_count {
        let mut budget = RetryBudget::new(RetryAllowance { ratio: RETRY_RATIO, spare: SPARE_ATTEMPTS });
        budget.set_proxy_count(known_count);
        (0..10_000).for_each(|_| budget.record_first_send());
        retries += (0..1_000).filter(|_| budget.take_token()).count();
    }
    assert!(retries as f64 <= SPARE_ATTEMPTS, "{retries} retries");
}

#[test]
fn a_new_budget_is_empty_and_has_no_capacity() {
    let mut budget = RetryBudget::new(RetryAllowance { ratio: 1.0, spare: 100.0 });
    (0..10).for_each(|_| budget.record_first_send());
    assert!(!budget.take_token(), "the number of gateways is unknown");
    budget.set_proxy_count(10);
    assert!(!budget.take_token());
    (0..100).for_each(|_| budget.record_first_send());
    assert_eq!(
        (0..100).filter(|_| budget.take_token()).count(),
        5,
        "half of the spare attempts, shared by ten gateways"
    );
    budget.record_first_send();
    assert!(!budget.has_token(), "0.9 of a token allows no retry");
}

#[test]
fn more_gateways_reduce_each_share_immediately() {
    let mut budget = RetryBudget::new(RetryAllowance { ratio: 1.0, spare: 100.0 });
    budget.set_proxy_count(1);
    (0..100).for_each(|_| budget.record_first_send());
    budget.set_proxy_count(50);
    assert!(budget.take_token());
    assert!(!budget.take_token());
}
