//! A platform request in the form of the messages API. What has no counterpart there is refused by its name.

use serde_json::value::RawValue;

use super::super::object::{self, Text, TextOr, object};
use super::super::write::{List, Object, value};
use super::refusal::{none, refuse_unknown, wrong};
use super::to_platform::{FAILED, parts_of, plain_of};
use crate::limits::MessagesLimits;

object! {
    /// The body of a chat completion's request.
    Chat {
        /// The model's name.
        model = "model": Text<'a>,
        /// The conversation.
        messages = "messages": Vec<Line<'a>>,
        /// Whether the answer comes as a stream.
        stream = "stream": bool,
        /// What a stream tells besides.
        stream_options = "stream_options": Options<'a>,
        /// Tokens of the answer at the most, by its older name.
        max_tokens = "max_tokens": u64,
        /// The same by its newer name.
        max_completion_tokens = "max_completion_tokens": u64,
        /// Randomness, 0 to 2.
        temperature = "temperature": f64,
        /// The share of likely tokens that are chosen from.
        top_p = "top_p": f64,
        /// Texts that end the answer.
        stop = "stop": TextOr<'a, Vec<Text<'a>>>,
        /// Tools that the model may use.
        tools = "tools": Vec<Tool<'a>>,
        /// Which of them it has to use.
        tool_choice = "tool_choice": TextOr<'a, Chosen<'a>>,
        /// More than one use of a tool is allowed.
        parallel_tool_calls = "parallel_tool_calls": bool,
        /// Who asks.
        user = "user": Text<'a>,
        /// Which service is asked for.
        service_tier = "service_tier": Text<'a>,
        /// Answers wanted.
        n = "n": u64,
        /// Dislike of what was said before.
        presence_penalty = "presence_penalty": f64,
        /// The same, by how often.
        frequency_penalty = "frequency_penalty": f64,
        /// Whether likelihoods are told.
        logprobs = "logprobs": bool,
    }
}

object! {
    /// What a stream tells besides.
    Options {
        /// Whether it tells its tokens, as streams here always do.
        include_usage = "include_usage": bool,
    }
}

object! {
    /// One line of a conversation.
    Line {
        /// Whose it is.
        role = "role": Text<'a>,
        /// What was said.
        content = "content": TextOr<'a, Vec<Part<'a>>>,
        /// The tools that the model used.
        tool_calls = "tool_calls": Vec<Call<'a>>,
        /// The tool use that a result is of.
        tool_call_id = "tool_call_id": Text<'a>,
    }
}

object! {
    /// A part of what was said.
    Part {
        /// Its type.
        kind = "type": Text<'a>,
        /// Its words.
        text = "text": Text<'a>,
        /// Its image.
        image_url = "image_url": Image<'a>,
        /// Its file.
        file = "file": File<'a>,
    }
}

object! {
    /// An image.
    Image {
        /// Where it is, or it itself.
        url = "url": Text<'a>,
        /// How closely it is to be looked at.
        detail = "detail": Text<'a>,
    }
}

object! {
    /// A file.
    File {
        /// Its name.
        filename = "filename": Text<'a>,
        /// It itself, as a data URL.
        file_data = "file_data": Text<'a>,
    }
}

object! {
    /// A tool's definition.
    Tool {
        /// Its type.
        kind = "type": Text<'a>,
        /// What it is.
        function = "function": Function<'a>,
    }
}

object! {
    /// A function.
    Function {
        /// Its name.
        name = "name": Text<'a>,
        /// What it is good for.
        description = "description": Text<'a>,
        /// The JSON schema of its arguments.
        parameters = "parameters": &'a RawValue,
        /// The arguments have to follow the schema.
        strict = "strict": bool,
        /// The arguments of a call.
        arguments = "arguments": Text<'a>,
    }
}

object! {
    /// A use of a tool.
    Call {
        /// Its id.
        id = "id": Text<'a>,
        /// Its type.
        kind = "type": Text<'a>,
        /// The function and its arguments.
        function = "function": Function<'a>,
    }
}

object! {
    /// The tool that the model has to use.
    Chosen {
        /// Its type.
        kind = "type": Text<'a>,
        /// The function.
        function = "function": Function<'a>,
    }
}

type Fault = Result<(), String>;

