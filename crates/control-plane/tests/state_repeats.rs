//! Repeated requests: an accepted request is acknowledged again and takes effect only once.

mod support;

use rstest::rstest;
use support::state_calls::{
    accepted, name, patch, patch_route, put, put_routes, restored, revision, route, take,
};
use tulipridge_configuration::MAX_RECENT_REQUESTS;
use tulipridge_configuration::number::{Revision, WeightsRevision};
use tulipridge_control_plane::state::{Applied, Change, Decision, State};

/// A state at revision 1.
fn first_state() -> State {
    let mut state = State::default();
    take(&mut state, &put(0, 1));
    state
}

/// Applies `count` patches of other operators, each of which raises the revision by one.
fn apply_others(state: &mut State, count: u64) {
    for _ in 0..count {
        let base = revision(state);
        let label = format!("other-{}", base % 5);
        take(state, &patch_route(base, base + 1, &label, &format!("/{label}/{base}/")));
    }
}

fn put_request() -> Change {
    put_routes(1, 2, &[route("s", "/s/")])
}

fn patch_request() -> Change {
    patch_route(1, 2, "s", "/s/")
}

/// A request and its repeat are decided on before either of them is applied. This happens when a commit takes
/// longer than the operator's timeout.
#[rstest]
#[case::a_document(put_request(), Applied::Configuration)]
#[case::a_patch(patch_request(), Applied::Configuration)]
#[case::weights(name("m", 2), Applied::Weights)]
fn two_commands_of_one_request_are_both_accepted_and_apply_once(
    #[case] request: Change,
    #[case] expected: Applied,
    #[values(0, 1, 20)] others_between: u64,
) {
    let mut state = first_state();
    let first = accepted(&state, &request);
    let second = accepted(&state, &request);
    assert_eq!(first.command, second.command);
    assert_eq!(state.apply(&first.command).expect("the command can be applied"), expected);
    apply_others(&mut state, others_between);
    let before = state.clone();
    assert_eq!(state.apply(&second.command).expect("the command can be applied"), expected);
    assert_eq!(state, before);
    assert_eq!(state.apply_accepted(second).expect("the command can be applied"), expected);
    assert_eq!(state, before);
}

#[test]
fn a_repeat_of_older_weights_is_accepted_after_newer_ones() {
    let mut state = State::default();
    let repeats = [accepted(&state, &name("m", 2)), accepted(&state, &name("m", 2))];
    let rival = accepted(&state, &name("m", 1));
    assert_eq!(state.apply(&repeats[0].command).expect("the command can be applied"), Applied::Weights);
    take(&mut state, &name("m", 4));
    assert_eq!(state.apply(&repeats[1].command).expect("the command can be applied"), Applied::Weights);
    assert_eq!(state.apply(&rival.command).expect("the command can be applied"), Applied::Superseded);
    assert_eq!(state.weights().newest()["m"], WeightsRevision(4));
}

#[rstest]
#[case::two_documents(put_request(), put_routes(1, 2, &[route("t", "/t/")]))]
#[case::two_patches(patch_request(), patch_route(1, 2, "t", "/t/"))]
#[case::a_document_and_a_patch(put_request(), patch_request())]
#[case::a_patch_and_a_document(patch_request(), put_request())]
#[case::other_revisions(put_request(), put_routes(1, 9, &[route("s", "/s/")]))]
fn of_two_requests_on_one_base_the_first_wins(#[case] winner: Change, #[case] loser: Change) {
    let mut state = first_state();
    let (first, second) = (accepted(&state, &winner), accepted(&state, &loser));
    assert_eq!(state.apply(&first.command).expect("the command can be applied"), Applied::Configuration);
    let after = state.clone();
    assert_eq!(state.apply(&second.command).expect("the command can be applied"), Applied::Superseded);
    assert_eq!(state, after);
    for _ in 0..2 {
        assert_eq!(state.decide(&winner), Decision::AlreadyAccepted);
        assert_eq!(state.decide(&loser), Decision::Stale { current: Revision(2) });
    }
}

