//! Request fronts: convert client requests to placement requests, and outcomes to responses.
//!
//! A client and its replica may use different dialects. Within one dialect, bytes are forwarded unchanged;
//! otherwise [`translate`] translates requests and events.

mod body_error;
mod forwarded_request;
pub mod messages;
pub mod object;
pub mod platform;
mod responder;
mod response;
mod response_encoder;
pub mod translate;
pub mod write;

use std::cell::RefCell;
use std::ops::Range;
use std::rc::Rc;

use crate::admission::quota::Grant;
use crate::engine::PlacementRequest;
use crate::limits::Limits;
pub use crate::names::Dialect;
use crate::names::Names;
use crate::types::Nanos;
pub use body_error::BodyError;
pub use forwarded_request::ForwardedRequest;
pub use responder::Responder;
pub use response::Response;
pub use response_encoder::ResponseEncoder;
pub use translate::{OmissionLog, StreamTranslator, Usage};
use tulipridge_http1::codec::{self, Head, SseBlock};

/// Additional headers of a response.
pub type Headers = Vec<(&'static str, String)>;

/// State that all fronts share.
pub struct FrontContext {
    /// Names of classes, tenants and models in requests.
    pub names: Rc<RefCell<Names>>,
    /// Limits on sizes and counts.
    pub limits: Rc<Limits>,
    /// Events that were omitted in translation between dialects.
    pub omissions: Rc<OmissionLog>,
    /// State of the front for the messages API.
    pub messages: messages::Front,
}

impl FrontContext {
    /// Creates the shared state; `setup` has the settings of the messages front.
    pub fn new(names: Rc<RefCell<Names>>, limits: Rc<Limits>, setup: messages::Setup) -> FrontContext {
        let omissions = Rc::new(OmissionLog::new(&limits));
        FrontContext { names, limits, omissions, messages: messages::Front::new(setup) }
    }

    /// Reads a client's request with the id `id`. `dialects` are those of the fleet's replicas.
    pub fn read_request(
        &self,
        now: Nanos,
        dialect: Dialect,
        head: &Head,
        body: &[u8],
        id: &str,
        dialects: ReplicaDialects,
    ) -> FrontDecision {
        match dialect {
            Dialect::Platform => platform::read_request(self, head, body, dialects),
            Dialect::Messages => messages::read_request(self, now, head, body, id, dialects),
        }
    }

    /// Whether a header contains the client's API key, which must not be forwarded. False if no keys are configured.
    fn is_secret(&self, name: &str) -> bool {
        !self.messages.keys.is_empty()
            && ["x-api-key", "authorization"].iter().any(|s| name.eq_ignore_ascii_case(s))
    }
}

/// The dialects of the ready replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaDialects {
    /// Whether any replica speaks the platform's dialect.
    pub platform: bool,
    /// Whether any replica speaks the dialect of the messages API.
    pub messages: bool,
}

impl ReplicaDialects {
    /// Whether any replica speaks a dialect other than `dialect`.
    fn has_other_than(self, dialect: Dialect) -> bool {
        match dialect {
            Dialect::Platform => self.messages,
            Dialect::Messages => self.platform,
        }
    }
}

/// The next step for a request, after a front has read it.
pub enum FrontDecision {
    /// Place the request on a replica.
    Serve(Box<AcceptedRequest>),
    /// Report the gateway's readiness.
    Health,
    /// Send this response; no replica is involved.
    Respond(Response),
}

/// A replacement of bytes in a request's body before forwarding.
pub struct BodyEdit {
    /// Range of the replaced bytes; an empty range is an insertion.
    pub range: Range<usize>,
    /// The new bytes.
    pub replacement: &'static [u8],
}

/// A valid request that is ready for placement.
pub struct AcceptedRequest {
    /// Request to the load balancer.
    pub placement: PlacementRequest,
    /// Model name for the response.
    pub model: String,
    /// Whether the client expects one message instead of a stream.
    pub is_message: bool,
    /// Edit of the body before forwarding.
    pub edit: Option<BodyEdit>,
    /// Estimated length of the prompt by the body; 0 if the front does not read the body.
    pub prompt_tokens: u64,
    /// The body in the other dialect, if any replica speaks that.
    pub translated_body: Option<Vec<u8>>,
    /// Whether a retry of the request is safe after it may have run.
    pub is_idempotent: bool,
    /// Charge to the tenant's quota.
    pub grant: Option<Grant>,
    /// Headers to add to each response.
    pub headers: Headers,
}

impl Dialect {
    /// Whether the event reports a failure of the stream. Such an event is an outcome, not a part of the response.
    #[must_use]
    pub fn is_error(self, block: SseBlock<'_>) -> bool {
        match self {
            // Checks only the event's first field, since the platform's streams have many long events.
            Dialect::Platform => block.0.starts_with(b"data: {\"error\""),
            Dialect::Messages => block.name() == "error",
        }
    }

    /// Whether the event is the last one of its stream; only framing follows.
    #[must_use]
    pub fn is_last(self, block: SseBlock<'_>) -> bool {
        match self {
            Dialect::Platform => block.0.starts_with(b"data: [DONE]"),
            Dialect::Messages => block.name() == "message_stop",
        }
    }

    /// Token usage by these events: the maximum of each count, or `None` if no event states any.
    pub fn usage(self, events: &[u8]) -> Option<Usage> {
        let field: &[u8] = match self {
            Dialect::Platform => b"\"prompt_tokens\"",
            Dialect::Messages => b"\"output_tokens\"",
        };
        codec::find(events, field)?;
        let usage_blocks = codec::sse_blocks(events).filter(|block| codec::find(block.0, field).is_some());
        usage_blocks.filter_map(|block| translate::usage(self, block)).reduce(Usage::max)
    }
}
