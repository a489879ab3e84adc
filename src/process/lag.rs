//! Whether the one thread stands still, and whose doing it is: the program's own, by a long loop, or that of others,
//! who did not let it run or made it wait in a system call.
//!
//! No I/O and no clock: both clocks are handed in, in nanoseconds, that of the wall and that of the thread's own
//! processor time.

use crate::limits::Limits;
use crate::types::Nanos;

/// A spell in which the thread ran late, as it was first seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LagSpell {
    /// When it should have run.
    pub due: Nanos,
    /// How much later it did.
    pub late: Nanos,
    /// The time since the last look before it was due, which is what `cpu` is of.
    pub span: Nanos,
    /// The processor time that the thread had meanwhile.
    pub cpu: Nanos,
}

/// Compares when the thread should have run with when it did.
#[derive(Clone, Debug)]
pub struct LagMonitor {
    most: Nanos,
    calm: Nanos,
    again: Nanos,
    /// The last look: the wall's clock and the thread's.
    seen: (Nanos, Nanos),
    /// When it last ran late, while that spell lasts.
    spell: Option<Nanos>,
}

impl LagMonitor {
    /// A watch that begins now.
    #[must_use]
    pub fn new(now: Nanos, cpu: Nanos, limits: &Limits) -> LagMonitor {
        let nanos = |span: std::time::Duration| span.as_nanos() as Nanos;
        LagMonitor {
            most: nanos(limits.lag.threshold),
            calm: nanos(limits.lag.recovery_time),
            again: nanos(limits.lag.cpu_check_interval),
            seen: (now, cpu),
            spell: None,
        }
    }

    /// It runs, having been due then. Returns what there is to tell: the first of each spell. The thread's clock is
    /// asked only where it is needed, since that is a system call.
    pub fn ran(&mut self, due: Nanos, now: Nanos, cpu: impl FnOnce() -> Nanos) -> Option<LagSpell> {
        let late = now.saturating_sub(due);
        let over = late > self.most;
        if !over && now.saturating_sub(self.seen.0) < self.again {
            return None;
        }
        let before = std::mem::replace(&mut self.seen, (now, cpu()));
        let fresh = self.spell.is_none_or(|last| now.saturating_sub(last) >= self.calm);
        if over {
            self.spell = Some(now);
        }
        (over && fresh).then(|| LagSpell {
            due,
            late,
            span: now.saturating_sub(before.0),
            cpu: self.seen.1.saturating_sub(before.1),
        })
    }
}
