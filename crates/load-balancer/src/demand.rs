//! Demand as observed by one gateway: offered and served work, the share of each prefix, and the cached
//! fraction of the prompts of each class. No I/O and no clock.

use std::collections::BTreeMap;

use crate::decaying_average::decay_factor;
use crate::types::{ClassIndex, Nanos, Request};

/// Cost of decoding a response, in prompt tokens: decoding occupies a concurrency slot of the replica for
/// about as long as the prefill of this number of tokens.
pub const RESPONSE_COST_TOKENS: f64 = 1000.0;
/// Time constant of the averages, in seconds. It covers several pauses between the turns of a session, so that
/// all classes are seen.
pub const TIME_CONSTANT_S: f64 = 10.0;
/// Capacity of all owners of a prefix, as a multiple of the capacity that its share of the demand needs. An
/// additional owner costs one prefill, while larger sets of owners even out the load where sets overlap.
const OWNER_FACTOR: f64 = 3.0;
/// Initial value of [`ClassDemand::mean_prefix_share`]. Its expected value is the sum of the squared shares of
/// all prefixes, a few hundredths for a Zipf distribution over tens to hundreds of prefixes.
const INITIAL_PREFIX_SHARE: f64 = 1.0 / 16.0;
/// Weight of the newest request in the mean prefix share; with one request per second the mean covers about
/// a minute.
const PREFIX_SHARE_GAIN: f64 = 0.02;
/// The owner fraction of a class is updated only if it differs from the needed one by more than this factor.
const OWNER_TOLERANCE: f64 = 3.0;
/// Number of recorded prefixes from which those with at most [`RESPONSE_COST_TOKENS`] of work are removed.
const MAX_PREFIXES: usize = 256;
/// Weight of the newest response in the mean cached fractions.
const CACHE_GAIN: f64 = 0.05;
/// Weight of the newest request in the mean cost.
const COST_GAIN: f64 = 0.05;

/// The observed demand. Work is measured in prompt tokens and decays exponentially with [`TIME_CONSTANT_S`].
#[derive(Clone, Debug)]
pub struct Demand {
    offered: f64,
    served: f64,
    decayed_at: Nanos,
    prefixes: BTreeMap<u64, PrefixDemand>,
    classes: Vec<ClassDemand>,
    mean_cost: f64,
}

/// The offered work of one prefix.
#[derive(Clone, Copy, Debug)]
struct PrefixDemand {
    work: f64,
    updated_at: Nanos,
}

/// The statistics of a class.
#[derive(Clone, Copy, Debug)]
struct ClassDemand {
    /// The mean share of the work that a request's own prefix has.
    mean_prefix_share: f64,
    /// The fraction of the fleet that owns each prefix of the class, see [`ClassDemand::class_owner_fraction`].
    owner_fraction: f64,
    /// The mean cached fraction of a prompt.
    cached: f64,
    /// The mean fraction of a prompt that is cached beyond its shared prefix, from earlier turns of its
    /// session.
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
    /// Sets the number of classes. Statistics of the remaining classes are kept.
    pub fn set_classes(&mut self, count: usize) {
        self.classes.resize(count, ClassDemand::default());
    }

    /// Records an offered request with its expected cost.
    pub fn record_offered(&mut self, now: Nanos, cost: f64) {
        self.decay(now);
        self.offered += cost;
    }

    /// Records served work.
    pub fn record_served(&mut self, now: Nanos, cost: f64) {
        self.decay(now);
        self.served += cost;
    }

    /// Served work in prompt tokens per second if `is_served`, and offered work otherwise.
    pub fn work_per_s(&mut self, now: Nanos, is_served: bool) -> f64 {
        self.decay(now);
        if is_served { self.served / TIME_CONSTANT_S } else { self.offered / TIME_CONSTANT_S }
    }

    /// The expected cost of a request, from the cached fraction of its class.
    #[must_use]
    pub fn expected_cost(&self, request: &Request) -> f64 {
        f64::from(request.prompt_tokens) * (1.0 - self.classes[request.class.0].cached)
            + RESPONSE_COST_TOKENS
    }

