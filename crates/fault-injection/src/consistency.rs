//! Checks that a partitioned or stale member serves and acknowledges nothing that conflicts with the configuration in
//! force.

use std::net::SocketAddr;

use crate::operator::{Change, ChangeResponse, OperatorClient, revision_of};

/// The route of the change that conflicts with the change in force.
const CONFLICTING_ROUTE: &str = "rival";

/// Sends requests to a member and describes the first violation: the member serves a configuration older than
/// `in_force`, rejects `in_force`, or acknowledges a change that conflicts with it. `None` without a violation;
/// a response that leaves a change undecided is none.
#[must_use]
pub fn consistency_violation(
    operator: &OperatorClient,
    member: SocketAddr,
    in_force: &Change,
) -> Option<String> {
    let document = operator.configuration_from(member);
    if let Some(revision) = document.map(|document| revision_of(&document))
        && revision < in_force.revision
    {
        return Some(format!(
            "the member serves revision {revision} while {} is in force",
            in_force.revision
        ));
    }
    let repeated = operator.send_once(member, in_force);
    if !matches!(repeated, ChangeResponse::Undecided { .. } | ChangeResponse::Applied) {
        return Some(format!("the member responds {repeated:?} to the change in force"));
    }
    let conflicting = Change::upsert_route(in_force.if_match, CONFLICTING_ROUTE, 1);
    let response = operator.send_once(member, &conflicting);
    (response == ChangeResponse::Applied)
        .then(|| "the member acknowledges a change that conflicts with the change in force".to_owned())
}
