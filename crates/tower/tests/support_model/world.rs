//! One state of the cluster, and what each action does to it.

use std::collections::BTreeSet;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::net::Ipv4Addr;
use std::ops::Deref;
use std::rc::Rc;
use std::sync::Arc;

use intercom::control::Envelope;
use intercom::node::NodeId;
use tower::replication::{
    DurableRecord, DurableState, Input, Output, Replication, ReplicationSettings, Role,
};
use tower::state::{Applied, State};

use super::actions::{Action, Bounds, Budget, Links, Ordering};
use super::disk::{Batch, Disk};
use super::faults::Fault;
use super::invariants::{History, Violation};
use super::member::{Clock, Member, Process, fingerprint};
use super::orders::{Answer, Order, answer, is_command_of, is_taken};

/// Microseconds in a millisecond.
pub const MS: u64 = 1000;
/// A clock's nominal speed, in millionths.
pub const TRUE_RATE: u64 = 1_000_000;
/// The speed of the slowest clock that the terms are made for.
pub const SLOWEST_RATE: u64 = 980_000;
/// The speed of the fastest one.
pub const FASTEST_RATE: u64 = 1_020_000;
/// A timer that is due again at once waits this long.
const SHORTEST_WAIT: u64 = MS / 10;
/// Generations of disks that were lost are counted from here.
const FIRST_NEW_GENERATION: u64 = 1001;
/// How much longer than its lease an owner acts as primary with [`Fault::LongLease`].
const LEASE_EXCESS: u64 = 400 * MS;
/// Clocks start at this time, so that nothing happens before their zero.
const CLOCK_START: u64 = 1_000_000_000;

/// What stays the same in all histories of an exploration.
#[derive(Clone, Debug)]
pub struct Setup {
    /// f.
    pub losses: u32,
    /// Machines that are in the first view.
    pub seeds: usize,
    /// Speeds of the machines' clocks; as many machines.
    pub rates: Vec<u64>,
    /// Entries between snapshots; none are taken without it.
    pub compact_every: Option<u64>,
    /// Whether the copies of acknowledged orders are counted.
    pub counts_copies: bool,
    /// Varies the jitter.
    pub jitter: u64,
    /// A promise that is broken.
    pub fault: Fault,
}

impl Setup {
    /// Three seeds whose clocks run true; f = 1.
    pub fn three() -> Setup {
        Setup {
            losses: 1,
            seeds: 3,
            rates: vec![TRUE_RATE; 3],
            compact_every: None,
            counts_copies: true,
            jitter: 1,
            fault: Fault::None,
        }
    }

    /// The same, with clocks that run as far off true time as they may.
    pub fn three_drifting() -> Setup {
        Setup { rates: vec![SLOWEST_RATE, FASTEST_RATE, FASTEST_RATE], ..Setup::three() }
    }

    /// Three seeds and a standby.
    pub fn four() -> Setup {
        Setup { rates: vec![TRUE_RATE; 4], ..Setup::three() }
    }

    /// Five seeds; f = 2.
    pub fn five() -> Setup {
        Setup { losses: 2, seeds: 5, rates: vec![TRUE_RATE; 5], ..Setup::three() }
    }
}

/// A message on its way.
#[derive(Clone, Debug)]
pub struct Message {
    /// Tells it from others.
    pub fingerprint: u64,
    /// The message.
    pub envelope: Rc<Envelope>,
}

/// A member, and the fingerprint that it had when it was last asked for.
#[derive(Clone)]
pub struct Slot {
    member: Rc<Member>,
    fingerprint: Option<u64>,
}

impl Deref for Slot {
    type Target = Member;

    fn deref(&self) -> &Member {
        &self.member
    }
}

impl Slot {
    fn change(&mut self) -> &mut Member {
        self.fingerprint = None;
        Rc::make_mut(&mut self.member)
    }
}

/// One state of the cluster.
#[derive(Clone)]
pub struct World {
    /// True time in microseconds.
    pub now: u64,
    /// All members.
    pub members: Vec<Slot>,
    /// Messages on their way: in the order of their sending, or of their fingerprints if any may be next.
    pub network: Vec<Message>,
    /// Messages that were held up.
    pub delayed: Vec<Message>,
    /// Links that are cut.
    pub cut_links: BTreeSet<(usize, usize)>,
    /// What is left of the budget.
    pub budget: Budget,
    /// What the invariants need.
    pub history: History,
    /// The member that acted last; none if time went on since.
    last_actor: Option<usize>,
    sorts_network: bool,
    wipes: u32,
    setup: Rc<Setup>,
}

