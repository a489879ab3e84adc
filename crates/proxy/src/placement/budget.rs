//! The budget of repeated sends of one service.

use tulipridge_runtime::settings::TimeLimits;

/// Part of the ratio that is granted: the rest is for requests that clients count in another window.
const GRANTED_RATIO_FRACTION: f64 = 0.9;
/// Part of the fleet's spare attempts that the gateways known so far hold together: the other half is for as many
/// gateways that nobody knows of yet.
const GRANTED_SPARE_FRACTION: f64 = 0.5;

/// What the deployment allows the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// Repeated sends for each request.
    pub ratio: f64,
    /// Repeated sends beyond the ratio within a window.
    pub spare: f64,
}

impl RetryAllowance {
    /// What the settings say.
    #[must_use]
    pub fn of(limits: &TimeLimits) -> RetryAllowance {
        RetryAllowance { ratio: limits.retry_ratio, spare: limits.spare_tries as f64 }
    }
}

/// One gateway's tokens for repeated sends to one service.
///
/// A request's first send adds a part of a token and each further send takes a full one (a token bucket). It
/// starts empty, as a gateway that was just restarted may have spent its tokens a moment ago.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    allowance: RetryAllowance,
    capacity: f64,
    tokens: f64,
}

impl RetryBudget {
    /// An empty bucket, without capacity until the number of gateways is known.
    #[must_use]
    pub fn new(allowance: RetryAllowance) -> Self {
        RetryBudget { allowance, capacity: 0.0, tokens: 0.0 }
    }

    /// Sets the capacity to this gateway's part among so many gateways.
    pub fn set_proxy_count(&mut self, proxy_count: u32) {
        self.capacity = self.allowance.spare * GRANTED_SPARE_FRACTION / f64::from(proxy_count.max(1));
        self.tokens = self.tokens.min(self.capacity);
    }

    /// Counts a request's first send.
    pub fn record_first_send(&mut self) {
        self.tokens = (self.tokens + self.allowance.ratio * GRANTED_RATIO_FRACTION).min(self.capacity);
    }

    /// Takes a token for a repeated send; false if there is none, and then nothing may be sent.
    pub fn take_token(&mut self) -> bool {
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Whether a repeated send would find a token.
    #[must_use]
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }
}
