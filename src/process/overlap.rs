//! Connection limits while two processes of this gateway run: together they open no more connections than one alone. No
//! I/O and no clock.

use std::cell::Cell;

use serde::{Deserialize, Serialize};

/// Numbers of connections, or limits of these numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectionCounts {
    /// Client connections.
    pub edge: usize,
    /// Connections to replicas.
    #[serde(rename = "servers")]
    pub replicas: usize,
}

/// What the older process reports to the newer one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectionReport {
    /// Its open connections.
    #[serde(rename = "holds")]
    pub open: ConnectionCounts,
    /// It is stopping, so that it opens no more.
    pub stopping: bool,
}

/// The other processes of this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OtherProcess {
    /// Number of newer processes.
    Newer(usize),
    /// An older process, by its last report.
    Older(ConnectionReport),
}

/// The limits of this process.
#[derive(Debug)]
pub struct Overlap {
    all: Cell<ConnectionCounts>,
    other: Cell<Option<OtherProcess>>,
}

/// The connections of each kind that a newer process may always open; descriptors are reserved for them.
const MIN_CONNECTIONS: usize = 4;

impl Overlap {
    /// Creates the limits of a single process, which may use all connections of the gateway.
    #[must_use]
    pub fn new(all: ConnectionCounts) -> Overlap {
        Overlap { all: Cell::new(all), other: Cell::new(None) }
    }

    /// Records the start of a newer process.
    pub fn newer_started(&self) {
        let others = match self.other.get() {
            Some(OtherProcess::Newer(count)) => count + 1,
            // The reports of an older process are ignored from now on, since it is about to exit.
            _ => 1,
        };
        self.other.set(Some(OtherProcess::Newer(others)));
    }

    /// Records the end of a newer process.
    pub fn newer_exited(&self) {
        if let Some(OtherProcess::Newer(count)) = self.other.get() {
            self.other.set((count > 1).then_some(OtherProcess::Newer(count - 1)));
        }
    }

    /// Records a report of the older process.
    pub fn older_reported(&self, report: ConnectionReport) {
        if !matches!(self.other.get(), Some(OtherProcess::Newer(_))) {
            self.other.set(Some(OtherProcess::Older(report)));
        }
    }

    /// Records the end of the older process.
    pub fn older_exited(&self) {
        if matches!(self.other.get(), Some(OtherProcess::Older(_))) {
            self.other.set(None);
        }
    }

    /// Lowers the limits because no descriptor was left with `open` connections. From now on `own` descriptors, at most
    /// half of those open, are reserved, and the limits divide the rest in the same ratio as before. Returns whether they
    /// became lower.
    pub fn reduce_limits(&self, open: ConnectionCounts, own: usize) -> bool {
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

    /// The share of `bytes` that this process may use.
    pub fn share(&self, bytes: usize) -> usize {
        if self.other.get().is_some() { bytes / 2 } else { bytes }
    }

    /// The connections that this process may open.
    pub fn limits(&self) -> ConnectionCounts {
        let ConnectionCounts { edge, replicas } = self.all.get();
        let half = ConnectionCounts { edge: edge / 2, replicas: replicas / 2 };
        match self.other.get() {
            None => self.all.get(),
            Some(OtherProcess::Newer(_)) => half,
            Some(OtherProcess::Older(ConnectionReport { open, stopping })) => {
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
