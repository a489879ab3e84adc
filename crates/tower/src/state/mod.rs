//! The agreed state: the operator's configuration and the weights that were named.
//!
//! No I/O and no clock: the same commands in the same order lead to the same state at every member.

mod weights;

use std::sync::Arc;

use musli::{Decode, Encode};
use snafu::{ResultExt, Snafu};
use timetable::history::{
    AcceptedChange, ConfigurationState, Decision as ConfigurationDecision, DecodeError,
};
use timetable::{Document, Findings};

pub use weights::{NamedWeights, WeightsDecision};

/// A change that the operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A whole configuration.
    PutConfiguration {
        /// The version that it builds on.
        if_match: Option<u64>,
        /// The document.
        body: Vec<u8>,
    },
    /// A change of named items.
    PatchConfiguration {
        /// The version that it builds on.
        if_match: Option<u64>,
        /// What is changed.
        body: Vec<u8>,
    },
    /// New weights of a model.
    NameWeights {
        /// The model.
        model: String,
        /// The revision of the weights.
        revision: u64,
    },
}

/// A change that was decided on, as the members agree on it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Command {
    /// Puts a configuration in force, on top of the one that it was decided on.
    Configure {
        /// The version that it builds on.
        base: u64,
        /// The encoded change.
        #[musli(bytes)]
        change: Vec<u8>,
    },
    /// Names weights of a model.
    NameWeights {
        /// The model.
        model: String,
        /// The revision of the weights.
        revision: u64,
    },
}

/// The answer to a change.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The same change was taken before.
    AlreadyTaken,
    /// It builds on another version than the current one.
    Stale {
        /// The current version.
        current: u64,
    },
    /// The configuration is not valid.
    InvalidConfiguration {
        /// What is wrong.
        findings: Findings,
    },
    /// The weights are older than those named, and were never named themselves.
    OldWeights {
        /// The newest revision that was named.
        newest: u64,
    },
    /// It is to be agreed on.
    Accept(Box<Accepted>),
}

/// A change that was accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct Accepted {
    /// What the members have to agree on.
    pub command: Arc<[u8]>,
    /// The same, ready to be applied.
    prepared: Prepared,
}

/// A command, ready to be applied.
#[derive(Clone, Debug, PartialEq)]
enum Prepared {
    Configure { base: u64, change: Box<AcceptedChange> },
    NameWeights { model: String, revision: u64 },
}

/// What a command has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// There is a new configuration.
    Configuration,
    /// There are new weights.
    Weights,
    /// Nothing: the command built on a state that was no longer in force.
    Superseded,
}

/// Why bytes give no command or state.
#[derive(Debug, Snafu)]
pub enum StateError {
    /// The bytes are of another form.
    #[snafu(display("the agreed state can't be decoded: {source}"))]
    Malformed {
        /// What the decoder says.
        source: musli::wire::Error,
    },
    /// The configuration in them can't be used.
    #[snafu(display("an agreed configuration can't be used: {source}"))]
    Configuration {
        /// What is wrong with it.
        source: DecodeError,
    },
}

/// The agreed state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    configuration: ConfigurationState,
    weights: NamedWeights,
}

#[derive(Encode, Decode)]
struct Snapshot {
    #[musli(bytes)]
    configuration: Vec<u8>,
    weights: NamedWeights,
}

impl State {
    /// The newest configuration.
    pub fn document(&self) -> Option<&Document> {
        self.configuration.document()
    }

    /// The weights that were named.
    pub fn weights(&self) -> &NamedWeights {
        &self.weights
    }

    /// Decides on a change; the state stays as it is.
    pub fn decide(&self, change: &Change) -> Decision {
        match change {
            Change::PutConfiguration { if_match, body } => {
                self.configuration_decision(self.configuration.decide_put(*if_match, body))
            }
            Change::PatchConfiguration { if_match, body } => {
                self.configuration_decision(self.configuration.decide_patch(*if_match, body))
            }
            Change::NameWeights { model, revision } => self.decide_weights(model, *revision),
        }
    }

