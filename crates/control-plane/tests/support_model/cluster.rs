//! The state of the cluster, and the effect of each action.

use std::collections::BTreeSet;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::rc::Rc;

use tulipridge_control_plane::replication::{Input, Replication, Role, WriteTicket};
use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::replication::Envelope;

use super::actions::{Action, Bounds, Budget, Links, Schedule};
use super::faults::Fault;
use super::invariants::{History, Violation};
use super::member::{CachedMember, Member};
use super::setup::{MS, Setup};

/// Clock drift with [`Fault::ExcessiveDrift`], in percent.
const EXCESSIVE_DRIFT_PERCENT: u64 = 6;
/// Time for which a member acts as primary after its lease has ended, with [`Fault::OverrunLease`].
const LEASE_EXCESS: u64 = 45 * MS;

/// A message in transit.
#[derive(Clone, Debug)]
pub(crate) struct Message {
    /// Hash of the message.
    pub fingerprint: u64,
    /// The message.
    pub envelope: Rc<Envelope>,
}

/// The state of the cluster.
#[derive(Clone)]
pub(crate) struct Cluster {
    /// True time in microseconds.
    pub now: u64,
    /// All members.
    pub members: Vec<CachedMember>,
    /// Messages in transit: in the order of sending, or by fingerprint if any may be next.
    pub network: Vec<Message>,
    /// Delayed messages.
    pub delayed: Vec<Message>,
    /// Links that are cut.
    pub cut_links: BTreeSet<(usize, usize)>,
    /// The remaining budget.
    pub budget: Budget,
    /// The record that the invariants are checked against.
    pub history: History,
    /// The member that acted last; none if time has advanced since.
    pub(super) last_actor: Option<usize>,
    /// Number of disks lost.
    pub(super) wipes: u32,
    /// The configuration of the cluster.
    pub(super) setup: Rc<Setup>,
    /// Whether the network is sorted: where any message may be next, the order of sending has no meaning.
    sorts_network: bool,
}

