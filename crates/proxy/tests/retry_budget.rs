//! The retry budgets of all proxies together stay within the fleet's allowance.

use rstest::rstest;
use tulipridge_proxy::placement::budget::{RetryAllowance, RetryBudget};

const RATIO: f64 = 0.2;
const SPARE: f64 = 58.0;
const WINDOW_S: usize = 10;

/// Requests and repeated sends of one second.
#[derive(Clone, Copy, Default)]
struct Second {
    requests: f64,
    repeats: f64,
}

/// Each gateway takes whatever its budget gives it, at a load that changes without pattern; some gateways are
/// restarted on the way, and as many again are there as each one knows of.
fn history(seed: u64, known: u32) -> Vec<Second> {
    let mut random = fastrand::Rng::with_seed(seed);
    let allowance = RetryAllowance { ratio: RATIO, spare: SPARE };
    let fresh = || {
        let mut budget = RetryBudget::new(allowance);
        budget.set_proxy_count(known);
        budget
    };
    let mut gateways: Vec<RetryBudget> = (0..2 * known).map(|_| fresh()).collect();
    let mut seconds = vec![Second::default(); 60];
    for second in &mut seconds {
        let load = random.u64(..40);
        for gateway in &mut gateways {
            if random.u8(..50) == 0 {
                *gateway = fresh();
            }
            for _ in 0..random.u64(..=load) {
                gateway.record_first_send();
                second.requests += 1.0;
                while random.u8(..4) > 0 && gateway.take_token() {
                    second.repeats += 1.0;
                }
            }
        }
    }
    seconds
}

#[rstest]
fn repeats_of_all_gateways_stay_within_the_fleets_budget(
    #[values(1, 2, 9, 40)] known: u32,
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)] seed: u64,
) {
    for window in history(seed, known).windows(WINDOW_S) {
        let requests: f64 = window.iter().map(|second| second.requests).sum();
        let repeats: f64 = window.iter().map(|second| second.repeats).sum();
        assert!(repeats <= RATIO * requests + SPARE, "{repeats} repeats of {requests} requests");
    }
}

/// What all gateways have saved up, those included that nobody knows of yet, is within the spare attempts.
#[rstest]
fn repeats_after_a_quiet_time_stay_within_the_spare_attempts(#[values(1, 2, 9, 40)] known: u32) {
    let mut repeats = 0;
    for _ in 0..2 * known {
        let mut budget = RetryBudget::new(RetryAllowance { ratio: RATIO, spare: SPARE });
        budget.set_proxy_count(known);
        (0..10_000).for_each(|_| budget.record_first_send());
        repeats += (0..1_000).filter(|_| budget.take_token()).count();
    }
    assert!(repeats as f64 <= SPARE, "{repeats} repeats");
}

#[test]
fn a_budget_begins_empty_and_without_room() {
    let mut budget = RetryBudget::new(RetryAllowance { ratio: 1.0, spare: 100.0 });
    (0..10).for_each(|_| budget.record_first_send());
    assert!(!budget.take_token(), "nothing is known of other gateways");
    budget.set_proxy_count(10);
    assert!(!budget.take_token());
    (0..100).for_each(|_| budget.record_first_send());
    assert_eq!((0..100).filter(|_| budget.take_token()).count(), 5, "half of the spare, shared by ten");
    budget.record_first_send();
    assert!(!budget.has_token(), "0.9 of a token is none");
}

#[test]
fn more_gateways_leave_each_less_at_once() {
    let mut budget = RetryBudget::new(RetryAllowance { ratio: 1.0, spare: 100.0 });
    budget.set_proxy_count(1);
    (0..100).for_each(|_| budget.record_first_send());
    budget.set_proxy_count(50);
    assert!(budget.take_token());
    assert!(!budget.take_token());
}
