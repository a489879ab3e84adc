//! What the state machine reports and what it hands over.

use std::collections::BTreeMap;
use std::sync::Arc;

use tulipridge_configuration::Configuration;
use tulipridge_configuration::number::WeightsRevision;
use tulipridge_protocol::number::{Epoch, SequenceNumber};

use crate::state::{Applied, StateError};

/// The encoded state after an entry.
#[derive(Debug)]
pub struct StateSnapshot {
    /// The newest entry that it contains.
    pub sequence: SequenceNumber,
    /// The encoded state.
    pub state: Vec<u8>,
}

/// What the state machine reports, in the order of the commands.
#[derive(Debug)]
pub enum StateMachineEvent {
    /// A command was applied, or the state was restored.
    Applied {
        /// The command's entry.
        sequence: SequenceNumber,
        /// What it has changed; none for a restored state, which may differ in everything.
        applied: Option<Applied>,
        /// What is delivered now.
        published: Published,
    },
    /// All that was handed over before [`StateMachine::catch_up`](super::StateMachine::catch_up) with this epoch is applied.
    CaughtUp {
        /// The epoch.
        epoch: Epoch,
    },
    /// The state can't be kept up and the thread has ended: the member must not go on.
    Failed(StateError),
}

/// The parts of the state that are delivered.
#[derive(Clone, Debug, Default)]
pub struct Published {
    /// The newest configuration.
    pub configuration: Option<Arc<Configuration>>,
    /// The newest weights that were named, by model.
    pub weights: BTreeMap<String, WeightsRevision>,
}
