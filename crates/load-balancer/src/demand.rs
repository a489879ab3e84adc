//! Demand as far as one gateway sees it: how much work comes and is done, which part of it each prefix has, and how much
//! of a class's prompts is found cached. No I/O and no clock.

use std::collections::BTreeMap;

use crate::decaying_average::decay_factor;
use crate::types::{ClassIndex, Nanos, Request};

/// What a response costs, as prompt tokens read: a slot is in use about as long as this takes to read.
pub const RESPONSE_COST_TOKENS: f64 = 1000.0;
/// Time constant of the averages, in seconds: some think times of a session, so that all classes are seen.
pub const TIME_CONSTANT_S: f64 = 10.0;
/// A prefix's owners are this multiple of what its part of the demand would fill: one more replica of it costs one
/// reading, while sets of owners that overlap are evened out by being wide.
const OWNER_FACTOR: f64 = 3.0;
/// The mean part that a request's own prefix has of the work, before anything is known: the sum of the parts' squares,
/// some hundredths with Zipf-like demand for some tens to hundreds of prefixes.
const INITIAL_PREFIX_SHARE: f64 = 1.0 / 16.0;
/// Weight of the newest request in that mean; about a minute's where one comes each second.
const PREFIX_SHARE_GAIN: f64 = 0.02;
/// A class's owners are counted anew only when wrong by more than this factor.
const OWNER_TOLERANCE: f64 = 3.0;
/// Prefixes that are remembered before the least used are forgotten.
const MAX_PREFIXES: usize = 256;
/// Weight of the newest response in the means of cached tokens.
const CACHE_GAIN: f64 = 0.05;
/// Weight of the newest request in the mean cost.
const COST_GAIN: f64 = 0.05;

/// Work in prompt tokens, all of it decaying with [`TIME_CONSTANT_S`].
#[derive(Clone, Debug)]
pub struct Demand {
    offered: f64,
    served: f64,
    decayed_at: Nanos,
    prefixes: BTreeMap<u64, PrefixDemand>,
    classes: Vec<ClassDemand>,
    mean_cost: f64,
}

/// The work of one prefix.
#[derive(Clone, Copy, Debug)]
struct PrefixDemand {
    work: f64,
    updated_at: Nanos,
}

/// What is known of a class.
#[derive(Clone, Copy, Debug)]
struct ClassDemand {
    /// The mean part of the work that a request's own prefix has had.
    mean_prefix_share: f64,
    /// The owners by it.
    owner_fraction: f64,
    /// The mean fraction of a prompt that is found cached.
    cached: f64,
    /// The mean fraction of a prompt that is found cached beyond its shared prefix, from earlier turns of its session.
    cached_by_session: f64,
}

impl Default for ClassDemand {
    fn default() -> Self {
        ClassDemand {
            mean_prefix_share: INITIAL_PREFIX_SHARE,
            owner_fraction: INITIAL_PREFIX_SHARE.sqrt(),
            cached: 0.0,
            cached_by_session: 1.0,
        }
    }
}

impl Default for Demand {
    fn default() -> Self {
        Demand {
            offered: 0.0,
            served: 0.0,
            decayed_at: 0,
            prefixes: BTreeMap::new(),
            classes: Vec::new(),
            mean_cost: RESPONSE_COST_TOKENS,
        }
    }
}

impl Demand {
    /// Sets how many classes there are; what is known of those that stay is kept.
    pub fn set_classes(&mut self, count: usize) {
        self.classes.resize(count, ClassDemand::default());
    }

    /// Records a request that is expected to cost so much.
    pub fn record_offered(&mut self, now: Nanos, cost: f64) {
        self.decay(now);
        self.offered += cost;
    }

    /// Records work that was done.
    pub fn record_served(&mut self, now: Nanos, cost: f64) {
        self.decay(now);
        self.served += cost;
    }

    /// Work a second: what was done, or what was offered.
    pub fn work_per_s(&mut self, now: Nanos, is_served: bool) -> f64 {
        self.decay(now);
        if is_served { self.served / TIME_CONSTANT_S } else { self.offered / TIME_CONSTANT_S }
    }

    /// What the request will probably cost, by what its class finds cached.
    #[must_use]
    pub fn expected_cost(&self, request: &Request) -> f64 {
        f64::from(request.prompt_tokens) * (1.0 - self.classes[request.class.0].cached)
            + RESPONSE_COST_TOKENS
    }

