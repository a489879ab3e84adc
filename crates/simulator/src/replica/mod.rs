//! An emulated replica: batched steps, a queue, a prompt cache, slow start and faults.
//!
//! It has no clock: the fleet passes the time in, and ends each step when it is due.

mod batch;
mod job;
mod prompt_cache;

use tulipridge::types::Nanos;

use self::batch::Batch;
pub use self::job::{AttemptId, Job, StepEvent};
pub use self::prompt_cache::{PrefixId, PromptCache, PromptKey};
use crate::experiment::{MachineKind, Replicas};
use crate::time::nanos;

/// The faults of a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaFaults {
    /// Its machine has lost its network.
    pub is_unreachable: bool,
    /// It accepts requests without processing them.
    pub is_hanging: bool,
    /// The fraction of requests to which it responds with an error, at once.
    pub error_fraction: f64,
    /// The factor of all durations.
    pub slowdown: f64,
}

impl Default for ReplicaFaults {
    fn default() -> ReplicaFaults {
        ReplicaFaults { is_unreachable: false, is_hanging: false, error_fraction: 0.0, slowdown: 1.0 }
    }
}

/// An emulated replica.
pub struct Replica {
    /// Its name in the list.
    pub name: String,
    /// Its zone.
    pub zone: u16,
    /// The index of its kind of machine.
    pub kind: u16,
    /// Units times speed.
    pub size: f64,
    /// Whether its process runs.
    pub is_alive: bool,
    /// Its faults.
    pub faults: ReplicaFaults,
    /// Its last start; `None` if that was long ago.
    pub started: Option<Nanos>,
    /// The number of its crashes, by which steps of an earlier incarnation are recognized.
    pub incarnation: u32,
    is_stepping: bool,
    speed: f64,
    batch: Batch,
    busy_time: BusyTime,
}

/// The time in steps since the last load report.
#[derive(Default)]
struct BusyTime {
    total: Nanos,
    step_started: Nanos,
}

impl Replica {
    /// A replica with its full capacity; its speed is `speed_factor` times that of its kind.
    #[must_use]
    pub fn new(name: String, zone: u16, kind: u16, machine: &MachineKind, speed_factor: f64) -> Replica {
        Replica {
            name,
            zone,
            kind,
            size: machine.units * machine.speed,
            is_alive: true,
            faults: ReplicaFaults::default(),
            started: None,
            incarnation: 0,
            is_stepping: false,
            speed: machine.speed * speed_factor,
            batch: Batch::new(machine),
            busy_time: BusyTime::default(),
        }
    }

    /// The number of requests in the queue and the batch.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.batch.in_flight()
    }

    /// The number of requests in the queue.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.batch.queued()
    }

    /// The maximum number of requests in the batch.
    #[must_use]
    pub fn batch_size(&self) -> usize {
        self.batch.size()
    }

    /// The fraction of the batch that is in use.
    #[must_use]
    pub fn batch_utilization(&self) -> f64 {
        self.batch.utilization()
    }

    /// Crashes, and returns the requests that are lost. Faults end, except for the slowdown.
    pub fn crash(&mut self) -> Vec<AttemptId> {
        self.is_alive = false;
        self.faults = ReplicaFaults { slowdown: self.faults.slowdown, ..ReplicaFaults::default() };
        self.is_stepping = false;
        self.incarnation += 1;
        self.batch.clear()
    }

    /// Starts, in slow start.
    pub fn start(&mut self, now: Nanos) {
        self.is_alive = true;
        self.faults.is_unreachable = false;
        self.started = Some(now);
    }

    /// The available fraction of the capacity, below 1 in slow start.
    #[must_use]
    pub fn available_capacity(&self, now: Nanos, settings: &Replicas) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let duration = nanos(settings.slow_start_duration).max(1);
        let progress = now.saturating_sub(started) as f64 / duration as f64;
        (settings.slow_start_capacity + (1.0 - settings.slow_start_capacity) * progress).min(1.0)
    }

    /// Whether it is healthy, has its full capacity and an empty queue.
    #[must_use]
    pub fn has_free_capacity(&self, now: Nanos, settings: &Replicas) -> bool {
        let has_fault =
            self.faults.is_unreachable || self.faults.is_hanging || self.faults.error_fraction != 0.0;
        let is_healthy = self.is_alive && !has_fault;
        is_healthy && self.batch.queued() == 0 && self.available_capacity(now, settings) >= 1.0
    }

    /// Adds a request to the queue; it is considered when the next step begins.
    pub fn enqueue(&mut self, job: Job) {
        self.batch.enqueue(job);
    }

    /// Cancels an attempt; false if it is not here any more.
    pub fn cancel(&mut self, id: AttemptId) -> bool {
        self.batch.cancel(id)
    }

    /// Begins a step if there is work, and returns its duration.
    pub fn begin_step(&mut self, now: Nanos, settings: &Replicas) -> Option<Nanos> {
        let is_blocked = self.is_stepping || self.faults.is_unreachable || self.faults.is_hanging;
        if is_blocked || !self.is_alive {
            return None;
        }
        let work = self.batch.begin_step(settings.prefill_chunk_tokens)?;
        let speed = self.speed * self.available_capacity(now, settings) / self.faults.slowdown;
        self.is_stepping = true;
        self.busy_time.step_started = now;
        Some((work / speed) as Nanos)
    }

    /// Ends the current step and adds its events.
    pub fn end_step(&mut self, now: Nanos, events: &mut Vec<StepEvent>) {
        self.is_stepping = false;
        self.busy_time.total += now.saturating_sub(self.busy_time.step_started);
        self.batch.end_step(events);
    }

    /// The time in steps since the last call.
    pub fn take_busy_time(&mut self, now: Nanos) -> Nanos {
        if self.is_stepping {
            self.busy_time.total += now.saturating_sub(self.busy_time.step_started);
            self.busy_time.step_started = now;
        }
        std::mem::take(&mut self.busy_time.total)
    }
}
