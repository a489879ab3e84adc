//! The retry table: the action for each [`AttemptOutcome`] and [`RequestKind`].
//!
//! `docs/design/calls.md` documents the same table, and `tests/calls_page.rs` compares the two. The caller enforces
//! the route's limit of attempts, the retry budget and the deadline. This module does no I/O.

use tulipridge_load_balancer::types::Verdict;

use crate::replica::outcome::{AttemptOutcome, Execution};
use crate::replica::request_kind::RequestKind;

/// The action after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryAction {
    /// Retry if attempts, budget and deadline allow; otherwise respond with [`final_status`].
    Retry,
    /// Retry if attempts, budget and deadline allow; otherwise forward the replica's error response.
    RetryOrForward,
    /// Resume the stream at another replica after the last complete event, if attempts, budget and deadline allow;
    /// otherwise abort the response.
    Resume,
    /// Forward the replica's response.
    Forward,
    /// Respond with [`final_status`].
    Fail,
    /// Close the client's connection before the end of the response, which the client then sees to be incomplete.
    Abort,
}

/// An entry of the retry table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryDecision {
    /// Whether this attempt ran the request, as far as is known.
    pub execution: Execution,
    /// The next action.
    pub action: RetryAction,
    /// The verdict on the replica that is reported to the load balancer.
    pub verdict: Verdict,
}

/// Returns the table's entry for a kind of request and the outcome of an attempt.
#[must_use]
pub fn decide(kind: RequestKind, outcome: AttemptOutcome) -> RetryDecision {
    let execution = outcome.execution();
    let action = match outcome {
        AttemptOutcome::Success | AttemptOutcome::Rejected | AttemptOutcome::OtherError => {
            RetryAction::Forward
        }
        AttemptOutcome::ServerError if kind.is_idempotent() => RetryAction::RetryOrForward,
        AttemptOutcome::ServerError => RetryAction::Forward,
        AttemptOutcome::TruncatedResponse if kind == RequestKind::ResumableStream => RetryAction::Resume,
        AttemptOutcome::TruncatedResponse => RetryAction::Abort,
        // The deadline applies to the request, so no other replica can meet it either.
        AttemptOutcome::ResponseTimeout => RetryAction::Fail,
        _ if may_retry(kind, execution) => RetryAction::Retry,
        _ => RetryAction::Fail,
    };
    RetryDecision { execution, action, verdict: outcome.verdict() }
}

/// Whether a retry is safe: the request has not run, or is idempotent.
#[must_use]
pub fn may_retry(kind: RequestKind, execution: Execution) -> bool {
    execution == Execution::NotRun || kind.is_idempotent()
}

/// The status of the proxy's own response to a request for which it has no replica's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalStatus {
    /// 503 with `Retry-After`, which guarantees that the client may retry: the request has not run and will not run, or
    /// it is idempotent.
    ServiceUnavailable,
    /// 502: the request may have run.
    BadGateway,
    /// 504: the request may have run, and its deadline has passed.
    GatewayTimeout,
}

/// The status for a request for which there is no replica's response. `is_abandoned` states that no further attempt is
/// made although the deadline has not passed.
#[must_use]
pub fn final_status(
    kind: RequestKind,
    execution: Execution,
    is_past_deadline: bool,
    is_abandoned: bool,
) -> FinalStatus {
    match execution {
        Execution::NotRun => FinalStatus::ServiceUnavailable,
        _ if is_abandoned && kind.is_idempotent() => FinalStatus::ServiceUnavailable,
        _ if is_past_deadline => FinalStatus::GatewayTimeout,
        _ => FinalStatus::BadGateway,
    }
}
