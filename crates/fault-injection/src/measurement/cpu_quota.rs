//! Programs under a CPU quota: full speed until the quota is used up, then no CPU time for the rest of the period.
//!
//! SIGSTOP and SIGCONT simulate the quota. Such pauses lose no data or messages, so no other member may become primary,
//! no change may fail, and all requests of clients must succeed.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::setup::{ATTEMPT_TIMEOUT, CHANGE_TIMEOUT, start};
use crate::deployment::{ClientRequest, Deployment, Topology};
use crate::error::Result;
use crate::operator::{Change, route_path};
use crate::process::{Process, Signal};

/// Length of a period, at whose start the quota is renewed.
const PERIOD: Duration = Duration::from_millis(100);
/// Part of each period in which the processes are stopped.
const PAUSE_PER_PERIOD: Duration = Duration::from_millis(90);
/// Time from one round of client requests to the next.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// Time from one change of the operator to the next.
const CHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a client's request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// The route of the clients' requests and the operator's changes.
const ROUTE: &str = "quota";

/// The machines whose programs have a quota at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum QuotaTarget {
    /// The member with the lease.
    Primary,
    /// The primary and all backups.
    ReplicationGroup,
    /// All members of the control plane.
    ControlPlane,
    /// The first edge machine: its agent and its proxy.
    Edge,
    /// All control-plane and edge machines.
    All,
}

impl QuotaTarget {
    /// All targets, in the order in which they are measured.
    pub const ALL: [QuotaTarget; 5] = [
        QuotaTarget::Primary,
        QuotaTarget::ReplicationGroup,
        QuotaTarget::ControlPlane,
        QuotaTarget::Edge,
        QuotaTarget::All,
    ];
}

/// Changes and requests while some machines had a quota.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct CpuQuotaReport {
    /// The machines with the quota.
    pub target: QuotaTarget,
    /// Duration of the quota in seconds.
    pub seconds: f64,
    /// Increase of the epoch counter; each takeover and each replacement of a member increases the counter.
    pub view_changes: u64,
    /// Changes of the operator that were acknowledged.
    pub changes: u64,
    /// The longest time from sending a change to its acknowledgement, in milliseconds.
    pub longest_change_ms: u64,
    /// Clients' requests with a response of status 200.
    #[serde(rename = "served")]
    pub served_requests: u64,
    /// Clients' requests with another response or none.
    #[serde(rename = "notServed")]
    pub failed_requests: u64,
}

impl CpuQuotaReport {
    /// Whether no view change occurred, all requests were served, and at least one change was acknowledged.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.view_changes == 0 && self.failed_requests == 0 && self.changes > 0
    }
}

/// Applies a quota to each of `targets` in turn, each for `duration`.
///
/// # Errors
///
/// Any [`HarnessError`](crate::error::HarnessError) of the deployment or of a change.
pub fn measure_cpu_quota(duration: Duration, targets: &[QuotaTarget]) -> Result<Vec<CpuQuotaReport>> {
    let deployment = start(Topology::default())?;
    let mut revision = 1;
    deployment.operator().apply(&Change::upsert_route(revision, ROUTE, 0), CHANGE_TIMEOUT)?;
    revision += 1;
    deployment.wait_until_converged()?;
    let mut reports = Vec::new();
    for target in targets {
        let report = measure_target(&deployment, *target, duration, &mut revision)?;
        reports.push(report);
        deployment.wait_until_converged()?;
    }
    Ok(reports)
}

