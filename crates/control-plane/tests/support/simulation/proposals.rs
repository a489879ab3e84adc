//! Proposals of commands, and waiting for their acknowledgement.

use std::sync::Arc;

use tulipridge_control_plane::replication::{Input, ProposalTicket};

use super::{MS, Simulation};
use crate::support::payload::NumberedCommand;

impl Simulation {
    /// Proposes a command that leaves the replicated state unchanged; returns its ticket.
    pub(crate) fn propose(&mut self, index: usize) -> u64 {
        self.propose_command(index, Arc::default())
    }

    /// Proposes a command at a machine; returns its ticket, which equals its number.
    pub(crate) fn propose_command(&mut self, index: usize, command: Arc<[u8]>) -> u64 {
        let number = self.next_command;
        self.next_command += 1;
        let command = NumberedCommand { number, command }.encode();
        self.input(index, Input::Propose { ticket: ProposalTicket(number), command });
        number
    }

    /// Proposes commands until one is acknowledged; returns whether that happened within the span.
    pub(crate) fn make_progress(&mut self, span: u64) -> bool {
        let until = self.now + span;
        let before = self.acknowledged.len();
        while self.now < until && self.checker.violation.is_none() {
            if let Some(primary) = self.primary() {
                self.propose(primary);
            }
            self.run_for(50 * MS);
            if self.acknowledged.len() > before {
                return true;
            }
        }
        false
    }

    /// Proposes a command at the primary and waits for the acknowledgement; returns the primary.
    pub(crate) fn acknowledge_one(&mut self) -> usize {
        for _ in 0..400 {
            if let Some(primary) = self.primary() {
                let ticket = self.propose(primary);
                let is_done = self
                    .run_until_or_timeout(500 * MS, |simulation| simulation.acknowledged.contains(&ticket));
                if is_done {
                    return primary;
                }
            }
            self.run_for(20 * MS);
        }
        panic!("no proposal was acknowledged: {:?}", self.checker.violation);
    }
}
