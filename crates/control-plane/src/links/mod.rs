//! Connections between the members of the control plane.
//!
//! Each member connects to the members it has messages for and accepts connections from all others, so a connection
//! carries messages in one direction. Messages may be lost; the replication protocol resends those that it needs.
//!
//! Log entries and chunks of the state have a separate connection, so that heartbeats never queue behind them:
//! a configuration of 1.3 MB takes 1 s on a link of 10 Mbit/s, which is longer than a lease.

mod incoming;
mod outgoing;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::rc::Rc;

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Async;
use tulipridge_protocol::replication::{Envelope, ReplicationMessage};

/// Limit on the messages queued for one connection. Further messages are dropped.
const QUEUE_CAPACITY: usize = 1_024;

/// The kind of messages that a connection carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum LinkKind {
    /// Short messages that must not be delayed.
    Control,
    /// Log entries and chunks of the state.
    Data,
}

impl LinkKind {
    fn of(message: &ReplicationMessage) -> LinkKind {
        match message {
            ReplicationMessage::Append { .. } | ReplicationMessage::Sync { .. } => LinkKind::Data,
            _ => LinkKind::Control,
        }
    }
}

/// Identifies an outgoing connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LinkKey {
    peer: Ipv4Addr,
    kind: LinkKind,
}

/// Sends messages to other members and receives theirs.
pub struct Links {
    executor: Rc<LocalExecutor<'static>>,
    port: u16,
    queues: RefCell<BTreeMap<LinkKey, Sender<Envelope>>>,
}

impl Links {
    /// Creates links without connections. All members accept connections on `port`.
    pub fn new(executor: Rc<LocalExecutor<'static>>, port: u16) -> Links {
        Links { executor, port, queues: RefCell::new(BTreeMap::new()) }
    }

    /// Queues a message for its receiver. The message is dropped if the queue is full or the connection fails.
    pub fn send(&self, envelope: Envelope) {
        let peer = envelope.to.address();
        let key = LinkKey { peer, kind: LinkKind::of(&envelope.message) };
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry(key).or_insert_with(|| self.open(peer));
        if queue.try_send(envelope).is_err() {
            log::warn!(member:% = peer; "messages to a member are dropped: its queue is full");
        }
    }

    fn open(&self, peer: Ipv4Addr) -> Sender<Envelope> {
        let (sender, receiver) = async_channel::bounded(QUEUE_CAPACITY);
        let address = SocketAddr::from((peer, self.port));
        self.executor.spawn(outgoing::run(address, receiver)).detach();
        sender
    }

    /// Accepts connections from other members forever and passes each message to `on_message`.
    pub async fn serve(self: Rc<Self>, listener: Async<TcpListener>, on_message: Rc<dyn Fn(Envelope)>) {
        incoming::serve(&self.executor, listener, on_message).await;
    }
}