#[rstest]
#[case::another_document(put_routes(1, 2, &[route("t", "/t/")]))]
#[case::the_same_document_on_another_base(put_routes(0, 2, &[route("s", "/s/")]))]
#[case::a_patch_to_the_same_revision(patch_request())]
fn the_same_revision_with_another_body_is_refused(#[case] other: Change) {
    let mut state = first_state();
    take(&mut state, &put_request());
    assert_eq!(state.decide(&other), Decision::Stale { current: Revision(2) });
}

#[rstest]
#[case::a_document(put_request())]
#[case::a_patch(patch_request())]
fn a_repeat_is_recognized_after_many_other_requests(
    #[case] request: Change,
    #[values(1, 256, 4_000)] others: u64,
) {
    let mut state = first_state();
    take(&mut state, &request);
    apply_others(&mut state, others);
    assert_eq!(state.decide(&request), Decision::AlreadyAccepted);
    assert_eq!(restored(&state).decide(&request), Decision::AlreadyAccepted);
}

/// A target revision is recognized as long as the later ones fit into the window, and never if it was not accepted.
#[test]
fn a_repeated_target_revision_is_recognized_after_many_others() {
    let mut state = State::default();
    let newest = MAX_RECENT_REQUESTS as u64 + 1;
    for revision in 1..=newest {
        take(&mut state, &name("m", 2 * revision));
    }
    for state in [restored(&state), state] {
        assert_eq!(state.decide(&name("m", 4)), Decision::AlreadyAccepted);
        assert_eq!(
            state.decide(&name("m", 2)),
            Decision::OldWeights { newest: WeightsRevision(2 * newest) }
        );
        for never_set in [1, 3, 5, 2 * newest - 1] {
            let refused = Decision::OldWeights { newest: WeightsRevision(2 * newest) };
            assert_eq!(state.decide(&name("m", never_set)), refused);
        }
    }
}

/// The newest target revision of a model is recognized however many of other models were set since.
#[test]
fn the_newest_revision_of_a_model_is_always_recognized() {
    let mut state = State::default();
    take(&mut state, &name("quiet", 7));
    for revision in 0..MAX_RECENT_REQUESTS as u64 {
        take(&mut state, &name("busy", revision));
    }
    assert_eq!(state.decide(&name("quiet", 7)), Decision::AlreadyAccepted);
}

#[rstest]
#[case::a_document(put_request())]
#[case::a_patch(patch_request())]
#[case::weights(name("m", 2))]
fn a_repeat_is_recognized_after_a_restore(#[case] request: Change) {
    let mut state = first_state();
    take(&mut state, &request);
    let mut state = restored(&state);
    assert_eq!(state.decide(&request), Decision::AlreadyAccepted);
    apply_others(&mut state, 3);
    assert_eq!(restored(&state).decide(&request), Decision::AlreadyAccepted);
}

#[rstest]
#[case::a_document(put_request())]
#[case::a_patch(patch_request())]
fn a_repeat_is_recognized_after_a_document_that_replaces_all(#[case] request: Change) {
    let mut state = first_state();
    take(&mut state, &request);
    take(&mut state, &put_routes(2, 3, &[]));
    let before = state.clone();
    assert_eq!(state.decide(&request), Decision::AlreadyAccepted);
    assert_eq!(state, before);
}

