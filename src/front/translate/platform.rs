//! Reads and writes the events of the platform's dialect.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde_json::Value;

use super::response_part::{ResponsePart, Stop, Usage};
use super::text_fragment::{FragmentJoiner, TextFragment};
use crate::front::object::{Text, object};
use crate::front::write::{List, Object};
use tulipridge_http1::codec::SseBlock;

/// Maximum number of tool calls in a response; further ones are omitted.
const MAX_CALLS: u32 = 1024;

object! {
    /// An event's data.
    Chunk {
        /// The choices, of which the first one is used.
        choices = "choices": Vec<Choice<'a>>,
        /// Token usage.
        usage = "usage": Tokens,
        /// The error of the stream.
        error = "error": Value,
        /// The id, which every event repeats.
        id = "id": Value,
        /// The same.
        object = "object": Value,
        /// The same.
        created = "created": Value,
        /// The same.
        model = "model": Value,
    }
}

object! {
    /// The next part of a choice.
    Choice {
        /// The index of the choice.
        index = "index": u64,
        /// What is added.
        delta = "delta": Delta<'a>,
        /// Why generation stopped.
        finish_reason = "finish_reason": Text<'a>,
        /// Log probabilities.
        logprobs = "logprobs": Value,
    }
}

object! {
    /// What is added to a choice.
    Delta {
        /// The role.
        role = "role": Text<'a>,
        /// Text.
        content = "content": TextFragment,
        /// Text of a refusal.
        refusal = "refusal": TextFragment,
        /// Tool calls.
        tool_calls = "tool_calls": Vec<Call<'a>>,
    }
}

object! {
    /// A part of a tool call.
    Call {
        /// The index of the call.
        index = "index": u32,
        /// The call's id.
        id = "id": Text<'a>,
        /// Its type.
        kind = "type": Text<'a>,
        /// The function and its arguments.
        function = "function": Function<'a>,
    }
}

object! {
    /// A part of a function call.
    Function {
        /// The function's name.
        name = "name": Text<'a>,
        /// A fragment of its arguments.
        arguments = "arguments": TextFragment,
    }
}

/// Token usage.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Tokens {
    prompt_tokens: Option<u64>,
    completion_tokens: Option<u64>,
    prompt_tokens_details: Option<Details>,
}

/// Details of the prompt tokens.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Details {
    cached_tokens: Option<u64>,
}

impl From<&Tokens> for Usage {
    fn from(tokens: &Tokens) -> Usage {
        Usage {
            prompt: tokens.prompt_tokens.unwrap_or(0),
            cached: tokens.prompt_tokens_details.as_ref().and_then(|d| d.cached_tokens),
            output: tokens.completion_tokens.unwrap_or(0),
        }
    }
}

/// The token usage that an event states.
pub fn usage(block: SseBlock<'_>) -> Option<Usage> {
    #[derive(Deserialize)]
    struct UsageEvent {
        usage: Option<Tokens>,
    }
    serde_json::from_str::<UsageEvent>(&block.data()).ok()?.usage.as_ref().map(Usage::from)
}

/// Reads a stream.
#[derive(Default)]
pub struct Reader {
    begun: BTreeSet<u32>,
}

