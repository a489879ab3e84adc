//! The simulated cluster.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::Ipv4Addr;

use fastrand::Rng;
use intercom::control::Envelope;
use intercom::node::NodeId;
use tower::replication::{DurableState, Input, Output, Replication, ReplicationSettings, Role};

use super::checker::Checker;
use super::disk::Disk;
use super::machine::{Clock, Machine, Process, decode, encode};
use super::random::{chance, pick};

/// Microseconds in a millisecond.
pub const MS: u64 = 1000;
/// Microseconds in a second.
pub const SECOND: u64 = 1_000_000;
/// A write that waits longer makes the disk unhealthy.
const DISK_BOUND: u64 = SECOND;
/// Applied commands between compactions.
const COMPACT_EVERY: usize = 16;

/// Faults of the members themselves, to show that the checker sees them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// None.
    #[default]
    None,
    /// Syncs are reported before they are done.
    EarlySync,
    /// A member whose disk was lost keeps its generation.
    KeptGeneration,
    /// Clocks run at speeds far apart.
    WildClocks,
    /// A member forgets promises and views when it starts.
    ForgottenPromises,
}

/// Size of a cluster and its faults.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// f.
    pub losses: u32,
    /// Seeds.
    pub seeds: usize,
    /// Machines, seeds included.
    pub machines: usize,
    /// Fault of the members.
    pub fault: Fault,
}

/// How bad the network is.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    /// Messages lost, in a thousand.
    pub loss: u64,
    /// Messages that come twice, in a thousand.
    pub duplication: u64,
    /// Messages that come up to three seconds late, in a thousand.
    pub lateness: u64,
    /// Longest usual delay in microseconds.
    pub delay: u64,
}

impl Default for Network {
    fn default() -> Self {
        Network { loss: 0, duplication: 0, lateness: 0, delay: 3 * MS }
    }
}

#[derive(Debug)]
enum Event {
    Arrival { machine: usize, envelope: Envelope },
    Wake { machine: usize, life: u64 },
    Synced { machine: usize, life: u64 },
    Thaw { machine: usize },
    Start { machine: usize },
}

/// A cluster.
pub struct Simulation {
    /// True time in microseconds.
    pub now: u64,
    /// What all randomness comes from.
    pub random: Rng,
    /// All machines ever.
    pub machines: Vec<Machine>,
    /// What must hold.
    pub checker: Checker,
    /// The network.
    pub network: Network,
    /// Directions that are cut, from and to.
    pub cuts: BTreeSet<(usize, usize)>,
    shape: Shape,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    next_event: u64,
    next_command: u64,
    /// Commands by their tickets.
    proposals: BTreeMap<u64, u64>,
    /// Tickets that were acknowledged.
    pub done: BTreeSet<u64>,
    first_boot: bool,
}

impl Simulation {
    /// A cluster whose machines start within 0.3 s, in any order.
    pub fn new(seed: u64, shape: Shape) -> Self {
        let mut simulation = Simulation {
            now: 0,
            random: Rng::with_seed(seed),
            machines: Vec::new(),
            checker: Checker::default(),
            network: Network::default(),
            cuts: BTreeSet::new(),
            shape,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            next_command: 1,
            proposals: BTreeMap::new(),
            done: BTreeSet::new(),
            first_boot: true,
        };
        for _ in 0..shape.machines {
            let at = simulation.random.u64(0..300 * MS);
            simulation.add_machine(0, at);
        }
        simulation
    }

    /// The number of losses withstood.
    pub fn losses(&self) -> usize {
        self.shape.losses as usize
    }

    /// Adds a machine that starts at a time; its index.
    pub fn add_machine(&mut self, generation: u64, at: u64) -> usize {
        let index = self.machines.len();
        let address = Ipv4Addr::new(10, 1 + (index % 3) as u8, 0, 10 + index as u8);
        let clock = self.new_clock();
        let mut disk = Disk::default();
        disk.reports_early = self.shape.fault == Fault::EarlySync;
        self.machines.push(Machine {
            node: NodeId::new(address, generation),
            zone: format!("zone-{}", index % 3),
            disk,
            clock,
            process: None,
            frozen_until: 0,
            removed: false,
            lost_until: 0,
            lives: 0,
        });
        self.schedule(at, Event::Start { machine: index });
        index
    }

    fn new_clock(&mut self) -> Clock {
        let rate = match self.shape.fault {
            Fault::WildClocks => self.random.u64(300_000..3_000_000),
            _ => self.random.u64(980_000..1_020_001),
        };
        Clock { offset: self.random.u64(0..1000 * SECOND), rate }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.next_event += 1;
        self.events.insert(self.next_event, event);
        self.queue.push(Reverse((at.max(self.now), self.next_event)));
    }

