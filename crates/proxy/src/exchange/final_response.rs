//! The final response of a request: a replica's response, which is forwarded as it arrives, or a response that the
//! proxy itself generates.

use std::time::Instant;

use tulipridge_http1::codec::Body;

use super::{DEADLINE_GRACE, Exchange, FinalResponse};
use crate::downstream::client::{Client, Completion, write_local_response, write_response};
use crate::downstream::relay::{Relay, RelayEnd};
use crate::headers::{self, Framing, LocalResponse};
use crate::replica::outcome::AttemptOutcome;
use crate::replica::replicas::ReplicaEntry;
use crate::replica::request_kind::RequestKind;
use crate::replica::response::{BodyError, ErrorResponse, UpstreamResponse};
use crate::replica::retry::{self, RetryAction};

impl Exchange<'_> {
    /// Writes the final response of a request. If a part of a replica's response was already forwarded, aborts that
    /// response instead.
    pub(super) async fn respond(mut self, client: Client<'_>, response: FinalResponse) -> Completion {
        let counters = &self.proxy.counters;
        if self.relay.is_some() {
            counters.aborted.increment();
            return Completion::Abort;
        }
        match (response, self.last_error.take()) {
            (FinalResponse::ClientDisconnected, _) => {
                counters.client_disconnects.increment();
                Completion::Abort
            }
            (FinalResponse::Local(_), Some(error)) | (FinalResponse::Upstream(error), _) => {
                counters.failed.increment();
                self.respond_upstream_error(client, &error).await
            }
            (FinalResponse::Local(response), None) => self.respond_locally(client, response).await,
        }
    }

    async fn respond_locally(self, client: Client<'_>, response: LocalResponse) -> Completion {
        let (proxy, request) = (self.proxy, self.request);
        if response.is_refusal() {
            proxy.counters.refused.increment();
        } else {
            proxy.counters.failed.increment();
        }
        // An attempt that is still in flight is cancelled before the client gets its response.
        drop(self);
        write_local_response(proxy, client, request, response).await
    }

    async fn respond_upstream_error(self, client: Client<'_>, error: &ErrorResponse) -> Completion {
        let proxy = self.proxy;
        let is_head_request = self.request.is_head_request();
        drop(self);
        let persistence = client.persistence(proxy);
        let framing = match error.head.response_body() {
            _ if is_head_request => Framing::None,
            Ok(Body::Length(0)) if error.body.is_empty() => Framing::None,
            _ => Framing::Length(error.body.len()),
        };
        let mut bytes = Vec::new();
        headers::write_response_head(&error.head, framing, persistence, &mut bytes);
        bytes.extend_from_slice(&error.body);
        write_response(proxy, client, &bytes, persistence).await
    }

    /// Forwards a successful response as it arrives. None if the response broke off and a further attempt may resume or
    /// restart it.
    pub(super) async fn forward(
        &mut self,
        client: &mut Client<'_>,
        response: Box<UpstreamResponse>,
    ) -> Option<Completion> {
        let mut relay = match self.relay.take() {
            Some(relay) => relay,
            None => self.new_relay(client, &response),
        };
        let replica = response.replica.clone();
        let abort_at = self.deadline + DEADLINE_GRACE;
        let end = relay.forward(self.proxy, client, *response, abort_at).await;
        let counters = &self.proxy.counters;
        match end {
            RelayEnd::Complete => {
                counters.completed.increment();
                self.placed.end_attempt(AttemptOutcome::Success.verdict(), true);
                Some(relay.persistence().into())
            }
            RelayEnd::ClientDisconnected => {
                counters.client_disconnects.increment();
                Some(Completion::Abort)
            }
            RelayEnd::UpstreamBroken(error) => self.handle_broken_response(client, relay, &replica, error),
        }
    }

    fn new_relay(&self, client: &Client<'_>, response: &UpstreamResponse) -> Relay {
        let may_resume = self.kind() == RequestKind::ResumableStream;
        Relay::new(response, may_resume, client.persistence(self.proxy), self.request.is_head_request())
    }

    /// Applies the retry table to a successful response that broke off. None if a further attempt may follow.
    fn handle_broken_response(
        &mut self,
        client: &mut Client<'_>,
        mut relay: Relay,
        replica: &ReplicaEntry,
        error: BodyError,
    ) -> Option<Completion> {
        let outcome = if relay.has_begun() {
            AttemptOutcome::TruncatedResponse
        } else {
            AttemptOutcome::BrokenInResponse
        };
        let decision = retry::decide(self.kind(), outcome);
        let is_resumed = decision.action == RetryAction::Resume && self.may_resume(&mut relay);
        let is_retried = is_resumed || decision.action == RetryAction::Retry;
        log::debug!(
            replica = &*replica.id.0, error:% = error, outcome:? = outcome, resumed = is_resumed;
            "a response broke off"
        );
        self.placed.end_attempt(decision.verdict, !is_retried);
        if !is_retried {
            self.proxy.counters.aborted.increment();
            client.stream.reset_on_drop = relay.ends_with_connection();
            return Some(Completion::Abort);
        }
        if is_resumed {
            self.proxy.counters.resumed.increment();
            self.relay = Some(relay);
        }
        None
    }

    fn may_resume(&self, relay: &mut Relay) -> bool {
        relay.prepare_resume() && self.may_send() && Instant::now() < self.deadline
    }
}
