//! Conversion of a messages API request to the engine's request.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use tulipridge::admission::quota::Rates;
use tulipridge::api_keys::{self, Key, Keys};
use tulipridge::engine::TokenCounts;
use tulipridge::front::messages::{PATH, Setup, models, read_request};
use tulipridge::front::{AcceptedRequest, FrontContext, FrontDecision, ReplicaDialects};
use tulipridge::limits::Limits;
use tulipridge::names::Names;
use tulipridge::net::codec::Head;
use tulipridge::types::Nanos;

const SECOND: Nanos = 1_000_000_000;

fn context() -> FrontContext {
    let mut names = Names {
        classes: vec!["docs".into(), "bulk".into()],
        tenants: vec!["a".into(), "b".into()],
        deadlines: vec![5 * SECOND, 20 * SECOND],
        is_class_idempotent: vec![true, false],
        default_tenant: Some(0),
        ..Names::default()
    };
    names.models.insert("map-bulk".into(), 1);
    let key = |name: &str, tenant| {
        let hash = api_keys::hash_of(&api_keys::digits_of(name)).expect("64 digits");
        Key { name: name.into(), hash, tenant, models: Vec::new() }
    };
    let setup = Setup {
        keys: Keys::new(vec![key("of-b", Some(1)), key("of-nobody", None)]),
        models: [("map-bulk", "m"), ("map-fast", "m")]
            .map(|(id, name)| {
                (id.to_owned(), models::Model { display_name: name.into(), ..Default::default() })
            })
            .into(),
        only_listed: true,
        rates: vec![Rates { input: Some(1000), ..Rates::default() }, Rates::default()],
    };
    let limits = Limits::new(64, 64, Duration::from_secs(1), Duration::from_secs(1));
    FrontContext::new(Rc::new(RefCell::new(names)), Rc::new(limits), setup)
}

/// Submits a request with these headers, and with `body` merged into a default one. Returns the accepted
/// request or the status.
fn accepted(
    context: &FrontContext,
    headers: &[(&str, &str)],
    body: Value,
) -> Result<Box<AcceptedRequest>, u16> {
    let mut request_body = json!({"model": "map-fast", "max_tokens": 9, "stream": true,
        "messages": [{"role": "user", "content": "Which gate?"}]});
    request_body.as_object_mut().expect("an object").extend(body.as_object().expect("an object").clone());
    let mut head = Head { start: ["POST", PATH, "HTTP/1.1"].map(String::from), ..Head::default() };
    if !headers.iter().any(|(name, _)| *name == "x-api-key") {
        head.headers.push(("x-api-key".into(), "of-nobody".into()));
    }
    head.headers.extend(headers.iter().map(|(n, v)| (n.to_string(), v.to_string())));
    let body = request_body.to_string();
    match read_request(
        context,
        SECOND,
        &head,
        body.as_bytes(),
        "req_00000000000000a1",
        ReplicaDialects::default(),
    ) {
        FrontDecision::Serve(request) => Ok(request),
        FrontDecision::Respond(response) => Err(response.status),
        FrontDecision::Health => Err(0),
    }
}

#[test]
fn the_body_determines_what_headers_do_not_set() {
    let context = context();
    let plain = accepted(&context, &[], json!({})).expect("good");
    assert_eq!(
        (plain.placement.class, plain.placement.expires_in, plain.is_idempotent),
        (0, 5 * SECOND, true)
    );
    assert_eq!(
        (plain.placement.id, plain.placement.is_retry, plain.placement.tenant),
        (Some(0xa1), false, Some(0))
    );
    assert_eq!(
        (plain.placement.tokens, plain.prompt_tokens),
        (TokenCounts { prompt: 3, prefix: 0, max_output: 9 }, 3)
    );
    let bulk = accepted(&context, &[], json!({"model": "map-bulk"})).expect("good");
    assert_eq!(
        (bulk.placement.class, bulk.placement.expires_in, bulk.is_idempotent),
        (1, 20 * SECOND, false)
    );
    let docs = accepted(&context, &[("x-class", "docs")], json!({"model": "map-bulk"})).expect("good");
    assert_eq!(docs.placement.class, 0);
    // A session is identified by the user id, otherwise by the first turn.
    let session = |body| accepted(&context, &[], body).expect("good").placement.session;
    let turn = |text: &str| json!({"messages": [{"role": "user", "content": text}]});
    assert_eq!(
        session(json!({"metadata": {"user_id": "u"}})),
        session(json!({"metadata": {"user_id": "u"}}))
    );
    assert_ne!(
        session(json!({"metadata": {"user_id": "u"}})),
        session(json!({"metadata": {"user_id": "v"}}))
    );
    assert_ne!(session(turn("one")), session(turn("two")));
    assert_eq!(accepted(&context, &[], json!({"model": "map-slow"})).err(), Some(404), "an unlisted model");
}

#[test]
fn retry_and_timeout_headers_of_client_libraries_are_used() {
    let context = context();
    let request_with =
        |headers: &[(&str, &str)]| accepted(&context, headers, json!({})).expect("good").placement;
    assert!(!request_with(&[("x-stainless-retry-count", "0")]).is_retry);
    assert!(request_with(&[("x-stainless-retry-count", "1")]).is_retry);
    assert!(request_with(&[("x-retry", "1")]).is_retry);
    assert!(!request_with(&[("x-stainless-retry-count", "many")]).is_retry);
    for (name, seconds, expected) in [
        ("x-stainless-timeout", "600", 5 * SECOND),
        ("x-stainless-timeout", "2", 2 * SECOND),
        ("x-stainless-read-timeout", "1.5", 3 * SECOND / 2),
        ("x-stainless-timeout", "-3", 5 * SECOND),
        ("x-stainless-timeout", "NaN", 5 * SECOND),
    ] {
        assert_eq!(request_with(&[(name, seconds)]).expires_in, expected, "{name}: {seconds}");
    }
    let both = [("x-stainless-timeout", "3"), ("x-stainless-read-timeout", "2")];
    assert_eq!(request_with(&both).expires_in, 2 * SECOND);
    assert_eq!(request_with(&[("x-deadline-ms", "700"), both[0]]).expires_in, 700_000_000);
}

#[test]
fn a_key_determines_the_tenant_and_the_body_the_tokens() {
    let context = context();
    let tenant = |headers: &[(&str, &str)]| {
        accepted(&context, headers, json!({})).map(|request| request.placement.tenant)
    };
    assert_eq!(tenant(&[("x-api-key", "of-b")]).ok(), Some(Some(1)));
    assert_eq!(tenant(&[("x-api-key", "of-b"), ("x-tenant", "b")]).ok(), Some(Some(1)));
    assert_eq!(tenant(&[("x-api-key", "of-b"), ("x-tenant", "a")]).err(), Some(403));
    // A key without a tenant uses the default tenant; a header cannot select another one.
    assert_eq!(tenant(&[("x-tenant", "a")]).ok(), Some(Some(0)));
    assert_eq!(tenant(&[("x-tenant", "b")]).err(), Some(403));
    // Tenant a has 1,000 tokens per minute, and a header with a small prompt length does not evade this
    // limit.
    let long = json!({"messages": [{"role": "user", "content": "x".repeat(3600)}]});
    let small = [("x-extras", "prompt_len=0,prefix_len=0,max_out=0")];
    assert!(accepted(&context, &small, long.clone()).is_ok_and(|request| request.prompt_tokens == 900));
    assert_eq!(accepted(&context, &small, long).err(), Some(429));
}
