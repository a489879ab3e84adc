//! Requests that wait at a replica whose weights are withdrawn, and the deadlines by which they are cancelled.

mod support;

use std::time::Duration;

use rstest::rstest;
use support::{Harness, LAST_CHUNK, Step, event, ok, post_with, status, stream_head};
use tulipridge_configuration::number::WeightsRevision;
use tulipridge_protocol::feed::{ModelRevision, ModelWeights, Position, WeightsTable};
use tulipridge_protocol::number::{ChangeNumber, Epoch};
use tulipridge_proxy::replica::weights_expiry::WeightsExpiry;
use tulipridge_runtime::settings::RevisionTerm;

/// The operator's time limit for a change to new weights. Some of it is left after a withdrawal.
const REVISION_MS: u64 = 600;
/// Retry ratio and spare attempts that allow a retry of each request.
const BUDGET: (f64, u64) = (2.0, 100);

fn request(path: &str) -> String {
    post_with(path, "a1", "Llm: m\r\n").replace("Time-Left-Ms: 6000", "Time-Left-Ms: 3000")
}

/// Withdraws the weights of the replica at which a request waits. Returns the response and the number of replicas that
/// received the request.
fn send_to_withdrawn_weights(path: &str) -> (String, usize) {
    let harness = Harness::with_revision_term(2, REVISION_MS, BUDGET);
    harness.script_next_request(&[Step::Wait, Step::Write(ok("begun on withdrawn weights"))]);
    harness.run(async {
        let mut client = harness.connect().await;
        client.send(&request(path)).await;
        harness.wait_until(|| harness.arrivals() == 1).await;
        harness.withdraw_weights_of_busy_replicas(5);
        let response = client.read_response().await;
        let closed_connections =
            || harness.replicas.iter().map(|replica| replica.closed_connections.get()).sum::<usize>();
        harness.wait_until(|| closed_connections() == 1).await;
        assert_eq!(harness.proxy.counters.weights_expired.get(), 1);
        (response, harness.arrivals())
    })
}

#[test]
fn a_resumable_request_on_withdrawn_weights_is_retried() {
    let (response, arrivals) = send_to_withdrawn_weights("/resumable/");
    assert_eq!(status(&response), "200", "{response}");
    assert!(response.ends_with("served"), "{response}");
    assert_eq!(arrivals, 2);
}

#[rstest]
#[case("/stream/")]
#[case("/risky/")]
fn a_non_idempotent_request_on_withdrawn_weights_gets_502(#[case] path: &str) {
    let (response, arrivals) = send_to_withdrawn_weights(path);
    assert_eq!(status(&response), "502", "{response}");
    assert_eq!(arrivals, 1);
}

#[test]
fn a_started_response_outlasts_the_withdrawal_of_its_weights() {
    let harness = Harness::with_revision_term(2, REVISION_MS, BUDGET);
    harness.script_next_request(&[
        Step::Write(stream_head() + &event(1)),
        Step::Wait,
        Step::Write(event(2) + LAST_CHUNK),
    ]);
    let response = harness.run(async {
        let mut client = harness.connect().await;
        client.send(&request("/stream/")).await;
        harness.wait_until(|| harness.arrivals() == 1).await;
        // The first event arrives before the update, and the rest after the term.
        support::settle().await;
        harness.withdraw_weights_of_busy_replicas(5);
        harness.proxy.weights_expired(&weights("m", 4)).await;
        harness.release();
        client.read_response().await
    });
    assert!(response.contains("d2") && !response.ends_with("(truncated)"), "{response}");
}

#[test]
fn a_request_for_another_model_is_not_cancelled() {
    let harness = Harness::with_revision_term(2, REVISION_MS, BUDGET);
    harness.script_next_request(&[Step::Wait, Step::Write(ok("another model"))]);
    let response = harness.run(async {
        let mut client = harness.connect().await;
        client.send(&request("/stream/").replace("Llm: m", "Llm: other")).await;
        harness.wait_until(|| harness.arrivals() == 1).await;
        harness.withdraw_weights_of_busy_replicas(5);
        harness.proxy.weights_expired(&weights("m", 4)).await;
        harness.release();
        client.read_response().await
    });
    assert!(response.ends_with("another model"), "{response}");
}

