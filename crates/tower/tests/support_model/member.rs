//! One member: its clock, its disk, and its process.

use std::collections::hash_map::DefaultHasher;
use std::fmt::Debug;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use intercom::node::NodeId;
use tower::replication::{Input, Replication};
use tower::state::State;

use super::disk::Disk;

/// A steady clock with a speed of its own.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// What it shows at the true time 0, in microseconds.
    pub offset: u64,
    /// Its speed in millionths.
    pub rate: u64,
}

impl Clock {
    /// What it shows at a true time.
    pub fn local(&self, now: u64) -> Duration {
        Duration::from_micros(self.offset + now * self.rate / 1_000_000)
    }

    /// The first true time at which it shows this.
    pub fn when(&self, local: Duration) -> u64 {
        let micros = (local.as_micros() as u64).saturating_sub(self.offset);
        (micros * 1_000_000).div_ceil(self.rate)
    }
}

/// A running process.
#[derive(Clone, Debug)]
pub struct Process {
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
pub struct Member {
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
    pub lives: u64,
}

impl Member {
    /// Whether its process runs and handles inputs.
    pub fn is_running(&self) -> bool {
        self.process.is_some() && self.paused_until.is_none()
    }
}

/// A number that tells apart values with different debug output.
///
/// The output of a state machine shows all its fields, so two states with the same number go on alike but
/// for a chance of about one in 2^64 for each pair.
pub fn fingerprint(value: &impl Debug) -> u64 {
    let mut hasher = DefaultHasher::new();
    format!("{value:?}").hash(&mut hasher);
    hasher.finish()
}
