//! Runs an attempt: sends a request to a replica, and reads the response up to the point where forwarding may begin.

use std::rc::Rc;

use tulipridge_http1::codec::{Body, Head};

use crate::replica::classify::ResponseClass;
use crate::replica::connection::{Connection, WriteProgress};
use crate::replica::connection_state::ConnectionState;
use crate::replica::outcome::{AttemptOutcome, Execution};
use crate::replica::pool::ConnectionPool;
use crate::replica::replicas::ReplicaEntry;
use crate::replica::response::{ErrorResponse, HeadError, UpstreamResponse, read_body, read_head};

/// Responses to earlier requests that are skipped before an attempt fails.
const MAX_STALE_RESPONSES: u32 = 2;

/// The result of an attempt, up to the first bytes of its response.
pub enum AttemptResult {
    /// There is no response to forward.
    Failed(AttemptOutcome),
    /// A complete error response that may be forwarded.
    Error {
        /// The outcome of the attempt.
        outcome: AttemptOutcome,
        /// The response.
        response: ErrorResponse,
    },
    /// A success, of which at least the first bytes of the body or its end were read.
    Success(Box<UpstreamResponse>),
}

/// A request as it is sent to one replica.
#[derive(Clone, Copy)]
pub struct UpstreamRequest<'a> {
    /// The encoded head.
    pub head: &'a [u8],
    /// The body.
    pub body: &'a [u8],
    /// The `Attempt-Id` header that the client sent.
    pub attempt_id: Option<&'a str>,
    /// Whether the method is HEAD, so that the response has no body.
    pub is_head_request: bool,
}

impl UpstreamRequest<'_> {
    /// The framing of the body of a response to this request. None if the head's framing is invalid.
    fn response_framing(&self, head: &Head) -> Option<Body> {
        if self.is_head_request { Some(Body::Length(0)) } else { head.response_body().ok() }
    }
}

/// Sends the request and reads the response: a success up to the first bytes of its body, an error response to its end.
pub async fn run(
    pool: &ConnectionPool,
    replica: &Rc<ReplicaEntry>,
    mut connection: Connection,
    request: UpstreamRequest<'_>,
) -> AttemptResult {
    if request.attempt_id.is_none() {
        connection.forbid_reuse(ConnectionState::NoAttemptId);
    }
    if request.is_head_request {
        connection.forbid_reuse(ConnectionState::HeadRequest);
    }
    // If the write of the body failed, the replica may have responded before it closed the connection, so the response
    // is still read.
    let missing_response_outcome = match connection.send(request.head, request.body, pool.limits()).await {
        WriteProgress::BrokenInHead => return AttemptResult::Failed(AttemptOutcome::BrokenInRequestHead),
        WriteProgress::BrokenInBody => AttemptOutcome::BrokenInRequestBody,
        WriteProgress::Complete | WriteProgress::ResponseStarted => AttemptOutcome::BrokenBeforeResponse,
    };
    read_response(pool, replica, connection, request, missing_response_outcome).await
}

/// Reads the response to this request, and skips responses to earlier ones. Returns `missing_response_outcome` if the
/// connection ends without a response.
async fn read_response(
    pool: &ConnectionPool,
    replica: &Rc<ReplicaEntry>,
    mut connection: Connection,
    request: UpstreamRequest<'_>,
    mut missing_response_outcome: AttemptOutcome,
) -> AttemptResult {
    for _ in 0..=MAX_STALE_RESPONSES {
        let head = match read_head(&mut connection, pool).await {
            Ok(head) => head,
            Err(HeadError::Missing) => return AttemptResult::Failed(missing_response_outcome),
            Err(HeadError::Incomplete) => return AttemptResult::Failed(AttemptOutcome::BrokenInResponse),
            Err(HeadError::Invalid) => return AttemptResult::Failed(AttemptOutcome::InvalidResponse),
        };
        match ResponseClass::of(&head, request.attempt_id, &replica.id.0) {
            ResponseClass::Stale => {
                missing_response_outcome = AttemptOutcome::OnlyStaleResponses;
                connection.forbid_reuse(ConnectionState::StaleResponse);
                if read_body(pool, &mut connection, head.response_body().ok()).await.is_none() {
                    return AttemptResult::Failed(AttemptOutcome::OnlyStaleResponses);
                }
            }
            ResponseClass::Current(AttemptOutcome::Success) => {
                return start_success_response(pool, replica, connection, head, request).await;
            }
            ResponseClass::Current(outcome) if !is_read_to_end(outcome) => {
                return AttemptResult::Failed(outcome);
            }
            ResponseClass::Current(outcome) => {
                let framing = request.response_framing(&head);
                return read_error_response(pool, replica, connection, head, framing, outcome).await;
            }
        }
    }
    AttemptResult::Failed(AttemptOutcome::OnlyStaleResponses)
}

/// Whether an error response of this outcome is read to its end, after which its connection may be reused.
fn is_read_to_end(outcome: AttemptOutcome) -> bool {
    !matches!(outcome, AttemptOutcome::Unsealed | AttemptOutcome::Encoded | AttemptOutcome::WrongReplica)
}

/// Whether an error response of this outcome may be forwarded to the client.
fn is_forwardable(outcome: AttemptOutcome) -> bool {
    matches!(outcome, AttemptOutcome::Rejected | AttemptOutcome::ServerError | AttemptOutcome::OtherError)
}

/// Reads a success up to the first bytes of its body, or to its end if the body is empty.
async fn start_success_response(
    pool: &ConnectionPool,
    replica: &Rc<ReplicaEntry>,
    connection: Connection,
    head: Head,
    request: UpstreamRequest<'_>,
) -> AttemptResult {
    let Some(framing) = request.response_framing(&head) else {
        return AttemptResult::Failed(AttemptOutcome::InvalidResponse);
    };
    let mut response = Box::new(UpstreamResponse::new(replica.clone(), connection, head, framing));
    if response.decode(pool).is_err() {
        return AttemptResult::Failed(AttemptOutcome::InvalidResponse);
    }
    while response.buffered.is_empty() && !response.is_complete {
        if response.read(pool).await.is_err() {
            return AttemptResult::Failed(AttemptOutcome::BrokenInResponse);
        }
    }
    AttemptResult::Success(response)
}

/// Reads an error response to its end. If its body breaks off, a head that proves that the request has not run still
/// determines the outcome, unless the response would have been forwarded.
async fn read_error_response(
    pool: &ConnectionPool,
    replica: &Rc<ReplicaEntry>,
    mut connection: Connection,
    head: Head,
    framing: Option<Body>,
    outcome: AttemptOutcome,
) -> AttemptResult {
    let is_forwardable = is_forwardable(outcome);
    let Some(body) = read_body(pool, &mut connection, framing).await else {
        let has_not_run = !is_forwardable && outcome.execution() == Execution::NotRun;
        return AttemptResult::Failed(if has_not_run { outcome } else { AttemptOutcome::BrokenInResponse });
    };
    pool.check_in(&replica.id, connection, &head);
    if is_forwardable {
        return AttemptResult::Error { outcome, response: ErrorResponse { head, body } };
    }
    AttemptResult::Failed(outcome)
}
