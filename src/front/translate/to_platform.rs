//! Translation of a request of the messages API to the platform's dialect. A field without a counterpart is refused, by
//! its name.

use crate::front::BodyError;
use base64::Engine as _;
use base64::display::Base64Display;
use base64::engine::general_purpose::STANDARD;

use super::super::messages::request::{Block, Choice, Content, Request, Source, Tool, Turn};
use super::super::object::Text;
use super::super::write::{List, Object, write_value};
use super::refusal::{invalid, no_counterpart, refuse_unknown};

/// Maximum number of stop sequences in the platform's dialect.
const MAX_STOP_SEQUENCES: usize = 4;

/// Translates a request for replicas of the platform's dialect. The translated request is always for a stream.
///
/// # Errors
///
/// If a field of the request has no counterpart in the platform's dialect. The message begins with the field's name.
pub fn body(request: &Request<'_>) -> Result<Vec<u8>, BodyError> {
    refuse_untranslatable(request)?;
    let mut out = Vec::new();
    let mut body = Object::new(&mut out);
    body.set("model", request.model.as_deref().unwrap_or_default());
    body.set("stream", &true);
    // Replicas state the token usage only on request.
    body.object("stream_options").set("include_usage", &true);
    write_sampling(request, &mut body);
    write_stop_sequences(request, &mut body)?;
    write_user(request, &mut body)?;
    if let Some(tier) = request.service_tier.as_deref() {
        body.set("service_tier", if tier == "auto" { "auto" } else { "default" });
    }
    write_tools(request, &mut body)?;
    write_tool_choice(request, &mut body)?;
    write_messages(request, &mut body)?;
    drop(body);
    Ok(out)
}

/// Refuses top-level fields without a counterpart.
fn refuse_untranslatable(request: &Request<'_>) -> Result<(), BodyError> {
    refuse_unknown("", &request.unknown)?;
    if request.top_k.is_some() {
        return no_counterpart("top_k");
    }
    if let Some(thinking) = &request.thinking
        && thinking.kind.as_deref() != Some("disabled")
    {
        return no_counterpart("thinking");
    }
    Ok(())
}

fn write_sampling(request: &Request<'_>, body: &mut Object<'_>) {
    if let Some(max_tokens) = request.max_tokens {
        body.set("max_tokens", &max_tokens);
    }
    if let Some(temperature) = request.temperature {
        body.set("temperature", &temperature);
    }
    if let Some(top_p) = request.top_p {
        body.set("top_p", &top_p);
    }
}

fn write_stop_sequences(request: &Request<'_>, body: &mut Object<'_>) -> Result<(), BodyError> {
    let stops = request.stop_sequences.as_deref().unwrap_or_default();
    if stops.is_empty() {
        return Ok(());
    }
    if stops.len() > MAX_STOP_SEQUENCES {
        let problem = format!("the replicas' dialect has no more than {MAX_STOP_SEQUENCES}");
        return invalid("stop_sequences", &problem);
    }
    let mut list = body.list("stop");
    stops.iter().for_each(|stop| write_value(list.item(), &**stop));
    Ok(())
}

/// Writes the user id from the request's metadata.
fn write_user(request: &Request<'_>, body: &mut Object<'_>) -> Result<(), BodyError> {
    let Some(metadata) = &request.metadata else { return Ok(()) };
    refuse_unknown("metadata.", &metadata.unknown)?;
    if let Some(user) = metadata.user_id.as_deref() {
        body.set("user", user);
    }
    Ok(())
}

fn write_tools(request: &Request<'_>, body: &mut Object<'_>) -> Result<(), BodyError> {
    if request.tools().is_empty() {
        return Ok(());
    }
    let mut tools = body.list("tools");
    for (n, tool) in request.tools().iter().enumerate() {
        if !tool.is_custom() {
            return no_counterpart(format!("tools.{n}.type"));
        }
        refuse_unknown(&format!("tools.{n}."), &tool.unknown)?;
        write_tool(tool, &mut tools);
    }
    Ok(())
}

fn write_tool(tool: &Tool<'_>, tools: &mut List<'_>) {
    let mut item = tools.object();
    item.set("type", "function");
    let mut function = item.object("function");
    function.set("name", tool.name.as_deref().unwrap_or_default());
    if let Some(description) = tool.description.as_deref() {
        function.set("description", description);
    }
    if let Some(schema) = tool.input_schema {
        function.raw("parameters", schema.get());
    }
    if let Some(strict) = tool.strict {
        function.set("strict", &strict);
    }
}

fn write_tool_choice(request: &Request<'_>, body: &mut Object<'_>) -> Result<(), BodyError> {
    let Some(choice) = &request.tool_choice else { return Ok(()) };
    let Choice { kind, name, disable_parallel_tool_use, unknown, .. } = choice;
    refuse_unknown("tool_choice.", unknown)?;
    match kind.as_deref() {
        Some("any") => drop(body.set("tool_choice", "required")),
        Some("tool") => {
            let mut choice = body.object("tool_choice");
            choice.set("type", "function");
            choice.object("function").set("name", name.as_deref().unwrap_or_default());
        }
        Some(same) => drop(body.set("tool_choice", same)),
        None => {}
    }
    if let Some(disabled) = disable_parallel_tool_use {
        body.set("parallel_tool_calls", &!disabled);
    }
    Ok(())
}

