//! Encodes a begun response in its client's dialect: as a stream, or assembled into one message.

use std::rc::Rc;

use super::messages::errors::ApiError;
use super::messages::message_assembler::MessageAssembler;
use super::{Dialect, OmissionLog, Responder, Response, StreamTranslator};
use crate::limits::Limits;
use crate::stream::Cause;
use tulipridge_http1::codec;

/// Encodes a begun response.
pub struct ResponseEncoder {
    responder: Responder,
    translator: StreamTranslator,
    form: Form,
}

enum Form {
    /// A stream.
    Stream { is_head_written: bool },
    /// One message, which is assembled first.
    Message { assembler: MessageAssembler, events: Vec<u8>, omissions: Rc<OmissionLog> },
}

impl ResponseEncoder {
    /// Begins a response.
    pub fn new(
        responder: Responder,
        model: &str,
        is_message: bool,
        omissions: Rc<OmissionLog>,
        limits: &Limits,
    ) -> ResponseEncoder {
        let id = responder.id.trim_start_matches("req_");
        let translator = StreamTranslator::new(responder.dialect, id, model, omissions.clone(), limits);
        let form = if is_message {
            Form::Message {
                assembler: MessageAssembler::new(limits.messages.assembled_bytes),
                events: Vec::new(),
                omissions,
            }
        } else {
            Form::Stream { is_head_written: false }
        };
        ResponseEncoder { responder, translator, form }
    }

    /// Continues a stream that another process began, in the client's own dialect.
    pub fn resumed(responder: Responder, omissions: Rc<OmissionLog>, limits: &Limits) -> ResponseEncoder {
        ResponseEncoder {
            form: Form::Stream { is_head_written: true },
            ..ResponseEncoder::new(responder, "", false, omissions, limits)
        }
    }

    /// Whether it has no state but its bytes, so that another process can continue it.
    #[must_use]
    pub fn is_plain(&self) -> bool {
        self.responder.dialect == Dialect::Platform
            && matches!(self.form, Form::Stream { is_head_written: true })
            && !self.translator.translates()
    }

    /// Whether it is assembled before anything is sent.
    #[must_use]
    pub fn is_message(&self) -> bool {
        matches!(self.form, Form::Message { .. })
    }

    /// Bytes that are buffered and not encoded yet.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        let assembled = match &self.form {
            Form::Stream { .. } => 0,
            Form::Message { assembler, .. } => assembler.buffered_bytes(),
        };
        self.translator.buffered_bytes() + assembled
    }

    /// Whether more would have to be buffered than is allowed.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.translator.is_full()
            || matches!(&self.form, Form::Message { assembler, .. } if assembler.is_full())
    }

    /// Appends the encoding of complete events to `out`.
    pub fn events(&mut self, replica: Dialect, batch: &[u8], keep_alive: bool, out: &mut Vec<u8>) {
        match &mut self.form {
            Form::Stream { is_head_written } => {
                write_head(&self.responder, is_head_written, keep_alive, out);
                write_chunk(out, |out| self.translator.events(replica, batch, out));
            }
            Form::Message { assembler, events, omissions } => {
                events.clear();
                self.translator.events(replica, batch, events);
                assembler.events(events);
                assembler.take_omitted().iter().for_each(|name| omissions.count(name));
                // Frees the memory of a burst.
                *events = Vec::new();
            }
        }
    }

    /// Appends the end to `out`. An incomplete stream gets no last chunk, which is how the client knows.
    pub fn end(&mut self, cause: Cause, keep_alive: bool, out: &mut Vec<u8>) {
        match &mut self.form {
            Form::Stream { is_head_written } => {
                write_head(&self.responder, is_head_written, keep_alive, out);
                if cause == Cause::Complete {
                    write_chunk(out, |out| self.translator.finish(out));
                    out.extend_from_slice(codec::LAST_CHUNK);
                } else {
                    let end = self.translator.broken(cause);
                    write_chunk(out, |out| out.extend_from_slice(&end));
                }
            }
            Form::Message { assembler, events, .. } => {
                if cause == Cause::Complete {
                    self.translator.finish(events);
                    assembler.events(events);
                }
                let assembler = std::mem::take(assembler);
                let response = if cause == Cause::Complete && assembler.error().is_none() {
                    match assembler.finish() {
                        Ok(body) => Response::json(200, body)
                            .with("request-id", &self.responder.id)
                            .with_all(&self.responder.headers),
                        Err(error) => {
                            log::warn!(id = self.responder.id; "message-assembly-failed: {error}");
                            self.responder.error_response(
                                ApiError::new(500, error.to_string()).retryable(self.responder.safe),
                            )
                        }
                    }
                } else {
                    self.responder.broken(cause, assembler.error())
                };
                out.extend_from_slice(&response.bytes(keep_alive && cause == Cause::Complete));
            }
        }
    }
}

fn write_head(responder: &Responder, is_head_written: &mut bool, keep_alive: bool, out: &mut Vec<u8>) {
    if !std::mem::replace(is_head_written, true) {
        out.extend_from_slice(&responder.stream_head());
        out.extend_from_slice(if keep_alive { b"\r\n" } else { b"Connection: close\r\n\r\n" });
    }
}

/// Appends what `add` appends as one chunk; nothing if that is empty.
fn write_chunk(out: &mut Vec<u8>, add: impl FnOnce(&mut Vec<u8>)) {
    // The size is filled in once it is known; leading zeros are allowed.
    let size_at = out.len();
    out.extend_from_slice(b"00000000\r\n");
    let from = out.len();
    add(out);
    match out.len() - from {
        0 => out.truncate(size_at),
        size => {
            let digits = format!("{size:08x}");
            out[size_at..size_at + 8].copy_from_slice(digits.as_bytes());
            out.extend_from_slice(b"\r\n");
        }
    }
}
