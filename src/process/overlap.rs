//! Connection limits while several processes of this gateway run: together they open about as many connections as one
//! alone. No I/O and no clock.

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

/// A report of the older process to the newer one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectionReport {
    /// The open connections of the older process.
    #[serde(rename = "holds")]
    pub open: ConnectionCounts,
    /// The process is stopping and opens no more connections.
    pub stopping: bool,
}

/// What is known of the other processes of this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OtherProcesses {
    /// Number of newer processes.
    Newer(usize),
    /// An older process, with its last report.
    Older(ConnectionReport),
}

/// Divides the connection limits of the gateway between its processes.
#[derive(Debug)]
pub struct ProcessLimits {
    gateway_limits: Cell<ConnectionCounts>,
    other: Cell<Option<OtherProcesses>>,
}

/// Minimum of each limit in `ConnectionCounts`, both for a newer process and after a reduction; descriptors are reserved
/// for this many connections.
const MIN_CONNECTIONS: usize = 4;

impl ProcessLimits {
    /// Creates the limits of a single process, which may use all connections of the gateway.
    #[must_use]
    pub fn new(gateway_limits: ConnectionCounts) -> ProcessLimits {
        ProcessLimits { gateway_limits: Cell::new(gateway_limits), other: Cell::new(None) }
    }

    /// Records the start of a newer process.
    pub fn newer_started(&self) {
        let others = match self.other.get() {
            Some(OtherProcesses::Newer(count)) => count + 1,
            // The reports of an older process are ignored from now on, since it is about to exit.
            _ => 1,
        };
        self.other.set(Some(OtherProcesses::Newer(others)));
    }

    /// Records the end of a newer process.
    pub fn newer_exited(&self) {
        if let Some(OtherProcesses::Newer(count)) = self.other.get() {
            self.other.set((count > 1).then_some(OtherProcesses::Newer(count - 1)));
        }
    }

    /// Records a report of the older process.
    pub fn older_reported(&self, report: ConnectionReport) {
        if !matches!(self.other.get(), Some(OtherProcesses::Newer(_))) {
            self.other.set(Some(OtherProcesses::Older(report)));
        }
    }

    /// Records the end of the older process.
    pub fn older_exited(&self) {
        if matches!(self.other.get(), Some(OtherProcesses::Older(_))) {
            self.other.set(None);
        }
    }

    /// Lowers the limits after the process has run out of descriptors; `open` are its open connections at that time.
    /// Reserves `reserved` descriptors, at most half of the open ones, for other uses, and divides the rest in the ratio
    /// of the present limits. Returns whether the limits became lower.
    pub fn reduce_limits(&self, open: ConnectionCounts, reserved: usize) -> bool {
        let open_count = open.edge + open.replicas;
        let remaining = open_count - reserved.min(open_count / 2);
        let limits = self.gateway_limits.get();
        let sum = (limits.edge + limits.replicas).max(1);
        let reduced = ConnectionCounts {
            edge: (remaining * limits.edge / sum).max(MIN_CONNECTIONS).min(limits.edge),
            replicas: (remaining * limits.replicas / sum).max(MIN_CONNECTIONS).min(limits.replicas),
        };
        self.gateway_limits.replace(reduced) != reduced
    }

    /// The part of a memory limit of the gateway, in bytes, that this process may use.
    pub fn memory_share(&self, bytes: usize) -> usize {
        if self.other.get().is_some() { bytes / 2 } else { bytes }
    }

    /// The connections that this process may open.
    pub fn limits(&self) -> ConnectionCounts {
        let ConnectionCounts { edge, replicas } = self.gateway_limits.get();
        let half = ConnectionCounts { edge: edge / 2, replicas: replicas / 2 };
        match self.other.get() {
            None => self.gateway_limits.get(),
            Some(OtherProcesses::Newer(_)) => half,
            Some(OtherProcesses::Older(ConnectionReport { open, stopping })) => {
                // An older process that still accepts may reach its half before its next report.
                let remaining_limit = |limit: usize, open: usize, half: usize| {
                    limit.saturating_sub(if stopping { open } else { open.max(half) }).max(MIN_CONNECTIONS)
                };
                ConnectionCounts {
                    edge: remaining_limit(edge, open.edge, half.edge),
                    replicas: remaining_limit(replicas, open.replicas, half.replicas),
                }
            }
        }
    }
}
