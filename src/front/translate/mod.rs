//! Translation between dialects: requests as a whole, streams event by event.
//!
//! A field of a request without a counterpart is refused by name; such an event of a stream is omitted, counted, and logged
//! the first time. Within one dialect bytes are forwarded unchanged.

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

pub use response_part::{ResponsePart, Stop, Usage};

use crate::limits::Limits;
use crate::names::Dialect;
use crate::stream::Cause;
use tulipridge_http1::codec::{self, SseBlock};

/// Reads a stream of either dialect.
pub enum Reader {
    /// The platform's.
    Platform(platform::Reader),
    /// The messages API's.
    Messages(messages::Reader),
}

impl Reader {
    /// Creates a reader for a stream of this dialect.
    #[must_use]
    pub fn new(dialect: Dialect) -> Reader {
        match dialect {
            Dialect::Platform => Reader::Platform(platform::Reader::default()),
            Dialect::Messages => Reader::Messages(messages::Reader::default()),
        }
    }

    /// Appends the parts of an event.
    pub fn read(&mut self, block: SseBlock<'_>, out: &mut Vec<ResponsePart>) {
        match self {
            Reader::Platform(reader) => reader.read(block, out),
            Reader::Messages(reader) => reader.read(block, out),
        }
    }
}

/// The token usage that an event of this dialect states.
#[must_use]
pub fn usage(dialect: Dialect, block: SseBlock<'_>) -> Option<Usage> {
    match dialect {
        Dialect::Platform => platform::usage(block),
        Dialect::Messages => messages::usage(block),
    }
}

/// Counts of omitted events by name.
pub struct OmissionLog {
    names: RefCell<BTreeMap<String, u64>>,
    others: RefCell<u64>,
    max_names: usize,
}

impl OmissionLog {
    /// Starts without counts.
    #[must_use]
    pub fn new(limits: &Limits) -> OmissionLog {
        OmissionLog {
            names: RefCell::default(),
            others: RefCell::default(),
            max_names: limits.log.unknown_event_names,
        }
    }

    /// Counts an omitted event; the first one of a name is logged.
    pub fn count(&self, name: &str) {
        let mut names = self.names.borrow_mut();
        if let Some(count) = names.get_mut(name) {
            *count += 1;
        } else if names.len() < self.max_names {
            log::warn!(name = name; "event-omitted: it has no counterpart in the client's dialect");
            names.insert(name.to_owned(), 1);
        } else {
            // Bounds the memory for a replica that sends ever new names.
            *self.others.borrow_mut() += 1;
        }
    }

    /// The names and counts; names beyond the bound are counted together under an empty name.
    pub fn counts(&self) -> Vec<(String, u64)> {
        let mut counts: Vec<_> = self.names.borrow().iter().map(|(name, n)| (name.clone(), *n)).collect();
        let others = *self.others.borrow();
        counts.extend((others > 0).then(|| (String::new(), others)));
        counts
    }

    /// Logs the counts.
    pub fn log(&self) {
        for (name, count) in self.counts() {
            log::info!(name = name, count = count; "events-omitted: since the start");
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
    /// The stop reason was written.
    stopped: bool,
    /// The last event was written.
    is_over: bool,
    parts: Vec<ResponsePart>,
}

impl StreamTranslator {
    /// Starts a stream in the client's dialect.
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
            stopped: false,
            is_over: false,
            parts: Vec::new(),
        }
    }

    /// Appends the client's bytes for complete events, if there are any.
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

    /// Appends the end of a complete stream. Some replicas end without their dialect's last event: then the client's last
    /// event is written if a stop reason was received, and otherwise at least what is buffered.
    pub fn finish(&mut self, out: &mut Vec<u8>) {
        if self.reader.is_none() || self.is_over {
            return;
        }
        match &mut self.writer {
            _ if self.stopped => self.write(ResponsePart::End, out),
            Writer::Platform(_) => {}
            Writer::Messages(writer) => writer.flush(out),
        }
    }

    fn write(&mut self, part: ResponsePart, out: &mut Vec<u8>) {
        match &part {
            ResponsePart::Unknown(name) => self.omissions.count(name),
            ResponsePart::Usage(usage) => self.usage = self.usage.max(*usage),
            ResponsePart::Stop(_) => self.stopped = true,
            ResponsePart::End | ResponsePart::Error(..) => self.is_over = true,
            _ => {}
        }
        match &mut self.writer {
            Writer::Platform(writer) => writer.write(part, self.usage, out),
            Writer::Messages(writer) => writer.write(part, self.usage, out),
        }
    }

    /// Whether any event was translated.
    #[must_use]
    pub fn translates(&self) -> bool {
        self.reader.is_some()
    }

    /// Bytes that are buffered until their block may begin.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        match &self.writer {
            Writer::Platform(_) => 0,
            Writer::Messages(writer) => writer.waiting(),
        }
    }

    /// Whether more had to be buffered than is allowed, so that the stream can't continue.
    #[must_use]
    pub fn is_full(&self) -> bool {
        matches!(&self.writer, Writer::Messages(writer) if writer.is_full())
    }

    /// The client's bytes for the end of an incomplete stream.
    pub fn broken(&mut self, cause: Cause) -> Vec<u8> {
        let mut bytes = Vec::new();
        // After `Failed` the replica's own error event was forwarded already.
        if let Some((kind, message)) = error_of(cause).filter(|_| cause != Cause::Failed)
            && let Writer::Messages(writer) = &mut self.writer
        {
            writer.write(ResponsePart::Error(kind.into(), message.into()), self.usage, &mut bytes);
        }
        bytes
    }
}

/// The error type and message for the cause of an end; `None` for a complete stream.
#[must_use]
pub fn error_of(cause: Cause) -> Option<(&'static str, &'static str)> {
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
