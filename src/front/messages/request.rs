//! Requests of the messages API, read in one pass over the body and validated; texts are borrowed from it.

use serde::Deserialize;
use serde_json::value::RawValue;

use super::super::object::{self, Text, TextOr, object};
use crate::front::BodyError;
use crate::limits::MessagesLimits;

object! {
    /// The body of `POST /v1/messages` and of `POST /v1/messages/count_tokens`.
    Request {
        /// The model's name.
        model = "model": Text<'a>,
        /// Maximum number of output tokens.
        max_tokens = "max_tokens": u64,
        /// The conversation.
        messages = "messages": Vec<Turn<'a>>,
        /// The system prompt.
        system = "system": Content<'a>,
        /// Whether the response is a stream.
        stream = "stream": &'a RawValue,
        /// Sampling temperature, 0 to 1.
        temperature = "temperature": f64,
        /// Nucleus sampling: the probability mass that is sampled from, 0 to 1.
        top_p = "top_p": f64,
        /// Number of most likely tokens that are sampled from.
        top_k = "top_k": u64,
        /// Texts that end the generation.
        stop_sequences = "stop_sequences": Vec<Text<'a>>,
        /// Tools that the model may use.
        tools = "tools": Vec<Tool<'a>>,
        /// Which of the tools it must use.
        tool_choice = "tool_choice": Choice<'a>,
        /// Extended thinking.
        thinking = "thinking": Thinking<'a>,
        /// Metadata of the request.
        metadata = "metadata": Metadata<'a>,
        /// The requested service tier.
        service_tier = "service_tier": Text<'a>,
        /// A cache breakpoint at the end of the prompt.
        cache_control = "cache_control": CacheControl<'a>,
    }
}

object! {
    /// One turn of a conversation.
    Turn {
        /// `user` or `assistant`.
        role = "role": Text<'a>,
        /// Its content.
        content = "content": Content<'a>,
    }
}

object! {
    /// One content block of any type.
    Block {
        /// Its type.
        kind = "type": Text<'a>,
        /// The text of a text block.
        text = "text": Text<'a>,
        /// The source of an image or a document.
        source = "source": TextOr<'a, Box<Source<'a>>>,
        /// A document's title.
        title = "title": Text<'a>,
        /// Context of a document.
        context = "context": Text<'a>,
        /// Settings of a document's citations, or the citations of a text.
        citations = "citations": &'a RawValue,
        /// A tool use's id.
        id = "id": Text<'a>,
        /// The tool's name.
        name = "name": Text<'a>,
        /// The tool's input.
        input = "input": &'a RawValue,
        /// The id of the tool use that a result belongs to.
        tool_use_id = "tool_use_id": Text<'a>,
        /// A result's content.
        content = "content": Content<'a>,
        /// Whether the tool failed.
        is_error = "is_error": bool,
        /// The text of a thinking block.
        thinking = "thinking": Text<'a>,
        /// The signature of a thinking block.
        signature = "signature": Text<'a>,
        /// The data of a redacted thinking block.
        data = "data": Text<'a>,
        /// A cache breakpoint after this tool.
        cache_control = "cache_control": CacheControl<'a>,
    }
}

object! {
    /// The source of an image or a document.
    Source {
        /// Its type: `base64`, `url`, `text`, `content` or `file`.
        kind = "type": Text<'a>,
        /// Its media type.
        media_type = "media_type": Text<'a>,
        /// The data, in base64 or as plain text.
        data = "data": Text<'a>,
        /// Its URL.
        url = "url": Text<'a>,
        /// Its id in the files API.
        file_id = "file_id": Text<'a>,
        /// Its content blocks.
        content = "content": Content<'a>,
    }
}

