//! Error responses in the form of the messages API.

use std::time::Duration;

use super::super::Response;
use super::super::write::Object;

/// An error response to a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiError {
    /// HTTP status code.
    pub status: u16,
    /// Error message.
    pub message: String,
    /// Minimum delay before a retry by the client.
    pub retry_after: Option<Duration>,
    /// Whether a retry is safe and may succeed; `None` if the client decides by the status.
    pub is_retryable: Option<bool>,
}

/// Error type for an HTTP status.
#[must_use]
pub fn error_type(status: u16) -> &'static str {
    match status {
        401 => "authentication_error",
        403 => "permission_error",
        404 => "not_found_error",
        413 => "request_too_large",
        429 => "rate_limit_error",
        408 | 504 => "timeout_error",
        503 | 529 => "overloaded_error",
        400..=499 | 501 | 505 => "invalid_request_error",
        _ => "api_error",
    }
}

/// HTTP status for an error type, if the response has not started; 500 for other types.
#[must_use]
pub fn status_for(kind: &str) -> u16 {
    match kind {
        "timeout_error" => 504,
        "overloaded_error" => 529,
        _ => 500,
    }
}

impl ApiError {
    /// Creates an error without a delay or advice for retries.
    pub fn new(status: u16, message: impl Into<String>) -> ApiError {
        ApiError { status, message: message.into(), retry_after: None, is_retryable: None }
    }

    /// Sets the minimum delay before a retry by the client.
    #[must_use]
    pub fn retry_after(self, retry_after: Duration) -> ApiError {
        ApiError { retry_after: Some(retry_after), ..self }
    }

    /// Sets whether a retry is safe.
    #[must_use]
    pub fn retryable(self, is_retryable: bool) -> ApiError {
        ApiError { is_retryable: Some(is_retryable), ..self }
    }

    /// Creates the response to the request with this id.
    #[must_use]
    pub fn response(&self, id: &str) -> Response {
        let mut body = Vec::new();
        let mut object = Object::new(&mut body);
        object.set("type", "error");
        object.object("error").set("type", error_type(self.status)).set("message", &self.message);
        object.set("request_id", id);
        drop(object);
        let mut response = Response::json(self.status, body).with_header("request-id", id);
        if let Some(wait) = self.retry_after {
            // `Retry-After` is for all clients; the official client libraries use the more precise `retry-after-ms`.
            response = response.retry_after(wait).with_header("retry-after-ms", wait.as_millis());
        }
        match self.is_retryable {
            Some(is_retryable) => response.with_header("x-should-retry", is_retryable),
            None => response,
        }
    }
}
