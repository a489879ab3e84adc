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
    #[must_use]
    pub fn blocks(&self) -> &[Block<'a>] {
        match &self.0 {
            TextOr::Text(_) => &[],
            TextOr::Other(blocks) => blocks,
        }
    }

    /// The text that it is, if it is one.
    #[must_use]
    pub fn plain(&self) -> Option<&str> {
        match &self.0 {
            TextOr::Text(text) => Some(text),
            TextOr::Other(_) => None,
        }
    }
}

impl Block<'_> {
    /// Its type's name.
    #[must_use]
    pub fn kind(&self) -> &str {
        self.kind.as_deref().unwrap_or_default()
    }

    /// The longer form of its source.
    #[must_use]
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
    /// Reads and checks a body.
    ///
    /// # Errors
    ///
    /// If the body is not JSON of a request's form, or if a field is missing, out of its range or beyond `limits`.
    /// The text begins with the name of that field.
    pub fn read(body: &'a [u8], purpose: Purpose, limits: &MessagesLimits) -> Result<Request<'a>, String> {
        let request: Request<'_> = object::read(body)?;
        request.check(purpose, limits)?;
        Ok(request)
    }

    /// Whether the answer is wanted as a stream.
    #[must_use]
    pub fn streams(&self) -> bool {
        self.stream.is_some_and(|s| s.get() == "true")
    }

    /// The turns.
    #[must_use]
    pub fn turns(&self) -> &[Turn<'a>] {
        self.messages.as_deref().unwrap_or_default()
    }

    /// The tools.
    #[must_use]
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
    #[must_use]
    pub fn is_custom(&self) -> bool {
        self.kind.as_deref().is_none_or(|k| k == "custom")
    }
}

impl<'a> Turn<'a> {
    /// The client's turn, or else the model's.
    #[must_use]
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

fn check_mark(place: &str, mark: &Mark<'_>) -> Fault {
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
#[must_use]
pub fn is_tool_name(name: &str) -> bool {
    (1..=128).contains(&name.len())
        && name.bytes().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_'))
}
