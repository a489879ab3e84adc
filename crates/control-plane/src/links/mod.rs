//! Connections between the members of the control plane.
//!
//! Each member dials those it has something to say to and takes connections from all others, so a connection
//! carries messages one way. Messages may be lost; who needs an answer asks again.
//!
//! Entries and parts of the data have a connection of their own, so that heartbeats never wait behind them:
//! a configuration of 1.3 MB takes a second on a link of 10 Mbit/s, longer than a lease.

mod inbound;
mod outbound;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::rc::Rc;

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Async;
use tulipridge_protocol::replication::{Envelope, ReplicationMessage};

/// Messages that wait for one connection; more are dropped.
const QUEUE_LENGTH: usize = 1_024;

/// What a connection is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Channel {
    /// Short messages that someone waits for.
    Control,
    /// Entries and parts of the data.
    Data,
}

impl Channel {
    fn of(message: &ReplicationMessage) -> Channel {
        match message {
            ReplicationMessage::Append { .. } | ReplicationMessage::Sync { .. } => Channel::Data,
            _ => Channel::Control,
        }
    }
}

/// Sends messages to other members.
pub struct Links {
    executor: Rc<LocalExecutor<'static>>,
    port: u16,
    queues: RefCell<BTreeMap<(Ipv4Addr, Channel), Sender<Envelope>>>,
}

impl Links {
    /// No connections yet. All members take messages at this port.
    pub fn new(executor: Rc<LocalExecutor<'static>>, port: u16) -> Links {
        Links { executor, port, queues: RefCell::new(BTreeMap::new()) }
    }

    /// Sends a message as soon as the member's machine takes it, or loses it.
    pub fn send(&self, envelope: Envelope) {
        let address = envelope.to.address();
        let channel = Channel::of(&envelope.message);
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry((address, channel)).or_insert_with(|| self.open(address));
        if queue.try_send(envelope).is_err() {
            log::warn!(member:% = address; "messages to a member are dropped: it takes none");
        }
    }

    fn open(&self, address: Ipv4Addr) -> Sender<Envelope> {
        let (sender, receiver) = async_channel::bounded(QUEUE_LENGTH);
        let socket = SocketAddr::from((address, self.port));
        self.executor.spawn(outbound::run(socket, receiver)).detach();
        sender
    }

    /// Takes connections of other members for ever, and hands on what they say.
    pub async fn serve(self: Rc<Self>, listener: Async<TcpListener>, on_message: Rc<dyn Fn(Envelope)>) {
        inbound::serve(&self.executor, listener, on_message).await;
    }
}
