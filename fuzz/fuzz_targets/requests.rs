//! Requests of both dialects: parsed, validated, routed, and translated into the other dialect.
#![no_main]

use libfuzzer_sys::fuzz_target;
use tulipridge::front::messages::request::{Purpose, Request};
use tulipridge::front::messages::route::Route;
use tulipridge::front::translate::{to_messages, to_platform};
use tulipridge::limits::MessagesLimits;

fuzz_target!(|body: &[u8]| {
    let limits = MessagesLimits::default();
    if let Ok(request) = Request::read(body, Purpose::Generation, &limits) {
        assert_eq!(Route::of(&request), Route::of(&request));
        if let Ok(platform) = to_platform::body(&request) {
            serde_json::from_slice::<serde_json::Value>(&platform).expect("the translation is JSON");
        }
    }
    if let Ok(messages) = to_messages::translate_body(body, &limits) {
        serde_json::from_slice::<serde_json::Value>(&messages).expect("the translation is JSON");
    }
});
