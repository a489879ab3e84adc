//! Commands: what the members agree on.

use std::sync::Arc;

use musli::{Decode, Encode};
use tulipridge_configuration::encoding::{self, EncodingError, Format};
use tulipridge_configuration::{AcceptedChange, ChangeEntry};

/// The form of an encoded command.
const COMMAND_FORMAT: Format = Format(*b"CMD2");

/// A change that was decided on, as the members agree on it.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Command {
    /// Puts a configuration in force, on top of the one that it was decided on.
    Configure(ChangeEntry),
    /// Names weights of a model.
    NameWeights {
        /// The model.
        model: String,
        /// The revision of the weights.
        revision: u64,
    },
}

/// A change that was accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct Accepted {
    /// What the members have to agree on.
    pub command: Arc<[u8]>,
    /// The same, ready to be applied.
    pub(super) prepared: Prepared,
}

/// A command, ready to be applied.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Prepared {
    Configure(Box<AcceptedChange>),
    NameWeights { model: String, revision: u64 },
}

impl Command {
    /// The command from its bytes.
    pub fn from_bytes(bytes: &[u8]) -> Result<Command, EncodingError> {
        encoding::decode(COMMAND_FORMAT, bytes)
    }

    /// The command as bytes.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        encoding::encode(COMMAND_FORMAT, self)
    }
}

impl Accepted {
    pub(super) fn new(prepared: Prepared) -> Accepted {
        Accepted { command: prepared.to_command().to_bytes().into(), prepared }
    }
}

impl Prepared {
    fn to_command(&self) -> Command {
        match self {
            Prepared::Configure(change) => Command::Configure(change.entry.clone()),
            Prepared::NameWeights { model, revision } => {
                Command::NameWeights { model: model.clone(), revision: *revision }
            }
        }
    }
}
