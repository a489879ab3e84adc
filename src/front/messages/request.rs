//! Parsing and validation of requests of the messages API, in one pass over the body, from which strings are borrowed.

use serde::Deserialize;
use serde_json::value::RawValue;

use super::super::object::{self, Text, TextOr, object};
use crate::front::BodyError;
use crate::limits::MessagesLimits;

/// Minimum of `budget_tokens` if thinking is enabled.
const MIN_THINKING_TOKENS: u64 = 1024;

object! {
    /// The body of `POST /v1/messages` and of `POST /v1/messages/count_tokens`.
    Request {
        /// Model name.
        model = "model": Text<'a>,
        /// Maximum number of output tokens.
        max_tokens = "max_tokens": u64,
        /// Turns of the conversation.
        messages = "messages": Vec<Turn<'a>>,
        /// System prompt.
        system = "system": Content<'a>,
        /// Whether the response is a stream, as JSON text: `true` or `false`.
        stream = "stream": &'a RawValue,
        /// Sampling temperature, 0 to 1.
        temperature = "temperature": f64,
        /// Nucleus sampling: cumulative probability of the tokens that are sampled from, 0 to 1.
        top_p = "top_p": f64,
        /// Number of most likely tokens that are sampled from.
        top_k = "top_k": u64,
        /// Strings that end the generation.
        stop_sequences = "stop_sequences": Vec<Text<'a>>,
        /// Definitions of the tools that the model may use.
        tools = "tools": Vec<Tool<'a>>,
        /// Choice among the tools.
        tool_choice = "tool_choice": Choice<'a>,
        /// Settings of extended thinking.
        thinking = "thinking": Thinking<'a>,
        /// Metadata of the request.
        metadata = "metadata": Metadata<'a>,
        /// Service tier: `auto` or `standard_only`.
        service_tier = "service_tier": Text<'a>,
        /// A cache breakpoint at the end of the prompt.
        cache_control = "cache_control": CacheControl<'a>,
    }
}

object! {
    /// A turn of a conversation.
    Turn {
        /// `user` or `assistant`.
        role = "role": Text<'a>,
        /// Content of the turn.
        content = "content": Content<'a>,
    }
}

object! {
    /// A content block of any type. Which fields are present depends on the type.
    Block {
        /// Block type.
        kind = "type": Text<'a>,
        /// Text of a text block.
        text = "text": Text<'a>,
        /// Source of an image or a document.
        source = "source": TextOr<'a, Box<Source<'a>>>,
        /// Title of a document.
        title = "title": Text<'a>,
        /// Context of a document.
        context = "context": Text<'a>,
        /// Citation settings of a document, or the citations of a text.
        citations = "citations": &'a RawValue,
        /// Id of a tool use.
        id = "id": Text<'a>,
        /// Name of the tool.
        name = "name": Text<'a>,
        /// Input of the tool.
        input = "input": &'a RawValue,
        /// Id of the tool use that a tool result belongs to.
        tool_use_id = "tool_use_id": Text<'a>,
        /// Content of a tool result.
        content = "content": Content<'a>,
        /// Whether a tool result is an error.
        is_error = "is_error": bool,
        /// Text of a thinking block.
        thinking = "thinking": Text<'a>,
        /// Signature of a thinking block.
        signature = "signature": Text<'a>,
        /// Data of a redacted thinking block.
        data = "data": Text<'a>,
        /// A cache breakpoint after this block.
        cache_control = "cache_control": CacheControl<'a>,
    }
}

object! {
    /// Source of an image or a document.
    Source {
        /// Source type: `base64`, `url`, `text`, `content` or `file`.
        kind = "type": Text<'a>,
        /// Media type of the data.
        media_type = "media_type": Text<'a>,
        /// Data in base64 or as plain text.
        data = "data": Text<'a>,
        /// URL of a source of type `url`.
        url = "url": Text<'a>,
        /// Id in the files API of a source of type `file`.
        file_id = "file_id": Text<'a>,
        /// Content of a source of type `content`.
        content = "content": Content<'a>,
    }
}

object! {
    /// Definition of a tool.
    Tool {
        /// Tool type: `custom` (also if absent), or a type that replicas define.
        kind = "type": Text<'a>,
        /// Name of the tool.
        name = "name": Text<'a>,
        /// Description for the model.
        description = "description": Text<'a>,
        /// JSON schema of the input.
        input_schema = "input_schema": &'a RawValue,
        /// Whether the input must follow the schema.
        strict = "strict": bool,
        /// A cache breakpoint after this tool.
        cache_control = "cache_control": CacheControl<'a>,
    }
}

