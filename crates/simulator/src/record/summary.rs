//! The figures of a run, as they are written down.

use serde::{Deserialize, Serialize};

/// One window of [`WINDOW`](super::WINDOW).
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Window {
    /// Its start in seconds, the warm-up's end being 0.
    pub at_s: f64,
    /// Requests in hand over all real servers, on average.
    pub in_hand: f64,
    /// Requests in hand over places in the batch: that of the most loaded real server, beside the fleet's.
    pub max_over_mean: f64,
    /// Standard deviation of these loads over the fleet's.
    pub cv: f64,
    /// Share of the time in which one real server is idle while another has a queue.
    pub idle_while_queued: f64,
    /// Most requests that reached one real server within [`HERD`](super::HERD), ending in this window.
    pub herd: usize,
    /// Load of the real servers that came in place of others, beside the fleet's; 0 while there are none.
    pub fresh_over_mean: f64,
    /// Most connections that one real server was asked for in this window.
    pub connections_most: usize,
    /// Calls that reached the list service.
    pub list_calls: usize,
}

/// Figures of a stretch of the run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Stretch {
    /// What it is.
    pub name: String,
    /// From, in seconds after the warm-up.
    pub from_s: f64,
    /// To.
    pub to_s: f64,
    /// Requests that clients began in it.
    pub first_tries: u64,
    /// Shares of those that came to an end.
    pub in_time: f64,
    /// Served, late.
    pub late: f64,
    /// Refused at the last try.
    pub refused: f64,
    /// Failed or given up.
    pub failed: f64,
    /// Lost after the first token.
    pub broken: f64,
    /// Worth earned over the worth asked for.
    pub worth: f64,
    /// Clients' tries for each first try.
    pub tries: f64,
    /// Gateways' attempts for each first try.
    pub attempts: f64,
    /// Share of the attempts that a real server answered with an error.
    #[serde(default)]
    pub errors: f64,
    /// Clients' tries that ran out of attempts, for each first try.
    #[serde(default)]
    pub spent: f64,
    /// Clients' tries that were turned down while some sound, warm real server had no queue, for each first try.
    #[serde(default)]
    pub refused_with_room: f64,
    /// Prompt tokens found kept, over all prompt tokens of answers that were served.
    pub kept: f64,
    /// From the client's first try to its first token, median, in ms.
    pub wait_p50_ms: f64,
    /// The same, 99th percentile.
    pub wait_p99_ms: f64,
    /// Requests in hand on average.
    pub in_hand: f64,
    /// Most over mean of the loads, median over the windows.
    pub max_over_mean_p50: f64,
    /// The same, 95th percentile.
    pub max_over_mean_p95: f64,
    /// The worst window.
    pub max_over_mean_most: f64,
    /// Coefficient of variation, mean over the windows.
    pub cv: f64,
    /// The same of each real server's average over the stretch: what lasts, without what chance brings and takes.
    pub cv_lasting: f64,
    /// Share of the time in which one real server is idle while another has a queue.
    pub idle_while_queued: f64,
    /// Load of the real servers that came in place of others, beside the fleet's; mean over the windows.
    pub fresh_over_mean: f64,
    /// Most requests that reached one real server within 50 ms.
    pub herd: usize,
    /// Most connections that one real server was asked for in 100 ms.
    pub connections_most: usize,
    /// Most calls that reached the list service within any second.
    pub list_calls_peak: usize,
    /// Calls that reached the list service.
    pub list_calls: usize,
}

/// One real server over the whole run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Server {
    /// Its name.
    pub name: String,
    /// Its kind.
    pub kind: String,
    /// Requests in hand over places in the batch, on average after the warm-up.
    pub load: f64,
    /// Requests that reached it.
    pub arrivals: u64,
    /// Gateways' attempts at it, those that did not reach it too.
    #[serde(default)]
    pub attempts: u64,
    /// Those of them that it answered with an error.
    #[serde(default)]
    pub errors: u64,
    /// Share of the clients' tries turned down, wherever they were tried, at whose moment it was sound and warm and
    /// had no queue.
    #[serde(default)]
    pub had_room: f64,
    /// The load in each second after the warm-up; none while it was not there. Earlier reports don't have it.
    #[serde(default)]
    pub loads: Vec<Option<f64>>,
}

/// The figures of a run of one policy.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Figures {
    /// The policy.
    pub policy: String,
    /// Events that the gateways handled.
    pub events: u64,
    /// Calls for the list that failed.
    pub list_calls_failed: u64,
    /// From a gateway's start to the list, median in ms, over the starts that came to it.
    pub list_wait_p50_ms: f64,
    /// The same, the longest.
    pub list_wait_longest_ms: f64,
    /// Gateways that are there at the end and never had an answer of the list service.
    pub without_list: usize,
    /// Most work sent to a cold real server within the site's span, over what makes it fall.
    pub cold_worst: f64,
    /// Clients' tries that were turned down, after the warm-up.
    #[serde(default)]
    pub turned_down: u64,
    /// Stretches: before the faults, in those that last, after each, and all.
    pub stretches: Vec<Stretch>,
    /// The real servers.
    pub servers: Vec<Server>,
    /// All windows.
    pub windows: Vec<Window>,
}
