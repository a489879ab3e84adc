//! One attempt at a real server, up to its answer's head.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rustix::io::Errno;

use super::connection::Connection;
use super::open_answer::OpenAnswer;
use super::response_head::read_head;
use super::{Fleet, within};
use crate::engine::Ending;
use crate::front::{Dialect, ForwardedRequest};
use crate::limits::Limits;
use crate::net::codec::{Body, Head};
use crate::types::{ReplicaId, Verdict};

/// Why no answer began.
pub(super) enum Refusal {
    /// The scheduling ended.
    Scheduling(Ending),
    /// The request itself is wrong, with this status and these words.
    Request(u16, String),
}

impl From<Verdict> for Refusal {
    fn from(verdict: Verdict) -> Refusal {
        Refusal::Scheduling(verdict.into())
    }
}

impl Fleet {
    /// One scheduling up to its first event, or to its end if it has none.
    pub(super) async fn begin(
        &self,
        server: &ReplicaId,
        forwarded: &ForwardedRequest,
        timeout: Duration,
        write_within: Duration,
    ) -> Result<OpenAnswer, Refusal> {
        let from = Instant::now();
        let Some((addr, dialect)) = self.place(server) else { return Err(Verdict::NotSent.into()) };
        // No real server had this dialect when the request came, or it would have been refused then.
        let (request, content) =
            forwarded.bytes(dialect, timeout).map_err(|what| Refusal::Request(400, what))?;
        let mut connection = self.connection(server, addr).await.map_err(|e| {
            log::debug!(server = &*server.0, after:? = from.elapsed(); "no-connection: {e}");
            connect_verdict(&e)
        })?;
        // Guards against sending to a real server that began to drain while the connection came up.
        if self.place(server).is_none_or(|(now, _)| now != addr) {
            log::info!(server = &*server.0; "drained-while-connecting: nothing was sent");
            return Err(Verdict::NotSent.into());
        }
        // Guards against a second run: what discards a repeat does so within a window only.
        if from.elapsed() >= write_within {
            log::info!(server = &*server.0; "window-over: a repeat whose connection came up too late was not sent");
            return Err(Verdict::NotSent.into());
        }
        // Guards against a request that goes on arriving when it was given up: what the system still holds of it is
        // dropped with the connection.
        connection.wire.reset_on_drop = true;
        // Until its last byte is written the request can't have run.
        connection.wire.write_both(&request, content).await.map_err(|_| Verdict::NoConnection)?;
        drop(request);
        let reset = |e: io::Error| {
            log::debug!(server = &*server.0, after:? = from.elapsed(); "reset: {e}");
            Verdict::Reset
        };
        let head = read_head(&mut connection.wire, &self.limits).await.map_err(reset)?;
        let report = self.load(&head);
        let body = head.response_body().map_err(|_| Verdict::Error)?;
        let stream = head.get("content-type").is_some_and(|t| t.starts_with("text/event-stream"));
        if head.status() != 200 || !stream {
            let verdict = unserved_verdict(&head, dialect);
            log::debug!(server = &*server.0, status = head.status(), verdict:? = verdict; "answer: it serves nobody");
            let told = self.finish_unserved(server, addr, connection, &head, body).await;
            return Err(match head.status() {
                // Guards against taking a bad request for a bad real server, and trying it on all the others.
                status @ (400..=407 | 409..=420 | 422..=424 | 426..=428 | 431..=499) => {
                    Refusal::Request(status, words(&told, &self.limits))
                }
                _ => Refusal::Scheduling(Ending { report, ..verdict.into() }),
            });
        }
        let keep = head.keeps_alive(&head.start[0]) && body != Body::UntilClose;
        // What came together with the head is of the stream already.
        let early = connection.wire.buf.len();
        Ok(OpenAnswer {
            server: server.clone(),
            addr,
            connection,
            dialect,
            body,
            keep,
            spoilt: false,
            failed: false,
            text: Vec::new(),
            scanned: 0,
            came: 0,
            early,
            last: false,
            usage: None,
            report,
        })
    }

    /// Reads what is left of an answer that serves nobody, if it comes soon: a new connection would cost more.
    async fn finish_unserved(
        &self,
        server: &ReplicaId,
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
        let whole = within(self.limits.rest_read, rest).await.unwrap_or(false);
        connection.wire.reset_on_drop = !whole;
        if whole && head.keeps_alive(&head.start[0]) {
            self.give_back(server, addr, connection);
        }
        text
    }
}

/// What a failure to connect says of the real server.
fn connect_verdict(error: &io::Error) -> Verdict {
    // Guards against blaming a real server, and its zone, for a want of descriptors here.
    match Errno::from_io_error(error) {
        _ if error.kind() == io::ErrorKind::QuotaExceeded => Verdict::NotSent,
        // No descriptor is free in the system or in this process.
        Some(Errno::NFILE | Errno::MFILE) => Verdict::NotSent,
        _ => Verdict::NoConnection,
    }
}

/// What the head of an answer that serves nobody says of the real server.
fn unserved_verdict(head: &Head, dialect: Dialect) -> Verdict {
    match (head.status(), dialect) {
        (503 | 504, _) if head.get("x-not-run") == Some("1") => Verdict::Full,
        // The messages API turns away so, without having run anything.
        (429 | 529, Dialect::Messages) => Verdict::Full,
        _ => Verdict::Error,
    }
}

/// What a real server says of a request that it holds for wrong, in either dialect's form.
fn words(told: &[u8], limits: &Limits) -> String {
    let usual = "a real server rejected the request";
    let value: serde_json::Value = serde_json::from_slice(told).unwrap_or_default();
    let error = &value["error"];
    let said = error["message"].as_str().or(error.as_str()).or(value["message"].as_str()).unwrap_or(usual);
    said.chars().take(limits.messages.words_bytes / 4).filter(|c| !c.is_control()).collect()
}
