//! An emulated real server, step by step.

use std::time::Duration;

use tulipridge::types::Nanos;
use tulipridge_simulator::experiment::{Kind, Replicas};
use tulipridge_simulator::replica::{Job, Replica, StepEvent};
use tulipridge_simulator::time::{MILLI, SECOND};

fn all() -> Replicas {
    let kind = Kind {
        share: 1.0,
        units: 1.0,
        speed: 1.0,
        batch: 2,
        memory: 10_000,
        step: Duration::from_millis(10),
        read: 10_000.0,
    };
    let kinds = [("one".to_owned(), kind)].into();
    let (ramp, fall) = (Duration::from_secs(8), Duration::from_secs(3));
    let (reports, fall_multiple) = (None, 2.5);
    Replicas { count: 1, kinds, cold_from: 0.25, ramp, chunk: 1000, reports, fall_multiple, fall }
}

fn job(n: u64, session: u64) -> Job {
    Job { id: (n, 0), beginning: (0, 1), session, prompt: 1500, beginning_tokens: 1000, answer: 2 }
}

fn replica(all: &Replicas) -> Replica {
    Replica::new("r".into(), 0, 0, &all.kinds["one"], 1.0)
}

/// Steps until nothing is left; the news with its times.
fn play(replica: &mut Replica, all: &Replicas, mut now: Nanos) -> Vec<(Nanos, StepEvent)> {
    let mut told = Vec::new();
    while let Some(took) = replica.begin(now, all) {
        now += took;
        let mut news = Vec::new();
        replica.end(now, &mut news);
        told.extend(news.into_iter().map(|n| (now, n)));
    }
    told
}

#[test]
fn a_prompt_is_read_in_chunks_and_a_kept_beginning_is_not_read_again() {
    let all = all();
    let mut replica = replica(&all);
    replica.take(job(1, 1));
    // 1,000 and 500 tokens at 10,000 a second and two steps of 10 ms, then a step for the second token.
    let first = play(&mut replica, &all, 0);
    assert_eq!(first, [(170 * MILLI, StepEvent::First((1, 0))), (180 * MILLI, StepEvent::Done((1, 0), 0))]);
    replica.take(job(2, 2));
    let second = play(&mut replica, &all, 0);
    assert_eq!(
        second,
        [(60 * MILLI, StepEvent::First((2, 0))), (70 * MILLI, StepEvent::Done((2, 0), 1000))]
    );
    replica.take(job(3, 2));
    let same_session = play(&mut replica, &all, 0);
    assert_eq!(same_session[1].1, StepEvent::Done((3, 0), 1499), "all but the last token is kept");
}

#[test]
fn what_does_not_fit_the_batch_waits_and_a_dropped_request_makes_room() {
    let all = all();
    let mut replica = replica(&all);
    for n in 1..=3 {
        replica.take(job(n, n));
    }
    assert!(replica.begin(0, &all).is_some());
    assert_eq!((replica.in_hand(), replica.queued()), (3, 1));
    assert!(replica.drop_job((1, 0)) && !replica.drop_job((1, 0)));
    replica.end(0, &mut Vec::new());
    replica.begin(0, &all);
    assert_eq!((replica.in_hand(), replica.queued()), (2, 0));
}

#[test]
fn a_cold_one_is_slower_until_it_has_warmed() {
    let all = all();
    let mut replica = replica(&all);
    assert_eq!(replica.die().len(), 0);
    replica.start(SECOND);
    let took = |replica: &mut Replica, at: Nanos| {
        replica.take(job(at, at));
        let took = replica.begin(at, &all);
        replica.die();
        replica.alive = true;
        took.unwrap_or(0)
    };
    assert_eq!(took(&mut replica, SECOND), 4 * 110 * MILLI);
    assert_eq!(took(&mut replica, 9 * SECOND), 110 * MILLI);
}
