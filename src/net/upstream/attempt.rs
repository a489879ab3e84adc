//! One attempt at a replica, up to the head of its response.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rustix::io::Errno;

use super::connection::Connection;
use super::open_response::OpenResponse;
use super::response_head::read_head;
use super::{Endpoint, Fleet, within};
use crate::engine::{AttemptOutcome, Rejection};
use crate::front::{BodyError, Dialect, ForwardedRequest};
use crate::limits::Limits;
use crate::net::codec::{Body, Head};
use crate::types::{ReplicaId, Verdict};

/// Why an attempt has no response to forward.
pub(super) enum AttemptFailure {
    /// The attempt failed.
    Attempt(AttemptOutcome),
    /// The request itself is invalid.
    Request(Rejection),
}

impl From<Verdict> for AttemptFailure {
    fn from(verdict: Verdict) -> AttemptFailure {
        AttemptFailure::Attempt(verdict.into())
    }
}

impl Fleet {
    /// Sends an attempt and reads the head of its response.
    pub(super) async fn send_attempt(
        &self,
        replica: &ReplicaId,
        forwarded: &ForwardedRequest,
        timeout: Duration,
        write_within: Duration,
    ) -> Result<OpenResponse, AttemptFailure> {
        let from = Instant::now();
        let Some(Endpoint { addr, dialect }) = self.endpoint(replica) else {
            return Err(Verdict::NotSent.into());
        };
        // A body that is invalid in this dialect would have been rejected on arrival if a replica had the dialect then.
        let (request, content) = forwarded
            .bytes(dialect, timeout)
            .map_err(|error| AttemptFailure::Request(invalid_body(&error)))?;
        let mut connection = self.connect_in_time(replica, addr, from, write_within).await?;
        // A reset discards the part of an abandoned request that is still in the send buffer.
        connection.wire.reset_on_drop = true;
        // A request that was not written completely can't have run.
        connection.wire.write_both(&request, content).await.map_err(|_| Verdict::NoConnection)?;
        drop(request);
        let reset = |e: io::Error| {
            log::debug!(replica = &*replica.0, after:? = from.elapsed(); "reset: the attempt ended before a response head: {e}");
            Verdict::Reset
        };
        let head = read_head(&mut connection.wire, &self.limits).await.map_err(reset)?;
        let report = self.load(&head);
        let body = head.response_body().map_err(|_| Verdict::Error)?;
        let stream = head.get("content-type").is_some_and(|t| t.starts_with("text/event-stream"));
        if head.status() != 200 || !stream {
            let verdict = unusable_verdict(&head, dialect);
            log::debug!(replica = &*replica.0, status = head.status(), verdict:? = verdict; "unusable-response: expected an event stream with status 200");
            let content = self.drain_unusable(replica, addr, connection, &head, body).await;
            return Err(match head.status() {
                // The fault is in the request and not in the replica, so the request is not retried elsewhere.
                status @ (400..=407 | 409..=420 | 422..=424 | 426..=428 | 431..=499) => {
                    AttemptFailure::Request(Rejection {
                        status,
                        message: rejection_message(&content, &self.limits),
                    })
                }
                _ => AttemptFailure::Attempt(AttemptOutcome { load_report: report, ..verdict.into() }),
            });
        }
        let keep = head.keeps_alive(&head.start[0]) && body != Body::UntilClose;
        // Bytes that arrived together with the head belong to the stream.
        let received_early = connection.wire.buf.len();
        Ok(OpenResponse {
            replica: replica.clone(),
            addr,
            connection,
            dialect,
            body,
            keep,
            malformed: false,
            failed: false,
            text: Vec::new(),
            scanned: 0,
            received: 0,
            received_early,
            last: false,
            usage: None,
            report,
        })
    }

    /// Returns a connection on which an attempt that started at `from` may still be sent.
    async fn connect_in_time(
        &self,
        replica: &ReplicaId,
        addr: SocketAddr,
        from: Instant,
        write_within: Duration,
    ) -> Result<Connection, Verdict> {
        let connection = self.connection(replica, addr).await.map_err(|error| {
            log::debug!(replica = &*replica.0, after:? = from.elapsed(); "no-connection: connecting to the replica failed: {error}");
            connect_verdict(&error)
        })?;
        // The replica may have started to drain while the connection was established.
        if self.endpoint(replica).is_none_or(|now| now.addr != addr) {
            log::info!(replica = &*replica.0; "drained-while-connecting: the replica is no longer ready at this address; the attempt was not sent");
            return Err(Verdict::NotSent);
        }
        // Further attempts are deduplicated only within a window; after that the request could run a second time.
        if from.elapsed() >= write_within {
            log::info!(replica = &*replica.0; "window-over: the deduplication window passed while connecting; the attempt was not sent");
            return Err(Verdict::NotSent);
        }
        Ok(connection)
    }

    /// Reads the rest of an unusable response within the drain timeout, so that its connection can be reused.
    async fn drain_unusable(
        &self,
        replica: &ReplicaId,
        addr: SocketAddr,
        mut connection: Connection,
        head: &Head,
        mut body: Body,
    ) -> Vec<u8> {
        let mut text = Vec::new();
        let rest = async {
            while text.len() <= self.limits.wire.event_bytes {
                match body.take(&mut connection.wire.buf, &mut text, &self.limits.wire) {
                    Ok(true) => return true,
                    Ok(false) if connection.wire.fill(&self.limits.wire).await.is_ok_and(|n| n > 0) => {}
                    _ => return false,
                }
            }
            false
        };
        let is_complete = within(self.limits.replicas.drain_timeout, rest).await.unwrap_or(false);
        connection.wire.reset_on_drop = !is_complete;
        if is_complete && head.keeps_alive(&head.start[0]) {
            self.give_back(replica, addr, connection);
        }
        text
    }
}

fn invalid_body(error: &BodyError) -> Rejection {
    Rejection { status: 400, message: error.to_string() }
}

/// The verdict on a replica after a failure to connect.
fn connect_verdict(error: &io::Error) -> Verdict {
    // A lack of descriptors in this process must not count against the replica or its zone.
    match Errno::from_io_error(error) {
        _ if error.kind() == io::ErrorKind::QuotaExceeded => Verdict::NotSent,
        // No descriptor is free in the system or in this process.
        Some(Errno::NFILE | Errno::MFILE) => Verdict::NotSent,
        _ => Verdict::NoConnection,
    }
}

/// The verdict on a replica after an unusable response.
fn unusable_verdict(head: &Head, dialect: Dialect) -> Verdict {
    match (head.status(), dialect) {
        (503 | 504, _) if head.get("x-not-run") == Some("1") => Verdict::Full,
        // The messages API sheds requests with these statuses without having run them.
        (429 | 529, Dialect::Messages) => Verdict::Full,
        _ => Verdict::Error,
    }
}

/// Extracts a replica's message about an invalid request, in the form of either dialect.
fn rejection_message(content: &[u8], limits: &Limits) -> String {
    let default = "a replica rejected the request";
    let value: serde_json::Value = serde_json::from_slice(content).unwrap_or_default();
    let error = &value["error"];
    let message =
        error["message"].as_str().or(error.as_str()).or(value["message"].as_str()).unwrap_or(default);
    message.chars().take(limits.messages.error_message_bytes / 4).filter(|c| !c.is_control()).collect()
}
