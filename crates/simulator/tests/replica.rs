//! An emulated replica, step by step.

use std::time::Duration;

use tulipridge::types::Nanos;
use tulipridge_simulator::experiment::{MachineKind, Replicas};
use tulipridge_simulator::replica::{AttemptId, Job, PrefixId, Replica, StepEvent};
use tulipridge_simulator::time::{MILLISECOND, SECOND};

/// Replicas of one kind, with a batch of two requests.
fn settings() -> Replicas {
    let kind = MachineKind {
        fraction: 1.0,
        units: 1.0,
        speed: 1.0,
        batch_size: 2,
        capacity_tokens: 10_000,
        step_duration: Duration::from_millis(10),
        prefill_tokens_per_s: 10_000.0,
    };
    let kinds = [("one".to_owned(), kind)].into();
    Replicas {
        count: 1,
        kinds,
        slow_start_capacity: 0.25,
        slow_start_duration: Duration::from_secs(8),
        prefill_chunk_tokens: 1000,
        load_reports: None,
        overload_factor: 2.5,
        overload_window: Duration::from_secs(3),
    }
}

fn attempt(request: u64) -> AttemptId {
    AttemptId { request, attempt: 0 }
}

fn first_token(request: u64) -> StepEvent {
    StepEvent::FirstToken(attempt(request))
}

fn completed(request: u64, cached_tokens: u32) -> StepEvent {
    StepEvent::Completed { id: attempt(request), cached_tokens }
}

/// A request with a prompt of 1,500 tokens, the first 1,000 of them shared, and a response of two tokens.
fn job(request: u64, session: u64) -> Job {
    Job {
        id: attempt(request),
        prefix: PrefixId { class: 0, rank: 1 },
        session,
        prompt_tokens: 1500,
        prefix_tokens: 1000,
        response_tokens: 2,
    }
}

fn replica(settings: &Replicas) -> Replica {
    Replica::new("r".into(), 0, 0, &settings.kinds["one"], 1.0)
}

/// Runs steps until there is no work, and returns the events with their times.
fn run_steps(replica: &mut Replica, settings: &Replicas, mut now: Nanos) -> Vec<(Nanos, StepEvent)> {
    let mut timed_events = Vec::new();
    while let Some(duration) = replica.begin_step(now, settings) {
        now += duration;
        let mut events = Vec::new();
        replica.end_step(now, &mut events);
        timed_events.extend(events.into_iter().map(|event| (now, event)));
    }
    timed_events
}

#[test]
fn prefill_is_chunked_and_skips_a_cached_prefix() {
    let settings = settings();
    let mut replica = replica(&settings);
    replica.enqueue(job(1, 1));
    // 1,000 and 500 tokens at 10,000 a second and two steps of 10 ms, then a step for the second token.
    let first = run_steps(&mut replica, &settings, 0);
    assert_eq!(first, [(170 * MILLISECOND, first_token(1)), (180 * MILLISECOND, completed(1, 0))]);
    replica.enqueue(job(2, 2));
    let second = run_steps(&mut replica, &settings, 0);
    assert_eq!(second, [(60 * MILLISECOND, first_token(2)), (70 * MILLISECOND, completed(2, 1000))]);
    replica.enqueue(job(3, 2));
    let same_session = run_steps(&mut replica, &settings, 0);
    assert_eq!(same_session[1].1, completed(3, 1499), "all but the last token is cached");
}

#[test]
fn a_request_beyond_the_batch_waits_until_one_is_cancelled() {
    let settings = settings();
    let mut replica = replica(&settings);
    for request in 1..=3 {
        replica.enqueue(job(request, request));
    }
    assert!(replica.begin_step(0, &settings).is_some());
    assert_eq!((replica.in_flight(), replica.queued()), (3, 1));
    assert!(replica.cancel(attempt(1)) && !replica.cancel(attempt(1)));
    replica.end_step(0, &mut Vec::new());
    replica.begin_step(0, &settings);
    assert_eq!((replica.in_flight(), replica.queued()), (2, 0));
}

#[test]
fn a_replica_is_slower_in_slow_start() {
    let settings = settings();
    let mut replica = replica(&settings);
    assert_eq!(replica.crash().len(), 0);
    replica.start(SECOND);
    let step_duration = |replica: &mut Replica, at: Nanos| {
        replica.enqueue(job(at, at));
        let duration = replica.begin_step(at, &settings);
        replica.crash();
        replica.is_running = true;
        duration.unwrap_or(0)
    };
    assert_eq!(step_duration(&mut replica, SECOND), 4 * 110 * MILLISECOND);
    assert_eq!(step_duration(&mut replica, 9 * SECOND), 110 * MILLISECOND);
}
