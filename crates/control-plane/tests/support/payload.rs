//! Log entries and snapshots of the simulated cluster: numbered commands for the replicated state.

use std::sync::Arc;

use tulipridge_control_plane::state::{Applied, State};

/// Size of an encoded number, in bytes.
const NUMBER_BYTES: usize = size_of::<u64>();

/// A command with a number that identifies it to the checker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct NumberedCommand {
    /// Number of the command, unique within a simulation.
    pub number: u64,
    /// The encoded command for the replicated state; empty if the command changes nothing there.
    pub command: Arc<[u8]>,
}

impl NumberedCommand {
    /// Encodes a log entry.
    pub(crate) fn encode(&self) -> Arc<[u8]> {
        self.number.to_le_bytes().iter().chain(self.command.iter()).copied().collect()
    }

    /// Decodes a log entry.
    pub(crate) fn decode(bytes: &[u8]) -> Self {
        let (number, command) = bytes.split_at(NUMBER_BYTES);
        NumberedCommand { number: decode_number(number), command: command.into() }
    }
}

/// A member's state: the numbers of all applied commands, and the replicated state.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct AppliedState {
    /// Numbers of the applied commands, in order.
    pub numbers: Vec<u64>,
    /// The replicated state.
    pub state: State,
}

impl AppliedState {
    /// Applies an encoded command; returns its effect, or `None` for an empty command.
    pub(crate) fn apply(&mut self, command: &[u8]) -> Option<Applied> {
        if command.is_empty() {
            return None;
        }
        Some(self.state.apply(command).expect("a committed command can be applied"))
    }

    /// A copy with an empty replicated state.
    pub(crate) fn without_replicated_state(&self) -> AppliedState {
        AppliedState { numbers: self.numbers.clone(), state: State::default() }
    }

    /// Encodes a snapshot.
    pub(crate) fn encode(&self) -> Arc<[u8]> {
        let count = self.numbers.len() as u64;
        let numbers = std::iter::once(&count).chain(&self.numbers);
        let mut bytes: Vec<u8> = numbers.flat_map(|number| number.to_le_bytes()).collect();
        bytes.extend(self.state.snapshot());
        bytes.into()
    }

    /// Decodes a snapshot; no bytes decode to the empty state.
    pub(crate) fn decode(bytes: &[u8]) -> Self {
        if bytes.is_empty() {
            return AppliedState::default();
        }
        let (count, rest) = bytes.split_at(NUMBER_BYTES);
        let (numbers, state) = rest.split_at(decode_number(count) as usize * NUMBER_BYTES);
        AppliedState {
            numbers: numbers.chunks_exact(NUMBER_BYTES).map(decode_number).collect(),
            state: State::restore(state).expect("a member's own snapshot can be read"),
        }
    }
}

fn decode_number(bytes: &[u8]) -> u64 {
    u64::from_le_bytes(bytes.try_into().expect("eight bytes"))
}