// ---- cancellation deadlines -------------------------------------------------------------------------------

/// With this term, requests are cancelled 11.28 s after the announcement, which is 1.08 s after the withdrawal.
const TERM: RevisionTerm = RevisionTerm::new(Duration::from_secs(12));

fn weights(model: &str, revision: u64) -> ModelRevision {
    ModelRevision { model: model.to_owned(), revision: WeightsRevision(revision) }
}

fn weights_table(named: u64, expired: u64) -> WeightsTable {
    let model_weights = ModelWeights {
        model: "m".to_owned(),
        target: WeightsRevision(named),
        minimum: WeightsRevision(expired),
        expired_below: WeightsRevision(expired),
    };
    WeightsTable {
        position: Position { epoch: Epoch(1), sequence: ChangeNumber(1) },
        models: vec![model_weights],
    }
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn the_first_newer_revision_sets_the_cancellation_deadline() {
    let mut expiry = WeightsExpiry::new(TERM);
    assert!(!expiry.update(&weights_table(2, 0), ms(1_000)));
    assert!(!expiry.update(&weights_table(4, 0), ms(1_500)));
    assert_eq!(expiry.cancel_at(&weights("m", 1)), None);
    assert!(expiry.update(&weights_table(4, 2), ms(11_200)));
    assert!(expiry.update(&weights_table(4, 4), ms(11_700)));
    assert_eq!(expiry.cancel_at(&weights("m", 1)), Some(ms(12_280)));
    assert_eq!(expiry.cancel_at(&weights("m", 2)), Some(ms(12_780)));
    assert_eq!(expiry.cancel_at(&weights("m", 4)), None);
    assert_eq!(expiry.cancel_at(&weights("other", 1)), None);
}

#[rstest]
#[case::in_time(11_200, 12_280)]
#[case::late(11_600, 12_280)]
#[case::too_late_for_the_usual_deadline(12_100, 12_500)]
#[case::gateway_started_during_the_rollout(1_000, 2_080)]
fn the_remaining_term_is_counted_from_the_announcement(
    #[case] withdrawn_at_ms: u64,
    #[case] expected_ms: u64,
) {
    let mut expiry = WeightsExpiry::new(TERM);
    expiry.update(&weights_table(2, 0), ms(1_000));
    expiry.update(&weights_table(2, 2), ms(withdrawn_at_ms));
    assert_eq!(expiry.cancel_at(&weights("m", 1)), Some(ms(expected_ms)));
}

#[test]
fn a_known_deadline_does_not_change() {
    let mut expiry = WeightsExpiry::new(TERM);
    expiry.update(&weights_table(2, 2), ms(1_000));
    assert!(!expiry.update(&weights_table(2, 2), ms(1_300)));
    assert!(!expiry.update(&weights_table(2, 1), ms(1_400)));
    assert_eq!(expiry.cancel_at(&weights("m", 1)), Some(ms(2_080)));
}

#[test]
fn revisions_past_their_deadline_stay_past_it() {
    let mut expiry = WeightsExpiry::new(TERM);
    for (index, revision) in (2..=7).enumerate() {
        expiry.update(&weights_table(7, revision), ms(2_000 * index as u64));
    }
    // Ten seconds later, the deadlines of revisions up to 5 have passed.
    for revision in 1..=5 {
        let deadline = expiry.cancel_at(&weights("m", revision)).expect("a deadline");
        assert!(deadline <= ms(10_000), "revision {revision} at {deadline:?}");
    }
    assert_eq!(expiry.cancel_at(&weights("m", 6)), Some(ms(11_080)));
}
