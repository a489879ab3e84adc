//! Front for the messages API: responses as streams of named events or as one message, token counts, and models.

mod accept;
pub mod errors;
pub mod message_assembler;
pub mod models;
mod rate_limits;
pub mod request;
pub mod route;

use std::cell::RefCell;

use super::{FrontContext, FrontDecision, ReplicaDialects, Response};
use crate::admission::quota::{Grant, Quota, Rates};
use crate::api_keys::{Key, KeyOwner, Keys};
use crate::types::Nanos;
use errors::ApiError;
use models::Models;
use request::{Purpose, Request};
use route::Route;
use tulipridge_http1::codec::Head;

/// Path of requests for a response.
pub const PATH: &str = "/v1/messages";
const COUNT_TOKENS_PATH: &str = "/v1/messages/count_tokens";
const MODELS_PATH: &str = "/v1/models";
const HEALTH_PATH: &str = "/_health";

/// Settings of the messages front.
#[derive(Clone, Debug, Default)]
pub struct Setup {
    /// API keys of clients; empty if clients need none.
    pub keys: Keys,
    /// Models on the model list.
    pub models: Models,
    /// Whether requests are limited to listed models.
    pub only_listed: bool,
    /// Rate limits of each tenant, by its index.
    pub rates: Vec<Rates>,
}

/// State of the messages front.
pub struct Front {
    /// API keys of clients; empty if clients need none.
    pub keys: Keys,
    models: Models,
    only_listed: bool,
    quota: RefCell<Quota>,
}

impl Front {
    /// Creates the state from the settings.
    #[must_use]
    pub fn new(setup: Setup) -> Front {
        let Setup { keys, models, only_listed, rates } = setup;
        Front { keys, models, only_listed, quota: RefCell::new(Quota::new(&rates)) }
    }

    /// Replaces the charge of a request on admission by its actual token counts; `None` if no replica has run it.
    pub fn reconcile(&self, now: Nanos, grant: Grant, needed: Option<(u64, u64)>) {
        self.quota.borrow_mut().reconcile(now, grant, needed);
    }
}

/// The resource that a path addresses.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Endpoint<'p> {
    Messages,
    CountTokens,
    Models,
    Model(&'p str),
    Health,
    Root,
}

impl<'p> Endpoint<'p> {
    fn from_path(path: &'p str) -> Option<Endpoint<'p>> {
        match path {
            PATH => Some(Endpoint::Messages),
            COUNT_TOKENS_PATH => Some(Endpoint::CountTokens),
            MODELS_PATH => Some(Endpoint::Models),
            HEALTH_PATH => Some(Endpoint::Health),
            "/" => Some(Endpoint::Root),
            _ => {
                let model = path.strip_prefix(MODELS_PATH).filter(|rest| rest.starts_with('/'))?;
                Some(Endpoint::Model(model.trim_start_matches('/')))
            }
        }
    }

    /// The supported methods, in the form of the header `Allow`.
    fn methods(self) -> &'static str {
        match self {
            Endpoint::Messages | Endpoint::CountTokens => "POST, OPTIONS",
            _ => "GET, HEAD, OPTIONS",
        }
    }

    fn requires_key(self) -> bool {
        !matches!(self, Endpoint::Health | Endpoint::Root)
    }
}

/// Reads a request with the id `id`: either accepts it, or creates the response. `dialects` are those of the fleet's
/// replicas.
pub fn read_request(
    context: &FrontContext,
    now: Nanos,
    head: &Head,
    body: &[u8],
    id: &str,
    dialects: ReplicaDialects,
) -> FrontDecision {
    let path = head.start[1].split('?').next().unwrap_or_default();
    let method = head.start[0].as_str();
    let Some(endpoint) = Endpoint::from_path(path) else {
        return FrontDecision::Respond(ApiError::new(404, format!("{path}: nothing is here")).response(id));
    };
    let allowed = endpoint.methods();
    if method == "OPTIONS" {
        return FrontDecision::Respond(
            Response::text(204, "").with_header("Allow", allowed).with_header("request-id", id),
        );
    }
    if !allowed.split(", ").any(|allowed| allowed == method) {
        let error = ApiError::new(405, format!("{method}: only {allowed} are taken here"));
        return FrontDecision::Respond(error.response(id).with_header("Allow", allowed));
    }
    if endpoint == Endpoint::Health && method == "GET" {
        return FrontDecision::Health;
    }
    let key = if endpoint.requires_key() { authenticate(context, head) } else { Ok(None) };
    let response = match (key, endpoint) {
        (Ok(key), Endpoint::Messages) => {
            let request = accept::IncomingRequest { now, head, body, id, dialects, key };
            return match accept::accept(context, &request) {
                Ok(accepted) => FrontDecision::Serve(Box::new(accepted)),
                Err(response) => FrontDecision::Respond(*response),
            };
        }
        (Ok(_), endpoint) => respond(context, endpoint, head, body),
        (Err(error), _) => Err(error),
    };
    let response = match response {
        Ok(response) => response.with_header("request-id", id),
        Err(error) => error.response(id),
    };
    FrontDecision::Respond(if method == "HEAD" { response.head_only() } else { response })
}

/// The response of an endpoint that needs no replica.
fn respond(
    context: &FrontContext,
    endpoint: Endpoint<'_>,
    head: &Head,
    body: &[u8],
) -> Result<Response, ApiError> {
    let models = &context.messages.models;
    match endpoint {
        Endpoint::CountTokens => count_tokens(context, body),
        Endpoint::Models => {
            let page = models::page(models, head);
            page.map(|body| Response::json(200, body))
                .map_err(|error| ApiError::new(400, error.to_string()))
        }
        Endpoint::Model(id) => {
            let model = models::find(models, id).map(|body| Response::json(200, body));
            model.ok_or_else(|| ApiError::new(404, format!("model: none is called '{id}'")))
        }
        Endpoint::Messages | Endpoint::Health | Endpoint::Root => {
            Ok(Response::text(200, "a gateway to the messages API"))
        }
    }
}

/// The API key that a request presents; `None` if no keys are configured.
fn authenticate<'d>(context: &'d FrontContext, head: &Head) -> Result<Option<&'d Key>, ApiError> {
    match context.messages.keys.owner(head) {
        KeyOwner::NotRequired => Ok(None),
        KeyOwner::Known(key) => Ok(Some(key)),
        KeyOwner::Missing => Err(ApiError::new(401, "x-api-key: a key is required")),
        KeyOwner::Unknown => Err(ApiError::new(401, "x-api-key: the key is not known here")),
    }
}

fn count_tokens(context: &FrontContext, body: &[u8]) -> Result<Response, ApiError> {
    let request = Request::read(body, Purpose::TokenCount, &context.limits.messages);
    let request = request.map_err(|error| ApiError::new(400, error.to_string()))?;
    let tokens = Route::of(&request).tokens;
    let body = serde_json::json!({"input_tokens": tokens, "rule": route::TOKEN_COUNT_RULE});
    Ok(Response::json(200, body.to_string().into_bytes()))
}
