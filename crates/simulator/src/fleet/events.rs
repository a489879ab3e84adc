//! The events of a simulation and their queue.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::sync::Arc;

use tulipridge::types::{ListKind, Member, Nanos, Verdict};

use super::processes::{GatewayProcess, ListCall, ReplicaProcess};
use super::requests::Session;
use crate::replica::AttemptId;

/// The end of an attempt, as its gateway sees it.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptEnd {
    pub(super) id: AttemptId,
    pub(super) verdict: Verdict,
    /// Prompt tokens that were found in the cache, if the response was complete.
    pub(super) cached_tokens: Option<u32>,
}

/// What may happen in a simulation.
pub(super) enum FleetEvent {
    /// A session begins.
    SessionArrival,
    /// A session's next turn begins.
    SessionTurn(Box<Session>),
    /// A client sends its request, for the first time or as a retry.
    ClientAttempt(usize),
    /// A client's attempt times out.
    ClientTimeout(u64),
    /// A policy's timer expires.
    PolicyTimer { process: GatewayProcess, token: u64 },
    /// An attempt reaches its replica.
    AttemptArrival(AttemptId),
    /// An attempt times out at its gateway.
    AttemptTimeout(AttemptId),
    /// A first token reaches the gateway.
    FirstToken(AttemptId),
    /// An attempt's end reaches the gateway.
    AttemptEnded(AttemptEnd),
    /// A cancellation reaches the replica.
    AttemptCancelled { process: ReplicaProcess, id: AttemptId },
    /// A replica's step ends.
    StepEnded(ReplicaProcess),
    /// The list service has served the call at the head of its queue.
    ListCallServed,
    /// The list service rejects a call.
    ListCallRejected { call: ListCall, wait: Nanos },
    /// A call to the list service times out.
    ListCallTimeout(ListCall),
    /// A list or its changes reach a gateway.
    ListUpdate { process: GatewayProcess, kind: ListKind, members: Arc<[Member]> },
    /// The list service publishes changes.
    ListPublication,
    /// Replicas measure their load reports.
    LoadReports,
    /// A window of the record ends.
    WindowEnded,
    /// A fault of the experiment begins, by its index in the order of faults.
    FaultBegins(usize),
    /// A gateway stops.
    GatewayStop(usize),
    /// A gateway starts.
    GatewayStart(usize),
    /// The front layer detects that a gateway has stopped or started.
    GatewayDetected { gateway: usize, is_up: bool },
    /// A fault affects a replica.
    ReplicaFault { replica: usize, fault: usize },
    /// A draining replica stops, if it has no requests left.
    ReplicaStop(usize),
    /// A replica recovers from a fault, or its replacement starts.
    ReplicaRecovery { replica: usize, fault: usize },
}

struct ScheduledEvent {
    at: Nanos,
    /// The number of the insertion, which orders events at the same time.
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
    /// Reversed, since the heap pops the greatest first.
    fn cmp(&self, other: &ScheduledEvent) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// The virtual clock and the events that are due later.
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

    /// Schedules an event after a delay from now.
    pub(super) fn schedule(&mut self, delay: Nanos, event: FleetEvent) {
        self.last_sequence += 1;
        let at = self.now.saturating_add(delay);
        self.heap.push(ScheduledEvent { at, sequence: self.last_sequence, event });
    }

    /// Advances the clock to the next event and returns it; at the latest to `end`, with `None`.
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
