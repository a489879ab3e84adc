//! The routing key and the token counts of a prompt.

use serde_json::{Value, json};
use tulipridge::front::messages::request::Purpose;
use tulipridge::front::messages::request::Request;
use tulipridge::front::messages::route::{Route, characters};
use tulipridge::limits::MessagesLimits;

fn route(body: &Value) -> Route {
    let text = body.to_string();
    Route::of(
        &Request::read(text.as_bytes(), Purpose::Generation, &MessagesLimits::default()).expect("good"),
    )
}

fn marked(text: &str) -> Value {
    json!({"type": "text", "text": text, "cache_control": {"type": "ephemeral"}})
}

fn request_with(system: Value, turns: Value) -> Route {
    route(&json!({"model": "m", "max_tokens": 9, "system": system, "messages": turns}))
}

#[test]
fn the_prompt_up_to_the_last_cache_mark_is_the_key() {
    let user = |content: Value| json!({"role": "user", "content": content});
    let ask = |shared: &str, own: &str| {
        request_with(json!("s"), json!([user(json!([marked(shared), {"type": "text", "text": own}]))]))
    };
    assert_eq!(ask("plan", "one").prefix, ask("plan", "two").prefix);
    assert_ne!(ask("plan", "one").prefix, ask("map", "one").prefix);
    assert_eq!(ask("plan", "one").prefix_tokens, 2, "five characters");
    assert_ne!(ask("plan", "one").session, ask("plan", "two").session);
    // An earlier mark does not change the key, but the tools and the system prompt before it do.
    let both = request_with(
        json!([marked("s")]),
        json!([user(json!([marked("plan"), {"type": "text", "text": "x"}]))]),
    );
    assert_eq!(both.prefix, ask("plan", "x").prefix);
    let other =
        request_with(json!("t"), json!([user(json!([marked("plan"), {"type": "text", "text": "x"}]))]));
    assert_ne!(other.prefix, both.prefix);
}

#[test]
fn the_key_does_not_depend_on_json_formatting() {
    let one = br#"{"model":"m","max_tokens":9,"system":"pl\u0061n \u00e9","messages":[{"role":"user","content":"x"}]}"#;
    let two = "{ \"messages\": [{\"content\": [{\"text\": \"x\", \"type\": \"text\"}], \"role\": \"user\"}],\
        \"system\": [{\"type\": \"text\", \"text\": \"plan \u{e9}\"}], \"max_tokens\": 9, \"model\": \"m\"}";
    let read = |body: &[u8]| {
        Route::of(&Request::read(body, Purpose::Generation, &MessagesLimits::default()).expect("good"))
    };
    assert_eq!(read(one), read(two.as_bytes()));
    // The key must be the same in all versions, since gateways of a group may run different ones.
    assert_eq!(read(one).prefix, Some(13353248388496887024));
}

#[test]
fn a_conversation_with_moving_cache_marks_keeps_its_key() {
    let user = |content: Value| json!({"role": "user", "content": content});
    let answer = json!({"role": "assistant", "content": "a"});
    let first = request_with(json!([marked("s")]), json!([user(json!([marked("q")]))]));
    let second =
        request_with(json!([marked("s")]), json!([user(json!("q")), answer, user(json!([marked("r")]))]));
    let third = request_with(
        json!([marked("s")]),
        json!([user(json!("q")), answer, user(json!([marked("r")])), answer, user(json!([marked("t")]))]),
    );
    assert_eq!(first.prefix, second.prefix);
    assert_eq!(second.prefix, third.prefix);
    assert_eq!(first.session, third.session);
    // Marked few-shot examples before an unmarked question are shared, with their responses.
    let shot = |question: &str| {
        request_with(
            json!("s"),
            json!([user(json!("q")), answer, user(json!([marked("r")])), answer, user(json!(question))]),
        )
    };
    assert_eq!(shot("x").prefix, shot("y").prefix);
    assert_ne!(shot("x").prefix, third.prefix);
    // Without a mark the prefix is the system prompt, if there is one.
    let plain = request_with(json!("s"), json!([user(json!("q"))]));
    assert_eq!((plain.prefix.is_some(), plain.prefix_tokens), (true, 1));
    assert_eq!(request_with(json!(null), json!([user(json!("q"))])).prefix, None);
}

#[test]
fn token_counts_follow_the_documented_estimate() {
    let image = json!({"type": "image", "source": {"type": "url", "url": "u"}});
    let text = json!({"type": "text", "text": "\u{1f6eb}".repeat(8)});
    let routed = request_with(json!("abcd"), json!([{"role": "user", "content": [image, text]}]));
    assert_eq!(routed.tokens, 1 + 2 + 1600);
    assert_eq!(characters("a\u{e9}\u{1f6eb}\u{20ac}"), 4);
}
