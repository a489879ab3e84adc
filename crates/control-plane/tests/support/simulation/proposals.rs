//! Proposals of commands, and waiting for them.

use std::sync::Arc;

use tulipridge_control_plane::replication::{Input, ProposalTicket};

use super::{MS, Simulation};
use crate::support::payload::NumberedCommand;

impl Simulation {
    /// Proposes a command that does not concern the agreed state; its ticket.
    pub(crate) fn propose(&mut self, index: usize) -> u64 {
        self.propose_command(index, Arc::default())
    }

    /// Proposes a command at a machine; its ticket, which is its number too.
    pub(crate) fn propose_command(&mut self, index: usize, command: Arc<[u8]>) -> u64 {
        let number = self.next_command;
        self.next_command += 1;
        let command = NumberedCommand { number, command }.encode();
        self.input(index, Input::Propose { ticket: ProposalTicket(number), command });
        number
    }

    /// Proposes again and again until something is acknowledged; whether it was within the span.
    pub(crate) fn make_progress(&mut self, span: u64) -> bool {
        let until = self.now + span;
        let before = self.done.len();
        while self.now < until && self.checker.violation.is_none() {
            if let Some(primary) = self.primary() {
                self.propose(primary);
            }
            self.run_for(50 * MS);
            if self.done.len() > before {
                return true;
            }
        }
        false
    }

    /// Proposes at the primary and waits for the acknowledgement; the machine that gave it.
    pub(crate) fn acknowledge_one(&mut self) -> usize {
        for _ in 0..400 {
            if let Some(primary) = self.primary() {
                let ticket = self.propose(primary);
                let is_done = self.run_while_not(500 * MS, |simulation| simulation.done.contains(&ticket));
                if is_done {
                    return primary;
                }
            }
            self.run_for(20 * MS);
        }
        panic!("nothing was acknowledged: {:?}", self.checker.violation);
    }
}
