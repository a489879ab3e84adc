//! The retry budget of one service: a token bucket.

use tulipridge_runtime::settings::TimeLimits;

/// Fraction of the allowed ratio that is used. The rest is a margin for requests that clients count in another window.
const GRANTED_RATIO_FRACTION: f64 = 0.9;
/// Fraction of the spare retries of the fleet that the known proxies share. The other half is reserved for up to as
/// many proxies that are not known yet.
const GRANTED_SPARE_FRACTION: f64 = 0.5;

/// The retries that the deployment allows to the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// Retries per request.
    pub ratio: f64,
    /// Retries beyond the ratio within a window.
    pub spare: f64,
}

impl RetryAllowance {
    /// The allowance that the settings specify.
    #[must_use]
    pub fn of(limits: &TimeLimits) -> RetryAllowance {
        RetryAllowance { ratio: limits.retry_ratio, spare: limits.spare_tries as f64 }
    }
}

/// The token bucket of one proxy for retries to one service.
///
/// The first send of a request adds a fraction of a token, and each retry takes a whole token. The bucket
/// starts empty, because a proxy that was restarted may have spent its tokens shortly before.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    allowance: RetryAllowance,
    capacity: f64,
    tokens: f64,
}

impl RetryBudget {
    /// An empty bucket, without capacity until the number of proxies is known.
    #[must_use]
    pub fn new(allowance: RetryAllowance) -> Self {
        RetryBudget { allowance, capacity: 0.0, tokens: 0.0 }
    }

    /// Sets the capacity to the share of the fleet's spare retries that one of `proxy_count` proxies has.
    pub fn set_proxy_count(&mut self, proxy_count: u32) {
        self.capacity = self.allowance.spare * GRANTED_SPARE_FRACTION / f64::from(proxy_count.max(1));
        self.tokens = self.tokens.min(self.capacity);
    }

    /// Records the first send of a request.
    pub fn record_first_send(&mut self) {
        self.tokens = (self.tokens + self.allowance.ratio * GRANTED_RATIO_FRACTION).min(self.capacity);
    }

    /// Takes a token for a retry. Returns false if there is none, in which case the retry must not be sent.
    pub fn take_token(&mut self) -> bool {
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Whether a token is available for a retry.
    #[must_use]
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }
}
