//! Who decides: the real module, or one of the plain alternatives that stand beside it.

mod plain;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use serde::Deserialize;
use tulipridge::LoadBalancer;
use tulipridge::types::{Action, Event, Nanos, Settings, SettingsError};

use plain::Plain;

/// The policies that can be played.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum PolicyKind {
    /// The gateway's decision module, `crates/load-balancer/src/balancer/`.
    Module,
    /// Any server, with chances by size: what no knowledge at all gives.
    Random,
    /// One after the other, each gateway from a place of its own.
    RoundRobin,
    /// The one that holds the least of this gateway's requests for its size.
    LeastInFlight,
    /// The better of two drawn by size, by what this gateway has there.
    TwoChoices,
    /// A ring by the shared beginning that walks on past what holds more than 1.25 times this gateway's mean
    /// (consistent hashing with bounded loads, Mirrokni, Thorup and Zadimoghaddam).
    BoundedRing,
    /// The least loaded by the true state of the whole fleet, which no gateway can know: the other end.
    Oracle,
}

impl PolicyKind {
    /// Its name in files and reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            PolicyKind::Module => "module",
            PolicyKind::Random => "random",
            PolicyKind::RoundRobin => "round_robin",
            PolicyKind::LeastInFlight => "least_in_flight",
            PolicyKind::TwoChoices => "two_choices",
            PolicyKind::BoundedRing => "bounded_ring",
            PolicyKind::Oracle => "oracle",
        }
    }
}

/// The true state of the fleet, as the oracle sees it: requests on their way or in hand, and places in the batch,
/// by name.
pub type Truth = Rc<RefCell<BTreeMap<String, (f64, f64)>>>;

/// One gateway's policy.
pub enum Policy {
    /// The real one.
    Module(Box<LoadBalancer>),
    /// A plain one.
    Plain(Box<Plain>),
}

impl Policy {
    /// A gateway that has just started.
    pub fn new(
        kind: PolicyKind,
        settings: Settings,
        seed: u64,
        truth: &Truth,
    ) -> Result<Policy, SettingsError> {
        Ok(match kind {
            PolicyKind::Module => Policy::Module(Box::new(LoadBalancer::new(settings, seed)?)),
            other => Policy::Plain(Box::new(Plain::new(other, settings, seed, Rc::clone(truth)))),
        })
    }

    /// Takes an event; what is to be done is added to `actions`.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        match self {
            Policy::Module(balancer) => balancer.handle(now, event, actions),
            Policy::Plain(plain) => plain.handle(now, event, actions),
        }
    }
}