    /// Lets time pass.
    pub fn run_until(&mut self, until: u64) {
        while let Some(Reverse((at, number))) = self.queue.peek().copied()
            && at <= until
            && self.checker.violation.is_none()
        {
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.take(event);
            }
            self.check_leases();
        }
        self.now = self.now.max(until);
    }

    /// Lets a span pass.
    pub fn run_for(&mut self, span: u64) {
        self.run_until(self.now + span);
    }

    /// Lets time pass until something holds; whether it did within the span.
    pub fn run_while_not(&mut self, span: u64, mut holds: impl FnMut(&Self) -> bool) -> bool {
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
        let holders: Vec<NodeId> = self
            .machines
            .iter()
            .filter(|machine| machine.lease_valid(now))
            .map(|machine| machine.node)
            .collect();
        self.checker.leases(&holders);
        let reader = self.machines.iter().find(|machine| machine.lease_valid(now));
        if let Some(machine) = reader
            && let Some(process) = &machine.process
        {
            self.checker.may_read(machine.node, process.replication.epoch(), &process.applied);
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Arrival { machine, envelope } => self.input(machine, Input::Message(envelope)),
            Event::Wake { machine, life } => {
                if self.is_life(machine, life) {
                    self.input(machine, Input::Tick);
                }
            }
            Event::Synced { machine, life } => {
                if self.is_life(machine, life)
                    && let Some(ticket) = self.machines[machine].disk.sync(self.now)
                {
                    self.input(machine, Input::Persisted { ticket });
                }
            }
            Event::Thaw { machine } => self.thaw(machine),
            Event::Start { machine } => self.start(machine),
        }
    }

    fn is_life(&self, machine: usize, life: u64) -> bool {
        self.machines[machine].process.as_ref().is_some_and(|process| process.life == life)
    }

    /// Hands an input to a process, now or when it is thawed.
    pub fn input(&mut self, index: usize, input: Input) {
        let now = self.now;
        let machine = &mut self.machines[index];
        let is_frozen = machine.frozen_until > now;
        let Some(process) = &mut machine.process else { return };
        if is_frozen {
            process.backlog.push(input);
            return;
        }
        let local = machine.clock.local(now);
        let healthy = !machine.disk.waits_longer_than(now, DISK_BOUND);
        let mut out = Vec::new();
        if healthy != process.told_healthy {
            process.told_healthy = healthy;
            process.replication.handle(local, Input::DiskHealthy(healthy), &mut out);
        }
        process.replication.handle(local, input, &mut out);
        self.carry_out(index, out);
        self.plan_wake(index);
    }

    fn plan_wake(&mut self, index: usize) {
        let now = self.now;
        let machine = &mut self.machines[index];
        let Some(process) = &mut machine.process else { return };
        let due = machine.clock.when(process.replication.next_deadline()).max(now + MS / 10);
        if process.wake_at <= now || due < process.wake_at {
            process.wake_at = due;
            let life = process.life;
            self.schedule(due, Event::Wake { machine: index, life });
        }
    }

    fn carry_out(&mut self, index: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send(envelope) => self.transmit(index, envelope),
                Output::Persist { ticket, records } => {
                    let delay = self.random.u64(100..4 * MS);
                    let machine = &mut self.machines[index];
                    let due = machine.disk.write(self.now, delay, ticket, records);
                    let life = machine.lives;
                    self.schedule(due, Event::Synced { machine: index, life });
                    if self.shape.fault == Fault::EarlySync {
                        self.schedule(self.now + delay, Event::Synced { machine: index, life });
                    }
                }
                Output::Apply { sequence, command, proposal } => {
                    self.apply(index, sequence, decode(&command)[0], proposal);
                }
                Output::Restore { sequence, snapshot } => self.restore(index, sequence, &snapshot),
                Output::RoleChanged(Role::Primary { epoch }) => self.became_primary(index, epoch),
                Output::ProposalFailed { .. } | Output::RoleChanged(_) => {}
            }
        }
        self.compact_if_due(index);
    }

    fn apply(&mut self, index: usize, sequence: u64, command: u64, proposal: Option<u64>) {
        let Some(process) = &mut self.machines[index].process else { return };
        process.applied.push(command);
        assert_eq!(process.applied.len() as u64, sequence, "entries are applied in order without gaps");
        self.checker.applied(sequence, command);
        if let Some(ticket) = proposal {
            assert_eq!(
                self.proposals.get(&ticket),
                Some(&command),
                "the proposal's own command is applied"
            );
            self.done.insert(ticket);
            let epoch = process.replication.epoch();
            self.checker.acknowledge(sequence, command, epoch);
        }
    }

    fn restore(&mut self, index: usize, sequence: u64, snapshot: &[u8]) {
        let Some(process) = &mut self.machines[index].process else { return };
        process.applied = decode(snapshot);
        assert_eq!(process.applied.len() as u64, sequence, "the snapshot holds what it says");
    }

    fn became_primary(&mut self, index: usize, epoch: u64) {
        let machine = &self.machines[index];
        let Some(process) = &machine.process else { return };
        self.checker.became_primary(machine.node, epoch, &process.applied);
    }

    fn compact_if_due(&mut self, index: usize) {
        let local = self.machines[index].clock.local(self.now);
        let Some(process) = &mut self.machines[index].process else { return };
        let length = process.applied.len();
        if length > 0 && length.is_multiple_of(COMPACT_EVERY) {
            let input = Input::Compact { sequence: length as u64, snapshot: encode(&process.applied) };
            let mut out = Vec::new();
            process.replication.handle(local, input, &mut out);
            let writes: Vec<Output> = out;
            for output in writes {
                if let Output::Persist { ticket, records } = output {
                    let due = self.machines[index].disk.write(self.now, MS, ticket, records);
                    let life = self.machines[index].lives;
                    self.schedule(due, Event::Synced { machine: index, life });
                } else {
                    self.carry_out(index, vec![output]);
                }
            }
        }
    }

    fn transmit(&mut self, from: usize, envelope: Envelope) {
        let found = self.machines.iter().position(|machine| machine.node.ip == envelope.to.ip);
        let Some(to) = found else { return };
        let network = self.network;
        if chance(&mut self.random, network.loss) {
            return;
        }
        let copies = if chance(&mut self.random, network.duplication) { 2 } else { 1 };
        for _ in 0..copies {
            let mut delay = self.random.u64(200..network.delay.max(300));
            if chance(&mut self.random, network.lateness) {
                delay += self.random.u64(0..3 * SECOND);
            }
            if !self.cuts.contains(&(from, to)) {
                self.schedule(self.now + delay, Event::Arrival { machine: to, envelope: envelope.clone() });
            }
        }
    }

    fn start(&mut self, index: usize) {
        let seeds = self.seeds();
        let seed = self.random.u64(..);
        let machine = &mut self.machines[index];
        if machine.process.is_some() || machine.removed {
            return;
        }
        if self.shape.fault == Fault::ForgottenPromises {
            machine.disk.state.promised = 0;
            machine.disk.state.view = None;
        }
        machine.lives += 1;
        let settings = ReplicationSettings {
            node: machine.node,
            zone: machine.zone.clone(),
            seeds,
            losses: self.shape.losses,
            first_boot: self.first_boot,
            seed,
        };
        if machine.lives == 1 && machine.disk.state == DurableState::default() {
            machine.disk.state.view = settings.first_view();
        }
        let local = machine.clock.local(self.now);
        let replication = Replication::new(settings, machine.disk.state.clone(), local);
        machine.process = Some(Process {
            life: machine.lives,
            replication,
            applied: Vec::new(),
            wake_at: 0,
            backlog: Vec::new(),
            told_healthy: true,
        });
        let known = self.others(index);
        self.input(index, Input::Known(known));
    }

    /// Some addresses of other machines, as the views of processes tell them.
    fn others(&mut self, index: usize) -> Vec<NodeId> {
        let present: Vec<NodeId> = self
            .machines
            .iter()
            .enumerate()
            .filter(|(other, machine)| *other != index && !machine.removed)
            .map(|(_, machine)| machine.node)
            .collect();
        if present.is_empty() {
            return Vec::new();
        }
        (0..4).map(|_| pick(&mut self.random, &present)).collect()
    }

    /// Seeds as the operator's list stands: the first machines at the first boot, any that are there later.
    fn seeds(&mut self) -> Vec<NodeId> {
        let mut indices: Vec<usize> = (0..self.shape.seeds).collect();
        if !self.first_boot {
            let present: Vec<usize> =
                (0..self.machines.len()).filter(|index| !self.machines[*index].removed).collect();
            indices = indices.iter().map(|_| pick(&mut self.random, &present)).collect();
        }
        indices
            .into_iter()
            .map(|index| NodeId { ip: self.machines[index].node.ip, generation: 0 })
            .collect()
    }

    /// The first boot is over: disks formatted from now on have random generations.
    pub fn end_first_boot(&mut self) {
        self.first_boot = false;
    }

    /// Proposes a command at a machine; its ticket.
    pub fn propose(&mut self, index: usize) -> u64 {
        let command = self.next_command;
        self.next_command += 1;
        self.proposals.insert(command, command);
        self.input(index, Input::Propose { ticket: command, command: encode(&[command]) });
        command
    }

    /// The machine that is primary by its own word.
    pub fn primary(&self) -> Option<usize> {
        self.machines
            .iter()
            .position(|machine| machine.is_running(self.now) && machine.lease_valid(self.now))
    }

    /// Ends a process and lets it start again after a delay.
    pub fn kill(&mut self, index: usize, restart_after: u64) {
        let machine = &mut self.machines[index];
        machine.process = None;
        machine.frozen_until = 0;
        machine.disk.lose_pending(&mut self.random);
        self.schedule(self.now + restart_after, Event::Start { machine: index });
    }

    /// Asks a process to end, lets it end after a while, and starts it again.
    pub fn terminate(&mut self, index: usize, ends_after: u64, restart_after: u64) {
        self.input(index, Input::Terminate);
        self.run_for(ends_after);
        self.kill(index, restart_after);
    }

    /// Cuts the power; nothing that is not synced is found after.
    pub fn cut_power(&mut self, index: usize, restart_after: u64) {
        self.machines[index].disk.lose_all_pending();
        self.kill(index, restart_after);
    }

    /// Takes a machine's disk and lets it start again as a newcomer.
    pub fn wipe(&mut self, index: usize, restart_after: u64) {
        self.cut_power(index, restart_after);
        let generation = self.random.u64(..) | 1;
        let keeps_generation = self.shape.fault == Fault::KeptGeneration;
        let machine = &mut self.machines[index];
        machine.disk.state = Default::default();
        if !keeps_generation {
            machine.node.generation = generation;
        }
    }

    /// Takes a machine away for good and adds another at a new address.
    pub fn replace(&mut self, index: usize, start_after: u64) -> usize {
        let machine = &mut self.machines[index];
        machine.process = None;
        machine.removed = true;
        let generation = self.random.u64(..) | 1;
        self.add_machine(generation, self.now + start_after)
    }

    /// Stops a machine for a span; its clock goes on.
    pub fn freeze(&mut self, index: usize, span: u64) {
        let until = self.now + span;
        let machine = &mut self.machines[index];
        if machine.process.is_some() && machine.frozen_until <= self.now {
            machine.frozen_until = until;
            self.schedule(until, Event::Thaw { machine: index });
        }
    }

    fn thaw(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        if machine.frozen_until > self.now {
            return;
        }
        let Some(process) = &mut machine.process else { return };
        let backlog = std::mem::take(&mut process.backlog);
        for input in backlog {
            self.input(index, input);
        }
    }

    /// Cuts all links of a machine, in the directions asked for.
    pub fn isolate(&mut self, index: usize, incoming: bool, outgoing: bool) {
        for other in 0..self.machines.len() {
            if other != index && incoming {
                self.cuts.insert((other, index));
            }
            if other != index && outgoing {
                self.cuts.insert((index, other));
            }
        }
    }

    /// Cuts the cluster in two.
    pub fn split(&mut self, side: &[usize]) {
        for left in 0..self.machines.len() {
            for right in 0..self.machines.len() {
                if side.contains(&left) != side.contains(&right) {
                    self.cuts.insert((left, right));
                }
            }
        }
    }

    /// Ends all trouble of network, disks and freezes; processes that are down come back soon.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.network = Network::default();
        for index in 0..self.machines.len() {
            let machine = &mut self.machines[index];
            machine.disk.stalled_until = machine.disk.stalled_until.min(self.now);
            if machine.frozen_until > self.now {
                machine.frozen_until = self.now;
                self.schedule(self.now, Event::Thaw { machine: index });
            }
        }
    }

    /// Proposes again and again until something is acknowledged; whether it was within the span.
    pub fn make_progress(&mut self, span: u64) -> bool {
        let until = self.now + span;
        let before = self.done.len();
        while self.now < until && self.checker.violation.is_none() {
            if let Some(primary) = self.primary() {
                self.propose(primary);
            }
            self.run_for(50 * MS);
            if self.done.len() > before {
                return true;
            }
        }
        false
    }

    /// Proposes at the primary and waits for the acknowledgement; the machine that gave it.
    pub fn acknowledge_one(&mut self) -> usize {
        for _ in 0..400 {
            if let Some(primary) = self.primary() {
                let ticket = self.propose(primary);
                let is_done = self.run_while_not(500 * MS, |simulation| simulation.done.contains(&ticket));
                if is_done {
                    return primary;
                }
            }
            self.run_for(20 * MS);
        }
        panic!("nothing was acknowledged: {:?}", self.checker.violation);
    }
}
