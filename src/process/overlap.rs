//! Connection limits while two processes of this gateway are up: together they use no more than one alone. No I/O and no
//! clock.

use std::cell::Cell;

use serde::{Deserialize, Serialize};

/// Numbers of connections, or limits of these numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectionCounts {
    /// Of clients.
    pub edge: usize,
    /// Of replicas.
    #[serde(rename = "servers")]
    pub replicas: usize,
}

/// What the older process reports to the newer one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Its open connections.
    #[serde(rename = "holds")]
    pub open: ConnectionCounts,
    /// It is stopping, so that it opens no more.
    pub stopping: bool,
}

/// The other process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Other {
    /// Number of newer processes.
    Newer(usize),
    /// An older process, by its last report.
    Older(Report),
}

/// The limits of this process.
#[derive(Debug)]
pub struct Overlap {
    all: Cell<ConnectionCounts>,
    other: Cell<Option<Other>>,
}

/// A newer process may open so many of each kind however little is left: descriptors are reserved for them.
const MIN_CONNECTIONS: usize = 4;

impl Overlap {
    /// A single process, which may use all connections of the gateway.
    #[must_use]
    pub fn new(all: ConnectionCounts) -> Overlap {
        Overlap { all: Cell::new(all), other: Cell::new(None) }
    }

    /// Records the start of a newer process.
    pub fn newer_came(&self) {
        let others = match self.other.get() {
            Some(Other::Newer(count)) => count + 1,
            // An older process is ignored from now on: it is about to end.
            _ => 1,
        };
        self.other.set(Some(Other::Newer(others)));
    }

    /// Records the end of a newer process.
    pub fn newer_left(&self) {
        if let Some(Other::Newer(count)) = self.other.get() {
            self.other.set((count > 1).then_some(Other::Newer(count - 1)));
        }
    }

    /// The older process has said what it open.
    pub fn older_reported(&self, report: Report) {
        if !matches!(self.other.get(), Some(Other::Newer(_))) {
            self.other.set(Some(Other::Older(report)));
        }
    }

    /// Records the end of the older process.
    pub fn older_left(&self) {
        if matches!(self.other.get(), Some(Other::Older(_))) {
            self.other.set(None);
        }
    }

    /// Lowers the limits because no descriptor was left with `open` connections. From now on `own` descriptors, at most
    /// half of those open, are reserved, and the limits divide the rest in the same ratio as before. Returns whether they
    /// became lower.
    pub fn ran_out(&self, open: ConnectionCounts, own: usize) -> bool {
        let all = open.edge + open.replicas;
        let left = all - own.min(all / 2);
        let all = self.all.get();
        let sum = (all.edge + all.replicas).max(1);
        let fewer = ConnectionCounts {
            edge: (left * all.edge / sum).max(MIN_CONNECTIONS).min(all.edge),
            replicas: (left * all.replicas / sum).max(MIN_CONNECTIONS).min(all.replicas),
        };
        self.all.replace(fewer) != fewer
    }

    /// The part of `bytes` that this process may use.
    pub fn part(&self, bytes: usize) -> usize {
        if self.other.get().is_some() { bytes / 2 } else { bytes }
    }

    /// The connections that this process may open.
    pub fn limits(&self) -> ConnectionCounts {
        let ConnectionCounts { edge, replicas } = self.all.get();
        let half = ConnectionCounts { edge: edge / 2, replicas: replicas / 2 };
        match self.other.get() {
            None => self.all.get(),
            Some(Other::Newer(_)) => half,
            Some(Other::Older(Report { open, stopping })) => {
                // An older process that still accepts may reach its half before its next report.
                let left = |limit: usize, open: usize, half: usize| {
                    limit.saturating_sub(if stopping { open } else { open.max(half) }).max(MIN_CONNECTIONS)
                };
                ConnectionCounts {
                    edge: left(edge, open.edge, half.edge),
                    replicas: left(replicas, open.replicas, half.replicas),
                }
            }
        }
    }
}
