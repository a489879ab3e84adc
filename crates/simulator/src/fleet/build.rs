//! Creates a fleet with its initial replicas and gateways.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use rand_distr::{Distribution, LogNormal, Normal};
use tulipridge::types::{Member, Nanos, Phase, ReplicaId};

use super::events::EventQueue;
use super::state::{Buffers, Fleet, GatewayState, ListServiceState, RandomStreams, ReplicaEntry};
use crate::experiment::{Experiment, PolicyKind};
use crate::policy::ReplicaLoad;
use crate::random::random_stream;
use crate::record::Recorder;
use crate::replica::Replica;

/// Standard deviation of a replica's speed relative to its kind.
const SPEED_SIGMA: f64 = 0.06;
/// Minimum and maximum of a replica's speed relative to its kind.
const SPEED_BOUNDS: [f64; 2] = [0.8, 1.2];
/// Number of the random stream that replicas' speeds are drawn from.
const SPEED_STREAM: u64 = 5;
/// Number of the random stream that gateways' traffic weights are drawn from.
const WEIGHT_STREAM: u64 = 6;

/// Properties of a replica to be added.
pub(super) struct ReplicaSpec {
    pub(super) name: String,
    pub(super) zone: u16,
    /// Index of the machine kind in the experiment.
    pub(super) kind: u16,
    /// Speed relative to the machine kind.
    pub(super) speed_factor: f64,
    /// Start time; `None` for a replica that has completed slow start.
    pub(super) started: Option<Nanos>,
}

impl<'a> Fleet<'a> {
    /// Creates a fleet in which no gateway has started yet.
    pub(super) fn new(experiment: &'a Experiment, policy_kind: PolicyKind) -> Fleet<'a> {
        let mut fleet = Fleet {
            experiment,
            policy_kind,
            queue: EventQueue::default(),
            random: RandomStreams::new(experiment.seed),
            gateways: Vec::new(),
            replicas: Vec::new(),
            replica_index: BTreeMap::new(),
            client_requests: Vec::new(),
            gateway_requests: Vec::new(),
            session_count: 0,
            idle_connections: BTreeMap::new(),
            list_service: ListServiceState::default(),
            fleet_load: Rc::new(RefCell::new(BTreeMap::new())),
            recorder: Recorder::new(experiment),
            buffers: Buffers::default(),
        };
        fleet.add_initial_replicas();
        fleet.add_gateways();
        fleet
    }

    /// Adds replicas by the largest deficit of their kinds, so that the counts follow the kinds' fractions closely.
    fn add_initial_replicas(&mut self) {
        let mut speeds = random_stream(self.experiment.seed, SPEED_STREAM);
        let kinds: Vec<_> = self.experiment.replicas.kinds.values().collect();
        let mut deficits: Vec<f64> = vec![0.0; kinds.len()];
        for number in 0..self.experiment.replicas.count {
            deficits.iter_mut().zip(&kinds).for_each(|(deficit, kind)| *deficit += kind.fraction);
            let by_deficit = |left: &usize, right: &usize| {
                deficits[*left].total_cmp(&deficits[*right]).then(right.cmp(left))
            };
            let kind = (0..deficits.len()).max_by(by_deficit).unwrap_or(0);
            deficits[kind] -= 1.0;
            let [min, max] = SPEED_BOUNDS;
            let speed_factor = Normal::new(1.0f64, SPEED_SIGMA)
                .map_or(1.0, |distribution| distribution.sample(&mut speeds))
                .clamp(min, max);
            self.add_replica(ReplicaSpec {
                name: format!("r{number}"),
                zone: number as u16 % self.experiment.gateways.zones,
                kind: kind as u16,
                speed_factor,
                started: None,
            });
        }
    }

    fn add_gateways(&mut self) {
        let settings = &self.experiment.gateways;
        let mut weights = random_stream(self.experiment.seed, WEIGHT_STREAM);
        for number in 0..settings.count {
            let weight = LogNormal::new(0.0, settings.weight_sigma)
                .map_or(1.0, |distribution| distribution.sample(&mut weights));
            let members = self.replicas.iter().map(|entry| entry.member.clone());
            self.gateways.push(GatewayState {
                zone: number as u16 % settings.zones,
                weight,
                policy: None,
                incarnation: 0,
                started: 0,
                is_in_rotation: true,
                is_watching: false,
                has_list: false,
                list_call: None,
                known_members: members.enumerate().collect(),
                open_requests: Vec::new(),
            });
        }
    }

    /// Adds a running replica that is listed as ready, and returns its index.
    pub(super) fn add_replica(&mut self, spec: ReplicaSpec) -> usize {
        let kinds = &self.experiment.replicas.kinds;
        let (kind_name, machine) = kinds
            .iter()
            .nth(usize::from(spec.kind))
            .expect("the index is that of a kind of the experiment");
        let mut replica = Replica::new(spec.name.clone(), spec.zone, spec.kind, machine, spec.speed_factor);
        replica.started = spec.started;
        let batch_size = replica.batch_size() as f64;
        let id = ReplicaId::from(spec.name.as_str());
        let member = Member {
            id: id.clone(),
            units: machine.units,
            zone: spec.zone,
            kind: spec.kind,
            cell: 0,
            phase: Phase::Ready,
            started: spec.started,
        };
        let index = self.replicas.len();
        self.recorder.add_replica(&spec.name, kind_name, batch_size, spec.started.is_some());
        self.fleet_load.borrow_mut().insert(spec.name, ReplicaLoad { in_flight: 0.0, batch_size });
        let (reports, slow_start_work) = (VecDeque::new(), VecDeque::new());
        self.replicas.push(ReplicaEntry { replica, member, reports, slow_start_work });
        self.replica_index.insert(id, index);
        self.record_replica(index);
        index
    }
}
