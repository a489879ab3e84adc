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

fn asked(system: Value, turns: Value) -> Route {
    route(&json!({"model": "m", "max_tokens": 9, "system": system, "messages": turns}))
}

#[test]
fn the_prompt_up_to_the_last_mark_is_the_key() {
    let user = |content: Value| json!({"role": "user", "content": content});
    let ask = |shared: &str, own: &str| {
        asked(json!("s"), json!([user(json!([marked(shared), {"type": "text", "text": own}]))]))
    };
    assert_eq!(ask("plan", "one").prefix, ask("plan", "two").prefix);
    assert_ne!(ask("plan", "one").prefix, ask("map", "one").prefix);
    assert_eq!(ask("plan", "one").prefix_tokens, 2, "five characters");
    assert_ne!(ask("plan", "one").session, ask("plan", "two").session);
    // An earlier mark makes no difference to a later one, but the tools and the system before it do.
    let both =
        asked(json!([marked("s")]), json!([user(json!([marked("plan"), {"type": "text", "text": "x"}]))]));
    assert_eq!(both.prefix, ask("plan", "x").prefix);
    let other = asked(json!("t"), json!([user(json!([marked("plan"), {"type": "text", "text": "x"}]))]));
    assert_ne!(other.prefix, both.prefix);
}

#[test]
fn how_json_spells_a_prompt_makes_no_difference() {
    let one = br#"{"model":"m","max_tokens":9,"system":"pl\u0061n \u00e9","messages":[{"role":"user","content":"x"}]}"#;
    let two = "{ \"messages\": [{\"content\": [{\"text\": \"x\", \"type\": \"text\"}], \"role\": \"user\"}],\
        \"system\": [{\"type\": \"text\", \"text\": \"plan \u{e9}\"}], \"max_tokens\": 9, \"model\": \"m\"}";
    let read = |body: &[u8]| {
        Route::of(&Request::read(body, Purpose::Generation, &MessagesLimits::default()).expect("good"))
    };
    assert_eq!(read(one), read(two.as_bytes()));
    // The same at every gateway and in every version: other gateways may run another one.
    assert_eq!(read(one).prefix, Some(13353248388496887024));
}

#[test]
fn a_conversation_whose_marks_move_along_keeps_its_key() {
    let user = |content: Value| json!({"role": "user", "content": content});
    let answer = json!({"role": "assistant", "content": "a"});
    let first = asked(json!([marked("s")]), json!([user(json!([marked("q")]))]));
    let second = asked(json!([marked("s")]), json!([user(json!("q")), answer, user(json!([marked("r")]))]));
    let third = asked(
        json!([marked("s")]),
        json!([user(json!("q")), answer, user(json!([marked("r")])), answer, user(json!([marked("t")]))]),
    );
    assert_eq!(first.prefix, second.prefix);
    assert_eq!(second.prefix, third.prefix);
    assert_eq!(first.session, third.session);
    // Examples that are marked before a question that is not are shared, answers and all.
    let shot = |question: &str| {
        asked(
            json!("s"),
            json!([user(json!("q")), answer, user(json!([marked("r")])), answer, user(json!(question))]),
        )
    };
    assert_eq!(shot("x").prefix, shot("y").prefix);
    assert_ne!(shot("x").prefix, third.prefix);
    // Without any mark the system is what is shared, and without a system nothing.
    let plain = asked(json!("s"), json!([user(json!("q"))]));
    assert_eq!((plain.prefix.is_some(), plain.prefix_tokens), (true, 1));
    assert_eq!(asked(json!(null), json!([user(json!("q"))])).prefix, None);
}

#[test]
fn lengths_follow_the_rule_that_is_stated() {
    let image = json!({"type": "image", "source": {"type": "url", "url": "u"}});
    let text = json!({"type": "text", "text": "\u{1f6eb}".repeat(8)});
    let told = asked(json!("abcd"), json!([{"role": "user", "content": [image, text]}]));
    assert_eq!(told.tokens, 1 + 2 + 1600);
    assert_eq!(characters("a\u{e9}\u{1f6eb}\u{20ac}"), 4);
}
