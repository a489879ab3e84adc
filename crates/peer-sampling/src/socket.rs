//! The exchange of a view with other processes over UDP.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};
use std::time::Duration;

use async_io::{Async, Timer};
use fastrand::Rng;
use futures_lite::future;
use tulipridge_protocol::feed::ControlNode;
use tulipridge_protocol::peer_sampling::{Entry, Shuffle};

use crate::datagram::{self, MAX_DATAGRAM_BYTES};
use crate::view::View;

/// Mean time between ticks.
pub const TICK_INTERVAL: Duration = Duration::from_secs(1);
/// Time between ticks while nobody is known.
const BOOTSTRAP_TICK_INTERVAL: Duration = Duration::from_millis(200);
/// A tick comes earlier or later by up to this fraction of its interval.
const JITTER: f64 = 0.1;
/// Delay after the socket has failed.
const ERROR_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Counters of datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DatagramCounts {
    /// Datagrams that were received and well-formed.
    pub received: u64,
    /// Datagrams that were malformed or too long, and were dropped.
    pub malformed: u64,
    /// Datagrams that could not be sent.
    pub unsent: u64,
}

/// A view and the socket over which it is exchanged. All processes use the same port.
#[derive(Debug)]
pub struct Exchange {
    socket: Async<UdpSocket>,
    port: u16,
    view: RefCell<View>,
    counts: Cell<DatagramCounts>,
    random: RefCell<Rng>,
}

impl Exchange {
    /// Binds the socket; `seed` is that of the ticks' jitter.
    ///
    /// # Errors
    /// The error of the operating system if the address can't be bound.
    pub fn bind(address: SocketAddr, view: View, seed: u64) -> io::Result<Self> {
        let socket = Async::<UdpSocket>::bind(address)?;
        let port = socket.get_ref().local_addr()?.port();
        Ok(Exchange {
            socket,
            port,
            view: RefCell::new(view),
            counts: Cell::default(),
            random: RefCell::new(Rng::with_seed(seed)),
        })
    }

    /// Receives and sends datagrams for ever.
    pub async fn run(&self) {
        future::or(self.receive(), self.tick()).await;
    }

    /// The processes that are known.
    pub fn entries(&self) -> Vec<Entry> {
        self.view.borrow().entries().to_vec()
    }

    /// The members of the control plane that are known.
    pub fn control_nodes(&self) -> Vec<ControlNode> {
        self.view.borrow().control_nodes()
    }

    /// Replaces the seeds.
    pub fn set_seeds(&self, seeds: Vec<Ipv4Addr>) {
        self.view.borrow_mut().set_seeds(seeds);
    }

    /// Counters of datagrams since the start.
    pub fn counts(&self) -> DatagramCounts {
        self.counts.get()
    }

    async fn tick(&self) {
        loop {
            let request = self.view.borrow_mut().tick();
            if let Some(request) = request {
                self.send(request.to, &request.message).await;
            }
            Timer::after(self.until_next_tick()).await;
        }
    }

    fn until_next_tick(&self) -> Duration {
        let mean =
            if self.view.borrow().entries().is_empty() { BOOTSTRAP_TICK_INTERVAL } else { TICK_INTERVAL };
        let offset = 2.0 * self.random.borrow_mut().f64() - 1.0;
        mean.mul_f64(1.0 + JITTER * offset)
    }

    async fn receive(&self) {
        // One byte more than is allowed makes a datagram that is too long visible.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, from)) => self.handle(&buffer[..length], from).await,
                Err(error) => {
                    log::debug!(error:% = error; "the peer-sampling socket has failed");
                    Timer::after(ERROR_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn handle(&self, bytes: &[u8], from: SocketAddr) {
        let (IpAddr::V4(ip), Some(message)) = (from.ip(), datagram::decode(bytes)) else {
            self.count(|counts| counts.malformed += 1);
            return;
        };
        self.count(|counts| counts.received += 1);
        let reply = self.view.borrow_mut().handle(ip, message);
        if let Some(reply) = reply {
            self.send(ip, &reply).await;
        }
    }

    async fn send(&self, to: Ipv4Addr, message: &Shuffle) {
        let sent = match datagram::encode(message) {
            Some(bytes) => self.socket.send_to(&bytes, SocketAddr::from((to, self.port))).await.is_ok(),
            None => false,
        };
        if !sent {
            self.count(|counts| counts.unsent += 1);
        }
    }

    fn count(&self, change: impl FnOnce(&mut DatagramCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }
}
