//! Translation between the dialects: a round trip keeps the meaning, the result does not depend on how a stream is
//! split, and no input panics or exceeds its bound.

use std::rc::Rc;
use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use serde_json::{Value, json};

use tulipridge::front::messages::message_assembler::MessageAssembler;
use tulipridge::front::messages::request::{Purpose, Request};
use tulipridge::front::messages::route::Route;
use tulipridge::front::translate::{to_messages, to_platform};
use tulipridge::front::{Dialect, OmissionLog, StreamTranslator};
use tulipridge::limits::{Limits, MessagesLimits};
use tulipridge::net::codec;

fn limits() -> Limits {
    Limits::new(64, 64, Duration::from_secs(1), Duration::from_secs(1))
}

/// Random text, with all kinds of characters that JSON escapes.
fn random_text(g: &mut Gen) -> String {
    let pieces =
        ["gate", " ", "\"", "\\", "\n", "\u{e9}", "\u{1f6eb}", "{", "}", "data: x", "\u{7f}", "[DONE]"];
    (0..1 + usize::arbitrary(g) % 6).map(|_| *g.choose(&pieces).expect("a non-empty list")).collect()
}

fn random_value(g: &mut Gen, depth: usize) -> Value {
    match u8::arbitrary(g) % if depth == 0 { 4 } else { 6 } {
        0 => Value::Null,
        1 => json!(i32::arbitrary(g)),
        2 => json!(bool::arbitrary(g)),
        3 => json!(random_text(g)),
        4 => (0..usize::arbitrary(g) % 3).map(|_| random_value(g, depth - 1)).collect(),
        _ => random_object(g, depth - 1),
    }
}

fn random_object(g: &mut Gen, depth: usize) -> Value {
    Value::Object(
        (0..usize::arbitrary(g) % 3)
            .map(|n| (format!("{n}{}", random_text(g)), random_value(g, depth)))
            .collect(),
    )
}

/// Adds up to two tools, and possibly a tool choice.
fn add_tools(g: &mut Gen, body: &mut Value) {
    let tool_count = usize::arbitrary(g) % 3;
    if tool_count > 0 {
        body["tools"] = (0..tool_count)
            .map(|n| {
                let mut tool = json!({"name": format!("t{n}"), "input_schema": random_object(g, 2)});
                if bool::arbitrary(g) {
                    tool["description"] = random_text(g).into();
                }
                tool
            })
            .collect();
        let choices = [
            json!({"type": "auto"}),
            json!({"type": "any"}),
            json!({"type": "tool", "name": "t0"}),
            json!({"type": "none"}),
            json!({"type": "auto", "disable_parallel_tool_use": true}),
        ];
        if bool::arbitrary(g) {
            body["tool_choice"] = g.choose(&choices).expect("a non-empty list").clone();
        }
    }
}

/// A messages request with only such parts as both dialects support.
#[derive(Clone, Debug)]
struct PortableRequest(Value);

impl Arbitrary for PortableRequest {
    fn arbitrary(g: &mut Gen) -> PortableRequest {
        let text_block = |g: &mut Gen| json!({"type": "text", "text": random_text(g)});
        let mut body =
            json!({"model": random_text(g), "max_tokens": 1 + u32::arbitrary(g) % 9000, "stream": true});
        add_tools(g, &mut body);
        if bool::arbitrary(g) {
            body["system"] = (0..1 + usize::arbitrary(g) % 3).map(|_| text_block(g)).collect();
        }
        if bool::arbitrary(g) {
            body["temperature"] = json!(f64::from(u8::arbitrary(g)) / 255.0);
            body["stop_sequences"] = json!(["END"]);
            body["metadata"] = json!({"user_id": random_text(g)});
            body["service_tier"] = "auto".into();
        }
        let mut turns = Vec::new();
        for n in 0..1 + usize::arbitrary(g) % 4 {
            let mut question = vec![text_block(g)];
            if bool::arbitrary(g) {
                let data = json!({"type": "base64", "media_type": "image/png", "data": "aGVsbG8h"});
                question.push(json!({"type": "image", "source": data}));
            }
            if bool::arbitrary(g) {
                let source = json!({"type": "text", "media_type": "text/plain", "data": random_text(g)});
                question.push(json!({"type": "document", "title": random_text(g), "source": source}));
            }
            let call_count = usize::arbitrary(g) % 3;
            let mut response = vec![text_block(g)];
            let mut results = Vec::new();
            for c in 0..call_count {
                let id = format!("c{n}-{c}");
                response.push(
                    json!({"type": "tool_use", "id": id, "name": "t0", "input": random_object(g, 3)}),
                );
                let mut result =
                    json!({"type": "tool_result", "tool_use_id": id, "content": random_text(g)});
                if bool::arbitrary(g) {
                    result["is_error"] = true.into();
                }
                results.push(result);
            }
            turns.push(json!({"role": "user", "content": question}));
            turns.push(json!({"role": "assistant", "content": response}));
            if !results.is_empty() {
                turns.push(json!({"role": "user", "content": results}));
            }
        }
        body["messages"] = turns.into();
        PortableRequest(body)
    }
}

