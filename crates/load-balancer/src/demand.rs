//! What is asked for, as far as a gateway sees it: how much work comes and is done, and which part of it each beginning
//! has. No I/O and no clock.

use std::collections::BTreeMap;

use crate::types::{Nanos, Request};

/// What an answer costs, as prompt tokens read: a slot is kept about as long as this takes to read.
pub const ANSWER_COST: f64 = 1000.0;
/// Time constant of the averages, in seconds: some think times of a session, so that all classes are seen.
pub const MEMORY: f64 = 10.0;
/// A beginning's owners are this multiple of what its share of the demand would fill: one more copy of it costs one
/// reading, while owners' sets that overlap are evened out by being wide.
const WIDEN: f64 = 3.0;
/// The mean share that a request's own beginning has of the work, before anything is known: the sum of the shares'
/// squares, some hundredths with Zipf-like demand for some tens to hundreds of beginnings.
const COMMON: f64 = 1.0 / 16.0;
/// Weight of the newest request in that mean; about a minute's where one comes each second.
const COMMON_STEP: f64 = 0.02;
/// A class's owners are counted anew only when wrong by more than this factor.
const COMMON_OFF: f64 = 3.0;
/// Beginnings that are remembered before the least asked for are forgotten.
const BEGINNINGS: usize = 256;
const NANOS_PER_SECOND: f64 = 1e9;

/// Work in prompt tokens, all of it fading by [`MEMORY`].
#[derive(Clone, Debug, Default)]
pub struct Demand {
    offered: f64,
    served: f64,
    faded_at: Nanos,
    beginnings: BTreeMap<u64, (f64, Nanos)>,
    classes: Vec<ClassDemand>,
}

/// What is known of a class.
#[derive(Clone, Copy, Debug)]
struct ClassDemand {
    /// The mean share of the work that a request's own beginning has had.
    mean_share: f64,
    /// The owners by it.
    owners: f64,
}

impl Default for ClassDemand {
    fn default() -> Self {
        ClassDemand { mean_share: COMMON, owners: COMMON.sqrt() }
    }
}

impl Demand {
    /// Sets how many classes there are; what is known of those that stay is kept.
    pub fn set_classes(&mut self, count: usize) {
        self.classes.resize(count, ClassDemand::default());
    }

    /// A request comes that costs so much.
    pub fn offer(&mut self, now: Nanos, cost: f64) {
        self.fade(now);
        self.offered += cost;
    }

    /// So much has been done.
    pub fn serve(&mut self, now: Nanos, cost: f64) {
        self.fade(now);
        self.served += cost;
    }

    /// Work a second: what was done, or what was asked for.
    pub fn work(&mut self, now: Nanos, done: bool) -> f64 {
        self.fade(now);
        if done { self.served / MEMORY } else { self.offered / MEMORY }
    }

    /// The part of the fleet's size that shares a request's beginning; 0 where it has none. Guards against the pile-up
    /// that no gateway sees: many of them each carrying a few requests of it. All see like samples of the demand, so
    /// all come to like figures. With `alike`, all beginnings of a class have as many.
    pub fn owners(&mut self, now: Nanos, request: &Request, cost: f64, alike: bool) -> f64 {
        let Some(prefix) = request.prefix.filter(|prefix| *prefix != 0) else { return 0.0 };
        self.forget(now);
        let offered = self.offered.max(cost);
        let (mass, at) = self.beginnings.entry(prefix).or_insert((0.0, now));
        *mass *= fading(now, *at);
        let class = &mut self.classes[request.class];
        class.mean_share += COMMON_STEP * (*mass / offered - class.mean_share);
        // With this request, so that a gateway that has seen little takes each beginning for popular: a copy too many
        // costs one reading, an owner too few a jam.
        (*mass, *at) = (*mass + cost, now);
        if alike {
            return class.common_owners();
        }
        // A beginning that is short beside the rest of the work is cheap to keep in many places.
        let cheap = (cost / f64::from(request.prefix_len.max(1))).max(1.0);
        WIDEN * cheap * *mass / offered
    }

    fn forget(&mut self, now: Nanos) {
        if self.beginnings.len() >= BEGINNINGS {
            self.beginnings.retain(|_, (mass, at)| *mass * fading(now, *at) > ANSWER_COST);
        }
    }

    fn fade(&mut self, now: Nanos) {
        self.offered *= fading(now, self.faded_at);
        self.served *= fading(now, self.faded_at);
        self.faded_at = now;
    }
}

impl ClassDemand {
    /// Guards against sessions that move with each turn, as each of many gateways sees little and guesses one
    /// beginning's share by itself: what turns leave behind is read anew each time. So all of a class have as many as
    /// its most asked-for could need (no share is above the root of the sum of their squares), a power of four that is
    /// kept until it is clearly wrong, and so alike nearly everywhere.
    fn common_owners(&mut self) -> f64 {
        let due = self.mean_share.max(f64::MIN_POSITIVE).sqrt();
        if (due / self.owners).max(self.owners / due) > COMMON_OFF {
            self.owners = 4f64.powf(due.log(4.0).round());
        }
        self.owners
    }
}

/// What a request costs a replica that keeps nothing of it.
#[must_use]
pub fn full_cost(request: &Request) -> f64 {
    f64::from(request.prompt) + ANSWER_COST
}

/// What is left of a figure of an earlier time.
fn fading(now: Nanos, at: Nanos) -> f64 {
    (-(now.saturating_sub(at) as f64) / NANOS_PER_SECOND / MEMORY).exp()
}
