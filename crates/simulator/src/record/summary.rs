//! Statistics of a run in the form stored in reports.
//!
//! Existing reports fix the names of JSON keys, which `serde(rename)` maps to fields. The structs have a field for each
//! column, since they are rows of tables.

use serde::{Deserialize, Serialize};

/// Load in one window, of [`WINDOW_DURATION`](super::WINDOW_DURATION).
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Window {
    /// Start in seconds after the warm-up.
    pub at_s: f64,
    /// Average number of requests in flight at all replicas.
    #[serde(rename = "in_hand")]
    pub in_flight: f64,
    /// Load of the most loaded replica relative to the fleet's. Load is requests in flight over batch size.
    pub max_over_mean: f64,
    /// Coefficient of variation of the replicas' loads.
    pub cv: f64,
    /// Fraction of the time during which one replica is idle while another one has a queue.
    pub idle_while_queued: f64,
    /// Maximum number of requests that reached one replica within a [`HERD_INTERVAL`](super::HERD_INTERVAL) that ends in
    /// this window.
    pub herd: usize,
    /// Load of replacement replicas relative to the fleet's; 0 without such replicas.
    #[serde(rename = "fresh_over_mean")]
    pub replacements_over_mean: f64,
    /// Maximum number of connections opened to one replica in this window.
    #[serde(rename = "connections_most")]
    pub max_connections: usize,
    /// Calls to the list service.
    pub list_calls: usize,
}

/// Statistics of the requests that arrived in an interval of the run, and of the windows in it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct IntervalSummary {
    /// Name: `before`, `in FAULT`, `after FAULT` or `all`.
    pub name: String,
    /// Start in seconds after the warm-up.
    pub from_s: f64,
    /// End in seconds after the warm-up.
    pub to_s: f64,
    /// Requests of clients, not counting retries.
    #[serde(rename = "first_tries")]
    pub requests: u64,
    /// Fraction of the finished requests that were served in time.
    pub in_time: f64,
    /// Fraction of the finished requests that were served late.
    pub late: f64,
    /// Fraction of the finished requests whose last attempt was rejected.
    #[serde(rename = "refused")]
    pub rejected: f64,
    /// Fraction of the finished requests whose last attempt failed or timed out.
    pub failed: f64,
    /// Fraction of the finished requests whose stream broke after the first token.
    pub broken: f64,
    /// Value of the responses, relative to that of serving all finished requests in time.
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
    /// Clients' attempts that failed after the gateway used all of its attempts, per request.
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
    /// Time from the client's first attempt to the first token, 99th percentile, in ms.
    #[serde(rename = "wait_p99_ms")]
    pub first_token_p99_ms: f64,
    /// Average number of requests in flight.
    #[serde(rename = "in_hand")]
    pub in_flight: f64,
    /// Load of the most loaded replica relative to the fleet's, median over the windows.
    pub max_over_mean_p50: f64,
    /// Load of the most loaded replica relative to the fleet's, 95th percentile over the windows.
    pub max_over_mean_p95: f64,
    /// Load of the most loaded replica relative to the fleet's, maximum over the windows.
    #[serde(rename = "max_over_mean_most")]
    pub max_over_mean_max: f64,
    /// Coefficient of variation of the replicas' loads, mean over the windows.
    pub cv: f64,
    /// Coefficient of variation of the replicas' average loads over the interval: the persistent part, without random
    /// variation.
    #[serde(rename = "cv_lasting")]
    pub cv_of_averages: f64,
    /// Fraction of the time during which one replica is idle while another one has a queue.
    pub idle_while_queued: f64,
    /// Load of replacement replicas relative to the fleet's, mean over the windows.
    #[serde(rename = "fresh_over_mean")]
    pub replacements_over_mean: f64,
    /// Maximum number of requests that reached one replica within a [`HERD_INTERVAL`](super::HERD_INTERVAL).
    pub herd: usize,
    /// Maximum number of connections opened to one replica in a window.
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
    /// Name in the list.
    pub name: String,
    /// Name of the machine kind.
    pub kind: String,
    /// Average of requests in flight over batch size, after the warm-up.
    pub load: f64,
    /// Requests that reached the replica.
    pub arrivals: u64,
    /// Gateways' attempts, including those that did not reach the replica.
    #[serde(default)]
    pub attempts: u64,
    /// Attempts with an error response.
    #[serde(default)]
    pub errors: u64,
    /// Fraction of the fleet's rejections of clients' attempts at which this replica was healthy and had free capacity.
    #[serde(default)]
    #[serde(rename = "had_room")]
    pub free_capacity_at_rejections: f64,
    /// Average load in each second after the warm-up; `None` if the replica was down throughout.
    #[serde(default)]
    pub loads: Vec<Option<f64>>,
}

/// The statistics of a run of one policy.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RunSummary {
    /// Name of the policy.
    pub policy: String,
    /// Events passed to the gateways' policies.
    pub events: u64,
    /// Calls to the list service that timed out or were rejected.
    pub list_calls_failed: u64,
    /// Time from a gateway's start to its first complete list, median, in ms.
    pub list_wait_p50_ms: f64,
    /// Time from a gateway's start to its first complete list, maximum, in ms.
    pub list_wait_longest_ms: f64,
    /// Gateways that are running at the end and have not received a complete list.
    #[serde(rename = "without_list")]
    pub gateways_without_list: usize,
    /// Maximum work sent to a replica in slow start within the overload window, relative to the work that overloads it.
    #[serde(rename = "cold_worst")]
    pub max_slow_start_overload: f64,
    /// Clients' attempts rejected after the warm-up.
    #[serde(default)]
    #[serde(rename = "turned_down")]
    pub rejected: u64,
    /// Intervals: before the faults, during and after each fault, and the complete run.
    #[serde(rename = "stretches")]
    pub intervals: Vec<IntervalSummary>,
    /// Statistics of each replica.
    #[serde(rename = "servers")]
    pub replicas: Vec<ReplicaSummary>,
    /// All windows after the warm-up.
    pub windows: Vec<Window>,
}
