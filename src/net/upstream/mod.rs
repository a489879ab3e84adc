//! Replicas: their addresses, the pool of connections to each, and the attempts on these connections.

mod attempt;
mod batch;
mod connection;
mod open_response;
mod probe;
mod response_head;
mod running;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use async_io::Timer;

pub use self::batch::Batch;
use self::connection::{Connection, ConnectionCount};
pub use self::running::{Dispatch, Running};
use super::{BufferedStream, within};
use crate::front::{Dialect, ReplicaDialects};
use crate::limits::Limits;
use crate::names::{ReplicaState, ServiceEntry};
use crate::process::overlap::{ConnectionCounts, ProcessLimits};
use crate::types::ReplicaId;

/// A replica in the replica list, with its idle connections.
struct ListedReplica {
    addr: Option<SocketAddr>,
    is_ready: bool,
    dialect: Dialect,
    started: f64,
    idle: Vec<IdleConnection>,
}

/// An idle connection in the pool.
struct IdleConnection {
    connection: Connection,
    since: Instant,
}

/// The address and the dialect of a ready replica.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Endpoint {
    addr: SocketAddr,
    dialect: Dialect,
}

/// Parses a load report; returns its values in the order of the settings.
pub type LoadReportReader = Box<dyn Fn(&str) -> Vec<f64>>;

/// All replicas in the list, with the connections to them.
pub struct Fleet {
    replicas: RefCell<BTreeMap<ReplicaId, ListedReplica>>,
    open: Rc<Cell<usize>>,
    /// The cached dialects of the ready replicas; cleared when the list changes.
    dialects: Cell<Option<ReplicaDialects>>,
    limits: Rc<Limits>,
    /// This process's share of the connection limits.
    pub process_limits: ProcessLimits,
    read_load: LoadReportReader,
}

impl Fleet {
    /// Creates an empty fleet; `read_load` parses load reports.
    #[must_use]
    pub fn new(limits: Rc<Limits>, read_load: LoadReportReader) -> Fleet {
        let all = ConnectionCounts { edge: limits.edge.connections, replicas: limits.replicas.connections };
        Fleet {
            replicas: RefCell::default(),
            open: Rc::default(),
            dialects: Cell::new(None),
            limits,
            process_limits: ProcessLimits::new(all),
            read_load,
        }
    }

    /// Applies a service entry. Returns the replicas that it removes: its own, or others that have its address.
    pub fn apply_entry(&self, entry: &ServiceEntry, dialect: Dialect) -> Vec<ReplicaId> {
        self.dialects.set(None);
        let mut replicas = self.replicas.borrow_mut();
        let id = ReplicaId::from(entry.id.as_str());
        let addr = entry.addr.parse().ok();
        // If two ids have one address, the one that started later is valid. Requests for the older id would reach the
        // new replica, which has a cold cache and is unknown to the load balancer under that id.
        let same_address = replicas
            .iter()
            .filter(|(other, listed)| **other != id && listed.addr == addr && addr.is_some());
        let same_address: Vec<_> =
            same_address.map(|(other, listed)| (other.clone(), listed.started)).collect();
        if entry.state == ReplicaState::Gone
            || same_address.iter().any(|(_, started)| *started > entry.started_ms)
        {
            replicas.remove(&id);
            return vec![id];
        }
        let older = same_address.into_iter().filter(|(_, started)| *started < entry.started_ms);
        let displaced: Vec<ReplicaId> = older.map(|(other, _)| other).collect();
        displaced.iter().for_each(|other| drop(replicas.remove(other)));
        let replica = replicas.entry(id).or_insert_with(|| ListedReplica {
            addr,
            is_ready: false,
            dialect,
            started: entry.started_ms,
            idle: Vec::new(),
        });
        if replica.addr != addr || replica.started != entry.started_ms {
            // These connections lead to a process that no longer runs.
            replica.idle.clear();
        }
        (replica.addr, replica.dialect, replica.started) = (addr, dialect, entry.started_ms);
        replica.is_ready = entry.state == ReplicaState::Ready;
        displaced
    }

    /// Removes all replicas except these.
    pub fn retain_only(&self, ids: &[ReplicaId]) {
        self.dialects.set(None);
        self.replicas.borrow_mut().retain(|id, _| ids.contains(id));
    }

