//! Relays of TCP connections and UDP datagrams on the path from one machine to another.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use snafu::ResultExt;
use socket2::SockRef;

use crate::error::{Result, SystemSnafu};
use crate::network::{Condition, Direction, Network, Permission};

/// Bytes that a relay reads at once.
const READ_BYTES: usize = 16 * 1024;
/// The longest datagram.
const DATAGRAM_BYTES: usize = 2_048;
/// Stack of a relay's thread.
const STACK_BYTES: usize = 128 * 1024;
/// How often the relay of datagrams looks whether it is to end.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Where a relay listens and whom it stands for.
#[derive(Clone, Copy, Debug)]
pub struct Route {
    /// From the machine that dials to the one that is dialled.
    pub direction: Direction,
    /// Where the relay listens.
    pub listen: SocketAddr,
    /// Where it passes to.
    pub target: SocketAddr,
}

/// A relay of connections; it ends with the network.
#[derive(Debug)]
pub struct TcpRelay {
    listen: SocketAddr,
}

impl TcpRelay {
    /// Starts to relay.
    pub fn start(network: &Network, route: Route) -> Result<TcpRelay> {
        let action = || format!("relay at {}", route.listen);
        let listener =
            TcpListener::bind(route.listen).with_context(|_| SystemSnafu { action: action() })?;
        let network = network.clone();
        spawn(move || accept_all(&network, &listener, route));
        Ok(TcpRelay { listen: route.listen })
    }

    /// Wakes the relay, so that it sees that the network is closed.
    pub fn wake(&self) {
        let _ = TcpStream::connect(self.listen);
    }
}

fn accept_all(network: &Network, listener: &TcpListener, route: Route) {
    while let Ok((stream, _)) = listener.accept() {
        if network.is_closed() {
            return;
        }
        let network = network.clone();
        spawn(move || relay_connection(&network, stream, route));
    }
}

fn relay_connection(network: &Network, near: TcpStream, route: Route) {
    let directions = [route.direction, route.direction.reversed()];
    let resets = directions.map(|direction| network.resets(direction));
    // A connection comes up once both directions pass.
    let is_open = |index: usize| network.permit(directions[index], resets[index], 0) != Permission::Reset;
    if !(is_open(0) && is_open(1)) {
        return reset(&near);
    }
    let Ok(far) = TcpStream::connect(route.target) else { return reset(&near) };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let pair = Arc::new(Pair { near, far, is_over: AtomicBool::new(false) });
    let guard = (network.clone(), pair.clone());
    spawn(move || {
        let (network, pair) = guard;
        network.wait_for_reset(directions, resets, || pair.is_over.load(Ordering::Relaxed));
        if !pair.is_over.load(Ordering::Relaxed) {
            pair.abort();
        }
    });
    let forward = (network.clone(), pair.clone());
    let forward = spawn(move || {
        let (network, pair) = forward;
        pump(&network, directions[0], resets[0], &pair, &pair.near, &pair.far);
    });
    pump(network, directions[1], resets[1], &pair, &pair.far, &pair.near);
    if let Some(forward) = forward {
        let _ = forward.join();
    }
    pair.is_over.store(true, Ordering::Relaxed);
    network.wake();
}

/// Both sides of a relayed connection.
struct Pair {
    near: TcpStream,
    far: TcpStream,
    is_over: AtomicBool,
}

impl Pair {
    /// Has both sides reset once nobody uses them any more, and wakes those who read.
    fn abort(&self) {
        for side in [&self.near, &self.far] {
            reset(side);
            let _ = side.shutdown(Shutdown::Read);
        }
    }
}

/// Closing the socket resets the connection.
fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

fn pump(
    network: &Network,
    direction: Direction,
    resets: u64,
    pair: &Pair,
    mut source: &TcpStream,
    sink: &TcpStream,
) {
    let mut buffer = vec![0; READ_BYTES];
    loop {
        let count = match source.read(&mut buffer) {
            Ok(count) => count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
            Err(_) => return pair.abort(),
        };
        // The end of what is sent is held back like a byte.
        if pass(network, direction, resets, sink, &buffer[..count]).is_none() {
            return pair.abort();
        }
        if count == 0 {
            let _ = sink.shutdown(Shutdown::Write);
            return;
        }
    }
}

/// Passes bytes on as far as they may; none if the connection is to be reset.
fn pass(
    network: &Network,
    direction: Direction,
    resets: u64,
    mut sink: &TcpStream,
    mut bytes: &[u8],
) -> Option<()> {
    loop {
        match network.permit(direction, resets, bytes.len()) {
            Permission::Reset => return None,
            Permission::Pass(count) => {
                sink.write_all(&bytes[..count]).ok()?;
                bytes = &bytes[count..];
            }
        }
        if bytes.is_empty() {
            return Some(());
        }
    }
}

/// Relays datagrams from one machine to another until the network ends. They arrive with the address of the machine
/// that sent them.
pub fn relay_datagrams(network: &Network, route: Route, sender: Ipv4Addr) -> Result<()> {
    let action = || format!("relay datagrams at {}", route.listen);
    let socket = UdpSocket::bind(route.listen).with_context(|_| SystemSnafu { action: action() })?;
    let onward = UdpSocket::bind((sender, 0)).with_context(|_| SystemSnafu { action: action() })?;
    socket
        .set_read_timeout(Some(CLOSE_CHECK_INTERVAL))
        .with_context(|_| SystemSnafu { action: action() })?;
    let network = network.clone();
    spawn(move || {
        let mut buffer = [0; DATAGRAM_BYTES];
        while !network.is_closed() {
            if let Ok((count, _)) = socket.recv_from(&mut buffer)
                && network.condition(route.direction) == Condition::Open
            {
                let _ = onward.send_to(&buffer[..count], route.target);
            }
        }
    });
    Ok(())
}

fn spawn(work: impl FnOnce() + Send + 'static) -> Option<thread::JoinHandle<()>> {
    thread::Builder::new().stack_size(STACK_BYTES).spawn(work).ok()
}
