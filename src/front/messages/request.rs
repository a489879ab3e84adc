//! A request of the messages API, read in one pass over its body and checked; texts are borrowed from it.

use serde::Deserialize;
use serde_json::value::RawValue;

use super::super::object::{self, Text, TextOr, object};
use crate::limits::MessagesLimits;

object! {
    /// The body of `POST /v1/messages`, and of a call that counts its tokens.
    Request {
        /// The model's name.
        model = "model": Text<'a>,
        /// Tokens of the answer at the most.
        max_tokens = "max_tokens": u64,
        /// The conversation.
        messages = "messages": Vec<Turn<'a>>,
        /// What goes before it.
        system = "system": Content<'a>,
        /// Whether the answer comes as a stream.
        stream = "stream": &'a RawValue,
        /// Randomness, 0 to 1.
        temperature = "temperature": f64,
        /// The share of likely tokens that are chosen from.
        top_p = "top_p": f64,
        /// The number of likely tokens that are chosen from.
        top_k = "top_k": u64,
        /// Texts that end the answer.
        stop_sequences = "stop_sequences": Vec<Text<'a>>,
        /// Tools that the model may use.
        tools = "tools": Vec<Tool<'a>>,
        /// Which of them it has to use.
        tool_choice = "tool_choice": Choice<'a>,
        /// Whether it thinks before it answers.
        thinking = "thinking": Thinking<'a>,
        /// Who asks.
        metadata = "metadata": Metadata<'a>,
        /// Which service is asked for.
        service_tier = "service_tier": Text<'a>,
        /// A mark at the end of all that can be marked.
        cache_control = "cache_control": Mark<'a>,
    }
}

object! {
    /// One turn of a conversation.
    Turn {
        /// Whose it is.
        role = "role": Text<'a>,
        /// What was said.
        content = "content": Content<'a>,
    }
}

object! {
    /// One block of a content, of whichever type.
    Block {
        /// The type.
        kind = "type": Text<'a>,
        /// A text's words.
        text = "text": Text<'a>,
        /// Where an image or a document comes from.
        source = "source": TextOr<'a, Box<Source<'a>>>,
        /// A document's title.
        title = "title": Text<'a>,
        /// What is to be known of a document.
        context = "context": Text<'a>,
        /// Whether a document is cited from, or what a text cites.
        citations = "citations": &'a RawValue,
        /// A tool use's id.
        id = "id": Text<'a>,
        /// The tool's name.
        name = "name": Text<'a>,
        /// What the tool is given.
        input = "input": &'a RawValue,
        /// The tool use that a result is of.
        tool_use_id = "tool_use_id": Text<'a>,
        /// A result's content.
        content = "content": Content<'a>,
        /// The tool failed.
        is_error = "is_error": bool,
        /// Thoughts.
        thinking = "thinking": Text<'a>,
        /// That the thoughts are the model's own.
        signature = "signature": Text<'a>,
        /// Thoughts that nobody may read.
        data = "data": Text<'a>,
        /// The prompt up to here is worth keeping.
        cache_control = "cache_control": Mark<'a>,
    }
}

object! {
    /// Where an image or a document comes from.
    Source {
        /// How: `base64`, `url`, `text`, `content` or `file`.
        kind = "type": Text<'a>,
        /// What it is.
        media_type = "media_type": Text<'a>,
        /// It, in base64 or as plain text.
        data = "data": Text<'a>,
        /// Where it is.
        url = "url": Text<'a>,
        /// What it is called where files are held.
        file_id = "file_id": Text<'a>,
        /// Its blocks.
        content = "content": Content<'a>,
    }
}

object! {
    /// A tool's definition.
    Tool {
        /// Its type: `custom`, or one that the real servers know by themselves.
        kind = "type": Text<'a>,
        /// Its name.
        name = "name": Text<'a>,
        /// What it is good for.
        description = "description": Text<'a>,
        /// The JSON schema of its input.
        input_schema = "input_schema": &'a RawValue,
        /// The input has to follow the schema.
        strict = "strict": bool,
        /// The prompt up to here is worth keeping.
        cache_control = "cache_control": Mark<'a>,
    }
}

