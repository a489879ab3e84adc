//! Whole exchanges through the proxy.

mod support;

use support::{Bench, post};

#[test]
fn a_request_and_its_response_are_forwarded() {
    let bench = Bench::start(1);
    let answer = bench.run(bench.send_request(&post("/harmless/a?b=c", "t1")));
    insta::assert_snapshot!(support::transcript(&bench.replicas[0].requests.borrow()[0]));
    insta::assert_snapshot!(support::transcript(&answer));
}