/// Writes the system prompt and the turns as one list of messages.
fn write_messages(request: &Request<'_>, body: &mut Object<'_>) -> Result<(), BodyError> {
    let mut messages = body.list("messages");
    if let Some(system) = &request.system {
        write_system(system, &mut messages)?;
    }
    for (n, turn) in request.turns().iter().enumerate() {
        let path = format!("messages.{n}.");
        refuse_unknown(&path, &turn.unknown)?;
        let Some(content) = &turn.content else { continue };
        if turn.is_user() {
            write_user_turn(&path, content, &mut messages)?;
        } else {
            write_assistant_turn(&path, turn, content, &mut messages)?;
        }
    }
    Ok(())
}

fn write_system(system: &Content<'_>, messages: &mut List<'_>) -> Result<(), BodyError> {
    let mut message = messages.object();
    message.set("role", "system");
    match (system.as_text(), system.blocks()) {
        (Some(text), _) => drop(message.set("content", text)),
        (None, [one]) => {
            check_text("system.0.", one)?;
            message.set("content", text_of(one));
        }
        (None, blocks) => {
            let mut parts = message.list("content");
            for (n, block) in blocks.iter().enumerate() {
                check_text(&format!("system.{n}."), block)?;
                write_text_part(text_of(block), &mut parts);
            }
        }
    }
    Ok(())
}

/// Refuses fields of a text block without a counterpart.
fn check_text(path: &str, block: &Block<'_>) -> Result<(), BodyError> {
    refuse_unknown(path, &block.unknown)?;
    if block.citations.is_some_and(|c| c.get() != "[]") {
        return no_counterpart(format!("{path}citations"));
    }
    Ok(())
}

fn text_of<'b>(block: &'b Block<'_>) -> &'b str {
    block.text.as_deref().unwrap_or_default()
}

fn write_text_part(text: &str, parts: &mut List<'_>) {
    parts.object().set("type", "text").set("text", text);
}

/// Writes a user's turn: first each tool result as a separate message, then the other content.
fn write_user_turn(path: &str, content: &Content<'_>, messages: &mut List<'_>) -> Result<(), BodyError> {
    if let Some(text) = content.as_text() {
        messages.object().set("role", "user").set("content", text);
        return Ok(());
    }
    let blocks = content.blocks();
    let results = blocks.iter().take_while(|b| b.kind() == "tool_result").count();
    for (n, block) in blocks[..results].iter().enumerate() {
        write_tool_result(&format!("{path}content.{n}."), block, messages)?;
    }
    let rest = &blocks[results..];
    if rest.is_empty() && results > 0 {
        return Ok(());
    }
    let mut message = messages.object();
    message.set("role", "user");
    if let [one] = rest
        && one.kind() == "text"
    {
        check_text(&format!("{path}content.{results}."), one)?;
        message.set("content", text_of(one));
        return Ok(());
    }
    let mut parts = message.list("content");
    for (n, block) in rest.iter().enumerate() {
        write_part(&format!("{path}content.{}.", results + n), block, &mut parts)?;
    }
    Ok(())
}

/// Writes a block of a user's turn that is not a tool result.
fn write_part(path: &str, block: &Block<'_>, parts: &mut List<'_>) -> Result<(), BodyError> {
    match block.kind() {
        "text" => {
            check_text(path, block)?;
            write_text_part(text_of(block), parts);
            Ok(())
        }
        "image" => write_image(path, block, parts),
        "document" => write_document(path, block, parts),
        "tool_result" => {
            invalid(format!("{path}type"), "a tool_result after other content has no counterpart")
        }
        _ => no_counterpart(format!("{path}type")),
    }
}

/// Prefix that marks the result of a failed tool, since the platform's dialect has no field for that.
pub const TOOL_ERROR_PREFIX: &str = "[tool error] ";

fn write_tool_result(path: &str, block: &Block<'_>, messages: &mut List<'_>) -> Result<(), BodyError> {
    refuse_unknown(path, &block.unknown)?;
    let mut message = messages.object();
    message.set("role", "tool").set("tool_call_id", block.tool_use_id.as_deref().unwrap_or_default());
    let failed = block.is_error == Some(true);
    let mut text = String::new();
    if failed {
        text.push_str(TOOL_ERROR_PREFIX);
    }
    match block.content.as_ref().map(|c| (c.as_text(), c.blocks())) {
        None => {}
        Some((Some(plain), _)) if !failed => {
            message.set("content", plain);
            return Ok(());
        }
        Some((Some(plain), _)) => text.push_str(plain),
        Some((None, blocks)) => append_texts(path, blocks, &mut text)?,
    }
    message.set("content", &text);
    Ok(())
}

