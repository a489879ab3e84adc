//! A request from its arrival until its last attempt has ended.

use crate::replica_table::ReplicaSlot;
use crate::types::{Nanos, Request};

/// Whether an attempt may have had an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// It has not ended.
    InFlight,
    /// It ended and has surely not run.
    NeverRan,
    /// It ended and may have run.
    MayHaveRun,
}

/// One attempt at a replica.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) replica: ReplicaSlot,
    pub(crate) sent_at: Nanos,
    pub(crate) state: AttemptState,
    /// Its first token has come.
    pub(crate) has_begun: bool,
}

impl Attempt {
    pub(crate) fn new(replica: ReplicaSlot, sent_at: Nanos) -> Attempt {
        Attempt { replica, sent_at, state: AttemptState::InFlight, has_begun: false }
    }

    /// It is in flight and no token has come.
    pub(crate) fn is_waiting(&self) -> bool {
        self.state == AttemptState::InFlight && !self.has_begun
    }
}

/// A request that has not been answered, or whose attempts have not all ended.
#[derive(Clone, Debug)]
pub(crate) struct ActiveRequest {
    pub(crate) request: Request,
    /// The time up to a first token that earns the full value.
    pub(crate) latency_target: Nanos,
    /// When that time is over.
    pub(crate) target_at: Nanos,
    /// When the client gives up.
    pub(crate) deadline: Nanos,
    /// The part of the fleet's size that shares its prefix.
    pub(crate) owner_fraction: f64,
    /// It may go to replicas in slow start only.
    pub(crate) slow_start_only: bool,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) is_answered: bool,
}

impl ActiveRequest {
    /// The first attempt that may have had an effect, or may yet.
    pub(crate) fn first_possible_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.state != AttemptState::NeverRan)
    }

    /// It has no response, nor the beginning of one.
    pub(crate) fn is_waiting(&self) -> bool {
        !self.is_answered && self.attempts.iter().all(|attempt| !attempt.has_begun)
    }

    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.state == AttemptState::InFlight)
    }

    /// The numbers of the attempts that wait for their first token.
    pub(crate) fn waiting_attempts(&self) -> impl Iterator<Item = u32> {
        let numbered = self.attempts.iter().enumerate();
        numbered.filter(|(_, attempt)| attempt.is_waiting()).map(|(number, _)| number as u32)
    }
}