object! {
    /// A tool's definition.
    Tool {
        /// Its type: `custom`, or one that replicas define.
        kind = "type": Text<'a>,
        /// Its name.
        name = "name": Text<'a>,
        /// Its description.
        description = "description": Text<'a>,
        /// The JSON schema of its input.
        input_schema = "input_schema": &'a RawValue,
        /// Whether the input must follow the schema.
        strict = "strict": bool,
        /// A cache breakpoint after this tool.
        cache_control = "cache_control": CacheControl<'a>,
    }
}

object! {
    /// Which tools the model must use.
    Choice {
        /// `auto`, `any`, `tool` or `none`.
        kind = "type": Text<'a>,
        /// The tool's name.
        name = "name": Text<'a>,
        /// Whether at most one tool may be used.
        disable_parallel_tool_use = "disable_parallel_tool_use": bool,
    }
}

object! {
    /// Settings of extended thinking.
    Thinking {
        /// `enabled`, `disabled`, or a type that only replicas know.
        kind = "type": Text<'a>,
        /// Maximum number of thinking tokens.
        budget_tokens = "budget_tokens": u64,
    }
}

object! {
    /// Metadata of a request.
    Metadata {
        /// The client's id of its user.
        user_id = "user_id": Text<'a>,
    }
}

object! {
    /// A cache breakpoint: the prompt up to here is worth caching.
    CacheControl {
        /// `ephemeral`.
        kind = "type": Text<'a>,
        /// The time to live of the cached prompt.
        ttl = "ttl": Text<'a>,
    }
}

/// Content: a text, or blocks.
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

    /// Its source, if it is an object.
    #[must_use]
    pub fn source_object(&self) -> Option<&Source<'_>> {
        match &self.source {
            Some(TextOr::Other(source)) => Some(source),
            _ => None,
        }
    }
}

/// The purpose of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Generate a response.
    Generation,
    /// Count its tokens.
    TokenCount,
}

/// The result of a validation: the first invalid field.
type Checked = Result<(), BodyError>;

fn invalid<T>(field: impl std::fmt::Display, problem: impl std::fmt::Display) -> Result<T, BodyError> {
    Err(BodyError::field(field, problem))
}

