//! The simulated cluster: virtual time and its events.

mod cluster_shape;
mod departure;
mod lifecycle;
mod machine_faults;
mod network;
mod outputs;
mod proposals;
mod views;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use fastrand::Rng;
use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::replication::Envelope;

pub(crate) use cluster_shape::{ClusterShape, Fault};
pub(crate) use departure::Leaving;
pub(crate) use network::Network;
use tulipridge_control_plane::replication::{Input, WriteTicket};

use super::checker::Checker;
use super::machine::Machine;
use super::operator::client::Operators;
use super::operator::event::OperatorEvent;

/// Microseconds in a millisecond.
pub(crate) const MS: u64 = 1000;
/// Microseconds in a second.
pub(crate) const SECOND: u64 = 1_000_000;
/// Number of applied commands between compactions.
const MIN_COMPACTION_INTERVAL: usize = 2;
const MAX_COMPACTION_INTERVAL: usize = 16;
/// A disk with a write that has been pending for longer is reported as unhealthy.
const UNHEALTHY_DISK_WAIT: u64 = SECOND;

/// What happens to a machine after its process exits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AfterExit {
    /// The process restarts after a delay.
    Restart { after: u64 },
    /// The machine does not return.
    Removal,
}

/// A scheduled event.
#[derive(Debug)]
pub(crate) enum Event {
    Arrival { machine: usize, envelope: Envelope },
    Wake { machine: usize, incarnation: u64 },
    Synced { machine: usize, incarnation: u64 },
    Thaw { machine: usize },
    Start { machine: usize },
    Exit { machine: usize, incarnation: u64, then: AfterExit },
    DepartureCheck { machine: usize, incarnation: u64 },
    Operator(OperatorEvent),
}

/// A simulated cluster.
pub(crate) struct Simulation {
    /// True time in microseconds.
    pub now: u64,
    /// The source of all randomness in the cluster.
    pub random: Rng,
    /// All machines, including removed ones.
    pub machines: Vec<Machine>,
    /// The invariants.
    pub checker: Checker,
    /// The network.
    pub network: Network,
    /// Directed links that are cut: sender and receiver.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Calls of the operators.
    pub operators: Operators,
    /// Number of applied commands between compactions.
    compaction_interval: usize,
    pub(in crate::support) shape: ClusterShape,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    next_event: u64,
    pub(in crate::support) next_command: u64,
    /// Tickets of acknowledged proposals.
    pub acknowledged: BTreeSet<u64>,
    first_boot: bool,
}

impl Simulation {
    /// Creates a cluster whose machines start within 0.3 s, in random order.
    pub(crate) fn new(seed: u64, shape: ClusterShape) -> Self {
        let mut random = Rng::with_seed(seed);
        let compaction_interval = random.usize(MIN_COMPACTION_INTERVAL..=MAX_COMPACTION_INTERVAL);
        let mut simulation = Simulation {
            now: 0,
            random,
            compaction_interval,
            machines: Vec::new(),
            checker: Checker::default(),
            network: Network::default(),
            cuts: BTreeSet::new(),
            operators: Operators::default(),
            shape,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            next_command: 1,
            acknowledged: BTreeSet::new(),
            first_boot: true,
        };
        for _ in 0..shape.machines {
            let at = simulation.random.u64(0..300 * MS);
            simulation.add_machine(0, at);
        }
        simulation
    }

    /// The number of failures that the cluster tolerates (f).
    pub(crate) fn tolerated_failures(&self) -> usize {
        self.shape.tolerated_failures as usize
    }

    /// Schedules an event, or runs it next if its time has passed.
    pub(crate) fn schedule(&mut self, at: u64, event: Event) {
        self.next_event += 1;
        self.events.insert(self.next_event, event);
        self.queue.push(Reverse((at.max(self.now), self.next_event)));
    }

    /// Runs the simulation until a time or the first violation.
    pub(crate) fn run_until(&mut self, until: u64) {
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > until || self.checker.violation.is_some() {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.handle_event(event);
            }
            self.check_leases();
        }
        self.now = self.now.max(until);
    }

    /// Runs the simulation for a span.
    pub(crate) fn run_for(&mut self, span: u64) {
        self.run_until(self.now + span);
    }

    /// Runs the simulation until a condition holds; returns whether it did within the span.
    pub(crate) fn run_until_or_timeout(&mut self, span: u64, mut holds: impl FnMut(&Self) -> bool) -> bool {
        let until = self.now + span;
        while self.now < until {
            if holds(self) {
                return true;
            }
            self.run_until((self.now + MS).min(until));
            if self.checker.violation.is_some() {
                return false;
            }
        }
        holds(self)
    }

    fn check_leases(&mut self) {
        let now = self.now;
        let lease_holders: Vec<NodeId> = self
            .machines
            .iter()
            .filter(|machine| machine.lease_valid(now))
            .map(|machine| machine.node)
            .collect();
        self.checker.leases(&lease_holders);
        let reader = self.machines.iter().find(|machine| machine.lease_valid(now));
        let process = reader.and_then(|machine| machine.process.as_ref().zip(Some(machine.node)));
        if let Some((process, node)) = process {
            self.checker.check_lease_read(node, process.replication.epoch().0, &process.applied.numbers);
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrival { machine, envelope } => self.input(machine, Input::Message(envelope)),
            Event::Wake { machine, incarnation } => {
                if self.is_incarnation(machine, incarnation) {
                    self.input(machine, Input::Tick);
                }
            }
            Event::Synced { machine, incarnation } => {
                if self.is_incarnation(machine, incarnation) {
                    self.sync(machine);
                }
            }
            Event::Thaw { machine } => self.thaw(machine),
            Event::Start { machine } => self.start(machine),
            Event::Exit { machine, incarnation, then } => {
                if self.is_incarnation(machine, incarnation) {
                    self.handle_exit(machine, then);
                }
            }
            Event::DepartureCheck { machine, incarnation } => {
                if self.is_incarnation(machine, incarnation) {
                    self.check_departure(machine);
                }
            }
            Event::Operator(event) => self.handle_operator_event(event),
        }
    }

    /// Whether this incarnation of a process is still running.
    pub(crate) fn is_incarnation(&self, machine: usize, incarnation: u64) -> bool {
        self.machines[machine].process.as_ref().is_some_and(|process| process.incarnation == incarnation)
    }

    fn sync(&mut self, index: usize) {
        let disk = &mut self.machines[index].disk;
        let Some(ticket) = disk.sync(self.now) else { return };
        match disk.count_down_to_power_cut() {
            Some(restart_after) => self.cut_power(index, restart_after),
            None => self.input(index, Input::Persisted { ticket: WriteTicket(ticket) }),
        }
    }
}
