//! The attempts of a request: checks that a send is still allowed, sends the request to a replica, and applies the
//! retry table to an attempt that failed.

use std::rc::Rc;

use tulipridge_load_balancer::types::{ReplicaId, Verdict};

use super::interruption::Interruption;
use super::{Exchange, FinalResponse, RETRY_AFTER_DEFAULT, RETRY_AFTER_SHORT, Step};
use crate::downstream::client::Client;
use crate::placement::queued_work;
use crate::replica::attempt::{self, AttemptResult, UpstreamRequest};
use crate::replica::connect_error::ConnectError;
use crate::replica::connection::Connection;
use crate::replica::outcome::AttemptOutcome;
use crate::replica::replicas::ReplicaEntry;
use crate::replica::response::ErrorResponse;
use crate::replica::retry::{self, RetryAction};

impl Exchange<'_> {
    /// Executes the load balancer's decision to send the request to a replica as attempt number `attempt`.
    pub(super) async fn attempt(
        &mut self,
        client: &mut Client<'_>,
        attempt: u32,
        replica: &ReplicaId,
    ) -> Step {
        self.placed.begin_attempt(attempt);
        if !self.is_still_admitted() {
            return Step::Respond(self.failed_response(RETRY_AFTER_SHORT));
        }
        let replica = self.proxy.replicas.borrow().ready(replica).cloned();
        let Some(replica) = replica.filter(|_| self.may_send()) else {
            self.placed.end_attempt(Verdict::NotSent, false);
            return Step::Continue;
        };
        let connection = match self.connect(client, &replica).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(error)) => return self.handle_failure(&replica.id, error.outcome(), None),
            Err(interruption) => return self.interrupt(interruption),
        };
        // While the connection was being established, the replica may have begun to drain, or the configuration may
        // have changed.
        if !self.is_still_admitted() {
            return Step::Respond(self.failed_response(RETRY_AFTER_SHORT));
        }
        let is_ready = self.proxy.replicas.borrow().ready(&replica.id).is_some();
        if !is_ready || !self.reserve_send() {
            self.placed.end_attempt(Verdict::NotSent, false);
            return Step::Continue;
        }
        self.send(client, replica, connection).await
    }

    /// Whether the newest configuration still handles the request as it was admitted.
    fn is_still_admitted(&self) -> bool {
        let newest = self.proxy.routing_for(&self.request.head);
        newest.is_some_and(|newest| self.admitted.is_equivalent_under(&newest, &self.request.head))
    }

    /// Whether a send is allowed. The first send always is. A retry must be safe, and within the maximum attempts of
    /// the route and the retry budget of the service.
    pub(super) fn may_send(&self) -> bool {
        let is_in_budget = || {
            self.sends < self.admitted.route().max_attempts
                && self.proxy.retry_budgets.has_token(self.admitted.service())
        };
        self.sends == 0 || retry::may_retry(self.kind(), self.execution) && is_in_budget()
    }

    /// Counts a send that follows immediately. A retry takes a token from the retry budget. Returns false if the send
    /// is not allowed.
    fn reserve_send(&mut self) -> bool {
        let service = self.admitted.service();
        if self.sends == 0 {
            self.proxy.retry_budgets.record_first_send(service);
            self.proxy.counters.first_sends.increment();
        } else if self.may_send() && self.proxy.retry_budgets.take_token(service) {
            self.proxy.counters.retries.increment();
        } else {
            return false;
        }
        self.sends += 1;
        true
    }

    /// Takes an idle connection to the replica from the pool, or opens a connection if there is none.
    async fn connect(
        &self,
        client: &mut Client<'_>,
        replica: &ReplicaEntry,
    ) -> Result<Result<Connection, ConnectError>, Interruption> {
        if let Some(connection) = self.proxy.pool.check_out(&replica.id) {
            return Ok(Ok(connection));
        }
        self.proxy.counters.connects.increment();
        self.unless_interrupted(client, self.proxy.pool.connect(replica.address)).await
    }

    /// Writes the request, and reads the response up to the point where forwarding may begin.
    async fn send(
        &mut self,
        client: &mut Client<'_>,
        replica: Rc<ReplicaEntry>,
        connection: Connection,
    ) -> Step {
        let head = self.head_for(&replica);
        let work = queued_work::work_units(head.unread_tokens);
        let request = UpstreamRequest {
            head: &head.bytes,
            body: &self.request.body,
            attempt_id: self.request.attempt_id(),
            is_head_request: self.request.is_head_request(),
        };
        self.placed.record_send(&replica.id, work);
        let queued_work = self.proxy.queued_work.add(&replica.id, work);
        let weights = self.request.head.get("llm").and_then(|model| replica.weights(model));
        let attempt = attempt::run(&self.proxy.pool, &replica, connection, request);
        let attempt = self.unless_expired(weights, attempt);
        let result = self.unless_interrupted(client, attempt).await;
        drop(queued_work);
        match result {
            Ok(AttemptResult::Success(response)) => {
                self.execution = AttemptOutcome::Success.execution();
                self.placed.record_first_token();
                Step::Forward(response)
            }
            Ok(AttemptResult::Error { outcome, response }) => {
                self.handle_failure(&replica.id, outcome, Some(Box::new(response)))
            }
            Ok(AttemptResult::Failed(outcome)) => self.handle_failure(&replica.id, outcome, None),
            Err(interruption) => self.interrupt(interruption),
        }
    }

    /// Applies the retry table to an attempt that failed before anything was forwarded.
    fn handle_failure(
        &mut self,
        replica: &ReplicaId,
        outcome: AttemptOutcome,
        error: Option<Box<ErrorResponse>>,
    ) -> Step {
        let decision = retry::decide(self.kind(), outcome);
        self.execution = self.execution.max(decision.execution);
        let is_retried = match decision.action {
            RetryAction::Retry => true,
            RetryAction::RetryOrForward => self.may_send(),
            RetryAction::Resume | RetryAction::Forward | RetryAction::Fail | RetryAction::Abort => false,
        };
        self.placed.end_attempt(decision.verdict, !is_retried);
        match outcome {
            AttemptOutcome::WrongReplica => self.proxy.displace(replica),
            AttemptOutcome::WeightsExpired => self.proxy.counters.weights_expired.increment(),
            _ => {}
        }
        match error {
            Some(error) if is_retried => self.last_error = Some(error),
            Some(error) => return Step::Respond(FinalResponse::Upstream(error)),
            None if is_retried => {}
            None => return Step::Respond(self.failed_response(RETRY_AFTER_DEFAULT)),
        }
        Step::Continue
    }
}