impl Cluster {
    /// All machines with empty disks; their processes start at once.
    pub(crate) fn new(mut setup: Setup) -> Cluster {
        if setup.fault == Fault::ExcessiveDrift {
            setup.clock_rates = Setup::three_with_drift(EXCESSIVE_DRIFT_PERCENT).clock_rates;
        }
        let members = setup
            .clock_rates
            .iter()
            .enumerate()
            .map(|(index, rate)| CachedMember::new(Member::new(index, *rate)));
        let mut cluster = Cluster {
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
        for member in 0..cluster.members.len() {
            let settings = cluster.settings(member, true);
            cluster.members[member].make_mut().disk.state.view = settings.first_view();
            cluster.start(member);
        }
        cluster
    }

    /// Describes the effect of an action in this state, in one line.
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

    /// Makes this the initial state of an exploration.
    pub(crate) fn begin(mut self, bounds: &Bounds) -> Cluster {
        self.budget = bounds.budget;
        self.last_actor = None;
        self.sorts_network = bounds.schedule == Schedule::Any;
        self.sort_network();
        self
    }

    /// Whether faults of this member are explored in this state.
    ///
    /// Partial-order reduction: a fault of one member and a step of another at the same true time commute.
    /// Faults of a member are explored right after its own steps, and whenever time has advanced.
    pub(crate) fn explores_faults_of(&self, member: usize) -> bool {
        self.last_actor.is_none_or(|actor| actor == member)
    }

    /// Whether faults that affect several members are explored: whenever time has advanced.
    pub(crate) fn explores_cluster_faults(&self) -> bool {
        self.last_actor.is_none()
    }

    /// Whether a member acts as primary now.
    pub(crate) fn acts_as_primary(&self, member: usize) -> bool {
        let member = &self.members[member];
        let Some(process) = &member.process else { return false };
        match self.setup.fault {
            Fault::RoleInsteadOfLease => matches!(process.replication.role(), Role::Primary { .. }),
            Fault::OverrunLease => {
                process.replication.is_primary(member.clock.local(self.now.saturating_sub(LEASE_EXCESS)))
            }
            _ => process.replication.is_primary(member.clock.local(self.now)),
        }
    }

    /// The member that acts as primary.
    pub(crate) fn primary(&self) -> Option<usize> {
        (0..self.members.len()).find(|member| self.acts_as_primary(*member))
    }

    /// The state machine of a running member.
    pub(crate) fn replication(&self, member: usize) -> &Replication {
        &self.members[member].process.as_ref().expect("the process is running").replication
    }

    /// A hash that distinguishes states with different futures.
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

    /// Executes an action and checks the invariants.
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
            Action::SlowDisk(member) => self.members[member].make_mut().disk.is_slow = true,
            Action::Advance => self.advance(),
            Action::Wait => {
                self.now += bounds.wait.unwrap_or(0);
                self.last_actor = None;
            }
            Action::Crash { member, kept, down_for } => self.crash(member, kept, down_for),
            Action::PowerCut => (0..self.members.len()).for_each(|member| self.crash(member, 0, 0)),
            Action::Wipe { member, down_for } => self.wipe(member, down_for),
            Action::Pause { member, span } => {
                self.members[member].make_mut().paused_until = Some(self.now + span);
            }
            Action::Cut(cut) => self.cut(&bounds.cuts[cut]),
            Action::Heal => self.cut_links.clear(),
            Action::Propose(member) => self.propose(member),
            Action::Repeat { member, request } => self.submit(member, request),
            Action::Shutdown(member) => self.input(member, Input::Shutdown),
        }
        self.sort_network();
        self.check();
    }

    pub(crate) fn cut(&mut self, links: &Links) {
        self.cut_links.extend(links);
    }

    /// The due time and the member of the next timer.
    pub(crate) fn next_due(&self) -> Option<(u64, usize)> {
        let due = |(index, slot): (usize, &CachedMember)| Some((slot.due(self.now)?, index));
        self.members.iter().enumerate().filter_map(due).min()
    }

    fn advance(&mut self) {
        let Some((due, member)) = self.next_due() else { return };
        self.now = due;
        if self.members[member].process.is_none() {
            self.start(member);
        } else if self.members[member].paused_until.is_some() {
            let machine = self.members[member].make_mut();
            machine.paused_until = None;
            let backlog = std::mem::take(&mut machine.backlog);
            for input in backlog {
                self.input(member, input);
            }
        } else {
            if let Some(process) = &mut self.members[member].make_mut().process {
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
        if let Some(ticket) = self.members[member].make_mut().disk.sync_batch() {
            self.input(member, Input::Persisted { ticket: WriteTicket(ticket) });
        }
    }

    /// Passes an input to a process, now or at the end of its pause.
    pub(crate) fn input(&mut self, member: usize, input: Input) {
        self.last_actor = Some(member);
        let now = self.now;
        let machine = self.members[member].make_mut();
        let local = machine.clock.local(now);
        let Some(process) = &mut machine.process else { return };
        if machine.paused_until.is_some() {
            machine.backlog.push(input);
            return;
        }
        let mut outputs = Vec::new();
        process.replication.handle(local, input, &mut outputs);
        self.execute_outputs(member, outputs);
    }

    /// Checks the invariants of every state.
    fn check(&mut self) {
        let mut primaries = (0..self.members.len()).filter(|member| self.acts_as_primary(*member));
        let first = primaries.next();
        let second = primaries.next();
        if second.is_some() {
            self.history.report(Violation::TwoLeases);
        }
        if let Some(process) = first.and_then(|member| self.members[member].process.as_ref()) {
            self.history.check_read(&process.state);
        }
        if self.wipes <= self.setup.tolerated_failures && !self.has_all_replicas() {
            self.history.report(Violation::NoReplicaLeft);
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
