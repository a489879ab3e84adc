//! Translation between the dialects: there and back keeps the meaning, any cut of a stream gives the same bytes, and
//! no input panics or grows past its bound.

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

/// Random words, with all that JSON escapes.
fn words(g: &mut Gen) -> String {
    let pieces =
        ["gate", " ", "\"", "\\", "\n", "\u{e9}", "\u{1f6eb}", "{", "}", "data: x", "\u{7f}", "[DONE]"];
    (0..1 + usize::arbitrary(g) % 6).map(|_| *g.choose(&pieces).expect("some")).collect()
}

fn value(g: &mut Gen, depth: usize) -> Value {
    match u8::arbitrary(g) % if depth == 0 { 4 } else { 6 } {
        0 => Value::Null,
        1 => json!(i32::arbitrary(g)),
        2 => json!(bool::arbitrary(g)),
        3 => json!(words(g)),
        4 => (0..usize::arbitrary(g) % 3).map(|_| value(g, depth - 1)).collect(),
        _ => object(g, depth - 1),
    }
}

fn object(g: &mut Gen, depth: usize) -> Value {
    Value::Object(
        (0..usize::arbitrary(g) % 3).map(|n| (format!("{n}{}", words(g)), value(g, depth))).collect(),
    )
}

/// Up to two tools, and how one of them is chosen.
fn add_tools(g: &mut Gen, body: &mut Value) {
    let tools = usize::arbitrary(g) % 3;
    if tools > 0 {
        body["tools"] = (0..tools)
            .map(|n| {
                let mut tool = json!({"name": format!("t{n}"), "input_schema": object(g, 2)});
                if bool::arbitrary(g) {
                    tool["description"] = words(g).into();
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
            body["tool_choice"] = g.choose(&choices).expect("some").clone();
        }
    }
}

/// A messages request of what both dialects have words for.
#[derive(Clone, Debug)]
struct Asked(Value);

impl Arbitrary for Asked {
    fn arbitrary(g: &mut Gen) -> Asked {
        let text = |g: &mut Gen| json!({"type": "text", "text": words(g)});
        let mut body =
            json!({"model": words(g), "max_tokens": 1 + u32::arbitrary(g) % 9000, "stream": true});
        add_tools(g, &mut body);
        if bool::arbitrary(g) {
            body["system"] = (0..1 + usize::arbitrary(g) % 3).map(|_| text(g)).collect();
        }
        if bool::arbitrary(g) {
            body["temperature"] = json!(f64::from(u8::arbitrary(g)) / 255.0);
            body["stop_sequences"] = json!(["END"]);
            body["metadata"] = json!({"user_id": words(g)});
            body["service_tier"] = "auto".into();
        }
        let mut turns = Vec::new();
        for n in 0..1 + usize::arbitrary(g) % 4 {
            let mut said = vec![text(g)];
            if bool::arbitrary(g) {
                let data = json!({"type": "base64", "media_type": "image/png", "data": "aGVsbG8h"});
                said.push(json!({"type": "image", "source": data}));
            }
            if bool::arbitrary(g) {
                let source = json!({"type": "text", "media_type": "text/plain", "data": words(g)});
                said.push(json!({"type": "document", "title": words(g), "source": source}));
            }
            let calls = usize::arbitrary(g) % 3;
            let mut answer = vec![text(g)];
            let mut results = Vec::new();
            for c in 0..calls {
                let id = format!("c{n}-{c}");
                answer.push(json!({"type": "tool_use", "id": id, "name": "t0", "input": object(g, 3)}));
                let mut result = json!({"type": "tool_result", "tool_use_id": id, "content": words(g)});
                if bool::arbitrary(g) {
                    result["is_error"] = true.into();
                }
                results.push(result);
            }
            turns.push(json!({"role": "user", "content": said}));
            turns.push(json!({"role": "assistant", "content": answer}));
            if !results.is_empty() {
                turns.push(json!({"role": "user", "content": results}));
            }
        }
        body["messages"] = turns.into();
        Asked(body)
    }
}

/// A content as blocks, so that a text and a list of it compare alike; and turns of one side that follow one another
/// as one, which is how the API takes them.
fn spelled_out(mut body: Value) -> Value {
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
fn a_request_there_and_back_says_the_same() {
    fn same(Asked(body): Asked) -> bool {
        let limits = MessagesLimits::default();
        let text = body.to_string();
        let request = Request::read(text.as_bytes(), Purpose::Generation, &limits).expect("good");
        let platform = to_platform::body(&request).expect("all of it has a counterpart");
        let back = to_messages::body(&platform, &limits).expect("and so has that");
        let again = Request::read(&back, Purpose::Generation, &limits).expect("good again");
        assert_eq!(Route::of(&again).tokens, Route::of(&request).tokens);
        let back: Value = serde_json::from_slice(&back).expect("JSON");
        let (was, is) = (spelled_out(body), spelled_out(back));
        for name in was.as_object().expect("an object").keys() {
            assert_eq!(was[name], is[name], "{name}");
        }
        assert_eq!(was, is);
        true
    }
    QuickCheck::new().rng(Gen::from_size_and_seed(20, 8)).tests(300).quickcheck(same as fn(Asked) -> bool);
}

/// A platform stream: words and calls in any order, their arguments in turns.
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
            (0..usize::arbitrary(g) % 4).map(|n| (format!("t{n}"), object(g, 3))).collect();
        // What is still to be said of each call.
        let mut left: Vec<(usize, Vec<String>)> = Vec::new();
        for (n, (_, input)) in calls.iter().enumerate() {
            let letters: Vec<char> = input.to_string().chars().collect();
            let size = 1 + usize::arbitrary(g) % 9;
            left.push((n, letters.chunks(size).map(|c| c.iter().collect()).rev().collect()));
        }
        let (mut events, mut text, mut begun) = (Vec::new(), String::new(), 0);
        loop {
            let open: Vec<usize> = (0..begun).filter(|n| !left[*n].1.is_empty()).collect();
            match u8::arbitrary(g) % 4 {
                0 if begun < calls.len() => {
                    let (name, _) = &calls[begun];
                    events.push(event(json!({"tool_calls": [{"index": begun, "id": format!("c{begun}"),
                        "type": "function", "function": {"name": name, "arguments": ""}}]})));
                    begun += 1;
                }
                1 if usize::arbitrary(g) % 4 == 0 => {
                    let said = words(g);
                    events.push(event(json!({"content": said})));
                    text += &said;
                }
                _ if !open.is_empty() => {
                    let n = *g.choose(&open).expect("some");
                    let piece = left[n].1.pop().expect("some");
                    events.push(event(
                        json!({"tool_calls": [{"index": n, "function": {"arguments": piece}}]}),
                    ));
                }
                _ if begun == calls.len() => break,
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

fn passed(client: Dialect, server: Dialect, stream: &[u8], cuts: &[usize]) -> Vec<u8> {
    let limits = limits();
    let mut translator =
        StreamTranslator::new(client, "1", "m", Rc::new(OmissionLog::new(&limits)), &limits);
    let (mut text, mut scanned, mut out, mut rest) = (Vec::new(), 0, Vec::new(), stream);
    for cut in cuts.iter().cycle() {
        if rest.is_empty() {
            break;
        }
        let (piece, after) = rest.split_at((*cut).min(rest.len()));
        text.extend_from_slice(piece);
        rest = after;
        let batch =
            codec::sse_batch(&mut text, &mut scanned, &limits.wire).expect("events within their bound");
        translator.events(server, &batch, &mut out);
        assert!(!translator.is_full());
    }
    assert_eq!(translator.buffered_bytes(), 0, "all has been said");
    out
}

/// One block after another, each begun once and ended once.
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
fn a_stream_in_any_pieces_gives_the_same_blocks_one_after_another() {
    fn same(told: PlatformStream) -> bool {
        let stream = told.events.concat();
        let whole = passed(Dialect::Messages, Dialect::Platform, stream.as_bytes(), &[stream.len()]);
        let cut = passed(Dialect::Messages, Dialect::Platform, stream.as_bytes(), &told.cuts);
        assert_eq!(String::from_utf8_lossy(&whole), String::from_utf8_lossy(&cut));

        assert_blocks_in_sequence(&whole);
        // Gathered, it says what the stream did; and so does the way back.
        let mut assembler = MessageAssembler::new(1 << 20);
        assembler.events(&whole);
        let message: Value = serde_json::from_slice(&assembler.finish().expect("whole")).expect("JSON");
        let of = |kind: &str| {
            let blocks = message["content"].as_array().expect("a list").clone();
            blocks.into_iter().filter(|b| b["type"] == kind).collect::<Vec<_>>()
        };
        let text: String = of("text").iter().filter_map(|b| b["text"].as_str()).collect();
        assert_eq!(text, told.text);
        let mut calls: Vec<(String, Value)> = of("tool_use")
            .iter()
            .map(|b| (b["name"].as_str().expect("a name").into(), b["input"].clone()))
            .collect();
        calls.sort_by(|a, b| a.0.cmp(&b.0));
        assert_eq!(calls, told.calls);
        assert_eq!(message["usage"]["input_tokens"], 7);

        let back = passed(Dialect::Platform, Dialect::Messages, &whole, &told.cuts);
        let there = passed(Dialect::Messages, Dialect::Platform, &back, &[back.len()]);
        let said = |stream: &[u8]| {
            let mut assembler = MessageAssembler::new(1 << 20);
            assembler.events(stream);
            let mut message: Value =
                serde_json::from_slice(&assembler.finish().expect("whole")).expect("JSON");
            // Texts that calls part are one text on the platform.
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
        assert_eq!(said(&there), said(&whole));
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(20, 9))
        .tests(300)
        .quickcheck(same as fn(PlatformStream) -> bool);
}

#[test]
fn no_input_panics_or_grows_past_its_bound() {
    // Good input that was bitten, doubled and mixed.
    fn survives(Asked(body): Asked, told: PlatformStream, bites: Vec<(usize, u8)>) -> bool {
        let bitten = |text: String| {
            let mut bytes = text.into_bytes();
            for (at, byte) in &bites {
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
        let body = bitten(body.to_string());
        match Request::read(&body, Purpose::Generation, &limits.messages) {
            Ok(request) => {
                if let Ok(platform) = to_platform::body(&request) {
                    assert!(platform.len() <= 4 * body.len() + 4096);
                    serde_json::from_slice::<Value>(&platform).expect("JSON");
                }
            }
            Err(what) => assert!(!what.to_string().is_empty()),
        }
        if let Ok(messages) = to_messages::body(&body, &limits.messages) {
            assert!(messages.len() <= 4 * body.len() + 4096);
            serde_json::from_slice::<Value>(&messages).expect("JSON");
        }
        let stream = bitten(told.events.concat());
        for (client, server) in
            [(Dialect::Messages, Dialect::Platform), (Dialect::Platform, Dialect::Messages)]
        {
            let mut translator =
                StreamTranslator::new(client, "1", "m", Rc::new(OmissionLog::new(&limits)), &limits);
            let mut out = Vec::new();
            translator.events(server, &stream, &mut out);
            // Each event has a frame of its own, which is longer in the one dialect.
            assert!(out.len() <= 16 * stream.len() + 4096);
            let mut assembler = MessageAssembler::new(2048);
            assembler.events(&out);
            assert!(assembler.buffered_bytes() <= 2048 + out.len() / 2 + limits.wire.event_bytes);
            let _ = assembler.finish();
        }
        true
    }
    let survives = survives as fn(Asked, PlatformStream, Vec<(usize, u8)>) -> bool;
    QuickCheck::new().rng(Gen::from_size_and_seed(20, 10)).tests(400).quickcheck(survives);
}
