//! Translation between dialects: a request in one step, a stream event by event.
//!
//! A request with a field that has no counterpart is refused, with the field's name. An event of a stream that has no
//! counterpart is omitted, counted, and logged once for each name. Within one dialect, bytes are forwarded unchanged.

mod blocks;
mod event;
pub mod messages;
pub mod platform;
mod refusal;
mod response_part;
pub mod text_fragment;
pub mod to_messages;
pub mod to_platform;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

pub use response_part::{ResponsePart, StopReason, Usage};

use crate::limits::Limits;
use crate::names::Dialect;
use crate::stream::Cause;
use tulipridge_http1::codec::{self, SseBlock};

/// Parser of a stream of either dialect.
pub enum Reader {
    /// Parser for the platform's dialect.
    Platform(platform::Reader),
    /// Parser for the messages API.
    Messages(messages::Reader),
}

impl Reader {
    /// Creates a reader for a stream in the dialect `dialect`.
    #[must_use]
    pub fn new(dialect: Dialect) -> Reader {
        match dialect {
            Dialect::Platform => Reader::Platform(platform::Reader::default()),
            Dialect::Messages => Reader::Messages(messages::Reader::default()),
        }
    }

    /// Parses an event and appends its parts to `out`.
    pub fn read(&mut self, block: SseBlock<'_>, out: &mut Vec<ResponsePart>) {
        match self {
            Reader::Platform(reader) => reader.read(block, out),
            Reader::Messages(reader) => reader.read(block, out),
        }
    }
}

/// Token usage by an event of the dialect `dialect`, if the event states any.
#[must_use]
pub fn usage(dialect: Dialect, block: SseBlock<'_>) -> Option<Usage> {
    match dialect {
        Dialect::Platform => platform::usage(block),
        Dialect::Messages => messages::usage(block),
    }
}

/// Counts omitted events by name, for a bounded number of names.
pub struct OmissionLog {
    names: RefCell<BTreeMap<String, u64>>,
    unlisted_count: RefCell<u64>,
    max_names: usize,
}

impl OmissionLog {
    /// Creates a log without counts.
    #[must_use]
    pub fn new(limits: &Limits) -> OmissionLog {
        OmissionLog {
            names: RefCell::default(),
            unlisted_count: RefCell::default(),
            max_names: limits.log.unknown_event_names,
        }
    }

    /// Counts an omitted event, and logs it if it is the first one of its name.
    pub fn count(&self, name: &str) {
        let mut names = self.names.borrow_mut();
        if let Some(count) = names.get_mut(name) {
            *count += 1;
        } else if names.len() < self.max_names {
            log::warn!(name = name; "event-omitted: the event has no counterpart in the client's dialect; others of this name are only counted");
            names.insert(name.to_owned(), 1);
        } else {
            // Bounds the memory if a replica sends an unlimited number of names.
            *self.unlisted_count.borrow_mut() += 1;
        }
    }

    /// Names and counts. All names beyond the maximum number have one common count, under an empty name.
    pub fn counts(&self) -> Vec<(String, u64)> {
        let mut counts: Vec<_> = self.names.borrow().iter().map(|(name, n)| (name.clone(), *n)).collect();
        let unlisted_count = *self.unlisted_count.borrow();
        counts.extend((unlisted_count > 0).then(|| (String::new(), unlisted_count)));
        counts
    }

    /// Logs all counts.
    pub fn log(&self) {
        for (name, count) in self.counts() {
            log::info!(name = name, count = count; "events-omitted: number of omitted events of this name since the start");
        }
    }
}

enum Writer {
    Platform(platform::Writer),
    Messages(Box<messages::Writer>),
}

/// Translates a stream's events from a replica's dialect into the client's.
pub struct StreamTranslator {
    client: Dialect,
    writer: Writer,
    reader: Option<(Dialect, Reader)>,
    omissions: Rc<OmissionLog>,
    usage: Usage,
    /// Whether the stop reason was written.
    has_stop_reason: bool,
    /// Whether the last event was written.
    has_ended: bool,
    parts: Vec<ResponsePart>,
}