object! {
    /// Which tools the model has to use.
    Choice {
        /// `auto`, `any`, `tool` or `none`.
        kind = "type": Text<'a>,
        /// The tool's name.
        name = "name": Text<'a>,
        /// One use of a tool at the most.
        disable_parallel_tool_use = "disable_parallel_tool_use": bool,
    }
}

object! {
    /// Whether the model thinks.
    Thinking {
        /// `enabled`, `disabled`, or a way that only real servers know.
        kind = "type": Text<'a>,
        /// Tokens that it thinks at the most.
        budget_tokens = "budget_tokens": u64,
    }
}

object! {
    /// Who asks.
    Metadata {
        /// The client's own name for its user.
        user_id = "user_id": Text<'a>,
    }
}

object! {
    /// A mark that the prompt up to here is worth keeping.
    Mark {
        /// `ephemeral`.
        kind = "type": Text<'a>,
        /// For how long.
        ttl = "ttl": Text<'a>,
    }
}

/// A content: a text, or blocks.
#[derive(Clone, Debug)]
pub struct Content<'a>(pub TextOr<'a, Vec<Block<'a>>>);

impl<'de: 'a, 'a> Deserialize<'de> for Content<'a> {
    fn deserialize<D: serde::Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        TextOr::deserialize(from).map(Content)
    }
}

impl<'a> Content<'a> {
    /// Its blocks; none if it is a text.
    pub fn blocks(&self) -> &[Block<'a>] {
        match &self.0 {
            TextOr::Text(_) => &[],
            TextOr::Other(blocks) => blocks,
        }
    }

    /// The text that it is, if it is one.
    pub fn plain(&self) -> Option<&str> {
        match &self.0 {
            TextOr::Text(text) => Some(text),
            TextOr::Other(_) => None,
        }
    }
}

impl Block<'_> {
    /// Its type's name.
    pub fn kind(&self) -> &str {
        self.kind.as_deref().unwrap_or_default()
    }

    /// The longer form of its source.
    pub fn origin(&self) -> Option<&Source<'_>> {
        match &self.source {
            Some(TextOr::Other(source)) => Some(source),
            _ => None,
        }
    }
}

/// What a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// An answer.
    Answer,
    /// The number of its tokens.
    Count,
}

/// A fault's place and words, as a client is told them.
type Fault = Result<(), String>;

fn fault<T>(place: impl std::fmt::Display, what: impl std::fmt::Display) -> Result<T, String> {
    Err(format!("{place}: {what}"))
}

