//! Fronts: client requests become placement requests, and outcomes become responses.
//!
//! The dialects of a client and of its replica are independent: within one dialect bytes are forwarded unchanged,
//! otherwise requests and events are translated by [`translate`].

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
    /// The names that requests use for classes, tenants and models.
    pub names: Rc<RefCell<Names>>,
    /// The limits.
    pub limits: Rc<Limits>,
    /// What was omitted between dialects.
    pub omissions: Rc<OmissionLog>,
    /// State of the messages front.
    pub messages: messages::Front,
}

impl FrontContext {
    /// Creates the state from the messages front's settings.
    pub fn new(names: Rc<RefCell<Names>>, limits: Rc<Limits>, setup: messages::Setup) -> FrontContext {
        let omissions = Rc::new(OmissionLog::new(&limits));
        FrontContext { names, limits, omissions, messages: messages::Front::new(setup) }
    }

    /// Reads a client's request. `dialects` are those of the fleet's replicas.
    pub fn call(
        &self,
        now: Nanos,
        dialect: Dialect,
        head: &Head,
        body: &[u8],
        id: &str,
        dialects: ReplicaDialects,
    ) -> Call {
        match dialect {
            Dialect::Platform => platform::call(self, head, body, dialects),
            Dialect::Messages => messages::call(self, now, head, body, id, dialects),
        }
    }

    /// Whether a header holds the client's secret and must not be forwarded.
    fn is_secret(&self, name: &str) -> bool {
        !self.messages.keys.is_empty()
            && ["x-api-key", "authorization"].iter().any(|s| name.eq_ignore_ascii_case(s))
    }
}

/// The dialects that ready replicas speak.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaDialects {
    /// Some replica speaks the platform's dialect.
    pub platform: bool,
    /// Some replica speaks the dialect of the messages API.
    pub messages: bool,
}

impl ReplicaDialects {
    /// Whether some replica speaks another dialect than this one.
    fn has_other_than(self, dialect: Dialect) -> bool {
        match dialect {
            Dialect::Platform => self.messages,
            Dialect::Messages => self.platform,
        }
    }
}

/// The front's decision about a request.
pub enum Call {
    /// Place it.
    Serve(Box<AcceptedRequest>),
    /// Report whether this gateway is ready.
    Health,
    /// Respond without placing it.
    Respond(Response),
}

/// Bytes of a request's body that are replaced before it is forwarded.
pub struct BodyEdit {
    /// The bytes that are replaced.
    pub range: Range<usize>,
    /// What takes their place.
    pub replacement: &'static [u8],
}

/// A request that is to be placed.
pub struct AcceptedRequest {
    /// The request to the load balancer.
    pub placement: PlacementRequest,
    /// The model that the response names.
    pub model: String,
    /// The client wants one message, not a stream.
    pub is_message: bool,
    /// A change of the body before it is forwarded.
    pub edit: Option<BodyEdit>,
    /// Tokens of the prompt, estimated from the body.
    pub prompt: u64,
    /// The request in the other dialect, if some replica speaks it.
    pub other: Option<Vec<u8>>,
    /// The request is idempotent.
    pub safe: bool,
    /// What the tenant's quota was charged.
    pub grant: Option<Grant>,
    /// Headers of each response to it.
    pub headers: Headers,
}

impl Dialect {
    /// Whether the event reports that the stream failed; it is an outcome, not a part of the response.
    #[must_use]
    pub fn is_error(self, block: SseBlock<'_>) -> bool {
        match self {
            // Only the event's first field is checked: the platform's events are many and long.
            Dialect::Platform => block.0.starts_with(b"data: {\"error\""),
            Dialect::Messages => block.name() == "error",
        }
    }

    /// Whether it is the stream's last event; only framing follows it.
    #[must_use]
    pub fn is_last(self, block: SseBlock<'_>) -> bool {
        match self {
            Dialect::Platform => block.0.starts_with(b"data: [DONE]"),
            Dialect::Messages => block.name() == "message_stop",
        }
    }

    /// The token usage, if any of the events states it.
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
