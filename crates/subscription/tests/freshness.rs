//! Freshness: whatever the delays, the age of the state is never understated.

use std::time::Duration;

use rstest::rstest;
use tulipridge_subscription::Freshness;

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn freshness_is_the_ping_time_minus_the_publishers_age() {
    let mut freshness = Freshness::new();
    assert_eq!(freshness.age(ms(1)), None);
    freshness.record_ping(1, ms(5_000));
    freshness.record_pong(1, Some(ms(120)), ms(5_900));
    assert_eq!(freshness.fresh_as_of(), Some(ms(4_880)));
    assert_eq!(freshness.age(ms(6_000)), Some(ms(1_120)));
}

#[test]
fn an_older_pong_does_not_move_freshness_back() {
    let mut freshness = Freshness::new();
    freshness.record_ping(1, ms(5_000));
    freshness.record_pong(1, Some(ms(0)), ms(5_001));
    freshness.record_ping(2, ms(5_300));
    freshness.record_pong(2, Some(ms(4_000)), ms(5_301));
    assert_eq!(freshness.fresh_as_of(), Some(ms(5_000)));
}

#[test]
fn a_time_before_the_clocks_origin_has_only_an_age() {
    let mut freshness = Freshness::new();
    freshness.record_ping(1, ms(10));
    freshness.record_pong(1, Some(ms(400)), ms(20));
    assert_eq!(freshness.fresh_as_of(), None);
    assert_eq!(freshness.age(ms(20)), Some(ms(410)));
}

#[rstest]
#[case::without_an_age(1, None, ms(100))]
#[case::unknown_ping(7, Some(ms(0)), ms(100))]
#[case::expired_ping(1, Some(ms(0)), ms(60_000))]
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
fn pongs_after_the_end_of_a_connection_are_ignored() {
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

/// A process in simulated time. Its clock is the true time plus `clock_offset`.
struct Hop {
    clock_offset: Duration,
    freshness: Freshness,
    /// True time at which the state was certainly the newest.
    true_fresh_as_of: Option<Duration>,
    next_ping_id: u64,
    exchanges: Vec<Exchange>,
}

/// A ping on its way to the publisher, later its pong on the way back.
struct Exchange {
    id: u64,
    due_at: Duration,
    pong: Option<Pong>,
}

/// A pong, and the true time at which the state that precedes it was the newest.
#[derive(Clone, Copy)]
struct Pong {
    age: Option<Duration>,
    true_fresh_as_of: Option<Duration>,
}

impl Hop {
    fn new(clock_offset: Duration) -> Self {
        Hop {
            clock_offset,
            freshness: Freshness::new(),
            true_fresh_as_of: None,
            next_ping_id: 1,
            exchanges: Vec::new(),
        }
    }

    fn clock(&self, time: Duration) -> Duration {
        time + self.clock_offset
    }

    fn ping(&mut self, time: Duration, delay: Duration) {
        let id = self.next_ping_id;
        self.next_ping_id += 1;
        self.freshness.record_ping(id, self.clock(time));
        self.exchanges.push(Exchange { id, due_at: time + delay, pong: None });
    }

    fn pong(&self, time: Duration) -> Pong {
        Pong { age: self.freshness.age(self.clock(time)), true_fresh_as_of: self.true_fresh_as_of }
    }

    fn receive_pong(&mut self, id: u64, pong: Pong, time: Duration) {
        self.freshness.record_pong(id, pong.age, self.clock(time));
        self.true_fresh_as_of = self.true_fresh_as_of.max(pong.true_fresh_as_of);
    }
}

/// Delay by a connection or a frozen process: mostly short, with 1 in 10 of up to 8 s.
fn delay(random: &mut fastrand::Rng) -> Duration {
    let max_delay_ms = if random.u32(..10) == 0 { 8_000 } else { 80 };
    ms(random.u64(..max_delay_ms))
}

/// Three hops behind a primary that has its lease only at times. The age at each hop is compared with the true time
/// at which the hop's state was the primary's newest.
#[rstest]
fn ages_are_never_understated_over_three_hops(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut hops = [Hop::new(ms(0)), Hop::new(ms(900_000)), Hop::new(ms(17))];
    let mut lease_until = Duration::ZERO;
    let mut checked_ages = 0;
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
            let pending = std::mem::take(&mut hop.exchanges);
            for mut exchange in pending {
                if exchange.due_at > time {
                    hop.exchanges.push(exchange);
                } else if let Some(pong) = exchange.pong {
                    hop.receive_pong(exchange.id, pong, time);
                } else {
                    let primary = Pong {
                        age: (time < lease_until).then_some(Duration::ZERO),
                        true_fresh_as_of: (time < lease_until).then_some(time),
                    };
                    exchange.pong = Some(publisher.map_or(primary, |hop| hop.pong(time)));
                    exchange.due_at = time + delay(&mut random);
                    hop.exchanges.push(exchange);
                }
            }
        }
        for hop in &hops {
            let Some(age) = hop.freshness.age(hop.clock(time)) else { continue };
            let true_fresh_as_of = hop.true_fresh_as_of.expect("an age requires an earlier pong");
            assert!(time - age <= true_fresh_as_of, "claimed {:?}, true {true_fresh_as_of:?}", time - age);
            checked_ages += 1;
        }
    }
    assert!(checked_ages > 10_000, "too few known ages were checked: {checked_ages}");
}
