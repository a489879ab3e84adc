//! Rate limits of tenants on the messages front: requests and tokens a minute, as token buckets. No I/O and no clock.
//!
//! A bucket's capacity is the limit of one minute, and it fills evenly. A request is charged what it is expected to need
//! on admission, which is reconciled with what it needed when it ends; a bucket may be in debt then, which delays later
//! requests. Buckets exist for the tenants in the settings only, so the memory is bounded.

use crate::types::Nanos;

const MINUTE: f64 = 60e9;

/// The limits of a tenant per minute; `None`: unlimited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rates {
    /// Requests.
    pub requests: Option<u64>,
    /// Prompt tokens, cached ones excluded.
    pub input: Option<u64>,
    /// Tokens of responses.
    pub output: Option<u64>,
}

/// The kind of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Requests.
    Requests,
    /// Tokens of prompts.
    Input,
    /// Tokens of responses.
    Output,
}

/// All kinds.
pub const KINDS: [Kind; 3] = [Kind::Requests, Kind::Input, Kind::Output];

/// The state of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// Its kind.
    pub kind: Kind,
    /// The limit per minute.
    pub limit: u64,
    /// What remains now.
    pub remaining: u64,
    /// When the bucket is full again if nothing is charged until then.
    pub full_at: Nanos,
}

/// A limit that a request exceeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Short {
    /// The kind of the limit.
    pub kind: Kind,
    /// How long until the request would fit, if nothing else is charged.
    pub wait: Nanos,
}

/// What a request was charged on admission.
#[derive(Clone, Copy, Debug, PartialEq)]
#[must_use = "a grant is reconciled when the request ends"]
pub struct Grant {
    tenant: usize,
    taken: [f64; 3],
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    limit: f64,
    level: f64,
    at: Nanos,
}

impl Bucket {
    fn new(limit: u64) -> Bucket {
        Bucket { limit: limit as f64, level: limit as f64, at: 0 }
    }

    /// Fills it up to now. Time that runs backwards fills nothing.
    fn fill(&mut self, now: Nanos) {
        let gone = now.saturating_sub(self.at) as f64;
        self.level = (self.level + self.limit * gone / MINUTE).min(self.limit);
        self.at = self.at.max(now);
    }

    /// How long until `amount` is available. After the clock ran backwards, filling resumes at the earlier time.
    fn wait(&self, now: Nanos, amount: f64) -> Nanos {
        let missing = amount - self.level;
        if missing <= 0.0 {
            return 0;
        }
        (missing / self.limit * MINUTE).ceil() as Nanos + self.at.saturating_sub(now)
    }
}

/// The buckets of all tenants.
#[derive(Clone, Debug, Default)]
pub struct Quota {
    tenants: Vec<[Option<Bucket>; 3]>,
}

impl Quota {
    /// The tenants' rates, in the order of their numbers; tenants beyond have none.
    #[must_use]
    pub fn new(rates: &[Rates]) -> Quota {
        let buckets = |r: &Rates| [r.requests, r.input, r.output].map(|limit| limit.map(Bucket::new));
        Quota { tenants: rates.iter().map(buckets).collect() }
    }

    /// Admits a request that is expected to need so many tokens, or returns the limit that it has to wait longest for. An
    /// amount above a bucket's capacity counts as the capacity.
    ///
    /// # Errors
    ///
    /// `Short` if one of the tenant's buckets has too little left; nothing is taken from any of them then.
    pub fn admit(
        &mut self,
        now: Nanos,
        tenant: usize,
        input: u64,
        output: u64,
    ) -> Result<Option<Grant>, Short> {
        let Some(buckets) = self.tenants.get_mut(tenant) else { return Ok(None) };
        if buckets.iter().all(Option::is_none) {
            return Ok(None);
        }
        let mut taken = [1.0, input as f64, output as f64];
        let mut short: Option<Short> = None;
        for ((bucket, amount), kind) in buckets.iter_mut().zip(&mut taken).zip(KINDS) {
            let Some(bucket) = bucket else {
                *amount = 0.0;
                continue;
            };
            bucket.fill(now);
            *amount = amount.min(bucket.limit);
            let wait = bucket.wait(now, *amount);
            if wait > 0 && short.is_none_or(|s| s.wait < wait) {
                short = Some(Short { kind, wait });
            }
        }
        if let Some(short) = short {
            return Err(short);
        }
        for (bucket, amount) in buckets.iter_mut().zip(taken) {
            if let Some(bucket) = bucket {
                bucket.level -= amount;
            }
        }
        Ok(Some(Grant { tenant, taken }))
    }

    /// Replaces what a request was charged on admission by what it needed. `None`: it was not run, so all is refunded.
    pub fn reconcile(&mut self, now: Nanos, grant: Grant, needed: Option<(u64, u64)>) {
        let Some(buckets) = self.tenants.get_mut(grant.tenant) else { return };
        let needed = needed.map_or([0.0; 3], |(input, output)| [1.0, input as f64, output as f64]);
        for ((bucket, taken), needed) in buckets.iter_mut().zip(grant.taken).zip(needed) {
            if let Some(bucket) = bucket {
                bucket.fill(now);
                bucket.level = (bucket.level + taken - needed).min(bucket.limit);
            }
        }
    }

    /// The state of a tenant's limits; empty if it has none.
    pub fn standing(&mut self, now: Nanos, tenant: usize) -> Vec<Standing> {
        let Some(buckets) = self.tenants.get_mut(tenant) else { return Vec::new() };
        let mut standing = Vec::new();
        for (bucket, kind) in buckets.iter_mut().zip(KINDS) {
            if let Some(bucket) = bucket {
                bucket.fill(now);
                standing.push(Standing {
                    kind,
                    limit: bucket.limit as u64,
                    remaining: bucket.level.max(0.0) as u64,
                    full_at: now.saturating_add(bucket.wait(now, bucket.limit)),
                });
            }
        }
        standing
    }
}
