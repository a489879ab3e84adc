//! Recovery after a long partition of the primary and an edge machine from all other machines, and consistency
//! violations during the partition.

use std::time::{Duration, Instant};

use serde::Serialize;

use super::setup::{ATTEMPT_TIMEOUT, CHANGE_TIMEOUT, start};
use crate::consistency::consistency_violation;
use crate::deployment::{CONVERGENCE_TIMEOUT, ClientRequest, Deployment, Topology};
use crate::duration_summary::DurationSummary;
use crate::error::Result;
use crate::machine::MachineId;
use crate::network::LinkState;
use crate::operator::{Change, route_path};
use crate::wait::wait_until;

/// Measured recovery times, and the violations that were found.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct PartitionRecoveryReport {
    /// The duration of each partition in seconds.
    #[serde(rename = "cutS")]
    pub partition_s: u64,
    /// Descriptions of stale configurations or conflicting changes that the partitioned member served or acknowledged.
    #[serde(rename = "falseClaims")]
    pub consistency_violations: Vec<String>,
    /// Successful responses of the partitioned proxy on a route whose removal was longer ago than the withdrawal term.
    #[serde(rename = "lateAnswers")]
    pub late_responses: usize,
    /// Time from the end of the partition until the member publishes the newest configuration as fresh.
    pub member_current: DurationSummary,
    /// Time from the end of the partition until the proxy serves a route that was added during the partition;
    /// the proxy's agent updates it.
    pub proxy_current: DurationSummary,
}

/// The value of the setting `withdrawMs`, the time after which no proxy may serve a removed route.
const WITHDRAWAL_TERM: Duration = Duration::from_secs(5);
/// Timeout of a client's request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Partitions the primary together with the edge machine from all other machines, `count` times for `partition` each.
///
/// # Errors
///
/// Any [`HarnessError`](crate::error::HarnessError) of the deployment or of a change.
pub fn measure_partition_recovery(partition: Duration, count: usize) -> Result<PartitionRecoveryReport> {
    let deployment = start(Topology::default())?;
    let mut results = PartitionResults::default();
    let mut revision = 1;
    for run in 0..count {
        revision = run_partition(&deployment, partition, run, revision, &mut results)?;
        deployment.wait_until_converged()?;
    }
    Ok(PartitionRecoveryReport {
        partition_s: partition.as_secs(),
        consistency_violations: results.consistency_violations,
        late_responses: results.late_responses,
        member_current: DurationSummary::of(results.member_current),
        proxy_current: DurationSummary::of(results.proxy_current),
    })
}

/// Measured times and violations of all runs.
#[derive(Default)]
struct PartitionResults {
    consistency_violations: Vec<String>,
    late_responses: usize,
    member_current: Vec<Duration>,
    proxy_current: Vec<Duration>,
}

/// The two routes of a run, which are removed and added during the partition.
struct RunRoutes {
    removed: String,
    added: String,
}

/// Runs one partition when `revision` is in force, and returns the newest revision.
fn run_partition(
    deployment: &Deployment,
    partition: Duration,
    run: usize,
    revision: u64,
    results: &mut PartitionResults,
) -> Result<u64> {
    let routes = RunRoutes { removed: format!("withdrawn-{run}"), added: format!("added-{run}") };
    let operator = deployment.operator();
    operator.apply(&Change::upsert_route(revision, &routes.removed, 1), CHANGE_TIMEOUT)?;
    wait_until("the route is served", CONVERGENCE_TIMEOUT, || {
        is_route_served(deployment, &routes.removed)
    })?;
    let primary = deployment.wait_for_primary()?;
    set_partition_state(deployment, primary, LinkState::Stalled);
    let started_at = Instant::now();
    let others = deployment.operator_for(|index| index != primary).with_attempt_timeout(ATTEMPT_TIMEOUT);
    others.apply(&Change::remove_route(revision + 1, &routes.removed), CHANGE_TIMEOUT)?;
    let removed_at = Instant::now();
    let in_force = Change::upsert_route(revision + 2, &routes.added, 1);
    others.apply(&in_force, CHANGE_TIMEOUT)?;
    let operator = operator.with_attempt_timeout(ATTEMPT_TIMEOUT);
    while started_at.elapsed() < partition {
        let member = deployment.operator_socket(primary);
        results.consistency_violations.extend(consistency_violation(&operator, member, &in_force));
        // The time of the request decides whether a response is late, not the time of the response.
        let is_late = removed_at.elapsed() > WITHDRAWAL_TERM;
        if is_route_served(deployment, &routes.removed) && is_late {
            results.late_responses += 1;
        }
    }
    set_partition_state(deployment, primary, LinkState::Open);
    measure_recovery(deployment, primary, &in_force, &routes.added, results)?;
    Ok(in_force.revision)
}

/// Waits until the member and the proxy are current after the partition, and records the time of each.
fn measure_recovery(
    deployment: &Deployment,
    member: usize,
    in_force: &Change,
    added_route: &str,
    results: &mut PartitionResults,
) -> Result<()> {
    let healed_at = Instant::now();
    let is_member_current = || {
        let status = deployment.status(member);
        status.is_some_and(|status| status.is_fresh() && status.configuration >= in_force.revision)
    };
    let (mut member_current, mut proxy_current) = (None, None);
    wait_until("member and proxy are current", CONVERGENCE_TIMEOUT, || {
        if member_current.is_none() && is_member_current() {
            member_current = Some(healed_at.elapsed());
        }
        if proxy_current.is_none() && is_route_served(deployment, added_route) {
            proxy_current = Some(healed_at.elapsed());
        }
        member_current.is_some() && proxy_current.is_some()
    })?;
    results.member_current.extend(member_current);
    results.proxy_current.extend(proxy_current);
    Ok(())
}

/// Sets the state of all links between the two sides: the member with the edge machine, and all other machines. The
/// operator's links stay open.
fn set_partition_state(deployment: &Deployment, member: usize, state: LinkState) {
    let side = [deployment.members[member].machine.id, deployment.edges[0].machine.id];
    let is_on_other_side = |id: &MachineId| !side.contains(id) && *id != deployment.operator_machine.id;
    for machine in side {
        let other_side: Vec<MachineId> =
            deployment.other_machines(machine).into_iter().filter(is_on_other_side).collect();
        deployment.network.set_between(machine, &other_side, state);
    }
}

fn is_route_served(deployment: &Deployment, label: &str) -> bool {
    let path = route_path(label);
    let request = ClientRequest { path: &path, attempt_id: "h", body: "", timeout: REQUEST_TIMEOUT };
    deployment.send_request(0, &request).is_ok_and(|response| response.status() == 200)
}
