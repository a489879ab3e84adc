//! Parsing and rejecting request bodies of the messages API.

use serde_json::{Value, json};
use tulipridge::front::messages::request::{Purpose, Request};
use tulipridge::front::object::Text;
use tulipridge::limits::MessagesLimits;

fn error_of(body: Value) -> String {
    let limits = MessagesLimits::default();
    Request::read(body.to_string().as_bytes(), Purpose::Generation, &limits)
        .map_or_else(|error| error.to_string(), |_| String::new())
}

fn error_with_field(field: &str, value: Value) -> String {
    let mut body = json!({"model": "m", "max_tokens": 9, "messages": [{"role": "user", "content": "x"}]});
    body[field] = value;
    error_of(body)
}

fn error_with_block(block: Value) -> String {
    error_with_field("messages", json!([{"role": "user", "content": [block]}]))
}

#[test]
fn each_error_is_reported_with_its_field() {
    for (error, field) in [
        (error_with_field("model", json!("")), "model: "),
        (error_with_field("model", json!(7)), "model: invalid type"),
        (error_with_field("max_tokens", json!(-3)), "max_tokens: invalid"),
        (error_with_field("max_tokens", json!(0)), "max_tokens: "),
        (error_with_field("messages", json!([])), "messages: "),
        (
            error_with_field("messages", json!([{"role": "robot", "content": "x"}])),
            "messages.0.role: 'robot'",
        ),
        (error_with_field("messages", json!([{"role": "user"}])), "messages.0.content: required"),
        (
            error_with_field("messages", json!([{"role": "user", "content": 3}])),
            "messages.0.content: invalid type",
        ),
        (error_with_field("stream", json!("yes")), "stream: "),
        (error_with_field("temperature", json!(1.5)), "temperature: 1.5"),
        (error_with_field("stop_sequences", json!(["a", " "])), "stop_sequences.1: "),
        (error_with_field("service_tier", json!("gold")), "service_tier: 'gold'"),
        (error_with_field("thinking", json!({"type": "enabled"})), "thinking.budget_tokens: required"),
        (
            error_with_field("thinking", json!({"type": "enabled", "budget_tokens": 10})),
            "thinking.budget_tokens: 10",
        ),
        (error_with_field("tools", json!([{"name": "a b", "input_schema": {}}])), "tools.0.name: "),
        (error_with_field("tools", json!([{"name": "a"}])), "tools.0.input_schema: required"),
        (error_with_field("tool_choice", json!({"type": "tool", "name": "b"})), "tool_choice.name: "),
        (error_with_field("system", json!([{"type": "image"}])), "system.0.type: 'image'"),
        (error_with_block(json!({"text": "x"})), "messages.0.content.0.type: required"),
        (error_with_block(json!({"type": "text"})), "messages.0.content.0.text: required"),
        (error_with_block(json!({"type": "text", "text": 4})), "messages.0.content.0.text: invalid type"),
        (error_with_block(json!({"type": "thinking"})), "messages.0.content.0.type: 'thinking'"),
        (
            error_with_block(json!({"type": "tool_result", "tool_use_id": "t"})),
            "messages.0.content.0.tool_use_id: no tool use",
        ),
        (
            error_with_block(
                json!({"type": "image", "source": {"type": "base64", "media_type": "image/tiff"}}),
            ),
            "messages.0.content.0.source.media_type: 'image/tiff'",
        ),
        (
            error_with_block(
                json!({"type": "image", "source": {"type": "base64", "media_type": "image/png",
                "data": "a\u{e9}"}}),
            ),
            "messages.0.content.0.source.data: not base64",
        ),
        (
            error_with_block(
                json!({"type": "text", "text": "x", "cache_control": {"type": "ephemeral", "ttl": "9d"}}),
            ),
            "messages.0.content.0.cache_control.ttl: '9d'",
        ),
    ] {
        assert!(error.starts_with(field), "{error} is not {field}");
    }
}

#[test]
fn malformed_and_hostile_bodies_are_rejected_with_a_message() {
    let limits = MessagesLimits::default();
    let error_of_bytes =
        |body: &[u8]| Request::read(body, Purpose::Generation, &limits).expect_err("an error").to_string();
    assert!(
        error_of_bytes(b"{\"model\": \"\xff\"}").starts_with("the body is not UTF-8 from its byte 11 on")
    );
    assert!(error_of_bytes(b"{").starts_with("the body is not JSON"));
    assert!(error_of_bytes(b"[]").starts_with("invalid type"));
    assert!(error_of_bytes(b"{} {}").starts_with("the body is not"));
    assert!(error_of_bytes(br#"{"model":"a","model":"b"}"#).starts_with("model: given twice"));
    assert!(error_of_bytes(br#"{"odd":1,"odd":2}"#).starts_with("odd: given twice"));
    assert!(
        error_of_bytes(br#"{"messages":[{"role":"user","role":"user"}]}"#)
            .starts_with("messages.0.role: given twice")
    );
    assert!(error_of_bytes(br#"{"max_tokens":1e999}"#).contains("number out of range"));
    let deep = format!(
        r#"{{"model":"m","max_tokens":1,"tools":[{{"name":"t","input_schema":{}1{}}}],"messages":[{{"role":"user","content":""}}]}}"#,
        "[".repeat(100_000),
        "]".repeat(100_000)
    );
    assert!(error_of_bytes(deep.as_bytes()).starts_with("tools.0.input_schema: nests deeper than 64"));
    let nested = format!("{}{}", r#"{"messages":[{"content":"#, r#"[{"content":"#.repeat(20_000));
    assert!(!error_of_bytes(nested.as_bytes()).is_empty());
    let names: String = (0..100).map(|n| format!(r#""f{n}":0,"#)).collect();
    assert!(
        error_of_bytes(format!("{{{names}\"z\":0}}").as_bytes()).starts_with("too many unknown fields")
    );
    let many = format!(
        r#"{{"model":"m","max_tokens":1,"messages":[{{"role":"user","content":[{}{{"type":"text","text":""}}]}}]}}"#,
        r#"{"type":"text","text":""},"#.repeat(9000)
    );
    assert!(error_of_bytes(many.as_bytes()).starts_with("messages: more than"));
}

#[test]
fn all_documented_fields_are_accepted() {
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
    assert_eq!(error_of(body.clone()), "");
    let text = body.to_string();
    let limits = MessagesLimits::default();
    let read = Request::read(text.as_bytes(), Purpose::Generation, &limits).expect("good");
    assert!(read.is_streaming());
    assert_eq!(read.unknown, [Text("speed".into())], "a null counts as absent");
    assert_eq!(read.turns().len(), 3);
}
