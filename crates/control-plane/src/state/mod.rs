//! The replicated state: the operator's configuration and the weights that were named.
//!
//! No I/O and no clock: the same commands in the same order lead to the same state at every member.

mod command;
mod weights;

use musli::{Decode, Encode};
use snafu::{OptionExt, ResultExt, Snafu};
use tulipridge_configuration::configuration_state::Decision as ConfigurationDecision;
use tulipridge_configuration::encoding::{self, EncodingError, Format};
use tulipridge_configuration::number::{Revision, WeightsRevision};
use tulipridge_configuration::{
    ApplyError, ConfigurationState, Document, EntryOutcome, SnapshotError, ValidationErrors,
};

use command::Prepared;
pub use command::{Accepted, Command};
pub use weights::{TargetRevisions, WeightsDecision};

/// The format of a snapshot.
const SNAPSHOT_FORMAT: Format = Format(*b"STA2");

/// A change that the operator requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Replaces the configuration.
    PutConfiguration {
        /// The version that it builds on.
        if_match: Option<Revision>,
        /// The document.
        body: Vec<u8>,
    },
    /// Changes some items of the configuration.
    PatchConfiguration {
        /// The version that it builds on.
        if_match: Option<Revision>,
        /// The items.
        body: Vec<u8>,
    },
    /// New weights of a model.
    SetTargetRevision {
        /// The model.
        model: String,
        /// The revision of the weights.
        revision: WeightsRevision,
    },
}

/// The decision on a change.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The same change was accepted before.
    AlreadyAccepted,
    /// It builds on another version than the current one.
    Stale {
        /// The current version.
        current: Revision,
    },
    /// The configuration is not valid.
    InvalidConfiguration {
        /// Why.
        findings: ValidationErrors,
    },
    /// The weights are older than those named, and were never named themselves.
    OldWeights {
        /// The newest revision that was named.
        newest: WeightsRevision,
    },
    /// It is accepted, and takes effect once its command is committed.
    Accept(Box<Accepted>),
}

/// What a command has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// Its configuration is in force, by this command or by an earlier one of the same request.
    Configuration,
    /// Its weights are named, by this command or by an earlier one of the same request.
    Weights,
    /// Nothing: the command built on a state that was no longer in force.
    Superseded,
}

/// Why a command or a snapshot can't be applied. The member must not go on with the state it has.
#[derive(Debug, Snafu)]
pub enum StateError {
    /// The bytes can't be decoded.
    #[snafu(display("failed to decode the replicated state: {source}"))]
    Encoding {
        /// Why.
        source: EncodingError,
    },
    /// The configuration in a snapshot can't be used.
    #[snafu(display("failed to restore the configuration from a snapshot: {source}"))]
    Configuration {
        /// Why.
        source: SnapshotError,
    },
    /// The weights in a snapshot can't be used.
    #[snafu(display("the digests of accepted target revisions in a snapshot are truncated"))]
    Weights,
    /// This member's state differs from that of the member which decided.
    #[snafu(display("this member's state has diverged: {source}"))]
    Diverged {
        /// Where they differ.
        source: ApplyError,
    },
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    configuration: ConfigurationState,
    weights: TargetRevisions,
}

/// The encoded form of a state. Stored: the order of fields is part of the format.
#[derive(Encode, Decode)]
struct Snapshot {
    #[musli(bytes)]
    configuration: Vec<u8>,
    weights: weights::Snapshot,
}

impl State {
    /// The newest configuration.
    #[must_use]
    pub fn document(&self) -> Option<&Document> {
        self.configuration.document()
    }

    /// The weights that were named.
    #[must_use]
    pub fn weights(&self) -> &TargetRevisions {
        &self.weights
    }

    /// Decides on a change; the state stays as it is.
    #[must_use]
    pub fn decide(&self, change: &Change) -> Decision {
        match change {
            Change::PutConfiguration { if_match, body } => {
                self.configuration_decision(self.configuration.decide_put(*if_match, body))
            }
            Change::PatchConfiguration { if_match, body } => {
                self.configuration_decision(self.configuration.decide_patch(*if_match, body))
            }
            Change::SetTargetRevision { model, revision } => self.decide_weights(model, *revision),
        }
    }