    /// The mean fraction of a prompt of this class that is cached from earlier turns of its session.
    #[must_use]
    pub fn cached_by_session(&self, class: ClassIndex) -> f64 {
        self.classes[class.0].cached_by_session
    }

    /// Records the cached tokens of a prompt. Returns the cost of the request without them.
    pub fn record_cached(&mut self, request: &Request, cached_tokens: u32) -> f64 {
        let class = &mut self.classes[request.class.0];
        let prompt = f64::from(request.prompt_tokens.max(1));
        let cached = f64::from(cached_tokens) / prompt;
        class.cached += CACHE_GAIN * (cached.clamp(0.0, 1.0) - class.cached);
        let by_session = f64::from(cached_tokens.saturating_sub(request.prefix_tokens));
        class.cached_by_session += CACHE_GAIN * (by_session / prompt - class.cached_by_session);
        f64::from(request.prompt_tokens.saturating_sub(cached_tokens)) + RESPONSE_COST_TOKENS
    }

    /// Adds the [`full_cost`] of a request to the mean cost.
    pub fn record_cost(&mut self, request: &Request) {
        self.mean_cost += COST_GAIN * (full_cost(request) - self.mean_cost);
    }

    /// The mean of [`full_cost`] over recent requests.
    #[must_use]
    pub fn mean_cost(&self) -> f64 {
        self.mean_cost
    }

    /// The fraction of the fleet that owns the prefix of a request; 0 if the request has none. A popular prefix
    /// needs several owners: many gateways can overload a single owner with a few requests each, and no
    /// gateway notices. Each gateway sees a sample of the same demand, so that their results are similar.
    /// With `is_per_class`, all prefixes of a class have the same owner fraction.
    pub fn owner_fraction(&mut self, now: Nanos, request: &Request, cost: f64, is_per_class: bool) -> f64 {
        let Some(prefix) = request.prefix.filter(|prefix| *prefix != 0) else { return 0.0 };
        self.remove_idle_prefixes(now);
        let offered = self.offered.max(cost);
        let demand = self.prefixes.entry(prefix).or_insert(PrefixDemand { work: 0.0, updated_at: now });
        demand.work *= decay_factor(now, demand.updated_at, TIME_CONSTANT_S);
        let class = &mut self.classes[request.class.0];
        class.mean_prefix_share += PREFIX_SHARE_GAIN * (demand.work / offered - class.mean_prefix_share);
        // The request itself is included, so that a gateway with few requests overestimates the share of a
        // prefix. An unneeded owner costs one prefill, while a missing one overloads the others.
        *demand = PrefixDemand { work: demand.work + cost, updated_at: now };
        if is_per_class {
            return class.class_owner_fraction();
        }
        // A prefix that is short compared to the cost of its requests is cheap to cache at many replicas.
        let cheapness = (cost / f64::from(request.prefix_tokens.max(1))).max(1.0);
        OWNER_FACTOR * cheapness * demand.work / offered
    }

    fn remove_idle_prefixes(&mut self, now: Nanos) {
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
    /// The owner fraction of all prefixes of a class, used where each gateway sees too few requests to
    /// estimate the share of a prefix. Gateways with different estimates would send the turns of a session
    /// to different replicas, and each turn would be prefilled again.
    ///
    /// The result is the largest owner fraction that the most popular prefix can need: no share exceeds the
    /// square root of the sum of squared shares. The fraction is rounded to a power of four and kept until
    /// it is wrong by more than [`OWNER_TOLERANCE`], so that nearly all gateways agree.
    fn class_owner_fraction(&mut self) -> f64 {
        let needed = self.mean_prefix_share.max(f64::MIN_POSITIVE).sqrt();
        if (needed / self.owner_fraction).max(self.owner_fraction / needed) > OWNER_TOLERANCE {
            self.owner_fraction = 4f64.powf(needed.log(4.0).round());
        }
        self.owner_fraction
    }
}

/// The cost, in prompt tokens, of a request at a replica that has none of its prompt cached.
#[must_use]
pub fn full_cost(request: &Request) -> f64 {
    f64::from(request.prompt_tokens) + RESPONSE_COST_TOKENS
}
