//! What ends an attempt before it has a result: the client, the deadline, the load balancer, or expired weights.

use std::task::Poll;

use futures_lite::future;
use tulipridge_protocol::feed::ModelRevision;

use super::{Exchange, FinalResponse, RETRY_AFTER_SHORT, Step};
use crate::downstream::client::Client;
use crate::placement::RequestAction;
use crate::replica::attempt::AttemptResult;
use crate::replica::outcome::AttemptOutcome;

/// Why an attempt was ended early.
pub(super) enum Interruption {
    /// Downstream: the client has disconnected.
    ClientDisconnected,
    /// Internal: the load balancer decided on an action for the request, or the deadline passed.
    Action(RequestAction),
}

impl Exchange<'_> {
    /// The result of `work`, unless the client disconnects, the load balancer decides on an action, or the deadline
    /// passes first. The deadline is checked here because the load balancer does not enforce it once a response has
    /// begun, as when a stream is to be resumed.
    pub(super) async fn unless_interrupted<T>(
        &self,
        client: &mut Client<'_>,
        work: impl Future<Output = T>,
    ) -> Result<T, Interruption> {
        let mut deadline = self.proxy.timers.sleep_until(self.deadline);
        let interrupted = future::poll_fn(|context| {
            if let Poll::Ready(action) = self.placed.poll_action(context) {
                return Poll::Ready(Err(Interruption::Action(action)));
            }
            if client.poll_disconnected(context).is_ready() {
                return Poll::Ready(Err(Interruption::ClientDisconnected));
            }
            deadline.poll_passed(context).map(|()| Err(Interruption::Action(RequestAction::Fail)))
        });
        future::or(async { Ok(work.await) }, interrupted).await
    }

    /// The result of an attempt, or [`AttemptOutcome::WeightsExpired`] if there is none by the time at which requests
    /// queued on these weights are cancelled.
    pub(super) async fn unless_expired(
        &self,
        weights: Option<&ModelRevision>,
        attempt: impl Future<Output = AttemptResult>,
    ) -> AttemptResult {
        let Some(weights) = weights else { return attempt.await };
        let expired = async {
            self.proxy.weights_expired(weights).await;
            AttemptResult::Failed(AttemptOutcome::WeightsExpired)
        };
        future::or(attempt, expired).await
    }

    /// Ends the attempt in flight.
    pub(super) fn interrupt(&mut self, interruption: Interruption) -> Step {
        match interruption {
            Interruption::ClientDisconnected => Step::Respond(FinalResponse::ClientDisconnected),
            Interruption::Action(action) => self.interrupt_by_action(action),
        }
    }

    fn interrupt_by_action(&mut self, action: RequestAction) -> Step {
        if self.placed.may_have_run() {
            self.execution = self.execution.max(AttemptOutcome::ResponseTimeout.execution());
        }
        match action {
            RequestAction::Cancel(_) => {
                self.placed.cancel_attempt(false);
                Step::Continue
            }
            RequestAction::Fail => {
                self.placed.cancel_attempt(true);
                Step::Respond(self.failed_response(RETRY_AFTER_SHORT))
            }
            RequestAction::Refuse(wait) => {
                self.placed.cancel_attempt(true);
                Step::Respond(self.abandoned_response(wait))
            }
            // The load balancer sends no second attempt while an attempt is in flight.
            RequestAction::Send { .. } => Step::Continue,
        }
    }
}
