//! Fronts: what clients say becomes core requests, and core outcomes become what clients read.
//!
//! A client's dialect and a real server's are apart: within one dialect bytes pass untouched, across two requests
//! and events go through [`translate`].

mod forwarded_request;
pub mod messages;
pub mod object;
pub mod platform;
mod reply;
mod responder;
mod response_encoder;
pub mod translate;
pub mod write;

use std::cell::RefCell;
use std::ops::Range;
use std::rc::Rc;

use crate::admission::quota::Grant;
use crate::engine::Ask;
use crate::limits::Limits;
pub use crate::names::Dialect;
use crate::names::Names;
use crate::types::Nanos;
pub use forwarded_request::ForwardedRequest;
pub use reply::Reply;
pub use responder::Responder;
pub use response_encoder::ResponseEncoder;
pub use translate::{OmissionLog, StreamTranslator, Usage};
use tulipridge_http1::codec::{self, Head, SseBlock};

/// Headers that an answer has besides those of its form.
pub type Headers = Vec<(&'static str, String)>;

/// What all fronts share.
pub struct FrontContext {
    /// What requests call things.
    pub names: Rc<RefCell<Names>>,
    /// The bounds.
    pub limits: Rc<Limits>,
    /// What was left out between dialects.
    pub omissions: Rc<OmissionLog>,
    /// The messages front's own part.
    pub messages: messages::Front,
}

impl FrontContext {
    /// With the messages front's settings.
    pub fn new(names: Rc<RefCell<Names>>, limits: Rc<Limits>, setup: messages::Setup) -> FrontContext {
        let omissions = Rc::new(OmissionLog::new(&limits));
        FrontContext { names, limits, omissions, messages: messages::Front::new(setup) }
    }

    /// Reads a client's request. `speak` says which dialects the fleet's real servers speak.
    pub fn call(
        &self,
        now: Nanos,
        dialect: Dialect,
        head: &Head,
        body: &[u8],
        id: &str,
        dialects: ServerDialects,
    ) -> Call {
        match dialect {
            Dialect::Platform => platform::call(self, head, body, dialects),
            Dialect::Messages => messages::call(self, now, head, body, id, dialects),
        }
    }

    /// What a request's head is passed on with that is its client's secret.
    fn is_secret(&self, name: &str) -> bool {
        !self.messages.keys.is_empty()
            && ["x-api-key", "authorization"].iter().any(|s| name.eq_ignore_ascii_case(s))
    }
}

/// The dialects that ready real servers speak.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerDialects {
    /// One of them speaks the platform's.
    pub platform: bool,
    /// One of them speaks the messages API's.
    pub messages: bool,
}

impl ServerDialects {
    /// Some real server speaks the other dialect than this.
    fn beside(self, dialect: Dialect) -> bool {
        match dialect {
            Dialect::Platform => self.messages,
            Dialect::Messages => self.platform,
        }
    }
}

/// What a front makes of a request.
pub enum Call {
    /// To be placed.
    Serve(Box<AcceptedRequest>),
    /// Whether this gateway is ready.
    Health,
    /// Answered by the front alone.
    Reply(Reply),
}

/// A request that is to be placed.
pub struct AcceptedRequest {
    /// What the module is asked.
    pub ask: Ask,
    /// The model that a message is said to come from.
    pub model: String,
    /// The answer is wanted whole, not as a stream.
    pub whole: bool,
    /// What of the body goes to real servers in another form.
    pub edit: Option<(Range<usize>, &'static [u8])>,
    /// Tokens of the prompt, by the body.
    pub prompt: u64,
    /// The request in the other dialect, if some real server speaks that.
    pub other: Option<Vec<u8>>,
    /// A second run does no harm.
    pub safe: bool,
    /// What the tenant's limits let it in with.
    pub grant: Option<Grant>,
    /// Headers of every answer to it.
    pub headers: Headers,
}

impl Dialect {
    /// The stream's event that says it failed; an outcome, not a part of an answer.
    #[must_use]
    pub fn is_error(self, block: SseBlock<'_>) -> bool {
        match self {
            // The platform's events are many and long: only one that begins so is an error.
            Dialect::Platform => block.0.starts_with(b"data: {\"error\""),
            Dialect::Messages => block.name() == "error",
        }
    }

    /// The stream's last event: what follows it belongs to the framing.
    #[must_use]
    pub fn is_last(self, block: SseBlock<'_>) -> bool {
        match self {
            Dialect::Platform => block.0.starts_with(b"data: [DONE]"),
            Dialect::Messages => block.name() == "message_stop",
        }
    }

    /// Tokens, if any of the events tells them.
    pub fn usage(self, events: &[u8]) -> Option<Usage> {
        let word: &[u8] = match self {
            Dialect::Platform => b"\"prompt_tokens\"",
            Dialect::Messages => b"\"output_tokens\"",
        };
        codec::find(events, word)?;
        let told = codec::sse_blocks(events).filter(|block| codec::find(block.0, word).is_some());
        told.filter_map(|block| translate::usage(self, block)).reduce(Usage::most)
    }
}
