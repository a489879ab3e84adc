//! Data of a simulated fleet.

use std::collections::{BTreeMap, VecDeque};

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use tulipridge::types::{Action, Member, Nanos, Phase, ReplicaId};

use super::events::{EventQueue, FleetEvent};
use super::processes::{GatewayProcess, ListCall};
use super::requests::{ClientRequest, GatewayRequest};
use crate::experiment::{Experiment, Fault, PolicyKind};
use crate::policy::{Policy, SharedFleetLoad};
use crate::random::random_stream;
use crate::record::{Recorder, ReplicaState};
use crate::replica::{Replica, StepEvent};
use crate::time::nanos;

/// Cost of a response, as the number of prompt tokens with the same cost.
pub(super) const RESPONSE_COST_TOKENS: f64 = 1000.0;

/// State of a gateway.
pub(super) struct GatewayState {
    pub(super) zone: u16,
    /// Weight in the front layer's distribution of traffic.
    pub(super) weight: f64,
    /// Policy; `None` while the gateway is stopped.
    pub(super) policy: Option<Policy>,
    pub(super) incarnation: u32,
    pub(super) started: Nanos,
    /// Whether the front layer sends requests to this gateway. Follows starts and stops after the detection delay.
    pub(super) is_in_rotation: bool,
    /// Whether the list service sends changes to this gateway.
    pub(super) is_watching: bool,
    pub(super) has_list: bool,
    /// Number of the call to the list service that is waiting for a response.
    pub(super) list_call: Option<u64>,
    /// Persisted list, by index of the replica.
    pub(super) known_members: BTreeMap<usize, Member>,
    /// Numbers of the requests that are open or have attempts in flight.
    pub(super) open_requests: Vec<u64>,
}

/// A measurement of a replica's load, reported from `visible_from` on.
pub(super) struct LoadReport {
    pub(super) visible_from: Nanos,
    pub(super) utilization: f64,
}

/// Work sent to a replica.
pub(super) struct WorkSample {
    pub(super) sent: Nanos,
    pub(super) cost_tokens: f64,
}

/// A replica with its list entry and its load reports.
pub(super) struct ReplicaEntry {
    pub(super) replica: Replica,
    /// Entry in the list, as last published.
    pub(super) member: Member,
    pub(super) reports: VecDeque<LoadReport>,
    /// Work sent to the replica in slow start, within the overload window.
    pub(super) slow_start_work: VecDeque<WorkSample>,
}

/// A change of the list that is not published yet. The service detects it at `detected_at`.
pub(super) struct PendingChange {
    pub(super) detected_at: Nanos,
    pub(super) replica: usize,
    pub(super) phase: Phase,
    pub(super) started: Option<Nanos>,
}

/// State of the list service.
#[derive(Default)]
pub(super) struct ListServiceState {
    pub(super) pending_changes: Vec<PendingChange>,
    pub(super) queue: VecDeque<ListCall>,
    pub(super) last_call_number: u64,
    pub(super) unavailable_until: Nanos,
}

/// A pair of a gateway and a replica, the key of a connection pool.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Link {
    pub(super) gateway: usize,
    pub(super) replica: usize,
}

/// Independent random streams. Their numbers must not change, or the results for a seed change.
pub(super) struct RandomStreams {
    /// Sessions and the requests in them.
    pub(super) arrivals: Pcg64Mcg,
    /// Selection of gateways, and clients' compliance with `Retry-After`.
    pub(super) front_layer: Pcg64Mcg,
    /// Seeds of the gateways' policies.
    pub(super) policy_seeds: Pcg64Mcg,
    /// Targets of faults, delays, error responses, and noise of load reports.
    pub(super) faults_and_delays: Pcg64Mcg,
}

impl RandomStreams {
    pub(super) fn new(seed: u64) -> RandomStreams {
        RandomStreams {
            arrivals: random_stream(seed, 1),
            front_layer: random_stream(seed, 2),
            policy_seeds: random_stream(seed, 3),
            faults_and_delays: random_stream(seed, 4),
        }
    }
}

/// Buffers that are reused across events to avoid an allocation for each.
#[derive(Default)]
pub(super) struct Buffers {
    pub(super) actions: Vec<Action>,
    pub(super) step_events: Vec<StepEvent>,
}

/// A fleet with one policy: a field for each part of the simulation. Steps that need several parts are methods in the
/// modules of this folder.
pub(super) struct Fleet<'a> {
    pub(super) experiment: &'a Experiment,
    pub(super) policy_kind: PolicyKind,
    pub(super) queue: EventQueue,
    pub(super) random: RandomStreams,
    pub(super) gateways: Vec<GatewayState>,
    pub(super) replicas: Vec<ReplicaEntry>,
    pub(super) replica_index: BTreeMap<ReplicaId, usize>,
    pub(super) client_requests: Vec<ClientRequest>,
    /// Clients' attempts at gateways, by request number; `None` after their removal.
    pub(super) gateway_requests: Vec<Option<GatewayRequest>>,
    /// Number of sessions so far.
    pub(super) session_count: u64,
    /// Expiry times of the idle connections of each pair.
    pub(super) idle_connections: BTreeMap<Link, Vec<Nanos>>,
    pub(super) list_service: ListServiceState,
    pub(super) fleet_load: SharedFleetLoad,
    pub(super) recorder: Recorder,
    pub(super) buffers: Buffers,
}

impl<'a> Fleet<'a> {
    pub(super) fn now(&self) -> Nanos {
        self.queue.now()
    }

    pub(super) fn schedule(&mut self, delay: Nanos, event: FleetEvent) {
        self.queue.schedule(delay, event);
    }

    /// Draws a delay below `max`; returns 0 without a draw if `max` is 0.
    pub(super) fn random_delay(&mut self, max: Nanos) -> Nanos {
        if max == 0 { 0 } else { self.random.faults_and_delays.random_range(0..max) }
    }

    /// Returns the name and the fault at an index of [`Experiment::faults_in_order`].
    pub(super) fn fault(&self, index: usize) -> (&'a str, &'a Fault) {
        self.experiment.faults_in_order()[index]
    }

    /// Returns the identifier of a gateway's current process.
    pub(super) fn gateway_process(&self, gateway: usize) -> GatewayProcess {
        GatewayProcess { gateway, incarnation: self.gateways[gateway].incarnation }
    }

    /// Whether the gateway has neither stopped nor restarted since `process`.
    pub(super) fn is_current_gateway(&self, process: GatewayProcess) -> bool {
        self.gateways[process.gateway].incarnation == process.incarnation
    }

    /// One-way latency between a gateway and a replica, in nanoseconds.
    pub(super) fn latency(&self, gateway: usize, replica: usize) -> Nanos {
        let network = &self.experiment.network;
        let is_same_zone = self.gateways[gateway].zone == self.replicas[replica].replica.zone;
        nanos(if is_same_zone { network.same_zone_latency } else { network.cross_zone_latency })
    }

    /// Passes the current state of a replica to the recorder.
    pub(super) fn record_replica(&mut self, index: usize) {
        let replica = &self.replicas[index].replica;
        let state = ReplicaState {
            is_running: replica.is_running,
            in_flight: replica.in_flight(),
            queued: replica.queued(),
        };
        self.recorder.set_replica_state(self.queue.now(), index, state);
    }
}
