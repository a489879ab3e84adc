//! The engine's client interface, implemented for an HTTP exchange that has no response yet.

use std::time::Duration;

use futures_lite::future;

use super::exchange::Exchange;
use super::responding_client::RespondingClient;
use crate::engine::{self, FailureReason, Rejection};
use crate::front::ResponseEncoder;
use crate::net::upstream::Batch;
use tulipridge_http1::RequestError;

/// A client that is waiting for its response. Each way to respond consumes the value, so that no client gets two
/// responses.
pub(super) struct WaitingClient(pub(super) Exchange);

impl engine::Client<Batch> for WaitingClient {
    type Sink = RespondingClient;

    async fn wait_for_disconnect(&mut self) {
        future::poll_fn(|cx| self.0.poll_disconnect(cx)).await;
    }

    /// A client that sent too much pipelined data counts as disconnected too.
    async fn is_disconnected(&mut self) -> bool {
        self.0.wire.recheck_readiness();
        future::poll_once(self.wait_for_disconnect()).await.is_some()
    }

    async fn abandon(mut self) {
        if !self.0.pipelined.input.is_flood() {
            log::debug!(id = self.0.responder.id, after:? = self.0.started_at.elapsed(); "client-gone: the client disconnected before its response");
            return;
        }
        let error = RequestError::PipelinedTooMuch;
        log::info!(id = self.0.responder.id, after:? = self.0.started_at.elapsed(); "flooded: {error}");
        self.0.keep_alive = false;
        let response = self.0.responder.malformed(error);
        self.0.respond(response).await;
    }

    async fn shed(mut self, wait: Duration) {
        log::debug!(id = self.0.responder.id, after:? = self.0.started_at.elapsed(), wait:? = wait; "request-shed: the load balancer shed the request, or its deadline was too near");
        self.0.charge.may_have_run = false;
        let response = self.0.responder.shed(wait);
        self.0.respond(response).await;
    }

    async fn reject(mut self, Rejection { status, message }: Rejection) {
        log::info!(id = self.0.responder.id, status = status; "rejected: {message}");
        self.0.charge.may_have_run = false;
        let response = self.0.responder.invalid_request(status, &message);
        self.0.respond(response).await;
    }

    async fn fail(mut self, reason: FailureReason) {
        log::debug!(id = self.0.responder.id, after:? = self.0.started_at.elapsed(), why:% = reason; "failed: no replica produced a response; the client gets an error");
        if reason == FailureReason::Refused {
            self.0.charge.may_have_run = false;
        }
        let response = self.0.responder.failed(reason);
        self.0.respond(response).await;
    }

    fn begin_response(self) -> RespondingClient {
        let context = &self.0.edge.context;
        let encoder = ResponseEncoder::new(
            self.0.responder.clone(),
            &self.0.model,
            self.0.is_message,
            context.omissions.clone(),
            &self.0.edge.limits,
        );
        RespondingClient { exchange: self.0, encoder, out: Vec::new(), written: 0 }
    }
}