impl World {
    /// All machines with empty disks; their processes start at once.
    pub fn new(setup: Setup) -> World {
        let members = setup.rates.iter().enumerate().map(|(index, rate)| new_member(index, *rate));
        let mut world = World {
            now: 0,
            members: members.collect(),
            network: Vec::new(),
            delayed: Vec::new(),
            cut_links: BTreeSet::new(),
            budget: Budget::default(),
            history: History::default(),
            last_actor: None,
            sorts_network: false,
            wipes: 0,
            setup: Rc::new(setup),
        };
        for member in 0..world.members.len() {
            let settings = world.settings(member, true);
            world.members[member].change().disk.state.view = settings.first_view();
            world.start(member);
        }
        world
    }

    /// What an action would do here, in one line.
    pub fn describe(&self, action: &Action) -> String {
        let message = match action {
            Action::Deliver(index) | Action::Duplicate(index) => self.network.get(*index),
            Action::Delay => self.network.first(),
            Action::DeliverDelayed(index) => self.delayed.get(*index),
            _ => None,
        };
        let milliseconds = self.now as f64 / MS as f64;
        match (action, message, self.next_due()) {
            (_, Some(message), _) => {
                let Envelope { from, to, message } = &*message.envelope;
                format!("{milliseconds:9.3} {action:?}: {from} to {to}: {message:?}")
            }
            (Action::Advance, _, Some((due, member))) => {
                format!("{milliseconds:9.3} Advance to {:.3}: timer of {member}", due as f64 / MS as f64)
            }
            _ => format!("{milliseconds:9.3} {action:?}"),
        }
    }

    /// Takes this state as the beginning of an exploration.
    pub fn begin(mut self, bounds: &Bounds) -> World {
        self.budget = bounds.budget;
        self.last_actor = None;
        self.sorts_network = bounds.ordering == Ordering::Any;
        self.sort_network();
        self
    }

    /// Whether faults of this member are tried now.
    ///
    /// A fault of one member and a step of another at the same true time may change places: neither sees the
    /// other. So faults of a member are tried right after its own steps, and whenever time has gone on.
    pub fn is_fresh(&self, member: usize) -> bool {
        self.last_actor.is_none_or(|actor| actor == member)
    }

    /// Whether faults that concern several members are tried now: whenever time has gone on.
    pub fn is_all_fresh(&self) -> bool {
        self.last_actor.is_none()
    }

    /// Whether a member would act as primary now.
    pub fn may_answer(&self, member: usize) -> bool {
        let member = &self.members[member];
        let Some(process) = &member.process else { return false };
        match self.setup.fault {
            Fault::RoleInsteadOfLease => matches!(process.replication.role(), Role::Primary { .. }),
            Fault::LongLease => {
                process.replication.is_primary(member.clock.local(self.now.saturating_sub(LEASE_EXCESS)))
            }
            _ => process.replication.is_primary(member.clock.local(self.now)),
        }
    }

    /// The member that would act as primary.
    pub fn primary(&self) -> Option<usize> {
        (0..self.members.len()).find(|member| self.may_answer(*member))
    }

    /// The state machine of a member that runs.
    pub fn replication(&self, member: usize) -> &Replication {
        &self.members[member].process.as_ref().expect("it runs").replication
    }

    /// A number that tells apart states that may go on differently.
    pub fn key(&mut self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for slot in &mut self.members {
            let member = &slot.member;
            slot.fingerprint.get_or_insert_with(|| fingerprint(member)).hash(&mut hasher);
        }
        self.now.hash(&mut hasher);
        self.budget.hash(&mut hasher);
        self.history.hash(&mut hasher);
        self.last_actor.hash(&mut hasher);
        self.cut_links.hash(&mut hasher);
        self.wipes.hash(&mut hasher);
        for message in self.network.iter().chain(&self.delayed) {
            message.fingerprint.hash(&mut hasher);
        }
        self.network.len().hash(&mut hasher);
        hasher.finish()
    }

