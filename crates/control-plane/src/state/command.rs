//! Commands, which the members replicate. Their encoding is stored and sent: the order of variants and fields is part
//! of it.

use std::sync::Arc;

use musli::{Decode, Encode};
use tulipridge_configuration::encoding::{self, DecodeError, Format};
use tulipridge_configuration::number::WeightsRevision;
use tulipridge_configuration::{AcceptedChange, ChangeEntry};

/// The format of an encoded command.
const COMMAND_FORMAT: Format = Format(*b"CMD2");

/// An accepted change in the form that the members replicate.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Command {
    /// Puts a configuration in force on top of the one that the decision was based on.
    Configure(ChangeEntry),
    /// Sets the target revision of a model's weights.
    SetTargetRevision {
        /// The model.
        model: String,
        /// The revision of the weights.
        revision: WeightsRevision,
    },
}

/// An accepted change.
#[derive(Clone, Debug, PartialEq)]
pub struct Accepted {
    /// The encoded command to propose.
    pub command: Arc<[u8]>,
    /// The decoded command, ready to be applied without decoding.
    pub(super) prepared: Prepared,
}

/// A decoded command, ready to be applied.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Prepared {
    Configure(Box<AcceptedChange>),
    SetTargetRevision { model: String, revision: WeightsRevision },
}

impl Command {
    /// Decodes a command.
    ///
    /// # Errors
    ///
    /// If the bytes have another format.
    pub fn from_bytes(bytes: &[u8]) -> Result<Command, DecodeError> {
        encoding::decode(COMMAND_FORMAT, bytes)
    }

    /// Encodes the command.
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
            Prepared::SetTargetRevision { model, revision } => {
                Command::SetTargetRevision { model: model.clone(), revision: *revision }
            }
        }
    }
}
