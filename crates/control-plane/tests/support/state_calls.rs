//! Calls of an operator on the agreed state.

use tulipridge_configuration::number::{Revision, WeightsRevision};
use tulipridge_control_plane::state::{Accepted, Applied, Change, Decision, State};

/// A configuration with the given routes.
pub(crate) fn configuration(revision: u64, routes: &[String]) -> Vec<u8> {
    let service = r#"{"label":"chat","checkPath":"/health"}"#;
    let routes = routes.join(",");
    format!(r#"{{"revision":{revision},"routes":[{routes}],"backends":[{service}]}}"#).into_bytes()
}

/// A route to the service of [`configuration`].
pub(crate) fn route(label: &str, prefix: &str) -> String {
    format!(
        r#"{{"label":"{label}","hostname":"a.example","pathStart":"{prefix}","sort":"harmless","timeLimitMs":1000,"targetMs":100,"rank":0,"backend":"chat","tries":2,"public":true}}"#
    )
}

/// Puts a configuration with one route.
pub(crate) fn put(if_match: u64, revision: u64) -> Change {
    put_routes(if_match, revision, &[route("r", "/r/")])
}

/// Puts a configuration with the given routes.
pub(crate) fn put_routes(if_match: u64, revision: u64, routes: &[String]) -> Change {
    Change::PutConfiguration { if_match: Some(Revision(if_match)), body: configuration(revision, routes) }
}

/// Changes named items.
pub(crate) fn patch(if_match: u64, body: &str) -> Change {
    Change::PatchConfiguration { if_match: Some(Revision(if_match)), body: body.as_bytes().to_vec() }
}

/// Adds or replaces a route.
pub(crate) fn patch_route(if_match: u64, revision: u64, label: &str, prefix: &str) -> Change {
    let upsert = route(label, prefix);
    patch(if_match, &format!(r#"{{"revision":{revision},"upsert":{{"routes":[{upsert}]}}}}"#))
}

/// Names weights.
pub(crate) fn name(model: &str, revision: u64) -> Change {
    Change::SetTargetRevision { model: model.to_owned(), revision: WeightsRevision(revision) }
}

/// What the members have to agree on for a change that must be accepted.
pub(crate) fn accepted(state: &State, change: &Change) -> Accepted {
    match state.decide(change) {
        Decision::Accept(accepted) => *accepted,
        other => panic!("{other:?}"),
    }
}

/// Has a change accepted and applied.
pub(crate) fn take(state: &mut State, change: &Change) -> Applied {
    let accepted = accepted(state, change);
    state.apply(&accepted.command).expect("the command can be applied")
}

/// The revision in force.
pub(crate) fn revision(state: &State) -> u64 {
    state.document().map_or(0, |document| document.revision().0)
}

/// The state after a snapshot and its restoration.
pub(crate) fn restored(state: &State) -> State {
    State::restore(&state.snapshot()).expect("a snapshot can be restored")
}