impl<'a> Request<'a> {
    /// Reads and checks a body.
    ///
    /// # Errors
    ///
    /// If the body is not JSON of a request's form, or if a field is missing, out of its range or beyond `limits`.
    /// The text begins with the name of that field.
    pub fn read(
        body: &'a [u8],
        purpose: Purpose,
        limits: &MessagesLimits,
    ) -> Result<Request<'a>, BodyError> {
        let request: Request<'_> = object::read(body)?;
        request.check(purpose, limits)?;
        Ok(request)
    }

    /// Whether the response is to be a stream.
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

    fn check(&self, purpose: Purpose, limits: &MessagesLimits) -> Checked {
        if self.model.as_deref().is_none_or(str::is_empty) {
            return invalid("model", "a name is required");
        }
        match (self.max_tokens, purpose) {
            (None, Purpose::Generation) => return invalid("max_tokens", "a positive number is required"),
            (Some(0), _) => return invalid("max_tokens", "0 is not a positive number"),
            _ => {}
        }
        let is_invalid = self.stream.is_some_and(|s| !matches!(s.get(), "true" | "false"));
        if is_invalid || self.nulls.contains(&"stream") {
            return invalid("stream", "neither true nor false");
        }
        for (name, value) in [("temperature", self.temperature), ("top_p", self.top_p)] {
            if let Some(value) = value.filter(|v| !(0.0..=1.0).contains(v)) {
                return invalid(name, format!("{value} is not between 0 and 1"));
            }
        }
        let stops = self.stop_sequences.as_deref().unwrap_or_default();
        check_count("stop_sequences", stops.len(), limits.stop_sequences)?;
        if let Some(n) = stops.iter().position(|s| s.trim().is_empty()) {
            return invalid(format!("stop_sequences.{n}"), "a text that is not blank is required");
        }
        if let Some(tier) = self.service_tier.as_deref().filter(|t| !matches!(*t, "auto" | "standard_only"))
        {
            return invalid("service_tier", format!("'{tier}' is neither auto nor standard_only"));
        }
        self.check_thinking()?;
        self.check_tools(limits)?;
        if let Some(cache_control) = &self.cache_control {
            check_cache_control("cache_control", cache_control)?;
        }
        let mut count = 0;
        if let Some(system) = &self.system {
            for (n, block) in system.blocks().iter().enumerate() {
                let path = format!("system.{n}");
                if block.kind() != "text" {
                    return invalid(
                        format!("{path}.type"),
                        format!("'{}' is no block of system", block.kind()),
                    );
                }
                block.check(&path, BlockContext::System, limits, &mut count)?;
            }
        }
        let turns = self.turns();
        if turns.is_empty() {
            return invalid("messages", "at least one is required");
        }
        check_count("messages", turns.len(), limits.turns)?;
        let mut uses: Vec<&str> = Vec::new();
        for (n, turn) in turns.iter().enumerate() {
            turn.check(&format!("messages.{n}"), limits, &mut count, &mut uses)?;
        }
        Ok(())
    }

    fn check_thinking(&self) -> Checked {
        let Some(thinking) = &self.thinking else { return Ok(()) };
        match thinking.kind.as_deref() {
            None => invalid("thinking.type", "required"),
            Some("enabled") => match thinking.budget_tokens {
                None => invalid("thinking.budget_tokens", "required where thinking is enabled"),
                Some(budget) if budget < 1024 => {
                    invalid("thinking.budget_tokens", format!("{budget} is less than 1024"))
                }
                Some(budget) if self.max_tokens.is_some_and(|most| budget >= most) => {
                    invalid("thinking.budget_tokens", format!("{budget} is not less than max_tokens"))
                }
                Some(_) => Ok(()),
            },
            // Other types are validated by the replica.
            Some(_) => Ok(()),
        }
    }

    fn check_tools(&self, limits: &MessagesLimits) -> Checked {
        let tools = self.tools();
        check_count("tools", tools.len(), limits.tools)?;
        let mut names = std::collections::BTreeSet::new();
        for (n, tool) in tools.iter().enumerate() {
            let path = format!("tools.{n}");
            if let Some(cache_control) = &tool.cache_control {
                check_cache_control(&format!("{path}.cache_control"), cache_control)?;
            }
            let is_custom = tool.is_custom();
            let Some(name) = tool.name.as_deref() else {
                if is_custom {
                    return invalid(format!("{path}.name"), "required");
                }
                continue;
            };
            if is_custom && !is_tool_name(name) {
                return invalid(
                    format!("{path}.name"),
                    "1 to 128 letters, digits, hyphens and underscores are required",
                );
            }
            if !names.insert(name) {
                return invalid(
                    format!("{path}.name"),
                    format!("'{name}' is the name of an earlier tool too"),
                );
            }
            match tool.input_schema {
                None if is_custom => return invalid(format!("{path}.input_schema"), "required"),
                Some(schema) => check_raw(&format!("{path}.input_schema"), schema, limits)?,
                None => {}
            }
        }
        let Some(choice) = &self.tool_choice else { return Ok(()) };
        match choice.kind.as_deref() {
            Some("auto" | "none") => Ok(()),
            Some("any") if tools.is_empty() => invalid("tool_choice", "there are no tools"),
            Some("any") => Ok(()),
            Some("tool") => match choice.name.as_deref() {
                None => invalid("tool_choice.name", "required"),
                Some(name) if !names.contains(name) => {
                    invalid("tool_choice.name", format!("no tool is called '{name}'"))
                }
                Some(_) => Ok(()),
            },
            Some(other) => invalid("tool_choice.type", format!("'{other}' is not auto, any, tool or none")),
            None => invalid("tool_choice.type", "required"),
        }
    }
}

