//! What a request costs its tenant.

use std::rc::Rc;

use super::Edge;
use crate::admission::quota::Grant;
use crate::net::servers::Batch;

/// What a request is charged with by its tenant's limits, once it is over.
pub(super) struct Charge {
    pub(super) edge: Rc<Edge>,
    pub(super) grant: Option<Grant>,
    /// Tokens of the prompt that were read.
    pub(super) prompt: u64,
    /// Tokens of the answer, as far as they were told.
    pub(super) answer: u64,
    /// Events of the answer: until it has ended whole, each stands for a token.
    pub(super) events: u64,
    /// Some real server may have run it.
    pub(super) ran: bool,
}

impl Charge {
    /// Events of the answer were passed on.
    pub(super) fn passed(&mut self, batch: &Batch) {
        self.events += batch.events;
        if let Some(usage) = batch.usage {
            (self.prompt, self.answer) = (usage.unkept(), usage.answer);
        }
    }

    /// The answer is whole, and what was told of it holds.
    pub(super) fn whole(&mut self) {
        if self.answer > 0 {
            self.events = 0;
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if let Some(grant) = self.grant.take() {
            let needed = self.ran.then_some((self.prompt, self.answer.max(self.events)));
            self.edge.context.messages.settle(self.edge.engine.now(), grant, needed);
        }
    }
}