/// The body for real servers that speak the messages API.
///
/// # Errors
///
/// If `bytes` is not JSON of a chat completion's form, if a required field is missing or has a wrong value, or if a
/// field has no counterpart in the messages API. The text begins with the name of that field.
pub fn body(bytes: &[u8], limits: &MessagesLimits) -> Result<Vec<u8>, String> {
    let chat: Chat<'_> = object::read(bytes)?;
    refuse_unknown("", &chat.unknown)?;
    if chat.stream != Some(true) {
        return wrong("stream", "only true is served here");
    }
    if let Some(options) = &chat.stream_options {
        refuse_unknown("stream_options.", &options.unknown)?;
    }
    if chat.n.is_some_and(|n| n != 1) {
        return none("n");
    }
    for (name, number) in
        [("presence_penalty", chat.presence_penalty), ("frequency_penalty", chat.frequency_penalty)]
    {
        if number.is_some_and(|n| n != 0.0) {
            return none(name);
        }
    }
    if chat.logprobs == Some(true) {
        return none("logprobs");
    }
    let mut out = Vec::new();
    let mut body = Object::new(&mut out);
    let Some(model) = chat.model.as_deref().filter(|m| !m.is_empty()) else {
        return wrong("model", "a name is required");
    };
    body.set("model", model).set("stream", &true);
    let most = chat.max_completion_tokens.or(chat.max_tokens);
    if most == Some(0) {
        return wrong("max_tokens", "0 is not a positive number");
    }
    body.set("max_tokens", &most.unwrap_or(limits.usual_tokens));
    if let Some(temperature) = chat.temperature {
        if !(0.0..=1.0).contains(&temperature) {
            return wrong("temperature", "the real servers' dialect has only 0 to 1");
        }
        body.set("temperature", &temperature);
    }
    if let Some(top_p) = chat.top_p {
        body.set("top_p", &top_p);
    }
    match &chat.stop {
        None => {}
        Some(TextOr::Text(stop)) => value(body.list("stop_sequences").item(), &**stop),
        Some(TextOr::Other(stops)) => {
            let mut list = body.list("stop_sequences");
            stops.iter().for_each(|stop| value(list.item(), &**stop));
        }
    }
    if let Some(user) = chat.user.as_deref() {
        body.object("metadata").set("user_id", user);
    }
    match chat.service_tier.as_deref() {
        None => {}
        Some("auto") => drop(body.set("service_tier", "auto")),
        Some("default") => drop(body.set("service_tier", "standard_only")),
        Some(_) => return none("service_tier"),
    }
    tools(&chat, &mut body)?;
    conversation(chat.messages.as_deref().unwrap_or_default(), &mut body, limits)?;
    drop(body);
    Ok(out)
}

