//! Exclusive blocks of loopback addresses and ports.
//!
//! A block is reserved by a listener at a fixed offset in it, so that reservations hold between processes and end with
//! the process that made them.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

use crate::error::{Result, TimedOutSnafu};

/// Ports of one machine, that of the reservation included.
pub const PORTS_PER_MACHINE: u16 = 8;
/// The offset of the reservation's port in a block of ports.
const RESERVATION_OFFSET: u16 = PORTS_PER_MACHINE - 1;
/// The port of the reservation of a block of addresses.
const NETWORK_RESERVATION_PORT: u16 = 19_999;
/// The first port of all blocks, which lie below the ephemeral ports.
const FIRST_PORT: u16 = 20_000;
/// The end of all blocks.
const LAST_PORT: u16 = 32_000;
/// Attempts to find a free block.
const RESERVATION_ATTEMPTS: usize = 2_000;

/// A block 127.a.b.0/24 that is reserved while this value lives.
#[derive(Debug)]
pub struct AddressBlock {
    octets: [u8; 3],
    _reservation: TcpListener,
}

impl AddressBlock {
    /// Reserves a free block.
    ///
    /// # Errors
    ///
    /// [`HarnessError::TimedOut`](crate::error::HarnessError::TimedOut) if none is found.
    pub fn reserve() -> Result<AddressBlock> {
        for _ in 0..RESERVATION_ATTEMPTS {
            let octets = [127, fastrand::u8(1..=254), fastrand::u8(1..=254)];
            let address = Ipv4Addr::new(octets[0], octets[1], octets[2], 1);
            if let Ok(reservation) = TcpListener::bind((address, NETWORK_RESERVATION_PORT)) {
                return Ok(AddressBlock { octets, _reservation: reservation });
            }
        }
        no_free_block("addresses")
    }

    /// The address of the block with this last octet.
    #[must_use]
    pub fn address(&self, host: u8) -> Ipv4Addr {
        let [first, second, third] = self.octets;
        Ipv4Addr::new(first, second, third, host)
    }
}

/// Consecutive ports, free on 127.0.0.1, that are reserved while this value lives.
#[derive(Debug)]
pub struct PortBlock {
    /// The first port.
    pub first: u16,
    _reservation: TcpListener,
}

impl PortBlock {
    /// Reserves a free block.
    ///
    /// # Errors
    ///
    /// [`HarnessError::TimedOut`](crate::error::HarnessError::TimedOut) if none is found.
    pub fn reserve() -> Result<PortBlock> {
        let block_count = (LAST_PORT - FIRST_PORT) / PORTS_PER_MACHINE;
        for _ in 0..RESERVATION_ATTEMPTS {
            let first = FIRST_PORT + PORTS_PER_MACHINE * fastrand::u16(..block_count);
            let reserved = TcpListener::bind((Ipv4Addr::LOCALHOST, first + RESERVATION_OFFSET));
            if let Ok(reservation) = reserved
                && (first..first + RESERVATION_OFFSET).all(is_free)
            {
                return Ok(PortBlock { first, _reservation: reservation });
            }
        }
        no_free_block("ports")
    }
}

fn is_free(port: u16) -> bool {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
}

fn no_free_block<T>(kind: &str) -> Result<T> {
    TimedOutSnafu { condition: format!("free {kind} on loopback"), timeout: std::time::Duration::ZERO }
        .fail()
}