#[test]
fn a_patch_is_recognized_after_its_items_were_changed_by_others() {
    let mut state = first_state();
    take(&mut state, &patch_request());
    take(&mut state, &patch_route(2, 3, "s", "/changed/"));
    assert_eq!(state.decide(&patch_request()), Decision::AlreadyAccepted);
    take(&mut state, &patch(3, r#"{"revision":4,"remove":{"routes":["s"]}}"#));
    assert_eq!(state.decide(&patch_request()), Decision::AlreadyAccepted);
    let document = state.document().expect("there is a document");
    let labels: Vec<&str> = document.configuration().routes.iter().map(|r| r.label.as_str()).collect();
    assert_eq!(labels, ["r"]);
}

/// A request is recognized by its JSON value, so a client may serialize it again, with its fields in another order.
#[rstest]
#[case::other_white_space(r#"{ "revision": 2, "remove": {"routes": ["r"]}, "caps": {"quietMs": 5} }"#)]
#[case::another_field_order(r#"{"caps":{"quietMs":5},"remove":{"routes":["r"]},"revision":2}"#)]
#[case::escaped_characters(r#"{"revision":2,"remove":{"routes":["\u0072"]},"caps":{"quietMs":5}}"#)]
fn another_serialization_is_the_same_request(#[case] body: &str) {
    let mut state = first_state();
    take(&mut state, &patch(1, r#"{"revision":2,"remove":{"routes":["r"]},"caps":{"quietMs":5}}"#));
    assert_eq!(state.decide(&patch(1, body)), Decision::AlreadyAccepted);
}

#[rstest]
#[case::another_order_of_items(r#"{"revision":2,"remove":{"routes":["q","r"]}}"#)]
#[case::another_kind_of_number(r#"{"revision":2,"remove":{"routes":["r","q"]},"caps":{"quietMs":5.0}}"#)]
#[case::an_additional_field(r#"{"revision":2,"remove":{"routes":["r","q"]},"caps":null}"#)]
fn another_value_is_another_request(#[case] body: &str) {
    let mut state = first_state();
    take(&mut state, &patch(1, r#"{"revision":2,"remove":{"routes":["r","q"]},"caps":{"quietMs":5}}"#));
    assert_eq!(state.decide(&patch(1, body)), Decision::Stale { current: Revision(2) });
}

/// Requests differ if their numbers differ, even where both numbers are parsed as the same float.
#[rstest]
#[case::a_long_integer("123456789012345678901234567890", "123456789012345678901234567891")]
#[case::a_long_fraction("0.12345678901234567", "0.12345678901234568")]
#[case::a_negative_number("-0.30000000000000004", "-0.30000000000000003")]
#[case::an_underflow("1e-400", "1E-500")]
#[case::in_a_list("[true,\"\\\"\",10000000000000000000001]", "[true,\"\\\"\",10000000000000000000002]")]
fn numbers_that_parse_as_the_same_float_are_different_requests(#[case] first: &str, #[case] second: &str) {
    let request =
        |number: &str| patch(1, &format!(r#"{{"revision":2,"upsert":{{"note":{{"x":{number}}}}}}}"#));
    let mut state = first_state();
    take(&mut state, &request(first));
    assert_eq!(state.decide(&request(first)), Decision::AlreadyAccepted);
    assert_eq!(state.decide(&request(second)), Decision::Stale { current: Revision(2) });
}

/// Digits in a string are not a number, so such a request is recognized in another serialization too.
#[test]
fn digits_in_a_string_are_not_a_number() {
    let mut state = first_state();
    take(
        &mut state,
        &patch(1, r#"{"revision":2,"upsert":{"note":{"x":"\"12345678901234567890","y":1.5}}}"#),
    );
    let repeat = r#"{"upsert":{"note":{"y":1.50,"x":"\"12345678901234567890"}},"revision":2}"#;
    assert_eq!(state.decide(&patch(1, repeat)), Decision::AlreadyAccepted);
}

/// Of duplicate fields the last one counts, so another order of them is another request.
#[test]
fn another_order_of_duplicate_fields_is_another_request() {
    let body =
        |first, second| format!(r#"{{"revision":2,"routes":[],"backends":[],"x":{first},"x":{second}}}"#);
    let request =
        |body: String| Change::PutConfiguration { if_match: Some(Revision(1)), body: body.into_bytes() };
    let mut state = first_state();
    take(&mut state, &request(body(1, 2)));
    assert_eq!(state.decide(&request(body(2, 1))), Decision::Stale { current: Revision(2) });
}

/// The windows of recent requests take 16 bytes for each request, and do not grow beyond their limit.
#[test]
fn a_state_with_full_windows_has_a_bounded_size() {
    let mut state = State::default();
    for revision in 0..2 * MAX_RECENT_REQUESTS as u64 {
        take(&mut state, &name("m", revision));
    }
    let empty = State::default().snapshot().len();
    let length = state.snapshot().len();
    println!(
        "snapshot: {empty} bytes with no requests, {length} bytes with {MAX_RECENT_REQUESTS} target revisions"
    );
    assert!(length <= empty + MAX_RECENT_REQUESTS * 16 + 64, "{length} bytes");
}
