//! One state of the cluster, and what each action does to it.

use std::collections::BTreeSet;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::rc::Rc;

use tulipridge_control_plane::replication::{Input, Replication, Role, WriteTicket};
use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::replication::Envelope;

use super::actions::{Action, Bounds, Budget, Links, Ordering};
use super::faults::Fault;
use super::invariants::{History, Violation};
use super::member::{Member, Slot};
use super::setup::{MS, Setup};

/// How far clocks are off true time with [`Fault::Drift`], in parts of a hundred.
const UNBEARABLE_DRIFT_PERCENT: u64 = 6;
/// How much longer than its lease an owner acts as primary with [`Fault::LongLease`].
const LEASE_EXCESS: u64 = 45 * MS;

/// A message on its way.
#[derive(Clone, Debug)]
pub(crate) struct Message {
    /// Tells it from others.
    pub fingerprint: u64,
    /// The message.
    pub envelope: Rc<Envelope>,
}

/// One state of the cluster.
#[derive(Clone)]
pub(crate) struct World {
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
    pub(super) last_actor: Option<usize>,
    /// Disks that were lost.
    pub(super) wipes: u32,
    /// What stays the same.
    pub(super) setup: Rc<Setup>,
    /// Any message may be next, so their order says nothing.
    sorts_network: bool,
}

impl World {
    /// All machines with empty disks; their processes start at once.
    pub(crate) fn new(mut setup: Setup) -> World {
        if setup.fault == Fault::Drift {
            setup.rates = Setup::three_with_drift(UNBEARABLE_DRIFT_PERCENT).rates;
        }
        let members =
            setup.rates.iter().enumerate().map(|(index, rate)| Slot::new(Member::new(index, *rate)));
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
    pub(crate) fn describe(&self, action: &Action) -> String {
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
    pub(crate) fn begin(mut self, bounds: &Bounds) -> World {
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
    pub(crate) fn is_fresh(&self, member: usize) -> bool {
        self.last_actor.is_none_or(|actor| actor == member)
    }

    /// Whether faults that concern several members are tried now: whenever time has gone on.
    pub(crate) fn is_all_fresh(&self) -> bool {
        self.last_actor.is_none()
    }

    /// Whether a member would act as primary now.
    pub(crate) fn may_answer(&self, member: usize) -> bool {
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
    pub(crate) fn primary(&self) -> Option<usize> {
        (0..self.members.len()).find(|member| self.may_answer(*member))
    }

    /// The state machine of a member that runs.
    pub(crate) fn replication(&self, member: usize) -> &Replication {
        &self.members[member].process.as_ref().expect("it runs").replication
    }

    /// A number that tells apart states that may go on differently.
    pub(crate) fn key(&mut self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for slot in &mut self.members {
            slot.fingerprint().hash(&mut hasher);
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
    pub(crate) fn take(&mut self, action: Action, bounds: &Bounds) {
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
            Action::Wait => {
                self.now += bounds.wait.unwrap_or(0);
                self.last_actor = None;
            }
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
    pub(crate) fn cut(&mut self, links: &Links) {
        self.cut_links.extend(links);
    }

    /// When the next timer is due, and whose it is.
    pub(crate) fn next_due(&self) -> Option<(u64, usize)> {
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
            self.input(member, Input::Persisted { ticket: WriteTicket(ticket) });
        }
    }

    /// Hands an input to a process, now or when its pause ends.
    pub(crate) fn input(&mut self, member: usize, input: Input) {
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

    /// Checks what must hold in every state.
    fn check(&mut self) {
        let mut answering = (0..self.members.len()).filter(|member| self.may_answer(*member));
        let first = answering.next();
        let second = answering.next();
        if second.is_some() {
            self.history.report(Violation::TwoLeases);
        }
        if let Some(process) = first.and_then(|member| self.members[member].process.as_ref()) {
            self.history.may_answer(&process.state);
        }
        if self.wipes <= self.setup.losses && !self.has_all_replicas() {
            self.history.report(Violation::NoCopyLeft);
        }
    }

    fn has_all_replicas(&self) -> bool {
        self.history.acknowledged.values().all(|acknowledgement| {
            let sequence = acknowledgement.sequence;
            let Some(command) = self.history.committed.get(&sequence) else { return true };
            self.members.iter().any(|member| member.disk.stores(sequence, command))
        })
    }
}