    /// Takes an action, and checks what must hold after it.
    pub fn take(&mut self, action: Action, bounds: &Bounds) {
        self.budget.spend(&action);
        match action {
            Action::Deliver(index) => {
                let message = self.network.remove(index);
                self.deliver(&message);
            }
            Action::Duplicate(index) => self.duplicate(index),
            Action::Delay => {
                let message = self.network.remove(0);
                self.delayed.push(message);
                self.delayed.sort_by_key(|message| message.fingerprint);
            }
            Action::DeliverDelayed(index) => {
                let message = self.delayed.remove(index);
                self.deliver(&message);
            }
            Action::Sync(member) => self.sync(member),
            Action::SlowDisk(member) => self.members[member].change().disk.is_slow = true,
            Action::Advance => self.advance(),
            Action::Crash { member, kept, down_for } => self.crash(member, kept, down_for),
            Action::PowerCut => (0..self.members.len()).for_each(|member| self.crash(member, 0, 0)),
            Action::Wipe { member, down_for } => self.wipe(member, down_for),
            Action::Pause { member, span } => {
                self.members[member].change().paused_until = Some(self.now + span);
            }
            Action::Cut(cut) => self.cut(&bounds.cuts[cut]),
            Action::Heal => self.cut_links.clear(),
            Action::Propose(member) => self.propose(member),
            Action::Repeat { member, order } => self.order(member, order),
            Action::Terminate(member) => self.input(member, Input::Terminate),
        }
        self.sort_network();
        self.check();
    }

    /// Cuts links.
    pub fn cut(&mut self, links: &Links) {
        self.cut_links.extend(links);
    }

    /// When the next timer is due, and whose it is.
    pub fn next_due(&self) -> Option<(u64, usize)> {
        let due = |(index, slot): (usize, &Slot)| Some((slot.due(self.now)?, index));
        self.members.iter().enumerate().filter_map(due).min()
    }

    fn advance(&mut self) {
        let Some((due, member)) = self.next_due() else { return };
        self.now = due;
        if self.members[member].process.is_none() {
            self.start(member);
        } else if self.members[member].paused_until.is_some() {
            let machine = self.members[member].change();
            machine.paused_until = None;
            let backlog = std::mem::take(&mut machine.backlog);
            for input in backlog {
                self.input(member, input);
            }
        } else {
            if let Some(process) = &mut self.members[member].change().process {
                process.ticked_at = due;
            }
            self.input(member, Input::Tick);
        }
        self.last_actor = None;
    }

    fn sort_network(&mut self) {
        if self.sorts_network {
            self.network.sort_by_key(|message| message.fingerprint);
        }
    }

    fn index_of(&self, node: NodeId) -> Option<usize> {
        self.members.iter().position(|member| member.node.ip == node.ip)
    }

    fn duplicate(&mut self, index: usize) {
        let message = self.network[index].clone();
        if !self.sorts_network {
            self.network.remove(index);
            self.delayed.push(message.clone());
            self.delayed.sort_by_key(|message| message.fingerprint);
        }
        self.deliver(&message);
    }

    fn deliver(&mut self, message: &Message) {
        let envelope = &message.envelope;
        let (Some(from), Some(to)) = (self.index_of(envelope.from), self.index_of(envelope.to)) else {
            return;
        };
        if !self.cut_links.contains(&(from, to)) {
            self.input(to, Input::Message(Envelope::clone(envelope)));
        }
    }

    fn sync(&mut self, member: usize) {
        if let Some(ticket) = self.members[member].change().disk.sync_batch() {
            self.input(member, Input::Persisted { ticket });
        }
    }

    /// Hands an input to a process, now or when its pause ends.
    pub fn input(&mut self, member: usize, input: Input) {
        self.last_actor = Some(member);
        let now = self.now;
        let machine = self.members[member].change();
        let local = machine.clock.local(now);
        let Some(process) = &mut machine.process else { return };
        if machine.paused_until.is_some() {
            machine.backlog.push(input);
            return;
        }
        let mut outputs = Vec::new();
        process.replication.handle(local, input, &mut outputs);
        self.carry_out(member, outputs);
    }

    fn carry_out(&mut self, member: usize, outputs: Vec<Output>) {
        let mut early = Vec::new();
        for output in outputs {
            match output {
                Output::Send(envelope) => self.send(envelope),
                Output::Persist { ticket, records } => {
                    if self.setup.fault.reports_early(&records) {
                        early.push(ticket);
                    }
                    self.persist(member, ticket, records);
                }
                Output::Apply { sequence, command, proposal } => {
                    self.apply(member, sequence, &command, proposal);
                }
                Output::Restore { sequence, snapshot } => self.restore(member, sequence, &snapshot),
                Output::RoleChanged(Role::Primary { epoch }) => self.became_primary(member, epoch),
                Output::ProposalFailed { .. } | Output::RoleChanged(_) => {}
            }
        }
        self.compact_if_due(member);
        for ticket in early {
            self.input(member, Input::Persisted { ticket });
        }
    }

