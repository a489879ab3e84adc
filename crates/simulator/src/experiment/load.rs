//! What arrives in an experiment: the rate, its phases, and whose requests of which class they are.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;

use tulipridge::types::Nanos;

use crate::time::nanos;

/// What arrives, in open loop: nobody waits for an answer before the next one comes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// First tries a second, over the whole fleet.
    pub rate: f64,
    /// Mean time between two turns of a session.
    #[serde(with = "humantime_serde")]
    pub think: Duration,
    /// Times at which more or less comes.
    #[serde(default)]
    pub phases: BTreeMap<String, LoadPhase>,
}

impl Load {
    /// The multiple of the rate at a time since the warm-up's end, negative before it.
    pub(super) fn factor_at(&self, since: f64) -> f64 {
        self.phases.values().fold(1.0, |factor, phase| factor * phase.factor_at(since))
    }

    /// The most that the multiple may come to.
    pub(super) fn factor_most(&self) -> f64 {
        self.phases.values().map(|phase| phase.factor.max(1.0)).product()
    }
}

/// A burst, or a ramp where `ramp` is set.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPhase {
    /// Its start, after the warm-up.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// Its length.
    #[serde(with = "humantime_serde")]
    pub lasts: Duration,
    /// The rate is multiplied by this.
    pub factor: f64,
    /// The factor is reached evenly by the end instead of at once.
    #[serde(default)]
    pub ramp: bool,
}

impl LoadPhase {
    /// The multiple that this phase alone brings; 1 outside it.
    fn factor_at(&self, since: f64) -> f64 {
        let length: Nanos = nanos(self.lasts).max(1);
        let part = (since - nanos(self.at) as f64) / length as f64;
        match (0.0..1.0).contains(&part) {
            true if self.ramp => 1.0 + (self.factor - 1.0) * part,
            true => self.factor,
            false => 1.0,
        }
    }
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its part of the sessions.
    pub share: f64,
    /// Mean turns of a session.
    pub turns: f64,
    /// Shared beginnings that there are.
    pub beginnings: u32,
    /// Their popularity falls with the rank to this power (Zipf).
    pub zipf: f64,
    /// Tokens of a shared beginning, least and most.
    pub beginning: [u32; 2],
    /// Tokens that each turn adds.
    pub adds: [u32; 2],
    /// Tokens of an answer.
    pub answer: [u32; 2],
    /// The time to the first token that is wanted ...
    #[serde(with = "humantime_serde")]
    pub aim: Duration,
    /// ... plus so much for each 1,000 tokens of the prompt.
    #[serde(with = "humantime_serde")]
    pub aim_per_1000: Duration,
    /// The client's whole patience.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// Worth of an answer in time.
    pub worth: f64,
    /// Share of it that a late answer earns.
    pub late_worth: f64,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its part of the traffic, and of the service that is its own.
    pub share: f64,
    /// Requests a second within its share.
    pub quota: f64,
}

/// The clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// Tries after the first.
    pub retries: u32,
    /// A try is given up after this part of the class's deadline.
    pub try_share: f64,
    /// Pause before a retry.
    #[serde(with = "humantime_serde")]
    pub backoff: Duration,
    /// Part of the clients that stay away as long as they are told.
    pub honour: f64,
}
