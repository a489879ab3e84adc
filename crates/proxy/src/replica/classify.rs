//! Classification of a response by its head.

use tulipridge_http1::codec::Head;

use crate::headers::is_plain;
use crate::replica::outcome::AttemptOutcome;

/// Statuses that usually mean that a request has not run. Only the `Not-Run` header guarantees it.
const REFUSAL_STATUSES: [u16; 3] = [408, 429, 503];

/// Which request a response belongs to, and the outcome that its head indicates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// A response to an earlier request on the connection.
    Stale,
    /// A response to the current request.
    Current(AttemptOutcome),
}

impl ResponseClass {
    /// Classifies a response by its `Attempt-Id` header, status and other headers. `attempt_id` and `replica` are those
    /// of the current attempt. The response to a request without an attempt id has no attempt id either.
    #[must_use]
    pub fn of(head: &Head, attempt_id: Option<&str>, replica: &str) -> ResponseClass {
        if head.get("attempt-id").unwrap_or_default() != attempt_id.unwrap_or_default() {
            return ResponseClass::Stale;
        }
        ResponseClass::Current(outcome_of(head, replica))
    }
}

fn outcome_of(head: &Head, replica: &str) -> AttemptOutcome {
    let states_not_run = head.get("not-run").is_some();
    match head.status() {
        421 if head.get("server-id").is_some_and(|id| id != replica) => AttemptOutcome::WrongReplica,
        421 => AttemptOutcome::WrongRevision,
        400 if states_not_run => AttemptOutcome::Rejected,
        200..=299 if states_not_run => AttemptOutcome::Unsealed,
        _ if states_not_run => AttemptOutcome::NotRun,
        200..=299 if !head.get("server-seal").is_some_and(is_plain) => AttemptOutcome::Unsealed,
        200..=299 if is_encoded(head) => AttemptOutcome::Encoded,
        200..=299 => AttemptOutcome::Success,
        500 => AttemptOutcome::ServerError,
        status if REFUSAL_STATUSES.contains(&status) => AttemptOutcome::UnconfirmedRefusal,
        _ => AttemptOutcome::OtherError,
    }
}

/// Whether the body has a content coding, which no request asks for.
fn is_encoded(head: &Head) -> bool {
    head.get("content-encoding").is_some_and(|coding| !coding.eq_ignore_ascii_case("identity"))
}
