//! Connections between the members of the control plane.
//!
//! Each member dials those it has something to say to and takes connections from all others, so a connection
//! carries messages one way. Messages may be lost; who needs an answer asks again.

mod inbound;
mod outbound;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::rc::Rc;

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Async;
use intercom::control::Envelope;

/// Messages that wait for one member; more are dropped.
const QUEUE_LENGTH: usize = 1_024;

/// Sends messages to other members.
pub struct Links {
    executor: Rc<LocalExecutor<'static>>,
    port: u16,
    peers: RefCell<BTreeMap<Ipv4Addr, Sender<Envelope>>>,
}

impl Links {
    /// No connections yet. All members take messages at this port.
    pub fn new(executor: Rc<LocalExecutor<'static>>, port: u16) -> Links {
        Links { executor, port, peers: RefCell::new(BTreeMap::new()) }
    }

    /// Sends a message as soon as the member's machine takes it, or loses it.
    pub fn send(&self, envelope: Envelope) {
        let address = envelope.to.address();
        let mut peers = self.peers.borrow_mut();
        let queue = peers.entry(address).or_insert_with(|| self.open(address));
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
