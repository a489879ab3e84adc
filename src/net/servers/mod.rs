//! Real servers: where they are, the pool of connections to each, and schedulings on these.

mod attempt;
mod batch;
mod connection;
mod open_answer;
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
use crate::front::{Dialect, ServerDialects};
use crate::limits::Limits;
use crate::names::{ServiceEntry, State};
use crate::process::overlap::{Overlap, Places};
use crate::types::ReplicaId;

/// A real server as the list has it.
struct Place {
    addr: Option<SocketAddr>,
    ready: bool,
    dialect: Dialect,
    started: f64,
    idle: Vec<(BufferedStream, Instant, ConnectionCount)>,
}

/// Reads a load report, in the order of the settings.
pub type Gauges = Box<dyn Fn(&str) -> Vec<f64>>;

/// All real servers that the list names, with the connections to them.
pub struct Fleet {
    places: RefCell<BTreeMap<ReplicaId, Place>>,
    open: Rc<Cell<usize>>,
    /// The dialects that are spoken, until the list changes.
    dialects: Cell<Option<ServerDialects>>,
    limits: Rc<Limits>,
    /// What of the limits on connections is this process's.
    pub overlap: Overlap,
    gauges: Gauges,
}

impl Fleet {
    /// An empty fleet; `gauges` reads a load report.
    #[must_use]
    pub fn new(limits: Rc<Limits>, gauges: Gauges) -> Fleet {
        let whole = Places { edge: limits.edge_connections, servers: limits.server_connections };
        Fleet {
            places: RefCell::default(),
            open: Rc::default(),
            dialects: Cell::new(None),
            limits,
            overlap: Overlap::new(whole),
            gauges,
        }
    }

    /// Brings the places in step with a service entry. Returns those that are gone by what it says: itself, or
    /// another whose address it has.
    pub fn learn(&self, entry: &ServiceEntry, dialect: Dialect) -> Vec<ReplicaId> {
        self.dialects.set(None);
        let mut places = self.places.borrow_mut();
        let id = ReplicaId::from(entry.id.as_str());
        let addr = entry.addr.parse().ok();
        // Guards against the old id of an address under which a new real server runs: what is sent to the one
        // would reach the other, cold and unknown as that is. The later start is right.
        let rivals = places.iter().filter(|(other, p)| **other != id && p.addr == addr && addr.is_some());
        let rivals: Vec<_> = rivals.map(|(other, p)| (other.clone(), p.started)).collect();
        if entry.state == State::Gone || rivals.iter().any(|(_, started)| *started > entry.started_ms) {
            places.remove(&id);
            return vec![id];
        }
        let older = rivals.into_iter().filter(|(_, started)| *started < entry.started_ms);
        let displaced: Vec<ReplicaId> = older.map(|(other, _)| other).collect();
        displaced.iter().for_each(|other| drop(places.remove(other)));
        let place = places.entry(id).or_insert_with(|| Place {
            addr,
            ready: false,
            dialect,
            started: entry.started_ms,
            idle: Vec::new(),
        });
        if place.addr != addr || place.started != entry.started_ms {
            // These lead to a process that is no more.
            place.idle.clear();
        }
        (place.addr, place.dialect, place.started) = (addr, dialect, entry.started_ms);
        place.ready = entry.state == State::Ready;
        displaced
    }

    /// Forgets all places but these.
    pub fn keep_only(&self, ids: &[ReplicaId]) {
        self.dialects.set(None);
        self.places.borrow_mut().retain(|id, _| ids.contains(id));
    }

    /// Whether any real server takes requests.
    pub fn any_ready(&self) -> bool {
        self.places.borrow().values().any(|p| p.ready)
    }

    /// The dialects that ready real servers speak.
    pub fn dialects(&self) -> ServerDialects {
        if let Some(dialects) = self.dialects.get() {
            return dialects;
        }
        let mut dialects = ServerDialects::default();
        for place in self.places.borrow().values().filter(|p| p.ready) {
            match place.dialect {
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
            Timer::after(self.limits.pool_sweep).await;
            for place in self.places.borrow_mut().values_mut() {
                place
                    .idle
                    .retain(|(wire, since, _)| since.elapsed() < self.limits.pool_idle && wire.is_quiet());
            }
            // Where another process has come, its part is given up as far as it lies idle.
            while self.open.get() > self.overlap.places().servers && self.drop_idle() {}
        }
    }

    /// An idle connection that is still good, the one used last first: the others may then grow old. One whose
    /// answer has only just ended is passed over: what may come behind that would be taken for the next one's.
    fn idle(&self, server: &ReplicaId) -> Option<Connection> {
        let mut places = self.places.borrow_mut();
        let idle = &mut places.get_mut(server)?.idle;
        while let Some(last) =
            idle.iter().rposition(|(_, since, _)| since.elapsed() >= self.limits.pool_settle)
        {
            let (wire, since, slot) = idle.remove(last);
            // Guards against a request written into a connection that has ended or is about to.
            if since.elapsed() < self.limits.pool_idle && wire.is_quiet() {
                return Some(Connection { wire, slot });
            }
        }
        None
    }

    fn give_back(&self, server: &ReplicaId, addr: SocketAddr, connection: Connection) {
        let mut places = self.places.borrow_mut();
        if let Some(place) = places.get_mut(server).filter(|p| p.addr == Some(addr))
            && connection.wire.is_quiet()
        {
            place.idle.push((connection.wire, Instant::now(), connection.slot));
        }
    }

    /// Connections to real servers that are open.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Closes the connection that has been idle longest, if there is one.
    fn drop_idle(&self) -> bool {
        let mut places = self.places.borrow_mut();
        let oldest = places.values_mut().filter(|p| !p.idle.is_empty()).min_by_key(|p| p.idle[0].1);
        oldest.map(|place| drop(place.idle.remove(0))).is_some()
    }

    /// A connection to a real server: an idle one, else a new one.
    async fn connection(&self, server: &ReplicaId, addr: SocketAddr) -> io::Result<Connection> {
        match self.idle(server) {
            Some(connection) => Ok(connection),
            None => self.connect(addr).await,
        }
    }

    async fn connect(&self, addr: SocketAddr) -> io::Result<Connection> {
        // Guards against running out of descriptors.
        while self.open.get() >= self.overlap.places().servers {
            if !self.drop_idle() {
                return Err(io::ErrorKind::QuotaExceeded.into());
            }
        }
        let slot = ConnectionCount::new(&self.open);
        Ok(Connection { wire: BufferedStream::connect(addr, &self.limits.wire).await?, slot })
    }

    fn place(&self, server: &ReplicaId) -> Option<(SocketAddr, Dialect)> {
        let places = self.places.borrow();
        let place = places.get(server).filter(|p| p.ready)?;
        Some((place.addr?, place.dialect))
    }
}
