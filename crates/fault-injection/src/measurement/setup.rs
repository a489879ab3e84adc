//! The deployment from which all measurements start.

use std::time::Duration;

use crate::deployment::{Deployment, Topology};
use crate::error::Result;
use crate::operator::Change;

/// Timeout for the decision on a change.
pub(super) const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of an operator's attempt at one member.
pub(super) const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(100);

/// Starts a deployment and applies its first configuration.
pub(super) fn start(topology: Topology) -> Result<Deployment> {
    let deployment = Deployment::start(topology)?;
    deployment.operator().apply(&Change::first(0), CHANGE_TIMEOUT)?;
    deployment.wait_until_converged()?;
    Ok(deployment)
}
