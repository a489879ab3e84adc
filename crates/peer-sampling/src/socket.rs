//! Exchange of partial views with other processes over UDP.

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
/// Mean time between ticks while the view is empty.
const BOOTSTRAP_TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum deviation of the time between ticks from its mean, as a fraction of the mean.
const JITTER_FRACTION: f64 = 0.1;
/// Delay before the next receive after a socket error.
const ERROR_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Counters of datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DatagramCounts {
    /// Well-formed datagrams received.
    pub received: u64,
    /// Received datagrams that were dropped as malformed, too long, or not from an IPv4 address.
    pub malformed: u64,
    /// Datagrams that could not be encoded or sent.
    pub unsent: u64,
}

/// A partial view and the UDP socket over which it is exchanged. All processes use the same port.
#[derive(Debug)]
pub struct Exchange {
    socket: Async<UdpSocket>,
    port: u16,
    view: RefCell<View>,
    counts: Cell<DatagramCounts>,
    random: RefCell<Rng>,
}

impl Exchange {
    /// Binds the socket. `random_seed` initializes the generator of the jitter.
    ///
    /// # Errors
    /// The error of the operating system if the address can't be bound.
    pub fn bind(address: SocketAddr, view: View, random_seed: u64) -> io::Result<Self> {
        let socket = Async::<UdpSocket>::bind(address)?;
        let port = socket.get_ref().local_addr()?.port();
        Ok(Exchange {
            socket,
            port,
            view: RefCell::new(view),
            counts: Cell::default(),
            random: RefCell::new(Rng::with_seed(random_seed)),
        })
    }

    /// Runs forever: starts a shuffle at each tick and handles received datagrams.
    pub async fn run(&self) {
        future::or(self.receive(), self.start_shuffles()).await;
    }

    /// The entries of the known processes.
    pub fn entries(&self) -> Vec<Entry> {
        self.view.borrow().entries().to_vec()
    }

    /// The known members of the control plane.
    pub fn control_nodes(&self) -> Vec<ControlNode> {
        self.view.borrow().control_nodes()
    }

    /// Replaces the seed addresses.
    pub fn set_seeds(&self, seeds: Vec<Ipv4Addr>) {
        self.view.borrow_mut().set_seeds(seeds);
    }

    /// Counters of datagrams since the socket was bound.
    pub fn counts(&self) -> DatagramCounts {
        self.counts.get()
    }

    async fn start_shuffles(&self) {
        loop {
            let offer = self.view.borrow_mut().tick();
            if let Some(offer) = offer {
                self.send(offer.to, &offer.message).await;
            }
            Timer::after(self.next_tick_delay()).await;
        }
    }

    fn next_tick_delay(&self) -> Duration {
        let mean =
            if self.view.borrow().entries().is_empty() { BOOTSTRAP_TICK_INTERVAL } else { TICK_INTERVAL };
        let deviation = 2.0 * self.random.borrow_mut().f64() - 1.0;
        mean.mul_f64(1.0 + JITTER_FRACTION * deviation)
    }

    async fn receive(&self) {
        // One byte more than the maximum, so that a longer datagram is detected instead of truncated to a valid size.
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
        let response = self.view.borrow_mut().handle(ip, message);
        if let Some(response) = response {
            self.send(ip, &response).await;
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
