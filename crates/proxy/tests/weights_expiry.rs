//! Requests that wait at a replica whose weights are withdrawn.

mod support;

use std::time::Duration;

use rstest::rstest;
use support::{Bench, LAST, Part, event, ok, post_with, status, stream_head};
use tulipridge_configuration::number::WeightsRevision;
use tulipridge_protocol::feed::{ModelRevision, ModelWeights, Position, WeightsTable};
use tulipridge_protocol::number::{ChangeNumber, Epoch};
use tulipridge_proxy::replica::weights_expiry::WeightsExpiry;
use tulipridge_runtime::settings::RevisionTerm;

/// The operator's term: a part of it is left after a withdrawal.
const REVISION_MS: u64 = 600;
/// A budget that lets each request be repeated.
const BUDGET: (f64, u64) = (2.0, 100);

fn request(path: &str) -> String {
    post_with(path, "a1", "Llm: m\r\n").replace("Time-Left-Ms: 6000", "Time-Left-Ms: 3000")
}

/// What a client gets whose request waits at a replica when its weights are withdrawn, and how many replicas saw it.
fn wait_on_withdrawn_weights(path: &str) -> (String, usize) {
    let bench = Bench::with_revision_term(2, REVISION_MS, BUDGET);
    bench.next(&[Part::Wait, Part::Write(ok("begun on withdrawn weights"))]);
    bench.run(async {
        let mut client = bench.connect().await;
        client.send(&request(path)).await;
        bench.until(|| bench.arrivals() == 1).await;
        bench.withdraw_at_busy(5);
        let answer = client.answer().await;
        let ended = || bench.replicas.iter().map(|replica| replica.ended.get()).sum::<usize>();
        bench.until(|| ended() == 1).await;
        assert_eq!(bench.proxy.counters.weights_expired.get(), 1);
        (answer, bench.arrivals())
    })
}

#[test]
fn a_resumable_request_that_waits_on_withdrawn_weights_is_sent_to_newer_ones() {
    let (answer, arrivals) = wait_on_withdrawn_weights("/resumable/");
    assert_eq!(status(&answer), "200", "{answer}");
    assert!(answer.ends_with("served"), "{answer}");
    assert_eq!(arrivals, 2);
}

#[rstest]
#[case("/stream/")]
#[case("/risky/")]
fn one_that_must_not_run_twice_fails_without_a_promise(#[case] path: &str) {
    let (answer, arrivals) = wait_on_withdrawn_weights(path);
    assert_eq!(status(&answer), "502", "{answer}");
    assert_eq!(arrivals, 1);
}

#[test]
fn a_response_that_has_begun_continues_when_its_weights_are_withdrawn() {
    let bench = Bench::with_revision_term(2, REVISION_MS, BUDGET);
    bench.next(&[Part::Write(stream_head() + &event(1)), Part::Wait, Part::Write(event(2) + LAST)]);
    let answer = bench.run(async {
        let mut client = bench.connect().await;
        client.send(&request("/stream/")).await;
        bench.until(|| bench.arrivals() == 1).await;
        // The first event has come before the update, and the rest comes after the term.
        support::settle().await;
        bench.withdraw_at_busy(5);
        bench.proxy.weights_expired(&weights("m", 4)).await;
        bench.release();
        client.answer().await
    });
    assert!(answer.contains("d2") && !answer.ends_with("(cut)"), "{answer}");
}

#[test]
fn a_request_of_another_model_waits_on() {
    let bench = Bench::with_revision_term(2, REVISION_MS, BUDGET);
    bench.next(&[Part::Wait, Part::Write(ok("another model"))]);
    let answer = bench.run(async {
        let mut client = bench.connect().await;
        client.send(&request("/stream/").replace("Llm: m", "Llm: other")).await;
        bench.until(|| bench.arrivals() == 1).await;
        bench.withdraw_at_busy(5);
        bench.proxy.weights_expired(&weights("m", 4)).await;
        bench.release();
        client.answer().await
    });
    assert!(answer.ends_with("another model"), "{answer}");
}

// ---- the limits alone -------------------------------------------------------------------------------------

/// Requests are cancelled 11.28 s after the naming, 1.08 s after the withdrawal.
const TERM: RevisionTerm = RevisionTerm::new(Duration::from_secs(12));

fn weights(model: &str, revision: u64) -> ModelRevision {
    ModelRevision { model: model.to_owned(), revision: WeightsRevision(revision) }
}

fn table(named: u64, expired: u64) -> WeightsTable {
    let line = ModelWeights {
        model: "m".to_owned(),
        named: WeightsRevision(named),
        least: WeightsRevision(expired),
        expired: WeightsRevision(expired),
    };
    WeightsTable { position: Position { epoch: Epoch(1), sequence: ChangeNumber(1) }, models: vec![line] }
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn each_revision_has_the_limit_of_the_first_newer_one_that_expired_them() {
    let mut expiry = WeightsExpiry::new(TERM);
    assert!(!expiry.update(&table(2, 0), ms(1_000)));
    assert!(!expiry.update(&table(4, 0), ms(1_500)));
    assert_eq!(expiry.cancel_at(&weights("m", 1)), None);
    assert!(expiry.update(&table(4, 2), ms(11_200)));
    assert!(expiry.update(&table(4, 4), ms(11_700)));
    assert_eq!(expiry.cancel_at(&weights("m", 1)), Some(ms(12_280)));
    assert_eq!(expiry.cancel_at(&weights("m", 2)), Some(ms(12_780)));
    assert_eq!(expiry.cancel_at(&weights("m", 4)), None);
    assert_eq!(expiry.cancel_at(&weights("other", 1)), None);
}

#[rstest]
#[case::in_time(11_200, 12_280)]
#[case::late(11_600, 12_280)]
#[case::so_late_that_orders_need_the_time(12_100, 12_500)]
#[case::soon_after_a_newer_gateway_started(1_000, 2_080)]
fn what_is_left_of_the_term_is_reckoned_from_the_naming(#[case] told: u64, #[case] limit: u64) {
    let mut expiry = WeightsExpiry::new(TERM);
    expiry.update(&table(2, 0), ms(1_000));
    expiry.update(&table(2, 2), ms(told));
    assert_eq!(expiry.cancel_at(&weights("m", 1)), Some(ms(limit)));
}

#[test]
fn a_limit_that_is_known_does_not_move() {
    let mut expiry = WeightsExpiry::new(TERM);
    expiry.update(&table(2, 2), ms(1_000));
    assert!(!expiry.update(&table(2, 2), ms(1_300)));
    assert!(!expiry.update(&table(2, 1), ms(1_400)));
    assert_eq!(expiry.cancel_at(&weights("m", 1)), Some(ms(2_080)));
}

#[test]
fn revisions_whose_limit_has_passed_stay_past_it() {
    let mut expiry = WeightsExpiry::new(TERM);
    for (index, revision) in (2..=7).enumerate() {
        expiry.update(&table(7, revision), ms(2_000 * index as u64));
    }
    // Ten seconds on, the limits of revisions up to 5 have passed.
    for revision in 1..=5 {
        let limit = expiry.cancel_at(&weights("m", revision)).expect("a limit");
        assert!(limit <= ms(10_000), "revision {revision} at {limit:?}");
    }
    assert_eq!(expiry.cancel_at(&weights("m", 6)), Some(ms(11_080)));
}
