//! Detects when the serving thread runs late. Its CPU time shows the cause: high if the program ran a long loop, low if
//! the system did not schedule the thread or blocked it in a system call.
//!
//! No I/O and no clock: the caller passes in the time since the Unix epoch (the wall-clock time at the start of the
//! process plus monotonic time) and the CPU time of the thread, both in nanoseconds.

use crate::limits::Limits;
use crate::types::Nanos;

/// A late run that starts an episode of late runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LateRun {
    /// The time at which the thread should have run.
    pub due: Nanos,
    /// The delay between `due` and the actual run.
    pub delay: Nanos,
    /// The time since the previous check, over which `cpu_time` was measured.
    pub span: Nanos,
    /// The thread's CPU time over the span.
    pub cpu_time: Nanos,
}

/// Compares when the thread was due to run with when it ran.
#[derive(Clone, Debug)]
pub struct LagMonitor {
    threshold: Nanos,
    recovery_time: Nanos,
    check_interval: Nanos,
    /// The wall-clock time and the thread's CPU time at the last check.
    last_check: (Nanos, Nanos),
    /// The time of the last late run. Once `recovery_time` has passed since then, the next late run starts an episode.
    last_late: Option<Nanos>,
}

impl LagMonitor {
    /// Creates a monitor whose first span begins now.
    #[must_use]
    pub fn new(now: Nanos, cpu_time: Nanos, limits: &Limits) -> LagMonitor {
        let nanos = |span: std::time::Duration| span.as_nanos() as Nanos;
        LagMonitor {
            threshold: nanos(limits.lag.threshold),
            recovery_time: nanos(limits.lag.recovery_time),
            check_interval: nanos(limits.lag.cpu_check_interval),
            last_check: (now, cpu_time),
            last_late: None,
        }
    }

    /// Records that the thread, due at `due`, runs at `now`. Returns this run if it is late and starts an episode.
    /// `cpu_time` is called only when it is needed, since it makes a system call.
    pub fn record_run(
        &mut self,
        due: Nanos,
        now: Nanos,
        cpu_time: impl FnOnce() -> Nanos,
    ) -> Option<LateRun> {
        let delay = now.saturating_sub(due);
        let is_late = delay > self.threshold;
        if !is_late && now.saturating_sub(self.last_check.0) < self.check_interval {
            return None;
        }
        let previous = std::mem::replace(&mut self.last_check, (now, cpu_time()));
        let is_new_episode =
            self.last_late.is_none_or(|last| now.saturating_sub(last) >= self.recovery_time);
        if is_late {
            self.last_late = Some(now);
        }
        (is_late && is_new_episode).then(|| LateRun {
            due,
            delay,
            span: now.saturating_sub(previous.0),
            cpu_time: self.last_check.1.saturating_sub(previous.1),
        })
    }
}
