//! A messages request in the platform's form. What has no counterpart there is refused by its name.

use base64::Engine as _;
use base64::display::Base64Display;
use base64::engine::general_purpose::STANDARD;

use super::super::messages::request::{Block, Choice, Content, Request, Source, Turn};
use super::super::object::Text;
use super::super::write::{List, Object, value};
use super::refusal::{none, refuse_unknown};

/// The body for the platform's real servers, always of a stream.
///
/// # Errors
///
/// If a field of the request has no counterpart in the platform's dialect; the text begins with its name.
pub fn body(request: &Request<'_>) -> Result<Vec<u8>, String> {
    refuse_unknown("", &request.unknown)?;
    if request.top_k.is_some() {
        return none("top_k");
    }
    if let Some(thinking) = &request.thinking
        && thinking.kind.as_deref() != Some("disabled")
    {
        return none("thinking");
    }
    let mut out = Vec::new();
    let mut body = Object::new(&mut out);
    body.set("model", request.model.as_deref().unwrap_or_default());
    body.set("stream", &true);
    // Without it no server tells what the answer took.
    body.object("stream_options").set("include_usage", &true);
    if let Some(most) = request.max_tokens {
        body.set("max_tokens", &most);
    }
    for (name, number) in [("temperature", request.temperature), ("top_p", request.top_p)] {
        if let Some(number) = number {
            body.set(name, &number);
        }
    }
    if let Some(stops) = request.stop_sequences.as_deref().filter(|s| !s.is_empty()) {
        if stops.len() > 4 {
            return Err("stop_sequences: the real servers' dialect has no more than 4".into());
        }
        let mut list = body.list("stop");
        stops.iter().for_each(|stop| value(list.item(), &**stop));
    }
    if let Some(metadata) = &request.metadata {
        refuse_unknown("metadata.", &metadata.unknown)?;
        if let Some(user) = metadata.user_id.as_deref() {
            body.set("user", user);
        }
    }
    if let Some(tier) = request.service_tier.as_deref() {
        body.set("service_tier", if tier == "auto" { "auto" } else { "default" });
    }
    tools(request, &mut body)?;
    let mut turns = body.list("messages");
    if let Some(system) = request.system.as_ref() {
        let mut turn = turns.object();
        turn.set("role", "system");
        match (system.plain(), system.blocks()) {
            (Some(text), _) => drop(turn.set("content", text)),
            (None, [one]) => {
                text_block("system.0.", one)?;
                turn.set("content", one.text.as_deref().unwrap_or_default());
            }
            (None, blocks) => {
                let mut parts = turn.list("content");
                for (n, block) in blocks.iter().enumerate() {
                    text_block(&format!("system.{n}."), block)?;
                    text_part(&mut parts, block.text.as_deref().unwrap_or_default());
                }
            }
        }
    }
    for (n, turn) in request.turns().iter().enumerate() {
        let place = format!("messages.{n}.");
        refuse_unknown(&place, &turn.unknown)?;
        let Some(content) = &turn.content else { continue };
        if turn.is_user() {
            user(&place, content, &mut turns)?;
        } else {
            assistant(&place, turn, content, &mut turns)?;
        }
    }
    drop(turns);
    drop(body);
    Ok(out)
}

fn text_block(place: &str, block: &Block<'_>) -> Result<(), String> {
    refuse_unknown(place, &block.unknown)?;
    if block.citations.is_some_and(|c| c.get() != "[]") {
        none(format!("{place}citations"))
    } else {
        Ok(())
    }
}

fn text_part(parts: &mut List<'_>, text: &str) {
    parts.object().set("type", "text").set("text", text);
}

