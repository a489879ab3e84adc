//! Checks that a member which may be partitioned or stale serves and acknowledges nothing that contradicts the
//! configuration in force.

use std::net::SocketAddr;

use crate::operator::{Change, ChangeResponse, Operator, revision_of};

/// The route of a change that conflicts with the one in force.
const CONFLICTING_ROUTE: &str = "rival";

/// Queries a member and describes the first violation: it serves an older configuration, rejects the change in force,
/// or acknowledges a conflicting one. A member that does not decide violates nothing.
#[must_use]
pub fn consistency_violation(operator: &Operator, member: SocketAddr, in_force: &Change) -> Option<String> {
    let document = operator.configuration_from(member);
    if let Some(revision) = document.map(|document| revision_of(&document))
        && revision < in_force.revision
    {
        return Some(format!("it serves revision {revision} while {} is in force", in_force.revision));
    }
    let repeated = operator.send_once(member, in_force);
    if !matches!(repeated, ChangeResponse::Undecided { .. } | ChangeResponse::Applied) {
        return Some(format!("it replies {repeated:?} to the change in force"));
    }
    let conflicting = Change::upsert_route(in_force.if_match, CONFLICTING_ROUTE, 1);
    let response = operator.send_once(member, &conflicting);
    (response == ChangeResponse::Applied)
        .then(|| "it acknowledges a change that conflicts with the one in force".to_owned())
}