impl Tool<'_> {
    /// Whether the request defines it by a schema; others are defined by the replicas.
    #[must_use]
    pub fn is_custom(&self) -> bool {
        self.kind.as_deref().is_none_or(|k| k == "custom")
    }
}

impl<'a> Turn<'a> {
    /// Whether it is the client's turn, not the model's.
    #[must_use]
    pub fn is_user(&self) -> bool {
        self.role.as_deref() == Some("user")
    }

    fn check<'t>(
        &'t self,
        path: &str,
        limits: &MessagesLimits,
        count: &mut usize,
        uses: &mut Vec<&'t str>,
    ) -> Checked {
        match self.role.as_deref() {
            Some("user" | "assistant") => {}
            Some(role) => {
                return invalid(format!("{path}.role"), format!("'{role}' is neither user nor assistant"));
            }
            None => return invalid(format!("{path}.role"), "required"),
        }
        let Some(content) = &self.content else { return invalid(format!("{path}.content"), "required") };
        let within = if self.is_user() { BlockContext::User } else { BlockContext::Assistant };
        for (n, block) in content.blocks().iter().enumerate() {
            let path = format!("{path}.content.{n}");
            block.check(&path, within, limits, count)?;
            match block.kind() {
                "tool_use" => uses.push(block.id.as_deref().unwrap_or_default()),
                "tool_result" => {
                    let id = block.tool_use_id.as_deref().unwrap_or_default();
                    if !uses.contains(&id) {
                        return invalid(
                            format!("{path}.tool_use_id"),
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

/// The context of a content block.
#[derive(Clone, Copy, PartialEq, Eq)]
enum BlockContext {
    System,
    User,
    Assistant,
    Result,
    Document,
}

impl Block<'_> {
    fn check(
        &self,
        path: &str,
        within: BlockContext,
        limits: &MessagesLimits,
        count: &mut usize,
    ) -> Checked {
        *count += 1;
        check_count("messages", *count, limits.blocks)?;
        let Some(kind) = self.kind.as_deref() else { return invalid(format!("{path}.type"), "required") };
        let misplaced = match kind {
            "tool_use" | "thinking" | "redacted_thinking" => within != BlockContext::Assistant,
            "tool_result" => within != BlockContext::User,
            "image" => {
                !matches!(within, BlockContext::User | BlockContext::Result | BlockContext::Document)
            }
            "document" => !matches!(within, BlockContext::User | BlockContext::Result),
            _ => false,
        };
        if misplaced {
            return invalid(format!("{path}.type"), format!("'{kind}' is not allowed here"));
        }
        if let Some(cache_control) = &self.cache_control {
            check_cache_control(&format!("{path}.cache_control"), cache_control)?;
        }
        let need = |there: bool, field: &str| {
            if there { Ok(()) } else { invalid(format!("{path}.{field}"), format!("required in {kind}")) }
        };
        match kind {
            "text" => need(self.text.is_some(), "text"),
            "image" | "document" => {
                need(self.source.is_some(), "source")?;
                let path = format!("{path}.source");
                let Some(source) = self.source_object() else {
                    return invalid(path, "an object is required");
                };
                source.check(&path, kind, limits, count)
            }
            "tool_use" => {
                need(self.id.as_deref().is_some_and(|id| !id.is_empty()), "id")?;
                need(self.name.as_deref().is_some_and(|name| !name.is_empty()), "name")?;
                let Some(input) = self.input else { return need(false, "input") };
                if !input.get().starts_with('{') {
                    return invalid(format!("{path}.input"), "an object is required");
                }
                check_raw(&format!("{path}.input"), input, limits)
            }
            "tool_result" => {
                need(self.tool_use_id.is_some(), "tool_use_id")?;
                let blocks = self.content.as_ref().map(Content::blocks).unwrap_or_default();
                for (n, block) in blocks.iter().enumerate() {
                    block.check(&format!("{path}.content.{n}"), BlockContext::Result, limits, count)?;
                }
                Ok(())
            }
            "thinking" => {
                need(self.thinking.is_some(), "thinking")?;
                need(self.signature.is_some(), "signature")
            }
            "redacted_thinking" => need(self.data.is_some(), "data"),
            // Other types are validated by the replica.
            _ => match self.input {
                Some(input) => check_raw(&format!("{path}.input"), input, limits),
                None => Ok(()),
            },
        }
    }
}

impl Source<'_> {
    fn check(&self, path: &str, of: &str, limits: &MessagesLimits, count: &mut usize) -> Checked {
        let Some(kind) = self.kind.as_deref() else { return invalid(format!("{path}.type"), "required") };
        let need = |there: bool, field: &str| {
            if there {
                Ok(())
            } else {
                invalid(format!("{path}.{field}"), format!("required where type is {kind}"))
            }
        };
        let media = |allowed: &[&str]| match self.media_type.as_deref() {
            Some(media) if allowed.contains(&media) => Ok(()),
            Some(media) => invalid(
                format!("{path}.media_type"),
                format!("'{media}' is not one of {}", allowed.join(", ")),
            ),
            None => need(false, "media_type"),
        };
        match (of, kind) {
            ("image", "base64") => {
                media(&["image/jpeg", "image/png", "image/gif", "image/webp"])?;
                need(self.data.is_some(), "data")?;
                check_base64(&format!("{path}.data"), self.data.as_deref().unwrap_or_default())
            }
            ("document", "base64") => {
                media(&["application/pdf"])?;
                need(self.data.is_some(), "data")?;
                check_base64(&format!("{path}.data"), self.data.as_deref().unwrap_or_default())
            }
            ("document", "text") => {
                media(&["text/plain"])?;
                need(self.data.is_some(), "data")
            }
            ("document", "content") => {
                let Some(content) = &self.content else { return need(false, "content") };
                for (n, block) in content.blocks().iter().enumerate() {
                    block.check(&format!("{path}.content.{n}"), BlockContext::Document, limits, count)?;
                }
                Ok(())
            }
            (_, "url") => need(self.url.is_some(), "url"),
            (_, "file") => need(self.file_id.is_some(), "file_id"),
            _ => invalid(format!("{path}.type"), format!("'{kind}' is no source of {of}")),
        }
    }
}

fn check_count(path: &str, count: usize, max: usize) -> Checked {
    if count > max { invalid(path, format!("more than {max}")) } else { Ok(()) }
}

fn check_cache_control(path: &str, cache_control: &CacheControl<'_>) -> Checked {
    match cache_control.kind.as_deref() {
        Some("ephemeral") => {}
        Some(other) => return invalid(format!("{path}.type"), format!("'{other}' is not ephemeral")),
        None => return invalid(format!("{path}.type"), "required"),
    }
    match cache_control.ttl.as_deref() {
        None | Some("5m" | "1h") => Ok(()),
        Some(other) => invalid(format!("{path}.ttl"), format!("'{other}' is neither 5m nor 1h")),
    }
}

/// Bounds the nesting, which a replica's parser may not survive.
fn check_raw(path: &str, raw: &RawValue, limits: &MessagesLimits) -> Checked {
    let depth = object::depth(raw.get());
    if depth > limits.depth { invalid(path, format!("nests deeper than {}", limits.depth)) } else { Ok(()) }
}

fn check_base64(path: &str, data: &str) -> Checked {
    let digits = data.trim_end_matches('=');
    let good = digits.bytes().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'+' | b'/'));
    if digits.is_empty() || !good || !data.len().is_multiple_of(4) || data.len() - digits.len() > 2 {
        return invalid(path, "not base64");
    }
    Ok(())
}

/// Whether a tool may have this name.
#[must_use]
pub fn is_tool_name(name: &str) -> bool {
    (1..=128).contains(&name.len())
        && name.bytes().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_'))
}
