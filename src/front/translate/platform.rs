//! Parsing and encoding of the events of the platform's dialect.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde_json::Value;

use super::response_part::{ResponsePart, StopReason, Usage};
use super::text_fragment::{FragmentJoiner, TextFragment};
use crate::front::object::{Text, object};
use crate::front::write::{List, Object};
use tulipridge_http1::codec::SseBlock;

/// Maximum number of tool calls in a response. Further calls are omitted.
const MAX_CALLS: u32 = 1024;

object! {
    /// Data of an event.
    Chunk {
        /// Choices of the response, of which only the first one is used.
        choices = "choices": Vec<Choice<'a>>,
        /// Token usage of the request.
        usage = "usage": TokenUsage,
        /// Error that ends the stream.
        error = "error": Value,
        /// Id of the response, which is the same in each event. Not translated.
        id = "id": Value,
        /// Name of the object type, which is the same in each event. Not translated.
        object = "object": Value,
        /// Creation time, which is the same in each event. Not translated.
        created = "created": Value,
        /// Model name, which is the same in each event. Not translated.
        model = "model": Value,
    }
}

object! {
    /// Next part of a choice.
    Choice {
        /// Index of the choice; 0 if absent.
        index = "index": u64,
        /// Added content.
        delta = "delta": Delta<'a>,
        /// Reason for the end of the generation.
        finish_reason = "finish_reason": Text<'a>,
        /// Log probabilities of the tokens. Not translated.
        logprobs = "logprobs": Value,
    }
}

object! {
    /// Added content of a choice.
    Delta {
        /// Role of the author.
        role = "role": Text<'a>,
        /// Fragment of the text.
        content = "content": TextFragment,
        /// Fragment of a refusal's text.
        refusal = "refusal": TextFragment,
        /// Parts of tool calls.
        tool_calls = "tool_calls": Vec<Call<'a>>,
    }
}

object! {
    /// Part of a tool call.
    Call {
        /// Index of the call; 0 if absent.
        index = "index": u32,
        /// Id of the call, in its first part.
        id = "id": Text<'a>,
        /// Type of the call: `function`.
        kind = "type": Text<'a>,
        /// Function of the call.
        function = "function": Function<'a>,
    }
}

object! {
    /// Part of a function call.
    Function {
        /// Name of the function, in its first part.
        name = "name": Text<'a>,
        /// Fragment of the JSON arguments.
        arguments = "arguments": TextFragment,
    }
}

/// Token counts of a request and its response.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct TokenUsage {
    prompt_tokens: Option<u64>,
    completion_tokens: Option<u64>,
    prompt_tokens_details: Option<PromptTokenDetails>,
}

/// Details of the prompt token count.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct PromptTokenDetails {
    cached_tokens: Option<u64>,
}

impl From<&TokenUsage> for Usage {
    fn from(tokens: &TokenUsage) -> Usage {
        Usage {
            prompt: tokens.prompt_tokens.unwrap_or(0),
            cached: tokens.prompt_tokens_details.as_ref().and_then(|d| d.cached_tokens),
            output: tokens.completion_tokens.unwrap_or(0),
        }
    }
}

/// Token usage by an event, if the event states any.
pub fn usage(block: SseBlock<'_>) -> Option<Usage> {
    #[derive(Deserialize)]
    struct UsageEvent {
        usage: Option<TokenUsage>,
    }
    serde_json::from_str::<UsageEvent>(&block.data()).ok()?.usage.as_ref().map(Usage::from)
}

/// Parser of a stream.
#[derive(Default)]
pub struct Reader {
    known_calls: BTreeSet<u32>,
}

