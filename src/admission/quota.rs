//! Tenants' limits on the messages front: requests and tokens a minute, as token buckets. No I/O and no clock.
//!
//! A bucket holds a minute's worth and fills evenly. A request takes what it is expected to need when it is let in,
//! and what it did need is set right when it ends; that may leave a bucket in debt, which later requests wait for.
//! There is one set of buckets for each tenant that the settings name, so whatever is asked for, the memory stays.

use crate::types::Nanos;

const MINUTE: f64 = 60e9;

/// What a tenant may have in a minute; none: as much as it likes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rates {
    /// Requests.
    pub requests: Option<u64>,
    /// Tokens of prompts, those found kept apart.
    pub input: Option<u64>,
    /// Tokens of answers.
    pub output: Option<u64>,
}

/// What is limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Requests.
    Requests,
    /// Tokens of prompts.
    Input,
    /// Tokens of answers.
    Output,
}

/// All that is limited.
pub const KINDS: [Kind; 3] = [Kind::Requests, Kind::Input, Kind::Output];

/// How a limit stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// Of what.
    pub kind: Kind,
    /// A minute's worth.
    pub limit: u64,
    /// What is left now.
    pub remaining: u64,
    /// When all of it is there again, if nobody asks until then.
    pub full_at: Nanos,
}

/// Why a request has to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Short {
    /// What there is too little of.
    pub kind: Kind,
    /// How long until there is enough, if nobody else takes it.
    pub wait: Nanos,
}

/// What a request was let in with.
#[derive(Clone, Copy, Debug, PartialEq)]
#[must_use = "what is granted is set right when the request ends"]
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

    /// How long until so much is there. Where the clock ran back, filling goes on once it is where it was.
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

    /// Lets a request in that is expected to need so many tokens, or says what it has to wait for: that of which it
    /// has to wait longest. What is more than a minute's worth counts as that, since more is never there.
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

    /// A request has ended: what it did need takes the place of what it was let in with. `None`: nothing of it was
    /// run, so all is given back.
    pub fn settle(&mut self, now: Nanos, grant: Grant, needed: Option<(u64, u64)>) {
        let Some(buckets) = self.tenants.get_mut(grant.tenant) else { return };
        let needed = needed.map_or([0.0; 3], |(input, output)| [1.0, input as f64, output as f64]);
        for ((bucket, taken), needed) in buckets.iter_mut().zip(grant.taken).zip(needed) {
            if let Some(bucket) = bucket {
                bucket.fill(now);
                bucket.level = (bucket.level + taken - needed).min(bucket.limit);
            }
        }
    }

    /// How a tenant's limits stand; none where it has none.
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
