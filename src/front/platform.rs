//! The platform's front: headers describe a request; the body is not read.

use super::{AcceptedRequest, Call, Dialect, FrontContext, ReplicaDialects, Response, translate};
use crate::engine::{PlacementRequest, TokenCounts};
use crate::names::Names;
use crate::types::Nanos;
use snafu::{OptionExt, Snafu};
use tulipridge_http1::codec::Head;

/// The path of requests.
pub const PATH: &str = "/v1/chat/completions";

/// Reads a request's head. Its body is only translated if some replica speaks the other dialect.
pub fn call(context: &FrontContext, head: &Head, body: &[u8], dialects: ReplicaDialects) -> Call {
    let path = head.start[1].split('?').next().unwrap_or_default();
    let refused = |status: u16, message: &str| Call::Respond(Response::text(status, message));
    match (head.start[0].as_str(), path) {
        ("GET", "/_health") => return Call::Health,
        ("POST", PATH) => {}
        (_, PATH | "/_health") => return refused(405, "another method is wanted here"),
        _ => return refused(404, "nothing is here"),
    }
    let names = context.names.borrow();
    let placement = match read_placement(head, &names) {
        // Replicas require the client's id, so none can be generated here.
        Ok(placement) if placement.id.is_none() => return refused(400, "no id of 16 hex digits"),
        Ok(placement) => placement,
        Err(error) => return refused(400, &error.to_string()),
    };
    // A request that has no counterpart in some replica's dialect is refused before one is chosen.
    let other = match dialects.has_other_than(Dialect::Platform) {
        true => match translate::to_messages::body(body, &context.limits.messages) {
            Ok(body) => Some(body),
            Err(error) => return refused(400, &error.to_string()),
        },
        false => None,
    };
    Call::Serve(Box::new(AcceptedRequest {
        safe: names.safe.get(placement.class).copied().unwrap_or(false),
        model: String::new(),
        is_message: false,
        edit: None,
        prompt: 0,
        other,
        placement,
        grant: None,
        headers: Vec::new(),
    }))
}

/// Why a request's headers are invalid, as a message for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum HeaderError {
    /// `X-Request-Id` is there more than once.
    #[snafu(display("more than one id"))]
    SeveralIds,
    /// `X-Class` names no class.
    #[snafu(display("an unknown class"))]
    UnknownClass,
    /// `X-Tenant` names no tenant.
    #[snafu(display("an unknown tenant"))]
    UnknownTenant,
    /// `X-Deadline-Ms` is no number.
    #[snafu(display("a deadline that is no number"))]
    InvalidDeadline,
    /// A length in `X-Extras` is no number.
    #[snafu(display("a length that is no number"))]
    InvalidLength,
}

/// Reads the platform's headers of a request. The messages front reads the same ones if present.
///
/// # Errors
///
/// If there is more than one `X-Request-Id`, if the class or the tenant is not in `names`, or if the deadline or a
/// length in `X-Extras` is not a number.
pub fn read_placement(head: &Head, names: &Names) -> Result<PlacementRequest, HeaderError> {
    // With two ids, this gateway and a replica could know the request by different ones.
    if head.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case("x-request-id")).count() > 1 {
        return SeveralIdsSnafu.fail();
    }
    let class = match head.get("x-class") {
        Some(name) => names.class(name).context(UnknownClassSnafu)?,
        None => 0,
    };
    let tenant = match head.get("x-tenant") {
        Some(name) => Some(names.tenant(name).context(UnknownTenantSnafu)?),
        None => None,
    };
    let expires_in = match head.get("x-deadline-ms") {
        Some(ms) => ms.parse::<u32>().ok().context(InvalidDeadlineSnafu)?.into(),
        None => names.deadlines[class] / 1_000_000,
    };
    let extras = head.get("x-extras").unwrap_or_default();
    let value_of = |name: &str| {
        extras.split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('=')).map(str::trim)
    };
    let tokens = |name: &str| match value_of(name) {
        Some(count) => count.parse::<u32>().ok().context(InvalidLengthSnafu),
        None => Ok(0),
    };
    Ok(PlacementRequest {
        id: head.get("x-request-id").and_then(hex),
        expires_in: expires_in * 1_000_000 as Nanos,
        class,
        tenant,
        prefix: value_of("prefix").map(key).filter(|p| *p != 0),
        session: head.get("x-key").map(key),
        tokens: TokenCounts {
            prompt: tokens("prompt_len")?,
            prefix: tokens("prefix_len")?,
            max_output: tokens("max_out")?,
        },
        is_retry: head.get("x-retry") == Some("1"),
    })
}

/// Parses an id of 16 hex digits.
fn hex(text: &str) -> Option<u64> {
    (text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit()))
        .then(|| u64::from_str_radix(text, 16).ok())
        .flatten()
}

/// The number of a key: its hex digits, or for other texts an FNV-1a hash, which is the same on all gateways.
#[must_use]
pub fn key(text: &str) -> u64 {
    let hash = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01B3);
    u64::from_str_radix(text, 16).unwrap_or_else(|_| text.bytes().fold(0xCBF2_9CE4_8422_2325, hash))
}
