//! The replicated state: the operator's configuration and the target revision of each model's weights.
//!
//! [`State`] does no I/O and reads no clock: the same commands in the same order lead to the same state on every
//! member.

mod command;
mod weights;

use musli::{Decode, Encode};
use snafu::{OptionExt, ResultExt, Snafu};
use tulipridge_configuration::configuration_state::Decision as ConfigurationDecision;
use tulipridge_configuration::encoding::{self, DecodeError, Format};
use tulipridge_configuration::number::{Revision, WeightsRevision};
use tulipridge_configuration::{
    ApplyError, ConfigurationState, Document, EntryOutcome, SnapshotError, ValidationErrors,
};

use command::Prepared;
pub use command::{Accepted, Command};
pub use weights::{TargetRevisions, WeightsDecision};

/// The format of an encoded state.
const SNAPSHOT_FORMAT: Format = Format(*b"STA2");

/// A change requested by the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Replaces the configuration.
    PutConfiguration {
        /// The revision that the change builds on, as given by the operator.
        if_match: Option<Revision>,
        /// The configuration document.
        body: Vec<u8>,
    },
    /// Changes some items of the configuration.
    PatchConfiguration {
        /// The revision that the change builds on, as given by the operator.
        if_match: Option<Revision>,
        /// The changed items.
        body: Vec<u8>,
    },
    /// Sets the target revision of a model's weights.
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
    /// The change builds on a revision of the configuration other than the current one.
    Stale {
        /// The current revision.
        current: Revision,
    },
    /// The configuration is invalid.
    InvalidConfiguration {
        /// What is wrong with the configuration.
        findings: ValidationErrors,
    },
    /// The revision of the weights is older than the target revision and isn't known to have been a target before.
    OldWeights {
        /// The target revision.
        newest: WeightsRevision,
    },
    /// The change is accepted and takes effect once its command is committed.
    Accept(Box<Accepted>),
}

/// The effect of an applied command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The command's configuration is in force, through this command or an earlier one for the same request.
    Configuration,
    /// The command's target revision is set, through this command or an earlier one for the same request.
    Weights,
    /// The command has no effect: it was based on a state that was no longer current.
    Superseded,
}

/// Why a command or a snapshot can't be applied. The member must not continue with its current state.
#[derive(Debug, Snafu)]
pub enum StateError {
    /// The bytes can't be decoded.
    #[snafu(display("failed to decode the replicated state: {source}"))]
    Encoding {
        /// Why.
        source: DecodeError,
    },
    /// The configuration in a snapshot can't be restored.
    #[snafu(display("failed to restore the configuration from a snapshot: {source}"))]
    Configuration {
        /// Why.
        source: SnapshotError,
    },
    /// The digests of accepted target revisions in a snapshot are incomplete.
    #[snafu(display("the digests of accepted target revisions in a snapshot are truncated"))]
    Weights,
    /// This member's state differs from that of the member that decided on the change.
    #[snafu(display("this member's state has diverged: {source}"))]
    Diverged {
        /// How the states differ.
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
    /// The current configuration; `None` before the first one.
    #[must_use]
    pub fn document(&self) -> Option<&Document> {
        self.configuration.document()
    }

    /// The target revisions of weights.
    #[must_use]
    pub fn weights(&self) -> &TargetRevisions {
        &self.weights
    }

    /// Decides on a change without changing the state.
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
    /// If the command can't be decoded, or this member's state differs from that of the member that decided.
    pub fn apply(&mut self, command: &[u8]) -> Result<Applied, StateError> {
        match Command::from_bytes(command).context(EncodingSnafu)? {
            Command::Configure(entry) => {
                let outcome = self.configuration.apply_entry(&entry).context(DivergedSnafu)?;
                Ok(configuration_applied(outcome))
            }
            Command::SetTargetRevision { model, revision } => Ok(self.set_target_revision(model, revision)),
        }
    }

    /// Applies a committed change that this member itself decided on.
    ///
    /// # Errors
    ///
    /// If this member's state has changed since then in a way that no committed command explains.
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

    /// Restores a state from the bytes of [`State::snapshot`]. No bytes stand for the empty state.
    ///
    /// # Errors
    ///
    /// If the bytes have another format or are incomplete.
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
        EntryOutcome::Applied | EntryOutcome::Duplicate => Applied::Configuration,
        EntryOutcome::Superseded => Applied::Superseded,
    }
}

fn accepted(prepared: Prepared) -> Decision {
    Decision::Accept(Box::new(Accepted::new(prepared)))
}
