//! The platform's front: a request is described by its headers, and its body is read only for translation.

use super::{AcceptedRequest, Dialect, FrontContext, FrontDecision, ReplicaDialects, Response, translate};
use crate::engine::{PlacementRequest, TokenCounts};
use crate::names::Names;
use crate::types::Nanos;
use snafu::{OptionExt, Snafu};
use tulipridge_http1::codec::Head;

/// Path of requests.
pub const PATH: &str = "/v1/chat/completions";

const NANOS_PER_MILLI: Nanos = 1_000_000;

/// Reads a request's head. The body is read only if any replica speaks the other dialect.
pub fn read_request(
    context: &FrontContext,
    head: &Head,
    body: &[u8],
    dialects: ReplicaDialects,
) -> FrontDecision {
    let path = head.start[1].split('?').next().unwrap_or_default();
    let refusal = |status: u16, message: &str| FrontDecision::Respond(Response::text(status, message));
    match (head.start[0].as_str(), path) {
        ("GET", "/_health") => return FrontDecision::Health,
        ("POST", PATH) => {}
        (_, PATH | "/_health") => return refusal(405, "another method is wanted here"),
        _ => return refusal(404, "nothing is here"),
    }
    let names = context.names.borrow();
    let placement = match read_placement(head, &names) {
        // Replicas require the client's id, so the gateway can't generate one.
        Ok(placement) if placement.id.is_none() => return refusal(400, "no id of 16 hex digits"),
        Ok(placement) => placement,
        Err(error) => return refusal(400, &error.to_string()),
    };
    // A body must have a counterpart in every replica's dialect, so that its validity does not depend on placement.
    let translated_body = match dialects.has_other_than(Dialect::Platform) {
        true => match translate::to_messages::translate_body(body, &context.limits.messages) {
            Ok(body) => Some(body),
            Err(error) => return refusal(400, &error.to_string()),
        },
        false => None,
    };
    FrontDecision::Serve(Box::new(AcceptedRequest {
        is_idempotent: names.is_class_idempotent.get(placement.class).copied().unwrap_or(false),
        model: String::new(),
        is_message: false,
        edit: None,
        prompt_tokens: 0,
        translated_body,
        placement,
        grant: None,
        headers: Vec::new(),
    }))
}

/// Why a request's headers are invalid; the display text is sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum HeaderError {
    /// `X-Request-Id` occurs more than once.
    #[snafu(display("more than one id"))]
    DuplicateRequestId,
    /// `X-Class` is not the name of a class.
    #[snafu(display("an unknown class"))]
    UnknownClass,
    /// `X-Tenant` is not the name of a tenant.
    #[snafu(display("an unknown tenant"))]
    UnknownTenant,
    /// `X-Deadline-Ms` is not a number.
    #[snafu(display("a deadline that is no number"))]
    InvalidDeadline,
    /// A length in `X-Extras` is not a number.
    #[snafu(display("a length that is no number"))]
    InvalidLength,
}

/// Reads a request's placement headers. Both fronts support them; on the messages front they are optional.
///
/// # Errors
///
/// If there is more than one `X-Request-Id`, if the class or the tenant is not in `names`, or if the deadline or a
/// length in `X-Extras` is not a number.
pub fn read_placement(head: &Head, names: &Names) -> Result<PlacementRequest, HeaderError> {
    // With two ids, the gateway and a replica could use different ones.
    if head.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case("x-request-id")).count() > 1 {
        return DuplicateRequestIdSnafu.fail();
    }
    let class = match head.get("x-class") {
        Some(name) => names.class(name).context(UnknownClassSnafu)?,
        None => 0,
    };
    let tenant = match head.get("x-tenant") {
        Some(name) => Some(names.tenant(name).context(UnknownTenantSnafu)?),
        None => None,
    };
    let deadline_ms = match head.get("x-deadline-ms") {
        Some(ms) => ms.parse::<u32>().ok().context(InvalidDeadlineSnafu)?.into(),
        None => names.deadlines[class] / NANOS_PER_MILLI,
    };
    let extras = head.get("x-extras").unwrap_or_default();
    let extra = |name: &str| {
        extras.split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('=')).map(str::trim)
    };
    let token_count = |name: &str| match extra(name) {
        Some(count) => count.parse::<u32>().ok().context(InvalidLengthSnafu),
        None => Ok(0),
    };
    Ok(PlacementRequest {
        id: head.get("x-request-id").and_then(parse_request_id),
        expires_in: deadline_ms * NANOS_PER_MILLI,
        class,
        tenant,
        prefix: extra("prefix").map(key_hash).filter(|p| *p != 0),
        session: head.get("x-key").map(key_hash),
        tokens: TokenCounts {
            prompt: token_count("prompt_len")?,
            prefix: token_count("prefix_len")?,
            max_output: token_count("max_out")?,
        },
        is_retry: head.get("x-retry") == Some("1"),
    })
}

/// Parses an id of exactly 16 hex digits.
fn parse_request_id(text: &str) -> Option<u64> {
    (text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit()))
        .then(|| u64::from_str_radix(text, 16).ok())
        .flatten()
}

/// Converts a key to a number: the value of its hex digits, or for other texts their FNV-1a hash. The number is the
/// same on all gateways.
#[must_use]
pub fn key_hash(text: &str) -> u64 {
    let fnv1a = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01B3);
    u64::from_str_radix(text, 16).unwrap_or_else(|_| text.bytes().fold(0xCBF2_9CE4_8422_2325, fnv1a))
}
