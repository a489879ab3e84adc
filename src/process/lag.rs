//! Detects when the serving thread runs late, and whether the program itself is the cause, with a long loop, or the
//! system, which did not schedule the thread or blocked it in a system call.
//!
//! No I/O and no clock: the caller passes in the wall-clock time and the thread's CPU time, both in nanoseconds.

use crate::limits::Limits;
use crate::types::Nanos;

/// The first late run of an episode in which the thread runs late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LagEpisode {
    /// When it should have run.
    pub due: Nanos,
    /// How much later it did.
    pub late: Nanos,
    /// The time since the previous check, over which `cpu` was measured.
    pub span: Nanos,
    /// The thread's CPU time over the span.
    pub cpu: Nanos,
}

/// Compares when the thread was due to run with when it ran.
#[derive(Clone, Debug)]
pub struct LagMonitor {
    threshold: Nanos,
    recovery_time: Nanos,
    check_interval: Nanos,
    /// The wall-clock time and the thread's CPU time at the last check.
    last_check: (Nanos, Nanos),
    /// When the thread last ran late; once `recovery_time` has passed since then, the next late run starts an episode.
    last_late: Option<Nanos>,
}

impl LagMonitor {
    /// Creates a monitor whose first span begins now.
    #[must_use]
    pub fn new(now: Nanos, cpu: Nanos, limits: &Limits) -> LagMonitor {
        let nanos = |span: std::time::Duration| span.as_nanos() as Nanos;
        LagMonitor {
            threshold: nanos(limits.lag.threshold),
            recovery_time: nanos(limits.lag.recovery_time),
            check_interval: nanos(limits.lag.cpu_check_interval),
            last_check: (now, cpu),
            last_late: None,
        }
    }

    /// Records that the thread, due at `due`, runs at `now`. Returns the late run that starts an episode. `cpu` is called
    /// only when it is needed, since it makes a system call.
    pub fn record_run(
        &mut self,
        due: Nanos,
        now: Nanos,
        cpu: impl FnOnce() -> Nanos,
    ) -> Option<LagEpisode> {
        let late = now.saturating_sub(due);
        let is_late = late > self.threshold;
        if !is_late && now.saturating_sub(self.last_check.0) < self.check_interval {
            return None;
        }
        let previous = std::mem::replace(&mut self.last_check, (now, cpu()));
        let is_new_episode =
            self.last_late.is_none_or(|last| now.saturating_sub(last) >= self.recovery_time);
        if is_late {
            self.last_late = Some(now);
        }
        (is_late && is_new_episode).then(|| LagEpisode {
            due,
            late,
            span: now.saturating_sub(previous.0),
            cpu: self.last_check.1.saturating_sub(previous.1),
        })
    }
}
