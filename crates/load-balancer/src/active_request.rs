//! A request from its arrival until its last attempt has ended.

use crate::replica_table::ReplicaSlot;
use crate::types::{Nanos, Request};

/// Whether an attempt may have had an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// The attempt has not ended.
    InFlight,
    /// The attempt ended and the request has certainly not run.
    NeverRan,
    /// The attempt ended and the request may have run.
    MayHaveRun,
}

/// An attempt at a replica.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) replica: ReplicaSlot,
    pub(crate) sent_at: Nanos,
    pub(crate) state: AttemptState,
    /// Whether the attempt's first token has arrived.
    pub(crate) has_begun: bool,
}

impl Attempt {
    pub(crate) fn new(replica: ReplicaSlot, sent_at: Nanos) -> Attempt {
        Attempt { replica, sent_at, state: AttemptState::InFlight, has_begun: false }
    }

    /// Whether the attempt is in flight and has no first token.
    pub(crate) fn is_waiting(&self) -> bool {
        self.state == AttemptState::InFlight && !self.has_begun
    }
}

/// A request that is unanswered or has an attempt in flight.
#[derive(Clone, Debug)]
pub(crate) struct ActiveRequest {
    pub(crate) request: Request,
    /// The time to first token that earns the full value.
    pub(crate) latency_target: Nanos,
    /// The point in time at which the latency target passes.
    pub(crate) target_at: Nanos,
    /// The client's deadline.
    pub(crate) deadline: Nanos,
    /// The fraction of the fleet's size that owns the request's prefix.
    pub(crate) owner_fraction: f64,
    /// Whether the request may only be sent to replicas in slow start.
    pub(crate) slow_start_only: bool,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) is_answered: bool,
}

impl ActiveRequest {
    /// The first attempt that may have run or may still run.
    pub(crate) fn first_possible_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.state != AttemptState::NeverRan)
    }

    /// Whether the request has neither a response nor a first token.
    pub(crate) fn is_waiting(&self) -> bool {
        !self.is_answered && self.attempts.iter().all(|attempt| !attempt.has_begun)
    }

    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.state == AttemptState::InFlight)
    }

    /// The numbers of the attempts that are waiting for their first tokens.
    pub(crate) fn waiting_attempts(&self) -> impl Iterator<Item = u32> {
        let numbered = self.attempts.iter().enumerate();
        numbered.filter(|(_, attempt)| attempt.is_waiting()).map(|(number, _)| number as u32)
    }
}
