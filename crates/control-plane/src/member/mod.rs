//! One member of the control plane: feeds the agreement with messages, writes and the time, and carries out what
//! it says.

pub mod compaction;
pub mod disk_watch;
pub mod proposals;

use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use tulipridge_protocol::feed::ControlNode;
use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::replication::Envelope;
use tulipridge_runtime::clock;

use crate::change::ChangeAuthority;
use crate::delivery::Authority;
use crate::disk::{Disk, DiskEvent};
use crate::links::Links;
use crate::machine::{Machine, Progress, Published};
use crate::replication::{Departure, DurableRecord, Input, Output, Replication, Role};
use crate::singleton::{LeaseStatus, SingletonLease};
use crate::state::{Change, Decision};

use compaction::AppliedSinceSnapshot;
use disk_watch::DiskWatch;
pub use proposals::ProposalEnd;
use proposals::Proposals;

/// Longest time between two looks at the disk and the clock.
const LONGEST_PAUSE: Duration = Duration::from_millis(250);

/// Called when what is delivered has changed.
type PublishedListener = Box<dyn Fn(&Published)>;

/// The parts that a member works with.
pub struct Parts {
    /// The agreement.
    pub replication: Replication,
    /// Connections to other members.
    pub links: Rc<Links>,
    /// The disk.
    pub disk: Disk,
    /// The agreed state.
    pub machine: Machine,
}

/// One member of the control plane.
pub struct Member {
    replication: RefCell<Replication>,
    links: Rc<Links>,
    disk: Disk,
    machine: Machine,
    proposals: RefCell<Proposals>,
    disk_watch: RefCell<DiskWatch>,
    /// The epoch in which this member, as primary, has applied all that was agreed before.
    ready_epoch: Cell<Option<u64>>,
    /// The epoch in which this member became primary, while it is.
    tenure: Cell<Option<u64>>,
    published: RefCell<Published>,
    listener: RefCell<Option<PublishedListener>>,
    applied: Cell<AppliedSinceSnapshot>,
    alarm: Alarm,
}

