//! Freshness is never claimed beyond the truth, whatever delays there are.

use std::time::Duration;

use rstest::rstest;
use tulipridge_subscription::Freshness;

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn is_the_time_of_the_ping_less_the_age() {
    let mut freshness = Freshness::new();
    assert_eq!(freshness.age(ms(1)), None);
    freshness.record_ping(1, ms(5_000));
    freshness.record_pong(1, Some(ms(120)), ms(5_900));
    assert_eq!(freshness.fresh_as_of(), Some(ms(4_880)));
    assert_eq!(freshness.age(ms(6_000)), Some(ms(1_120)));
}

#[test]
fn moves_only_forward() {
    let mut freshness = Freshness::new();
    freshness.record_ping(1, ms(5_000));
    freshness.record_pong(1, Some(ms(0)), ms(5_001));
    freshness.record_ping(2, ms(5_300));
    freshness.record_pong(2, Some(ms(4_000)), ms(5_301));
    assert_eq!(freshness.fresh_as_of(), Some(ms(5_000)));
}

#[test]
fn a_moment_before_the_clock_began_has_an_age_but_no_reading() {
    let mut freshness = Freshness::new();
    freshness.record_ping(1, ms(10));
    freshness.record_pong(1, Some(ms(400)), ms(20));
    assert_eq!(freshness.fresh_as_of(), None);
    assert_eq!(freshness.age(ms(20)), Some(ms(410)));
}

#[rstest]
#[case::without_freshness(1, None, ms(100))]
#[case::unknown(7, Some(ms(0)), ms(100))]
#[case::expired(1, Some(ms(0)), ms(60_000))]
fn a_pong_is_ignored(#[case] id: u64, #[case] age: Option<Duration>, #[case] now: Duration) {
    let mut freshness = Freshness::new();
    freshness.record_ping(1, ms(50));
    freshness.record_pong(id, age, now);
    assert_eq!(freshness.age(now), None);
}

#[test]
fn a_pong_counts_once_and_drops_earlier_pings() {
    let mut freshness = Freshness::new();
    freshness.record_ping(1, ms(1_000));
    freshness.record_ping(2, ms(1_300));
    freshness.record_pong(2, None, ms(1_400));
    freshness.record_pong(2, Some(ms(0)), ms(1_500));
    freshness.record_pong(1, Some(ms(0)), ms(1_600));
    assert_eq!(freshness.fresh_as_of(), None);
}

#[test]
fn the_end_of_a_connection_drops_its_pings() {
    let mut freshness = Freshness::new();
    freshness.record_ping(1, ms(1_000));
    freshness.drop_pending_pings();
    freshness.record_pong(1, Some(ms(0)), ms(1_100));
    assert_eq!(freshness.fresh_as_of(), None);
}

#[test]
fn pending_pings_are_bounded() {
    let mut freshness = Freshness::new();
    for id in 1..=1_000 {
        freshness.record_ping(id, ms(id));
    }
    freshness.record_pong(1, Some(ms(0)), ms(1_001));
    assert_eq!(freshness.fresh_as_of(), None);
    freshness.record_pong(1_000, Some(ms(0)), ms(1_002));
    assert_eq!(freshness.fresh_as_of(), Some(ms(1_000)));
}

/// A process in virtual time. Its clock is true time plus an offset of its own.
struct Hop {
    offset: Duration,
    freshness: Freshness,
    /// True time at which its state was certainly the newest, as the test knows.
    truth: Option<Duration>,
    next_ping: u64,
    waiting: Vec<Exchange>,
}

/// A ping under way, then its answer.
struct Exchange {
    id: u64,
    due: Duration,
    answer: Option<Answer>,
}

/// A publisher's answer, and the truth about the state that goes before it.
#[derive(Clone, Copy)]
struct Answer {
    age: Option<Duration>,
    truth: Option<Duration>,
}

impl Hop {
    fn new(offset: Duration) -> Self {
        Hop { offset, freshness: Freshness::new(), truth: None, next_ping: 1, waiting: Vec::new() }
    }

    fn clock(&self, time: Duration) -> Duration {
        time + self.offset
    }

    fn ping(&mut self, time: Duration, delay: Duration) {
        let id = self.next_ping;
        self.next_ping += 1;
        self.freshness.record_ping(id, self.clock(time));
        self.waiting.push(Exchange { id, due: time + delay, answer: None });
    }

    fn answer(&self, time: Duration) -> Answer {
        Answer { age: self.freshness.age(self.clock(time)), truth: self.truth }
    }

    fn take(&mut self, id: u64, answer: Answer, time: Duration) {
        self.freshness.record_pong(id, answer.age, self.clock(time));
        self.truth = self.truth.max(answer.truth);
    }
}

/// A delay of a link or a frozen process: mostly short, sometimes of seconds.
fn delay(random: &mut fastrand::Rng) -> Duration {
    let bound = if random.u32(..10) == 0 { 8_000 } else { 80 };
    ms(random.u64(..bound))
}

/// Three hops behind a primary that holds its lease only at times. Each hop's claim is compared with the true time
/// at which the state that it has was the primary's newest.
#[rstest]
fn is_sound_over_three_hops(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut hops = [Hop::new(ms(0)), Hop::new(ms(900_000)), Hop::new(ms(17))];
    let mut lease_until = Duration::ZERO;
    let mut claims = 0;
    for step in 0..60_000 {
        let time = ms(100_000 + step);
        if random.u32(..2_000) == 0 {
            lease_until = time + ms(random.u64(..6_000));
        }
        for index in 0..hops.len() {
            if step % 300 == 0 {
                hops[index].ping(time, delay(&mut random));
            }
            let (before, rest) = hops.split_at_mut(index);
            let (hop, publisher) = (&mut rest[0], before.last());
            let due = std::mem::take(&mut hop.waiting);
            for mut exchange in due {
                if exchange.due > time {
                    hop.waiting.push(exchange);
                } else if let Some(answer) = exchange.answer {
                    hop.take(exchange.id, answer, time);
                } else {
                    let primary = Answer {
                        age: (time < lease_until).then_some(Duration::ZERO),
                        truth: (time < lease_until).then_some(time),
                    };
                    exchange.answer = Some(publisher.map_or(primary, |hop| hop.answer(time)));
                    exchange.due = time + delay(&mut random);
                    hop.waiting.push(exchange);
                }
            }
        }
        for hop in &hops {
            let Some(age) = hop.freshness.age(hop.clock(time)) else { continue };
            let truth = hop.truth.expect("a claim rests on an answer");
            assert!(time - age <= truth, "claims {:?}, but knows only {truth:?}", time - age);
            claims += 1;
        }
    }
    assert!(claims > 10_000, "the hops have hardly ever been fresh: {claims}");
}
