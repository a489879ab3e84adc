//! Translation of a chat completion request to the messages API. A request with an unknown field, or with a value that
//! has no counterpart, is refused with an error that names the field. Unknown fields of a chosen function are ignored.

use serde_json::value::RawValue;

use super::super::object::{self, Text, TextOr, object};
use super::super::write::{List, Object, write_value};
use super::refusal::{invalid, no_counterpart, refuse_unknown};
use super::to_platform::{TOOL_ERROR_PREFIX, decode_text, split_data_url};
use crate::front::BodyError;
use crate::limits::MessagesLimits;

object! {
    /// Body of a chat completion request.
    ChatRequest {
        /// Model name.
        model = "model": Text<'a>,
        /// Messages of the conversation.
        messages = "messages": Vec<Message<'a>>,
        /// Whether the response is a stream. Only `true` is supported.
        stream = "stream": bool,
        /// Options of the stream.
        stream_options = "stream_options": StreamOptions<'a>,
        /// Maximum number of output tokens, under the older name.
        max_tokens = "max_tokens": u64,
        /// Maximum number of output tokens, under the newer name, which has priority.
        max_completion_tokens = "max_completion_tokens": u64,
        /// Sampling temperature, 0 to 2.
        temperature = "temperature": f64,
        /// Nucleus sampling: cumulative probability of the tokens that are sampled from, 0 to 1.
        top_p = "top_p": f64,
        /// Strings that end the generation.
        stop = "stop": TextOr<'a, Vec<Text<'a>>>,
        /// Definitions of the tools that the model may use.
        tools = "tools": Vec<Tool<'a>>,
        /// Choice among the tools.
        tool_choice = "tool_choice": TextOr<'a, ChosenTool<'a>>,
        /// Whether the model may call several tools at once.
        parallel_tool_calls = "parallel_tool_calls": bool,
        /// User id, assigned by the client.
        user = "user": Text<'a>,
        /// Service tier: `auto` or `default`.
        service_tier = "service_tier": Text<'a>,
        /// Number of choices. Only 1 is supported.
        n = "n": u64,
        /// Penalty on repeated tokens. Only 0 is supported.
        presence_penalty = "presence_penalty": f64,
        /// Penalty on tokens by their frequency. Only 0 is supported.
        frequency_penalty = "frequency_penalty": f64,
        /// Whether log probabilities are returned. Only `false` is supported.
        logprobs = "logprobs": bool,
    }
}

object! {
    /// Options of a stream.
    StreamOptions {
        /// Whether the stream states the token usage. Ignored: translated streams always do.
        include_usage = "include_usage": bool,
    }
}

object! {
    /// A message of a conversation.
    Message {
        /// Role of the author: `system`, `developer`, `user`, `assistant` or `tool`.
        role = "role": Text<'a>,
        /// Text or parts.
        content = "content": TextOr<'a, Vec<Part<'a>>>,
        /// Tool calls of the model.
        tool_calls = "tool_calls": Vec<Call<'a>>,
        /// Id of the tool call that a result belongs to.
        tool_call_id = "tool_call_id": Text<'a>,
    }
}

object! {
    /// A part of a message's content.
    Part {
        /// Part type: `text`, `image_url` or `file`.
        kind = "type": Text<'a>,
        /// Text of a part of type `text`.
        text = "text": Text<'a>,
        /// Image of a part of type `image_url`.
        image_url = "image_url": Image<'a>,
        /// File of a part of type `file`.
        file = "file": File<'a>,
    }
}

object! {
    /// An image of a message.
    Image {
        /// URL of the image, possibly a data URL.
        url = "url": Text<'a>,
        /// Level of detail. Only `auto` is supported.
        detail = "detail": Text<'a>,
    }
}

object! {
    /// A file of a message.
    File {
        /// Name of the file.
        filename = "filename": Text<'a>,
        /// Content of the file, as a base64 data URL.
        file_data = "file_data": Text<'a>,
    }
}

object! {
    /// Definition of a tool.
    Tool {
        /// Tool type: `function`.
        kind = "type": Text<'a>,
        /// Name, description and argument schema, and whether the arguments must follow the schema.
        function = "function": Function<'a>,
    }
}

object! {
    /// A function, as a definition or in a call.
    Function {
        /// Name of the function.
        name = "name": Text<'a>,
        /// Description for the model.
        description = "description": Text<'a>,
        /// JSON schema of the arguments.
        parameters = "parameters": &'a RawValue,
        /// Whether the arguments must follow the schema.
        strict = "strict": bool,
        /// JSON arguments of a call.
        arguments = "arguments": Text<'a>,
    }
}

