//! The view's exchange with other processes over UDP.

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
pub const TICK: Duration = Duration::from_secs(1);
/// Time between ticks while nobody is known.
const BOOTSTRAP_TICK: Duration = Duration::from_millis(200);
/// A tick comes earlier or later by up to this part of it.
const JITTER: f64 = 0.1;
/// Pause after the socket has failed.
const ERROR_PAUSE: Duration = Duration::from_millis(100);

/// What became of datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams that were taken.
    pub taken: u64,
    /// Datagrams that were malformed or too long, and dropped.
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
    counts: Cell<Counts>,
    random: RefCell<Rng>,
}

impl Exchange {
    /// Binds the socket; `seed` decides the jitter of the ticks.
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

    /// Takes and sends datagrams for ever.
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

    /// What became of datagrams.
    pub fn counts(&self) -> Counts {
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
        let mean = if self.view.borrow().entries().is_empty() { BOOTSTRAP_TICK } else { TICK };
        let offset = 2.0 * self.random.borrow_mut().f64() - 1.0;
        mean.mul_f64(1.0 + JITTER * offset)
    }

    async fn receive(&self) {
        // One byte more than is allowed shows that a datagram is too long.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, from)) => self.take(&buffer[..length], from).await,
                Err(error) => {
                    log::debug!(error:% = error; "the socket of the views has failed");
                    Timer::after(ERROR_PAUSE).await;
                }
            }
        }
    }

    async fn take(&self, bytes: &[u8], from: SocketAddr) {
        let (IpAddr::V4(ip), Some(message)) = (from.ip(), datagram::decode(bytes)) else {
            self.count(|counts| counts.malformed += 1);
            return;
        };
        self.count(|counts| counts.taken += 1);
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

    fn count(&self, change: impl FnOnce(&mut Counts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }
}