    /// The fraction of a prompt of this class that earlier turns of its session left in a cache.
    #[must_use]
    pub fn cached_by_session(&self, class: ClassIndex) -> f64 {
        self.classes[class.0].cached_by_session
    }

    /// Records how much of a prompt was found cached. Returns the work that was done for the request.
    pub fn record_cached(&mut self, request: &Request, cached_tokens: u32) -> f64 {
        let class = &mut self.classes[request.class.0];
        let prompt = f64::from(request.prompt_tokens.max(1));
        let cached = f64::from(cached_tokens) / prompt;
        class.cached += CACHE_GAIN * (cached.clamp(0.0, 1.0) - class.cached);
        let by_session = f64::from(cached_tokens.saturating_sub(request.prefix_tokens));
        class.cached_by_session += CACHE_GAIN * (by_session / prompt - class.cached_by_session);
        f64::from(request.prompt_tokens.saturating_sub(cached_tokens)) + RESPONSE_COST_TOKENS
    }

    /// Takes a request into the mean of full costs.
    pub fn record_cost(&mut self, request: &Request) {
        self.mean_cost += COST_GAIN * (full_cost(request) - self.mean_cost);
    }

    /// The mean of [`full_cost`] over the latest requests.
    #[must_use]
    pub fn mean_cost(&self) -> f64 {
        self.mean_cost
    }

    /// The part of the fleet's size that shares a request's prefix; 0 where it has none. Guards against the pile-up that
    /// no gateway sees: many of them each carrying a few requests of it. All see like samples of the demand, so all come
    /// to like figures. With `is_per_class`, all prefixes of a class have as many.
    pub fn owner_fraction(&mut self, now: Nanos, request: &Request, cost: f64, is_per_class: bool) -> f64 {
        let Some(prefix) = request.prefix.filter(|prefix| *prefix != 0) else { return 0.0 };
        self.forget_idle_prefixes(now);
        let offered = self.offered.max(cost);
        let demand = self.prefixes.entry(prefix).or_insert(PrefixDemand { work: 0.0, updated_at: now });
        demand.work *= decay_factor(now, demand.updated_at, TIME_CONSTANT_S);
        let class = &mut self.classes[request.class.0];
        class.mean_prefix_share += PREFIX_SHARE_GAIN * (demand.work / offered - class.mean_prefix_share);
        // With this request, so that a gateway that has seen little takes each prefix for popular: an owner too many
        // costs one reading, one too few a jam.
        *demand = PrefixDemand { work: demand.work + cost, updated_at: now };
        if is_per_class {
            return class.class_owner_fraction();
        }
        // A prefix that is short beside the rest of the work is cheap to have cached in many places.
        let cheapness = (cost / f64::from(request.prefix_tokens.max(1))).max(1.0);
        OWNER_FACTOR * cheapness * demand.work / offered
    }

    fn forget_idle_prefixes(&mut self, now: Nanos) {
        if self.prefixes.len() >= MAX_PREFIXES {
            self.prefixes.retain(|_, demand| {
                demand.work * decay_factor(now, demand.updated_at, TIME_CONSTANT_S) > RESPONSE_COST_TOKENS
            });
        }
    }

    fn decay(&mut self, now: Nanos) {
        self.offered *= decay_factor(now, self.decayed_at, TIME_CONSTANT_S);
        self.served *= decay_factor(now, self.decayed_at, TIME_CONSTANT_S);
        self.decayed_at = now;
    }
}

impl ClassDemand {
    /// Guards against sessions that move with each turn, as each of many gateways sees little and guesses one prefix's
    /// part by itself: what turns leave in a cache is read anew each time. So all prefixes of a class have as many owners
    /// as its most popular could need (no part is above the root of the sum of their squares), a power of four that stays
    /// until it is clearly wrong, and so the same nearly everywhere.
    fn class_owner_fraction(&mut self) -> f64 {
        let needed = self.mean_prefix_share.max(f64::MIN_POSITIVE).sqrt();
        if (needed / self.owner_fraction).max(self.owner_fraction / needed) > OWNER_TOLERANCE {
            self.owner_fraction = 4f64.powf(needed.log(4.0).round());
        }
        self.owner_fraction
    }
}

/// What a request costs a replica that has nothing of it cached.
#[must_use]
pub fn full_cost(request: &Request) -> f64 {
    f64::from(request.prompt_tokens) + RESPONSE_COST_TOKENS
}
