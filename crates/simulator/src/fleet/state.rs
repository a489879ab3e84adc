//! The state of a simulated fleet.

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

/// The cost of a response for a replica, in prompt tokens.
pub(super) const RESPONSE_COST_TOKENS: f64 = 1000.0;

/// A gateway.
pub(super) struct GatewayState {
    pub(super) zone: u16,
    /// Its weight in the front layer's distribution of traffic.
    pub(super) weight: f64,
    /// Its policy while it runs.
    pub(super) policy: Option<Policy>,
    pub(super) incarnation: u32,
    pub(super) started: Nanos,
    /// Whether the front layer sends requests to it.
    pub(super) is_believed_up: bool,
    /// Whether the list service sends changes to it.
    pub(super) is_watching: bool,
    pub(super) has_list: bool,
    /// The number of its call to the list service that has no response yet.
    pub(super) list_call: Option<u64>,
    /// The list as it persists it, by the index of the replica.
    pub(super) known_members: BTreeMap<usize, Member>,
    /// The numbers of its requests that have not ended.
    pub(super) open_requests: Vec<u64>,
}

/// A load report that becomes visible.
pub(super) struct LoadReport {
    pub(super) visible_from: Nanos,
    pub(super) utilization: f64,
}

/// Work that was sent to a replica.
pub(super) struct WorkSample {
    pub(super) sent: Nanos,
    pub(super) cost_tokens: f64,
}

/// A replica with what is known of it outside.
pub(super) struct ReplicaEntry {
    pub(super) replica: Replica,
    /// Its entry in the list as it was published last.
    pub(super) member: Member,
    pub(super) reports: VecDeque<LoadReport>,
    /// Work that it was sent in slow start, within the overload window.
    pub(super) slow_start_work: VecDeque<WorkSample>,
}

/// A change of the list that is not published yet.
pub(super) struct PendingChange {
    pub(super) known_from: Nanos,
    pub(super) replica: usize,
    pub(super) phase: Phase,
    pub(super) started: Option<Nanos>,
}

/// The list service.
#[derive(Default)]
pub(super) struct ListServiceState {
    pub(super) pending_changes: Vec<PendingChange>,
    pub(super) queue: VecDeque<ListCall>,
    pub(super) last_call: u64,
    pub(super) unavailable_until: Nanos,
}

/// A pair of gateway and replica, with connections of its own.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Link {
    pub(super) gateway: usize,
    pub(super) replica: usize,
}

/// The random streams. Their numbers are part of the results for a seed.
pub(super) struct RandomStreams {
    /// Sessions and their requests.
    pub(super) arrivals: Pcg64Mcg,
    /// The front layer and clients' retries.
    pub(super) front: Pcg64Mcg,
    /// Seeds of the policies.
    pub(super) policy_seeds: Pcg64Mcg,
    /// Faults, delays and errors.
    pub(super) chances: Pcg64Mcg,
}

impl RandomStreams {
    pub(super) fn new(seed: u64) -> RandomStreams {
        RandomStreams {
            arrivals: random_stream(seed, 1),
            front: random_stream(seed, 2),
            policy_seeds: random_stream(seed, 3),
            chances: random_stream(seed, 4),
        }
    }
}

/// Buffers that are reused, since they are filled at each event.
#[derive(Default)]
pub(super) struct Buffers {
    pub(super) actions: Vec<Action>,
    pub(super) step_events: Vec<StepEvent>,
}

/// A fleet with one policy. It has a field for each part of the simulation; steps that need several parts are methods
/// in the modules of this folder.
pub(super) struct Fleet<'a> {
    pub(super) experiment: &'a Experiment,
    pub(super) policy_kind: PolicyKind,
    pub(super) queue: EventQueue,
    pub(super) random: RandomStreams,
    pub(super) gateways: Vec<GatewayState>,
    pub(super) replicas: Vec<ReplicaEntry>,
    pub(super) replica_index: BTreeMap<ReplicaId, usize>,
    pub(super) clients: Vec<ClientRequest>,
    /// Clients' attempts at gateways, by number; `None` once nothing of one is left.
    pub(super) requests: Vec<Option<GatewayRequest>>,
    /// The number of sessions so far.
    pub(super) sessions: u64,
    /// Expiry times of idle connections.
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

    /// A random delay below `max`; 0 without a draw if `max` is 0.
    pub(super) fn random_delay(&mut self, max: Nanos) -> Nanos {
        if max == 0 { 0 } else { self.random.chances.random_range(0..max) }
    }

    /// A fault by its index in the order of faults.
    pub(super) fn fault(&self, index: usize) -> (&'a str, &'a Fault) {
        self.experiment.faults_in_order()[index]
    }

    /// The current process of a gateway.
    pub(super) fn gateway_process(&self, gateway: usize) -> GatewayProcess {
        GatewayProcess { gateway, incarnation: self.gateways[gateway].incarnation }
    }

    /// Whether a process of a gateway is its current one.
    pub(super) fn is_current(&self, process: GatewayProcess) -> bool {
        self.gateways[process.gateway].incarnation == process.incarnation
    }

    /// The one-way latency between a gateway and a replica.
    pub(super) fn latency(&self, gateway: usize, replica: usize) -> Nanos {
        let network = &self.experiment.network;
        let is_same_zone = self.gateways[gateway].zone == self.replicas[replica].replica.zone;
        nanos(if is_same_zone { network.same_zone_latency } else { network.cross_zone_latency })
    }

    /// Records the current state of a replica.
    pub(super) fn record_replica(&mut self, index: usize) {
        let replica = &self.replicas[index].replica;
        let state = ReplicaState {
            is_alive: replica.is_alive,
            in_flight: replica.in_flight(),
            queued: replica.queued(),
        };
        self.recorder.set_replica_state(self.queue.now(), index, state);
    }
}