    /// Whether any replica is ready.
    pub fn any_ready(&self) -> bool {
        self.replicas.borrow().values().any(|listed| listed.is_ready)
    }

    /// The dialects of the ready replicas.
    pub fn dialects(&self) -> ReplicaDialects {
        if let Some(dialects) = self.dialects.get() {
            return dialects;
        }
        let mut dialects = ReplicaDialects::default();
        for replica in self.replicas.borrow().values().filter(|listed| listed.is_ready) {
            match replica.dialect {
                Dialect::Platform => dialects.platform = true,
                Dialect::Messages => dialects.messages = true,
            }
        }
        self.dialects.set(Some(dialects));
        dialects
    }

    /// Runs for the life of the process and closes connections that exceeded the idle timeout or that the replica closed.
    pub async fn sweep(&self) {
        loop {
            Timer::after(self.limits.replicas.sweep_interval).await;
            for replica in self.replicas.borrow_mut().values_mut() {
                replica.idle.retain(|idle| {
                    idle.since.elapsed() < self.limits.replicas.idle_timeout
                        && idle.connection.wire.is_idle()
                });
            }
            // Another process of the gateway may have started; idle connections beyond the lower limit are closed.
            while self.open.get() > self.process_limits.limits().replicas && self.close_oldest_idle() {}
        }
    }

    /// Takes a usable idle connection, the most recently used one first, so that the others can reach the idle timeout.
    /// A connection whose response has only just ended is skipped: data that the replica sends after that response would
    /// be read as the next one.
    fn take_idle(&self, replica: &ReplicaId) -> Option<Connection> {
        let mut replicas = self.replicas.borrow_mut();
        let idle = &mut replicas.get_mut(replica)?.idle;
        while let Some(last) =
            idle.iter().rposition(|idle| idle.since.elapsed() >= self.limits.replicas.reuse_delay)
        {
            let IdleConnection { connection, since } = idle.remove(last);
            // The replica may have closed the connection, or be about to close it for idleness.
            if since.elapsed() < self.limits.replicas.idle_timeout && connection.wire.is_idle() {
                return Some(connection);
            }
        }
        None
    }

    fn give_back(&self, replica: &ReplicaId, addr: SocketAddr, connection: Connection) {
        let mut replicas = self.replicas.borrow_mut();
        if let Some(listed) = replicas.get_mut(replica).filter(|listed| listed.addr == Some(addr))
            && connection.wire.is_idle()
        {
            listed.idle.push(IdleConnection { connection, since: Instant::now() });
        }
    }

    /// The number of open connections to replicas.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Closes the connection that has been idle longest; returns whether there was one.
    fn close_oldest_idle(&self) -> bool {
        let mut replicas = self.replicas.borrow_mut();
        let oldest =
            replicas.values_mut().filter(|p| !p.idle.is_empty()).min_by_key(|listed| listed.idle[0].since);
        oldest.map(|replica| drop(replica.idle.remove(0))).is_some()
    }

    /// Returns a connection to a replica, an idle one if possible.
    async fn connection(&self, replica: &ReplicaId, addr: SocketAddr) -> io::Result<Connection> {
        match self.take_idle(replica) {
            Some(connection) => Ok(connection),
            None => self.connect(addr).await,
        }
    }

    async fn connect(&self, addr: SocketAddr) -> io::Result<Connection> {
        // The limit keeps the process from running out of descriptors.
        while self.open.get() >= self.process_limits.limits().replicas {
            if !self.close_oldest_idle() {
                return Err(io::ErrorKind::QuotaExceeded.into());
            }
        }
        let _count = ConnectionCount::new(&self.open);
        Ok(Connection { wire: BufferedStream::connect(addr, &self.limits.wire).await?, _count })
    }

    /// The endpoint of a replica; `None` if it is not ready.
    fn endpoint(&self, replica: &ReplicaId) -> Option<Endpoint> {
        let replicas = self.replicas.borrow();
        let listed = replicas.get(replica).filter(|listed| listed.is_ready)?;
        Some(Endpoint { addr: listed.addr?, dialect: listed.dialect })
    }
}