object! {
    /// Choice among the tools.
    Choice {
        /// `auto`, `any`, `tool` or `none`.
        kind = "type": Text<'a>,
        /// Name of the tool.
        name = "name": Text<'a>,
        /// Whether the model may use at most one tool.
        disable_parallel_tool_use = "disable_parallel_tool_use": bool,
    }
}

object! {
    /// Settings of extended thinking.
    Thinking {
        /// `enabled`, `disabled`, or a type that only replicas define.
        kind = "type": Text<'a>,
        /// Maximum number of thinking tokens.
        budget_tokens = "budget_tokens": u64,
    }
}

object! {
    /// Metadata of a request.
    Metadata {
        /// User id, assigned by the client.
        user_id = "user_id": Text<'a>,
    }
}

object! {
    /// A cache breakpoint: marks the end of a prompt prefix that is worth caching.
    CacheControl {
        /// Cache type: `ephemeral`.
        kind = "type": Text<'a>,
        /// Time to live of the cached prefix: `5m` or `1h`.
        ttl = "ttl": Text<'a>,
    }
}

/// Content in either of its forms: a string, or a list of blocks.
#[derive(Clone, Debug)]
pub struct Content<'a>(pub TextOr<'a, Vec<Block<'a>>>);

impl<'de: 'a, 'a> Deserialize<'de> for Content<'a> {
    fn deserialize<D: serde::Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        TextOr::deserialize(from).map(Content)
    }
}

impl<'a> Content<'a> {
    /// The blocks; empty if the content is a string.
    #[must_use]
    pub fn blocks(&self) -> &[Block<'a>] {
        match &self.0 {
            TextOr::Text(_) => &[],
            TextOr::Other(blocks) => blocks,
        }
    }

    /// The string, if the content is one.
    #[must_use]
    pub fn as_text(&self) -> Option<&str> {
        match &self.0 {
            TextOr::Text(text) => Some(text),
            TextOr::Other(_) => None,
        }
    }
}

impl Block<'_> {
    /// Name of the block type; empty if absent.
    #[must_use]
    pub fn kind(&self) -> &str {
        self.kind.as_deref().unwrap_or_default()
    }

    /// Source of the block, if that is an object.
    #[must_use]
    pub fn source_object(&self) -> Option<&Source<'_>> {
        match &self.source {
            Some(TextOr::Other(source)) => Some(source),
            _ => None,
        }
    }
}

/// Use of a request, which determines its required fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Generation of a response.
    Generation,
    /// Token count without a response.
    TokenCount,
}

/// Result of a validation; the error is for the first invalid field.
type ValidationResult = Result<(), BodyError>;

fn invalid<T>(field: impl std::fmt::Display, problem: impl std::fmt::Display) -> Result<T, BodyError> {
    Err(BodyError::field(field, problem))
}

