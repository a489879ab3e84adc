//! From the acknowledgement of a change until it is in force at the last proxy.

use std::thread;
use std::time::{Duration, Instant};

use serde::Serialize;

use super::{CHANGE_LIMIT, start};
use crate::deployment::{ClientRequest, Deployment, Plan};
use crate::error::{Result, TimedOutSnafu};
use crate::figures::Figures;
use crate::operator::{Change, path};

/// Edge machines.
const EDGES: usize = 4;
/// Longest time for a change to be in force.
const LIMIT: Duration = Duration::from_secs(10);

/// The figures of propagation.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct PropagateReport {
    /// Proxies that were asked for a route that was just added.
    pub proxies: usize,
    /// From sending the change until its acknowledgement.
    pub sent_to_acknowledged: Figures,
    /// From the acknowledgement until the last proxy serves the route; 0 where it did before.
    pub acknowledged_to_in_force: Figures,
}

/// Adds so many routes.
pub fn propagate(count: usize) -> Result<PropagateReport> {
    let deployment = start(Plan { edges: EDGES, ..Plan::default() })?;
    let operator = deployment.operator();
    let mut acknowledgements = Vec::new();
    let mut in_force = Vec::new();
    for base in 1..=count as u64 {
        let label = format!("r-{base}");
        let label = label.as_str();
        let (sent, acknowledged, last) = thread::scope(|scope| {
            let deployment = &deployment;
            let proxies: Vec<_> =
                (0..EDGES).map(|edge| scope.spawn(move || served_at(deployment, edge, label))).collect();
            let sent = Instant::now();
            operator.apply(&Change::upsert_route(base, label, base), CHANGE_LIMIT)?;
            let acknowledged = Instant::now();
            let mut last = acknowledged;
            for proxy in proxies {
                let served = proxy.join().unwrap_or_else(|panic| std::panic::resume_unwind(panic))?;
                last = last.max(served);
            }
            Ok((sent, acknowledged, last))
        })?;
        acknowledgements.push(acknowledged - sent);
        in_force.push(last - acknowledged);
    }
    Ok(PropagateReport {
        proxies: EDGES,
        sent_to_acknowledged: Figures::of(acknowledgements),
        acknowledged_to_in_force: Figures::of(in_force),
    })
}

/// Asks a proxy again and again until it serves a route, and says when the first such answer came.
fn served_at(deployment: &Deployment, edge: usize, label: &str) -> Result<Instant> {
    let began = Instant::now();
    let path = path(label);
    let request = ClientRequest { path: &path, attempt_id: "p", body: "", timeout: Duration::from_secs(1) };
    while began.elapsed() < LIMIT {
        if deployment.ask(edge, &request).is_ok_and(|answer| answer.status() == 200) {
            return Ok(Instant::now());
        }
    }
    TimedOutSnafu { what: format!("the proxy serves {label}"), limit: LIMIT }.fail()
}