fn tools(request: &Request<'_>, body: &mut Object<'_>) -> Result<(), String> {
    if !request.tools().is_empty() {
        let mut list = body.list("tools");
        for (n, tool) in request.tools().iter().enumerate() {
            if !tool.is_custom() {
                return none(format!("tools.{n}.type"));
            }
            refuse_unknown(&format!("tools.{n}."), &tool.unknown)?;
            let mut item = list.object();
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
    }
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
    if let Some(alone) = disable_parallel_tool_use {
        body.set("parallel_tool_calls", &!alone);
    }
    Ok(())
}

/// A client's turn: results of tools first, each a turn of its own there, then what the client says.
fn user(place: &str, content: &Content<'_>, turns: &mut List<'_>) -> Result<(), String> {
    if let Some(text) = content.plain() {
        turns.object().set("role", "user").set("content", text);
        return Ok(());
    }
    let blocks = content.blocks();
    let results = blocks.iter().take_while(|b| b.kind() == "tool_result").count();
    for (n, block) in blocks[..results].iter().enumerate() {
        result(&format!("{place}content.{n}."), block, turns)?;
    }
    let rest = &blocks[results..];
    if rest.is_empty() && results > 0 {
        return Ok(());
    }
    let mut turn = turns.object();
    turn.set("role", "user");
    if let [one] = rest
        && one.kind() == "text"
    {
        text_block(&format!("{place}content.{results}."), one)?;
        turn.set("content", one.text.as_deref().unwrap_or_default());
        return Ok(());
    }
    let mut parts = turn.list("content");
    for (n, block) in rest.iter().enumerate() {
        let place = format!("{place}content.{}.", results + n);
        match block.kind() {
            "text" => {
                text_block(&place, block)?;
                text_part(&mut parts, block.text.as_deref().unwrap_or_default());
            }
            "image" => image(&place, block, &mut parts)?,
            "document" => document(&place, block, &mut parts)?,
            "tool_result" => {
                return Err(format!("{place}type: a tool_result after other content has no counterpart"));
            }
            _ => return none(format!("{place}type")),
        }
    }
    Ok(())
}

/// What a tool's failure is said by, since the other dialect has no field for it.
pub const FAILED: &str = "[tool error] ";

fn result(place: &str, block: &Block<'_>, turns: &mut List<'_>) -> Result<(), String> {
    refuse_unknown(place, &block.unknown)?;
    let mut turn = turns.object();
    turn.set("role", "tool").set("tool_call_id", block.tool_use_id.as_deref().unwrap_or_default());
    let failed = block.is_error == Some(true);
    let mut text = String::new();
    if failed {
        text.push_str(FAILED);
    }
    match block.content.as_ref().map(|c| (c.plain(), c.blocks())) {
        None => {}
        Some((Some(plain), _)) if !failed => {
            turn.set("content", plain);
            return Ok(());
        }
        Some((Some(plain), _)) => text.push_str(plain),
        Some((None, blocks)) => {
            for (n, part) in blocks.iter().enumerate() {
                let place = format!("{place}content.{n}.");
                if part.kind() != "text" {
                    return none(format!("{place}type"));
                }
                text_block(&place, part)?;
                text.push_str(part.text.as_deref().unwrap_or_default());
            }
        }
    }
    turn.set("content", &text);
    Ok(())
}

fn image(place: &str, block: &Block<'_>, parts: &mut List<'_>) -> Result<(), String> {
    refuse_unknown(place, &block.unknown)?;
    let Some(source) = block.origin() else { return none(format!("{place}source")) };
    refuse_unknown(&format!("{place}source."), &source.unknown)?;
    let url = match source.kind.as_deref() {
        Some("base64") => data_url(source),
        Some("url") => source.url.as_deref().unwrap_or_default().to_owned(),
        _ => return none(format!("{place}source.type")),
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

/// A document is a file there, of whichever media type.
fn document(place: &str, block: &Block<'_>, parts: &mut List<'_>) -> Result<(), String> {
    refuse_unknown(place, &block.unknown)?;
    if block.context.is_some() {
        return none(format!("{place}context"));
    }
    // Without citations is what the other dialect does anyway.
    if block.citations.is_some_and(|c| c.get().contains("true")) {
        return none(format!("{place}citations"));
    }
    let Some(source) = block.origin() else { return none(format!("{place}source")) };
    refuse_unknown(&format!("{place}source."), &source.unknown)?;
    let url = match source.kind.as_deref() {
        Some("base64") => data_url(source),
        Some("text") => {
            let text = source.data.as_deref().unwrap_or_default();
            format!("data:text/plain;base64,{}", Base64Display::new(text.as_bytes(), &STANDARD))
        }
        _ => return none(format!("{place}source.type")),
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

/// The model's turn: its words, then its uses of tools.
fn assistant(
    place: &str,
    turn: &Turn<'_>,
    content: &Content<'_>,
    turns: &mut List<'_>,
) -> Result<(), String> {
    let mut out = turns.object();
    out.set("role", turn.role.as_deref().unwrap_or_default());
    if let Some(text) = content.plain() {
        out.set("content", text);
        return Ok(());
    }
    let blocks = content.blocks();
    let words = blocks.iter().take_while(|b| b.kind() == "text").count();
    for (n, block) in blocks.iter().enumerate() {
        let place = format!("{place}content.{n}.");
        match block.kind() {
            "text" if n < words => text_block(&place, block)?,
            "text" => return Err(format!("{place}type: a text after a tool_use has no counterpart")),
            "tool_use" => refuse_unknown(&place, &block.unknown)?,
            _ => return none(format!("{place}type")),
        }
    }
    match &blocks[..words] {
        [] => drop(out.raw("content", "null")),
        [one] => drop(out.set("content", one.text.as_deref().unwrap_or_default())),
        many => {
            let mut parts = out.list("content");
            many.iter().for_each(|b| text_part(&mut parts, b.text.as_deref().unwrap_or_default()));
        }
    }
    if words < blocks.len() {
        let mut calls = out.list("tool_calls");
        for block in &blocks[words..] {
            let mut call = calls.object();
            call.set("id", block.id.as_deref().unwrap_or_default()).set("type", "function");
            let mut function = call.object("function");
            function.set("name", block.name.as_deref().unwrap_or_default());
            function.set("arguments", block.input.map_or("{}", |i| i.get()));
        }
    }
    Ok(())
}

/// The bytes of a data URL's media type and base64, if it is one.
#[must_use]
pub fn parts_of(url: &str) -> Option<(&str, &str)> {
    url.strip_prefix("data:")?.split_once(";base64,")
}

/// The plain text of base64, if it is one.
#[must_use]
pub fn plain_of(data: &str) -> Option<String> {
    String::from_utf8(STANDARD.decode(data).ok()?).ok()
}
