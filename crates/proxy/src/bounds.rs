//! What the process may use at once, and what is in use.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tulipridge_configuration::Caps;
use tulipridge_http1::Http1Limits;

use crate::notice::Notice;

/// Descriptors that the platform keeps for files outside the disk folder.
const RESERVED_DESCRIPTORS: u64 = 200;
/// Descriptors for the listeners, the feed, the reactor and the signals.
const OWN_DESCRIPTORS: u64 = 100;
/// Part of the other descriptors that connections to replicas may take.
const REPLICA_PART: u64 = 3;
/// Bytes of bodies that are held at once.
const HELD_BYTES: usize = 100 * 1024 * 1024;
/// Bytes read from a socket at once: most requests come whole in one read.
const READ_BYTES: usize = 24 * 1024;
/// Header lines of a message.
const MOST_HEADERS: usize = 128;
/// Bytes of a head of a replica's answer.
const ANSWER_HEAD_BYTES: usize = 32 * 1024;
/// Longest chunk of a replica's answer.
const LONGEST_CHUNK: usize = 1 << 30;
/// Time for a connection to a replica to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Bounds of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Connections of clients.
    pub clients: usize,
    /// Connections to replicas.
    pub replicas: usize,
    /// Bytes of bodies that are held.
    pub held_bytes: usize,
}

impl Bounds {
    /// By the descriptors that the process may use.
    #[must_use]
    pub fn of(file_handles: u64) -> Self {
        let free = file_handles.saturating_sub(RESERVED_DESCRIPTORS + OWN_DESCRIPTORS).max(3);
        let replicas = free / REPLICA_PART;
        Bounds { clients: (free - replicas) as usize, replicas: replicas as usize, held_bytes: HELD_BYTES }
    }
}

/// What is in use.
pub struct Usage {
    bounds: Bounds,
    open_clients: Cell<usize>,
    held_bytes: Cell<usize>,
    /// Raised when a connection of a client is closed.
    pub client_left: Notice,
    bytes_freed: Notice,
}

impl Usage {
    /// Nothing is in use yet.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Usage {
            bounds,
            open_clients: Cell::new(0),
            held_bytes: Cell::new(0),
            client_left: Notice::default(),
            bytes_freed: Notice::default(),
        }
    }

    /// Whether another client may connect.
    pub fn has_room(&self) -> bool {
        self.open_clients.get() < self.bounds.clients
    }

    /// Connections of clients that are open.
    pub fn open_clients(&self) -> usize {
        self.open_clients.get()
    }

    /// Ready once the bodies held are within their bound.
    pub async fn room_for_bytes(&self) {
        while self.held_bytes.get() > self.bounds.held_bytes {
            self.bytes_freed.changed().await;
        }
    }
}

/// A place of a client's connection, given back when it is dropped.
pub struct ClientPlace(Rc<Usage>);

impl ClientPlace {
    /// Takes a place.
    pub fn new(usage: &Rc<Usage>) -> Self {
        usage.open_clients.set(usage.open_clients.get() + 1);
        ClientPlace(usage.clone())
    }
}

impl Drop for ClientPlace {
    fn drop(&mut self) {
        let usage = &self.0;
        usage.open_clients.set(usage.open_clients.get() - 1);
        usage.client_left.raise();
    }
}

/// Bytes of a body that are counted while they are held.
pub struct HeldBytes {
    usage: Rc<Usage>,
    bytes: usize,
}

impl HeldBytes {
    /// None yet.
    pub fn new(usage: &Rc<Usage>) -> Self {
        HeldBytes { usage: usage.clone(), bytes: 0 }
    }

    /// So many are held now.
    pub fn set(&mut self, bytes: usize) {
        let all = &self.usage.held_bytes;
        all.set(all.get() - self.bytes + bytes);
        self.bytes = bytes;
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.set(0);
        self.usage.bytes_freed.raise();
    }
}

/// The limits that connections of clients keep to.
#[must_use]
pub fn client_limits(caps: &Caps) -> Http1Limits {
    Http1Limits {
        head_bytes: caps.head_bytes as usize,
        headers: MOST_HEADERS,
        body_bytes: caps.body_bytes as usize,
        read_bytes: READ_BYTES,
        ..Http1Limits::default()
    }
}

/// The limits that connections to replicas keep to.
#[must_use]
pub fn replica_limits() -> Http1Limits {
    Http1Limits {
        head_bytes: ANSWER_HEAD_BYTES,
        headers: MOST_HEADERS,
        body_bytes: LONGEST_CHUNK,
        read_bytes: READ_BYTES,
        connect_timeout: CONNECT_TIMEOUT,
        ..Http1Limits::default()
    }
}
