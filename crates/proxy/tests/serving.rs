//! Whole exchanges through the proxy.

mod support;

use support::{Bench, post};

#[test]
fn passes_a_request_on_and_its_answer_back() {
    let bench = Bench::start(1);
    let answer = bench.run(bench.ask(&post("/harmless/a?b=c", "t1")));
    insta::assert_snapshot!(support::transcript(&bench.replicas[0].requests.borrow()[0]));
    insta::assert_snapshot!(support::transcript(&answer));
}
