//! Charging a request to its tenant.

use std::rc::Rc;

use super::Edge;
use crate::admission::quota::Grant;
use crate::net::upstream::Batch;

/// What a request is charged to its tenant when it ends.
pub(super) struct Charge {
    pub(super) edge: Rc<Edge>,
    pub(super) grant: Option<Grant>,
    /// Prompt tokens that were not cached.
    pub(super) prompt: u64,
    /// Output tokens stated so far.
    pub(super) output: u64,
    /// Events of the response; each counts as a token until the response is complete.
    pub(super) events: u64,
    /// Whether a replica may have run it.
    pub(super) ran: bool,
}

impl Charge {
    /// Records events that were forwarded.
    pub(super) fn record(&mut self, batch: &Batch) {
        self.events += batch.events;
        if let Some(usage) = batch.usage {
            (self.prompt, self.output) = (usage.uncached_prompt(), usage.output);
        }
    }

    /// The response is complete, so the usage that it has stated counts.
    pub(super) fn complete(&mut self) {
        if self.output > 0 {
            self.events = 0;
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if let Some(grant) = self.grant.take() {
            let needed = self.ran.then_some((self.prompt, self.output.max(self.events)));
            self.edge.context.messages.reconcile(self.edge.engine.now(), grant, needed);
        }
    }
}
