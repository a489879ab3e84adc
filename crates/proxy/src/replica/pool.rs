//! The pool of idle connections to replicas. A connection belongs to one incarnation of a replica.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use socket2::{SockRef, TcpKeepalive};
use tulipridge_http1::codec::Head;
use tulipridge_http1::{BufferedStream, Http1Limits};
use tulipridge_load_balancer::types::ReplicaId;

use crate::replica::connect_error::ConnectError;
use crate::replica::connection::Connection;
use crate::replica::permit::OpenConnectionCount;

/// Time after a response in which a connection is not reused: bytes that still come belong to no request.
const REUSE_DELAY: Duration = Duration::from_millis(10);
/// Idle timeout of a replica that states none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// An idle connection is closed this long before the replica would close it.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Idle connections that are pooled for one replica.
const MAX_IDLE_PER_REPLICA: usize = 32;
/// The system closes a connection whose peer has not acknowledged data for this long (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle time before the first TCP keepalive probe, and the time between further probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// A pooled connection, and when it may be used.
struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
    expires_at: Instant,
}

/// The connections to all replicas.
pub struct ConnectionPool {
    idle: RefCell<BTreeMap<ReplicaId, Vec<IdleConnection>>>,
    open: OpenConnectionCount,
    max_open: usize,
    limits: Http1Limits,
}

impl ConnectionPool {
    /// An empty pool. At most `max_open` connections are open at once, in use or idle, each within `limits`.
    #[must_use]
    pub fn new(max_open: usize, limits: Http1Limits) -> Self {
        ConnectionPool { idle: RefCell::default(), open: OpenConnectionCount::default(), max_open, limits }
    }

    /// The HTTP limits of connections to replicas.
    pub fn limits(&self) -> &Http1Limits {
        &self.limits
    }

    /// Takes an idle connection that is still usable out of the pool. The one that was used last goes first, so that
    /// surplus ones reach their idle timeout.
    pub fn check_out(&self, replica: &ReplicaId) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(replica)?;
        while let Some(index) = connections.iter().rposition(|idle| now >= idle.idle_since + REUSE_DELAY) {
            let IdleConnection { mut connection, expires_at, .. } = connections.remove(index);
            if now < expires_at && connection.stream.is_quiet() {
                connection.stream.reset_on_drop = true;
                return Some(connection);
            }
        }
        None
    }

    /// Opens a connection. Idle ones are closed if too many are open.
    ///
    /// # Errors
    /// If too many connections are in use, or the connection does not come up.
    pub async fn connect(&self, address: SocketAddr) -> Result<Connection, ConnectError> {
        while self.open.count() >= self.max_open {
            if !self.evict_oldest() {
                return Err(ConnectError::TooManyConnections { max_open: self.max_open });
            }
        }
        let permit = self.open.acquire();
        let mut stream = BufferedStream::connect(address, &self.limits).await?;
        enable_dead_peer_detection(&stream);
        stream.reset_on_drop = true;
        Ok(Connection::new(stream, permit))
    }

    /// Returns a connection after a complete response with this head. It is pooled if it may be reused, else closed.
    pub fn check_in(&self, replica: &ReplicaId, mut connection: Connection, head: &Head) {
        connection.stream.reset_on_drop = false;
        let idle_timeout = idle_timeout(head);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(replica.clone()).or_default();
        let is_reusable = connection.state_after(head).is_reusable();
        if !is_reusable || idle_timeout.is_zero() || connections.len() >= MAX_IDLE_PER_REPLICA {
            return;
        }
        connection.stream.buf = Vec::new();
        let idle_since = Instant::now();
        connections.push(IdleConnection { connection, idle_since, expires_at: idle_since + idle_timeout });
    }

    /// Closes the idle connections of all replicas but those for which `is_in_use` holds.
    pub fn retain_replicas(&self, is_in_use: impl Fn(&ReplicaId) -> bool) {
        self.idle.borrow_mut().retain(|replica, _| is_in_use(replica));
    }

    /// Closes idle connections past their idle timeout, and those that the replica has closed.
    pub fn close_expired(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| now < idle.expires_at && idle.connection.stream.is_quiet());
            !connections.is_empty()
        });
    }

    fn evict_oldest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.values_mut().filter(|connections| !connections.is_empty());
        let oldest = oldest.min_by_key(|connections| connections[0].idle_since);
        oldest.map(|connections| drop(connections.remove(0))).is_some()
    }
}

/// How long a connection may stay idle after a response with this head.
fn idle_timeout(head: &Head) -> Duration {
    let announced = head.get("keep-alive").and_then(|value| {
        let timeout = value.split(',').find_map(|field| field.trim().strip_prefix("timeout="))?;
        timeout.trim().parse().ok().map(Duration::from_secs)
    });
    announced.map_or(DEFAULT_IDLE_TIMEOUT, |time| time.saturating_sub(IDLE_MARGIN))
}

/// Has the system detect a peer that is gone without closing the connection. Where the system can't, the connection is
/// used all the same.
fn enable_dead_peer_detection(stream: &BufferedStream) {
    let descriptor = stream.fd();
    let socket = SockRef::from(&descriptor);
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
    let probes = TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    let _ = socket.set_tcp_keepalive(&probes);
}
