//! Names in requests, replica lists and settings, and the dialects of requests.

use std::collections::BTreeMap;

use serde::Deserialize;

use crate::types::{LoadMetric, Member, Nanos, Phase, ReplicaId};

/// The format of requests and event streams.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Dialect {
    /// Chat completions, the dialect of the platform.
    #[default]
    Platform,
    /// The messages API, whose streams have named events.
    Messages,
}

/// An entry of the replica list.
#[derive(Clone, Debug, Deserialize)]
pub struct ServiceEntry {
    /// The identifier of the replica.
    pub id: String,
    /// The address at which this gateway reaches the replica.
    #[serde(default)]
    pub addr: String,
    /// The name of the zone.
    #[serde(default)]
    pub zone: String,
    /// The name of the kind of machine.
    #[serde(default)]
    pub kind: String,
    /// The number of the cell.
    #[serde(default)]
    pub cell: u64,
    /// The lifecycle state.
    pub state: ReplicaState,
    /// The weight; `weight-source` in the settings defines its meaning.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// The last start in Unix milliseconds; 0 if it was long ago.
    #[serde(default)]
    pub started_ms: f64,
}

fn default_weight() -> f64 {
    1.0
}

/// The lifecycle state of a replica in the replica list. Greater values are more restrictive.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "lowercase")]
pub enum ReplicaState {
    /// The replica accepts requests.
    Ready,
    /// The replica accepts no new requests.
    Draining,
    /// The replica has left the fleet.
    Gone,
}

/// A response of the list service.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Listing {
    /// The version of the list.
    #[serde(default)]
    pub version: u64,
    /// Whether the response is the full list and not only its changes.
    #[serde(default, rename = "full")]
    pub is_full: bool,
    /// The entries, at most one for each replica after [`Listing::correct`].
    #[serde(default, rename = "servers")]
    pub entries: Vec<ServiceEntry>,
}

/// The valid range of weights.
const WEIGHT_RANGE: std::ops::RangeInclusive<f64> = 1e-3..=1e4;
/// The maximum clock difference, in milliseconds, by which the start of a replica may be ahead of this machine's time.
const MAX_CLOCK_LEAD_MS: f64 = 60_000.0;

impl Listing {
    /// Replaces invalid values, at the Unix time `now_ms`, and returns the replica and the reason for each. This prevents
    /// updates that would direct all requests to one replica, keep a replica in slow start forever, or send requests to a
    /// draining replica: of several entries for one replica, the most restrictive state is used.
    pub fn correct(&mut self, now_ms: f64) -> Vec<(String, &'static str)> {
        let mut faults = Vec::new();
        let mut positions = BTreeMap::new();
        for entry in std::mem::take(&mut self.entries) {
            let position = *positions.entry(entry.id.clone()).or_insert(self.entries.len());
            match self.entries.get_mut(position) {
                Some(first) => {
                    first.state = first.state.max(entry.state);
                    faults.push((entry.id, "duplicate entry; the more restrictive state is used"));
                }
                None => self.entries.push(entry),
            }
        }
        for entry in &mut self.entries {
            if !WEIGHT_RANGE.contains(&entry.weight) {
                faults.push((entry.id.clone(), "weight out of range; 1 is used"));
                entry.weight = 1.0;
            }
            if !(0.0..=now_ms + MAX_CLOCK_LEAD_MS).contains(&entry.started_ms) {
                faults.push((entry.id.clone(), "invalid start time; the current time is used"));
                entry.started_ms = now_ms;
            }
        }
        faults
    }
}

/// The names in requests and replica lists, with the settings that depend on them.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// The names of the classes, in the order of the settings.
    pub classes: Vec<String>,
    /// The names of the tenants, in the order of the settings.
    pub tenants: Vec<String>,
    /// The names of the zones by their numbers.
    pub zones: Vec<String>,
    /// The names of the kinds of machine by their numbers.
    pub kinds: Vec<String>,
    /// The names of the values in a load report, in the order of the settings.
    pub load_metrics: Vec<String>,
    /// The deadlines of the classes.
    pub deadlines: Vec<Nanos>,
    /// For each class, in the order of the settings: whether its requests are idempotent, so that one may run twice
    /// without harm.
    pub is_class_idempotent: Vec<bool>,
    /// The class index by model, for the messages front.
    pub models: BTreeMap<String, usize>,
    /// The class index for all other models.
    pub default_class: usize,
    /// The tenant index for requests on the messages front that name no tenant.
    pub default_tenant: Option<usize>,
    /// The dialects of replicas by their kind; other kinds have the platform dialect.
    pub dialects: BTreeMap<String, Dialect>,
}

impl Names {
    /// The index of a class; `None` if the name is unknown.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|n| n == name)
    }

    /// The index of a tenant; `None` if the name is unknown.
    #[must_use]
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.iter().position(|n| n == name)
    }

    /// The dialect of the replicas of a kind.
    #[must_use]
    pub fn dialect(&self, kind: &str) -> Dialect {
        self.dialects.get(kind).copied().unwrap_or_default()
    }

    /// Converts an entry of the list for the load balancer. New zones and kinds get the next numbers.
    pub fn member(&mut self, entry: &ServiceEntry) -> Member {
        Member {
            id: ReplicaId::from(entry.id.as_str()),
            units: entry.weight,
            zone: number_of(&mut self.zones, &entry.zone),
            kind: number_of(&mut self.kinds, &entry.kind),
            cell: entry.cell,
            phase: match entry.state {
                ReplicaState::Ready => Phase::Ready,
                ReplicaState::Draining => Phase::Draining,
                ReplicaState::Gone => Phase::Gone,
            },
            // The load balancer's clock is also Unix time, in nanoseconds.
            started: (entry.started_ms > 0.0).then_some((entry.started_ms * 1e6) as Nanos),
        }
    }

    /// Parses a load report (`TEXT util=0.6, eps=0`) into values in the order of the settings. A value that is missing or
    /// out of range is NaN.
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

/// The number of a name; a new name gets the next number. All names beyond the first 65,535 share the number 65,535.
pub fn number_of(names: &mut Vec<String>, name: &str) -> u16 {
    let index = names.iter().position(|n| n == name).unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    });
    index.min(usize::from(u16::MAX)) as u16
}

/// The load metric that a name in load reports stands for.
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
