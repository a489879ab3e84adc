//! Requests that wait at a replica whose weights are withdrawn.

mod support;

use support::{Bench, Part, ok, post_with, status};

/// The operator's term: a part of it is left after a withdrawal.
const REVISION_MS: u64 = 2_000;

fn request(path: &str) -> String {
    post_with(path, "a1", "Llm: m\r\n").replace("Time-Left-Ms: 6000", "Time-Left-Ms: 3000")
}

#[test]
fn a_resumable_request_that_waits_on_withdrawn_weights_is_sent_to_newer_ones() {
    let bench = Bench::with_revision_term(2, REVISION_MS);
    bench.next(&[Part::Wait, Part::Write(ok("begun on withdrawn weights"))]);
    bench.run(async {
        let mut client = bench.connect().await;
        client.send(&request("/resumable/")).await;
        bench.until(|| bench.arrivals() == 1).await;
        let waits_at = |id: &str| bench.replicas.iter().any(|r| r.id == id && r.count() == 1);
        bench.withdraw(5, |line| !waits_at(&line.id));
        let answer = client.answer().await;
        assert_eq!(status(&answer), "200", "{answer}");
        assert!(answer.ends_with("served"), "{answer}");
        assert_eq!(bench.arrivals(), 2);
    });
}
