//! The age of announced target revisions, as measured by every member that may become primary.

use std::time::Duration;

use tulipridge_configuration::number::WeightsRevision;
use tulipridge_control_plane::rollout::AnnouncementTimes;

const START: Duration = Duration::from_secs(100);
/// By this time a member has followed for long enough that it sees new announcements at once.
const CAUGHT_UP: Duration = Duration::from_secs(102);

fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// A member that has followed a primary for a while.
fn caught_up() -> AnnouncementTimes {
    let mut times = AnnouncementTimes::new(START);
    times.advance(CAUGHT_UP, true);
    times
}

/// A member that has caught up, and saw one revision first 5 s ago and two others 2 s ago.
fn with_two_announcements() -> AnnouncementTimes {
    let mut times = caught_up();
    times.record("m", WeightsRevision(2));
    times.advance(CAUGHT_UP + secs(3), true);
    times.record("m", WeightsRevision(3));
    times.record("other", WeightsRevision(7));
    times.advance(CAUGHT_UP + secs(5), true);
    times
}

#[test]
fn each_announcement_has_its_own_age() {
    let times = with_two_announcements();
    assert_eq!(times.age("m", WeightsRevision(2)), Some(secs(5)));
    assert_eq!(times.age("m", WeightsRevision(3)), Some(secs(2)));
    assert_eq!(times.age("other", WeightsRevision(7)), Some(secs(2)));
    assert_eq!(times.age("m", WeightsRevision(4)), None);
}

#[test]
fn an_announcement_that_is_seen_again_keeps_its_age() {
    let mut times = with_two_announcements();
    times.record("m", WeightsRevision(2));
    times.record("m", WeightsRevision(3));
    assert_eq!(times.age("m", WeightsRevision(2)), Some(secs(5)));
    assert_eq!(times.age("m", WeightsRevision(3)), Some(secs(2)));
}

#[test]
fn at_most_a_second_without_a_primary_counts_towards_the_age() {
    let mut times = caught_up();
    times.record("m", WeightsRevision(2));
    times.advance(CAUGHT_UP + secs(1), true);
    times.advance(CAUGHT_UP + secs(8), false);
    assert_eq!(times.age("m", WeightsRevision(2)), Some(secs(2)));
    times.advance(CAUGHT_UP + secs(20), false);
    assert_eq!(times.age("m", WeightsRevision(2)), Some(secs(2)));
    times.advance(CAUGHT_UP + secs(21), true);
    assert_eq!(times.age("m", WeightsRevision(2)), Some(secs(3)));
}

#[test]
fn a_short_time_without_a_primary_counts_towards_the_age() {
    let mut times = caught_up();
    times.record("m", WeightsRevision(2));
    for step in 1..=4 {
        times.advance(CAUGHT_UP + Duration::from_millis(200 * step), false);
    }
    times.advance(CAUGHT_UP + secs(1), true);
    assert_eq!(times.age("m", WeightsRevision(2)), Some(secs(1)));
}

#[test]
fn a_target_seen_right_after_the_start_is_assumed_to_be_older() {
    let mut times = AnnouncementTimes::new(START);
    times.advance(START + secs(1), true);
    times.record("m", WeightsRevision(2));
    assert_eq!(times.age("m", WeightsRevision(2)), Some(secs(5)));
    times.advance(START + secs(4), true);
    times.record("m", WeightsRevision(3));
    assert_eq!(times.age("m", WeightsRevision(2)), Some(secs(8)));
    assert_eq!(times.age("m", WeightsRevision(3)), Some(Duration::ZERO));
}

#[test]
fn a_target_seen_before_any_primary_is_assumed_to_be_older() {
    let mut times = AnnouncementTimes::new(START);
    times.advance(START + secs(30), false);
    times.record("m", WeightsRevision(2));
    assert_eq!(times.age("m", WeightsRevision(2)), Some(secs(5)));
}