impl<'a> Request<'a> {
    /// Parses and validates a body.
    ///
    /// # Errors
    ///
    /// If the body is not JSON of a request's form, or if a field is missing, out of its range or beyond `limits`.
    /// The message begins with the name of that field.
    pub fn read(
        body: &'a [u8],
        purpose: Purpose,
        limits: &MessagesLimits,
    ) -> Result<Request<'a>, BodyError> {
        let request: Request<'_> = object::read(body)?;
        request.check(purpose, limits)?;
        Ok(request)
    }

    /// Whether the client requests a stream.
    #[must_use]
    pub fn is_streaming(&self) -> bool {
        self.stream.is_some_and(|s| s.get() == "true")
    }

    /// Turns of the conversation; empty if absent.
    #[must_use]
    pub fn turns(&self) -> &[Turn<'a>] {
        self.messages.as_deref().unwrap_or_default()
    }

    /// Tool definitions; empty if absent.
    #[must_use]
    pub fn tools(&self) -> &[Tool<'a>] {
        self.tools.as_deref().unwrap_or_default()
    }

    fn check(&self, purpose: Purpose, limits: &MessagesLimits) -> ValidationResult {
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
        let mut block_count = 0;
        if let Some(system) = &self.system {
            for (n, block) in system.blocks().iter().enumerate() {
                let path = format!("system.{n}");
                if block.kind() != "text" {
                    return invalid(
                        format!("{path}.type"),
                        format!("'{}' is no block of system", block.kind()),
                    );
                }
                block.check(&path, BlockContext::System, limits, &mut block_count)?;
            }
        }
        let turns = self.turns();
        if turns.is_empty() {
            return invalid("messages", "at least one is required");
        }
        check_count("messages", turns.len(), limits.turns)?;
        let mut tool_use_ids: Vec<&str> = Vec::new();
        for (n, turn) in turns.iter().enumerate() {
            turn.check(&format!("messages.{n}"), limits, &mut block_count, &mut tool_use_ids)?;
        }
        Ok(())
    }

    fn check_thinking(&self) -> ValidationResult {
        let Some(thinking) = &self.thinking else { return Ok(()) };
        match thinking.kind.as_deref() {
            None => invalid("thinking.type", "required"),
            Some("enabled") => match thinking.budget_tokens {
                None => invalid("thinking.budget_tokens", "required where thinking is enabled"),
                Some(budget) if budget < MIN_THINKING_TOKENS => invalid(
                    "thinking.budget_tokens",
                    format!("{budget} is less than {MIN_THINKING_TOKENS}"),
                ),
                Some(budget) if self.max_tokens.is_some_and(|most| budget >= most) => {
                    invalid("thinking.budget_tokens", format!("{budget} is not less than max_tokens"))
                }
                Some(_) => Ok(()),
            },
            // The replica validates other types.
            Some(_) => Ok(()),
        }
    }

    fn check_tools(&self, limits: &MessagesLimits) -> ValidationResult {
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
                Some(schema) => check_depth(&format!("{path}.input_schema"), schema, limits)?,
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
    /// Whether the request defines the tool by a schema; other tools are defined by replicas.
    #[must_use]
    pub fn is_custom(&self) -> bool {
        self.kind.as_deref().is_none_or(|k| k == "custom")
    }
}

impl<'a> Turn<'a> {
    /// Whether the turn is the user's, not the model's.
    #[must_use]
    pub fn is_user(&self) -> bool {
        self.role.as_deref() == Some("user")
    }

