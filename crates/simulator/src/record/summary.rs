//! The statistics of a run, as the report stores them.
//!
//! The names of JSON keys are fixed by existing reports; `serde(rename)` maps them to the fields. The structs are rows of
//! tables, so they have a field for each column.

use serde::{Deserialize, Serialize};

/// The load in one window of [`WINDOW_DURATION`](super::WINDOW_DURATION).
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Window {
    /// Its start, in seconds after the warm-up.
    pub at_s: f64,
    /// Requests in flight at all replicas, on average.
    #[serde(rename = "in_hand")]
    pub in_flight: f64,
    /// Requests in flight over batch size: that of the most loaded replica, relative to the fleet's.
    pub max_over_mean: f64,
    /// Coefficient of variation of these loads.
    pub cv: f64,
    /// Fraction of the time in which one replica is idle while another one has a queue.
    pub idle_while_queued: f64,
    /// Maximum number of requests that reached one replica within [`HERD_INTERVAL`](super::HERD_INTERVAL), ending in this window.
    pub herd: usize,
    /// Load of replicas that replaced others, relative to the fleet's; 0 while there are none.
    #[serde(rename = "fresh_over_mean")]
    pub replacements_over_mean: f64,
    /// Maximum number of connections to one replica that were opened in this window.
    #[serde(rename = "connections_most")]
    pub max_connections: usize,
    /// Calls to the list service.
    pub list_calls: usize,
}

/// Statistics of the requests that arrived in an interval of the run, and of the windows in it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct IntervalSummary {
    /// Its name.
    pub name: String,
    /// Its start, in seconds after the warm-up.
    pub from_s: f64,
    /// Its end, in seconds after the warm-up.
    pub to_s: f64,
    /// Clients' requests.
    #[serde(rename = "first_tries")]
    pub requests: u64,
    /// Fraction of the finished requests that were served in time.
    pub in_time: f64,
    /// Fraction that were served late.
    pub late: f64,
    /// Fraction that were rejected at the last attempt.
    #[serde(rename = "refused")]
    pub rejected: f64,
    /// Fraction that failed or timed out.
    pub failed: f64,
    /// Fraction whose stream broke after the first token.
    pub broken: f64,
    /// Value of the responses over the value of the requests.
    #[serde(rename = "worth")]
    pub value: f64,
    /// Clients' attempts per request.
    #[serde(rename = "tries")]
    pub client_attempts: f64,
    /// Gateways' attempts per request.
    pub attempts: f64,
    /// Fraction of the gateways' attempts with an error response.
    #[serde(default)]
    pub errors: f64,
    /// Clients' attempts that exhausted the gateway's attempts, per request.
    #[serde(default)]
    #[serde(rename = "spent")]
    pub exhausted: f64,
    /// Clients' attempts that were rejected while a healthy replica had free capacity, per request.
    #[serde(default)]
    #[serde(rename = "refused_with_room")]
    pub rejected_with_free_capacity: f64,
    /// Fraction of the served requests' prompt tokens that were found in the cache.
    #[serde(rename = "kept")]
    pub cached: f64,
    /// Time from the client's first attempt to the first token, median, in ms.
    #[serde(rename = "wait_p50_ms")]
    pub first_token_p50_ms: f64,
    /// The same, 99th percentile.
    #[serde(rename = "wait_p99_ms")]
    pub first_token_p99_ms: f64,
    /// Requests in flight on average.
    #[serde(rename = "in_hand")]
    pub in_flight: f64,
    /// Maximum over mean of the loads, median over the windows.
    pub max_over_mean_p50: f64,
    /// The same, 95th percentile.
    pub max_over_mean_p95: f64,
    /// The same, maximum.
    #[serde(rename = "max_over_mean_most")]
    pub max_over_mean_max: f64,
    /// Coefficient of variation, mean over the windows.
    pub cv: f64,
    /// The same of each replica's average over the interval: the persistent part, without random variation.
    #[serde(rename = "cv_lasting")]
    pub cv_of_averages: f64,
    /// Fraction of the time in which one replica is idle while another one has a queue.
    pub idle_while_queued: f64,
    /// Load of replicas that replaced others, relative to the fleet's; mean over the windows.
    #[serde(rename = "fresh_over_mean")]
    pub replacements_over_mean: f64,
    /// Maximum number of requests that reached one replica within [`HERD_INTERVAL`](super::HERD_INTERVAL).
    pub herd: usize,
    /// Maximum number of connections to one replica that were opened in a window.
    #[serde(rename = "connections_most")]
    pub max_connections: usize,
    /// Maximum number of calls to the list service in any second.
    pub list_calls_peak: usize,
    /// Calls to the list service.
    pub list_calls: usize,
}

/// Statistics of one replica over the run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReplicaSummary {
    /// Its name.
    pub name: String,
    /// Its kind of machine.
    pub kind: String,
    /// Requests in flight over batch size, on average after the warm-up.
    pub load: f64,
    /// Requests that reached it.
    pub arrivals: u64,
    /// Gateways' attempts, those that did not reach it included.
    #[serde(default)]
    pub attempts: u64,
    /// Attempts with an error response.
    #[serde(default)]
    pub errors: u64,
    /// Fraction of all rejected attempts of clients at whose time it was healthy and had free capacity.
    #[serde(default)]
    #[serde(rename = "had_room")]
    pub had_free_capacity: f64,
    /// The load in each second after the warm-up; `None` while it was down.
    #[serde(default)]
    pub loads: Vec<Option<f64>>,
}

/// The statistics of a run of one policy.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RunSummary {
    /// The policy.
    pub policy: String,
    /// Events that the gateways handled.
    pub events: u64,
    /// Calls to the list service that failed.
    pub list_calls_failed: u64,
    /// Time from a gateway's start to the first list, median in ms.
    pub list_wait_p50_ms: f64,
    /// The same, maximum.
    pub list_wait_longest_ms: f64,
    /// Gateways that run at the end and have not received the list.
    #[serde(rename = "without_list")]
    pub gateways_without_list: usize,
    /// Maximum work sent to a replica in slow start within the overload window, over what makes it fail.
    #[serde(rename = "cold_worst")]
    pub max_slow_start_overload: f64,
    /// Clients' attempts that were rejected after the warm-up.
    #[serde(default)]
    #[serde(rename = "turned_down")]
    pub rejected: u64,
    /// Intervals: before the faults, during and after each, and all.
    #[serde(rename = "stretches")]
    pub intervals: Vec<IntervalSummary>,
    /// The replicas.
    #[serde(rename = "servers")]
    pub replicas: Vec<ReplicaSummary>,
    /// All windows.
    pub windows: Vec<Window>,
}
