//! The messages API's events: read into pieces, and written from them.

use std::borrow::Cow;
use std::collections::BTreeMap;

use serde::Deserialize;
use serde_json::value::RawValue;

use super::answer_part::{AnswerPart, Stop, Usage};
use super::blocks::{Blocks, Lane};
use super::event::event;
use super::text_fragment::TextFragment;
use tulipridge_http1::codec::SseBlock;

/// Blocks that one answer may have; a real server that invents more is not heard on them.
const MOST_BLOCKS: usize = 1024;

#[derive(Default, Deserialize)]
#[serde(default)]
struct Event<'a> {
    #[serde(borrow)]
    message: Option<Message<'a>>,
    index: u64,
    #[serde(borrow)]
    content_block: Option<Block<'a>>,
    #[serde(borrow)]
    delta: Option<Delta<'a>>,
    usage: Option<Tokens>,
    #[serde(borrow)]
    error: Option<ErrorBody<'a>>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Message<'a> {
    usage: Option<Tokens>,
    #[serde(borrow)]
    role: Option<Cow<'a, str>>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Block<'a> {
    #[serde(borrow, rename = "type")]
    kind: Cow<'a, str>,
    text: Option<TextFragment>,
    #[serde(borrow)]
    id: Option<Cow<'a, str>>,
    #[serde(borrow)]
    name: Option<Cow<'a, str>>,
    #[serde(borrow)]
    input: Option<&'a RawValue>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Delta<'a> {
    #[serde(borrow, rename = "type")]
    kind: Cow<'a, str>,
    text: Option<TextFragment>,
    partial_json: Option<TextFragment>,
    #[serde(borrow)]
    stop_reason: Option<Cow<'a, str>>,
    #[serde(borrow)]
    stop_sequence: Option<Cow<'a, str>>,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
struct Tokens {
    input_tokens: Option<u64>,
    cache_creation_input_tokens: Option<u64>,
    cache_read_input_tokens: Option<u64>,
    output_tokens: Option<u64>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct ErrorBody<'a> {
    #[serde(borrow, rename = "type")]
    kind: Cow<'a, str>,
    #[serde(borrow)]
    message: Cow<'a, str>,
}

impl From<Tokens> for Usage {
    fn from(tokens: Tokens) -> Usage {
        let of = |n: Option<u64>| n.unwrap_or(0);
        let kept = tokens.cache_read_input_tokens;
        let prompt = of(tokens.input_tokens)
            .saturating_add(of(tokens.cache_creation_input_tokens))
            .saturating_add(of(kept));
        Usage { prompt, kept, answer: of(tokens.output_tokens) }
    }
}

/// Tokens that an event tells.
pub fn usage(block: SseBlock<'_>) -> Option<Usage> {
    let data = block.data();
    let event: Event<'_> = serde_json::from_str(&data).ok()?;
    event.usage.or(event.message.and_then(|m| m.usage)).map(Usage::from)
}

/// What a block of the stream is, as far as the other dialect has words for it.
#[derive(Clone, Copy)]
enum Known {
    Text,
    Call(u32),
    /// A block of a type that is left out.
    Other,
}

/// Reads a stream.
#[derive(Default)]
pub struct Reader {
    blocks: BTreeMap<u64, Known>,
    calls: u32,
}

impl Reader {
    /// Adds what an event says.
    pub fn read(&mut self, block: SseBlock<'_>, out: &mut Vec<AnswerPart>) {
        if block.is_comment() {
            return;
        }
        let name = block.name();
        let data = block.data();
        let unknown = |name: &str| AnswerPart::Unknown(name.to_owned());
        if name.is_empty() {
            return out.push(unknown("an unnamed event"));
        }
        if name == "ping" {
            return out.push(AnswerPart::Ping);
        }
        let Ok(event) = serde_json::from_str::<Event<'_>>(&data) else { return out.push(unknown(name)) };
        match name {
            "message_start" => {
                out.push(AnswerPart::Start);
                if let Some(tokens) = event.message.and_then(|m| m.usage) {
                    out.push(AnswerPart::Usage(tokens.into()));
                }
            }
            "content_block_start" => self.begin(event.index, &event.content_block.unwrap_or_default(), out),
            "content_block_delta" => {
                let delta = event.delta.unwrap_or_default();
                match (self.blocks.get(&event.index), &*delta.kind) {
                    // Some servers begin a text without saying so.
                    (Some(Known::Text) | None, "text_delta") => {
                        out.push(AnswerPart::Text(delta.text.unwrap_or_default()));
                    }
                    (Some(Known::Call(number)), "input_json_delta") => {
                        out.push(AnswerPart::Arguments(*number, delta.partial_json.unwrap_or_default()));
                    }
                    // The block itself was noted.
                    (Some(Known::Other), _) => {}
                    (_, kind) => out.push(unknown(&format!("{name} {kind}"))),
                }
            }
            "content_block_stop" => {}
            "message_delta" => {
                let delta = event.delta.unwrap_or_default();
                if let Some(reason) = delta.stop_reason {
                    out.push(AnswerPart::Stop(match &*reason {
                        "end_turn" => Stop::Done,
                        "stop_sequence" => Stop::Sequence(delta.stop_sequence.map(Cow::into_owned)),
                        "max_tokens" | "model_context_window_exceeded" => Stop::Length,
                        "tool_use" => Stop::Tools,
                        "refusal" => Stop::Refused,
                        _ => Stop::Other,
                    }));
                }
                if let Some(tokens) = event.usage {
                    out.push(AnswerPart::Usage(tokens.into()));
                }
            }
            "message_stop" => out.push(AnswerPart::End),
            "error" => {
                let error = event.error.unwrap_or_default();
                out.push(AnswerPart::Error(error.kind.into_owned(), error.message.into_owned()));
            }
            other => out.push(unknown(other)),
        }
    }

    fn begin(&mut self, index: u64, block: &Block<'_>, out: &mut Vec<AnswerPart>) {
        if self.blocks.len() >= MOST_BLOCKS {
            return out.push(AnswerPart::Unknown("a block of too high a number".into()));
        }
        let known = match &*block.kind {
            "text" => {
                out.extend(block.text.clone().filter(|w| !w.0.is_empty()).map(AnswerPart::Text));
                Known::Text
            }
            "tool_use" => {
                let number = self.calls;
                self.calls += 1;
                let id = block.id.as_deref().map_or_else(|| format!("toolu_{number}"), str::to_owned);
                let name = block.name.as_deref().unwrap_or_default().to_owned();
                out.push(AnswerPart::Call { number, id, name });
                // Usually it is empty here and comes in pieces.
                if let Some(input) = block.input.filter(|i| i.get().bytes().any(|b| b == b'"')) {
                    out.push(AnswerPart::Arguments(number, input.get().into()));
                }
                Known::Call(number)
            }
            other => {
                out.push(AnswerPart::Unknown(format!("content_block_start {other}")));
                Known::Other
            }
        };
        self.blocks.insert(index, known);
    }
}

/// Writes a stream of named events, adding those that only this dialect has.
pub struct Writer {
    id: String,
    model: String,
    begun: bool,
    blocks: Blocks,
    called: bool,
    stop: Option<Stop>,
}

impl Writer {
    /// A writer of one message; so many bytes may wait for their block.
    #[must_use]
    pub fn new(id: &str, model: &str, most_waiting: usize) -> Writer {
        Writer {
            id: format!("msg_{id}"),
            model: model.to_owned(),
            begun: false,
            blocks: Blocks::new(most_waiting),
            called: false,
            stop: None,
        }
    }

    /// Bytes that wait for their block.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.blocks.waiting()
    }

    /// More had to wait than may.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.blocks.is_full()
    }

    /// Adds what a piece needs to be said; `usage` is what is known of it so far.
    pub fn write(&mut self, part: AnswerPart, usage: Usage, out: &mut Vec<u8>) {
        let begins = !matches!(
            part,
            AnswerPart::Usage(_) | AnswerPart::Unknown(_) | AnswerPart::Ping | AnswerPart::Error(..)
        );
        if begins && !std::mem::replace(&mut self.begun, true) {
            self.start(usage, out);
        }
        match part {
            AnswerPart::Text(words) => self.blocks.text(words, out),
            AnswerPart::Call { number, id, name } => {
                self.called = true;
                self.blocks.call(number, id, name, out);
            }
            AnswerPart::Arguments(number, words) => self.blocks.add(Lane::Call(number), words, out),
            AnswerPart::Stop(stop) => self.stop = Some(stop),
            AnswerPart::End => {
                self.blocks.end(out);
                self.end(usage, out);
            }
            AnswerPart::Ping => event(out, "ping", |_| {}),
            AnswerPart::Error(kind, words) => event(out, "error", |data| {
                data.object("error").set("type", kind_of(&kind)).set("message", &words);
            }),
            AnswerPart::Start | AnswerPart::Usage(_) | AnswerPart::Unknown(_) => {}
        }
    }

    /// Says what was held back, and ends the block that is live.
    pub fn flush(&mut self, out: &mut Vec<u8>) {
        self.blocks.end(out);
    }

    fn start(&self, usage: Usage, out: &mut Vec<u8>) {
        event(out, "message_start", |data| {
            let mut message = data.object("message");
            message.set("id", &self.id).set("type", "message").set("role", "assistant");
            drop(message.list("content"));
            message.set("model", &self.model).raw("stop_reason", "null").raw("stop_sequence", "null");
            let mut told = message.object("usage");
            told.set("input_tokens", &usage.unkept()).set("output_tokens", &0);
        });
    }

    fn end(&mut self, usage: Usage, out: &mut Vec<u8>) {
        let (reason, sequence) = match self.stop.take() {
            Some(Stop::Length) => ("max_tokens", None),
            Some(Stop::Tools) => ("tool_use", None),
            Some(Stop::Refused) => ("refusal", None),
            Some(Stop::Sequence(text)) => ("stop_sequence", text),
            // Some servers say that they are done where they wait for tools.
            Some(Stop::Done | Stop::Other) | None if self.called => ("tool_use", None),
            Some(Stop::Done | Stop::Other) | None => ("end_turn", None),
        };
        event(out, "message_delta", |data| {
            data.object("delta").set("stop_reason", reason).set("stop_sequence", &sequence);
            let mut told = data.object("usage");
            told.set("input_tokens", &usage.unkept());
            told.set("cache_read_input_tokens", &usage.kept.unwrap_or(0))
                .set("output_tokens", &usage.answer);
        });
        event(out, "message_stop", |_| {});
    }
}

/// An error's kind as this dialect has it.
fn kind_of(kind: &str) -> &str {
    match kind {
        "invalid_request_error"
        | "authentication_error"
        | "permission_error"
        | "not_found_error"
        | "request_too_large"
        | "rate_limit_error"
        | "api_error"
        | "timeout_error"
        | "overloaded_error"
        | "billing_error" => kind,
        "rate_limit_exceeded" => "rate_limit_error",
        "overloaded" | "engine_overloaded" | "service_unavailable" => "overloaded_error",
        _ => "api_error",
    }
}