impl Reader {
    /// Parses an event and appends its parts to `out`. An event without any part is reported as unknown.
    pub fn read(&mut self, block: SseBlock<'_>, out: &mut Vec<ResponsePart>) {
        if block.is_comment() {
            return;
        }
        let data = block.data();
        if data == "[DONE]" {
            return out.push(ResponsePart::End);
        }
        let length_before = out.len();
        match serde_json::from_str::<Chunk<'_>>(&data) {
            Ok(chunk) => self.read_chunk(&chunk, out),
            Err(_) => out.push(ResponsePart::Unknown(event_name(block))),
        }
        if out.len() == length_before {
            out.push(ResponsePart::Unknown(event_name(block)));
        }
    }

    fn read_chunk(&mut self, chunk: &Chunk<'_>, out: &mut Vec<ResponsePart>) {
        if let Some(error) = &chunk.error {
            let field = |name: &str| error[name].as_str().unwrap_or_default().to_owned();
            let message = error.as_str().map_or_else(|| field("message"), str::to_owned);
            return out.push(ResponsePart::Error(field("type"), message));
        }
        if chunk.choices.is_none() && chunk.usage.is_none() {
            // The event is not part of a completion.
            return;
        }
        let ignored_fields = ["system_fingerprint", "service_tier"];
        for name in chunk.unknown.iter().filter(|n| !ignored_fields.contains(&&***n)) {
            out.push(ResponsePart::Unknown((**name).to_owned()));
        }
        for choice in chunk.choices.as_deref().unwrap_or_default() {
            if choice.index.unwrap_or(0) > 0 {
                out.push(ResponsePart::Unknown("a second choice".into()));
                continue;
            }
            if let Some(delta) = &choice.delta {
                self.read_delta(delta, out);
            }
            match choice.finish_reason.as_deref() {
                Some("stop") => out.push(ResponsePart::Stop(StopReason::Complete)),
                Some("length") => out.push(ResponsePart::Stop(StopReason::MaxTokens)),
                Some("tool_calls") => out.push(ResponsePart::Stop(StopReason::ToolCalls)),
                Some("content_filter") => out.push(ResponsePart::Stop(StopReason::Refused)),
                Some(_) => out.push(ResponsePart::Stop(StopReason::Other)),
                None => {}
            }
        }
        if let Some(tokens) = &chunk.usage {
            out.push(ResponsePart::Usage(tokens.into()));
        }
    }

    fn read_delta(&mut self, delta: &Delta<'_>, out: &mut Vec<ResponsePart>) {
        for name in &delta.unknown {
            out.push(ResponsePart::Unknown(format!("delta.{}", &**name)));
        }
        let texts = [&delta.content, &delta.refusal];
        if delta.role.is_some()
            || texts.iter().any(|text| text.as_ref().is_some_and(|text| text.0.is_empty()))
        {
            out.push(ResponsePart::Start);
        }
        for text in texts.into_iter().flatten().filter(|text| !text.0.is_empty()) {
            out.push(ResponsePart::Text(text.clone()));
        }
        for call in delta.tool_calls.as_deref().unwrap_or_default() {
            let number = call.index.unwrap_or(0);
            if number >= MAX_CALLS {
                out.push(ResponsePart::Unknown("a tool call index above the limit".into()));
                continue;
            }
            let function = call.function.as_ref();
            if self.known_calls.insert(number) {
                let id = call.id.as_deref().map_or_else(|| format!("call_{number}"), str::to_owned);
                let name = function.and_then(|f| f.name.as_deref()).unwrap_or_default().to_owned();
                out.push(ResponsePart::ToolCall { number, id, name });
            }
            let arguments = function.and_then(|f| f.arguments.as_ref());
            // Appends empty arguments too, so that the event is not reported as unknown.
            out.push(ResponsePart::Arguments(number, arguments.cloned().unwrap_or_default()));
        }
    }
}

fn event_name(block: SseBlock<'_>) -> String {
    if block.name().is_empty() { "an unnamed event".to_owned() } else { block.name().to_owned() }
}

/// Encoder of a stream.
#[derive(Default)]
pub struct Writer {
    text: FragmentJoiner,
    calls: std::collections::BTreeMap<u32, FragmentJoiner>,
}

impl Writer {
    /// Appends the events for a part of the response; `usage` is the token usage so far.
    pub fn write(&mut self, part: ResponsePart, usage: Usage, out: &mut Vec<u8>) {
        match part {
            ResponsePart::Start => write_choice(out, None, |delta| {
                delta.set("role", "assistant").set("content", "");
            }),
            ResponsePart::Text(fragment) => {
                let text = self.text.join(fragment);
                if !text.is_empty() {
                    write_choice(out, None, |delta| {
                        delta.set("content", &text);
                    });
                }
            }
            ResponsePart::ToolCall { number, id, name } => {
                self.calls.insert(number, FragmentJoiner::default());
                write_tool_call(out, number, |call| {
                    call.set("id", &id).set("type", "function");
                    call.object("function").set("name", &name).set("arguments", "");
                });
            }
            ResponsePart::Arguments(number, fragment) => {
                let json = self.calls.entry(number).or_default().join(fragment);
                if !json.is_empty() {
                    write_tool_call(out, number, |call| {
                        call.object("function").set("arguments", &json);
                    });
                }
            }
            ResponsePart::Stop(stop) => {
                let reason = match stop {
                    StopReason::MaxTokens => "length",
                    StopReason::ToolCalls => "tool_calls",
                    StopReason::Refused => "content_filter",
                    StopReason::Complete | StopReason::Sequence(_) | StopReason::Other => "stop",
                };
                write_choice(out, Some(reason), |_| {});
            }
            ResponsePart::Error(kind, message) => write_event(out, |data| {
                data.object("error").set("type", &kind).set("message", &message);
            }),
            ResponsePart::End => {
                write_event(out, |data| {
                    drop(data.list("choices"));
                    let Usage { prompt, cached, output } = usage;
                    let mut counts = data.object("usage");
                    counts.set("prompt_tokens", &prompt).set("completion_tokens", &output);
                    counts.set("total_tokens", &prompt.saturating_add(output));
                    counts.object("prompt_tokens_details").set("cached_tokens", &cached.unwrap_or(0));
                });
                out.extend_from_slice(b"data: [DONE]\n\n");
            }
            ResponsePart::Ping => out.extend_from_slice(b": ping\n\n"),
            ResponsePart::Usage(_) | ResponsePart::Unknown(_) => {}
        }
    }
}

fn write_event(out: &mut Vec<u8>, write: impl FnOnce(&mut Object<'_>)) {
    out.extend_from_slice(b"data: ");
    write(&mut Object::new(out));
    out.extend_from_slice(b"\n\n");
}

fn write_choice(out: &mut Vec<u8>, finish_reason: Option<&str>, write: impl FnOnce(&mut Object<'_>)) {
    write_event(out, |data| {
        let mut choices = data.list("choices");
        let mut choice = choices.object();
        choice.set("index", &0);
        write(&mut choice.object("delta"));
        choice.set("finish_reason", &finish_reason);
    });
}

fn write_tool_call(out: &mut Vec<u8>, number: u32, write: impl FnOnce(&mut Object<'_>)) {
    write_choice(out, None, |delta| {
        let mut calls: List<'_> = delta.list("tool_calls");
        let mut call = calls.object();
        call.set("index", &number);
        write(&mut call);
    });
}
