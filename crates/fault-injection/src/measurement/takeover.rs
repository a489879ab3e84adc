//! Time from a fault of the primary until another member holds the lease and acknowledges a change.

use std::thread;
use std::time::{Duration, Instant};

use serde::Serialize;

use super::setup::{ATTEMPT_TIMEOUT, CHANGE_TIMEOUT, start};
use crate::deployment::{CONVERGENCE_TIMEOUT, Deployment, Topology};
use crate::duration_summary::DurationSummary;
use crate::error::Result;
use crate::network::LinkState;
use crate::operator::Change;
use crate::process::Signal;
use crate::wait::wait_until;

/// Maximum time in which an isolated member may write before its power is lost.
const POWER_GRACE: Duration = Duration::from_millis(50);

/// A fault of the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum FaultKind {
    /// The process is killed by SIGKILL.
    Kill,
    /// The machine is isolated, and loses power and a random part of the unacknowledged data.
    Power,
    /// All links of the machine are stalled, except the links of the operator.
    #[serde(rename = "cut")]
    Partition,
    /// The process is stopped by SIGSTOP.
    Freeze,
    /// The process is terminated by SIGTERM.
    #[serde(rename = "term")]
    Terminate,
}

/// Measured durations of takeovers after one kind of fault.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct TakeoverReport {
    /// The fault of the primary.
    #[serde(rename = "cause")]
    pub fault: FaultKind,
    /// Time from the fault until the acknowledgement of the next change.
    pub change_acknowledged: DurationSummary,
    /// Time from the fault until the status of another member shows the lease.
    pub lease_seen: DurationSummary,
}

/// Injects `count` faults one after the other, each at the current primary.
///
/// # Errors
///
/// Any [`HarnessError`](crate::error::HarnessError) of the deployment, of a fault or of a change.
pub fn measure_takeover(fault: FaultKind, count: usize) -> Result<TakeoverReport> {
    let mut deployment = start(Topology { edges: 0, ..Topology::default() })?;
    let mut acknowledged = Vec::new();
    let mut lease_seen = Vec::new();
    for base in 1..=count as u64 {
        let run = run_takeover(&mut deployment, fault, base)?;
        acknowledged.push(run.change_acknowledged);
        lease_seen.push(run.lease_seen);
    }
    Ok(TakeoverReport {
        fault,
        change_acknowledged: DurationSummary::of(acknowledged),
        lease_seen: DurationSummary::of(lease_seen),
    })
}

/// Durations of one takeover, both from the fault on.
struct TakeoverTimes {
    change_acknowledged: Duration,
    lease_seen: Duration,
}

fn run_takeover(deployment: &mut Deployment, fault: FaultKind, base: u64) -> Result<TakeoverTimes> {
    let primary = deployment.wait_for_primary()?;
    // The operator sends to the other members only, so that no attempt times out at the faulty member.
    let operator = deployment.operator_for(|index| index != primary).with_attempt_timeout(ATTEMPT_TIMEOUT);
    // A random delay puts the fault at any phase of the heartbeats.
    thread::sleep(Duration::from_millis(fastrand::u64(..200)));
    let started_at = Instant::now();
    inject_fault(deployment, fault, primary)?;
    let times = thread::scope(|scope| {
        let change = scope.spawn(|| {
            let change = Change::upsert_route(base, "marked", base);
            operator.apply(&change, CHANGE_TIMEOUT).map(|_| started_at.elapsed())
        });
        let is_leased = || {
            let others = (0..deployment.members.len()).filter(|index| *index != primary);
            others.into_iter().any(|index| deployment.status(index).is_some_and(|status| status.has_lease))
        };
        wait_until("another member holds the lease", CONVERGENCE_TIMEOUT, is_leased)?;
        let lease_seen = started_at.elapsed();
        let change_acknowledged = change.join().unwrap_or_else(|panic| std::panic::resume_unwind(panic))?;
        Ok(TakeoverTimes { change_acknowledged, lease_seen })
    })?;
    clear_fault(deployment, fault, primary)?;
    deployment.wait_until_converged()?;
    Ok(times)
}

fn inject_fault(deployment: &mut Deployment, fault: FaultKind, primary: usize) -> Result<()> {
    match fault {
        FaultKind::Kill => deployment.members[primary].process.kill(),
        FaultKind::Power => {
            deployment.lose_power(primary, POWER_GRACE)?;
        }
        FaultKind::Partition => deployment.partition_member(primary, LinkState::Stalled),
        FaultKind::Freeze => deployment.members[primary].process.signal(Signal::STOP)?,
        FaultKind::Terminate => deployment.members[primary].process.signal(Signal::TERM)?,
    }
    Ok(())
}

fn clear_fault(deployment: &mut Deployment, fault: FaultKind, index: usize) -> Result<()> {
    match fault {
        FaultKind::Kill | FaultKind::Power => deployment.start_member(index),
        FaultKind::Partition => {
            deployment.partition_member(index, LinkState::Open);
            Ok(())
        }
        FaultKind::Freeze => deployment.members[index].process.signal(Signal::CONT),
        FaultKind::Terminate => {
            deployment.members[index].process.wait_for_exit(CONVERGENCE_TIMEOUT)?;
            deployment.start_member(index)
        }
    }
}