/// Normalises a request: each content becomes a list of blocks, and consecutive turns of one role become one turn, as
/// in the API.
fn normalised(mut body: Value) -> Value {
    let blocks = |content: &mut Value| {
        if let Some(text) = content.as_str() {
            *content = json!([{"type": "text", "text": text}]);
        }
    };
    if let Some(system) = body.get_mut("system") {
        blocks(system);
    }
    for turn in body["messages"].as_array_mut().into_iter().flatten() {
        blocks(&mut turn["content"]);
        for block in turn["content"].as_array_mut().into_iter().flatten() {
            if let Some(content) = block.get_mut("content") {
                blocks(content);
            }
        }
    }
    let mut turns: Vec<Value> = Vec::new();
    for turn in body["messages"].as_array().cloned().into_iter().flatten() {
        match turns.last_mut().filter(|last| last["role"] == turn["role"]) {
            Some(last) => {
                let more = turn["content"].as_array().cloned().unwrap_or_default();
                last["content"].as_array_mut().expect("blocks").extend(more);
            }
            None => turns.push(turn),
        }
    }
    body["messages"] = turns.into();
    body
}

#[test]
fn a_request_is_unchanged_by_a_round_trip() {
    fn unchanged(PortableRequest(body): PortableRequest) -> bool {
        let limits = MessagesLimits::default();
        let text = body.to_string();
        let request =
            Request::read(text.as_bytes(), Purpose::Generation, &limits).expect("a valid request");
        let platform = to_platform::body(&request).expect("translation to the platform dialect");
        let back =
            to_messages::translate_body(&platform, &limits).expect("translation to the messages dialect");
        let again = Request::read(&back, Purpose::Generation, &limits).expect("a valid request");
        assert_eq!(Route::of(&again).tokens, Route::of(&request).tokens);
        let back: Value = serde_json::from_slice(&back).expect("JSON");
        let (before, after) = (normalised(body), normalised(back));
        for name in before.as_object().expect("an object").keys() {
            assert_eq!(before[name], after[name], "{name}");
        }
        assert_eq!(before, after);
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(20, 8))
        .tests(300)
        .quickcheck(unchanged as fn(PortableRequest) -> bool);
}

/// A platform stream with text and tool calls in any order, where the calls' arguments are interleaved. `cuts` are the
/// sizes of the pieces in which the stream is received.
#[derive(Clone, Debug)]
struct PlatformStream {
    events: Vec<String>,
    text: String,
    calls: Vec<(String, Value)>,
    cuts: Vec<usize>,
}

