//! The platform's events: read into pieces, and written from them.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde_json::Value;

use super::answer_part::{AnswerPart, Stop, Usage};
use super::text_fragment::{FragmentJoiner, TextFragment};
use crate::front::object::{Text, object};
use crate::front::write::{List, Object};
use tulipridge_http1::codec::SseBlock;

/// Uses of tools that one answer may have; a real server that invents more is not heard on them.
const MOST_CALLS: u32 = 1024;

object! {
    /// An event's data.
    Chunk {
        /// The answers, of which the first is the one.
        choices = "choices": Vec<Choice<'a>>,
        /// Tokens.
        usage = "usage": Tokens,
        /// What went wrong.
        error = "error": Value,
        /// What every event repeats.
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
    /// An answer's next part.
    Choice {
        /// Which of the answers it is.
        index = "index": u64,
        /// What is new.
        delta = "delta": Delta<'a>,
        /// Why it stopped.
        finish_reason = "finish_reason": Text<'a>,
        /// How likely the words were.
        logprobs = "logprobs": Value,
    }
}

object! {
    /// What is new of an answer.
    Delta {
        /// Whose it is.
        role = "role": Text<'a>,
        /// Text of the answer.
        content = "content": TextFragment,
        /// Text of a refusal.
        refusal = "refusal": TextFragment,
        /// Uses of tools.
        tool_calls = "tool_calls": Vec<Call<'a>>,
    }
}

object! {
    /// A part of a tool's use.
    Call {
        /// Which use it is.
        index = "index": u32,
        /// The use's id.
        id = "id": Text<'a>,
        /// Its type.
        kind = "type": Text<'a>,
        /// The function and its arguments.
        function = "function": Function<'a>,
    }
}

object! {
    /// A part of a function's call.
    Function {
        /// The function's name.
        name = "name": Text<'a>,
        /// More of its arguments.
        arguments = "arguments": TextFragment,
    }
}

/// Tokens.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Tokens {
    prompt_tokens: Option<u64>,
    completion_tokens: Option<u64>,
    prompt_tokens_details: Option<Details>,
}

/// More of the prompt's tokens.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Details {
    cached_tokens: Option<u64>,
}

impl From<&Tokens> for Usage {
    fn from(tokens: &Tokens) -> Usage {
        Usage {
            prompt: tokens.prompt_tokens.unwrap_or(0),
            kept: tokens.prompt_tokens_details.as_ref().and_then(|d| d.cached_tokens),
            answer: tokens.completion_tokens.unwrap_or(0),
        }
    }
}

/// Tokens that an event tells.
pub fn usage(block: SseBlock<'_>) -> Option<Usage> {
    #[derive(Deserialize)]
    struct Told {
        usage: Option<Tokens>,
    }
    serde_json::from_str::<Told>(&block.data()).ok()?.usage.as_ref().map(Usage::from)
}

/// Reads a stream.
#[derive(Default)]
pub struct Reader {
    begun: BTreeSet<u32>,
}

