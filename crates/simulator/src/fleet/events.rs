//! Events of a simulation, and the queue that orders them.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::sync::Arc;

use tulipridge::types::{ListKind, Member, Nanos, Verdict};

use super::processes::{GatewayProcess, ListCall, ReplicaProcess};
use super::requests::Session;
use crate::replica::AttemptId;

/// The end of an attempt, as observed at its gateway.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptEnd {
    pub(super) id: AttemptId,
    pub(super) verdict: Verdict,
    /// Prompt tokens found in the replica's cache; `None` unless the response is complete.
    pub(super) cached_tokens: Option<u32>,
}

/// An event of a simulation.
pub(super) enum FleetEvent {
    /// A session arrives. Its first turn begins, unless the arrival is dropped by thinning.
    SessionArrival,
    /// The next turn of a session begins.
    SessionTurn(Box<Session>),
    /// A client, by its index, sends its request as a retry.
    ClientAttempt(usize),
    /// A client's attempt, by its request number, times out.
    ClientTimeout(u64),
    /// A policy's timer expires.
    PolicyTimer { process: GatewayProcess, token: u64 },
    /// An attempt reaches its replica.
    AttemptArrival(AttemptId),
    /// An attempt times out at its gateway.
    AttemptTimeout(AttemptId),
    /// The first token of an attempt's response reaches its gateway.
    FirstToken(AttemptId),
    /// The end of an attempt reaches its gateway.
    AttemptEnded(AttemptEnd),
    /// The cancellation of an attempt reaches its replica.
    AttemptCancelled { process: ReplicaProcess, id: AttemptId },
    /// The current step of a replica ends.
    StepEnded(ReplicaProcess),
    /// The list service has served the call at the head of its queue.
    ListCallServed,
    /// The list service rejects a call and requests a delay of `wait` before the next one.
    ListCallRejected { call: ListCall, wait: Nanos },
    /// A call to the list service times out.
    ListCallTimeout(ListCall),
    /// A complete list, or changes of it, reach a gateway.
    ListUpdate { process: GatewayProcess, kind: ListKind, members: Arc<[Member]> },
    /// The list service publishes the changes that it has detected.
    ListPublication,
    /// The load of all replicas is measured for their load reports.
    LoadReports,
    /// The current recording window ends.
    WindowEnded,
    /// A fault begins, by its index in the order of faults.
    FaultBegins(usize),
    /// A gateway, by its index, stops.
    GatewayStop(usize),
    /// A gateway, by its index, starts.
    GatewayStart(usize),
    /// The front layer detects that a gateway has stopped or started.
    GatewayStateDetected { gateway: usize, is_up: bool },
    /// A fault affects a replica.
    ReplicaFault { replica: usize, fault: usize },
    /// A draining replica, by its index, stops if it has no requests in flight.
    ReplicaStop(usize),
    /// A replica recovers from a fault, or its replacement starts.
    ReplicaRecovery { replica: usize, fault: usize },
}

struct ScheduledEvent {
    at: Nanos,
    /// Number of the insertion; orders events with the same time.
    sequence: u64,
    event: FleetEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    /// Reversed, since a [`BinaryHeap`] pops its greatest element first.
    fn cmp(&self, other: &ScheduledEvent) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// The clock of simulated time, and the events that are due later.
#[derive(Default)]
pub(super) struct EventQueue {
    now: Nanos,
    last_sequence: u64,
    heap: BinaryHeap<ScheduledEvent>,
}

impl EventQueue {
    pub(super) fn now(&self) -> Nanos {
        self.now
    }

    /// Schedules an event `delay` nanoseconds after the current time.
    pub(super) fn schedule(&mut self, delay: Nanos, event: FleetEvent) {
        self.last_sequence += 1;
        let at = self.now.saturating_add(delay);
        self.heap.push(ScheduledEvent { at, sequence: self.last_sequence, event });
    }

    /// Advances the clock to the next event and returns it. If none is due by `end`, advances the clock to `end` and
    /// returns `None`.
    pub(super) fn advance(&mut self, end: Nanos) -> Option<FleetEvent> {
        match self.heap.pop() {
            Some(next) if next.at <= end => {
                self.now = next.at;
                Some(next.event)
            }
            _ => {
                self.now = end;
                None
            }
        }
    }
}
