//! Measurements of the real programs under faults. Each run ends with a converged deployment, on which the next begins.

mod catch_up;
mod change_cost;
mod partition_recovery;
mod propagation;
mod takeover;

use std::time::Duration;

pub use catch_up::{CatchUpReport, measure_catch_up};
pub use change_cost::{ChangeCostReport, MemberCost, measure_change_cost};
pub use partition_recovery::{PartitionRecoveryReport, measure_partition_recovery};
pub use propagation::{PropagationReport, measure_propagation};
pub use takeover::{FaultKind, TakeoverReport, measure_takeover};

use crate::deployment::{Deployment, Topology};
use crate::error::Result;
use crate::operator::Change;

/// Timeout for the decision on a change.
const CHANGE_LIMIT: Duration = Duration::from_secs(30);
/// How long an operator waits for a member before it tries another one.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(100);

/// Starts a deployment and applies its first configuration.
fn start(topology: Topology) -> Result<Deployment> {
    let deployment = Deployment::start(topology)?;
    deployment.operator().apply(&Change::first(0), CHANGE_LIMIT)?;
    deployment.wait_until_converged()?;
    Ok(deployment)
}
