//! Builders of changes of the replicated state, and helpers that apply them.

use tulipridge_configuration::number::{Revision, WeightsRevision};
use tulipridge_control_plane::state::{Accepted, Applied, Change, Decision, State};

/// Builds a configuration with the given routes.
pub(crate) fn configuration(revision: u64, routes: &[String]) -> Vec<u8> {
    let service = r#"{"label":"chat","checkPath":"/health"}"#;
    let routes = routes.join(",");
    format!(r#"{{"revision":{revision},"routes":[{routes}],"backends":[{service}]}}"#).into_bytes()
}

/// Builds a route to the service of [`configuration`].
pub(crate) fn route(label: &str, prefix: &str) -> String {
    format!(
        r#"{{"label":"{label}","hostname":"a.example","pathStart":"{prefix}","sort":"harmless","timeLimitMs":1000,"targetMs":100,"rank":0,"backend":"chat","tries":2,"public":true}}"#
    )
}

/// A change that replaces the configuration by one with a single route.
pub(crate) fn put(if_match: u64, revision: u64) -> Change {
    put_routes(if_match, revision, &[route("r", "/r/")])
}

/// A change that replaces the configuration by one with the given routes.
pub(crate) fn put_routes(if_match: u64, revision: u64, routes: &[String]) -> Change {
    Change::PutConfiguration { if_match: Some(Revision(if_match)), body: configuration(revision, routes) }
}

/// A change with the given patch.
pub(crate) fn patch(if_match: u64, body: &str) -> Change {
    Change::PatchConfiguration { if_match: Some(Revision(if_match)), body: body.as_bytes().to_vec() }
}

/// A patch that adds or replaces a route.
pub(crate) fn patch_route(if_match: u64, revision: u64, label: &str, prefix: &str) -> Change {
    let upsert = route(label, prefix);
    patch(if_match, &format!(r#"{{"revision":{revision},"upsert":{{"routes":[{upsert}]}}}}"#))
}

/// A change of the target revision of a model.
pub(crate) fn name(model: &str, revision: u64) -> Change {
    Change::SetTargetRevision { model: model.to_owned(), revision: WeightsRevision(revision) }
}

/// Decides on a change and returns its command; panics if the change is not accepted.
pub(crate) fn accepted(state: &State, change: &Change) -> Accepted {
    match state.decide(change) {
        Decision::Accept(accepted) => *accepted,
        other => panic!("{other:?}"),
    }
}

/// Decides on a change that must be accepted, and applies its command.
pub(crate) fn take(state: &mut State, change: &Change) -> Applied {
    let accepted = accepted(state, change);
    state.apply(&accepted.command).expect("the command can be applied")
}

/// The current revision; 0 if there is no configuration.
pub(crate) fn revision(state: &State) -> u64 {
    state.document().map_or(0, |document| document.revision().0)
}

/// The state restored from a snapshot of itself.
pub(crate) fn restored(state: &State) -> State {
    State::restore(&state.snapshot()).expect("a snapshot can be restored")
}
