//! Sessions, requests of clients, and attempts at gateways and replicas.

use tulipridge::types::Nanos;

use super::processes::{GatewayProcess, ReplicaProcess};
use crate::replica::PrefixId;

/// A sequence of requests; the prompt of each includes the prompts and responses before it.
pub(super) struct Session {
    /// Index of the tenant; `None` if the experiment has no tenants.
    pub(super) tenant: Option<usize>,
    pub(super) zone: u16,
    /// Number of the session, ascending from 1.
    pub(super) number: u64,
    /// Shared prefix of all prompts; identifies the class too.
    pub(super) prefix: PrefixId,
    pub(super) prefix_tokens: u32,
    /// Tokens of all prompts and responses so far, the shared prefix included.
    pub(super) context_tokens: u32,
}

/// A request of a client, over all attempts for it.
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
    /// Attempts at gateways so far.
    pub(super) attempts: u32,
    pub(super) first_token: Option<Nanos>,
    pub(super) is_finished: bool,
}

/// Stage of a gateway's attempt at a replica.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum AttemptStage {
    /// Sent; no token received yet.
    Sent,
    /// The response is being streamed to the client.
    Streaming,
    /// Finished, failed or abandoned.
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
    /// Index of the client's request.
    pub(super) client: usize,
    pub(super) process: GatewayProcess,
    pub(super) attempts: Vec<Attempt>,
    /// Number of the attempt whose response is streamed; `None` before the first token.
    pub(super) streaming: Option<u32>,
    /// Whether the client has received the final response, or has abandoned the request.
    pub(super) is_closed: bool,
    /// Cancelled attempts whose outcomes have not been passed to the policy yet.
    pub(super) pending_cancellations: u32,
}
