//! What goes into the engine and what comes out of it.

use std::time::Duration;

use crate::stream::End;
use crate::types::{Nanos, ReplicaId, Verdict};

/// A request that is to be placed; the engine makes sure that its id is unique.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// The client's id, if it gave one.
    pub id: Option<u64>,
    /// Time until the client gives up, counted from the request's last byte.
    pub expires_in: Nanos,
    /// Index of the class.
    pub class: usize,
    /// Index of the tenant.
    pub tenant: Option<usize>,
    /// The prefix that the prompt shares with others.
    pub prefix: Option<u64>,
    /// The session.
    pub session: Option<u64>,
    /// Its size.
    pub tokens: TokenCounts,
    /// The client sends it again.
    pub is_retry: bool,
}

/// The size of a request in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCounts {
    /// Of the prompt.
    pub prompt: u32,
    /// Of the prefix that the prompt shares with others.
    pub prefix: u32,
    /// Maximum number of output tokens of the response.
    pub max_output: u32,
}

/// What the load balancer wants done for one request.
#[derive(Debug, PartialEq)]
pub enum RequestAction {
    /// Start an attempt; they are numbered from 0.
    StartAttempt {
        /// Its number.
        number: u32,
        /// The replica.
        replica: ReplicaId,
        /// How long it may take to its first event.
        timeout: Duration,
        /// Within what time it may be written, however late its connection comes up.
        write_within: Duration,
    },
    /// Cancel an attempt.
    CancelAttempt(u32),
    /// Final response: shed, with the time that the client should stay away.
    Shed(Duration),
    /// Final response: failed.
    Fail,
}

/// What the load balancer wants done by discovery and probes.
#[derive(Debug, PartialEq)]
pub enum FleetAction {
    /// Follow the changes of the list.
    WatchList,
    /// Fetch the complete list.
    FetchList,
    /// Probe a replica.
    Probe(ReplicaId),
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptOutcome {
    /// How.
    pub verdict: Verdict,
    /// Prompt tokens that the replica had cached.
    pub cached_tokens: Option<u32>,
    /// Its load, in the settings' order; empty if it reported none.
    pub load_report: Vec<f64>,
    /// How its stream ended, where one had begun.
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

/// Why a request failed, for a client that can be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// Nobody has run it: every replica that was tried has refused it.
    Refused,
    /// It was tried, and replicas failed it.
    Errors,
    /// No replica responded in time.
    NoAnswer,
}
