//! The request class of a route: its latency targets, and whether its requests may be retried.

use std::time::Duration;

use tulipridge_configuration::{Route, RouteKind};
use tulipridge_load_balancer::types::{Class, Effect};

use crate::replica::outcome::RequestKind;

/// Value of a late response, relative to a response in time.
const LATE_VALUE: f64 = 0.3;
/// The target of a route that specifies none is its time limit divided by this.
const DEFAULT_TARGET_DIVISOR: u64 = 4;
/// Minimum client timeout: the idle time after which clients abandon a stream. The longest of this minimum and the two
/// multiples below applies, up to the time limit of the route.
const MIN_CLIENT_TIMEOUT_MS: u64 = 2_000;
/// Client timeout as a multiple of the route's target.
const CLIENT_TIMEOUT_PER_TARGET: u64 = 4;
/// Client timeout as a multiple of the route's target for gaps within a stream.
const CLIENT_TIMEOUT_PER_GAP: u64 = 8;
/// First-token target as a fraction of the client timeout. A late response still has a part of its value; one that
/// arrives after the client has timed out has none.
const TARGET_PER_CLIENT_TIMEOUT: f64 = 0.75;
const NANOS_PER_MILLI: u64 = 1_000_000;

/// The effect of the requests of a route: safe if they may run more than once.
#[must_use]
pub fn effect_of(route: &Route) -> Effect {
    if RequestKind::of(route).is_idempotent() { Effect::Safe } else { Effect::Unsafe }
}

/// The request class of a route.
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

/// The time within which a response has its full value.
#[must_use]
pub fn latency_target(route: &Route) -> Duration {
    Duration::from_millis(target_ms(route))
}

fn target_ms(route: &Route) -> u64 {
    if route.target_ms > 0 { route.target_ms } else { route.time_limit_ms / DEFAULT_TARGET_DIVISOR }
}

/// The target for the time to first token that the load balancer uses. For streams, it is derived from the client
/// timeout if that gives a longer time than the target of the route.
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