    fn send(&mut self, mut envelope: Envelope) {
        self.setup.fault.change_message(&mut envelope);
        let fingerprint = fingerprint(&envelope);
        self.network.push(Message { fingerprint, envelope: Rc::new(envelope) });
    }

    fn persist(&mut self, member: usize, ticket: u64, records: Vec<DurableRecord>) {
        self.members[member].change().disk.pending.push_back(Batch { ticket, records });
    }

    /// An entry is applied. Its proposer is told that the order was taken if the state says so now: also when
    /// an earlier entry of the same order has taken effect before.
    fn apply(&mut self, member: usize, sequence: u64, command: &Arc<[u8]>, proposal: Option<u64>) {
        let machine = self.members[member].change();
        let Some(process) = &mut machine.process else { return };
        assert_eq!(process.sequence + 1, sequence, "entries are applied in order without gaps");
        let applied = process.state.apply(command).expect("a command that was decided on");
        process.sequence = sequence;
        let state = fingerprint(&process.state.snapshot());
        let epoch = process.replication.epoch();
        let order = self.history.asked.iter().copied().find(|order| is_command_of(command, *order));
        let takes_effect = applied != Applied::Superseded || self.setup.fault == Fault::RepeatTakesEffect;
        let effect = order.filter(|_| takes_effect);
        let answered = order.filter(|order| proposal.is_some() && is_taken(&process.state, *order));
        self.history.applied(sequence, command, effect, state);
        if let Some(order) = answered {
            self.acknowledge(order, sequence, epoch, command);
        }
    }

    fn acknowledge(&mut self, order: Order, sequence: u64, epoch: u64, command: &[u8]) {
        self.history.acknowledge(order, sequence, epoch);
        let all: Vec<NodeId> = self.members.iter().map(|member| member.node).collect();
        self.check_copies(&all, sequence, command);
    }

    /// A view has come into force: each of its holders has all that was acknowledged.
    fn became_primary(&mut self, member: usize, epoch: u64) {
        let machine = &self.members[member].member;
        let Some(process) = &machine.process else { return };
        self.history.became_primary(machine.node, epoch, &process.state);
        let holders = process.replication.view().map_or(Vec::new(), |view| view.holders.clone());
        for acknowledgement in self.history.acknowledged.clone().into_values() {
            if let Some(command) = self.history.committed.get(&acknowledgement.sequence).cloned() {
                self.check_copies(&holders, acknowledgement.sequence, &command);
            }
        }
    }

    fn check_copies(&mut self, nodes: &[NodeId], sequence: u64, command: &[u8]) {
        let stores = |member: &&Slot| nodes.contains(&member.node) && member.disk.stores(sequence, command);
        let copies = self.members.iter().filter(stores).count();
        let wanted = (self.setup.losses + 1).saturating_sub(self.wipes) as usize;
        if self.setup.counts_copies && copies < wanted {
            self.history.report(Violation::TooFewCopies);
        }
    }

    fn restore(&mut self, member: usize, sequence: u64, snapshot: &[u8]) {
        let forgets = self.setup.fault == Fault::ForgottenOrders;
        let Some(process) = &mut self.members[member].change().process else { return };
        process.state = if forgets {
            State::default()
        } else {
            State::restore(snapshot).expect("a snapshot that was taken")
        };
        process.sequence = sequence;
        let state = fingerprint(&process.state.snapshot());
        if !forgets && sequence > 0 {
            self.history.restored(sequence, state);
        }
    }

    fn compact_if_due(&mut self, member: usize) {
        let Some(every) = self.setup.compact_every else { return };
        let now = self.now;
        let machine = self.members[member].change();
        let Some(process) = &mut machine.process else { return };
        if process.sequence == 0 || !process.sequence.is_multiple_of(every) {
            return;
        }
        let input =
            Input::Compact { sequence: process.sequence, snapshot: process.state.snapshot().into() };
        let mut outputs = Vec::new();
        process.replication.handle(machine.clock.local(now), input, &mut outputs);
        if !outputs.is_empty() {
            self.carry_out(member, outputs);
        }
    }

    fn propose(&mut self, member: usize) {
        let newest = self.history.asked.iter().max().copied().unwrap_or(0);
        self.order(member, newest + 1);
    }

    /// An operator gives an order: the primary answers it at once if it knows it, else it is agreed on.
    fn order(&mut self, member: usize, order: Order) {
        let ticket = self.history.asked.len() as u64;
        self.history.asked.push(order);
        let Some(process) = &self.members[member].process else { return };
        match answer(&process.state, order) {
            Answer::Agree(command) => self.input(member, Input::Propose { ticket, command }),
            Answer::Taken => self.history.acknowledge(order, process.sequence, process.replication.epoch()),
            Answer::Refused => {}
        }
    }

