//! Reads and writes the events of the messages API.

use std::borrow::Cow;
use std::collections::BTreeMap;

use serde::Deserialize;
use serde_json::value::RawValue;

use super::blocks::{Blocks, Lane};
use super::event::event;
use super::response_part::{ResponsePart, Stop, Usage};
use super::text_fragment::TextFragment;
use tulipridge_http1::codec::SseBlock;

/// Maximum number of blocks in a response; further ones are omitted.
const MAX_BLOCKS: usize = 1024;

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
        let cached = tokens.cache_read_input_tokens;
        let prompt = of(tokens.input_tokens)
            .saturating_add(of(tokens.cache_creation_input_tokens))
            .saturating_add(of(cached));
        Usage { prompt, cached, output: of(tokens.output_tokens) }
    }
}

/// The token usage that an event states.
pub fn usage(block: SseBlock<'_>) -> Option<Usage> {
    let data = block.data();
    let event: Event<'_> = serde_json::from_str(&data).ok()?;
    event.usage.or(event.message.and_then(|m| m.usage)).map(Usage::from)
}

/// The kind of a block of the stream, as far as the other dialect has a counterpart.
#[derive(Clone, Copy)]
enum BlockKind {
    Text,
    Call(u32),
    /// A block of a type that is omitted.
    Other,
}

/// Reads a stream.
#[derive(Default)]
pub struct Reader {
    blocks: BTreeMap<u64, BlockKind>,
    calls: u32,
}

impl Reader {
    /// Appends the parts of an event.
    pub fn read(&mut self, block: SseBlock<'_>, out: &mut Vec<ResponsePart>) {
        if block.is_comment() {
            return;
        }
        let name = block.name();
        let data = block.data();
        let unknown = |name: &str| ResponsePart::Unknown(name.to_owned());
        if name.is_empty() {
            return out.push(unknown("an unnamed event"));
        }
        if name == "ping" {
            return out.push(ResponsePart::Ping);
        }
        let Ok(event) = serde_json::from_str::<Event<'_>>(&data) else { return out.push(unknown(name)) };
        match name {
            "message_start" => {
                out.push(ResponsePart::Start);
                if let Some(tokens) = event.message.and_then(|m| m.usage) {
                    out.push(ResponsePart::Usage(tokens.into()));
                }
            }
            "content_block_start" => self.begin(event.index, &event.content_block.unwrap_or_default(), out),
            "content_block_delta" => {
                let delta = event.delta.unwrap_or_default();
                match (self.blocks.get(&event.index), &*delta.kind) {
                    // Some replicas begin a text without `content_block_start`.
                    (Some(BlockKind::Text) | None, "text_delta") => {
                        out.push(ResponsePart::Text(delta.text.unwrap_or_default()));
                    }
                    (Some(BlockKind::Call(number)), "input_json_delta") => {
                        out.push(ResponsePart::Arguments(*number, delta.partial_json.unwrap_or_default()));
                    }
                    // The omission was counted when the block began.
                    (Some(BlockKind::Other), _) => {}
                    (_, kind) => out.push(unknown(&format!("{name} {kind}"))),
                }
            }
            "content_block_stop" => {}
            "message_delta" => {
                let delta = event.delta.unwrap_or_default();
                if let Some(reason) = delta.stop_reason {
                    out.push(ResponsePart::Stop(match &*reason {
                        "end_turn" => Stop::Done,
                        "stop_sequence" => Stop::Sequence(delta.stop_sequence.map(Cow::into_owned)),
                        "max_tokens" | "model_context_window_exceeded" => Stop::Length,
                        "tool_use" => Stop::Tools,
                        "refusal" => Stop::Refused,
                        _ => Stop::Other,
                    }));
                }
                if let Some(tokens) = event.usage {
                    out.push(ResponsePart::Usage(tokens.into()));
                }
            }
            "message_stop" => out.push(ResponsePart::End),
            "error" => {
                let error = event.error.unwrap_or_default();
                out.push(ResponsePart::Error(error.kind.into_owned(), error.message.into_owned()));
            }
            other => out.push(unknown(other)),
        }
    }

