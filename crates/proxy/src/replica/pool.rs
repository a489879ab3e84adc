//! The pool of connections to replicas. A pooled connection belongs to one incarnation of a replica.

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

/// Time after a response before its connection is reused. Bytes that arrive in this time belong to no request, and the
/// connection is then closed.
const REUSE_DELAY: Duration = Duration::from_millis(10);
/// Idle timeout of connections to a replica that announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// An idle connection is closed this long before the replica would close it, so that no request is sent on a connection
/// that the replica is closing.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Maximum number of idle connections to one replica.
const MAX_IDLE_PER_REPLICA: usize = 32;
/// The system closes a connection whose peer has not acknowledged data for this long (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle time before the first TCP keepalive probe, and between further probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// A pooled connection, and the period in which it may be reused.
struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
    expires_at: Instant,
}

/// The idle connections to all replicas, and the count of open ones.
pub struct ConnectionPool {
    idle: RefCell<BTreeMap<ReplicaId, Vec<IdleConnection>>>,
    open: OpenConnectionCount,
    max_open: usize,
    limits: Http1Limits,
}

impl ConnectionPool {
    /// An empty pool. At most `max_open` connections are open at once, in use or idle. `limits` apply to each of them.
    #[must_use]
    pub fn new(max_open: usize, limits: Http1Limits) -> Self {
        ConnectionPool { idle: RefCell::default(), open: OpenConnectionCount::default(), max_open, limits }
    }

    /// The HTTP limits of connections to replicas.
    pub fn limits(&self) -> &Http1Limits {
        &self.limits
    }

    /// Takes a usable idle connection out of the pool. The most recently used connection is preferred, so that surplus
    /// connections reach their idle timeout.
    pub fn check_out(&self, replica: &ReplicaId) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(replica)?;
        while let Some(index) = connections.iter().rposition(|idle| now >= idle.idle_since + REUSE_DELAY) {
            let IdleConnection { mut connection, expires_at, .. } = connections.remove(index);
            if now < expires_at && connection.stream.is_idle() {
                connection.stream.reset_on_drop = true;
                return Some(connection);
            }
        }
        None
    }

    /// Opens a connection. If the limit of open connections is reached, the oldest idle connection is closed first.
    ///
    /// # Errors
    /// If all open connections are in use, or the connection can't be established.
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

    /// Returns a connection after a complete response with this head. Pools it if it may be reused, and closes it
    /// otherwise.
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

    /// Closes the idle connections to all replicas except those for which `is_in_use` returns true.
    pub fn retain_replicas(&self, is_in_use: impl Fn(&ReplicaId) -> bool) {
        self.idle.borrow_mut().retain(|replica, _| is_in_use(replica));
    }

    /// Closes idle connections that are past their idle timeout, that the replica has closed, or that have received
    /// bytes.
    pub fn close_expired(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| now < idle.expires_at && idle.connection.stream.is_idle());
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

/// The idle timeout of a connection after a response with this head: that of its `Keep-Alive` header less
/// [`IDLE_MARGIN`], or the default.
fn idle_timeout(head: &Head) -> Duration {
    let announced = head.get("keep-alive").and_then(|value| {
        let timeout = value.split(',').find_map(|field| field.trim().strip_prefix("timeout="))?;
        timeout.trim().parse().ok().map(Duration::from_secs)
    });
    announced.map_or(DEFAULT_IDLE_TIMEOUT, |time| time.saturating_sub(IDLE_MARGIN))
}

/// Enables detection of a peer that has disappeared without closing the connection. Errors are ignored, since the
/// connection also works without the detection.
fn enable_dead_peer_detection(stream: &BufferedStream) {
    let descriptor = stream.fd();
    let socket = SockRef::from(&descriptor);
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
    let probes = TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    let _ = socket.set_tcp_keepalive(&probes);
}
