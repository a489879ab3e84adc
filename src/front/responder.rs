//! Responses to one request in its client's dialect, and the head of its event stream.

use std::time::Duration;

use super::messages::errors::{self, ApiError};
use super::messages::message_assembler::ReportedError;
use super::translate::error_for;
use super::{Dialect, Headers, Response};
use crate::engine::FailureReason;
use crate::stream::Cause;
use tulipridge_http1::RequestError;

/// Creates the responses to one request.
#[derive(Clone, Debug)]
pub struct Responder {
    /// Dialect of the client.
    pub dialect: Dialect,
    /// Id of the request.
    pub id: String,
    /// Whether a retry of the request is safe after it may have run.
    pub is_idempotent: bool,
    /// Headers to add to each response.
    pub headers: Headers,
}

impl Responder {
    /// Creates a responder for a request of which only dialect and id are known: not idempotent, no additional headers.
    #[must_use]
    pub fn new(dialect: Dialect, id: &str) -> Responder {
        Responder { dialect, id: id.to_owned(), is_idempotent: false, headers: Vec::new() }
    }

    pub(super) fn error_response(&self, error: ApiError) -> Response {
        error.response(&self.id).with_headers(&self.headers)
    }

    /// A plain-text response in either dialect, for responses that do not report an error of a request, such as the
    /// readiness check's.
    #[must_use]
    pub fn text(&self, status: u16, text: &str) -> Response {
        let response = Response::text(status, text);
        if self.dialect == Dialect::Messages {
            response.with_header("request-id", &self.id)
        } else {
            response
        }
    }

    /// The error response to a request whose head or body can't be accepted.
    #[must_use]
    pub fn invalid_request(&self, status: u16, message: &str) -> Response {
        match self.dialect {
            Dialect::Platform => Response::text(status, message),
            Dialect::Messages => self.error_response(ApiError::new(status, message)),
        }
    }

    /// The response to a request that can't be parsed as HTTP.
    #[must_use]
    pub fn malformed(&self, error: RequestError) -> Response {
        self.invalid_request(error.status(), &error.to_string())
    }

    /// The response to a request that the load balancer has shed, with the advice to retry after `wait`.
    #[must_use]
    pub fn shed(&self, wait: Duration) -> Response {
        let message = "shed without having run; it may be retried";
        match self.dialect {
            Dialect::Platform => Response::text(503, message).retry_after(wait),
            Dialect::Messages => {
                self.error_response(ApiError::new(529, message).retry_after(wait).retryable(true))
            }
        }
    }

    /// The response to a request that the load balancer has given up.
    #[must_use]
    pub fn failed(&self, reason: FailureReason) -> Response {
        if self.dialect == Dialect::Platform {
            return Response::text(504, "no answer in time").retry_after(Duration::ZERO);
        }
        let (status, message) = match reason {
            FailureReason::Refused => (529, "all replicas rejected it until its deadline"),
            FailureReason::Errors => (500, "the replicas failed"),
            FailureReason::NoResponse => (504, "no answer in time"),
        };
        // A request that no replica has run is safe to retry.
        let is_retryable = self.is_idempotent || reason == FailureReason::Refused;
        self.error_response(
            ApiError::new(status, message).retry_after(Duration::ZERO).retryable(is_retryable),
        )
    }

    /// The response if the replica's stream broke before a complete response could be assembled from it. The client has
    /// received no part of it yet.
    pub(super) fn broken_stream(&self, cause: Cause, error: Option<&ReportedError>) -> Response {
        let reported = error.map(|error| (error.kind.as_str(), error.message.as_str()));
        let (kind, message) =
            reported.or(error_for(cause)).unwrap_or(("api_error", "the response broke off"));
        self.error_response(
            ApiError::new(errors::status_for(kind), message)
                .retry_after(Duration::ZERO)
                .retryable(self.is_idempotent),
        )
    }

    /// The head of a stream, without the empty line that ends it.
    #[must_use]
    pub fn stream_head(&self) -> Vec<u8> {
        let mut head = String::from(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n\
            Transfer-Encoding: chunked\r\n",
        );
        if self.dialect == Dialect::Messages {
            head.push_str(&format!("request-id: {}\r\n", self.id));
        }
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.into_bytes()
    }
}
