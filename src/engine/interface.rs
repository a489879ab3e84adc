//! Inputs and outputs of the engine.

use std::fmt;
use std::time::Duration;

use crate::stream::End;
use crate::types::{Nanos, ReplicaId, Verdict};

/// A request to be placed on a replica. The engine makes sure that its id is unique.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// The id that the client gave, if any.
    pub id: Option<u64>,
    /// Time until the client abandons the request, counted from the request's last byte.
    pub expires_in: Nanos,
    /// Index of the class.
    pub class: usize,
    /// Index of the tenant.
    pub tenant: Option<usize>,
    /// Hash of the prefix that the prompt shares with others.
    pub prefix: Option<u64>,
    /// Hash of the session.
    pub session: Option<u64>,
    /// The size of the request in tokens.
    pub tokens: TokenCounts,
    /// Whether the request is a retry of the client.
    pub is_retry: bool,
}

/// The size of a request in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of the prefix that the prompt shares with others.
    pub prefix: u32,
    /// Maximum number of output tokens of the response.
    pub max_output: u32,
}

/// An action of the load balancer for one request.
#[derive(Debug, PartialEq)]
pub enum RequestAction {
    /// Start an attempt; attempts are numbered from 0.
    StartAttempt {
        /// Number of the attempt within its request.
        number: u32,
        /// The replica that the attempt is sent to.
        replica: ReplicaId,
        /// Timeout for the attempt's first event.
        timeout: Duration,
        /// The request may be written only within this time, even if the connection takes longer to open.
        write_within: Duration,
    },
    /// Cancel an attempt.
    CancelAttempt(u32),
    /// Final response: shed, with the time after which the client may retry.
    Shed(Duration),
    /// Final response: failed.
    Fail,
}

/// An action of the load balancer for discovery or probes.
#[derive(Debug, PartialEq)]
pub enum FleetAction {
    /// Watch the list for changes.
    WatchList,
    /// Fetch the complete list.
    FetchList,
    /// Probe a replica.
    Probe(ReplicaId),
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptOutcome {
    /// The verdict for the load balancer.
    pub verdict: Verdict,
    /// Prompt tokens that the replica had cached.
    pub cached_tokens: Option<u32>,
    /// The replica's load report, in the order of the settings; empty if there is none.
    pub load_report: Vec<f64>,
    /// How the attempt's stream ended, if one had started.
    pub end: End,
}

impl From<Verdict> for AttemptOutcome {
    fn from(verdict: Verdict) -> AttemptOutcome {
        let end = match verdict {
            Verdict::Ok => End::Complete,
            Verdict::Error => End::Failed,
            _ => End::Disconnected,
        };
        AttemptOutcome { verdict, cached_tokens: None, load_report: Vec::new(), end }
    }
}

/// Why a request failed, for the response to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// No replica has run the request: all replicas that were tried refused it.
    Refused,
    /// Replicas failed while they ran the request.
    Errors,
    /// No replica responded in time.
    NoResponse,
}

/// The values as the log names them.
impl fmt::Display for FailureReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            FailureReason::Refused => "Refused",
            FailureReason::Errors => "Errors",
            FailureReason::NoResponse => "NoAnswer",
        })
    }
}
