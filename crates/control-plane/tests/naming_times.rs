//! How long ago weights were named, as a member that may become primary knows it.

use std::time::Duration;

use tulipridge_control_plane::rollout::NamingTimes;

const START: Duration = Duration::from_secs(100);
/// A member that has followed for so long knows when a name is new.
const SETTLED: Duration = Duration::from_secs(102);

fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// A member that has followed a primary for a while.
fn settled() -> NamingTimes {
    let mut times = NamingTimes::new(START);
    times.advance(SETTLED, true);
    times
}

/// The same, which has heard of one revision 5 s and of another 2 s ago.
fn with_two_names() -> NamingTimes {
    let mut times = settled();
    times.hear("m", 2);
    times.advance(SETTLED + secs(3), true);
    times.hear("m", 3);
    times.hear("other", 7);
    times.advance(SETTLED + secs(5), true);
    times
}

#[test]
fn each_name_ages_by_itself() {
    let times = with_two_names();
    assert_eq!(times.age("m", 2), Some(secs(5)));
    assert_eq!(times.age("m", 3), Some(secs(2)));
    assert_eq!(times.age("other", 7), Some(secs(2)));
    assert_eq!(times.age("m", 4), None);
}

#[test]
fn a_name_that_is_heard_again_does_not_begin_anew() {
    let mut times = with_two_names();
    times.hear("m", 2);
    times.hear("m", 3);
    assert_eq!(times.age("m", 2), Some(secs(5)));
    assert_eq!(times.age("m", 3), Some(secs(2)));
}

#[test]
fn of_time_without_a_primary_the_first_second_counts() {
    let mut times = settled();
    times.hear("m", 2);
    times.advance(SETTLED + secs(1), true);
    times.advance(SETTLED + secs(8), false);
    assert_eq!(times.age("m", 2), Some(secs(2)));
    times.advance(SETTLED + secs(20), false);
    assert_eq!(times.age("m", 2), Some(secs(2)));
    times.advance(SETTLED + secs(21), true);
    assert_eq!(times.age("m", 2), Some(secs(3)));
}

#[test]
fn a_short_time_without_a_primary_counts() {
    let mut times = settled();
    times.hear("m", 2);
    for step in 1..=4 {
        times.advance(SETTLED + Duration::from_millis(200 * step), false);
    }
    times.advance(SETTLED + secs(1), true);
    assert_eq!(times.age("m", 2), Some(secs(1)));
}

#[test]
fn what_is_named_when_a_member_starts_may_be_older() {
    let mut times = NamingTimes::new(START);
    times.advance(START + secs(1), true);
    times.hear("m", 2);
    assert_eq!(times.age("m", 2), Some(secs(5)));
    times.advance(START + secs(4), true);
    times.hear("m", 3);
    assert_eq!(times.age("m", 2), Some(secs(8)));
    assert_eq!(times.age("m", 3), Some(Duration::ZERO));
}

#[test]
fn what_is_heard_before_any_primary_is_known_may_be_older() {
    let mut times = NamingTimes::new(START);
    times.advance(START + secs(30), false);
    times.hear("m", 2);
    assert_eq!(times.age("m", 2), Some(secs(5)));
}
