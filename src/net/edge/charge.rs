//! The charge of a request to its tenant's quota.

use std::rc::Rc;

use super::EdgeServer;
use crate::admission::quota::Grant;
use crate::net::upstream::Batch;

/// The token counts that a request's tenant is charged for when the request ends.
pub(super) struct Charge {
    pub(super) edge: Rc<EdgeServer>,
    pub(super) grant: Option<Grant>,
    /// Prompt tokens that were not cached.
    pub(super) prompt: u64,
    /// Output tokens stated so far.
    pub(super) output: u64,
    /// Events of the response; each counts as a token until the response is complete.
    pub(super) events: u64,
    /// Whether a replica may have run the request.
    pub(super) may_have_run: bool,
}

impl Charge {
    /// Records events that were forwarded.
    pub(super) fn record(&mut self, batch: &Batch) {
        self.events += batch.events;
        if let Some(usage) = batch.usage {
            (self.prompt, self.output) = (usage.uncached_prompt(), usage.output);
        }
    }

    /// Records that the response is complete, so that its stated usage replaces the count of events.
    pub(super) fn complete(&mut self) {
        if self.output > 0 {
            self.events = 0;
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if let Some(grant) = self.grant.take() {
            let needed = self.may_have_run.then_some((self.prompt, self.output.max(self.events)));
            self.edge.context.messages.reconcile(self.edge.engine.now(), grant, needed);
        }
    }
}