impl<'a> Request<'a> {
    /// Reads and checks a body. The error names the field that is wrong.
    pub fn read(body: &'a [u8], purpose: Purpose, limits: &MessagesLimits) -> Result<Request<'a>, String> {
        let request: Request = object::read(body)?;
        request.check(purpose, limits)?;
        Ok(request)
    }

    /// Whether the answer is wanted as a stream.
    pub fn streams(&self) -> bool {
        self.stream.is_some_and(|s| s.get() == "true")
    }

    /// The turns.
    pub fn turns(&self) -> &[Turn<'a>] {
        self.messages.as_deref().unwrap_or_default()
    }

    /// The tools.
    pub fn tools(&self) -> &[Tool<'a>] {
        self.tools.as_deref().unwrap_or_default()
    }

    fn check(&self, purpose: Purpose, limits: &MessagesLimits) -> Fault {
        if self.model.as_deref().is_none_or(str::is_empty) {
            return fault("model", "a name is required");
        }
        match (self.max_tokens, purpose) {
            (None, Purpose::Answer) => return fault("max_tokens", "a positive number is required"),
            (Some(0), _) => return fault("max_tokens", "0 is not a positive number"),
            _ => {}
        }
        let neither = self.stream.is_some_and(|s| !matches!(s.get(), "true" | "false"));
        if neither || self.nulls.contains(&"stream") {
            return fault("stream", "neither true nor false");
        }
        for (name, value) in [("temperature", self.temperature), ("top_p", self.top_p)] {
            if let Some(value) = value.filter(|v| !(0.0..=1.0).contains(v)) {
                return fault(name, format!("{value} is not between 0 and 1"));
            }
        }
        let stops = self.stop_sequences.as_deref().unwrap_or_default();
        at_most("stop_sequences", stops.len(), limits.stops)?;
        if let Some(n) = stops.iter().position(|s| s.trim().is_empty()) {
            return fault(format!("stop_sequences.{n}"), "a text that is not blank is required");
        }
        if let Some(tier) = self.service_tier.as_deref().filter(|t| !matches!(*t, "auto" | "standard_only"))
        {
            return fault("service_tier", format!("'{tier}' is neither auto nor standard_only"));
        }
        self.check_thinking()?;
        self.check_tools(limits)?;
        if let Some(mark) = &self.cache_control {
            check_mark("cache_control", mark)?;
        }
        let mut count = 0;
        if let Some(system) = &self.system {
            for (n, block) in system.blocks().iter().enumerate() {
                let place = format!("system.{n}");
                if block.kind() != "text" {
                    return fault(
                        format!("{place}.type"),
                        format!("'{}' is no block of system", block.kind()),
                    );
                }
                block.check(&place, Where::System, limits, &mut count)?;
            }
        }
        let turns = self.turns();
        if turns.is_empty() {
            return fault("messages", "at least one is required");
        }
        at_most("messages", turns.len(), limits.turns)?;
        let mut uses: Vec<&str> = Vec::new();
        for (n, turn) in turns.iter().enumerate() {
            turn.check(&format!("messages.{n}"), limits, &mut count, &mut uses)?;
        }
        Ok(())
    }

    fn check_thinking(&self) -> Fault {
        let Some(thinking) = &self.thinking else { return Ok(()) };
        match thinking.kind.as_deref() {
            None => fault("thinking.type", "required"),
            Some("enabled") => match thinking.budget_tokens {
                None => fault("thinking.budget_tokens", "required where thinking is enabled"),
                Some(budget) if budget < 1024 => {
                    fault("thinking.budget_tokens", format!("{budget} is less than 1024"))
                }
                Some(budget) if self.max_tokens.is_some_and(|most| budget >= most) => {
                    fault("thinking.budget_tokens", format!("{budget} is not less than max_tokens"))
                }
                Some(_) => Ok(()),
            },
            // There are more ways than one; the real server knows its own.
            Some(_) => Ok(()),
        }
    }

    fn check_tools(&self, limits: &MessagesLimits) -> Fault {
        let tools = self.tools();
        at_most("tools", tools.len(), limits.tools)?;
        let mut names = std::collections::BTreeSet::new();
        for (n, tool) in tools.iter().enumerate() {
            let place = format!("tools.{n}");
            if let Some(mark) = &tool.cache_control {
                check_mark(&format!("{place}.cache_control"), mark)?;
            }
            let own = tool.is_custom();
            let Some(name) = tool.name.as_deref() else {
                if own {
                    return fault(format!("{place}.name"), "required");
                }
                continue;
            };
            if own && !is_tool_name(name) {
                return fault(
                    format!("{place}.name"),
                    "1 to 128 letters, digits, hyphens and underscores are required",
                );
            }
            if !names.insert(name) {
                return fault(
                    format!("{place}.name"),
                    format!("'{name}' is the name of an earlier tool too"),
                );
            }
            match tool.input_schema {
                None if own => return fault(format!("{place}.input_schema"), "required"),
                Some(schema) => check_raw(&format!("{place}.input_schema"), schema, limits)?,
                None => {}
            }
        }
        let Some(choice) = &self.tool_choice else { return Ok(()) };
        match choice.kind.as_deref() {
            Some("auto" | "none") => Ok(()),
            Some("any") if tools.is_empty() => fault("tool_choice", "there are no tools"),
            Some("any") => Ok(()),
            Some("tool") => match choice.name.as_deref() {
                None => fault("tool_choice.name", "required"),
                Some(name) if !names.contains(name) => {
                    fault("tool_choice.name", format!("no tool is called '{name}'"))
                }
                Some(_) => Ok(()),
            },
            Some(other) => fault("tool_choice.type", format!("'{other}' is not auto, any, tool or none")),
            None => fault("tool_choice.type", "required"),
        }
    }
}

impl Tool<'_> {
    /// It is defined here, by its schema; the others are the real servers' own.
    pub fn is_custom(&self) -> bool {
        self.kind.as_deref().is_none_or(|k| k == "custom")
    }
}

