//! A begun answer in its client's dialect: as a stream, or put together to be sent whole.

use std::rc::Rc;

use super::messages::errors::ApiError;
use super::messages::message_assembler::MessageAssembler;
use super::{Dialect, OmissionLog, Reply, Responder, StreamTranslator};
use crate::limits::Limits;
use crate::stream::Cause;
use tulipridge_http1::codec;

/// A begun answer.
pub struct ResponseEncoder {
    responder: Responder,
    translator: StreamTranslator,
    form: Form,
}

enum Form {
    /// A stream, whose head is written or not.
    Stream { headed: bool },
    /// A whole, which is put together first.
    Whole { assembler: MessageAssembler, events: Vec<u8>, omissions: Rc<OmissionLog> },
}

impl ResponseEncoder {
    /// Begins one.
    pub fn new(
        responder: Responder,
        model: &str,
        whole: bool,
        omissions: Rc<OmissionLog>,
        limits: &Limits,
    ) -> ResponseEncoder {
        let id = responder.id.trim_start_matches("req_");
        let translator = StreamTranslator::new(responder.dialect, id, model, omissions.clone(), limits);
        let form = if whole {
            Form::Whole {
                assembler: MessageAssembler::new(limits.messages.whole_bytes),
                events: Vec::new(),
                omissions,
            }
        } else {
            Form::Stream { headed: false }
        };
        ResponseEncoder { responder, translator, form }
    }

    /// Goes on with a stream that another process began, in the client's own dialect.
    pub fn resumed(responder: Responder, omissions: Rc<OmissionLog>, limits: &Limits) -> ResponseEncoder {
        ResponseEncoder {
            form: Form::Stream { headed: true },
            ..ResponseEncoder::new(responder, "", false, omissions, limits)
        }
    }

    /// Nothing is held of it but its bytes, so that another process may go on with it.
    #[must_use]
    pub fn is_plain(&self) -> bool {
        self.responder.dialect == Dialect::Platform
            && matches!(self.form, Form::Stream { headed: true })
            && !self.translator.translates()
    }

    /// It is put together before anything is said.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        matches!(self.form, Form::Whole { .. })
    }

    /// Bytes that it holds and does not say yet.
    #[must_use]
    pub fn holds(&self) -> usize {
        let gathered = match &self.form {
            Form::Stream { .. } => 0,
            Form::Whole { assembler, .. } => assembler.held(),
        };
        self.translator.holds() + gathered
    }

    /// It would have to hold more than it may.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.translator.is_full()
            || matches!(&self.form, Form::Whole { assembler, .. } if assembler.is_full())
    }

    /// Adds what whole events have the client told.
    pub fn events(&mut self, server: Dialect, batch: &[u8], keep: bool, line: &mut Vec<u8>) {
        match &mut self.form {
            Form::Stream { headed } => {
                head(&self.responder, headed, keep, line);
                chunk(line, |line| self.translator.events(server, batch, line));
            }
            Form::Whole { assembler, events, omissions } => {
                events.clear();
                self.translator.events(server, batch, events);
                assembler.events(events);
                assembler.take_left_out().iter().for_each(|name| omissions.note(name));
                // What a burst needed is not kept.
                *events = Vec::new();
            }
        }
    }

    /// Adds the end. A stream that is not whole gets no last chunk: that alone tells a client so.
    pub fn end(&mut self, cause: Cause, keep: bool, line: &mut Vec<u8>) {
        match &mut self.form {
            Form::Stream { headed } => {
                head(&self.responder, headed, keep, line);
                if cause == Cause::Whole {
                    chunk(line, |line| self.translator.finish(line));
                    line.extend_from_slice(codec::LAST_CHUNK);
                } else {
                    let told = self.translator.broken(cause);
                    chunk(line, |line| line.extend_from_slice(&told));
                }
            }
            Form::Whole { assembler, events, .. } => {
                if cause == Cause::Whole {
                    self.translator.finish(events);
                    assembler.events(events);
                }
                let assembler = std::mem::take(assembler);
                let reply = if cause == Cause::Whole && assembler.error().is_none() {
                    match assembler.finish() {
                        Ok(body) => Reply::json(200, body)
                            .with("request-id", &self.responder.id)
                            .with_all(&self.responder.headers),
                        Err(words) => {
                            log::warn!(id = self.responder.id; "whole-answer-failed: {words}");
                            self.responder.error_reply(ApiError::new(500, words).again(self.responder.safe))
                        }
                    }
                } else {
                    self.responder.broke(cause, assembler.error())
                };
                line.extend_from_slice(&reply.bytes(keep && cause == Cause::Whole));
            }
        }
    }
}

fn head(responder: &Responder, headed: &mut bool, keep: bool, line: &mut Vec<u8>) {
    if !std::mem::replace(headed, true) {
        line.extend_from_slice(&responder.stream_head());
        line.extend_from_slice(if keep { b"\r\n" } else { b"Connection: close\r\n\r\n" });
    }
}

/// Adds bytes by way of `add`, as a chunk; nothing if it adds none.
fn chunk(line: &mut Vec<u8>, add: impl FnOnce(&mut Vec<u8>)) {
    // The size's digits are written once it is known: leading zeros are allowed.
    let size_at = line.len();
    line.extend_from_slice(b"00000000\r\n");
    let from = line.len();
    add(line);
    match line.len() - from {
        0 => line.truncate(size_at),
        size => {
            let digits = format!("{size:08x}");
            line[size_at..size_at + 8].copy_from_slice(digits.as_bytes());
            line.extend_from_slice(b"\r\n");
        }
    }
}
