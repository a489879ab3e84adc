//! What requests, lists and settings call things, and the dialects that they speak.

use std::collections::BTreeMap;

use serde::Deserialize;

use crate::types::{LoadMetric, Member, Nanos, Phase, ReplicaId};

/// A way to speak of requests and streams.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Dialect {
    /// The platform's: chat completions.
    #[default]
    Platform,
    /// The messages API's, with named events.
    Messages,
}

/// A line of discovery's list.
#[derive(Clone, Debug, Deserialize)]
pub struct ServiceEntry {
    /// The replica's id.
    pub id: String,
    /// Its address for this gateway.
    #[serde(default)]
    pub addr: String,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// Its kind of machine.
    #[serde(default)]
    pub kind: String,
    /// Its cell.
    #[serde(default)]
    pub cell: u64,
    /// Its state.
    pub state: State,
    /// Its size, as the settings say.
    #[serde(default = "one")]
    pub weight: f64,
    /// Its last start in Unix milliseconds; 0 is long ago.
    #[serde(default)]
    pub started_ms: f64,
}

fn one() -> f64 {
    1.0
}

/// What discovery says of a replica.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It runs.
    Ready,
    /// It wants nothing new.
    Draining,
    /// It has left.
    Gone,
}

/// A response of discovery.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Listing {
    /// The list's version.
    #[serde(default)]
    pub version: u64,
    /// It is the whole list.
    #[serde(default)]
    pub full: bool,
    /// The entries.
    #[serde(default)]
    pub servers: Vec<ServiceEntry>,
}

/// Sizes that a replica may have, beside those of others.
const WEIGHTS: std::ops::RangeInclusive<f64> = 1e-3..=1e4;
/// A start further ahead of this machine's clock, in milliseconds, is no start: clocks differ by less.
const AHEAD_MS: f64 = 60_000.0;

impl Listing {
    /// Corrects what can't be right, at `now_ms` of Unix time, and names it. Guards against updates that would
    /// draw all requests to one replica, keep one cold for ever, or send work to what drains: of two entries
    /// for one replica in one listing the one that wants nothing new counts.
    pub fn correct(&mut self, now_ms: f64) -> Vec<(String, &'static str)> {
        let mut faults = Vec::new();
        let mut positions = BTreeMap::new();
        for entry in std::mem::take(&mut self.servers) {
            let position = *positions.entry(entry.id.clone()).or_insert(self.servers.len());
            match self.servers.get_mut(position) {
                Some(first) => {
                    first.state = first.state.max(entry.state);
                    faults.push((entry.id, "named twice, the word that wants nothing new counts"));
                }
                None => self.servers.push(entry),
            }
        }
        for entry in &mut self.servers {
            if !WEIGHTS.contains(&entry.weight) {
                faults.push((entry.id.clone(), "a weight that no machine has, taken for 1"));
                entry.weight = 1.0;
            }
            if !(0.0..=now_ms + AHEAD_MS).contains(&entry.started_ms) {
                faults.push((entry.id.clone(), "a start that can't be, taken for now"));
                entry.started_ms = now_ms;
            }
        }
        faults
    }
}

/// The names that requests and lists use, with what goes with them.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// The classes' names.
    pub classes: Vec<String>,
    /// The tenants' names.
    pub tenants: Vec<String>,
    /// The zones' names.
    pub zones: Vec<String>,
    /// The kinds' names.
    pub kinds: Vec<String>,
    /// The names of a load report's values, in the settings' order.
    pub load_metrics: Vec<String>,
    /// The classes' deadlines.
    pub deadlines: Vec<Nanos>,
    /// The classes of which a second run does no harm.
    pub safe: Vec<bool>,
    /// Classes by model, for the messages front.
    pub models: BTreeMap<String, usize>,
    /// The class of models that `models` does not contain.
    pub default_class: usize,
    /// The tenant of requests on the messages front that name none; `None` if they have none.
    pub default_tenant: Option<usize>,
    /// Dialects of replicas by their kind.
    pub dialects: BTreeMap<String, Dialect>,
}

impl Names {
    /// A class's index.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|n| n == name)
    }

    /// A tenant's index.
    #[must_use]
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.iter().position(|n| n == name)
    }

    /// The dialect of a kind of replica.
    #[must_use]
    pub fn dialect(&self, kind: &str) -> Dialect {
        self.dialects.get(kind).copied().unwrap_or_default()
    }

    /// A service entry as the load balancer takes it. New zones and kinds get the next numbers.
    pub fn member(&mut self, entry: &ServiceEntry) -> Member {
        Member {
            id: ReplicaId::from(entry.id.as_str()),
            units: entry.weight,
            zone: number_of(&mut self.zones, &entry.zone),
            kind: number_of(&mut self.kinds, &entry.kind),
            cell: entry.cell,
            phase: match entry.state {
                State::Ready => Phase::Ready,
                State::Draining => Phase::Draining,
                State::Gone => Phase::Gone,
            },
            // The load balancer's clock is Unix time too.
            started: (entry.started_ms > 0.0).then_some((entry.started_ms * 1e6) as Nanos),
        }
    }

    /// A load report (`TEXT util=0.6, eps=0`) in the settings' order; a value that is missing,
    /// or out of all range, is not a number.
    #[must_use]
    pub fn report(&self, text: &str) -> Vec<f64> {
        let pairs = text.split([',', ' ']).filter_map(|p| p.split_once('='));
        let parsed = pairs.filter_map(|(name, value)| Some((name, value.parse().ok()?)));
        let values: BTreeMap<&str, f64> = parsed.filter(|(_, value)| (0.0..=1e6).contains(value)).collect();
        self.load_metrics
            .iter()
            .map(|name| values.get(name.as_str()).copied().unwrap_or(f64::NAN))
            .collect()
    }
}

/// A name's number; a new one gets the next.
pub fn number_of(names: &mut Vec<String>, name: &str) -> u16 {
    let known = names.iter().position(|n| n == name).unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    });
    known.min(usize::from(u16::MAX)) as u16
}

/// What load reports call a value.
#[must_use]
pub fn load_metric_named(name: &str) -> LoadMetric {
    match name {
        "inflight" => LoadMetric::InFlight,
        "queue" => LoadMetric::Queue,
        "util" => LoadMetric::Utilisation,
        "latency_ms" => LoadMetric::Latency,
        "qps" => LoadMetric::Rate,
        "eps" => LoadMetric::Errors,
        "x0" => LoadMetric::Memory,
        "x1" => LoadMetric::Unread,
        _ => LoadMetric::Other,
    }
}
