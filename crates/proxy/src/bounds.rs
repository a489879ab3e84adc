//! Limits of the process: open connections, bytes of bodies, and the HTTP limits of connections.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tulipridge_configuration::ClientLimits;
use tulipridge_http1::Http1Limits;

use crate::notify::Notify;

/// File descriptors that the platform reserves for files outside the disk folder.
const RESERVED_DESCRIPTORS: u64 = 200;
/// File descriptors that the proxy needs for its listeners, the feed, the reactor and signals.
const OWN_DESCRIPTORS: u64 = 100;
/// Connections to replicas may take the remaining descriptors divided by this.
const REPLICA_DIVISOR: u64 = 3;
/// Maximum bytes of request bodies in memory.
const MAX_BODY_BYTES: usize = 100 * 1024 * 1024;
/// Bytes read from a socket at once: most requests are complete after one read.
const READ_BYTES: usize = 24 * 1024;
/// Maximum headers of a message.
const MAX_HEADERS: usize = 128;
/// Maximum bytes of the head of a response from a replica.
const MAX_RESPONSE_HEAD_BYTES: usize = 32 * 1024;
/// Maximum bytes of a chunk of a response from a replica.
const MAX_RESPONSE_CHUNK_BYTES: usize = 1 << 30;
/// Timeout for connecting to a replica.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Limits of the resources that the process uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Connections of clients.
    pub clients: usize,
    /// Connections to replicas.
    pub replicas: usize,
    /// Bytes of request bodies in memory.
    pub body_bytes: usize,
}

impl ResourceLimits {
    /// The limits for a process that may open this many file descriptors.
    #[must_use]
    pub fn for_file_handles(file_handles: u64) -> Self {
        let free = file_handles.saturating_sub(RESERVED_DESCRIPTORS + OWN_DESCRIPTORS).max(3);
        let replicas = free / REPLICA_DIVISOR;
        ResourceLimits {
            clients: (free - replicas) as usize,
            replicas: replicas as usize,
            body_bytes: MAX_BODY_BYTES,
        }
    }
}

/// The resources in use, with their limits.
pub struct ResourceUsage {
    limits: ResourceLimits,
    open_clients: Cell<usize>,
    body_bytes: Cell<usize>,
    /// Raised when a client's connection is closed.
    pub client_closed: Notify,
    body_bytes_freed: Notify,
}

impl ResourceUsage {
    /// No resources in use.
    #[must_use]
    pub fn new(limits: ResourceLimits) -> Self {
        ResourceUsage {
            limits,
            open_clients: Cell::new(0),
            body_bytes: Cell::new(0),
            client_closed: Notify::default(),
            body_bytes_freed: Notify::default(),
        }
    }

    /// Whether another client's connection may be accepted.
    pub fn may_accept(&self) -> bool {
        self.open_clients.get() < self.limits.clients
    }

    /// Open connections of clients.
    pub fn open_clients(&self) -> usize {
        self.open_clients.get()
    }

    /// Waits until the bodies in memory are within their limit.
    pub async fn body_capacity(&self) {
        while self.body_bytes.get() > self.limits.body_bytes {
            self.body_bytes_freed.changed().await;
        }
    }
}

/// Counts a client's connection until it is dropped.
pub struct ClientPermit(Rc<ResourceUsage>);

impl ClientPermit {
    /// Counts one more connection.
    pub fn new(usage: &Rc<ResourceUsage>) -> Self {
        usage.open_clients.set(usage.open_clients.get() + 1);
        ClientPermit(usage.clone())
    }
}

impl Drop for ClientPermit {
    fn drop(&mut self) {
        let usage = &self.0;
        usage.open_clients.set(usage.open_clients.get() - 1);
        usage.client_closed.notify_all();
    }
}

/// Counts the bytes of a request body until it is dropped.
pub struct BodyBytes {
    usage: Rc<ResourceUsage>,
    bytes: usize,
}

impl BodyBytes {
    /// No bytes yet.
    pub fn new(usage: &Rc<ResourceUsage>) -> Self {
        BodyBytes { usage: usage.clone(), bytes: 0 }
    }

    /// Sets how many bytes the body has.
    pub fn set(&mut self, bytes: usize) {
        let all = &self.usage.body_bytes;
        all.set(all.get() - self.bytes + bytes);
        self.bytes = bytes;
    }
}

impl Drop for BodyBytes {
    fn drop(&mut self) {
        self.set(0);
        self.usage.body_bytes_freed.notify_all();
    }
}

/// The HTTP limits of clients' connections.
#[must_use]
pub fn client_limits(caps: &ClientLimits) -> Http1Limits {
    Http1Limits {
        head_bytes: caps.head_bytes as usize,
        headers: MAX_HEADERS,
        body_bytes: caps.body_bytes as usize,
        read_bytes: READ_BYTES,
        ..Http1Limits::default()
    }
}

/// The HTTP limits of connections to replicas.
#[must_use]
pub fn replica_limits() -> Http1Limits {
    Http1Limits {
        head_bytes: MAX_RESPONSE_HEAD_BYTES,
        headers: MAX_HEADERS,
        body_bytes: MAX_RESPONSE_CHUNK_BYTES,
        read_bytes: READ_BYTES,
        connect_timeout: CONNECT_TIMEOUT,
        ..Http1Limits::default()
    }
}
