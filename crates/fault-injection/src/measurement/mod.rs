//! Measurements of the real programs under faults. Each run with a fault ends when the deployment has converged,
//! and the next run uses the same deployment.

mod catch_up;
mod change_cost;
mod cpu_quota;
mod partition_recovery;
mod propagation;
mod setup;
mod takeover;

pub use catch_up::{CatchUpReport, measure_catch_up};
pub use change_cost::{ChangeCostReport, MemberCost, measure_change_cost};
pub use cpu_quota::{CpuQuotaReport, QuotaTarget, measure_cpu_quota};
pub use partition_recovery::{PartitionRecoveryReport, measure_partition_recovery};
pub use propagation::{PropagationReport, measure_propagation};
pub use takeover::{FaultKind, TakeoverReport, measure_takeover};
