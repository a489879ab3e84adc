//! A route as a class of requests: its latency target and what may be repeated.

use std::time::Duration;

use tulipridge_configuration::{Route, RouteKind};
use tulipridge_load_balancer::types::{Class, Effect};

use crate::replica::outcome::RequestKind;

/// What a late response earns beside one in time.
const LATE_VALUE: f64 = 0.3;
/// The target of a route that states none is this part of its time limit.
const DEFAULT_TARGET_DIVISOR: u64 = 4;
/// Clients give a stream up after an idle time of this length at the least ...
const MIN_CLIENT_TIMEOUT_MS: u64 = 2_000;
/// ... or of this multiple of the target ...
const CLIENT_TIMEOUT_PER_TARGET: u64 = 4;
/// ... or of this multiple of the longest gap in time, whichever is longest.
const CLIENT_TIMEOUT_PER_GAP: u64 = 8;
/// The latency target is this part of the clients' patience: late responses earn a part of their value, and those that
/// come when nobody waits any more earn nothing.
const TARGET_PER_CLIENT_TIMEOUT: f64 = 0.75;
const NANOS_PER_MILLI: u64 = 1_000_000;

/// Whether a route's requests may run twice.
#[must_use]
pub fn effect_of(route: &Route) -> Effect {
    if RequestKind::of(route).is_repeatable() { Effect::Safe } else { Effect::Unsafe }
}

/// The class of a route's requests.
#[must_use]
pub fn class_of(route: &Route) -> Class {
    Class {
        latency_target: first_token_target_ms(route).saturating_mul(NANOS_PER_MILLI),
        latency_target_per_token: 0,
        inter_token_target: 0,
        deadline: route.time_limit_ms.saturating_mul(NANOS_PER_MILLI),
        effect: effect_of(route),
        value: 1.0,
        late_value: LATE_VALUE,
        stream: true,
    }
}

/// The time within which a response of a route earns its full value.
#[must_use]
pub fn latency_target(route: &Route) -> Duration {
    Duration::from_millis(target_ms(route))
}

fn target_ms(route: &Route) -> u64 {
    if route.target_ms > 0 { route.target_ms } else { route.time_limit_ms / DEFAULT_TARGET_DIVISOR }
}

/// The time up to a first token that the load balancer works towards.
fn first_token_target_ms(route: &Route) -> u64 {
    let target = target_ms(route);
    if route.kind != RouteKind::Stream {
        return target;
    }
    let by_target = target.saturating_mul(CLIENT_TIMEOUT_PER_TARGET);
    let by_gap = route.gap_target_ms.saturating_mul(CLIENT_TIMEOUT_PER_GAP);
    let client_timeout_ms = by_target.max(by_gap).max(MIN_CLIENT_TIMEOUT_MS).min(route.time_limit_ms);
    target.max((client_timeout_ms as f64 * TARGET_PER_CLIENT_TIMEOUT) as u64)
}
