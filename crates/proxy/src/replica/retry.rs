//! The retry table: what follows each [`AttemptOutcome`] for each [`RequestKind`].
//!
//! `docs/design/calls.md` has the same table as a page, and `tests/calls_page.rs` compares the two. The caller checks
//! the route's limit of attempts, the retry budget and the deadline. Nothing here does I/O.

use tulipridge_load_balancer::types::Verdict;

use crate::replica::outcome::{AttemptOutcome, Execution};
use crate::replica::request_kind::RequestKind;

/// What is done after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryAction {
    /// Retry if attempts, budget and deadline allow; else the client gets [`final_status`].
    Retry,
    /// Retry if attempts, budget and deadline allow; else the client gets the replica's error response.
    RetryOrForward,
    /// Another replica resumes the stream after the last complete event, if attempts, budget and deadline allow; else
    /// the response is aborted.
    Resume,
    /// The client gets the replica's response.
    Forward,
    /// The client gets [`final_status`].
    Fail,
    /// The client's connection ends before the end of the response.
    Abort,
}

/// A cell of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryDecision {
    /// Whether this attempt may have run the request.
    pub execution: Execution,
    /// What is done next.
    pub action: RetryAction,
    /// What is reported to the load balancer about the replica.
    pub verdict: Verdict,
}

/// Looks up the cell of a kind and an outcome.
#[must_use]
pub fn decide(kind: RequestKind, outcome: AttemptOutcome) -> RetryDecision {
    let execution = outcome.execution();
    let action = match outcome {
        AttemptOutcome::Success | AttemptOutcome::Rejected | AttemptOutcome::OtherError => {
            RetryAction::Forward
        }
        AttemptOutcome::ServerError if kind.is_repeatable() => RetryAction::RetryOrForward,
        AttemptOutcome::ServerError => RetryAction::Forward,
        AttemptOutcome::TruncatedResponse if kind == RequestKind::ResumableStream => RetryAction::Resume,
        AttemptOutcome::TruncatedResponse => RetryAction::Abort,
        // The deadline has passed for every replica.
        AttemptOutcome::ResponseTimeout => RetryAction::Fail,
        _ if may_retry(kind, execution) => RetryAction::Retry,
        _ => RetryAction::Fail,
    };
    RetryDecision { execution, action, verdict: outcome.verdict() }
}

/// Whether a retry is safe: the request has not run, or it may run more than once.
#[must_use]
pub fn may_retry(kind: RequestKind, execution: Execution) -> bool {
    execution == Execution::NotRun || kind.is_repeatable()
}

/// The status with which the proxy itself ends a request that no replica has answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalStatus {
    /// 503 with `Retry-After`: the request has not run and never will, or may run again.
    ServiceUnavailable,
    /// 502: the request may have run.
    BadGateway,
    /// 504: the request may have run, and its deadline has passed.
    GatewayTimeout,
}

/// The status for a request that no replica has answered. `is_abandoned` says that no further replica is tried though
/// the deadline has not passed.
#[must_use]
pub fn final_status(
    kind: RequestKind,
    execution: Execution,
    is_past_deadline: bool,
    is_abandoned: bool,
) -> FinalStatus {
    match execution {
        Execution::NotRun => FinalStatus::ServiceUnavailable,
        _ if is_abandoned && kind.is_repeatable() => FinalStatus::ServiceUnavailable,
        _ if is_past_deadline => FinalStatus::GatewayTimeout,
        _ => FinalStatus::BadGateway,
    }
}
