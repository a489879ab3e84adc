//! From one dialect into the other: requests as a whole, streams event by event.
//!
//! What has no counterpart in a request is refused by its name; in a stream it is left out, counted, and logged at
//! its first time. Within one dialect bytes pass untouched.

mod answer_part;
mod blocks;
mod event;
pub mod messages;
pub mod platform;
mod refusal;
pub mod text_fragment;
pub mod to_messages;
pub mod to_platform;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

pub use answer_part::{AnswerPart, Stop, Usage};

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
    /// For a stream of this dialect.
    #[must_use]
    pub fn new(dialect: Dialect) -> Reader {
        match dialect {
            Dialect::Platform => Reader::Platform(platform::Reader::default()),
            Dialect::Messages => Reader::Messages(messages::Reader::default()),
        }
    }

    /// Adds what an event says.
    pub fn read(&mut self, block: SseBlock<'_>, out: &mut Vec<AnswerPart>) {
        match self {
            Reader::Platform(reader) => reader.read(block, out),
            Reader::Messages(reader) => reader.read(block, out),
        }
    }
}

/// Tokens that an event of this dialect tells.
#[must_use]
pub fn usage(dialect: Dialect, block: SseBlock<'_>) -> Option<Usage> {
    match dialect {
        Dialect::Platform => platform::usage(block),
        Dialect::Messages => messages::usage(block),
    }
}

/// Names of what was left out between dialects, each with how often.
pub struct OmissionLog {
    names: RefCell<BTreeMap<String, u64>>,
    others: RefCell<u64>,
    most: usize,
}

impl OmissionLog {
    /// None so far.
    #[must_use]
    pub fn new(limits: &Limits) -> OmissionLog {
        OmissionLog { names: RefCell::default(), others: RefCell::default(), most: limits.names_noted }
    }

    /// Counts one more of that name; the first is logged.
    pub fn note(&self, name: &str) {
        let mut names = self.names.borrow_mut();
        if let Some(count) = names.get_mut(name) {
            *count += 1;
        } else if names.len() < self.most {
            log::warn!(name = name; "event-left-out: it has no counterpart in the client's dialect");
            names.insert(name.to_owned(), 1);
        } else {
            // Guards against a real server that invents names without end.
            *self.others.borrow_mut() += 1;
        }
    }

    /// What was left out, and how often; names beyond the bound are counted together, without a name.
    pub fn counts(&self) -> Vec<(String, u64)> {
        let mut counts: Vec<_> = self.names.borrow().iter().map(|(name, n)| (name.clone(), *n)).collect();
        let others = *self.others.borrow();
        counts.extend((others > 0).then(|| (String::new(), others)));
        counts
    }

    /// Writes the counts to the log.
    pub fn log(&self) {
        for (name, count) in self.counts() {
            log::info!(name = name, count = count; "events-left-out: since the start");
        }
    }
}

enum Writer {
    Platform(platform::Writer),
    Messages(Box<messages::Writer>),
}

/// Passes a stream's events from a real server's dialect into a client's.
pub struct StreamTranslator {
    client: Dialect,
    writer: Writer,
    reader: Option<(Dialect, Reader)>,
    omissions: Rc<OmissionLog>,
    usage: Usage,
    /// Why the answer stopped was told.
    stopped: bool,
    /// The last event of all was.
    over: bool,
    parts: Vec<AnswerPart>,
}

impl StreamTranslator {
    /// A stream that is to be written in the client's dialect.
    pub fn new(
        client: Dialect,
        id: &str,
        model: &str,
        omissions: Rc<OmissionLog>,
        limits: &Limits,
    ) -> StreamTranslator {
        let writer = match client {
            Dialect::Platform => Writer::Platform(platform::Writer::default()),
            Dialect::Messages => {
                Writer::Messages(Box::new(messages::Writer::new(id, model, limits.messages.call_bytes)))
            }
        };
        StreamTranslator {
            client,
            writer,
            reader: None,
            omissions,
            usage: Usage::default(),
            stopped: false,
            over: false,
            parts: Vec::new(),
        }
    }

    /// Adds the client's bytes for whole events; may add none.
    pub fn events(&mut self, server: Dialect, events: &[u8], out: &mut Vec<u8>) {
        if server == self.client {
            return out.extend_from_slice(events);
        }
        if self.reader.as_ref().is_none_or(|(dialect, _)| *dialect != server) {
            self.reader = Some((server, Reader::new(server)));
        }
        let mut parts = std::mem::take(&mut self.parts);
        for block in codec::sse_blocks(events) {
            let Some((_, reader)) = &mut self.reader else { break };
            reader.read(block, &mut parts);
            for part in parts.drain(..) {
                self.say(part, out);
            }
        }
        self.parts = parts;
    }

    /// The real server's side has ended whole. Some end without their dialect's last event: then the client's is said
    /// for it if the answer told why it stopped, and else at least what was held back.
    pub fn finish(&mut self, out: &mut Vec<u8>) {
        if self.reader.is_none() || self.over {
            return;
        }
        match &mut self.writer {
            _ if self.stopped => self.say(AnswerPart::End, out),
            Writer::Platform(_) => {}
            Writer::Messages(writer) => writer.flush(out),
        }
    }

    fn say(&mut self, part: AnswerPart, out: &mut Vec<u8>) {
        match &part {
            AnswerPart::Unknown(name) => self.omissions.note(name),
            AnswerPart::Usage(told) => self.usage = self.usage.most(*told),
            AnswerPart::Stop(_) => self.stopped = true,
            AnswerPart::End | AnswerPart::Error(..) => self.over = true,
            _ => {}
        }
        match &mut self.writer {
            Writer::Platform(writer) => writer.write(part, self.usage, out),
            Writer::Messages(writer) => writer.write(part, self.usage, out),
        }
    }

    /// What came so far was put into other words.
    #[must_use]
    pub fn translates(&self) -> bool {
        self.reader.is_some()
    }

    /// Bytes that it holds back until what they belong to may begin.
    #[must_use]
    pub fn holds(&self) -> usize {
        match &self.writer {
            Writer::Platform(_) => 0,
            Writer::Messages(writer) => writer.waiting(),
        }
    }

    /// It had to hold back more than it may: the stream can't go on.
    #[must_use]
    pub fn is_full(&self) -> bool {
        matches!(&self.writer, Writer::Messages(writer) if writer.is_full())
    }

    /// What a client is told of a stream that ends before it is whole.
    pub fn broken(&mut self, cause: Cause) -> Vec<u8> {
        let mut bytes = Vec::new();
        // The error event itself was passed on already.
        if let Some((kind, words)) = error_of(cause).filter(|_| cause != Cause::Failed)
            && let Writer::Messages(writer) = &mut self.writer
        {
            writer.write(AnswerPart::Error(kind.into(), words.into()), self.usage, &mut bytes);
        }
        bytes
    }
}

/// A break's kind of error and words; none for what is whole.
#[must_use]
pub fn error_of(cause: Cause) -> Option<(&'static str, &'static str)> {
    Some(match cause {
        Cause::Whole => return None,
        Cause::Failed => ("api_error", "the real server failed amid its answer"),
        Cause::Stalled => ("timeout_error", "the stream stalled"),
        Cause::Shutdown => ("overloaded_error", "this gateway is stopping; ask again"),
        Cause::Budget => ("overloaded_error", "too much of this stream was waiting to be read"),
        Cause::ReaderSlow => ("timeout_error", "the stream was read too slowly"),
        Cause::TooLong => ("api_error", "more of the answer had to be held than may be"),
        _ => ("api_error", "the stream broke"),
    })
}