/// Wakes the loop when something is due earlier than it thinks.
struct Alarm {
    due: Cell<Duration>,
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Member {
    /// Puts the parts together.
    #[must_use]
    pub fn new(parts: Parts) -> Rc<Member> {
        let (sender, receiver) = async_channel::bounded(1);
        Rc::new(Member {
            replication: RefCell::new(parts.replication),
            links: parts.links,
            disk: parts.disk,
            machine: parts.machine,
            proposals: RefCell::default(),
            disk_watch: RefCell::default(),
            ready_epoch: Cell::new(None),
            tenure: Cell::new(None),
            published: RefCell::default(),
            listener: RefCell::default(),
            applied: Cell::default(),
            alarm: Alarm { due: Cell::new(Duration::ZERO), sender, receiver },
        })
    }

    /// Has a function called each time when what is delivered has changed, and once at first.
    pub fn on_published(&self, listener: PublishedListener) {
        listener(&self.published.borrow());
        *self.listener.borrow_mut() = Some(listener);
    }

    /// Lets the time pass, for ever.
    pub async fn run(self: Rc<Self>) {
        loop {
            self.wait_until_due().await;
            self.check_disk();
            self.input(Input::Tick);
        }
    }

    async fn wait_until_due(&self) {
        loop {
            let now = clock::now();
            let due = self.next_deadline().min(now + LONGEST_PAUSE);
            self.alarm.due.set(due);
            if due <= now {
                return;
            }
            let timer = async {
                Timer::after(due - now).await;
                true
            };
            let earlier = async {
                let _ = self.alarm.receiver.recv().await;
                false
            };
            if future::or(timer, earlier).await {
                return;
            }
        }
    }

    fn next_deadline(&self) -> Duration {
        self.replication.borrow().next_deadline()
    }

    /// Takes a message of another member.
    pub fn on_message(&self, envelope: Envelope) {
        self.input(Input::Message(envelope));
    }

    /// Addresses where members may be found.
    pub fn on_known(&self, members: Vec<NodeId>) {
        self.input(Input::Known(members));
    }

    /// Gives up the lease, if this member has it, so that another one can follow at once.
    pub fn terminate(&self) {
        self.input(Input::Terminate);
    }

    /// What others still need of this member, whose process shall end.
    pub fn departure(&self) -> Departure {
        self.replication.borrow().departure(clock::now())
    }

    /// Takes what the disk tells; returns only if its thread has ended.
    pub async fn follow_disk(self: Rc<Self>, events: Receiver<DiskEvent>) {
        while let Ok(event) = events.recv().await {
            match event {
                DiskEvent::Persisted { ticket } => {
                    self.disk_watch.borrow_mut().persisted(ticket);
                    self.check_disk();
                    self.input(Input::Persisted { ticket });
                }
                DiskEvent::Refused { .. } => {
                    self.disk_watch.borrow_mut().refused();
                    self.check_disk();
                }
            }
        }
    }

    fn check_disk(&self) {
        let news = self.disk_watch.borrow_mut().news(clock::now());
        if let Some(healthy) = news {
            log::warn!(healthy = healthy; "the disk's health has changed");
            self.input(Input::DiskHealthy(healthy));
        }
    }

    /// Takes what the agreed state tells; returns only if it can't be kept up.
    pub async fn follow_machine(self: Rc<Self>, progress: Receiver<Progress>) -> String {
        while let Ok(progress) = progress.recv().await {
            match progress {
                Progress::Applied { sequence, applied, published } => {
                    self.publish(published);
                    self.proposals.borrow_mut().applied(sequence, applied);
                    self.compact_when_due().await;
                }
                Progress::CaughtUp { epoch } => self.ready_epoch.set(Some(epoch)),
                Progress::Failed(error) => return error.to_string(),
            }
        }
        "the thread of the agreed state has ended".to_owned()
    }

    fn publish(&self, published: Published) {
        *self.published.borrow_mut() = published;
        if let Some(listener) = &*self.listener.borrow() {
            listener(&self.published.borrow());
        }
    }

    async fn compact_when_due(&self) {
        if !self.applied.get().is_snapshot_due() {
            return;
        }
        self.applied.take();
        if let Some(snapshot) = self.machine.snapshot().await {
            self.input(Input::Compact { sequence: snapshot.sequence, snapshot: snapshot.state.into() });
        }
    }

    /// The agreed state.
    pub fn machine(&self) -> &Machine {
        &self.machine
    }

    /// What is delivered.
    pub fn published(&self) -> Published {
        self.published.borrow().clone()
    }

    /// It is the primary within its lease.
    pub fn is_primary(&self) -> bool {
        self.replication.borrow().is_primary(clock::now())
    }

    /// The primary, this member itself included, if it was heard lately.
    pub fn known_primary(&self) -> Option<NodeId> {
        self.replication.borrow().known_primary(clock::now())
    }

    /// Another member that callers may be sent to.
    pub fn redirect_target(&self) -> Option<NodeId> {
        self.replication.borrow().redirect_target(clock::now())
    }

    /// The agreement, for reports.
    pub fn with_replication<T>(&self, look: impl FnOnce(&Replication) -> T) -> T {
        look(&self.replication.borrow())
    }

    /// Members that take part, as the primary knows them.
    pub fn live_members(&self) -> Vec<ControlNode> {
        let members = self.replication.borrow().live_members(clock::now());
        members.into_iter().map(|member| ControlNode { id: member.node, zone: member.zone }).collect()
    }

    fn input(&self, input: Input) {
        let mut outputs = Vec::new();
        self.replication.borrow_mut().handle(clock::now(), input, &mut outputs);
        self.carry_out_all(outputs);
        if self.next_deadline() < self.alarm.due.get() {
            let _ = self.alarm.sender.try_send(());
        }
    }

    fn carry_out_all(&self, outputs: Vec<Output>) {
        let mut role = None;
        for output in outputs {
            match output {
                Output::RoleChanged(changed) => role = Some(changed),
                other => self.carry_out(other),
            }
        }
        if let Some(role) = role {
            self.take_role(role);
        }
    }

    fn carry_out(&self, output: Output) {
        match output {
            Output::Send(envelope) => self.links.send(envelope),
            Output::Persist { ticket, records } => {
                let bytes = records.iter().map(DurableRecord::payload_bytes).sum();
                self.disk_watch.borrow_mut().handed_over(ticket, bytes, clock::now());
                self.disk.persist(ticket, records);
            }
            Output::Apply { sequence, command, proposal } => {
                let mut applied = self.applied.get();
                applied.record(command.len());
                self.applied.set(applied);
                self.proposals.borrow_mut().committed(sequence, proposal);
                self.machine.apply(sequence, command);
            }
            Output::Restore { sequence, snapshot } => {
                self.applied.take();
                self.machine.restore(sequence, snapshot);
            }
            Output::ProposalFailed { proposal, reason } => {
                self.proposals.borrow_mut().failed(proposal, reason);
            }
            Output::RoleChanged(_) => {}
        }
    }

    /// What was agreed before is handed to the state already: once the state has caught up, the primary is ready.
    fn take_role(&self, role: Role) {
        log::info!(role:? = role; "the member's role has changed");
        self.ready_epoch.set(None);
        match role {
            Role::Primary { epoch } => {
                self.tenure.set(self.tenure.get().or(Some(epoch)));
                self.machine.catch_up(epoch);
            }
            _ => self.tenure.set(None),
        }
    }

    /// The epoch, while this member is primary within its lease and has applied all that was agreed before.
    fn acting_epoch(&self) -> Option<u64> {
        let epoch = self.ready_epoch.get()?;
        let replication = self.replication.borrow();
        let now = clock::now();
        let acting = replication.is_primary(now) && replication.epoch() == epoch;
        acting.then_some(epoch)
    }
}

impl ChangeAuthority for Member {
    fn tenure(&self) -> Option<u64> {
        self.tenure.get().filter(|_| self.is_primary())
    }

    async fn decide(&self, change: Arc<Change>) -> Option<Decision> {
        self.machine.decide(change).await
    }

    async fn agree(&self, command: Arc<[u8]>) -> ProposalEnd {
        let (ticket, end) = self.proposals.borrow_mut().open();
        self.input(Input::Propose { ticket, command });
        end.recv().await.unwrap_or(ProposalEnd::Unknown)
    }
}

impl LeaseStatus for Member {
    fn duty(&self) -> Option<SingletonLease> {
        let epoch = self.acting_epoch()?;
        let tenure = ChangeAuthority::tenure(self)?;
        Some(SingletonLease { epoch, tenure })
    }

    fn knows_primary(&self) -> bool {
        self.known_primary().is_some()
    }
}

impl Authority for Member {
    fn confirms_freshness(&self) -> bool {
        self.acting_epoch().is_some()
    }

    fn primary(&self) -> Option<Ipv4Addr> {
        if self.is_primary() {
            return None;
        }
        self.known_primary().map(|node| node.address())
    }
}
