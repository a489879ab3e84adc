//! The final answers to one request, in its client's dialect.

use std::time::Duration;

use super::messages::errors::{self, ApiError};
use super::translate::error_of;
use super::{Dialect, Headers, Reply};
use crate::engine::FailureReason;
use crate::stream::Cause;
use tulipridge_http1::codec::ParseError;

/// What a client's answers are formed by.
#[derive(Clone, Debug)]
pub struct Responder {
    /// Its dialect.
    pub dialect: Dialect,
    /// Its request's id.
    pub id: String,
    /// A second run of its request does no harm.
    pub safe: bool,
    /// Headers of every answer to it.
    pub headers: Headers,
}

impl Responder {
    /// For a request of which nothing more is known.
    #[must_use]
    pub fn new(dialect: Dialect, id: &str) -> Responder {
        Responder { dialect, id: id.to_owned(), safe: false, headers: Vec::new() }
    }

    pub(super) fn error_reply(&self, error: ApiError) -> Reply {
        error.reply(&self.id).with_all(&self.headers)
    }

    /// A line that is no refusal.
    #[must_use]
    pub fn note(&self, status: u16, words: &str) -> Reply {
        let reply = Reply::text(status, words);
        if self.dialect == Dialect::Messages { reply.with("request-id", &self.id) } else { reply }
    }

    /// What is wrong with the request.
    #[must_use]
    pub fn bad(&self, status: u16, words: &str) -> Reply {
        match self.dialect {
            Dialect::Platform => Reply::text(status, words),
            Dialect::Messages => self.error_reply(ApiError::new(status, words)),
        }
    }

    /// The same, of its form.
    #[must_use]
    pub fn malformed(&self, bad: ParseError) -> Reply {
        self.bad(bad.status, bad.what)
    }

    /// The module turned it down.
    #[must_use]
    pub fn turn_down(&self, wait: Duration) -> Reply {
        let words = "turned down; a new try does no harm";
        match self.dialect {
            Dialect::Platform => Reply::text(503, words).retry_after(wait),
            Dialect::Messages => self.error_reply(ApiError::new(529, words).wait(wait).again(true)),
        }
    }

    /// The module failed it.
    #[must_use]
    pub fn failed(&self, reason: FailureReason) -> Reply {
        if self.dialect == Dialect::Platform {
            return Reply::text(504, "no answer in time").retry_after(Duration::ZERO);
        }
        let (status, words) = match reason {
            FailureReason::TurnedAway => (529, "all real servers turned it away until its time was over"),
            FailureReason::Errors => (500, "the real servers failed it"),
            FailureReason::Silence => (504, "no answer in time"),
        };
        // What nobody has run does no harm.
        let again = self.safe || reason == FailureReason::TurnedAway;
        self.error_reply(ApiError::new(status, words).wait(Duration::ZERO).again(again))
    }

    /// A whole answer broke on its way: nothing of it has reached the client.
    pub(super) fn broke(&self, cause: Cause, told: Option<(&str, &str)>) -> Reply {
        let (kind, words) = told.or(error_of(cause)).unwrap_or(("api_error", "the answer broke"));
        self.error_reply(ApiError::new(errors::status(kind), words).wait(Duration::ZERO).again(self.safe))
    }

    /// The head of a stream, but for the line that ends it.
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
