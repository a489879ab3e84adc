//! The priorities of requests, from the rank and the length of the prompt.

mod support;

use rstest::rstest;
use support::{Harness, header, post_with};
use tulipridge_configuration::number::Priority;
use tulipridge_proxy::placement::urgency::Urgency;

const MEAN_TOKENS: u32 = 3_000;

/// The state after many requests of the mean length.
fn after_mean_requests() -> Urgency {
    let mut urgency = Urgency::default();
    for _ in 0..100 {
        urgency.priority(Priority(0), MEAN_TOKENS);
    }
    urgency
}

#[rstest]
#[case::short(1, 1_000, 1)]
#[case::mean(1, 3_000, 1)]
#[case::long(1, 4_000, 2)]
#[case::longer(1, 10_000, 3)]
#[case::longest(1, 53_000, 4)]
#[case::least_urgent(9, 53_000, 9)]
#[case::maximum_rank(255, 0, 9)]
fn long_prompts_are_less_urgent(#[case] rank: u8, #[case] unread: u32, #[case] expected: u8) {
    assert_eq!(after_mean_requests().priority(Priority(rank), unread), expected);
}

#[rstest]
fn rank_decides_between_prompts_of_equal_length(#[values(0, 3_000, 4_000, 15_000, 100_000)] unread: u32) {
    assert!((0..6).all(|rank| after_mean_requests().priority(Priority(rank), unread)
        < after_mean_requests().priority(Priority(rank + 1), unread)));
}

#[test]
fn a_short_prompt_precedes_a_long_one_of_the_next_higher_rank() {
    assert!(
        after_mean_requests().priority(Priority(2), 1_100)
            < after_mean_requests().priority(Priority(1), 17_000)
    );
    assert!(
        after_mean_requests().priority(Priority(1), 1_100)
            < after_mean_requests().priority(Priority(0), 17_000)
    );
}

#[test]
fn the_first_request_sets_the_mean_and_later_ones_move_it() {
    let mut urgency = Urgency::default();
    assert_eq!(urgency.priority(Priority(1), 17_000), 1);
    assert_eq!(urgency.priority(Priority(1), 17_000), 1);
    for _ in 0..400 {
        urgency.priority(Priority(1), 1_000);
    }
    assert_eq!(urgency.priority(Priority(1), 17_000), 4);
}

#[test]
fn a_replica_is_sent_a_lower_priority_for_a_long_prompt() {
    let harness = Harness::start(1);
    let prompts = ["5c1e07a2:800,e4402b7d:250", "5c1e07a3:800,e4402b7e:250", "5c1e07a4:40000,e4402b7f:250"];
    harness.run(async {
        for prompt in prompts {
            let headers = format!("Llm: m\r\nPrompt-Start: {prompt}\r\n");
            harness.send_request(&post_with("/stream/", "t1", &headers)).await;
        }
    });
    let sent = harness.replicas[0].requests.borrow();
    let priorities: Vec<_> = sent.iter().filter_map(|request| header(request, "Priority")).collect();
    assert_eq!(priorities, ["3", "3", "6"]);
}
