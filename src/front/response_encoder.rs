//! Encodes a response in its client's dialect while it is received, either as a stream or assembled into one message.

use std::rc::Rc;

use super::messages::errors::ApiError;
use super::messages::message_assembler::MessageAssembler;
use super::{Dialect, OmissionLog, Responder, Response, StreamTranslator};
use crate::limits::Limits;
use crate::stream::Cause;
use tulipridge_http1::codec;

/// Encodes a response that a replica has started.
pub struct ResponseEncoder {
    responder: Responder,
    translator: StreamTranslator,
    form: ResponseForm,
}

enum ResponseForm {
    /// A stream, which is forwarded while it is received.
    Stream { is_head_written: bool },
    /// One message, which is assembled before it is sent.
    Message { assembler: MessageAssembler, events: Vec<u8>, omissions: Rc<OmissionLog> },
}

impl ResponseEncoder {
    /// Starts a response; `is_message` selects one message instead of a stream.
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
            ResponseForm::Message {
                assembler: MessageAssembler::new(limits.messages.assembled_bytes),
                events: Vec::new(),
                omissions,
            }
        } else {
            ResponseForm::Stream { is_head_written: false }
        };
        ResponseEncoder { responder, translator, form }
    }

    /// Continues a stream that another process has started, after its head, for a replica of the client's dialect.
    pub fn resumed(responder: Responder, omissions: Rc<OmissionLog>, limits: &Limits) -> ResponseEncoder {
        ResponseEncoder {
            form: ResponseForm::Stream { is_head_written: true },
            ..ResponseEncoder::new(responder, "", false, omissions, limits)
        }
    }

    /// Whether the response has no state except its bytes, so that another process can continue it.
    #[must_use]
    pub fn is_plain(&self) -> bool {
        self.responder.dialect == Dialect::Platform
            && matches!(self.form, ResponseForm::Stream { is_head_written: true })
            && !self.translator.has_translated()
    }

    /// Whether the response is assembled before any byte is sent.
    #[must_use]
    pub fn is_message(&self) -> bool {
        matches!(self.form, ResponseForm::Message { .. })
    }

    /// Number of buffered bytes that are not encoded yet.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        let assembled_bytes = match &self.form {
            ResponseForm::Stream { .. } => 0,
            ResponseForm::Message { assembler, .. } => assembler.buffered_bytes(),
        };
        self.translator.buffered_bytes() + assembled_bytes
    }

    /// Whether the response needs more buffer than is allowed, so that it can't continue.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.translator.is_full()
            || matches!(&self.form, ResponseForm::Message { assembler, .. } if assembler.is_full())
    }

    /// Appends the encoding of complete events to `out`. A message appends nothing until its end.
    pub fn events(&mut self, replica: Dialect, batch: &[u8], keep_alive: bool, out: &mut Vec<u8>) {
        match &mut self.form {
            ResponseForm::Stream { is_head_written } => {
                write_head(&self.responder, is_head_written, keep_alive, out);
                write_chunk(out, |out| self.translator.events(replica, batch, out));
            }
            ResponseForm::Message { assembler, events, omissions } => {
                events.clear();
                self.translator.events(replica, batch, events);
                assembler.events(events);
                assembler.take_omitted().iter().for_each(|name| omissions.count(name));
                // Frees the memory after a large batch.
                *events = Vec::new();
            }
        }
    }

    /// Appends the end to `out`. An incomplete stream has no last chunk, by which the client detects it.
    pub fn end(&mut self, cause: Cause, keep_alive: bool, out: &mut Vec<u8>) {
        match &mut self.form {
            ResponseForm::Stream { is_head_written } => {
                write_head(&self.responder, is_head_written, keep_alive, out);
                if cause == Cause::Complete {
                    write_chunk(out, |out| self.translator.finish(out));
                    out.extend_from_slice(codec::LAST_CHUNK);
                } else {
                    let end = self.translator.abort(cause);
                    write_chunk(out, |out| out.extend_from_slice(&end));
                }
            }
            ResponseForm::Message { assembler, events, .. } => {
                if cause == Cause::Complete {
                    self.translator.finish(events);
                    assembler.events(events);
                }
                let assembler = std::mem::take(assembler);
                let response = if cause == Cause::Complete && assembler.error().is_none() {
                    match assembler.finish() {
                        Ok(body) => Response::json(200, body)
                            .with_header("request-id", &self.responder.id)
                            .with_headers(&self.responder.headers),
                        Err(error) => {
                            log::warn!(id = self.responder.id; "message-assembly-failed: {error}");
                            self.responder.error_response(
                                ApiError::new(500, error.to_string())
                                    .retryable(self.responder.is_idempotent),
                            )
                        }
                    }
                } else {
                    self.responder.broken_stream(cause, assembler.error())
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

/// Appends the bytes that `add` writes as one chunk; no chunk if it writes none.
fn write_chunk(out: &mut Vec<u8>, add: impl FnOnce(&mut Vec<u8>)) {
    // A placeholder, which is overwritten once the size is known. HTTP allows leading zeros.
    let size_start = out.len();
    out.extend_from_slice(b"00000000\r\n");
    let content_start = out.len();
    add(out);
    match out.len() - content_start {
        0 => out.truncate(size_start),
        size => {
            let digits = format!("{size:08x}");
            out[size_start..size_start + 8].copy_from_slice(digits.as_bytes());
            out.extend_from_slice(b"\r\n");
        }
    }
}
