//! Time from the acknowledgement of a change until all proxies apply it.

use std::thread;
use std::time::{Duration, Instant};

use serde::Serialize;

use super::setup::{CHANGE_TIMEOUT, start};
use crate::deployment::{ClientRequest, Deployment, Topology};
use crate::duration_summary::DurationSummary;
use crate::error::{Result, TimedOutSnafu};
use crate::operator::{Change, OperatorClient, route_path};

/// Number of edge machines.
const EDGES: usize = 4;
/// Timeout for a change to be in force at a proxy.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);

/// Measured durations of the propagation of changes.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct PropagationReport {
    /// The number of proxies.
    pub proxies: usize,
    /// Time from sending a change until its acknowledgement.
    pub sent_to_acknowledged: DurationSummary,
    /// Time from the acknowledgement until the last proxy serves the route; 0 if that was before the acknowledgement.
    pub acknowledged_to_in_force: DurationSummary,
}

/// Adds `count` routes one after the other, and measures how fast each is in force.
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

/// Points in time of one change.
struct PropagationTimes {
    sent: Instant,
    acknowledged: Instant,
    /// The time at which the last proxy first served the route, or that of the acknowledgement if it is later.
    in_force: Instant,
}

/// Adds a route while one client polls each proxy for the route.
fn propagate_route(
    deployment: &Deployment,
    operator: &OperatorClient,
    base: u64,
) -> Result<PropagationTimes> {
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

/// Polls a proxy until the first successful response on a route, and returns the time of that response.
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
