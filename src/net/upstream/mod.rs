//! Replicas: where they are, the pool of connections to each, and attempts on these.

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
use crate::names::{ServiceEntry, State};
use crate::process::overlap::{ConnectionCounts, Overlap};
use crate::types::ReplicaId;

/// A replica as the list has it, with the connections to it that are idle.
struct ListedReplica {
    addr: Option<SocketAddr>,
    is_ready: bool,
    dialect: Dialect,
    started: f64,
    idle: Vec<IdleConnection>,
}

/// A connection that waits for its next request.
struct IdleConnection {
    connection: Connection,
    since: Instant,
}

/// Where a replica that takes requests is reached, and how it is spoken to.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Endpoint {
    addr: SocketAddr,
    dialect: Dialect,
}

/// Reads a load report, in the order of the settings.
pub type LoadReportReader = Box<dyn Fn(&str) -> Vec<f64>>;

/// All replicas that the list names, with the connections to them.
pub struct Fleet {
    replicas: RefCell<BTreeMap<ReplicaId, ListedReplica>>,
    open: Rc<Cell<usize>>,
    /// The dialects that are spoken, until the list changes.
    dialects: Cell<Option<ReplicaDialects>>,
    limits: Rc<Limits>,
    /// What of the limits on connections is this process's.
    pub overlap: Overlap,
    read_load: LoadReportReader,
}

impl Fleet {
    /// An empty fleet; `read_load` reads a load report.
    #[must_use]
    pub fn new(limits: Rc<Limits>, read_load: LoadReportReader) -> Fleet {
        let all = ConnectionCounts { edge: limits.edge.connections, replicas: limits.replicas.connections };
        Fleet {
            replicas: RefCell::default(),
            open: Rc::default(),
            dialects: Cell::new(None),
            limits,
            overlap: Overlap::new(all),
            read_load,
        }
    }

    /// Brings the replicas in step with a service entry. Returns those that are gone by what it says: itself, or
    /// another whose address it has.
    pub fn learn(&self, entry: &ServiceEntry, dialect: Dialect) -> Vec<ReplicaId> {
        self.dialects.set(None);
        let mut replicas = self.replicas.borrow_mut();
        let id = ReplicaId::from(entry.id.as_str());
        let addr = entry.addr.parse().ok();
        // Guards against the old id of an address under which a new replica runs: what is sent to the one
        // would reach the other, cold and unknown as that is. The later start is right.
        let rivals = replicas
            .iter()
            .filter(|(other, listed)| **other != id && listed.addr == addr && addr.is_some());
        let rivals: Vec<_> = rivals.map(|(other, listed)| (other.clone(), listed.started)).collect();
        if entry.state == State::Gone || rivals.iter().any(|(_, started)| *started > entry.started_ms) {
            replicas.remove(&id);
            return vec![id];
        }
        let older = rivals.into_iter().filter(|(_, started)| *started < entry.started_ms);
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
            // These lead to a process that is no more.
            replica.idle.clear();
        }
        (replica.addr, replica.dialect, replica.started) = (addr, dialect, entry.started_ms);
        replica.is_ready = entry.state == State::Ready;
        displaced
    }

    /// Forgets all replicas but these.
    pub fn keep_only(&self, ids: &[ReplicaId]) {
        self.dialects.set(None);
        self.replicas.borrow_mut().retain(|id, _| ids.contains(id));
    }

    /// Whether any replica takes requests.
    pub fn any_ready(&self) -> bool {
        self.replicas.borrow().values().any(|listed| listed.is_ready)
    }

    /// The dialects that ready replicas speak.
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

    /// Closes connections that were idle for long or that the other side has closed, for ever.
    pub async fn sweep(&self) {
        loop {
            Timer::after(self.limits.replicas.sweep_interval).await;
            for replica in self.replicas.borrow_mut().values_mut() {
                replica.idle.retain(|idle| {
                    idle.since.elapsed() < self.limits.replicas.idle_timeout
                        && idle.connection.wire.is_quiet()
                });
            }
            // Where another process has come, its part is given up as far as it lies idle.
            while self.open.get() > self.overlap.limits().replicas && self.drop_idle() {}
        }
    }

    /// An idle connection that is still good, the one used last first: the others may then grow old. One whose
    /// response has only just ended is passed over: what may come behind that would be taken for the next one's.
    fn idle(&self, replica: &ReplicaId) -> Option<Connection> {
        let mut replicas = self.replicas.borrow_mut();
        let idle = &mut replicas.get_mut(replica)?.idle;
        while let Some(last) =
            idle.iter().rposition(|idle| idle.since.elapsed() >= self.limits.replicas.reuse_delay)
        {
            let IdleConnection { connection, since } = idle.remove(last);
            // Guards against a request written into a connection that has ended or is about to.
            if since.elapsed() < self.limits.replicas.idle_timeout && connection.wire.is_quiet() {
                return Some(connection);
            }
        }
        None
    }

    fn give_back(&self, replica: &ReplicaId, addr: SocketAddr, connection: Connection) {
        let mut replicas = self.replicas.borrow_mut();
        if let Some(listed) = replicas.get_mut(replica).filter(|listed| listed.addr == Some(addr))
            && connection.wire.is_quiet()
        {
            listed.idle.push(IdleConnection { connection, since: Instant::now() });
        }
    }

    /// Connections to replicas that are open.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Closes the connection that has been idle longest, if there is one.
    fn drop_idle(&self) -> bool {
        let mut replicas = self.replicas.borrow_mut();
        let oldest =
            replicas.values_mut().filter(|p| !p.idle.is_empty()).min_by_key(|listed| listed.idle[0].since);
        oldest.map(|replica| drop(replica.idle.remove(0))).is_some()
    }

    /// A connection to a replica: an idle one, else a new one.
    async fn connection(&self, replica: &ReplicaId, addr: SocketAddr) -> io::Result<Connection> {
        match self.idle(replica) {
            Some(connection) => Ok(connection),
            None => self.connect(addr).await,
        }
    }

    async fn connect(&self, addr: SocketAddr) -> io::Result<Connection> {
        // Guards against running out of descriptors.
        while self.open.get() >= self.overlap.limits().replicas {
            if !self.drop_idle() {
                return Err(io::ErrorKind::QuotaExceeded.into());
            }
        }
        let _count = ConnectionCount::new(&self.open);
        Ok(Connection { wire: BufferedStream::connect(addr, &self.limits.wire).await?, _count })
    }

    /// Where a replica is reached; none if it takes no requests.
    fn endpoint(&self, replica: &ReplicaId) -> Option<Endpoint> {
        let replicas = self.replicas.borrow();
        let listed = replicas.get(replica).filter(|listed| listed.is_ready)?;
        Some(Endpoint { addr: listed.addr?, dialect: listed.dialect })
    }
}