impl Arbitrary for PlatformStream {
    fn arbitrary(g: &mut Gen) -> PlatformStream {
        let event = |delta: Value| {
            format!(
                "data: {}\n\n",
                json!({"choices": [{"index": 0, "delta": delta, "finish_reason": null}]})
            )
        };
        let calls: Vec<(String, Value)> =
            (0..usize::arbitrary(g) % 4).map(|n| (format!("t{n}"), random_object(g, 3))).collect();
        // Remaining pieces of each call's arguments, in reverse order.
        let mut remaining: Vec<(usize, Vec<String>)> = Vec::new();
        for (n, (_, input)) in calls.iter().enumerate() {
            let characters: Vec<char> = input.to_string().chars().collect();
            let size = 1 + usize::arbitrary(g) % 9;
            remaining.push((n, characters.chunks(size).map(|c| c.iter().collect()).rev().collect()));
        }
        let (mut events, mut text, mut started_count) = (Vec::new(), String::new(), 0);
        loop {
            let open: Vec<usize> = (0..started_count).filter(|n| !remaining[*n].1.is_empty()).collect();
            match u8::arbitrary(g) % 4 {
                0 if started_count < calls.len() => {
                    let (name, _) = &calls[started_count];
                    events.push(event(
                        json!({"tool_calls": [{"index": started_count, "id": format!("c{started_count}"),
                        "type": "function", "function": {"name": name, "arguments": ""}}]}),
                    ));
                    started_count += 1;
                }
                1 if usize::arbitrary(g) % 4 == 0 => {
                    let words = random_text(g);
                    events.push(event(json!({"content": words})));
                    text += &words;
                }
                _ if !open.is_empty() => {
                    let n = *g.choose(&open).expect("a non-empty list");
                    let piece = remaining[n].1.pop().expect("a non-empty list");
                    events.push(event(
                        json!({"tool_calls": [{"index": n, "function": {"arguments": piece}}]}),
                    ));
                }
                _ if started_count == calls.len() => break,
                _ => {}
            }
        }
        events.push(event(json!({})).replace("null", "\"tool_calls\""));
        events.push(
            "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":3}}\n\n".into(),
        );
        events.push("data: [DONE]\n\n".into());
        let cuts = (0..8).map(|_| 1 + usize::arbitrary(g) % 300).collect();
        PlatformStream { events, text, calls, cuts }
    }
}

/// Translates a stream in pieces of the sizes `cuts`, repeated.
fn translate(client: Dialect, server: Dialect, stream: &[u8], cuts: &[usize]) -> Vec<u8> {
    let limits = limits();
    let mut translator =
        StreamTranslator::new(client, "1", "m", Rc::new(OmissionLog::new(&limits)), &limits);
    let (mut buffer, mut scanned, mut out, mut rest) = (Vec::new(), 0, Vec::new(), stream);
    for cut in cuts.iter().cycle() {
        if rest.is_empty() {
            break;
        }
        let (piece, after) = rest.split_at((*cut).min(rest.len()));
        buffer.extend_from_slice(piece);
        rest = after;
        let batch =
            codec::sse_batch(&mut buffer, &mut scanned, &limits.wire).expect("events within their bound");
        translator.events(server, &batch, &mut out);
        assert!(!translator.is_full());
    }
    assert_eq!(translator.buffered_bytes(), 0, "no buffered bytes after the end");
    out
}

/// Checks that blocks do not overlap, and that each is started once and stopped once.
fn assert_blocks_in_sequence(stream: &[u8]) {
    let (mut open, mut next) = (None, 0);
    for block in codec::sse_blocks(stream) {
        let value: Value = serde_json::from_str(&block.data()).expect("JSON");
        let index = value["index"].as_u64();
        match block.name() {
            "content_block_start" => {
                assert_eq!((open, index), (None, Some(next)));
                (open, next) = (index, next + 1);
            }
            "content_block_delta" => assert_eq!(index, open),
            "content_block_stop" => {
                assert_eq!(index, open);
                open = None;
            }
            "message_stop" => assert_eq!(open, None),
            _ => {}
        }
    }
}

