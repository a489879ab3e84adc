//! Emulated replicas with batched steps, a queue, a prompt cache, slow start and faults.
//!
//! A replica has no clock: the fleet passes the current time to it, and ends each step when it is due.

mod batch;
mod job;
mod prompt_cache;

use tulipridge::types::Nanos;

use self::batch::Batch;
pub use self::job::{AttemptId, Job, StepEvent};
pub use self::prompt_cache::{PrefixId, PromptCache, PromptKey};
use crate::experiment::{MachineKind, Replicas};
use crate::time::nanos;

/// Active faults of a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaFaults {
    /// The machine is disconnected from the network.
    pub is_unreachable: bool,
    /// The replica accepts requests without processing them.
    pub is_hanging: bool,
    /// Fraction of requests that receive an error response without processing.
    pub error_fraction: f64,
    /// Factor of the duration of each step, 1 without a slowdown.
    pub slowdown: f64,
}

impl Default for ReplicaFaults {
    fn default() -> ReplicaFaults {
        ReplicaFaults { is_unreachable: false, is_hanging: false, error_fraction: 0.0, slowdown: 1.0 }
    }
}

/// An emulated replica with its machine.
pub struct Replica {
    /// Name in the list, unique in a run.
    pub name: String,
    /// Zone of the machine.
    pub zone: u16,
    /// Index of the machine kind in the experiment.
    pub kind: u16,
    /// Size: units times speed.
    pub size: f64,
    /// Whether the process is running.
    pub is_running: bool,
    /// Faults that are active now.
    pub faults: ReplicaFaults,
    /// Time of the last start; `None` if the replica started before the simulation, with its full capacity.
    pub started: Option<Nanos>,
    /// Number of crashes; steps and attempts of an earlier incarnation are outdated.
    pub incarnation: u32,
    is_stepping: bool,
    speed: f64,
    batch: Batch,
    busy_time: BusyTime,
}

/// Time spent in steps since the last load report.
#[derive(Default)]
struct BusyTime {
    total: Nanos,
    step_started: Nanos,
}

impl Replica {
    /// Creates a replica with its full capacity and `speed_factor` times the speed of its machine kind.
    #[must_use]
    pub fn new(name: String, zone: u16, kind: u16, machine: &MachineKind, speed_factor: f64) -> Replica {
        Replica {
            name,
            zone,
            kind,
            size: machine.units * machine.speed,
            is_running: true,
            faults: ReplicaFaults::default(),
            started: None,
            incarnation: 0,
            is_stepping: false,
            speed: machine.speed * speed_factor,
            batch: Batch::new(machine),
            busy_time: BusyTime::default(),
        }
    }

    /// Number of requests in the queue and the batch.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.batch.in_flight()
    }

    /// Number of requests in the queue.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.batch.queued()
    }

    /// Maximum number of requests in the batch.
    #[must_use]
    pub fn batch_size(&self) -> usize {
        self.batch.size()
    }

    /// Number of requests in the batch over its maximum.
    #[must_use]
    pub fn batch_utilization(&self) -> f64 {
        self.batch.utilization()
    }

    /// Crashes the replica, and returns the attempts that are lost. Ends all faults except the slowdown.
    pub fn crash(&mut self) -> Vec<AttemptId> {
        self.is_running = false;
        self.faults = ReplicaFaults { slowdown: self.faults.slowdown, ..ReplicaFaults::default() };
        self.is_stepping = false;
        self.incarnation += 1;
        self.batch.clear()
    }

    /// Starts the replica in slow start, and reconnects its machine.
    pub fn start(&mut self, now: Nanos) {
        self.is_running = true;
        self.faults.is_unreachable = false;
        self.started = Some(now);
    }

    /// Available fraction of the capacity: rises linearly during slow start, then is 1.
    #[must_use]
    pub fn available_capacity(&self, now: Nanos, settings: &Replicas) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let duration = nanos(settings.slow_start_duration).max(1);
        let progress = now.saturating_sub(started) as f64 / duration as f64;
        (settings.slow_start_capacity + (1.0 - settings.slow_start_capacity) * progress).min(1.0)
    }

    /// Whether the replica is healthy, has its full capacity and an empty queue. A slowdown does not count as a fault.
    #[must_use]
    pub fn has_free_capacity(&self, now: Nanos, settings: &Replicas) -> bool {
        let has_fault =
            self.faults.is_unreachable || self.faults.is_hanging || self.faults.error_fraction != 0.0;
        let is_healthy = self.is_running && !has_fault;
        is_healthy && self.batch.queued() == 0 && self.available_capacity(now, settings) >= 1.0
    }

    /// Adds a request to the queue, which the next step processes.
    pub fn enqueue(&mut self, job: Job) {
        self.batch.enqueue(job);
    }

    /// Cancels an attempt; returns false if it is complete or was lost.
    pub fn cancel(&mut self, id: AttemptId) -> bool {
        self.batch.cancel(id)
    }

    /// Begins a step and returns its duration in nanoseconds; `None` without work, during another step, or if a fault
    /// prevents it.
    pub fn begin_step(&mut self, now: Nanos, settings: &Replicas) -> Option<Nanos> {
        let is_blocked = self.is_stepping || self.faults.is_unreachable || self.faults.is_hanging;
        if is_blocked || !self.is_running {
            return None;
        }
        let work = self.batch.begin_step(settings.prefill_chunk_tokens)?;
        let speed = self.speed * self.available_capacity(now, settings) / self.faults.slowdown;
        self.is_stepping = true;
        self.busy_time.step_started = now;
        Some((work / speed) as Nanos)
    }

    /// Ends the current step, and appends its events.
    pub fn end_step(&mut self, now: Nanos, events: &mut Vec<StepEvent>) {
        self.is_stepping = false;
        self.busy_time.total += now.saturating_sub(self.busy_time.step_started);
        self.batch.end_step(events);
    }

    /// Returns the time spent in steps since the last call, in nanoseconds, and resets it.
    pub fn take_busy_time(&mut self, now: Nanos) -> Nanos {
        if self.is_stepping {
            self.busy_time.total += now.saturating_sub(self.busy_time.step_started);
            self.busy_time.step_started = now;
        }
        std::mem::take(&mut self.busy_time.total)
    }
}
