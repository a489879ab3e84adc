//! The roll-out of model weights: brings replicas to the target revisions that the operator announced.
//!
//! The roll-out is a singleton role: only the primary within its lease commands replicas. [`Planner`] decides without
//! I/O and clock which replica loads when and from when on older weights are withdrawn; [`Rollout`] carries out its
//! actions; [`AnnouncementTimes`] lets a new primary continue with the deadlines that run.

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

/// What the roll-out reacts to.
#[derive(Debug)]
pub enum Event {
    /// The operator may have announced new targets.
    Named,
    /// Service discovery has read a complete list of replicas.
    Listed,
    /// A load command has ended.
    CommandFinished {
        /// The replica's id.
        replica: String,
        /// How it ended.
        outcome: CommandOutcome,
    },
    /// A request for a replica's report has ended.
    ReportFinished {
        /// The replica's id.
        replica: String,
        /// The report, if it came.
        report: Option<ReplicaReport>,
    },
}

/// What the roll-out reads of the replicated state, and where its results are delivered.
pub trait RolloutOutput {
    /// Delivers the table of weights, as primary of `epoch`.
    fn weights(&self, epoch: Epoch, weights: Vec<ModelWeights>);
    /// Delivers the table of replicas, whose corrections have changed.
    fn fleet_corrected(&self);
    /// The operator's newest target revision of each model.
    fn named(&self) -> BTreeMap<String, WeightsRevision>;
    /// The table of weights that was delivered last, by this or an earlier primary.
    fn delivered(&self) -> Vec<ModelWeights>;
    /// Requests of proxies that are queued at each replica, by its id.
    fn waiting(&self) -> BTreeMap<String, u32>;
}
