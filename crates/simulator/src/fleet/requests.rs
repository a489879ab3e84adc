//! Sessions, clients' requests, and their attempts.

use tulipridge::types::Nanos;

use super::processes::{GatewayProcess, ReplicaProcess};
use crate::replica::PrefixId;

/// A sequence of requests, each with the prompt and the response of those before it.
pub(super) struct Session {
    /// The tenant's index, if there are tenants.
    pub(super) tenant: Option<usize>,
    pub(super) zone: u16,
    /// The number of the session, from 1.
    pub(super) number: u64,
    /// The shared prefix, which names the class.
    pub(super) prefix: PrefixId,
    pub(super) prefix_tokens: u32,
    /// Tokens of the conversation so far.
    pub(super) context_tokens: u32,
}

/// A client's request, over all its attempts.
pub(super) struct ClientRequest {
    pub(super) tenant: Option<usize>,
    pub(super) zone: u16,
    pub(super) session: u64,
    pub(super) prefix: PrefixId,
    pub(super) prefix_tokens: u32,
    pub(super) prompt_tokens: u32,
    pub(super) response_tokens: u32,
    pub(super) arrived: Nanos,
    pub(super) deadline: Nanos,
    /// The number of attempts so far.
    pub(super) attempts: u32,
    pub(super) first_token: Option<Nanos>,
    pub(super) is_finished: bool,
}

/// The stage of a gateway's attempt at a replica.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum AttemptStage {
    /// Sent, without a first token.
    Sent,
    /// Its response is streamed to the client.
    Streaming,
    /// Finished or abandoned.
    Ended,
}

/// A gateway's attempt at a replica.
pub(super) struct Attempt {
    pub(super) process: ReplicaProcess,
    pub(super) stage: AttemptStage,
    pub(super) sent: Nanos,
}

/// A client's attempt at a gateway.
pub(super) struct GatewayRequest {
    /// The index of the client's request.
    pub(super) client: usize,
    pub(super) process: GatewayProcess,
    pub(super) attempts: Vec<Attempt>,
    /// The attempt whose response is streamed.
    pub(super) streaming: Option<u32>,
    /// Whether the client has got the final response, or does not wait any more.
    pub(super) is_answered: bool,
    /// Cancelled attempts of which the policy has not been notified yet.
    pub(super) pending_cancellations: u32,
}