    fn check<'t>(
        &'t self,
        path: &str,
        limits: &MessagesLimits,
        block_count: &mut usize,
        tool_use_ids: &mut Vec<&'t str>,
    ) -> ValidationResult {
        match self.role.as_deref() {
            Some("user" | "assistant") => {}
            Some(role) => {
                return invalid(format!("{path}.role"), format!("'{role}' is neither user nor assistant"));
            }
            None => return invalid(format!("{path}.role"), "required"),
        }
        let Some(content) = &self.content else { return invalid(format!("{path}.content"), "required") };
        let context = if self.is_user() { BlockContext::User } else { BlockContext::Assistant };
        for (n, block) in content.blocks().iter().enumerate() {
            let path = format!("{path}.content.{n}");
            block.check(&path, context, limits, block_count)?;
            match block.kind() {
                "tool_use" => tool_use_ids.push(block.id.as_deref().unwrap_or_default()),
                "tool_result" => {
                    let id = block.tool_use_id.as_deref().unwrap_or_default();
                    if !tool_use_ids.contains(&id) {
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

/// The part of a request that contains a content block, which determines the allowed types.
#[derive(Clone, Copy, PartialEq, Eq)]
enum BlockContext {
    System,
    User,
    Assistant,
    Result,
    Document,
}

impl BlockContext {
    /// Whether a block of this type may occur here. True for types that only replicas define.
    fn allows(self, kind: &str) -> bool {
        match kind {
            "tool_use" | "thinking" | "redacted_thinking" => self == BlockContext::Assistant,
            "tool_result" => self == BlockContext::User,
            "image" => matches!(self, BlockContext::User | BlockContext::Result | BlockContext::Document),
            "document" => matches!(self, BlockContext::User | BlockContext::Result),
            _ => true,
        }
    }
}

impl Block<'_> {
    fn check(
        &self,
        path: &str,
        context: BlockContext,
        limits: &MessagesLimits,
        block_count: &mut usize,
    ) -> ValidationResult {
        *block_count += 1;
        check_count("messages", *block_count, limits.blocks)?;
        let Some(kind) = self.kind.as_deref() else { return invalid(format!("{path}.type"), "required") };
        if !context.allows(kind) {
            return invalid(format!("{path}.type"), format!("'{kind}' is not allowed here"));
        }
        if let Some(cache_control) = &self.cache_control {
            check_cache_control(&format!("{path}.cache_control"), cache_control)?;
        }
        let require = |is_present: bool, field: &str| {
            if is_present {
                Ok(())
            } else {
                invalid(format!("{path}.{field}"), format!("required in {kind}"))
            }
        };
        match kind {
            "text" => require(self.text.is_some(), "text"),
            "image" | "document" => {
                require(self.source.is_some(), "source")?;
                let path = format!("{path}.source");
                let Some(source) = self.source_object() else {
                    return invalid(path, "an object is required");
                };
                source.check(&path, kind, limits, block_count)
            }
            "tool_use" => {
                require(self.id.as_deref().is_some_and(|id| !id.is_empty()), "id")?;
                require(self.name.as_deref().is_some_and(|name| !name.is_empty()), "name")?;
                let Some(input) = self.input else { return require(false, "input") };
                if !input.get().starts_with('{') {
                    return invalid(format!("{path}.input"), "an object is required");
                }
                check_depth(&format!("{path}.input"), input, limits)
            }
            "tool_result" => {
                require(self.tool_use_id.is_some(), "tool_use_id")?;
                let blocks = self.content.as_ref().map(Content::blocks).unwrap_or_default();
                for (n, block) in blocks.iter().enumerate() {
                    block.check(
                        &format!("{path}.content.{n}"),
                        BlockContext::Result,
                        limits,
                        block_count,
                    )?;
                }
                Ok(())
            }
            "thinking" => {
                require(self.thinking.is_some(), "thinking")?;
                require(self.signature.is_some(), "signature")
            }
            "redacted_thinking" => require(self.data.is_some(), "data"),
            // The replica validates other types.
            _ => match self.input {
                Some(input) => check_depth(&format!("{path}.input"), input, limits),
                None => Ok(()),
            },
        }
    }
}

impl Source<'_> {
    fn check(
        &self,
        path: &str,
        block_kind: &str,
        limits: &MessagesLimits,
        block_count: &mut usize,
    ) -> ValidationResult {
        let Some(kind) = self.kind.as_deref() else { return invalid(format!("{path}.type"), "required") };
        let require = |is_present: bool, field: &str| {
            if is_present {
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
            None => require(false, "media_type"),
        };
        match (block_kind, kind) {
            ("image", "base64") => {
                media(&["image/jpeg", "image/png", "image/gif", "image/webp"])?;
                require(self.data.is_some(), "data")?;
                check_base64(&format!("{path}.data"), self.data.as_deref().unwrap_or_default())
            }
            ("document", "base64") => {
                media(&["application/pdf"])?;
                require(self.data.is_some(), "data")?;
                check_base64(&format!("{path}.data"), self.data.as_deref().unwrap_or_default())
            }
            ("document", "text") => {
                media(&["text/plain"])?;
                require(self.data.is_some(), "data")
            }
            ("document", "content") => {
                let Some(content) = &self.content else { return require(false, "content") };
                for (n, block) in content.blocks().iter().enumerate() {
                    block.check(
                        &format!("{path}.content.{n}"),
                        BlockContext::Document,
                        limits,
                        block_count,
                    )?;
                }
                Ok(())
            }
            (_, "url") => require(self.url.is_some(), "url"),
            (_, "file") => require(self.file_id.is_some(), "file_id"),
            _ => invalid(format!("{path}.type"), format!("'{kind}' is no source of {block_kind}")),
        }
    }
}

fn check_count(path: &str, count: usize, max: usize) -> ValidationResult {
    if count > max { invalid(path, format!("more than {max}")) } else { Ok(()) }
}

fn check_cache_control(path: &str, cache_control: &CacheControl<'_>) -> ValidationResult {
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

/// Limits the nesting depth, since deep nesting can crash the parser of a replica.
fn check_depth(path: &str, raw: &RawValue, limits: &MessagesLimits) -> ValidationResult {
    let depth = object::depth(raw.get());
    if depth > limits.max_json_depth {
        invalid(path, format!("nests deeper than {}", limits.max_json_depth))
    } else {
        Ok(())
    }
}

fn check_base64(path: &str, data: &str) -> ValidationResult {
    let digits = data.trim_end_matches('=');
    let has_only_digits = digits.bytes().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'+' | b'/'));
    if digits.is_empty()
        || !has_only_digits
        || !data.len().is_multiple_of(4)
        || data.len() - digits.len() > 2
    {
        return invalid(path, "not base64");
    }
    Ok(())
}

/// Whether a text is a valid tool name: 1 to 128 ASCII letters, digits, hyphens and underscores.
#[must_use]
pub fn is_tool_name(name: &str) -> bool {
    (1..=128).contains(&name.len())
        && name.bytes().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_'))
}