    fn configuration_decision(&self, decision: ConfigurationDecision) -> Decision {
        match decision {
            ConfigurationDecision::AlreadyAccepted => Decision::AlreadyAccepted,
            ConfigurationDecision::Stale { current } => Decision::Stale { current },
            ConfigurationDecision::Invalid(findings) => Decision::InvalidConfiguration { findings },
            ConfigurationDecision::Accept(change) => accepted(Prepared::Configure(change)),
        }
    }

    fn decide_weights(&self, model: &str, revision: WeightsRevision) -> Decision {
        match self.weights.decide(model, revision) {
            WeightsDecision::AlreadySet => Decision::AlreadyAccepted,
            WeightsDecision::Outdated { newest } => Decision::OldWeights { newest },
            WeightsDecision::Accept => {
                accepted(Prepared::SetTargetRevision { model: model.to_owned(), revision })
            }
        }
    }

    /// Applies a committed command.
    ///
    /// # Errors
    ///
    /// If the command can't be decoded, or this member's state differs from that of the member which decided.
    pub fn apply(&mut self, command: &[u8]) -> Result<Applied, StateError> {
        match Command::from_bytes(command).context(EncodingSnafu)? {
            Command::Configure(entry) => {
                let outcome = self.configuration.apply_entry(&entry).context(DivergedSnafu)?;
                Ok(configuration_applied(outcome))
            }
            Command::SetTargetRevision { model, revision } => Ok(self.set_target_revision(model, revision)),
        }
    }

    /// Applies a committed change that this member itself has decided on.
    ///
    /// # Errors
    ///
    /// If this member's state has changed since in a way that no committed command explains.
    pub fn apply_accepted(&mut self, accepted: Accepted) -> Result<Applied, StateError> {
        match accepted.prepared {
            Prepared::Configure(change) => {
                let outcome = self.configuration.apply_accepted(*change).context(DivergedSnafu)?;
                Ok(configuration_applied(outcome))
            }
            Prepared::SetTargetRevision { model, revision } => {
                Ok(self.set_target_revision(model, revision))
            }
        }
    }

    fn set_target_revision(&mut self, model: String, revision: WeightsRevision) -> Applied {
        match self.weights.decide(&model, revision) {
            WeightsDecision::Outdated { .. } => return Applied::Superseded,
            WeightsDecision::AlreadySet => {}
            WeightsDecision::Accept => self.weights.set(model, revision),
        }
        Applied::Weights
    }

    /// Encodes the state.
    #[must_use]
    pub fn snapshot(&self) -> Vec<u8> {
        let snapshot = Snapshot {
            configuration: self.configuration.to_snapshot(),
            weights: self.weights.to_snapshot(),
        };
        encoding::encode(SNAPSHOT_FORMAT, &snapshot)
    }

    /// Decodes the bytes of [`State::snapshot`]; none stand for the empty state.
    ///
    /// # Errors
    ///
    /// If the bytes are of another format, or incomplete.
    pub fn restore(snapshot: &[u8]) -> Result<State, StateError> {
        if snapshot.is_empty() {
            return Ok(State::default());
        }
        let snapshot: Snapshot = encoding::decode(SNAPSHOT_FORMAT, snapshot).context(EncodingSnafu)?;
        let configuration =
            ConfigurationState::from_snapshot(&snapshot.configuration).context(ConfigurationSnafu)?;
        let weights = TargetRevisions::from_snapshot(snapshot.weights).context(WeightsSnafu)?;
        Ok(State { configuration, weights })
    }
}

fn configuration_applied(outcome: EntryOutcome) -> Applied {
    match outcome {
        EntryOutcome::Applied | EntryOutcome::Repeated => Applied::Configuration,
        EntryOutcome::Superseded => Applied::Superseded,
    }
}

fn accepted(prepared: Prepared) -> Decision {
    Decision::Accept(Box::new(Accepted::new(prepared)))
}