impl StreamTranslator {
    /// Creates a translator for a stream in the dialect `client`.
    pub fn new(
        client: Dialect,
        id: &str,
        model: &str,
        omissions: Rc<OmissionLog>,
        limits: &Limits,
    ) -> StreamTranslator {
        let writer = match client {
            Dialect::Platform => Writer::Platform(platform::Writer::default()),
            Dialect::Messages => Writer::Messages(Box::new(messages::Writer::new(
                id,
                model,
                limits.messages.pending_tool_call_bytes,
            ))),
        };
        StreamTranslator {
            client,
            writer,
            reader: None,
            omissions,
            usage: Usage::default(),
            has_stop_reason: false,
            has_ended: false,
            parts: Vec::new(),
        }
    }

    /// Translates complete events, and appends the result to `out`. The result may be empty.
    pub fn events(&mut self, replica: Dialect, events: &[u8], out: &mut Vec<u8>) {
        if replica == self.client {
            return out.extend_from_slice(events);
        }
        if self.reader.as_ref().is_none_or(|(dialect, _)| *dialect != replica) {
            self.reader = Some((replica, Reader::new(replica)));
        }
        let mut parts = std::mem::take(&mut self.parts);
        for block in codec::sse_blocks(events) {
            let Some((_, reader)) = &mut self.reader else { break };
            reader.read(block, &mut parts);
            for part in parts.drain(..) {
                self.write(part, out);
            }
        }
        self.parts = parts;
    }

    /// Appends the end of a complete stream. Some replicas don't send the last event of their dialect. In that case the
    /// client's last event is written if a stop reason was received, and otherwise only the buffered blocks.
    pub fn finish(&mut self, out: &mut Vec<u8>) {
        if self.reader.is_none() || self.has_ended {
            return;
        }
        match &mut self.writer {
            _ if self.has_stop_reason => self.write(ResponsePart::End, out),
            Writer::Platform(_) => {}
            Writer::Messages(writer) => writer.flush(out),
        }
    }

    fn write(&mut self, part: ResponsePart, out: &mut Vec<u8>) {
        match &part {
            ResponsePart::Unknown(name) => self.omissions.count(name),
            ResponsePart::Usage(usage) => self.usage = self.usage.max(*usage),
            ResponsePart::Stop(_) => self.has_stop_reason = true,
            ResponsePart::End | ResponsePart::Error(..) => self.has_ended = true,
            _ => {}
        }
        match &mut self.writer {
            Writer::Platform(writer) => writer.write(part, self.usage, out),
            Writer::Messages(writer) => writer.write(part, self.usage, out),
        }
    }

    /// Whether any event needed translation.
    #[must_use]
    pub fn has_translated(&self) -> bool {
        self.reader.is_some()
    }

    /// Number of bytes that are buffered until their block can start.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        match &self.writer {
            Writer::Platform(_) => 0,
            Writer::Messages(writer) => writer.pending_bytes(),
        }
    }

    /// Whether the buffer limit was exceeded, so that the stream can't continue.
    #[must_use]
    pub fn is_full(&self) -> bool {
        matches!(&self.writer, Writer::Messages(writer) if writer.is_full())
    }

    /// Creates the client's events for the end of an incomplete stream. None in the platform's dialect, and none if the
    /// replica's error event was forwarded.
    pub fn abort(&mut self, cause: Cause) -> Vec<u8> {
        let mut bytes = Vec::new();
        // After `Failed`, the replica's error event was already forwarded.
        if let Some((kind, message)) = error_for(cause).filter(|_| cause != Cause::Failed)
            && let Writer::Messages(writer) = &mut self.writer
        {
            writer.write(ResponsePart::Error(kind.into(), message.into()), self.usage, &mut bytes);
        }
        bytes
    }
}

/// Error type and message for the cause of a stream's end; `None` for a complete stream.
#[must_use]
pub fn error_for(cause: Cause) -> Option<(&'static str, &'static str)> {
    Some(match cause {
        Cause::Complete => return None,
        Cause::Failed => ("api_error", "the replica failed during its response"),
        Cause::Stalled => ("timeout_error", "the stream stalled"),
        Cause::Shutdown => ("overloaded_error", "this gateway is stopping; ask again"),
        Cause::Budget => ("overloaded_error", "too much of this stream was waiting to be read"),
        Cause::ReaderSlow => ("timeout_error", "the stream was read too slowly"),
        Cause::TooLong => ("api_error", "the response exceeds the buffer"),
        _ => ("api_error", "the stream broke"),
    })
}