/// Appends the texts of a tool result's blocks. Blocks of other types are refused.
fn append_texts(path: &str, blocks: &[Block<'_>], text: &mut String) -> Result<(), BodyError> {
    for (n, block) in blocks.iter().enumerate() {
        let path = format!("{path}content.{n}.");
        if block.kind() != "text" {
            return no_counterpart(format!("{path}type"));
        }
        check_text(&path, block)?;
        text.push_str(text_of(block));
    }
    Ok(())
}

fn write_image(path: &str, block: &Block<'_>, parts: &mut List<'_>) -> Result<(), BodyError> {
    refuse_unknown(path, &block.unknown)?;
    let Some(source) = block.source_object() else { return no_counterpart(format!("{path}source")) };
    refuse_unknown(&format!("{path}source."), &source.unknown)?;
    let url = match source.kind.as_deref() {
        Some("base64") => data_url(source),
        Some("url") => source.url.as_deref().unwrap_or_default().to_owned(),
        _ => return no_counterpart(format!("{path}source.type")),
    };
    let mut part = parts.object();
    part.set("type", "image_url");
    part.object("image_url").set("url", &url);
    Ok(())
}

fn data_url(source: &Source<'_>) -> String {
    let text = |text: &Option<Text<'_>>| text.as_deref().unwrap_or_default().to_owned();
    format!("data:{};base64,{}", text(&source.media_type), text(&source.data))
}

/// Writes a document as a file.
fn write_document(path: &str, block: &Block<'_>, parts: &mut List<'_>) -> Result<(), BodyError> {
    refuse_unknown(path, &block.unknown)?;
    if block.context.is_some() {
        return no_counterpart(format!("{path}context"));
    }
    // The platform's dialect has no citations, so only enabled ones are refused.
    if block.citations.is_some_and(|c| c.get().contains("true")) {
        return no_counterpart(format!("{path}citations"));
    }
    let Some(source) = block.source_object() else { return no_counterpart(format!("{path}source")) };
    refuse_unknown(&format!("{path}source."), &source.unknown)?;
    let url = match source.kind.as_deref() {
        Some("base64") => data_url(source),
        Some("text") => {
            let text = source.data.as_deref().unwrap_or_default();
            format!("data:text/plain;base64,{}", Base64Display::new(text.as_bytes(), &STANDARD))
        }
        _ => return no_counterpart(format!("{path}source.type")),
    };
    let mut part = parts.object();
    part.set("type", "file");
    let mut file = part.object("file");
    if let Some(title) = block.title.as_deref() {
        file.set("filename", title);
    }
    file.set("file_data", &url);
    Ok(())
}

/// Writes a turn of the model: its texts, then its tool calls.
fn write_assistant_turn(
    path: &str,
    turn: &Turn<'_>,
    content: &Content<'_>,
    messages: &mut List<'_>,
) -> Result<(), BodyError> {
    let mut message = messages.object();
    message.set("role", turn.role.as_deref().unwrap_or_default());
    if let Some(text) = content.as_text() {
        message.set("content", text);
        return Ok(());
    }
    let blocks = content.blocks();
    let text_count = blocks.iter().take_while(|b| b.kind() == "text").count();
    for (n, block) in blocks.iter().enumerate() {
        let path = format!("{path}content.{n}.");
        match block.kind() {
            "text" if n < text_count => check_text(&path, block)?,
            "text" => return invalid(format!("{path}type"), "a text after a tool_use has no counterpart"),
            "tool_use" => refuse_unknown(&path, &block.unknown)?,
            _ => return no_counterpart(format!("{path}type")),
        }
    }
    let (texts, uses) = blocks.split_at(text_count);
    write_assistant_texts(texts, &mut message);
    write_tool_calls(uses, &mut message);
    Ok(())
}

fn write_assistant_texts(texts: &[Block<'_>], message: &mut Object<'_>) {
    match texts {
        [] => drop(message.raw("content", "null")),
        [one] => drop(message.set("content", text_of(one))),
        many => {
            let mut parts = message.list("content");
            many.iter().for_each(|block| write_text_part(text_of(block), &mut parts));
        }
    }
}

fn write_tool_calls(uses: &[Block<'_>], message: &mut Object<'_>) {
    if uses.is_empty() {
        return;
    }
    let mut calls = message.list("tool_calls");
    for block in uses {
        let mut call = calls.object();
        call.set("id", block.id.as_deref().unwrap_or_default()).set("type", "function");
        let mut function = call.object("function");
        function.set("name", block.name.as_deref().unwrap_or_default());
        function.set("arguments", block.input.map_or("{}", |input| input.get()));
    }
}

/// Splits a data URL in base64 into media type and data; `None` for other URLs.
#[must_use]
pub fn split_data_url(url: &str) -> Option<(&str, &str)> {
    url.strip_prefix("data:")?.split_once(";base64,")
}

/// Decodes base64 data to a text; `None` if the data is not base64 of UTF-8.
#[must_use]
pub fn decode_text(data: &str) -> Option<String> {
    String::from_utf8(STANDARD.decode(data).ok()?).ok()
}
