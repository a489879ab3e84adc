//! Relays of TCP connections and UDP datagrams on the link from one machine to another.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use snafu::ResultExt;
use socket2::SockRef;

use crate::error::{IoSnafu, Result};
use crate::network::{Direction, LinkState, Network, Permission};

/// Size of a relay's read buffer in bytes.
const READ_BYTES: usize = 16 * 1024;
/// Maximum size of a datagram in bytes; the rest is dropped.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Stack size of a relay's thread in bytes.
const STACK_BYTES: usize = 128 * 1024;
/// Interval at which a relay of datagrams checks whether the network is closed.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The addresses and the direction of a relay.
#[derive(Clone, Copy, Debug)]
pub struct RelayRoute {
    /// The direction from the connecting machine to the accepting machine.
    pub direction: Direction,
    /// The address at which the relay listens.
    pub listen: SocketAddr,
    /// The address to which the relay connects.
    pub target: SocketAddr,
}

/// A relay of connections, which ends after the network is closed.
#[derive(Debug)]
pub struct TcpRelay {
    listen: SocketAddr,
}

impl TcpRelay {
    /// Starts a relay that listens at `route.listen`.
    ///
    /// # Errors
    ///
    /// [`HarnessError::Io`](crate::error::HarnessError::Io) if the address can't be bound.
    pub fn start(network: &Network, route: RelayRoute) -> Result<TcpRelay> {
        let action = || format!("relay at {}", route.listen);
        let listener = TcpListener::bind(route.listen).with_context(|_| IoSnafu { action: action() })?;
        Ok(TcpRelay::serve(network, listener, route))
    }

    /// Starts a relay of the connections of `listener`, which is bound to `route.listen`.
    #[must_use]
    pub fn serve(network: &Network, listener: TcpListener, route: RelayRoute) -> TcpRelay {
        let network = network.clone();
        spawn_thread(move || accept_all(&network, &listener, route));
        TcpRelay { listen: route.listen }
    }

    /// Connects to the relay, so that its accept call returns and the relay detects that the network is closed.
    pub fn wake(&self) {
        let _ = TcpStream::connect(self.listen);
    }
}

fn accept_all(network: &Network, listener: &TcpListener, route: RelayRoute) {
    while let Ok((stream, _)) = listener.accept() {
        if network.is_closed() {
            return;
        }
        let network = network.clone();
        spawn_thread(move || relay_connection(&network, stream, route));
    }
}

fn relay_connection(network: &Network, downstream: TcpStream, route: RelayRoute) {
    let directions = [route.direction, route.direction.reversed()];
    let reset_counts = directions.map(|direction| network.reset_count(direction));
    // A connection is established when both directions are open.
    let is_open =
        |index: usize| network.permit(directions[index], reset_counts[index], 0) != Permission::Reset;
    if !(is_open(0) && is_open(1)) {
        return reset(&downstream);
    }
    let Ok(upstream) = TcpStream::connect(route.target) else { return reset(&downstream) };
    let _ = (downstream.set_nodelay(true), upstream.set_nodelay(true));
    let pair = Arc::new(ConnectionPair { downstream, upstream, is_finished: AtomicBool::new(false) });
    abort_on_reset(network.clone(), Arc::clone(&pair), directions, reset_counts);
    let forward = {
        let (network, pair) = (network.clone(), Arc::clone(&pair));
        spawn_thread(move || {
            forward_stream(
                &network,
                directions[0],
                reset_counts[0],
                &pair,
                &pair.downstream,
                &pair.upstream,
            );
        })
    };
    forward_stream(network, directions[1], reset_counts[1], &pair, &pair.upstream, &pair.downstream);
    if let Some(forward) = forward {
        let _ = forward.join();
    }
    pair.is_finished.store(true, Ordering::Relaxed);
    network.wake();
}

/// Starts a thread that aborts a connection when one of its directions is reset, even if no bytes arrive.
fn abort_on_reset(
    network: Network,
    pair: Arc<ConnectionPair>,
    directions: [Direction; 2],
    reset_counts: [u64; 2],
) {
    spawn_thread(move || {
        network.wait_for_reset(directions, reset_counts, || pair.is_finished.load(Ordering::Relaxed));
        if !pair.is_finished.load(Ordering::Relaxed) {
            pair.abort();
        }
    });
}

/// Both sides of a relayed connection.
struct ConnectionPair {
    /// The connection to the machine that has connected.
    downstream: TcpStream,
    /// The connection to the machine that has accepted.
    upstream: TcpStream,
    /// Whether both directions have ended.
    is_finished: AtomicBool,
}

impl ConnectionPair {
    /// Makes closing reset both sockets, and ends blocked reads.
    fn abort(&self) {
        for side in [&self.downstream, &self.upstream] {
            reset(side);
            let _ = side.shutdown(Shutdown::Read);
        }
    }
}

/// Sets the linger time to zero, so that closing the socket resets the connection.
fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Forwards one direction of a connection until the end of the stream, or aborts the connection.
fn forward_stream(
    network: &Network,
    direction: Direction,
    reset_count: u64,
    pair: &ConnectionPair,
    mut source: &TcpStream,
    destination: &TcpStream,
) {
    let mut buffer = vec![0; READ_BYTES];
    loop {
        let count = match source.read(&mut buffer) {
            Ok(count) => count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
            Err(_) => return pair.abort(),
        };
        // The end of the stream (0 bytes) is stalled like data.
        if forward_bytes(network, direction, reset_count, destination, &buffer[..count]).is_none() {
            return pair.abort();
        }
        if count == 0 {
            let _ = destination.shutdown(Shutdown::Write);
            return;
        }
    }
}

/// Forwards bytes as the state of the link permits; `None` if the connection has to be reset.
fn forward_bytes(
    network: &Network,
    direction: Direction,
    reset_count: u64,
    mut destination: &TcpStream,
    mut bytes: &[u8],
) -> Option<()> {
    loop {
        match network.permit(direction, reset_count, bytes.len()) {
            Permission::Reset => return None,
            Permission::Forward(count) => {
                destination.write_all(&bytes[..count]).ok()?;
                bytes = &bytes[count..];
            }
        }
        if bytes.is_empty() {
            return Some(());
        }
    }
}

/// Relays datagrams from one machine to another until the network is closed. The source address of the relayed
/// datagrams is `sender`, the address of the sending machine.
///
/// # Errors
///
/// [`HarnessError::Io`](crate::error::HarnessError::Io) if a socket can't be bound or configured.
pub fn relay_datagrams(network: &Network, route: RelayRoute, sender: Ipv4Addr) -> Result<()> {
    let action = || format!("relay datagrams at {}", route.listen);
    let socket = UdpSocket::bind(route.listen).with_context(|_| IoSnafu { action: action() })?;
    let outgoing = UdpSocket::bind((sender, 0)).with_context(|_| IoSnafu { action: action() })?;
    socket.set_read_timeout(Some(CLOSE_CHECK_INTERVAL)).with_context(|_| IoSnafu { action: action() })?;
    let network = network.clone();
    spawn_thread(move || {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        while !network.is_closed() {
            if let Ok((count, _)) = socket.recv_from(&mut buffer)
                && network.link_state(route.direction) == LinkState::Open
            {
                let _ = outgoing.send_to(&buffer[..count], route.target);
            }
        }
    });
    Ok(())
}

fn spawn_thread(work: impl FnOnce() + Send + 'static) -> Option<thread::JoinHandle<()>> {
    thread::Builder::new().stack_size(STACK_BYTES).spawn(work).ok()
}