fn tools(chat: &Chat<'_>, body: &mut Object<'_>) -> Fault {
    let tools = chat.tools.as_deref().unwrap_or_default();
    if !tools.is_empty() {
        let mut list = body.list("tools");
        for (n, tool) in tools.iter().enumerate() {
            let place = format!("tools.{n}.");
            refuse_unknown(&place, &tool.unknown)?;
            if tool.kind.as_deref() != Some("function") {
                return none(format!("{place}type"));
            }
            let Some(function) = &tool.function else {
                return wrong(format!("{place}function"), "required");
            };
            refuse_unknown(&format!("{place}function."), &function.unknown)?;
            let Some(name) = function.name.as_deref() else {
                return wrong(format!("{place}function.name"), "required");
            };
            let mut item = list.object();
            item.set("name", name);
            if let Some(description) = function.description.as_deref() {
                item.set("description", description);
            }
            item.raw("input_schema", function.parameters.map_or(r#"{"type":"object"}"#, RawValue::get));
            if let Some(strict) = function.strict {
                item.set("strict", &strict);
            }
        }
    }
    let kind = match &chat.tool_choice {
        None => match chat.parallel_tool_calls {
            // It has to be said of some choice.
            Some(false) if !tools.is_empty() => "auto",
            _ => return Ok(()),
        },
        Some(TextOr::Text(word)) => match &**word {
            "required" => "any",
            "auto" => "auto",
            "none" => "none",
            _ => return none("tool_choice"),
        },
        Some(TextOr::Other(chosen)) if chosen.kind.as_deref() == Some("function") => "tool",
        Some(TextOr::Other(_)) => return none("tool_choice.type"),
    };
    let mut choice = body.object("tool_choice");
    choice.set("type", kind);
    if let Some(TextOr::Other(chosen)) = &chat.tool_choice {
        refuse_unknown("tool_choice.", &chosen.unknown)?;
        let name = chosen.function.as_ref().and_then(|f| f.name.as_deref());
        let Some(name) = name else { return wrong("tool_choice.function.name", "required") };
        choice.set("name", name);
    }
    if let Some(parallel) = chat.parallel_tool_calls.filter(|_| kind != "none") {
        choice.set("disable_parallel_tool_use", &!parallel);
    }
    Ok(())
}

fn conversation(lines: &[Line<'_>], body: &mut Object<'_>, limits: &MessagesLimits) -> Fault {
    let openings =
        lines.iter().take_while(|l| matches!(l.role.as_deref(), Some("system" | "developer"))).count();
    if openings > 0 {
        let mut system = body.list("system");
        for (n, line) in lines[..openings].iter().enumerate() {
            let place = format!("messages.{n}.");
            refuse_unknown(&place, &line.unknown)?;
            match &line.content {
                None => {}
                Some(TextOr::Text(text)) => text_block(&mut system, text),
                Some(TextOr::Other(parts)) => {
                    for (n, part) in parts.iter().enumerate() {
                        let place = format!("{place}content.{n}.");
                        if part.kind.as_deref() != Some("text") {
                            return none(format!("{place}type"));
                        }
                        content_part(&place, part, &mut system)?;
                    }
                }
            }
        }
    }
    let rest = &lines[openings..];
    if rest.is_empty() {
        return wrong("messages", "at least one that is not the system's is required");
    }
    let mut turns = body.list("messages");
    let mut at = 0;
    while let Some(line) = rest.get(at) {
        let place = format!("messages.{}.", openings + at);
        let place = place.as_str();
        refuse_unknown(place, &line.unknown)?;
        at += 1;
        match line.role.as_deref() {
            Some("user") => {
                let mut turn = turns.object();
                turn.set("role", "user");
                said(place, line, &mut turn)?;
            }
            Some("tool") => {
                // Results that follow one another, and what the client says after them, are one turn there.
                let mut turn = turns.object();
                turn.set("role", "user");
                let mut blocks = turn.list("content");
                result(place, line, &mut blocks)?;
                while let Some(next) = rest.get(at).filter(|l| l.role.as_deref() == Some("tool")) {
                    result(&format!("messages.{}.", openings + at), next, &mut blocks)?;
                    at += 1;
                }
                if let Some(next) = rest.get(at).filter(|l| l.role.as_deref() == Some("user")) {
                    let place = format!("messages.{}.", openings + at);
                    refuse_unknown(&place, &next.unknown)?;
                    content(&place, next, &mut blocks)?;
                    at += 1;
                }
            }
            Some("assistant") => {
                let mut turn = turns.object();
                turn.set("role", "assistant");
                let calls = line.tool_calls.as_deref().unwrap_or_default();
                if calls.is_empty() {
                    said(place, line, &mut turn)?;
                    continue;
                }
                let mut blocks = turn.list("content");
                content(place, line, &mut blocks)?;
                for (n, one) in calls.iter().enumerate() {
                    call(&format!("{place}tool_calls.{n}."), one, &mut blocks, limits)?;
                }
            }
            Some("system" | "developer") => {
                return wrong(
                    format!("{place}role"),
                    "a system's line amid a conversation has no counterpart",
                );
            }
            Some(_) => return none(format!("{place}role")),
            None => return wrong(format!("{place}role"), "required"),
        }
    }
    Ok(())
}

/// Writes a line's content as it is: a text, or blocks.
fn said(place: &str, line: &Line<'_>, turn: &mut Object<'_>) -> Fault {
    match &line.content {
        Some(TextOr::Text(text)) => {
            turn.set("content", &**text);
            Ok(())
        }
        Some(TextOr::Other(_)) => content(place, line, &mut turn.list("content")),
        None => wrong(format!("{place}content"), "required"),
    }
}

/// Adds a line's content as blocks.
fn content(place: &str, line: &Line<'_>, blocks: &mut List<'_>) -> Fault {
    match &line.content {
        None => {}
        Some(TextOr::Text(text)) if text.is_empty() => {}
        Some(TextOr::Text(text)) => text_block(blocks, text),
        Some(TextOr::Other(parts)) => {
            for (n, part) in parts.iter().enumerate() {
                content_part(&format!("{place}content.{n}."), part, blocks)?;
            }
        }
    }
    Ok(())
}

fn text_block(blocks: &mut List<'_>, text: &str) {
    blocks.object().set("type", "text").set("text", text);
}

fn content_part(place: &str, part: &Part<'_>, blocks: &mut List<'_>) -> Fault {
    refuse_unknown(place, &part.unknown)?;
    match part.kind.as_deref() {
        Some("text") => {
            let Some(text) = part.text.as_deref() else { return wrong(format!("{place}text"), "required") };
            text_block(blocks, text);
            Ok(())
        }
        Some("image_url") => {
            let place = format!("{place}image_url.");
            let Some(image) = &part.image_url else {
                return wrong(place.trim_end_matches('.'), "required");
            };
            refuse_unknown(&place, &image.unknown)?;
            if image.detail.as_deref().is_some_and(|d| d != "auto") {
                return none(format!("{place}detail"));
            }
            let Some(url) = image.url.as_deref() else { return wrong(format!("{place}url"), "required") };
            let mut block = blocks.object();
            block.set("type", "image");
            let mut source = block.object("source");
            match parts_of(url) {
                Some((media, data)) => {
                    source.set("type", "base64").set("media_type", media).set("data", data);
                }
                None if url.starts_with("data:") => return none(format!("{place}url")),
                None => drop(source.set("type", "url").set("url", url)),
            }
            Ok(())
        }
        Some("file") => {
            let place = format!("{place}file.");
            let Some(file) = &part.file else { return wrong(place.trim_end_matches('.'), "required") };
            refuse_unknown(&place, &file.unknown)?;
            let Some((media, data)) = file.file_data.as_deref().and_then(parts_of) else {
                return wrong(format!("{place}file_data"), "a data URL in base64 is required");
            };
            let mut block = blocks.object();
            block.set("type", "document");
            if let Some(title) = file.filename.as_deref() {
                block.set("title", title);
            }
            let mut source = block.object("source");
            match media {
                "application/pdf" => {
                    source.set("type", "base64").set("media_type", media).set("data", data);
                }
                "text/plain" => {
                    let Some(text) = plain_of(data) else {
                        return wrong(format!("{place}file_data"), "not the base64 of a UTF-8 text");
                    };
                    source.set("type", "text").set("media_type", media).set("data", &text);
                }
                _ => return none(format!("{place}file_data")),
            }
            Ok(())
        }
        Some(_) => none(format!("{place}type")),
        None => wrong(format!("{place}type"), "required"),
    }
}

fn result(place: &str, line: &Line<'_>, blocks: &mut List<'_>) -> Fault {
    refuse_unknown(place, &line.unknown)?;
    let Some(id) = line.tool_call_id.as_deref() else {
        return wrong(format!("{place}tool_call_id"), "required");
    };
    let mut block = blocks.object();
    block.set("type", "tool_result").set("tool_use_id", id);
    match &line.content {
        None => {}
        Some(TextOr::Text(text)) => match text.strip_prefix(FAILED) {
            Some(words) => drop(block.set("content", words).set("is_error", &true)),
            None => drop(block.set("content", &**text)),
        },
        Some(TextOr::Other(_)) => content(place, line, &mut block.list("content"))?,
    }
    Ok(())
}

fn call(place: &str, call: &Call<'_>, blocks: &mut List<'_>, limits: &MessagesLimits) -> Fault {
    refuse_unknown(place, &call.unknown)?;
    if call.kind.as_deref().is_some_and(|k| k != "function") {
        return none(format!("{place}type"));
    }
    let Some(id) = call.id.as_deref() else { return wrong(format!("{place}id"), "required") };
    let Some(function) = &call.function else { return wrong(format!("{place}function"), "required") };
    let place = format!("{place}function.");
    refuse_unknown(&place, &function.unknown)?;
    let Some(name) = function.name.as_deref() else { return wrong(format!("{place}name"), "required") };
    let arguments = function.arguments.as_deref().map_or("", str::trim);
    let arguments = if arguments.is_empty() { "{}" } else { arguments };
    // It goes out as JSON, so it has to be some; that it is an object its beginning shows.
    if serde_json::from_str::<&RawValue>(arguments).is_err() || !arguments.starts_with('{') {
        return wrong(format!("{place}arguments"), "not a JSON object");
    }
    if object::depth(arguments) > limits.depth {
        return wrong(format!("{place}arguments"), &format!("nests deeper than {}", limits.depth));
    }
    blocks.object().set("type", "tool_use").set("id", id).set("name", name).raw("input", arguments);
    Ok(())
}