object! {
    /// A tool call of the model.
    Call {
        /// Id of the call.
        id = "id": Text<'a>,
        /// Call type: `function`, also if absent.
        kind = "type": Text<'a>,
        /// Name of the called function, and its arguments.
        function = "function": Function<'a>,
    }
}

object! {
    /// A tool that the model must use.
    ChosenTool {
        /// Type of the choice: `function`.
        kind = "type": Text<'a>,
        /// The function to call. Only its name is read.
        function = "function": Function<'a>,
    }
}

type TranslationResult = Result<(), BodyError>;

/// Translates a body for replicas that speak the messages API. The translated request asks for a streamed response.
///
/// # Errors
///
/// If `bytes` is not the JSON of a chat completion request, if a required field is missing or has a wrong value, or if
/// a field has no counterpart in the messages API. In the last two cases the message begins with the name of that
/// field.
pub fn translate_body(bytes: &[u8], limits: &MessagesLimits) -> Result<Vec<u8>, BodyError> {
    let chat: ChatRequest<'_> = object::read(bytes)?;
    refuse_untranslatable(&chat)?;
    let Some(model) = chat.model.as_deref().filter(|m| !m.is_empty()) else {
        return invalid("model", "a name is required");
    };
    let mut out = Vec::new();
    let mut body = Object::new(&mut out);
    body.set("model", model).set("stream", &true);
    write_sampling(&chat, &mut body, limits)?;
    write_stop_sequences(&chat, &mut body);
    if let Some(user) = chat.user.as_deref() {
        body.object("metadata").set("user_id", user);
    }
    write_service_tier(&chat, &mut body)?;
    write_tools(&chat, &mut body)?;
    write_tool_choice(&chat, &mut body)?;
    write_conversation(chat.messages.as_deref().unwrap_or_default(), &mut body, limits)?;
    drop(body);
    Ok(out)
}

/// Refuses a request that is not for a stream, or that has a top-level field or stream option without a counterpart.
fn refuse_untranslatable(chat: &ChatRequest<'_>) -> TranslationResult {
    refuse_unknown("", &chat.unknown)?;
    if chat.stream != Some(true) {
        return invalid("stream", "only true is served here");
    }
    if let Some(options) = &chat.stream_options {
        refuse_unknown("stream_options.", &options.unknown)?;
    }
    if chat.n.is_some_and(|n| n != 1) {
        return no_counterpart("n");
    }
    if chat.presence_penalty.is_some_and(|penalty| penalty != 0.0) {
        return no_counterpart("presence_penalty");
    }
    if chat.frequency_penalty.is_some_and(|penalty| penalty != 0.0) {
        return no_counterpart("frequency_penalty");
    }
    if chat.logprobs == Some(true) {
        return no_counterpart("logprobs");
    }
    Ok(())
}

fn write_sampling(
    chat: &ChatRequest<'_>,
    body: &mut Object<'_>,
    limits: &MessagesLimits,
) -> TranslationResult {
    let max_tokens = chat.max_completion_tokens.or(chat.max_tokens);
    if max_tokens == Some(0) {
        return invalid("max_tokens", "0 is not a positive number");
    }
    body.set("max_tokens", &max_tokens.unwrap_or(limits.default_max_tokens));
    if let Some(temperature) = chat.temperature {
        if !(0.0..=1.0).contains(&temperature) {
            return invalid("temperature", "the replicas' dialect has only 0 to 1");
        }
        body.set("temperature", &temperature);
    }
    if let Some(top_p) = chat.top_p {
        body.set("top_p", &top_p);
    }
    Ok(())
}

fn write_stop_sequences(chat: &ChatRequest<'_>, body: &mut Object<'_>) {
    match &chat.stop {
        None => {}
        Some(TextOr::Text(stop)) => write_value(body.list("stop_sequences").item(), &**stop),
        Some(TextOr::Other(stops)) => {
            let mut list = body.list("stop_sequences");
            stops.iter().for_each(|stop| write_value(list.item(), &**stop));
        }
    }
}

fn write_service_tier(chat: &ChatRequest<'_>, body: &mut Object<'_>) -> TranslationResult {
    match chat.service_tier.as_deref() {
        None => {}
        Some("auto") => drop(body.set("service_tier", "auto")),
        Some("default") => drop(body.set("service_tier", "standard_only")),
        Some(_) => return no_counterpart("service_tier"),
    }
    Ok(())
}