    fn crash(&mut self, member: usize, kept: usize, down_for: u64) {
        let now = self.now;
        let fault = self.setup.fault;
        let machine = self.members[member].change();
        machine.process = None;
        machine.paused_until = None;
        machine.backlog.clear();
        machine.disk.lose_unsynced(kept);
        match fault {
            Fault::ForgottenPromise => machine.disk.state.promised = 0,
            Fault::ForgottenView => machine.disk.state.view = None,
            _ => {}
        }
        machine.restart_at = Some(now + down_for);
        if down_for == 0 {
            let last_actor = self.last_actor;
            self.start(member);
            self.last_actor = last_actor;
        }
    }

    fn wipe(&mut self, member: usize, down_for: u64) {
        self.wipes += 1;
        let generation = FIRST_NEW_GENERATION + u64::from(self.wipes);
        let keeps_generation = self.setup.fault == Fault::KeptGeneration;
        self.crash(member, 0, down_for.max(1));
        let machine = self.members[member].change();
        machine.disk.state = DurableState::default();
        if !keeps_generation {
            machine.node.generation = generation;
        }
    }

    fn settings(&self, member: usize, first_boot: bool) -> ReplicationSettings {
        let machine = &self.members[member].member;
        let seeds = self.members[..self.setup.seeds].iter();
        ReplicationSettings {
            node: machine.node,
            zone: format!("zone-{member}"),
            seeds: seeds.map(|seed| NodeId { ip: seed.node.ip, generation: 0 }).collect(),
            losses: if self.setup.fault == Fault::OneHolder { 0 } else { self.setup.losses },
            first_boot,
            seed: self.setup.jitter * 1000 + machine.lives * 10 + member as u64,
        }
    }

    fn start(&mut self, member: usize) {
        let settings = self.settings(member, false);
        let fault = self.setup.fault;
        let now = self.now;
        let known: Vec<NodeId> = self.members.iter().map(|other| other.node).collect();
        let machine = self.members[member].change();
        let local = machine.clock.local(now);
        let started = if fault == Fault::NoQuietPeriod { local.saturating_sub(GRANT) } else { local };
        let replication = Replication::new(settings, machine.disk.state.clone(), started);
        machine.lives += 1;
        machine.restart_at = None;
        machine.process =
            Some(Process { replication, state: State::default(), sequence: 0, ticked_at: now });
        self.input(member, Input::Known(known));
    }

    /// Checks what must hold in every state.
    fn check(&mut self) {
        let mut answering = (0..self.members.len()).filter(|member| self.may_answer(*member));
        let first = answering.next();
        let second = answering.next();
        if second.is_some() {
            self.history.report(Violation::TwoLeases);
        }
        if let Some(process) = first.and_then(|member| self.members[member].member.process.as_ref()) {
            self.history.may_answer(&process.state);
        }
        if self.wipes <= self.setup.losses && !self.has_all_copies() {
            self.history.report(Violation::NoCopyLeft);
        }
    }

    fn has_all_copies(&self) -> bool {
        self.history.acknowledged.values().all(|acknowledgement| {
            let sequence = acknowledgement.sequence;
            let Some(command) = self.history.committed.get(&sequence) else { return true };
            self.members.iter().any(|member| member.disk.stores(sequence, command))
        })
    }
}

/// For how long a voter keeps its word to a primary: the term that a start must wait out.
const GRANT: std::time::Duration = std::time::Duration::from_millis(600);

impl Member {
    /// When its next timer is due.
    fn due(&self, now: u64) -> Option<u64> {
        if let Some(restart_at) = self.restart_at {
            return Some(restart_at.max(now));
        }
        let process = self.process.as_ref()?;
        if let Some(paused_until) = self.paused_until {
            return Some(paused_until.max(now));
        }
        let due = self.clock.when(process.replication.next_deadline());
        Some(due.max(process.ticked_at + SHORTEST_WAIT).max(now))
    }
}

fn new_member(index: usize, rate: u64) -> Slot {
    let address = Ipv4Addr::new(10, 1, 0, 10 + index as u8);
    let member = Member {
        node: NodeId::new(address, 0),
        clock: Clock { offset: CLOCK_START, rate },
        disk: Disk::default(),
        process: None,
        restart_at: None,
        paused_until: None,
        backlog: Vec::new(),
        lives: 0,
    };
    Slot { member: Rc::new(member), fingerprint: None }
}
