//! What the head of a replica's answer says of the request.

use jetway::http::Head;

use crate::headers::is_plain;

/// Statuses that promise that a request has not run: only a replica that says so is believed.
const PROMISES: [u16; 3] = [408, 429, 503];

/// What an answer's head says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It answers another request.
    Foreign,
    /// It is a success in words, but none that a client may be given.
    Unsealed,
    /// Another replica has the address; the request has not run.
    WrongReplica,
    /// The replica turned the request away unseen.
    NotRun,
    /// The replica turned the request away unseen as one that no replica takes; the client is told.
    Rejected,
    /// The request ran, and the client gets the answer.
    Success,
    /// The request has run, or may have, and failed; the client may be told.
    Failure,
    /// The request may have run, and the answer's status would promise that it has not.
    FalsePromise,
}

impl Reply {
    /// Reads the head of an answer to the try with this id, from the replica that was meant. A try without an
    /// id has an answer without one.
    pub fn read(head: &Head, attempt_id: Option<&str>, replica: &str) -> Reply {
        if head.get("attempt-id").unwrap_or_default() != attempt_id.unwrap_or_default() {
            return Reply::Foreign;
        }
        let not_run = head.get("not-run").is_some();
        match head.status() {
            421 if head.get("server-id").is_some_and(|id| id != replica) => Reply::WrongReplica,
            421 => Reply::NotRun,
            400 if not_run => Reply::Rejected,
            200..=299 if not_run => Reply::Unsealed,
            _ if not_run => Reply::NotRun,
            200..=299 if !head.get("server-seal").is_some_and(is_plain) => Reply::Unsealed,
            200..=299 => Reply::Success,
            status if PROMISES.contains(&status) => Reply::FalsePromise,
            _ => Reply::Failure,
        }
    }
}
