//! A member of the explored cluster: its clock, its disk, and its process.

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

/// Shortest time between two ticks of a member, in microseconds.
const MIN_TIMER_DELAY: u64 = MS / 10;
/// Reading of all clocks at true time 0, in microseconds, so that no deadline lies before their zero.
const CLOCK_START: u64 = 1_000_000_000;

/// A running process.
#[derive(Clone, Debug)]
pub(crate) struct Process {
    /// The state machine under test.
    pub replication: Replication,
    /// The replicated state.
    pub state: State,
    /// Sequence number of the newest entry in the state.
    pub sequence: u64,
    /// Time of the last tick.
    pub ticked_at: u64,
}

/// A member of the explored cluster.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    /// Address of the member, and generation of its current disk.
    pub node: NodeId,
    /// The member's monotonic clock.
    pub clock: Clock,
    /// The member's disk, with its unsynced records.
    pub disk: Disk,
    /// The member's process; `None` while it is stopped.
    pub process: Option<Process>,
    /// True time at which the member's process starts again, in microseconds; `None` if no restart is scheduled.
    pub restart_at: Option<u64>,
    /// True time until which the member handles no input, in microseconds; `None` if the member is not paused.
    pub paused_until: Option<u64>,
    /// Inputs that arrived during the pause.
    pub backlog: Vec<Input>,
    /// Number of processes started on the member so far.
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

    /// Whether the member's process runs and handles inputs.
    pub(crate) fn is_running(&self) -> bool {
        self.process.is_some() && self.paused_until.is_none()
    }

    /// True time at which the next timer of the member is due, in microseconds; `None` if stopped without a restart.
    pub(crate) fn due(&self, now: u64) -> Option<u64> {
        if let Some(restart_at) = self.restart_at {
            return Some(restart_at.max(now));
        }
        let process = self.process.as_ref()?;
        if let Some(paused_until) = self.paused_until {
            return Some(paused_until.max(now));
        }
        let due = self.clock.true_time_at(process.replication.next_deadline());
        Some(due.max(process.ticked_at + MIN_TIMER_DELAY).max(now))
    }
}

/// A member with its cached fingerprint.
#[derive(Clone)]
pub(crate) struct CachedMember {
    member: Rc<Member>,
    fingerprint: Option<u64>,
}

impl Deref for CachedMember {
    type Target = Member;

    fn deref(&self) -> &Member {
        &self.member
    }
}

impl CachedMember {
    /// Wraps a member, without a fingerprint yet.
    pub(crate) fn new(member: Member) -> CachedMember {
        CachedMember { member: Rc::new(member), fingerprint: None }
    }

    /// The fingerprint, computed if the member has changed since the last call.
    pub(crate) fn fingerprint(&mut self) -> u64 {
        *self.fingerprint.get_or_insert_with(|| fingerprint(&self.member))
    }

    /// Mutable access to the member, which invalidates its fingerprint.
    pub(crate) fn make_mut(&mut self) -> &mut Member {
        self.fingerprint = None;
        Rc::make_mut(&mut self.member)
    }
}

/// A hash of the debug output.
///
/// The debug output of a state machine shows all fields, so two states with equal hashes behave alike, except
/// for a collision with a probability of about 2^-64 per pair.
pub(crate) fn fingerprint(value: &impl Debug) -> u64 {
    let mut hasher = DefaultHasher::new();
    format!("{value:?}").hash(&mut hasher);
    hasher.finish()
}