    fn begin(&mut self, index: u64, block: &Block<'_>, out: &mut Vec<ResponsePart>) {
        if self.blocks.len() >= MAX_BLOCKS {
            return out.push(ResponsePart::Unknown("a block of too high a number".into()));
        }
        let kind = match &*block.kind {
            "text" => {
                out.extend(block.text.clone().filter(|w| !w.0.is_empty()).map(ResponsePart::Text));
                BlockKind::Text
            }
            "tool_use" => {
                let number = self.calls;
                self.calls += 1;
                let id = block.id.as_deref().map_or_else(|| format!("toolu_{number}"), str::to_owned);
                let name = block.name.as_deref().unwrap_or_default().to_owned();
                out.push(ResponsePart::Call { number, id, name });
                // Usually it is empty here and arrives in fragments.
                if let Some(input) = block.input.filter(|i| i.get().bytes().any(|b| b == b'"')) {
                    out.push(ResponsePart::Arguments(number, input.get().into()));
                }
                BlockKind::Call(number)
            }
            other => {
                out.push(ResponsePart::Unknown(format!("content_block_start {other}")));
                BlockKind::Other
            }
        };
        self.blocks.insert(index, kind);
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
    /// Creates a writer of one message; at most `max_waiting_bytes` may wait for their block.
    #[must_use]
    pub fn new(id: &str, model: &str, max_waiting_bytes: usize) -> Writer {
        Writer {
            id: format!("msg_{id}"),
            model: model.to_owned(),
            begun: false,
            blocks: Blocks::new(max_waiting_bytes),
            called: false,
            stop: None,
        }
    }

    /// Bytes that wait for their block.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.blocks.waiting()
    }

    /// Whether more had to wait than may.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.blocks.is_full()
    }

    /// Appends the events of a part; `usage` is the token usage so far.
    pub fn write(&mut self, part: ResponsePart, usage: Usage, out: &mut Vec<u8>) {
        let begins = !matches!(
            part,
            ResponsePart::Usage(_)
                | ResponsePart::Unknown(_)
                | ResponsePart::Ping
                | ResponsePart::Error(..)
        );
        if begins && !std::mem::replace(&mut self.begun, true) {
            self.start(usage, out);
        }
        match part {
            ResponsePart::Text(fragment) => self.blocks.text(fragment, out),
            ResponsePart::Call { number, id, name } => {
                self.called = true;
                self.blocks.call(number, id, name, out);
            }
            ResponsePart::Arguments(number, fragment) => self.blocks.add(Lane::Call(number), fragment, out),
            ResponsePart::Stop(stop) => self.stop = Some(stop),
            ResponsePart::End => {
                self.blocks.end(out);
                self.end(usage, out);
            }
            ResponsePart::Ping => event(out, "ping", |_| {}),
            ResponsePart::Error(kind, message) => event(out, "error", |data| {
                data.object("error").set("type", kind_of(&kind)).set("message", &message);
            }),
            ResponsePart::Start | ResponsePart::Usage(_) | ResponsePart::Unknown(_) => {}
        }
    }

    /// Writes what is buffered, and ends the open block.
    pub fn flush(&mut self, out: &mut Vec<u8>) {
        self.blocks.end(out);
    }

    fn start(&self, usage: Usage, out: &mut Vec<u8>) {
        event(out, "message_start", |data| {
            let mut message = data.object("message");
            message.set("id", &self.id).set("type", "message").set("role", "assistant");
            drop(message.list("content"));
            message.set("model", &self.model).raw("stop_reason", "null").raw("stop_sequence", "null");
            let mut counts = message.object("usage");
            counts.set("input_tokens", &usage.uncached_prompt()).set("output_tokens", &0);
        });
    }

    fn end(&mut self, usage: Usage, out: &mut Vec<u8>) {
        let (reason, sequence) = match self.stop.take() {
            Some(Stop::Length) => ("max_tokens", None),
            Some(Stop::Tools) => ("tool_use", None),
            Some(Stop::Refused) => ("refusal", None),
            Some(Stop::Sequence(text)) => ("stop_sequence", text),
            // Some replicas report the end of the turn where they wait for tools.
            Some(Stop::Done | Stop::Other) | None if self.called => ("tool_use", None),
            Some(Stop::Done | Stop::Other) | None => ("end_turn", None),
        };
        event(out, "message_delta", |data| {
            data.object("delta").set("stop_reason", reason).set("stop_sequence", &sequence);
            let mut counts = data.object("usage");
            counts.set("input_tokens", &usage.uncached_prompt());
            counts
                .set("cache_read_input_tokens", &usage.cached.unwrap_or(0))
                .set("output_tokens", &usage.output);
        });
        event(out, "message_stop", |_| {});
    }
}

/// The type of an error in this dialect.
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