impl<'a> Turn<'a> {
    /// The client's turn, or else the model's.
    pub fn is_user(&self) -> bool {
        self.role.as_deref() == Some("user")
    }

    fn check<'t>(
        &'t self,
        place: &str,
        limits: &MessagesLimits,
        count: &mut usize,
        uses: &mut Vec<&'t str>,
    ) -> Fault {
        match self.role.as_deref() {
            Some("user" | "assistant") => {}
            Some(role) => {
                return fault(format!("{place}.role"), format!("'{role}' is neither user nor assistant"));
            }
            None => return fault(format!("{place}.role"), "required"),
        }
        let Some(content) = &self.content else { return fault(format!("{place}.content"), "required") };
        let within = if self.is_user() { Where::User } else { Where::Assistant };
        for (n, block) in content.blocks().iter().enumerate() {
            let place = format!("{place}.content.{n}");
            block.check(&place, within, limits, count)?;
            match block.kind() {
                "tool_use" => uses.push(block.id.as_deref().unwrap_or_default()),
                "tool_result" => {
                    let id = block.tool_use_id.as_deref().unwrap_or_default();
                    if !uses.contains(&id) {
                        return fault(
                            format!("{place}.tool_use_id"),
                            format!("no tool use before it is '{id}'"),
                        );
                    }
                }
                _ => {}
            }
        }
        Ok(())
    }
}

/// Where a block stands.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Where {
    System,
    User,
    Assistant,
    Result,
    Document,
}

impl Block<'_> {
    fn check(&self, place: &str, within: Where, limits: &MessagesLimits, count: &mut usize) -> Fault {
        *count += 1;
        at_most("messages", *count, limits.blocks)?;
        let Some(kind) = self.kind.as_deref() else { return fault(format!("{place}.type"), "required") };
        let misplaced = match kind {
            "tool_use" | "thinking" | "redacted_thinking" => within != Where::Assistant,
            "tool_result" => within != Where::User,
            "image" => !matches!(within, Where::User | Where::Result | Where::Document),
            "document" => !matches!(within, Where::User | Where::Result),
            _ => false,
        };
        if misplaced {
            return fault(format!("{place}.type"), format!("'{kind}' is not allowed here"));
        }
        if let Some(mark) = &self.cache_control {
            check_mark(&format!("{place}.cache_control"), mark)?;
        }
        let need = |there: bool, field: &str| {
            if there { Ok(()) } else { fault(format!("{place}.{field}"), format!("required in {kind}")) }
        };
        match kind {
            "text" => need(self.text.is_some(), "text"),
            "image" | "document" => {
                need(self.source.is_some(), "source")?;
                let place = format!("{place}.source");
                let Some(source) = self.origin() else { return fault(place, "an object is required") };
                source.check(&place, kind, limits, count)
            }
            "tool_use" => {
                need(self.id.as_deref().is_some_and(|id| !id.is_empty()), "id")?;
                need(self.name.as_deref().is_some_and(|name| !name.is_empty()), "name")?;
                let Some(input) = self.input else { return need(false, "input") };
                if !input.get().starts_with('{') {
                    return fault(format!("{place}.input"), "an object is required");
                }
                check_raw(&format!("{place}.input"), input, limits)
            }
            "tool_result" => {
                need(self.tool_use_id.is_some(), "tool_use_id")?;
                let blocks = self.content.as_ref().map(Content::blocks).unwrap_or_default();
                for (n, block) in blocks.iter().enumerate() {
                    block.check(&format!("{place}.content.{n}"), Where::Result, limits, count)?;
                }
                Ok(())
            }
            "thinking" => {
                need(self.thinking.is_some(), "thinking")?;
                need(self.signature.is_some(), "signature")
            }
            "redacted_thinking" => need(self.data.is_some(), "data"),
            // Types that only the real servers know, and are left to them.
            _ => match self.input {
                Some(input) => check_raw(&format!("{place}.input"), input, limits),
                None => Ok(()),
            },
        }
    }
}

