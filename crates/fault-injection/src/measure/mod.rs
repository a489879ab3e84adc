//! Figures of real programs under faults. Each play ends with a whole deployment, from which the next one begins.

mod catch_up;
mod cost;
mod heal;
mod propagate;
mod takeover;

pub use catch_up::{CatchUpReport, catch_up};
pub use cost::{CostReport, cost};
pub use heal::{HealReport, heal};
pub use propagate::{PropagateReport, propagate};
pub use takeover::{Cause, TakeoverReport, takeover};

use std::time::Duration;

use crate::deployment::{Deployment, Plan};
use crate::error::Result;
use crate::operator::Change;

/// Longest time for a change to be decided.
const CHANGE_LIMIT: Duration = Duration::from_secs(30);
/// How long an operator waits for a member before it tries another one.
const TRY_TIMEOUT: Duration = Duration::from_millis(100);

/// A deployment with its first configuration.
fn start(plan: Plan) -> Result<Deployment> {
    let deployment = Deployment::start(plan)?;
    deployment.operator().apply(&Change::first(0), CHANGE_LIMIT)?;
    deployment.wait_until_whole()?;
    Ok(deployment)
}
