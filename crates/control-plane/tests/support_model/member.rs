//! One member: its clock, its disk, and its process.

use std::collections::hash_map::DefaultHasher;
use std::fmt::Debug;
use std::hash::{Hash, Hasher};
use std::net::Ipv4Addr;
use std::ops::Deref;
use std::rc::Rc;

use tulipridge_control_plane::replication::{Input, Replication};
use tulipridge_control_plane::state::State;
use tulipridge_protocol::node::{Generation, NodeId};

use super::clock::Clock;
use super::disk::Disk;
use super::setup::MS;

/// A timer that is due again at once waits this long.
const SHORTEST_WAIT: u64 = MS / 10;
/// Clocks show this at the true time 0, in microseconds, so that nothing happens before their zero.
const CLOCK_START: u64 = 1_000_000_000;

/// A running process.
#[derive(Clone, Debug)]
pub(crate) struct Process {
    /// The state machine under test.
    pub replication: Replication,
    /// The agreed state.
    pub state: State,
    /// The newest entry in it.
    pub sequence: u64,
    /// When it was last handed a tick.
    pub ticked_at: u64,
}

/// One member.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    /// Its address, and the generation of its present disk.
    pub node: NodeId,
    /// Its clock.
    pub clock: Clock,
    /// Its disk.
    pub disk: Disk,
    /// Its process, while one runs.
    pub process: Option<Process>,
    /// When its process starts again.
    pub restart_at: Option<u64>,
    /// It handles nothing before this time.
    pub paused_until: Option<u64>,
    /// What came while it was paused.
    pub backlog: Vec<Input>,
    /// Processes so far.
    pub incarnations: u64,
}

impl Member {
    /// A machine with an empty disk.
    pub(crate) fn new(index: usize, rate: u64) -> Member {
        Member {
            node: NodeId::new(Ipv4Addr::new(10, 1, 0, 10 + index as u8), Generation(0)),
            clock: Clock { offset: CLOCK_START, rate },
            disk: Disk::default(),
            process: None,
            restart_at: None,
            paused_until: None,
            backlog: Vec::new(),
            incarnations: 0,
        }
    }

    /// Whether its process runs and handles inputs.
    pub(crate) fn is_running(&self) -> bool {
        self.process.is_some() && self.paused_until.is_none()
    }

    /// When its next timer is due.
    pub(crate) fn due(&self, now: u64) -> Option<u64> {
        if let Some(restart_at) = self.restart_at {
            return Some(restart_at.max(now));
        }
        let process = self.process.as_ref()?;
        if let Some(paused_until) = self.paused_until {
            return Some(paused_until.max(now));
        }
        let due = self.clock.true_time_at(process.replication.next_deadline());
        Some(due.max(process.ticked_at + SHORTEST_WAIT).max(now))
    }
}

/// A member, and the fingerprint that it had when it was last asked for.
#[derive(Clone)]
pub(crate) struct Slot {
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
    /// A member that is not asked for its fingerprint yet.
    pub(crate) fn new(member: Member) -> Slot {
        Slot { member: Rc::new(member), fingerprint: None }
    }

    /// The member's fingerprint.
    pub(crate) fn fingerprint(&mut self) -> u64 {
        *self.fingerprint.get_or_insert_with(|| fingerprint(&self.member))
    }

    /// The member, to be changed.
    pub(crate) fn change(&mut self) -> &mut Member {
        self.fingerprint = None;
        Rc::make_mut(&mut self.member)
    }
}

/// A number that tells apart values with different debug output.
///
/// The output of a state machine shows all its fields, so two states with the same number go on alike but
/// for a chance of about one in 2^64 for each pair.
pub(crate) fn fingerprint(value: &impl Debug) -> u64 {
    let mut hasher = DefaultHasher::new();
    format!("{value:?}").hash(&mut hasher);
    hasher.finish()
}