fn measure_target(
    deployment: &Deployment,
    target: QuotaTarget,
    duration: Duration,
    revision: &mut u64,
) -> Result<CpuQuotaReport> {
    let processes = processes_of(deployment, target)?;
    let epoch_before = epoch_counter(deployment)?;
    let is_finished = AtomicBool::new(false);
    let mut traffic = TrafficCounts::default();
    let outcome = thread::scope(|scope| {
        for (index, process) in processes.iter().enumerate() {
            let is_finished = &is_finished;
            scope.spawn(move || apply_quota(process, index, is_finished));
        }
        let outcome = traffic.run(deployment, duration, revision);
        is_finished.store(true, Ordering::Relaxed);
        outcome
    });
    outcome?;
    Ok(CpuQuotaReport {
        target,
        seconds: duration.as_secs_f64(),
        view_changes: epoch_counter(deployment)? - epoch_before,
        changes: traffic.changes,
        longest_change_ms: traffic.longest_change.as_millis() as u64,
        served_requests: traffic.served_requests,
        failed_requests: traffic.failed_requests,
    })
}

fn processes_of(deployment: &Deployment, target: QuotaTarget) -> Result<Vec<&Process>> {
    let members = || deployment.members.iter().map(|member| &member.process);
    let edge_processes = || deployment.edges.iter().flat_map(|edge| [&edge.agent, &edge.proxy]);
    Ok(match target {
        QuotaTarget::Primary => vec![&deployment.members[deployment.wait_for_primary()?].process],
        QuotaTarget::ReplicationGroup => {
            let group = [deployment.wait_for_primary()?, deployment.wait_for_backup()?];
            group.map(|index| &deployment.members[index].process).to_vec()
        }
        QuotaTarget::ControlPlane => members().collect(),
        QuotaTarget::Edge => edge_processes().take(2).collect(),
        QuotaTarget::All => members().chain(edge_processes()).collect(),
    })
}

/// Stops and continues a process until `is_finished`. The phases of the processes differ, as those of machines do.
fn apply_quota(process: &Process, index: usize, is_finished: &AtomicBool) {
    thread::sleep(PERIOD / 7 * index as u32);
    while !is_finished.load(Ordering::Relaxed) {
        let _ = process.signal(Signal::STOP);
        thread::sleep(PAUSE_PER_PERIOD);
        let _ = process.signal(Signal::CONT);
        thread::sleep(PERIOD.saturating_sub(PAUSE_PER_PERIOD));
    }
}

/// The counter in the upper 24 bits of the newest epoch.
fn epoch_counter(deployment: &Deployment) -> Result<u64> {
    const COUNTER_SHIFT: u32 = 40;
    let primary = deployment.wait_for_primary()?;
    Ok(deployment.status(primary).map_or(0, |status| status.epoch >> COUNTER_SHIFT))
}

/// Counts of changes and requests, and the duration of the longest change.
#[derive(Debug, Default)]
struct TrafficCounts {
    changes: u64,
    longest_change: Duration,
    served_requests: u64,
    failed_requests: u64,
}

impl TrafficCounts {
    fn run(&mut self, deployment: &Deployment, duration: Duration, revision: &mut u64) -> Result<()> {
        let started_at = Instant::now();
        let mut next_change = started_at;
        while started_at.elapsed() < duration {
            if Instant::now() >= next_change {
                next_change += CHANGE_INTERVAL;
                self.change(deployment, *revision)?;
                *revision += 1;
            }
            for edge in 0..deployment.edges.len() {
                self.request(deployment, edge);
            }
            thread::sleep(REQUEST_INTERVAL);
        }
        Ok(())
    }

    fn change(&mut self, deployment: &Deployment, base: u64) -> Result<()> {
        let operator = deployment.operator().with_attempt_timeout(ATTEMPT_TIMEOUT * 10);
        let started_at = Instant::now();
        operator.apply(&Change::upsert_route(base, ROUTE, base), CHANGE_TIMEOUT)?;
        self.changes += 1;
        self.longest_change = self.longest_change.max(started_at.elapsed());
        Ok(())
    }

    fn request(&mut self, deployment: &Deployment, edge: usize) {
        let path = route_path(ROUTE);
        let request = ClientRequest { path: &path, attempt_id: "q", body: "", timeout: REQUEST_TIMEOUT };
        let is_served =
            deployment.send_request(edge, &request).is_ok_and(|response| response.status() == 200);
        match is_served {
            true => self.served_requests += 1,
            false => self.failed_requests += 1,
        }
    }
}
