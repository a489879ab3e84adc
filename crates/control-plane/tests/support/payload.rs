//! What entries and snapshots of the simulated cluster hold: numbered commands for the agreed state.

use std::sync::Arc;

use tulipridge_control_plane::state::{Applied, State};

/// Bytes of a number.
const WORD: usize = size_of::<u64>();

/// A command with the number by which the checkers know it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct NumberedCommand {
    /// Its number.
    pub number: u64,
    /// The encoded command for the agreed state; empty if it changes nothing there.
    pub command: Arc<[u8]>,
}

impl NumberedCommand {
    /// The entry's bytes.
    pub(crate) fn encode(&self) -> Arc<[u8]> {
        self.number.to_le_bytes().iter().chain(self.command.iter()).copied().collect()
    }

    /// The command from an entry's bytes.
    pub(crate) fn decode(bytes: &[u8]) -> Self {
        let (number, command) = bytes.split_at(WORD);
        NumberedCommand { number: decode_number(number), command: command.into() }
    }
}

/// A member's state: the numbers of all commands so far, and the agreed state.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct AppliedState {
    /// Numbers of the applied commands, in order.
    pub numbers: Vec<u64>,
    /// The agreed state.
    pub state: State,
}

impl AppliedState {
    /// Applies an encoded command; what it changed, if it concerns the agreed state.
    pub(crate) fn apply(&mut self, command: &[u8]) -> Option<Applied> {
        if command.is_empty() {
            return None;
        }
        Some(self.state.apply(command).expect("an agreed command can be applied"))
    }

    /// The same without the agreed state.
    pub(crate) fn without_agreed_state(&self) -> AppliedState {
        AppliedState { numbers: self.numbers.clone(), state: State::default() }
    }

    /// The snapshot's bytes.
    pub(crate) fn encode(&self) -> Arc<[u8]> {
        let count = self.numbers.len() as u64;
        let numbers = std::iter::once(&count).chain(&self.numbers);
        let mut bytes: Vec<u8> = numbers.flat_map(|number| number.to_le_bytes()).collect();
        bytes.extend(self.state.snapshot());
        bytes.into()
    }

    /// The state from a snapshot's bytes; the empty state from none.
    pub(crate) fn decode(bytes: &[u8]) -> Self {
        if bytes.is_empty() {
            return AppliedState::default();
        }
        let (count, rest) = bytes.split_at(WORD);
        let (numbers, state) = rest.split_at(decode_number(count) as usize * WORD);
        AppliedState {
            numbers: numbers.chunks_exact(WORD).map(decode_number).collect(),
            state: State::restore(state).expect("a member's own snapshot can be read"),
        }
    }
}

fn decode_number(bytes: &[u8]) -> u64 {
    u64::from_le_bytes(bytes.try_into().expect("eight bytes"))
}