impl Source<'_> {
    fn check(&self, place: &str, of: &str, limits: &MessagesLimits, count: &mut usize) -> Fault {
        let Some(kind) = self.kind.as_deref() else { return fault(format!("{place}.type"), "required") };
        let need = |there: bool, field: &str| {
            if there {
                Ok(())
            } else {
                fault(format!("{place}.{field}"), format!("required where type is {kind}"))
            }
        };
        let media = |allowed: &[&str]| match self.media_type.as_deref() {
            Some(media) if allowed.contains(&media) => Ok(()),
            Some(media) => fault(
                format!("{place}.media_type"),
                format!("'{media}' is not one of {}", allowed.join(", ")),
            ),
            None => need(false, "media_type"),
        };
        match (of, kind) {
            ("image", "base64") => {
                media(&["image/jpeg", "image/png", "image/gif", "image/webp"])?;
                need(self.data.is_some(), "data")?;
                check_base64(&format!("{place}.data"), self.data.as_deref().unwrap_or_default())
            }
            ("document", "base64") => {
                media(&["application/pdf"])?;
                need(self.data.is_some(), "data")?;
                check_base64(&format!("{place}.data"), self.data.as_deref().unwrap_or_default())
            }
            ("document", "text") => {
                media(&["text/plain"])?;
                need(self.data.is_some(), "data")
            }
            ("document", "content") => {
                let Some(content) = &self.content else { return need(false, "content") };
                for (n, block) in content.blocks().iter().enumerate() {
                    block.check(&format!("{place}.content.{n}"), Where::Document, limits, count)?;
                }
                Ok(())
            }
            (_, "url") => need(self.url.is_some(), "url"),
            (_, "file") => need(self.file_id.is_some(), "file_id"),
            _ => fault(format!("{place}.type"), format!("'{kind}' is no source of {of}")),
        }
    }
}

fn at_most(place: &str, count: usize, most: usize) -> Fault {
    if count > most { fault(place, format!("more than {most}")) } else { Ok(()) }
}

fn check_mark(place: &str, mark: &Mark) -> Fault {
    match mark.kind.as_deref() {
        Some("ephemeral") => {}
        Some(other) => return fault(format!("{place}.type"), format!("'{other}' is not ephemeral")),
        None => return fault(format!("{place}.type"), "required"),
    }
    match mark.ttl.as_deref() {
        None | Some("5m" | "1h") => Ok(()),
        Some(other) => fault(format!("{place}.ttl"), format!("'{other}' is neither 5m nor 1h")),
    }
}

/// Guards against what a real server's own reader would not survive.
fn check_raw(place: &str, raw: &RawValue, limits: &MessagesLimits) -> Fault {
    let depth = object::depth(raw.get());
    if depth > limits.depth { fault(place, format!("nests deeper than {}", limits.depth)) } else { Ok(()) }
}

fn check_base64(place: &str, data: &str) -> Fault {
    let digits = data.trim_end_matches('=');
    let good = digits.bytes().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'+' | b'/'));
    if digits.is_empty() || !good || !data.len().is_multiple_of(4) || data.len() - digits.len() > 2 {
        return fault(place, "not base64");
    }
    Ok(())
}

