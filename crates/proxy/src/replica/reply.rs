//! What the head of a replica's answer says of the request.

use tulipridge_http1::codec::Head;

use crate::headers::is_plain;
use crate::replica::outcome::SendEvent;

/// Statuses that promise that a request has not run: only a replica that says so is believed.
const PROMISES: [u16; 3] = [408, 429, 503];

/// What an answer's head says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It answers another request.
    Foreign,
    /// It answers this request.
    Due(SendEvent),
}

impl Reply {
    /// Reads the head of an answer to the try with this id, from the replica that was meant. A try without an
    /// id has an answer without one.
    #[must_use]
    pub fn read(head: &Head, attempt_id: Option<&str>, replica: &str) -> Reply {
        if head.get("attempt-id").unwrap_or_default() != attempt_id.unwrap_or_default() {
            return Reply::Foreign;
        }
        Reply::Due(event(head, replica))
    }
}

fn event(head: &Head, replica: &str) -> SendEvent {
    let not_run = head.get("not-run").is_some();
    match head.status() {
        421 if head.get("server-id").is_some_and(|id| id != replica) => SendEvent::WrongReplica,
        421 => SendEvent::WrongRevision,
        400 if not_run => SendEvent::Rejected,
        200..=299 if not_run => SendEvent::Unsealed,
        _ if not_run => SendEvent::NotRun,
        200..=299 if !head.get("server-seal").is_some_and(is_plain) => SendEvent::Unsealed,
        200..=299 if is_encoded(head) => SendEvent::Encoded,
        200..=299 => SendEvent::Success,
        500 => SendEvent::ServerError,
        status if PROMISES.contains(&status) => SendEvent::FalsePromise,
        _ => SendEvent::OtherFailure,
    }
}

/// Requests ask for no coding.
fn is_encoded(head: &Head) -> bool {
    head.get("content-encoding").is_some_and(|coding| !coding.eq_ignore_ascii_case("identity"))
}