fn write_tools(chat: &ChatRequest<'_>, body: &mut Object<'_>) -> TranslationResult {
    let tools = chat.tools.as_deref().unwrap_or_default();
    if tools.is_empty() {
        return Ok(());
    }
    let mut list = body.list("tools");
    for (n, tool) in tools.iter().enumerate() {
        write_tool(&format!("tools.{n}."), tool, &mut list)?;
    }
    Ok(())
}

fn write_tool(path: &str, tool: &Tool<'_>, tools: &mut List<'_>) -> TranslationResult {
    refuse_unknown(path, &tool.unknown)?;
    if tool.kind.as_deref() != Some("function") {
        return no_counterpart(format!("{path}type"));
    }
    let Some(function) = &tool.function else {
        return invalid(format!("{path}function"), "required");
    };
    refuse_unknown(&format!("{path}function."), &function.unknown)?;
    let Some(name) = function.name.as_deref() else {
        return invalid(format!("{path}function.name"), "required");
    };
    let mut item = tools.object();
    item.set("name", name);
    if let Some(description) = function.description.as_deref() {
        item.set("description", description);
    }
    item.raw("input_schema", function.parameters.map_or(r#"{"type":"object"}"#, RawValue::get));
    if let Some(strict) = function.strict {
        item.set("strict", &strict);
    }
    Ok(())
}

fn write_tool_choice(chat: &ChatRequest<'_>, body: &mut Object<'_>) -> TranslationResult {
    let Some(kind) = tool_choice_kind(chat)? else { return Ok(()) };
    let mut choice = body.object("tool_choice");
    choice.set("type", kind);
    if let Some(TextOr::Other(chosen)) = &chat.tool_choice {
        refuse_unknown("tool_choice.", &chosen.unknown)?;
        let name = chosen.function.as_ref().and_then(|f| f.name.as_deref());
        let Some(name) = name else { return invalid("tool_choice.function.name", "required") };
        choice.set("name", name);
    }
    if let Some(parallel) = chat.parallel_tool_calls.filter(|_| kind != "none") {
        choice.set("disable_parallel_tool_use", &!parallel);
    }
    Ok(())
}

/// Type of the translated choice among tools; `None` if there is no choice to write.
fn tool_choice_kind(chat: &ChatRequest<'_>) -> Result<Option<&'static str>, BodyError> {
    let has_tools = chat.tools.as_ref().is_some_and(|tools| !tools.is_empty());
    let kind = match &chat.tool_choice {
        // In the messages API, parallel calls can only be disabled in a choice.
        None if has_tools && chat.parallel_tool_calls == Some(false) => "auto",
        None => return Ok(None),
        Some(TextOr::Text(choice)) => match &**choice {
            "required" => "any",
            "auto" => "auto",
            "none" => "none",
            _ => return no_counterpart("tool_choice"),
        },
        Some(TextOr::Other(chosen)) if chosen.kind.as_deref() == Some("function") => "tool",
        Some(TextOr::Other(_)) => return no_counterpart("tool_choice.type"),
    };
    Ok(Some(kind))
}

/// Writes the leading system messages as the system prompt, and the other messages as turns.
fn write_conversation(
    messages: &[Message<'_>],
    body: &mut Object<'_>,
    limits: &MessagesLimits,
) -> TranslationResult {
    let is_system =
        |message: &&Message<'_>| matches!(message.role.as_deref(), Some("system" | "developer"));
    let system_count = messages.iter().take_while(is_system).count();
    if system_count > 0 {
        write_system(&messages[..system_count], body)?;
    }
    if system_count == messages.len() {
        return invalid("messages", "at least one that is not the system's is required");
    }
    let mut turns = body.list("messages");
    let mut index = system_count;
    while let Some(message) = messages.get(index) {
        let path = format!("messages.{index}.");
        refuse_unknown(&path, &message.unknown)?;
        if has_role(message, "tool") {
            index = write_tool_results_turn(messages, index, &mut turns)?;
        } else {
            write_turn(&path, message, &mut turns, limits)?;
            index += 1;
        }
    }
    Ok(())
}

fn has_role(message: &Message<'_>, role: &str) -> bool {
    message.role.as_deref() == Some(role)
}

fn write_system(messages: &[Message<'_>], body: &mut Object<'_>) -> TranslationResult {
    let mut blocks = body.list("system");
    for (n, message) in messages.iter().enumerate() {
        let path = format!("messages.{n}.");
        refuse_unknown(&path, &message.unknown)?;
        match &message.content {
            None => {}
            Some(TextOr::Text(text)) => write_text_block(text, &mut blocks),
            Some(TextOr::Other(parts)) => write_system_parts(&path, parts, &mut blocks)?,
        }
    }
    Ok(())
}

fn write_system_parts(path: &str, parts: &[Part<'_>], blocks: &mut List<'_>) -> TranslationResult {
    for (n, part) in parts.iter().enumerate() {
        let path = format!("{path}content.{n}.");
        if part.kind.as_deref() != Some("text") {
            return no_counterpart(format!("{path}type"));
        }
        write_part(&path, part, blocks)?;
    }
    Ok(())
}

/// Writes a message as one turn. Tool results are written by [`write_tool_results_turn`].
fn write_turn(
    path: &str,
    message: &Message<'_>,
    turns: &mut List<'_>,
    limits: &MessagesLimits,
) -> TranslationResult {
    match message.role.as_deref() {
        Some("user") => {
            let mut turn = turns.object();
            turn.set("role", "user");
            write_content(path, message, &mut turn)
        }
        Some("assistant") => write_assistant_turn(path, message, turns, limits),
        Some("system" | "developer") => {
            invalid(format!("{path}role"), "a system's line amid a conversation has no counterpart")
        }
        Some(_) => no_counterpart(format!("{path}role")),
        None => invalid(format!("{path}role"), "required"),
    }
}

/// Writes the tool results from `index` on and the user's message after them as one turn, as the messages API requires.
/// Returns the index of the message after that turn.
fn write_tool_results_turn(
    messages: &[Message<'_>],
    mut index: usize,
    turns: &mut List<'_>,
) -> Result<usize, BodyError> {
    let mut turn = turns.object();
    turn.set("role", "user");
    let mut blocks = turn.list("content");
    while let Some(result) = messages.get(index).filter(|message| has_role(message, "tool")) {
        write_tool_result(&format!("messages.{index}."), result, &mut blocks)?;
        index += 1;
    }
    if let Some(message) = messages.get(index).filter(|message| has_role(message, "user")) {
        let path = format!("messages.{index}.");
        refuse_unknown(&path, &message.unknown)?;
        write_content_blocks(&path, message, &mut blocks)?;
        index += 1;
    }
    Ok(index)
}

/// Writes a turn of the model: its content, then its tool uses.
fn write_assistant_turn(
    path: &str,
    message: &Message<'_>,
    turns: &mut List<'_>,
    limits: &MessagesLimits,
) -> TranslationResult {
    let mut turn = turns.object();
    turn.set("role", "assistant");
    let calls = message.tool_calls.as_deref().unwrap_or_default();
    if calls.is_empty() {
        return write_content(path, message, &mut turn);
    }
    let mut blocks = turn.list("content");
    write_content_blocks(path, message, &mut blocks)?;
    for (n, call) in calls.iter().enumerate() {
        write_tool_use(&format!("{path}tool_calls.{n}."), call, &mut blocks, limits)?;
    }
    Ok(())
}

/// Writes a message's content in its own form: a string, or blocks.
fn write_content(path: &str, message: &Message<'_>, turn: &mut Object<'_>) -> TranslationResult {
    match &message.content {
        Some(TextOr::Text(text)) => {
            turn.set("content", &**text);
            Ok(())
        }
        Some(TextOr::Other(_)) => write_content_blocks(path, message, &mut turn.list("content")),
        None => invalid(format!("{path}content"), "required"),
    }
}

/// Writes a message's content as blocks; none if it is absent or an empty string.
fn write_content_blocks(path: &str, message: &Message<'_>, blocks: &mut List<'_>) -> TranslationResult {
    match &message.content {
        None => {}
        Some(TextOr::Text(text)) if text.is_empty() => {}
        Some(TextOr::Text(text)) => write_text_block(text, blocks),
        Some(TextOr::Other(parts)) => {
            for (n, part) in parts.iter().enumerate() {
                write_part(&format!("{path}content.{n}."), part, blocks)?;
            }
        }
    }
    Ok(())
}

fn write_text_block(text: &str, blocks: &mut List<'_>) {
    blocks.object().set("type", "text").set("text", text);
}

fn write_part(path: &str, part: &Part<'_>, blocks: &mut List<'_>) -> TranslationResult {
    refuse_unknown(path, &part.unknown)?;
    match part.kind.as_deref() {
        Some("text") => {
            let Some(text) = part.text.as_deref() else {
                return invalid(format!("{path}text"), "required");
            };
            write_text_block(text, blocks);
            Ok(())
        }
        Some("image_url") => {
            let path = format!("{path}image_url");
            let Some(image) = &part.image_url else { return invalid(path, "required") };
            write_image(&format!("{path}."), image, blocks)
        }
        Some("file") => {
            let path = format!("{path}file");
            let Some(file) = &part.file else { return invalid(path, "required") };
            write_document(&format!("{path}."), file, blocks)
        }
        Some(_) => no_counterpart(format!("{path}type")),
        None => invalid(format!("{path}type"), "required"),
    }
}

fn write_image(path: &str, image: &Image<'_>, blocks: &mut List<'_>) -> TranslationResult {
    refuse_unknown(path, &image.unknown)?;
    if image.detail.as_deref().is_some_and(|detail| detail != "auto") {
        return no_counterpart(format!("{path}detail"));
    }
    let Some(url) = image.url.as_deref() else { return invalid(format!("{path}url"), "required") };
    let mut block = blocks.object();
    block.set("type", "image");
    let mut source = block.object("source");
    match split_data_url(url) {
        Some((media_type, data)) => {
            source.set("type", "base64").set("media_type", media_type).set("data", data);
        }
        None if url.starts_with("data:") => return no_counterpart(format!("{path}url")),
        None => drop(source.set("type", "url").set("url", url)),
    }
    Ok(())
}

fn write_document(path: &str, file: &File<'_>, blocks: &mut List<'_>) -> TranslationResult {
    refuse_unknown(path, &file.unknown)?;
    let Some((media_type, data)) = file.file_data.as_deref().and_then(split_data_url) else {
        return invalid(format!("{path}file_data"), "a data URL in base64 is required");
    };
    let mut block = blocks.object();
    block.set("type", "document");
    if let Some(title) = file.filename.as_deref() {
        block.set("title", title);
    }
    let mut source = block.object("source");
    match media_type {
        "application/pdf" => {
            source.set("type", "base64").set("media_type", media_type).set("data", data);
        }
        "text/plain" => {
            let Some(text) = decode_text(data) else {
                return invalid(format!("{path}file_data"), "not the base64 of a UTF-8 text");
            };
            source.set("type", "text").set("media_type", media_type).set("data", &text);
        }
        _ => return no_counterpart(format!("{path}file_data")),
    }
    Ok(())
}

fn write_tool_result(path: &str, message: &Message<'_>, blocks: &mut List<'_>) -> TranslationResult {
    refuse_unknown(path, &message.unknown)?;
    let Some(id) = message.tool_call_id.as_deref() else {
        return invalid(format!("{path}tool_call_id"), "required");
    };
    let mut block = blocks.object();
    block.set("type", "tool_result").set("tool_use_id", id);
    match &message.content {
        None => {}
        Some(TextOr::Text(text)) => match text.strip_prefix(TOOL_ERROR_PREFIX) {
            Some(text) => drop(block.set("content", text).set("is_error", &true)),
            None => drop(block.set("content", &**text)),
        },
        Some(TextOr::Other(_)) => write_content_blocks(path, message, &mut block.list("content"))?,
    }
    Ok(())
}

fn write_tool_use(
    path: &str,
    call: &Call<'_>,
    blocks: &mut List<'_>,
    limits: &MessagesLimits,
) -> TranslationResult {
    refuse_unknown(path, &call.unknown)?;
    if call.kind.as_deref().is_some_and(|k| k != "function") {
        return no_counterpart(format!("{path}type"));
    }
    let Some(id) = call.id.as_deref() else { return invalid(format!("{path}id"), "required") };
    let Some(function) = &call.function else { return invalid(format!("{path}function"), "required") };
    let path = format!("{path}function.");
    refuse_unknown(&path, &function.unknown)?;
    let Some(name) = function.name.as_deref() else { return invalid(format!("{path}name"), "required") };
    let arguments = function.arguments.as_deref().map_or("", str::trim);
    let arguments = if arguments.is_empty() { "{}" } else { arguments };
    // The arguments are written as raw JSON, so they must be valid. The first character identifies an object.
    if serde_json::from_str::<&RawValue>(arguments).is_err() || !arguments.starts_with('{') {
        return invalid(format!("{path}arguments"), "not a JSON object");
    }
    if object::depth(arguments) > limits.max_json_depth {
        return invalid(
            format!("{path}arguments"),
            &format!("nests deeper than {}", limits.max_json_depth),
        );
    }
    blocks.object().set("type", "tool_use").set("id", id).set("name", name).raw("input", arguments);
    Ok(())
}
