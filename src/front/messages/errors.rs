//! Errors and refusals in the form of the messages API.

use std::time::Duration;

use super::super::Reply;
use super::super::write::Object;

/// What a client is told that went wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiError {
    /// The status.
    pub status: u16,
    /// The words.
    pub words: String,
    /// How long the client should stay away.
    pub wait: Option<Duration>,
    /// Whether a new try does no harm and may help; not said where the status says it.
    pub again: Option<bool>,
}

/// The error's type that goes with a status.
#[must_use]
pub fn kind(status: u16) -> &'static str {
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

/// The status that goes with an error's type, where the answer has not begun.
#[must_use]
pub fn status(kind: &str) -> u16 {
    match kind {
        "timeout_error" => 504,
        "overloaded_error" => 529,
        _ => 500,
    }
}

impl ApiError {
    /// With this status and these words.
    pub fn new(status: u16, words: impl Into<String>) -> ApiError {
        ApiError { status, words: words.into(), wait: None, again: None }
    }

    /// The client should stay away for so long.
    #[must_use]
    pub fn wait(self, wait: Duration) -> ApiError {
        ApiError { wait: Some(wait), ..self }
    }

    /// Whether a new try does no harm.
    #[must_use]
    pub fn again(self, again: bool) -> ApiError {
        ApiError { again: Some(again), ..self }
    }

    /// The answer to the request of this id.
    #[must_use]
    pub fn reply(&self, id: &str) -> Reply {
        let mut body = Vec::new();
        let mut object = Object::new(&mut body);
        object.set("type", "error");
        object.object("error").set("type", kind(self.status)).set("message", &self.words);
        object.set("request_id", id);
        drop(object);
        let mut reply = Reply::json(self.status, body).with("request-id", id);
        if let Some(wait) = self.wait {
            // The one header for whoever knows only whole seconds or parts of them, the other one exactly.
            reply = reply.retry_after(wait).with("retry-after-ms", wait.as_millis());
        }
        match self.again {
            Some(again) => reply.with("x-should-retry", again),
            None => reply,
        }
    }
}