    fn configuration_decision(&self, decision: ConfigurationDecision) -> Decision {
        match decision {
            ConfigurationDecision::AlreadyTaken => Decision::AlreadyTaken,
            ConfigurationDecision::Stale { current } => Decision::Stale { current },
            ConfigurationDecision::Invalid(findings) => Decision::InvalidConfiguration { findings },
            ConfigurationDecision::Accept(change) => {
                accept(Prepared::Configure { base: self.configuration.revision(), change })
            }
        }
    }

    fn decide_weights(&self, model: &str, revision: u64) -> Decision {
        match self.weights.decide(model, revision) {
            WeightsDecision::AlreadyNamed => Decision::AlreadyTaken,
            WeightsDecision::Old { newest } => Decision::OldWeights { newest },
            WeightsDecision::Accept => accept(Prepared::NameWeights { model: model.to_owned(), revision }),
        }
    }

    /// Applies a command.
    pub fn apply(&mut self, command: &[u8]) -> Result<Applied, StateError> {
        let command = musli::wire::from_slice(command).context(MalformedSnafu)?;
        Ok(self.apply_prepared(Prepared::from_command(command)?))
    }

    /// Applies a change that this member itself has decided on.
    pub fn apply_accepted(&mut self, accepted: Accepted) -> Applied {
        self.apply_prepared(accepted.prepared)
    }

    fn apply_prepared(&mut self, prepared: Prepared) -> Applied {
        match prepared {
            Prepared::Configure { base, .. } if base != self.configuration.revision() => {
                Applied::Superseded
            }
            Prepared::Configure { change, .. } => {
                self.configuration.apply(*change);
                Applied::Configuration
            }
            Prepared::NameWeights { model, revision } => match self.weights.name(model, revision) {
                true => Applied::Weights,
                false => Applied::Superseded,
            },
        }
    }

    /// The state as bytes.
    pub fn snapshot(&self) -> Vec<u8> {
        let snapshot =
            Snapshot { configuration: self.configuration.to_snapshot(), weights: self.weights.clone() };
        encode(&snapshot)
    }

    /// The state from the bytes of [`State::snapshot`]; the empty state from none.
    pub fn restore(snapshot: &[u8]) -> Result<State, StateError> {
        if snapshot.is_empty() {
            return Ok(State::default());
        }
        let snapshot: Snapshot = musli::wire::from_slice(snapshot).context(MalformedSnafu)?;
        let configuration =
            ConfigurationState::from_snapshot(&snapshot.configuration).context(ConfigurationSnafu)?;
        Ok(State { configuration, weights: snapshot.weights })
    }
}

impl Prepared {
    fn from_command(command: Command) -> Result<Prepared, StateError> {
        match command {
            Command::Configure { base, change } => {
                let change = AcceptedChange::from_bytes(&change).context(ConfigurationSnafu)?;
                Ok(Prepared::Configure { base, change: Box::new(change) })
            }
            Command::NameWeights { model, revision } => Ok(Prepared::NameWeights { model, revision }),
        }
    }

    fn to_command(&self) -> Command {
        match self {
            Prepared::Configure { base, change } => {
                Command::Configure { base: *base, change: change.to_bytes() }
            }
            Prepared::NameWeights { model, revision } => {
                Command::NameWeights { model: model.clone(), revision: *revision }
            }
        }
    }
}

fn accept(prepared: Prepared) -> Decision {
    let command = encode(&prepared.to_command()).into();
    Decision::Accept(Box::new(Accepted { command, prepared }))
}

/// Encoding into memory has no way to fail for these types.
fn encode<T: Encode<musli::mode::Binary>>(value: &T) -> Vec<u8> {
    musli::wire::to_vec(value).expect("a value of plain fields can be encoded")
}
