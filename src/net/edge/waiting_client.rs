//! A client that is waiting for its response.

use std::time::Duration;

use futures_lite::future;

use super::exchange::Exchange;
use super::responding_client::RespondingClient;
use crate::engine::{self, FailureReason, Rejection};
use crate::front::ResponseEncoder;
use crate::net::upstream::Batch;
use tulipridge_http1::RequestError;

/// A client that is waiting for its response. Each way to respond consumes it, so that it gets exactly one response.
pub(super) struct WaitingClient(pub(super) Exchange);

impl engine::Client<Batch> for WaitingClient {
    type Sink = RespondingClient;

    async fn wait_for_disconnect(&mut self) {
        future::poll_fn(|cx| self.0.poll_disconnect(cx)).await;
    }

    async fn is_disconnected(&mut self) -> bool {
        self.0.wire.recheck_readiness();
        future::poll_once(self.wait_for_disconnect()).await.is_some()
    }

    async fn abandon(mut self) {
        if !self.0.pipelined.input.is_flood() {
            log::debug!(id = self.0.responder.id, after:? = self.0.from.elapsed(); "client-gone: the client disconnected before its response");
            return;
        }
        let error = RequestError::PipelinedTooMuch;
        log::info!(id = self.0.responder.id, after:? = self.0.from.elapsed(); "flooded: {error}");
        self.0.keep = false;
        let response = self.0.responder.malformed(error);
        self.0.respond(response).await;
    }

    async fn shed(mut self, wait: Duration) {
        log::debug!(id = self.0.responder.id, after:? = self.0.from.elapsed(), wait:? = wait; "request-shed: shed by the load balancer, or too little time left");
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

    async fn fail(mut self, why: FailureReason) {
        log::debug!(id = self.0.responder.id, after:? = self.0.from.elapsed(), why:? = why; "failed: the load balancer ended the request without a response");
        if why == FailureReason::Refused {
            self.0.charge.may_have_run = false;
        }
        let response = self.0.responder.failed(why);
        self.0.respond(response).await;
    }

    fn begin(self) -> RespondingClient {
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
