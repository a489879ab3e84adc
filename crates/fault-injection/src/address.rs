//! Addresses and ports of the loopback network that no other deployment uses.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

use crate::error::{Result, TimedOutSnafu};

/// Ports that one machine takes, its reservation included.
pub const PORTS_PER_MACHINE: u16 = 8;
/// Where the reservation of a block of ports is held, from its first one.
const RESERVATION_OFFSET: u16 = PORTS_PER_MACHINE - 1;
/// The port at which the reservation of a network of addresses is held.
const NETWORK_RESERVATION_PORT: u16 = 19_999;
/// Blocks of ports lie between these, below those that the system gives to outgoing connections.
const FIRST_PORT: u16 = 20_000;
const LAST_PORT: u16 = 32_000;
/// Tries to find something free.
const TRIES: usize = 2_000;

/// 250 addresses that belong to one deployment for as long as this lives.
#[derive(Debug)]
pub struct AddressBlock {
    octets: [u8; 3],
    _reservation: TcpListener,
}

impl AddressBlock {
    /// Takes a block that nobody has.
    pub fn reserve() -> Result<AddressBlock> {
        for _ in 0..TRIES {
            let octets = [127, fastrand::u8(1..=254), fastrand::u8(1..=254)];
            let address = Ipv4Addr::new(octets[0], octets[1], octets[2], 1);
            if let Ok(reservation) = TcpListener::bind((address, NETWORK_RESERVATION_PORT)) {
                return Ok(AddressBlock { octets, _reservation: reservation });
            }
        }
        no_free("addresses")
    }

    /// An address of the block.
    #[must_use]
    pub fn address(&self, host: u8) -> Ipv4Addr {
        let [first, second, third] = self.octets;
        Ipv4Addr::new(first, second, third, host)
    }
}

/// Ports in a row that are free on 127.0.0.1 and belong to one machine for as long as this lives.
#[derive(Debug)]
pub struct PortBlock {
    /// The first of them.
    pub first: u16,
    _reservation: TcpListener,
}

impl PortBlock {
    /// Takes a block that nobody has.
    pub fn reserve() -> Result<PortBlock> {
        let blocks = (LAST_PORT - FIRST_PORT) / PORTS_PER_MACHINE;
        for _ in 0..TRIES {
            let first = FIRST_PORT + PORTS_PER_MACHINE * fastrand::u16(..blocks);
            let reserved = TcpListener::bind((Ipv4Addr::LOCALHOST, first + RESERVATION_OFFSET));
            if let Ok(reservation) = reserved
                && (first..first + RESERVATION_OFFSET).all(is_free)
            {
                return Ok(PortBlock { first, _reservation: reservation });
            }
        }
        no_free("ports")
    }
}

fn is_free(port: u16) -> bool {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
}

fn no_free<T>(what: &str) -> Result<T> {
    TimedOutSnafu { what: format!("free {what} on loopback"), limit: std::time::Duration::ZERO }.fail()
}
