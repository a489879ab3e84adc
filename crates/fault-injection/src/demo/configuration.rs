//! The configuration of the demo.

use serde_json::{Value, json};

use super::replica::{CACHE_TOKENS, MODEL};
use crate::operator::{Change, SERVICE};

/// The host of all routes.
pub(super) const HOST: &str = "demo.example";
/// The path prefix of the route of the first configuration.
pub(super) const CHAT_PATH: &str = "/chat/";
/// The path prefix of the route that the instructions add.
pub(super) const ADDED_PATH: &str = "/docs/";
/// Target for the time from one token of a stream to the next, in milliseconds; equals one token per second.
const GAP_TARGET_MS: u64 = 1_000;

/// The first configuration: one route for streams, and the service behind it.
pub(super) fn first() -> Change {
    let document = json!({
        "revision": 1,
        "routes": [route("chat", CHAT_PATH)],
        "backends": [{
            "label": SERVICE, "checkPath": "/health", "connLimit": 64,
            "runtime": {
                "capacity": 64, "cacheTokens": CACHE_TOKENS, "cacheTokenBytes": 1024, "bandwidthMbps": 1000.0,
                "maxCalls": 12, "llms": [{"label": MODEL}],
            },
        }],
    });
    Change { method: "PUT", if_match: 0, revision: 1, body: document.to_string().into_bytes() }
}

/// The body of the change that the instructions show: revision 2, with one more route.
pub(super) fn added_route() -> Value {
    json!({"revision": 2, "upsert": {"routes": [route("docs", ADDED_PATH)]}})
}

fn route(label: &str, path_prefix: &str) -> Value {
    json!({
        "label": label, "hostname": HOST, "pathStart": path_prefix, "sort": "stream", "timeLimitMs": 20_000,
        "targetMs": 1_000, "rank": 0, "backend": SERVICE, "tries": 2, "public": true, "pinned": true,
        "pickUp": false, "gap_aim_ms": GAP_TARGET_MS,
    })
}
