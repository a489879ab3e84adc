//! Simulated machines: their addresses, and the ports of the programs on them.

use std::net::{Ipv4Addr, SocketAddr};

use crate::address::PortBlock;
use crate::error::Result;

/// Identifier of a machine, unique in a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineId(pub u8);

/// The purpose of a port. The value is the port's offset in the machine's block; the programs derive the first
/// four from `sparePorts` in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u16)]
pub enum PortPurpose {
    /// Connections between members of the control plane.
    Control = 0,
    /// The subscription server of a member.
    Subscription = 1,
    /// Peer sampling, over UDP.
    PeerSampling = 2,
    /// The subscription server of an agent, on 127.0.0.1.
    LocalSubscription = 3,
    /// The operator's API of a member, or the platform's list service, which lists the replicas.
    Api = 4,
    /// The proxy's listener for requests of clients.
    Clients = 5,
    /// The proxy's readiness check.
    Readiness = 6,
}

/// A simulated machine with a separate block of ports. The programs assume that port numbers are the same on all
/// machines, so a program connects to another machine's address at a port of the local machine's block. A relay listens
/// there and forwards to the port of the other machine.
#[derive(Debug)]
pub struct Machine {
    /// The machine's identifier.
    pub id: MachineId,
    /// The machine's name in settings and logs.
    pub name: String,
    /// The machine's loopback address.
    pub address: Ipv4Addr,
    ports: PortBlock,
}

impl Machine {
    /// Creates a machine at this address and reserves a block of ports for it.
    ///
    /// # Errors
    ///
    /// [`HarnessError::TimedOut`](crate::error::HarnessError::TimedOut) if no block is free.
    pub fn new(id: MachineId, name: String, address: Ipv4Addr) -> Result<Machine> {
        Ok(Machine { id, name, address, ports: PortBlock::reserve()? })
    }

    /// The port number of this machine for a purpose.
    #[must_use]
    pub fn port(&self, purpose: PortPurpose) -> u16 {
        self.ports.first + purpose as u16
    }

    /// The address and port at which this machine listens.
    #[must_use]
    pub fn listen_address(&self, purpose: PortPurpose) -> SocketAddr {
        (self.address, self.port(purpose)).into()
    }

    /// The address and port to which this machine connects to reach another machine; the relay between them
    /// listens there.
    #[must_use]
    pub fn address_toward(&self, other: &Machine, purpose: PortPurpose) -> SocketAddr {
        (other.address, self.port(purpose)).into()
    }
}
