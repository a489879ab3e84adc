//! Events and snapshots of the state machine.

use std::collections::BTreeMap;
use std::sync::Arc;

use tulipridge_configuration::Configuration;
use tulipridge_configuration::number::WeightsRevision;
use tulipridge_protocol::number::{Epoch, SequenceNumber};

use crate::state::{Applied, StateError};

/// The encoded state after an entry of the log.
#[derive(Debug)]
pub struct StateSnapshot {
    /// The newest entry that the state contains.
    pub sequence: SequenceNumber,
    /// The encoded state.
    pub state: Vec<u8>,
}

/// An event of the state machine. Events come in the order of the commands.
#[derive(Debug)]
pub enum StateMachineEvent {
    /// A command was applied, or the state was restored.
    Applied {
        /// The newest entry that the state contains.
        sequence: SequenceNumber,
        /// The changes of the command; `None` for a restored state, which may differ in any part.
        applied: Option<Applied>,
        /// The published parts of the new state.
        published: Published,
    },
    /// All jobs submitted before [`StateMachine::catch_up`](super::StateMachine::catch_up) with this epoch are done.
    CaughtUp {
        /// The epoch.
        epoch: Epoch,
    },
    /// A command or snapshot could not be applied and the thread has ended: the member must not continue.
    Failed(StateError),
}

/// The parts of the state that are delivered to subscribers.
#[derive(Clone, Debug, Default)]
pub struct Published {
    /// The newest configuration.
    pub configuration: Option<Arc<Configuration>>,
    /// The newest target revision of the weights, by model.
    pub weights: BTreeMap<String, WeightsRevision>,
}