impl Reader {
    /// Adds what an event says.
    pub fn read(&mut self, block: SseBlock<'_>, out: &mut Vec<AnswerPart>) {
        if block.is_comment() {
            return;
        }
        let data = block.data();
        if data == "[DONE]" {
            return out.push(AnswerPart::End);
        }
        let had = out.len();
        match serde_json::from_str::<Chunk<'_>>(&data) {
            Ok(chunk) => self.chunk(&chunk, out),
            Err(_) => out.push(AnswerPart::Unknown(name_of(block))),
        }
        if out.len() == had {
            out.push(AnswerPart::Unknown(name_of(block)));
        }
    }

    fn chunk(&mut self, chunk: &Chunk<'_>, out: &mut Vec<AnswerPart>) {
        if let Some(error) = &chunk.error {
            let word = |name: &str| error[name].as_str().unwrap_or_default().to_owned();
            let words = error.as_str().map_or_else(|| word("message"), str::to_owned);
            return out.push(AnswerPart::Error(word("type"), words));
        }
        if chunk.choices.is_none() && chunk.usage.is_none() {
            // Another kind of event altogether.
            return;
        }
        let known = ["system_fingerprint", "service_tier"];
        for name in chunk.unknown.iter().filter(|n| !known.contains(&&***n)) {
            out.push(AnswerPart::Unknown((**name).to_owned()));
        }
        for choice in chunk.choices.as_deref().unwrap_or_default() {
            if choice.index.unwrap_or(0) > 0 {
                out.push(AnswerPart::Unknown("a second choice".into()));
                continue;
            }
            if let Some(delta) = &choice.delta {
                self.delta(delta, out);
            }
            match choice.finish_reason.as_deref() {
                Some("stop") => out.push(AnswerPart::Stop(Stop::Done)),
                Some("length") => out.push(AnswerPart::Stop(Stop::Length)),
                Some("tool_calls") => out.push(AnswerPart::Stop(Stop::Tools)),
                Some("content_filter") => out.push(AnswerPart::Stop(Stop::Refused)),
                Some(_) => out.push(AnswerPart::Stop(Stop::Other)),
                None => {}
            }
        }
        if let Some(tokens) = &chunk.usage {
            out.push(AnswerPart::Usage(tokens.into()));
        }
    }

    fn delta(&mut self, delta: &Delta<'_>, out: &mut Vec<AnswerPart>) {
        for name in &delta.unknown {
            out.push(AnswerPart::Unknown(format!("delta.{}", &**name)));
        }
        let words = [&delta.content, &delta.refusal];
        if delta.role.is_some() || words.iter().any(|w| w.as_ref().is_some_and(|w| w.0.is_empty())) {
            out.push(AnswerPart::Start);
        }
        for words in words.into_iter().flatten().filter(|w| !w.0.is_empty()) {
            out.push(AnswerPart::Text(words.clone()));
        }
        for call in delta.tool_calls.as_deref().unwrap_or_default() {
            let number = call.index.unwrap_or(0);
            if number >= MOST_CALLS {
                out.push(AnswerPart::Unknown("a tool call of too high a number".into()));
                continue;
            }
            let function = call.function.as_ref();
            if self.begun.insert(number) {
                let id = call.id.as_deref().map_or_else(|| format!("call_{number}"), str::to_owned);
                let name = function.and_then(|f| f.name.as_deref()).unwrap_or_default().to_owned();
                out.push(AnswerPart::Call { number, id, name });
            }
            let arguments = function.and_then(|f| f.arguments.as_ref());
            // A use that goes on without a word says nothing, but it is known.
            out.push(AnswerPart::Arguments(number, arguments.cloned().unwrap_or_default()));
        }
    }
}

fn name_of(block: SseBlock<'_>) -> String {
    if block.name().is_empty() { "an unnamed event".to_owned() } else { block.name().to_owned() }
}

/// Writes a stream.
#[derive(Default)]
pub struct Writer {
    words: FragmentJoiner,
    calls: std::collections::BTreeMap<u32, FragmentJoiner>,
}

impl Writer {
    /// Adds what a piece needs to be said; `usage` is what is known of it so far.
    pub fn write(&mut self, part: AnswerPart, usage: Usage, out: &mut Vec<u8>) {
        match part {
            AnswerPart::Start => choice(out, None, |delta| {
                delta.set("role", "assistant").set("content", "");
            }),
            AnswerPart::Text(words) => {
                let text = self.words.join(words);
                if !text.is_empty() {
                    choice(out, None, |delta| {
                        delta.set("content", &text);
                    });
                }
            }
            AnswerPart::Call { number, id, name } => {
                self.calls.insert(number, FragmentJoiner::default());
                call(out, number, |call| {
                    call.set("id", &id).set("type", "function");
                    call.object("function").set("name", &name).set("arguments", "");
                });
            }
            AnswerPart::Arguments(number, words) => {
                let json = self.calls.entry(number).or_default().join(words);
                if !json.is_empty() {
                    call(out, number, |call| {
                        call.object("function").set("arguments", &json);
                    });
                }
            }
            AnswerPart::Stop(stop) => {
                let word = match stop {
                    Stop::Length => "length",
                    Stop::Tools => "tool_calls",
                    Stop::Refused => "content_filter",
                    Stop::Done | Stop::Sequence(_) | Stop::Other => "stop",
                };
                choice(out, Some(word), |_| {});
            }
            AnswerPart::Error(kind, words) => event(out, |data| {
                data.object("error").set("type", &kind).set("message", &words);
            }),
            AnswerPart::End => {
                event(out, |data| {
                    drop(data.list("choices"));
                    let Usage { prompt, kept, answer } = usage;
                    let mut told = data.object("usage");
                    told.set("prompt_tokens", &prompt).set("completion_tokens", &answer);
                    told.set("total_tokens", &prompt.saturating_add(answer));
                    told.object("prompt_tokens_details").set("cached_tokens", &kept.unwrap_or(0));
                });
                out.extend_from_slice(b"data: [DONE]\n\n");
            }
            AnswerPart::Ping => out.extend_from_slice(b": ping\n\n"),
            AnswerPart::Usage(_) | AnswerPart::Unknown(_) => {}
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