#[test]
fn a_stream_in_any_pieces_gives_the_same_sequence_of_blocks() {
    fn unchanged(original: PlatformStream) -> bool {
        let stream = original.events.concat();
        let in_one_piece =
            translate(Dialect::Messages, Dialect::Platform, stream.as_bytes(), &[stream.len()]);
        let in_pieces = translate(Dialect::Messages, Dialect::Platform, stream.as_bytes(), &original.cuts);
        assert_eq!(String::from_utf8_lossy(&in_one_piece), String::from_utf8_lossy(&in_pieces));

        assert_blocks_in_sequence(&in_one_piece);
        // The assembled message has the content of the stream, also after a round trip.
        let mut assembler = MessageAssembler::new(1 << 20);
        assembler.events(&in_one_piece);
        let message: Value =
            serde_json::from_slice(&assembler.finish().expect("a complete message")).expect("JSON");
        let blocks_of = |kind: &str| {
            let blocks = message["content"].as_array().expect("a list").clone();
            blocks.into_iter().filter(|b| b["type"] == kind).collect::<Vec<_>>()
        };
        let text: String = blocks_of("text").iter().filter_map(|b| b["text"].as_str()).collect();
        assert_eq!(text, original.text);
        let mut calls: Vec<(String, Value)> = blocks_of("tool_use")
            .iter()
            .map(|b| (b["name"].as_str().expect("a name").into(), b["input"].clone()))
            .collect();
        calls.sort_by(|a, b| a.0.cmp(&b.0));
        assert_eq!(calls, original.calls);
        assert_eq!(message["usage"]["input_tokens"], 7);

        let platform_stream =
            translate(Dialect::Platform, Dialect::Messages, &in_one_piece, &original.cuts);
        let messages_stream =
            translate(Dialect::Messages, Dialect::Platform, &platform_stream, &[platform_stream.len()]);
        let content_of = |stream: &[u8]| {
            let mut assembler = MessageAssembler::new(1 << 20);
            assembler.events(stream);
            let mut message: Value =
                serde_json::from_slice(&assembler.finish().expect("a complete message")).expect("JSON");
            // Texts that are separated by calls are one text in the platform dialect.
            let text: String = message["content"]
                .as_array()
                .expect("a list")
                .iter()
                .filter_map(|b| b["text"].as_str().map(str::to_owned))
                .collect();
            let list = message["content"].as_array_mut().expect("a list");
            list.retain(|b| b["type"] == "tool_use");
            (text, message["content"].clone(), message["stop_reason"].clone())
        };
        assert_eq!(content_of(&messages_stream), content_of(&in_one_piece));
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(20, 9))
        .tests(300)
        .quickcheck(unchanged as fn(PlatformStream) -> bool);
}

#[test]
fn no_input_panics_or_exceeds_the_output_bound() {
    // Valid input with bytes replaced, removed and inserted.
    fn is_bounded(
        PortableRequest(body): PortableRequest,
        original: PlatformStream,
        changes: Vec<(usize, u8)>,
    ) -> bool {
        let corrupt = |text: String| {
            let mut bytes = text.into_bytes();
            for (at, byte) in &changes {
                let at = at % bytes.len();
                match byte % 3 {
                    0 => bytes[at] = *byte,
                    1 => drop(bytes.remove(at)),
                    _ => bytes.insert(at, b"\"{}[]:,\\\n"[usize::from(*byte) % 9]),
                }
                if bytes.is_empty() {
                    bytes.push(b' ');
                }
            }
            bytes
        };
        let limits = limits();
        let body = corrupt(body.to_string());
        match Request::read(&body, Purpose::Generation, &limits.messages) {
            Ok(request) => {
                if let Ok(platform) = to_platform::body(&request) {
                    assert!(platform.len() <= 4 * body.len() + 4096);
                    serde_json::from_slice::<Value>(&platform).expect("JSON");
                }
            }
            Err(error) => assert!(!error.to_string().is_empty()),
        }
        if let Ok(messages) = to_messages::translate_body(&body, &limits.messages) {
            assert!(messages.len() <= 4 * body.len() + 4096);
            serde_json::from_slice::<Value>(&messages).expect("JSON");
        }
        let stream = corrupt(original.events.concat());
        for (client, server) in
            [(Dialect::Messages, Dialect::Platform), (Dialect::Platform, Dialect::Messages)]
        {
            let mut translator =
                StreamTranslator::new(client, "1", "m", Rc::new(OmissionLog::new(&limits)), &limits);
            let mut out = Vec::new();
            translator.events(server, &stream, &mut out);
            // Each event is framed separately, and the frame is longer in one of the dialects.
            assert!(out.len() <= 16 * stream.len() + 4096);
            let mut assembler = MessageAssembler::new(2048);
            assembler.events(&out);
            assert!(assembler.buffered_bytes() <= 2048 + out.len() / 2 + limits.wire.event_bytes);
            let _ = assembler.finish();
        }
        true
    }
    let is_bounded = is_bounded as fn(PortableRequest, PlatformStream, Vec<(usize, u8)>) -> bool;
    QuickCheck::new().rng(Gen::from_size_and_seed(20, 10)).tests(400).quickcheck(is_bounded);
}
