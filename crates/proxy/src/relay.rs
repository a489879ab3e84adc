//! Passes a replica's success on to a client as it arrives.

use std::future::poll_fn;
use std::io::{self, Write};
use std::task::{Context, Poll};
use std::time::Instant;

use tulipridge_http1::codec::{Body, LAST_CHUNK};

use crate::alarms::Alarm;
use crate::client::Client;
use crate::events::EventTracker;
use crate::headers::{self, After, Framing};
use crate::proxy::Proxy;
use crate::replica::attempt::Answer;

/// How the passing on of an answer has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayEnd {
    /// The client has it whole.
    Whole,
    /// The replica broke off, or it took too long.
    Broken,
    /// The client has left.
    ClientLeft,
}

/// An answer on its way to a client, of which replicas may have sent one part each.
pub struct Relay {
    framing: Framing,
    after: After,
    head_written: bool,
    /// Notes whole events where the stream may be resumed.
    events: Option<EventTracker>,
    /// Bytes of the body that are passed on next.
    payload: Vec<u8>,
    /// Bytes that are written to the client next.
    line: Vec<u8>,
}

/// What a wait for more of an answer gave.
enum Arrival {
    Read(io::Result<usize>),
    ClientLeft,
    TooLate,
}

impl Relay {
    /// For an answer whose head is passed on with its first bytes. `may_resume` says that the route lets another
    /// replica go on with it.
    pub fn new(answer: &Answer, may_resume: bool, after: After, is_head_request: bool) -> Relay {
        let is_stream = answer
            .head
            .get("content-type")
            .is_some_and(|content_type| content_type.starts_with("text/event-stream"));
        let events = (may_resume && is_stream && !is_head_request).then(EventTracker::default);
        let framing = match answer.framing {
            _ if is_head_request || matches!(answer.head.status(), 204 | 304) => Framing::None,
            // Another replica's part may have another length.
            _ if events.is_some() => Framing::Chunked,
            Body::Length(length) => Framing::Length(length),
            Body::Chunked(_) => Framing::Chunked,
            Body::UntilClose => Framing::UntilClose,
        };
        let after = if framing == Framing::UntilClose { After::Close } else { after };
        let (payload, line) = (Vec::new(), Vec::new());
        Relay { framing, after, head_written: false, events, payload, line }
    }

    /// What becomes of the client's connection after the answer.
    #[must_use]
    pub fn after(&self) -> After {
        self.after
    }

    /// The client has been sent a part of the answer, or its head.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.head_written
    }

    /// The end of the connection is all that tells the client where the answer ends.
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        self.framing == Framing::UntilClose
    }

    /// The id of the last event that was passed on.
    pub fn last_event_id(&self) -> Option<&str> {
        self.events.as_ref().and_then(EventTracker::last_id)
    }

    /// Makes ready for another replica's part; false if none can follow.
    pub fn prepare_resume(&mut self) -> bool {
        self.events.as_mut().is_some_and(EventTracker::drop_partial)
    }

    /// Passes on an answer, or what another replica adds to it, up to its end.
    pub async fn pass_on(
        &mut self,
        proxy: &Proxy,
        client: &mut Client<'_>,
        mut answer: Answer,
        give_up_at: Instant,
    ) -> RelayEnd {
        let mut too_late = proxy.alarms.at(give_up_at);
        loop {
            self.fill_line(&mut answer);
            if !self.line.is_empty() {
                match proxy.alarms.by(give_up_at, client.wire.write(&self.line)).await {
                    Some(Ok(())) => self.line.clear(),
                    Some(Err(_)) => return RelayEnd::ClientLeft,
                    None => return RelayEnd::Broken,
                }
            }
            if answer.is_whole {
                answer.finish(&proxy.pool);
                return RelayEnd::Whole;
            }
            let arrival =
                poll_fn(|context| poll_arrival(proxy, client, &mut answer, &mut too_late, context));
            let read = match arrival.await {
                Arrival::Read(read) => read,
                Arrival::TooLate => return RelayEnd::Broken,
                Arrival::ClientLeft => return RelayEnd::ClientLeft,
            };
            if answer.came(read, &proxy.pool).is_err() {
                return RelayEnd::Broken;
            }
        }
    }

    /// Puts what has come of an answer in line for the client. Of a stream that may be resumed nothing is before
    /// its first event is whole, so that another replica can still give the whole answer.
    fn fill_line(&mut self, answer: &mut Answer) {
        self.fill_payload(answer);
        if self.events.is_some() && self.payload.is_empty() && !answer.is_whole {
            return;
        }
        if !std::mem::replace(&mut self.head_written, true) {
            headers::write_answer(&answer.head, self.framing, self.after, &mut self.line);
        }
        match self.framing {
            Framing::None => {}
            Framing::Length(_) | Framing::UntilClose => self.line.extend_from_slice(&self.payload),
            Framing::Chunked => self.fill_chunk(answer.is_whole),
        }
        self.payload.clear();
    }

    fn fill_payload(&mut self, answer: &mut Answer) {
        match &mut self.events {
            Some(events) => {
                events.pass(&mut answer.bytes, &mut self.payload);
                if answer.is_whole {
                    events.finish(&mut self.payload);
                }
            }
            None => std::mem::swap(&mut self.payload, &mut answer.bytes),
        }
    }

    fn fill_chunk(&mut self, is_last: bool) {
        if !self.payload.is_empty() {
            let _ = write!(self.line, "{:x}\r\n", self.payload.len());
            self.line.extend_from_slice(&self.payload);
            self.line.extend_from_slice(b"\r\n");
        }
        if is_last {
            self.line.extend_from_slice(LAST_CHUNK);
        }
    }
}

fn poll_arrival(
    proxy: &Proxy,
    client: &mut Client<'_>,
    answer: &mut Answer,
    too_late: &mut Alarm,
    context: &mut Context<'_>,
) -> Poll<Arrival> {
    if let Poll::Ready(read) = answer.connection.poll_fill(context, proxy.pool.limits()) {
        return Poll::Ready(Arrival::Read(read));
    }
    if client.poll_gone(context).is_ready() {
        return Poll::Ready(Arrival::ClientLeft);
    }
    too_late.poll_passed(context).map(|()| Arrival::TooLate)
}
