//! A request and its response pass through the whole proxy.

mod support;

use support::{Harness, post};

#[test]
fn a_request_and_its_response_are_forwarded() {
    let harness = Harness::start(1);
    let response = harness.run(harness.send_request(&post("/harmless/a?b=c", "t1")));
    insta::assert_snapshot!(support::normalized(&harness.replicas[0].requests.borrow()[0]));
    insta::assert_snapshot!(support::normalized(&response));
}
