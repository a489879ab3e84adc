//! Connections to replicas. One belongs to an incarnation of a replica and is closed with it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use socket2::{SockRef, TcpKeepalive};
use tulipridge_http1::codec::Head;
use tulipridge_http1::{BufferedStream, Http1Limits};
use tulipridge_load_balancer::types::ReplicaId;

use crate::replica::connection::Connection;

/// Time after an answer in which a connection is not used again: bytes that still come belong to no request.
const SETTLE: Duration = Duration::from_millis(10);
/// Longest idle time where the replica states none.
const IDLE_UNSTATED: Duration = Duration::from_secs(20);
/// A connection is given up so long before the replica closes it.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Idle connections that are kept for one replica.
const IDLE_PER_REPLICA: usize = 32;
/// Data that a peer has not acknowledged for this long ends its connection.
const UNACKNOWLEDGED: Duration = Duration::from_secs(3);
/// Silence after which a peer is asked whether it is still there, and the time between further questions.
const PROBE_AFTER: Duration = Duration::from_secs(2);

/// A place in the count of open connections.
pub struct Slot(Rc<Cell<usize>>);

impl Slot {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Slot(open.clone())
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

struct Idle {
    connection: Connection,
    since: Instant,
    until: Instant,
}

/// The connections to all replicas.
pub struct Pool {
    idle: RefCell<BTreeMap<ReplicaId, Vec<Idle>>>,
    open: Rc<Cell<usize>>,
    most_open: usize,
    limits: Http1Limits,
}

impl Pool {
    /// Holds up to so many connections, each within the limits.
    #[must_use]
    pub fn new(most_open: usize, limits: Http1Limits) -> Self {
        Pool { idle: RefCell::default(), open: Rc::default(), most_open, limits }
    }

    /// The limits that connections to replicas keep to.
    pub fn limits(&self) -> &Http1Limits {
        &self.limits
    }

    /// An idle connection that is still good, the one used last first: the others may then grow old.
    pub fn take(&self, replica: &ReplicaId) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(replica)?;
        while let Some(settled) = connections.iter().rposition(|idle| now >= idle.since + SETTLE) {
            let Idle { mut connection, until, .. } = connections.remove(settled);
            if now < until && connection.wire.is_quiet() {
                connection.wire.reset_on_drop = true;
                return Some(connection);
            }
        }
        None
    }

    /// Makes a new connection.
    pub async fn connect(&self, address: SocketAddr) -> io::Result<Connection> {
        while self.open.get() >= self.most_open {
            if !self.close_oldest() {
                return Err(io::ErrorKind::QuotaExceeded.into());
            }
        }
        let slot = Slot::new(&self.open);
        let mut wire = BufferedStream::connect(address, &self.limits).await?;
        watch_peer(&wire);
        wire.reset_on_drop = true;
        Ok(Connection::new(wire, slot))
    }

    /// Takes back a connection after an answer with this head that has come whole.
    pub fn give_back(&self, replica: &ReplicaId, mut connection: Connection, head: &Head) {
        connection.wire.reset_on_drop = false;
        let idle_time = idle_time(head);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(replica.clone()).or_default();
        let is_reusable = connection.state_after(head).is_reusable();
        if !is_reusable || idle_time.is_zero() || connections.len() >= IDLE_PER_REPLICA {
            return;
        }
        connection.wire.buf = Vec::new();
        let since = Instant::now();
        connections.push(Idle { connection, since, until: since + idle_time });
    }

    /// Closes the idle connections of replicas that may not be sent requests any more.
    pub fn keep_only(&self, is_in_use: impl Fn(&ReplicaId) -> bool) {
        self.idle.borrow_mut().retain(|replica, _| is_in_use(replica));
    }

    /// Closes idle connections that have grown old or that the replica has closed.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| now < idle.until && idle.connection.wire.is_quiet());
            !connections.is_empty()
        });
    }

    fn close_oldest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.values_mut().filter(|connections| !connections.is_empty());
        let oldest = oldest.min_by_key(|connections| connections[0].since);
        oldest.map(|connections| drop(connections.remove(0))).is_some()
    }
}

/// How long a connection may lie idle after this answer.
fn idle_time(head: &Head) -> Duration {
    let stated = head.get("keep-alive").and_then(|value| {
        let timeout = value.split(',').find_map(|field| field.trim().strip_prefix("timeout="))?;
        timeout.trim().parse().ok().map(Duration::from_secs)
    });
    stated.map_or(IDLE_UNSTATED, |time| time.saturating_sub(IDLE_MARGIN))
}

/// Has the system notice a peer that is gone without a word. A system that does not heed it is no reason to do
/// without the connection.
fn watch_peer(wire: &BufferedStream) {
    let descriptor = wire.fd();
    let socket = SockRef::from(&descriptor);
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED));
    let probes = TcpKeepalive::new().with_time(PROBE_AFTER).with_interval(PROBE_AFTER);
    let _ = socket.set_tcp_keepalive(&probes);
}
