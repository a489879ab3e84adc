//! Parsing and encoding of the events of the messages API.

use std::borrow::Cow;
use std::collections::BTreeMap;

use serde::Deserialize;
use serde_json::value::RawValue;

use super::blocks::{Blocks, ContentKind};
use super::event::write_event;
use super::response_part::{ResponsePart, StopReason, Usage};
use super::text_fragment::TextFragment;
use tulipridge_http1::codec::SseBlock;

/// Maximum number of blocks in a response. Further blocks are omitted.
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
    usage: Option<TokenUsage>,
    #[serde(borrow)]
    error: Option<ErrorBody<'a>>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Message<'a> {
    usage: Option<TokenUsage>,
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
struct TokenUsage {
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

impl From<TokenUsage> for Usage {
    fn from(tokens: TokenUsage) -> Usage {
        let or_zero = |n: Option<u64>| n.unwrap_or(0);
        let cached = tokens.cache_read_input_tokens;
        let prompt = or_zero(tokens.input_tokens)
            .saturating_add(or_zero(tokens.cache_creation_input_tokens))
            .saturating_add(or_zero(cached));
        Usage { prompt, cached, output: or_zero(tokens.output_tokens) }
    }
}

/// Token usage by an event, if the event states any.
pub fn usage(block: SseBlock<'_>) -> Option<Usage> {
    let data = block.data();
    let event: Event<'_> = serde_json::from_str(&data).ok()?;
    event.usage.or(event.message.and_then(|m| m.usage)).map(Usage::from)
}

/// Kind of a block, by its counterpart in the other dialect.
#[derive(Clone, Copy)]
enum BlockKind {
    Text,
    Call(u32),
    /// A block of a type without a counterpart, which is omitted.
    Other,
}

/// Parser of a stream.
#[derive(Default)]
pub struct Reader {
    blocks: BTreeMap<u64, BlockKind>,
    call_count: u32,
}

impl Reader {
    /// Parses an event and appends its parts to `out`.
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
            "content_block_start" => {
                self.begin_block(event.index, &event.content_block.unwrap_or_default(), out);
            }
            "content_block_delta" => {
                let delta = event.delta.unwrap_or_default();
                match (self.blocks.get(&event.index), &*delta.kind) {
                    // Some replicas start a text without `content_block_start`.
                    (Some(BlockKind::Text) | None, "text_delta") => {
                        out.push(ResponsePart::Text(delta.text.unwrap_or_default()));
                    }
                    (Some(BlockKind::Call(number)), "input_json_delta") => {
                        out.push(ResponsePart::Arguments(*number, delta.partial_json.unwrap_or_default()));
                    }
                    // The omission was counted at the start of the block.
                    (Some(BlockKind::Other), _) => {}
                    (_, kind) => out.push(unknown(&format!("{name} {kind}"))),
                }
            }
            "content_block_stop" => {}
            "message_delta" => {
                let delta = event.delta.unwrap_or_default();
                if let Some(reason) = delta.stop_reason {
                    out.push(ResponsePart::Stop(match &*reason {
                        "end_turn" => StopReason::Complete,
                        "stop_sequence" => StopReason::Sequence(delta.stop_sequence.map(Cow::into_owned)),
                        "max_tokens" | "model_context_window_exceeded" => StopReason::MaxTokens,
                        "tool_use" => StopReason::ToolCalls,
                        "refusal" => StopReason::Refused,
                        _ => StopReason::Other,
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

    fn begin_block(&mut self, index: u64, block: &Block<'_>, out: &mut Vec<ResponsePart>) {
        if self.blocks.len() >= MAX_BLOCKS {
            return out.push(ResponsePart::Unknown("a block beyond the maximum count".into()));
        }
        let kind = match &*block.kind {
            "text" => {
                out.extend(block.text.clone().filter(|w| !w.0.is_empty()).map(ResponsePart::Text));
                BlockKind::Text
            }
            "tool_use" => {
                let number = self.call_count;
                self.call_count += 1;
                let id = block.id.as_deref().map_or_else(|| format!("toolu_{number}"), str::to_owned);
                let name = block.name.as_deref().unwrap_or_default().to_owned();
                out.push(ResponsePart::ToolCall { number, id, name });
                // The input is usually empty here, and is received in fragments.
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

/// Encoder of a stream of named events, including those that only this dialect has.
pub struct Writer {
    id: String,
    model: String,
    has_begun: bool,
    blocks: Blocks,
    has_tool_calls: bool,
    stop: Option<StopReason>,
}

impl Writer {
    /// Creates a writer of one message, which buffers at most `max_pending_bytes` until their block can start.
    #[must_use]
    pub fn new(id: &str, model: &str, max_pending_bytes: usize) -> Writer {
        Writer {
            id: format!("msg_{id}"),
            model: model.to_owned(),
            has_begun: false,
            blocks: Blocks::new(max_pending_bytes),
            has_tool_calls: false,
            stop: None,
        }
    }

    /// Number of bytes that are buffered until their block can start.
    #[must_use]
    pub fn pending_bytes(&self) -> usize {
        self.blocks.pending_bytes()
    }

    /// Whether the buffer limit was exceeded, so that the stream can't continue.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.blocks.is_full()
    }

    /// Appends the events for a part of the response; `usage` is the token usage so far.
    pub fn write(&mut self, part: ResponsePart, usage: Usage, out: &mut Vec<u8>) {
        let is_content = !matches!(
            part,
            ResponsePart::Usage(_)
                | ResponsePart::Unknown(_)
                | ResponsePart::Ping
                | ResponsePart::Error(..)
        );
        if is_content && !std::mem::replace(&mut self.has_begun, true) {
            self.write_message_start(usage, out);
        }
        match part {
            ResponsePart::Text(fragment) => self.blocks.add_text(fragment, out),
            ResponsePart::ToolCall { number, id, name } => {
                self.has_tool_calls = true;
                self.blocks.add_call(number, id, name, out);
            }
            ResponsePart::Arguments(number, fragment) => {
                self.blocks.add_fragment(ContentKind::Call(number), fragment, out);
            }
            ResponsePart::Stop(stop) => self.stop = Some(stop),
            ResponsePart::End => {
                self.blocks.close_all(out);
                self.write_message_end(usage, out);
            }
            ResponsePart::Ping => write_event(out, "ping", |_| {}),
            ResponsePart::Error(kind, message) => write_event(out, "error", |data| {
                data.object("error").set("type", error_type(&kind)).set("message", &message);
            }),
            ResponsePart::Start | ResponsePart::Usage(_) | ResponsePart::Unknown(_) => {}
        }
    }

    /// Writes all buffered blocks and closes the open one.
    pub fn flush(&mut self, out: &mut Vec<u8>) {
        self.blocks.close_all(out);
    }

    fn write_message_start(&self, usage: Usage, out: &mut Vec<u8>) {
        write_event(out, "message_start", |data| {
            let mut message = data.object("message");
            message.set("id", &self.id).set("type", "message").set("role", "assistant");
            drop(message.list("content"));
            message.set("model", &self.model).raw("stop_reason", "null").raw("stop_sequence", "null");
            let mut counts = message.object("usage");
            counts.set("input_tokens", &usage.uncached_prompt()).set("output_tokens", &0);
        });
    }

    fn write_message_end(&mut self, usage: Usage, out: &mut Vec<u8>) {
        let (reason, sequence) = match self.stop.take() {
            Some(StopReason::MaxTokens) => ("max_tokens", None),
            Some(StopReason::ToolCalls) => ("tool_use", None),
            Some(StopReason::Refused) => ("refusal", None),
            Some(StopReason::Sequence(text)) => ("stop_sequence", text),
            // Some replicas report the end of the turn for tool calls.
            Some(StopReason::Complete | StopReason::Other) | None if self.has_tool_calls => {
                ("tool_use", None)
            }
            Some(StopReason::Complete | StopReason::Other) | None => ("end_turn", None),
        };
        write_event(out, "message_delta", |data| {
            data.object("delta").set("stop_reason", reason).set("stop_sequence", &sequence);
            let mut counts = data.object("usage");
            counts.set("input_tokens", &usage.uncached_prompt());
            counts
                .set("cache_read_input_tokens", &usage.cached.unwrap_or(0))
                .set("output_tokens", &usage.output);
        });
        write_event(out, "message_stop", |_| {});
    }
}

/// Error type of the messages API for an error type of either dialect; `api_error` if unknown.
fn error_type(kind: &str) -> &str {
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
