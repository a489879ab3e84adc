//! Building a fleet.

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

/// The standard deviation of replicas' speeds around that of their kind.
const SPEED_SIGMA: f64 = 0.06;
/// The bounds of a replica's speed relative to its kind.
const SPEED_BOUNDS: [f64; 2] = [0.8, 1.2];
/// The random stream of replicas' speeds.
const SPEED_STREAM: u64 = 5;
/// The random stream of gateways' weights.
const WEIGHT_STREAM: u64 = 6;

/// What a new replica is.
pub(super) struct ReplicaSpec {
    pub(super) name: String,
    pub(super) zone: u16,
    /// The index of the kind of machine.
    pub(super) kind: u16,
    /// The speed relative to its kind.
    pub(super) speed_factor: f64,
    /// The start; `None` if that was long ago.
    pub(super) started: Option<Nanos>,
}

impl<'a> Fleet<'a> {
    /// A fleet in which no gateway has started yet.
    pub(super) fn new(experiment: &'a Experiment, policy_kind: PolicyKind) -> Fleet<'a> {
        let mut fleet = Fleet {
            experiment,
            policy_kind,
            queue: EventQueue::default(),
            random: RandomStreams::new(experiment.seed),
            gateways: Vec::new(),
            replicas: Vec::new(),
            replica_index: BTreeMap::new(),
            clients: Vec::new(),
            requests: Vec::new(),
            sessions: 0,
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

    /// Adds replicas of each kind, in numbers as near to the fractions as possible.
    fn add_initial_replicas(&mut self) {
        let mut speeds = random_stream(self.experiment.seed, SPEED_STREAM);
        let kinds: Vec<_> = self.experiment.replicas.kinds.values().collect();
        let mut owed: Vec<f64> = vec![0.0; kinds.len()];
        for number in 0..self.experiment.replicas.count {
            owed.iter_mut().zip(&kinds).for_each(|(owed, kind)| *owed += kind.fraction);
            let by_owed =
                |left: &usize, right: &usize| owed[*left].total_cmp(&owed[*right]).then(right.cmp(left));
            let kind = (0..owed.len()).max_by(by_owed).unwrap_or(0);
            owed[kind] -= 1.0;
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
                is_believed_up: true,
                is_watching: false,
                has_list: false,
                list_call: None,
                known_members: members.enumerate().collect(),
                open_requests: Vec::new(),
            });
        }
    }

    /// Adds a replica that runs, and returns its index.
    pub(super) fn add_replica(&mut self, spec: ReplicaSpec) -> usize {
        let kinds = &self.experiment.replicas.kinds;
        let (kind_name, machine) =
            kinds.iter().nth(usize::from(spec.kind)).expect("the kind is an index of the experiment's");
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