/// Whether a tool may be called so.
pub fn is_tool_name(name: &str) -> bool {
    (1..=128).contains(&name.len())
        && name.bytes().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_'))
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::{Value, json};

    fn told(body: Value) -> String {
        let limits = MessagesLimits::default();
        Request::read(body.to_string().as_bytes(), Purpose::Answer, &limits)
            .map_or_else(|e| e, |_| String::new())
    }

    fn with(field: &str, value: Value) -> String {
        let mut body =
            json!({"model": "m", "max_tokens": 9, "messages": [{"role": "user", "content": "x"}]});
        body[field] = value;
        told(body)
    }

    fn block(block: Value) -> String {
        with("messages", json!([{"role": "user", "content": [block]}]))
    }

    #[test]
    fn each_fault_is_told_with_its_field() {
        for (fault, field) in [
            (with("model", json!("")), "model: "),
            (with("model", json!(7)), "model: invalid type"),
            (with("max_tokens", json!(-3)), "max_tokens: invalid"),
            (with("max_tokens", json!(0)), "max_tokens: "),
            (with("messages", json!([])), "messages: "),
            (with("messages", json!([{"role": "robot", "content": "x"}])), "messages.0.role: 'robot'"),
            (with("messages", json!([{"role": "user"}])), "messages.0.content: required"),
            (with("messages", json!([{"role": "user", "content": 3}])), "messages.0.content: invalid type"),
            (with("stream", json!("yes")), "stream: "),
            (with("temperature", json!(1.5)), "temperature: 1.5"),
            (with("stop_sequences", json!(["a", " "])), "stop_sequences.1: "),
            (with("service_tier", json!("gold")), "service_tier: 'gold'"),
            (with("thinking", json!({"type": "enabled"})), "thinking.budget_tokens: required"),
            (
                with("thinking", json!({"type": "enabled", "budget_tokens": 10})),
                "thinking.budget_tokens: 10",
            ),
            (with("tools", json!([{"name": "a b", "input_schema": {}}])), "tools.0.name: "),
            (with("tools", json!([{"name": "a"}])), "tools.0.input_schema: required"),
            (with("tool_choice", json!({"type": "tool", "name": "b"})), "tool_choice.name: "),
            (with("system", json!([{"type": "image"}])), "system.0.type: 'image'"),
            (block(json!({"text": "x"})), "messages.0.content.0.type: required"),
            (block(json!({"type": "text"})), "messages.0.content.0.text: required"),
            (block(json!({"type": "text", "text": 4})), "messages.0.content.0.text: invalid type"),
            (block(json!({"type": "thinking"})), "messages.0.content.0.type: 'thinking'"),
            (
                block(json!({"type": "tool_result", "tool_use_id": "t"})),
                "messages.0.content.0.tool_use_id: no tool use",
            ),
            (
                block(json!({"type": "image", "source": {"type": "base64", "media_type": "image/tiff"}})),
                "messages.0.content.0.source.media_type: 'image/tiff'",
            ),
            (
                block(json!({"type": "image", "source": {"type": "base64", "media_type": "image/png",
                    "data": "a\u{e9}"}})),
                "messages.0.content.0.source.data: not base64",
            ),
            (
                block(
                    json!({"type": "text", "text": "x", "cache_control": {"type": "ephemeral", "ttl": "9d"}}),
                ),
                "messages.0.content.0.cache_control.ttl: '9d'",
            ),
        ] {
            assert!(fault.starts_with(field), "{fault} is not {field}");
        }
    }

    #[test]
    fn what_is_no_json_or_hostile_is_refused_in_words() {
        let limits = MessagesLimits::default();
        let told = |body: &[u8]| Request::read(body, Purpose::Answer, &limits).expect_err("a fault");
        assert!(told(b"{\"model\": \"\xff\"}").starts_with("the body is not UTF-8 from its byte 11 on"));
        assert!(told(b"{").starts_with("the body is not JSON"));
        assert!(told(b"[]").starts_with("invalid type"));
        assert!(told(b"{} {}").starts_with("the body is not"));
        assert!(told(br#"{"model":"a","model":"b"}"#).starts_with("model: given twice"));
        assert!(told(br#"{"odd":1,"odd":2}"#).starts_with("odd: given twice"));
        assert!(
            told(br#"{"messages":[{"role":"user","role":"user"}]}"#)
                .starts_with("messages.0.role: given twice")
        );
        assert!(told(br#"{"max_tokens":1e999}"#).contains("number out of range"));
        let deep = format!(
            r#"{{"model":"m","max_tokens":1,"tools":[{{"name":"t","input_schema":{}1{}}}],"messages":[{{"role":"user","content":""}}]}}"#,
            "[".repeat(100_000),
            "]".repeat(100_000)
        );
        assert!(told(deep.as_bytes()).starts_with("tools.0.input_schema: nests deeper than 64"));
        let nested = format!("{}{}", r#"{"messages":[{"content":"#, r#"[{"content":"#.repeat(20_000));
        assert!(!told(nested.as_bytes()).is_empty());
        let names: String = (0..100).map(|n| format!(r#""f{n}":0,"#)).collect();
        assert!(told(format!("{{{names}\"z\":0}}").as_bytes()).starts_with("too many unknown fields"));
        let many = format!(
            r#"{{"model":"m","max_tokens":1,"messages":[{{"role":"user","content":[{}{{"type":"text","text":""}}]}}]}}"#,
            r#"{"type":"text","text":""},"#.repeat(9000)
        );
        assert!(told(many.as_bytes()).starts_with("messages: more than"));
    }

    #[test]
    fn all_that_the_published_form_allows_is_read() {
        let body = json!({"model": "m", "max_tokens": 4096, "stream": true, "temperature": 0.4, "top_p": 1,
            "top_k": 40, "stop_sequences": ["END"], "service_tier": "auto", "metadata": {"user_id": "u"},
            "thinking": {"type": "enabled", "budget_tokens": 1024}, "container": null, "speed": "fast",
            "cache_control": {"type": "ephemeral"},
            "system": [{"type": "text", "text": "s", "cache_control": {"type": "ephemeral", "ttl": "1h"}}],
            "tools": [{"name": "t", "description": "d", "input_schema": {"type": "object"}, "strict": true},
                {"type": "web_search_20250305", "name": "web_search", "max_uses": 3}],
            "tool_choice": {"type": "tool", "name": "t", "disable_parallel_tool_use": true},
            "messages": [
                {"role": "user", "content": [{"type": "text", "text": "a\u{1f6eb}"},
                    {"type": "image", "source": {"type": "base64", "media_type": "image/png", "data": "aGk="}},
                    {"type": "image", "source": {"type": "url", "url": "u"}},
                    {"type": "document", "title": "t", "context": "c", "citations": {"enabled": true},
                        "source": {"type": "text", "media_type": "text/plain", "data": "d"}},
                    {"type": "document", "source": {"type": "content", "content": [{"type": "text", "text": "x"}]}},
                    {"type": "document", "source": {"type": "file", "file_id": "f"}},
                    {"type": "search_result", "source": "s", "title": "t", "content": [{"type": "text", "text": "x"}]}]},
                {"role": "assistant", "content": [
                    {"type": "thinking", "thinking": "h", "signature": "s"},
                    {"type": "redacted_thinking", "data": "r"},
                    {"type": "tool_use", "id": "u1", "name": "t", "input": {"a": [1, {"b": null}]}}]},
                {"role": "user", "content": [{"type": "tool_result", "tool_use_id": "u1", "is_error": true,
                    "content": [{"type": "text", "text": "no"}]}]}]});
        assert_eq!(told(body.clone()), "");
        let text = body.to_string();
        let limits = MessagesLimits::default();
        let read = Request::read(text.as_bytes(), Purpose::Answer, &limits).expect("good");
        assert!(read.streams());
        assert_eq!(read.unknown, [Text("speed".into())], "a null counts as absent");
        assert_eq!(read.turns().len(), 3);
    }
}
