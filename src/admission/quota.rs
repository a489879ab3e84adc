//! Rate limits of tenants in the messages API, as token buckets of requests and tokens per minute. No I/O and no
//! clock.
//!
//! A bucket's capacity is the limit of one minute, and it fills at a constant rate. A request is charged its expected
//! use on admission, which is reconciled with what it used when it ends; a bucket may be in debt then, which delays
//! later requests. Only tenants in the settings have buckets, so the memory is bounded.

use crate::types::Nanos;

const NANOS_PER_MINUTE: f64 = 60e9;

/// The limits of a tenant per minute; `None`: unlimited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rates {
    /// Requests per minute.
    pub requests: Option<u64>,
    /// Input tokens per minute, without cached ones.
    pub input: Option<u64>,
    /// Output tokens per minute.
    pub output: Option<u64>,
}

/// The kind of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitKind {
    /// Requests.
    Requests,
    /// Input tokens.
    Input,
    /// Output tokens.
    Output,
}

/// All kinds of limits.
pub const LIMIT_KINDS: [LimitKind; 3] = [LimitKind::Requests, LimitKind::Input, LimitKind::Output];

/// The state of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitStatus {
    /// The kind of the limit.
    pub kind: LimitKind,
    /// The limit per minute.
    pub limit: u64,
    /// Requests or tokens that remain now; 0 if the bucket is negative.
    pub remaining: u64,
    /// When the bucket is full again if nothing is charged until then.
    pub full_at: Nanos,
}

/// A limit that a request exceeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitExceeded {
    /// The kind of the limit.
    pub kind: LimitKind,
    /// Time until the request would be admitted if nothing else is charged.
    pub wait: Nanos,
}

/// The amounts that a request was charged on admission.
#[derive(Clone, Copy, Debug, PartialEq)]
#[must_use = "a grant is reconciled when the request ends"]
pub struct Grant {
    tenant: usize,
    charged: [f64; 3],
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    limit: f64,
    level: f64,
    filled_at: Nanos,
}

impl Bucket {
    fn new(limit: u64) -> Bucket {
        Bucket { limit: limit as f64, level: limit as f64, filled_at: 0 }
    }

    /// Refills the bucket up to `now`. A clock that runs backwards adds nothing.
    fn fill(&mut self, now: Nanos) {
        let elapsed = now.saturating_sub(self.filled_at) as f64;
        self.level = (self.level + self.limit * elapsed / NANOS_PER_MINUTE).min(self.limit);
        self.filled_at = self.filled_at.max(now);
    }

    /// Time until `amount` is available. After the clock ran backwards, filling resumes when it reaches the last fill
    /// again.
    fn wait(&self, now: Nanos, amount: f64) -> Nanos {
        let missing = amount - self.level;
        if missing <= 0.0 {
            return 0;
        }
        (missing / self.limit * NANOS_PER_MINUTE).ceil() as Nanos + self.filled_at.saturating_sub(now)
    }
}

/// The buckets of all tenants.
#[derive(Clone, Debug, Default)]
pub struct Quota {
    tenants: Vec<[Option<Bucket>; 3]>,
}

impl Quota {
    /// Creates full buckets for tenants in the order of their indexes; tenants without an entry are unlimited.
    #[must_use]
    pub fn new(rates: &[Rates]) -> Quota {
        let buckets =
            |rates: &Rates| [rates.requests, rates.input, rates.output].map(|limit| limit.map(Bucket::new));
        Quota { tenants: rates.iter().map(buckets).collect() }
    }

    /// Admits a request with its expected use of tokens, or returns the limit that it has to wait longest for. An
    /// amount above a bucket's capacity counts as the capacity.
    ///
    /// # Errors
    ///
    /// `LimitExceeded` if one of the tenant's buckets has too little left; then nothing is charged to any of them.
    pub fn admit(
        &mut self,
        now: Nanos,
        tenant: usize,
        input: u64,
        output: u64,
    ) -> Result<Option<Grant>, LimitExceeded> {
        let Some(buckets) = self.tenants.get_mut(tenant) else { return Ok(None) };
        if buckets.iter().all(Option::is_none) {
            return Ok(None);
        }
        let mut charged = [1.0, input as f64, output as f64];
        let mut exceeded: Option<LimitExceeded> = None;
        for ((bucket, amount), kind) in buckets.iter_mut().zip(&mut charged).zip(LIMIT_KINDS) {
            let Some(bucket) = bucket else {
                *amount = 0.0;
                continue;
            };
            bucket.fill(now);
            *amount = amount.min(bucket.limit);
            let wait = bucket.wait(now, *amount);
            if wait > 0 && exceeded.is_none_or(|longest| longest.wait < wait) {
                exceeded = Some(LimitExceeded { kind, wait });
            }
        }
        if let Some(exceeded) = exceeded {
            return Err(exceeded);
        }
        for (bucket, amount) in buckets.iter_mut().zip(charged) {
            if let Some(bucket) = bucket {
                bucket.level -= amount;
            }
        }
        Ok(Some(Grant { tenant, charged }))
    }

    /// Replaces the charge of a request by its actual use. `None`: it was not run, so all is refunded.
    pub fn reconcile(&mut self, now: Nanos, grant: Grant, used: Option<(u64, u64)>) {
        let Some(buckets) = self.tenants.get_mut(grant.tenant) else { return };
        let used = used.map_or([0.0; 3], |(input, output)| [1.0, input as f64, output as f64]);
        for ((bucket, charged), used) in buckets.iter_mut().zip(grant.charged).zip(used) {
            if let Some(bucket) = bucket {
                bucket.fill(now);
                bucket.level = (bucket.level + charged - used).min(bucket.limit);
            }
        }
    }

    /// The state of a tenant's limits; empty if the tenant has none.
    pub fn status(&mut self, now: Nanos, tenant: usize) -> Vec<LimitStatus> {
        let Some(buckets) = self.tenants.get_mut(tenant) else { return Vec::new() };
        let mut statuses = Vec::new();
        for (bucket, kind) in buckets.iter_mut().zip(LIMIT_KINDS) {
            if let Some(bucket) = bucket {
                bucket.fill(now);
                statuses.push(LimitStatus {
                    kind,
                    limit: bucket.limit as u64,
                    remaining: bucket.level.max(0.0) as u64,
                    full_at: now.saturating_add(bucket.wait(now, bucket.limit)),
                });
            }
        }
        statuses
    }
}
