//! The final responses to one request, in its client's dialect.

use std::time::Duration;

use super::messages::errors::{self, ApiError};
use super::messages::message_assembler::ReportedError;
use super::translate::error_of;
use super::{Dialect, Headers, Response};
use crate::engine::FailureReason;
use crate::stream::Cause;
use tulipridge_http1::RequestError;

/// Forms the responses to one request.
#[derive(Clone, Debug)]
pub struct Responder {
    /// The client's dialect.
    pub dialect: Dialect,
    /// The request's id.
    pub id: String,
    /// The request is idempotent.
    pub safe: bool,
    /// Headers of each response to it.
    pub headers: Headers,
}

impl Responder {
    /// For a request of which only dialect and id are known.
    #[must_use]
    pub fn new(dialect: Dialect, id: &str) -> Responder {
        Responder { dialect, id: id.to_owned(), safe: false, headers: Vec::new() }
    }

    pub(super) fn error_response(&self, error: ApiError) -> Response {
        error.response(&self.id).with_all(&self.headers)
    }

    /// A line of text that is no error.
    #[must_use]
    pub fn text(&self, status: u16, text: &str) -> Response {
        let response = Response::text(status, text);
        if self.dialect == Dialect::Messages { response.with("request-id", &self.id) } else { response }
    }

    /// An error of the request itself.
    #[must_use]
    pub fn bad(&self, status: u16, message: &str) -> Response {
        match self.dialect {
            Dialect::Platform => Response::text(status, message),
            Dialect::Messages => self.error_response(ApiError::new(status, message)),
        }
    }

    /// The request could not be parsed.
    #[must_use]
    pub fn malformed(&self, error: RequestError) -> Response {
        self.bad(error.status(), &error.to_string())
    }

    /// The load balancer has shed it.
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

    /// The load balancer has failed it.
    #[must_use]
    pub fn failed(&self, reason: FailureReason) -> Response {
        if self.dialect == Dialect::Platform {
            return Response::text(504, "no answer in time").retry_after(Duration::ZERO);
        }
        let (status, message) = match reason {
            FailureReason::Refused => (529, "all replicas rejected it until its deadline"),
            FailureReason::Errors => (500, "the replicas failed"),
            FailureReason::NoAnswer => (504, "no answer in time"),
        };
        // A request that no replica has run may be retried.
        let is_retryable = self.safe || reason == FailureReason::Refused;
        self.error_response(
            ApiError::new(status, message).retry_after(Duration::ZERO).retryable(is_retryable),
        )
    }

    /// The stream of an assembled response broke; the client has received nothing of it.
    pub(super) fn broken(&self, cause: Cause, error: Option<&ReportedError>) -> Response {
        let reported = error.map(|error| (error.kind.as_str(), error.message.as_str()));
        let (kind, message) =
            reported.or(error_of(cause)).unwrap_or(("api_error", "the response broke off"));
        self.error_response(
            ApiError::new(errors::status(kind), message).retry_after(Duration::ZERO).retryable(self.safe),
        )
    }

    /// The head of a stream without its terminating line.
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
