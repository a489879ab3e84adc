//! The rollout of model weights: brings the replicas to the target revisions that the operator announced.
//!
//! The rollout is a singleton role: only the primary within its lease sends load commands. [`Planner`] decides which
//! replica loads when, and when older weights are withdrawn; it performs no I/O and reads no clock. [`Rollout`]
//! carries out its actions. [`AnnouncementTimes`] lets a new primary keep the deadlines of earlier announcements.

mod announcements;
mod controller;
mod messages;
mod planner;
mod replica_client;

use std::collections::BTreeMap;

use tulipridge_protocol::feed::ModelWeights;
use tulipridge_protocol::number::Epoch;

pub use announcements::{Announcement, AnnouncementTimes};
pub use controller::Rollout;
pub use messages::{CommandOutcome, FencingToken, LoadCommand, ReplicaReport};
pub use planner::{Action, Planner, PlannerSettings};
pub use replica_client::ReplicaEndpoint;
use tulipridge_configuration::number::WeightsRevision;

/// An event that the rollout handles.
#[derive(Debug)]
pub enum Event {
    /// The operator may have announced new targets.
    TargetsAnnounced,
    /// Service discovery has fetched a complete replica list.
    Listed,
    /// The call of a load command has ended.
    CommandFinished {
        /// The replica's id.
        replica: String,
        /// The outcome of the command.
        outcome: CommandOutcome,
    },
    /// The call for a replica's report has ended.
    ReportFinished {
        /// The replica's id.
        replica: String,
        /// The report, or `None` if the call failed.
        report: Option<ReplicaReport>,
    },
}

/// Gives the rollout access to the replicated state, and delivers its results.
pub trait RolloutOutput {
    /// Delivers the table of weights, as primary of `epoch`.
    fn weights(&self, epoch: Epoch, weights: Vec<ModelWeights>);
    /// Delivers the table of replicas after its corrections have changed.
    fn fleet_corrected(&self);
    /// The newest target revision of each model that the operator announced.
    fn target_revisions(&self) -> BTreeMap<String, WeightsRevision>;
    /// The table of weights that was last delivered, by this or an earlier primary.
    fn delivered_weights(&self) -> Vec<ModelWeights>;
    /// The work that gateways have queued at each replica, by replica id. The unit is
    /// [`WORK_UNIT_TOKENS`](tulipridge_protocol::feed::WORK_UNIT_TOKENS); each request counts as at least one.
    fn queued_work(&self) -> BTreeMap<String, u32>;
}