impl Reader {
    /// Appends the parts of an event.
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
            Ok(chunk) => self.chunk(&chunk, out),
            Err(_) => out.push(ResponsePart::Unknown(name_of(block))),
        }
        if out.len() == length_before {
            out.push(ResponsePart::Unknown(name_of(block)));
        }
    }

    fn chunk(&mut self, chunk: &Chunk<'_>, out: &mut Vec<ResponsePart>) {
        if let Some(error) = &chunk.error {
            let field = |name: &str| error[name].as_str().unwrap_or_default().to_owned();
            let message = error.as_str().map_or_else(|| field("message"), str::to_owned);
            return out.push(ResponsePart::Error(field("type"), message));
        }
        if chunk.choices.is_none() && chunk.usage.is_none() {
            // Not an event of a completion.
            return;
        }
        let known = ["system_fingerprint", "service_tier"];
        for name in chunk.unknown.iter().filter(|n| !known.contains(&&***n)) {
            out.push(ResponsePart::Unknown((**name).to_owned()));
        }
        for choice in chunk.choices.as_deref().unwrap_or_default() {
            if choice.index.unwrap_or(0) > 0 {
                out.push(ResponsePart::Unknown("a second choice".into()));
                continue;
            }
            if let Some(delta) = &choice.delta {
                self.delta(delta, out);
            }
            match choice.finish_reason.as_deref() {
                Some("stop") => out.push(ResponsePart::Stop(Stop::Done)),
                Some("length") => out.push(ResponsePart::Stop(Stop::Length)),
                Some("tool_calls") => out.push(ResponsePart::Stop(Stop::Tools)),
                Some("content_filter") => out.push(ResponsePart::Stop(Stop::Refused)),
                Some(_) => out.push(ResponsePart::Stop(Stop::Other)),
                None => {}
            }
        }
        if let Some(tokens) = &chunk.usage {
            out.push(ResponsePart::Usage(tokens.into()));
        }
    }

    fn delta(&mut self, delta: &Delta<'_>, out: &mut Vec<ResponsePart>) {
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
                out.push(ResponsePart::Unknown("a tool call of too high a number".into()));
                continue;
            }
            let function = call.function.as_ref();
            if self.begun.insert(number) {
                let id = call.id.as_deref().map_or_else(|| format!("call_{number}"), str::to_owned);
                let name = function.and_then(|f| f.name.as_deref()).unwrap_or_default().to_owned();
                out.push(ResponsePart::Call { number, id, name });
            }
            let arguments = function.and_then(|f| f.arguments.as_ref());
            // A call without arguments in this event still counts as known.
            out.push(ResponsePart::Arguments(number, arguments.cloned().unwrap_or_default()));
        }
    }
}

fn name_of(block: SseBlock<'_>) -> String {
    if block.name().is_empty() { "an unnamed event".to_owned() } else { block.name().to_owned() }
}

/// Writes a stream.
#[derive(Default)]
pub struct Writer {
    text: FragmentJoiner,
    calls: std::collections::BTreeMap<u32, FragmentJoiner>,
}

impl Writer {
    /// Appends the events of a part; `usage` is the token usage so far.
    pub fn write(&mut self, part: ResponsePart, usage: Usage, out: &mut Vec<u8>) {
        match part {
            ResponsePart::Start => choice(out, None, |delta| {
                delta.set("role", "assistant").set("content", "");
            }),
            ResponsePart::Text(fragment) => {
                let text = self.text.join(fragment);
                if !text.is_empty() {
                    choice(out, None, |delta| {
                        delta.set("content", &text);
                    });
                }
            }
            ResponsePart::Call { number, id, name } => {
                self.calls.insert(number, FragmentJoiner::default());
                call(out, number, |call| {
                    call.set("id", &id).set("type", "function");
                    call.object("function").set("name", &name).set("arguments", "");
                });
            }
            ResponsePart::Arguments(number, fragment) => {
                let json = self.calls.entry(number).or_default().join(fragment);
                if !json.is_empty() {
                    call(out, number, |call| {
                        call.object("function").set("arguments", &json);
                    });
                }
            }
            ResponsePart::Stop(stop) => {
                let reason = match stop {
                    Stop::Length => "length",
                    Stop::Tools => "tool_calls",
                    Stop::Refused => "content_filter",
                    Stop::Done | Stop::Sequence(_) | Stop::Other => "stop",
                };
                choice(out, Some(reason), |_| {});
            }
            ResponsePart::Error(kind, message) => event(out, |data| {
                data.object("error").set("type", &kind).set("message", &message);
            }),
            ResponsePart::End => {
                event(out, |data| {
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

fn event(out: &mut Vec<u8>, write: impl FnOnce(&mut Object<'_>)) {
    out.extend_from_slice(b"data: ");
    write(&mut Object::new(out));
    out.extend_from_slice(b"\n\n");
}

fn choice(out: &mut Vec<u8>, finish: Option<&str>, write: impl FnOnce(&mut Object<'_>)) {
    event(out, |data| {
        let mut choices = data.list("choices");
        let mut choice = choices.object();
        choice.set("index", &0);
        write(&mut choice.object("delta"));
        choice.set("finish_reason", &finish);
    });
}

fn call(out: &mut Vec<u8>, number: u32, write: impl FnOnce(&mut Object<'_>)) {
    choice(out, None, |delta| {
        let mut calls: List<'_> = delta.list("tool_calls");
        let mut call = calls.object();
        call.set("index", &number);
        write(&mut call);
    });
}
