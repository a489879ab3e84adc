//! What a member must not say while something newer than it knows of is in force.

use std::net::SocketAddr;

use crate::operator::{Change, Operator, Reply, revision_of};

/// The route of a change that contradicts the one in force.
const RIVAL: &str = "rival";

/// Asks a member that may be out of date, and says what it claims wrongly, if anything: an old configuration, a change
/// beside the one in force, or that the one in force is refused.
#[must_use]
pub fn false_claim(operator: &Operator, member: SocketAddr, in_force: &Change) -> Option<String> {
    let document = operator.configuration_from(member);
    if let Some(revision) = document.map(|document| revision_of(&document))
        && revision < in_force.revision
    {
        return Some(format!("it hands out revision {revision} while {} is in force", in_force.revision));
    }
    let repeated = operator.send_once(member, in_force);
    if !matches!(repeated, Reply::Undecided { .. } | Reply::Taken) {
        return Some(format!("it answers {repeated:?} to what is in force"));
    }
    let rival = operator.send_once(member, &Change::upsert_route(in_force.if_match, RIVAL, 1));
    (rival == Reply::Taken).then(|| "it confirms a change beside the one in force".to_owned())
}
