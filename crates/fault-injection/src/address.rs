//! Exclusive blocks of loopback addresses and ports.
//!
//! A listener at a fixed offset in the block reserves it. Reservations therefore exclude other processes too, and end
//! with the process that made them.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

use crate::error::{Result, TimedOutSnafu};

/// Number of ports of one machine, including the port of the reservation.
pub const PORTS_PER_MACHINE: u16 = 8;
/// Offset of the reservation's port in a block of ports.
const RESERVATION_OFFSET: u16 = PORTS_PER_MACHINE - 1;
/// Port of the listener that reserves a block of addresses.
const ADDRESS_RESERVATION_PORT: u16 = 19_999;
/// First port of the range that is divided into blocks, which is below the ephemeral ports.
const FIRST_PORT: u16 = 20_000;
/// End of this range, exclusive.
const END_PORT: u16 = 32_000;
/// Maximum number of attempts to find a free block.
const RESERVATION_ATTEMPTS: usize = 2_000;

/// A block 127.a.b.0/24, reserved until this value is dropped.
#[derive(Debug)]
pub struct AddressBlock {
    octets: [u8; 3],
    _reservation: TcpListener,
}

impl AddressBlock {
    /// Picks random blocks until one is free, and reserves it.
    ///
    /// # Errors
    ///
    /// [`HarnessError::TimedOut`](crate::error::HarnessError::TimedOut) if no free block is found.
    pub fn reserve() -> Result<AddressBlock> {
        for _ in 0..RESERVATION_ATTEMPTS {
            let octets = [127, fastrand::u8(1..=254), fastrand::u8(1..=254)];
            let address = Ipv4Addr::new(octets[0], octets[1], octets[2], 1);
            if let Ok(reservation) = TcpListener::bind((address, ADDRESS_RESERVATION_PORT)) {
                return Ok(AddressBlock { octets, _reservation: reservation });
            }
        }
        no_free_block("addresses")
    }

    /// The address in the block with the last octet `host`.
    #[must_use]
    pub fn address(&self, host: u8) -> Ipv4Addr {
        let [first, second, third] = self.octets;
        Ipv4Addr::new(first, second, third, host)
    }
}

/// Consecutive ports that were free on 127.0.0.1, reserved until this value is dropped.
#[derive(Debug)]
pub struct PortBlock {
    /// The lowest port of the block.
    pub first: u16,
    _reservation: TcpListener,
}

impl PortBlock {
    /// Picks random blocks until all ports of one are free for TCP and UDP, and reserves it.
    ///
    /// # Errors
    ///
    /// [`HarnessError::TimedOut`](crate::error::HarnessError::TimedOut) if no free block is found.
    pub fn reserve() -> Result<PortBlock> {
        let block_count = (END_PORT - FIRST_PORT) / PORTS_PER_MACHINE;
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
