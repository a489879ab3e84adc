//! A member of the control plane: passes messages, completed writes and the time to the replication protocol and
//! executes its outputs on the disk, the links and the state machine.

mod authority;
pub mod compaction;
pub mod disk_health;
mod events;
mod leadership;
mod outputs;
pub mod proposals;
mod published;
mod timer;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tulipridge_protocol::feed::ControlNode;
use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::replication::Envelope;
use tulipridge_runtime::clock;

use crate::disk::Disk;
use crate::links::Links;
use crate::replication::{Departure, Input, Replication};
use crate::state_machine::{Published, StateMachine};

use compaction::AppliedSinceSnapshot;
use disk_health::DiskHealthMonitor;
pub use events::StateMachineStopped;
use leadership::Leadership;
use proposals::Proposals;
pub use published::PublishedListener;
use published::PublishedState;
use timer::DeadlineTimer;

/// The components of a member.
pub struct MemberParts {
    /// The replication protocol.
    pub replication: Replication,
    /// Connections to the other members.
    pub links: Rc<Links>,
    /// The disk.
    pub disk: Disk,
    /// The replicated state.
    pub state_machine: StateMachine,
}

/// A member of the control plane.
pub struct Member {
    replication: RefCell<Replication>,
    links: Rc<Links>,
    disk: Disk,
    disk_health: RefCell<DiskHealthMonitor>,
    state_machine: StateMachine,
    applied_since_snapshot: Cell<AppliedSinceSnapshot>,
    proposals: RefCell<Proposals>,
    published: PublishedState,
    leadership: Cell<Leadership>,
    timer: DeadlineTimer,
}

impl Member {
    /// Creates a member. The caller has to run [`Member::run`], [`Member::run_disk_events`] and
    /// [`Member::run_state_machine_events`].
    #[must_use]
    pub fn new(parts: MemberParts) -> Rc<Member> {
        Rc::new(Member {
            replication: RefCell::new(parts.replication),
            links: parts.links,
            disk: parts.disk,
            disk_health: RefCell::default(),
            state_machine: parts.state_machine,
            applied_since_snapshot: Cell::default(),
            proposals: RefCell::default(),
            published: PublishedState::default(),
            leadership: Cell::default(),
            timer: DeadlineTimer::new(),
        })
    }

    /// Sets the listener for the published state, which is notified now and after each change.
    pub fn on_published(&self, listener: PublishedListener) {
        self.published.set_listener(listener);
    }

    /// Ticks the replication protocol at its deadlines, forever.
    pub async fn run(self: Rc<Self>) {
        loop {
            self.timer.sleep(|| self.next_deadline()).await;
            self.check_disk_health();
            self.step(Input::Tick);
        }
    }

    /// Handles a message from another member.
    pub fn on_message(&self, envelope: Envelope) {
        self.step(Input::Message(envelope));
    }

    /// Passes possible addresses of members to the replication protocol.
    pub fn on_discovered(&self, members: Vec<NodeId>) {
        self.step(Input::KnownNodes(members));
    }

    /// Releases the lease, if this member holds it, so that a successor can take over at once.
    pub fn shut_down(&self) {
        self.step(Input::Shutdown);
    }

    /// What the other members still need from this member, whose process is about to exit.
    pub fn departure(&self) -> Departure {
        self.replication.borrow().departure(clock::now())
    }

    /// The replicated state.
    pub fn state_machine(&self) -> &StateMachine {
        &self.state_machine
    }

    /// The published part of the state.
    pub fn published(&self) -> Published {
        self.published.get()
    }

    /// Whether this member is the primary within its lease.
    pub fn is_primary(&self) -> bool {
        self.replication.borrow().is_primary(clock::now())
    }

    /// The primary, which may be this member, if it sent a heartbeat recently.
    pub fn known_primary(&self) -> Option<NodeId> {
        self.replication.borrow().known_primary(clock::now())
    }

    /// Another member to which clients can be redirected.
    pub fn redirect_target(&self) -> Option<NodeId> {
        self.replication.borrow().redirect_target(clock::now())
    }

    /// Reads from the replication protocol, for reports.
    pub fn with_replication<T>(&self, read: impl FnOnce(&Replication) -> T) -> T {
        read(&self.replication.borrow())
    }

    /// The live members, as known to the primary.
    pub fn live_members(&self) -> Vec<ControlNode> {
        let members = self.replication.borrow().live_members(clock::now());
        members.into_iter().map(|member| ControlNode { id: member.node, zone: member.zone }).collect()
    }

    fn next_deadline(&self) -> Duration {
        self.replication.borrow().next_deadline()
    }

    fn update_leadership(&self, update: impl FnOnce(&mut Leadership)) {
        let mut leadership = self.leadership.get();
        update(&mut leadership);
        self.leadership.set(leadership);
    }
}
