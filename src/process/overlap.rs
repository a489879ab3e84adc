//! What one of two processes of this gateway may hold while both are up: together no more than one alone. No I/O and
//! no clock.

use std::cell::Cell;

use serde::{Deserialize, Serialize};

/// Connections: clients' and real servers'.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Places {
    /// Clients'.
    pub edge: usize,
    /// Real servers'.
    pub servers: usize,
}

/// What the older process tells the newer one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// What it holds.
    pub holds: Places,
    /// It stops, so that it holds ever less.
    pub stopping: bool,
}

/// The other process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Other {
    /// There are so many newer ones.
    Newer(usize),
    /// An older one, by its last report.
    Older(Report),
}

/// The share of this process.
#[derive(Debug)]
pub struct Overlap {
    whole: Cell<Places>,
    other: Cell<Option<Other>>,
}

/// A newcomer has so many places of each kind however little is left: its own descriptors are kept back amply.
const LEAST: usize = 4;

impl Overlap {
    /// Alone, with all that the gateway may hold.
    #[must_use]
    pub fn new(whole: Places) -> Overlap {
        Overlap { whole: Cell::new(whole), other: Cell::new(None) }
    }

    /// A newer process has come.
    pub fn newer_came(&self) {
        let others = match self.other.get() {
            Some(Other::Newer(count)) => count + 1,
            // What the older one leaves is reckoned with no longer: it is about to end.
            _ => 1,
        };
        self.other.set(Some(Other::Newer(others)));
    }

    /// A newer process has gone.
    pub fn newer_left(&self) {
        if let Some(Other::Newer(count)) = self.other.get() {
            self.other.set((count > 1).then_some(Other::Newer(count - 1)));
        }
    }

    /// The older process has said what it holds.
    pub fn older_said(&self, report: Report) {
        if !matches!(self.other.get(), Some(Other::Newer(_))) {
            self.other.set(Some(Other::Older(report)));
        }
    }

    /// The older process is gone.
    pub fn older_left(&self) {
        if matches!(self.other.get(), Some(Other::Older(_))) {
            self.other.set(None);
        }
    }

    /// No descriptor was left with so many connections open: there are fewer than was said. From now on `own` of those
    /// that there are, half of them at the most, are kept back, and the places share the rest as they did before; they
    /// never become more. Returns whether they became fewer.
    pub fn ran_out(&self, open: Places, own: usize) -> bool {
        let all = open.edge + open.servers;
        let left = all - own.min(all / 2);
        let whole = self.whole.get();
        let sum = (whole.edge + whole.servers).max(1);
        let fewer = Places {
            edge: (left * whole.edge / sum).max(LEAST).min(whole.edge),
            servers: (left * whole.servers / sum).max(LEAST).min(whole.servers),
        };
        self.whole.replace(fewer) != fewer
    }

    /// What of so many bytes is this process's.
    pub fn part(&self, bytes: usize) -> usize {
        if self.other.get().is_some() { bytes / 2 } else { bytes }
    }

    /// Connections that this process may hold.
    pub fn places(&self) -> Places {
        let Places { edge, servers } = self.whole.get();
        let half = Places { edge: edge / 2, servers: servers / 2 };
        match self.other.get() {
            None => self.whole.get(),
            Some(Other::Newer(_)) => half,
            Some(Other::Older(Report { holds, stopping })) => {
                // One that still accepts may come up to its half before it says so.
                let left = |whole: usize, holds: usize, half: usize| {
                    whole.saturating_sub(if stopping { holds } else { holds.max(half) }).max(LEAST)
                };
                Places {
                    edge: left(edge, holds.edge, half.edge),
                    servers: left(servers, holds.servers, half.servers),
                }
            }
        }
    }
}
