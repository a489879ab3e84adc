//! Time from the acknowledgement of a change until it is in force at the last proxy.

use std::thread;
use std::time::{Duration, Instant};

use serde::Serialize;

use super::setup::{CHANGE_TIMEOUT, start};
use crate::deployment::{ClientRequest, Deployment, Topology};
use crate::duration_summary::DurationSummary;
use crate::error::{Result, TimedOutSnafu};
use crate::operator::{Change, Operator, route_path};

/// Edge machines.
const EDGES: usize = 4;
/// Timeout for a change to be in force.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);

/// The measurement of propagation.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct PropagationReport {
    /// The number of proxies.
    pub proxies: usize,
    /// From sending the change until its acknowledgement.
    pub sent_to_acknowledged: DurationSummary,
    /// From the acknowledgement until the last proxy serves the route; 0 if it did so before.
    pub acknowledged_to_in_force: DurationSummary,
}

/// Adds `count` routes, one after the other.
///
/// # Errors
///
/// Any [`HarnessError`](crate::error::HarnessError) of the deployment or of a change.
pub fn measure_propagation(count: usize) -> Result<PropagationReport> {
    let deployment = start(Topology { edges: EDGES, ..Topology::default() })?;
    let operator = deployment.operator();
    let mut acknowledgements = Vec::new();
    let mut in_force = Vec::new();
    for base in 1..=count as u64 {
        let times = propagate_route(&deployment, &operator, base)?;
        acknowledgements.push(times.acknowledged - times.sent);
        in_force.push(times.in_force - times.acknowledged);
    }
    Ok(PropagationReport {
        proxies: EDGES,
        sent_to_acknowledged: DurationSummary::of(acknowledgements),
        acknowledged_to_in_force: DurationSummary::of(in_force),
    })
}

/// The times of one change.
struct PropagationTimes {
    sent: Instant,
    acknowledged: Instant,
    /// When the last proxy served the route, but not before the acknowledgement.
    in_force: Instant,
}

/// Adds a route while clients poll all proxies for it.
fn propagate_route(deployment: &Deployment, operator: &Operator, base: u64) -> Result<PropagationTimes> {
    let label = format!("r-{base}");
    let label = label.as_str();
    thread::scope(|scope| {
        let proxies: Vec<_> =
            (0..EDGES).map(|edge| scope.spawn(move || served_at(deployment, edge, label))).collect();
        let sent = Instant::now();
        operator.apply(&Change::upsert_route(base, label, base), CHANGE_TIMEOUT)?;
        let acknowledged = Instant::now();
        let mut in_force = acknowledged;
        for proxy in proxies {
            let served = proxy.join().unwrap_or_else(|panic| std::panic::resume_unwind(panic))?;
            in_force = in_force.max(served);
        }
        Ok(PropagationTimes { sent, acknowledged, in_force })
    })
}

/// Polls a proxy until it serves a route, and returns the time of the first such response.
fn served_at(deployment: &Deployment, edge: usize, label: &str) -> Result<Instant> {
    let started_at = Instant::now();
    let path = route_path(label);
    let request = ClientRequest { path: &path, attempt_id: "p", body: "", timeout: Duration::from_secs(1) };
    while started_at.elapsed() < IN_FORCE_TIMEOUT {
        if deployment.send_request(edge, &request).is_ok_and(|response| response.status() == 200) {
            return Ok(Instant::now());
        }
    }
    TimedOutSnafu { condition: format!("the proxy serves {label}"), timeout: IN_FORCE_TIMEOUT }.fail()
}
