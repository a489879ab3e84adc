//! The platform's front: headers say what a request is; the body is not looked at.

use super::{AcceptedRequest, Call, Dialect, FrontContext, Reply, ServerDialects, translate};
use crate::engine::Ask;
use crate::names::Names;
use crate::types::Nanos;
use tulipridge_http1::codec::Head;

/// Where requests come in.
pub const PATH: &str = "/v1/chat/completions";

/// Reads a request's head; of its body only what real servers of the other dialect need.
pub fn call(context: &FrontContext, head: &Head, body: &[u8], dialects: ServerDialects) -> Call {
    let path = head.start[1].split('?').next().unwrap_or_default();
    let refused = |status: u16, what: &str| Call::Reply(Reply::text(status, what));
    match (head.start[0].as_str(), path) {
        ("GET", "/_health") => return Call::Health,
        ("POST", PATH) => {}
        (_, PATH | "/_health") => return refused(405, "another method is wanted here"),
        _ => return refused(404, "nothing is here"),
    }
    let names = context.names.borrow();
    let ask = match ask(head, &names) {
        // Real servers take no request without the id of its client, so none can be made up here.
        Ok(ask) if ask.id.is_none() => return refused(400, "no id of 16 hex digits"),
        Ok(ask) => ask,
        Err(what) => return refused(400, what),
    };
    // What any of the real servers has no words for is refused before one is chosen.
    let other = match dialects.beside(Dialect::Platform) {
        true => match translate::to_messages::body(body, &context.limits.messages) {
            Ok(body) => Some(body),
            Err(what) => return refused(400, &what),
        },
        false => None,
    };
    Call::Serve(Box::new(AcceptedRequest {
        safe: names.safe.get(ask.class).copied().unwrap_or(false),
        model: String::new(),
        whole: false,
        edit: None,
        prompt: 0,
        other,
        ask,
        grant: None,
        headers: Vec::new(),
    }))
}

/// What the platform's headers say of a request; the messages front reads the same ones where they are there.
///
/// # Errors
///
/// If there is more than one `X-Request-Id`, if the class or the tenant is not in `names`, or if the deadline or a
/// length in `X-Extras` is not a number.
pub fn ask(head: &Head, names: &Names) -> Result<Ask, &'static str> {
    // Guards against a request that this gateway and a real server would know by different ids.
    if head.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case("x-request-id")).count() > 1 {
        return Err("more than one id");
    }
    let class = match head.get("x-class") {
        Some(name) => names.class(name).ok_or("an unknown class")?,
        None => 0,
    };
    let tenant = match head.get("x-tenant") {
        Some(name) => Some(names.tenant(name).ok_or("an unknown tenant")?),
        None => None,
    };
    let expires_in = match head.get("x-deadline-ms") {
        Some(ms) => ms.parse::<u32>().map_err(|_| "a deadline that is no number")?.into(),
        None => names.deadlines[class] / 1_000_000,
    };
    let extras = head.get("x-extras").unwrap_or_default();
    let extra = |name: &str| {
        extras.split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('=')).map(str::trim)
    };
    let tokens = |name: &str| match extra(name) {
        Some(count) => count.parse::<u32>().map_err(|_| "a length that is no number"),
        None => Ok(0),
    };
    Ok(Ask {
        id: head.get("x-request-id").and_then(hex),
        expires_in: expires_in * 1_000_000 as Nanos,
        class,
        tenant,
        prefix: extra("prefix").map(key).filter(|p| *p != 0),
        session: head.get("x-key").map(key),
        tokens: (tokens("prompt_len")?, tokens("prefix_len")?, tokens("max_out")?),
        repeat: head.get("x-retry") == Some("1"),
    })
}

fn hex(text: &str) -> Option<u64> {
    (text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit()))
        .then(|| u64::from_str_radix(text, 16).ok())
        .flatten()
}

/// A key's number: its hex digits, or for other words a hash that is the same everywhere.
#[must_use]
pub fn key(text: &str) -> u64 {
    let hash = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01B3);
    u64::from_str_radix(text, 16).unwrap_or_else(|_| text.bytes().fold(0xCBF2_9CE4_8422_2325, hash))
}
