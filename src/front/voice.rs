//! How one request's client is spoken to: its final answers in its dialect, and a begun answer as a stream or whole.

use std::rc::Rc;
use std::time::Duration;

use super::messages::errors::{self, Trouble};
use super::messages::gather::Gather;
use super::translate::trouble;
use super::{Dialect, Headers, Noted, Passing, Reply};
use crate::engine::Why;
use crate::limits::Limits;
use crate::stream::Cause;
use jetway::http::{self, Bad};

/// How a client is spoken to.
#[derive(Clone, Debug)]
pub struct Voice {
    /// Its dialect.
    pub dialect: Dialect,
    /// Its request's id.
    pub id: String,
    /// A second run of its request does no harm.
    pub safe: bool,
    /// Headers of every answer to it.
    pub headers: Headers,
}

impl Voice {
    /// For a request of which nothing more is known.
    pub fn new(dialect: Dialect, id: &str) -> Voice {
        Voice { dialect, id: id.to_owned(), safe: false, headers: Vec::new() }
    }

    fn trouble(&self, trouble: Trouble) -> Reply {
        trouble.reply(&self.id).with_all(&self.headers)
    }

    /// A line that is no refusal.
    pub fn note(&self, status: u16, words: &str) -> Reply {
        let reply = Reply::text(status, words);
        if self.dialect == Dialect::Messages { reply.with("request-id", &self.id) } else { reply }
    }

    /// What is wrong with the request.
    pub fn bad(&self, status: u16, words: &str) -> Reply {
        match self.dialect {
            Dialect::Platform => Reply::text(status, words),
            Dialect::Messages => self.trouble(Trouble::new(status, words)),
        }
    }

    /// The same, of its form.
    pub fn malformed(&self, bad: Bad) -> Reply {
        self.bad(bad.status, bad.what)
    }

    /// The module turned it down.
    pub fn turn_down(&self, wait: Duration) -> Reply {
        let words = "turned down; a new try does no harm";
        match self.dialect {
            Dialect::Platform => Reply::text(503, words).retry_after(wait),
            Dialect::Messages => self.trouble(Trouble::new(529, words).wait(wait).again(true)),
        }
    }

    /// The module failed it.
    pub fn failed(&self, why: Why) -> Reply {
        if self.dialect == Dialect::Platform {
            return Reply::text(504, "no answer in time").retry_after(Duration::ZERO);
        }
        let (status, words) = match why {
            Why::TurnedAway => (529, "all real servers turned it away until its time was over"),
            Why::Errors => (500, "the real servers failed it"),
            Why::Silence => (504, "no answer in time"),
        };
        // What nobody has run does no harm.
        let again = self.safe || why == Why::TurnedAway;
        self.trouble(Trouble::new(status, words).wait(Duration::ZERO).again(again))
    }

    /// A whole answer broke on its way: nothing of it has reached the client.
    fn broke(&self, cause: Cause, told: Option<(&str, &str)>) -> Reply {
        let (kind, words) = told.or(trouble(cause)).unwrap_or(("api_error", "the answer broke"));
        self.trouble(Trouble::new(errors::status(kind), words).wait(Duration::ZERO).again(self.safe))
    }

    /// The head of a stream, but for the line that ends it.
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

/// A begun answer.
pub struct Speech {
    voice: Voice,
    passing: Passing,
    form: Form,
}

enum Form {
    /// A stream, whose head is written or not.
    Stream { headed: bool },
    /// A whole, which is put together first.
    Whole { gather: Gather, events: Vec<u8>, noted: Rc<Noted> },
}

impl Speech {
    /// Begins one.
    pub fn new(voice: Voice, model: &str, whole: bool, noted: Rc<Noted>, limits: &Limits) -> Speech {
        let id = voice.id.trim_start_matches("req_");
        let passing = Passing::new(voice.dialect, id, model, noted.clone(), limits);
        let form = if whole {
            Form::Whole { gather: Gather::new(limits.messages.whole_bytes), events: Vec::new(), noted }
        } else {
            Form::Stream { headed: false }
        };
        Speech { voice, passing, form }
    }

    /// Goes on with a stream that another process began, in the client's own dialect.
    pub fn resumed(voice: Voice, noted: Rc<Noted>, limits: &Limits) -> Speech {
        Speech { form: Form::Stream { headed: true }, ..Speech::new(voice, "", false, noted, limits) }
    }

    /// Nothing is held of it but its bytes, so that another process may go on with it.
    pub fn is_plain(&self) -> bool {
        self.voice.dialect == Dialect::Platform
            && matches!(self.form, Form::Stream { headed: true })
            && !self.passing.translates()
    }

    /// It is put together before anything is said.
    pub fn is_whole(&self) -> bool {
        matches!(self.form, Form::Whole { .. })
    }

    /// Bytes that it holds and does not say yet.
    pub fn holds(&self) -> usize {
        let gathered = match &self.form {
            Form::Stream { .. } => 0,
            Form::Whole { gather, .. } => gather.held(),
        };
        self.passing.holds() + gathered
    }

    /// It would have to hold more than it may.
    pub fn is_full(&self) -> bool {
        self.passing.is_full() || matches!(&self.form, Form::Whole { gather, .. } if gather.is_full())
    }

    /// Adds what whole events have the client told.
    pub fn events(&mut self, server: Dialect, batch: &[u8], keep: bool, line: &mut Vec<u8>) {
        match &mut self.form {
            Form::Stream { headed } => {
                head(&self.voice, headed, keep, line);
                chunk(line, |line| self.passing.events(server, batch, line));
            }
            Form::Whole { gather, events, noted } => {
                events.clear();
                self.passing.events(server, batch, events);
                gather.events(events);
                gather.take_left_out().iter().for_each(|name| noted.note(name));
                // What a burst needed is not kept.
                *events = Vec::new();
            }
        }
    }

    /// Adds the end. A stream that is not whole gets no last chunk: that alone tells a client so.
    pub fn end(&mut self, cause: Cause, keep: bool, line: &mut Vec<u8>) {
        match &mut self.form {
            Form::Stream { headed } => {
                head(&self.voice, headed, keep, line);
                if cause == Cause::Whole {
                    chunk(line, |line| self.passing.finish(line));
                    line.extend_from_slice(http::LAST_CHUNK);
                } else {
                    let told = self.passing.broken(cause);
                    chunk(line, |line| line.extend_from_slice(&told));
                }
            }
            Form::Whole { gather, events, .. } => {
                if cause == Cause::Whole {
                    self.passing.finish(events);
                    gather.events(events);
                }
                let gather = std::mem::take(gather);
                let reply = if cause == Cause::Whole && gather.error().is_none() {
                    match gather.finish() {
                        Ok(body) => Reply::json(200, body)
                            .with("request-id", &self.voice.id)
                            .with_all(&self.voice.headers),
                        Err(words) => {
                            log::warn!(id = self.voice.id; "whole-answer-failed: {words}");
                            self.voice.trouble(Trouble::new(500, words).again(self.voice.safe))
                        }
                    }
                } else {
                    self.voice.broke(cause, gather.error())
                };
                line.extend_from_slice(&reply.bytes(keep && cause == Cause::Whole));
            }
        }
    }
}

fn head(voice: &Voice, headed: &mut bool, keep: bool, line: &mut Vec<u8>) {
    if !std::mem::replace(headed, true) {
        line.extend_from_slice(&voice.stream_head());
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
