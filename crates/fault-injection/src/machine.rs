//! Simulated machines: their addresses, and the ports of the programs on them.

use std::net::{Ipv4Addr, SocketAddr};

use crate::address::PortBlock;
use crate::error::Result;

/// Identifies a machine of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineId(pub u8);

/// The purpose of a port; its value is the offset in the machine's block. The first four follow from `sparePorts` in
/// the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u16)]
pub enum Port {
    /// Between members of the control plane.
    Control = 0,
    /// A member's subscription server.
    Subscription = 1,
    /// Peer sampling, over UDP.
    PeerSampling = 2,
    /// An agent's subscription server, on 127.0.0.1.
    LocalSubscription = 3,
    /// The operator's API of a member, or the platform's list.
    Api = 4,
    /// The proxy's listener for clients.
    Clients = 5,
    /// The proxy's readiness check.
    Readiness = 6,
}

/// A machine. The programs assume that ports are the same on all machines, but each machine has a block of its own: so
/// what a program connects to, at another machine's address, is a port of its own machine's block, on which a relay
/// listens.
#[derive(Debug)]
pub struct Machine {
    /// Its id.
    pub id: MachineId,
    /// Its name in settings and logs.
    pub name: String,
    /// Its address.
    pub address: Ipv4Addr,
    ports: PortBlock,
}

impl Machine {
    /// A machine at this address; reserves a block of ports.
    ///
    /// # Errors
    ///
    /// [`HarnessError::TimedOut`](crate::error::HarnessError::TimedOut) if no block is free.
    pub fn new(id: MachineId, name: String, address: Ipv4Addr) -> Result<Machine> {
        Ok(Machine { id, name, address, ports: PortBlock::reserve()? })
    }

    /// The number of a port of this machine.
    #[must_use]
    pub fn port(&self, port: Port) -> u16 {
        self.ports.first + port as u16
    }

    /// The address at which this machine listens.
    #[must_use]
    pub fn socket(&self, port: Port) -> SocketAddr {
        (self.address, self.port(port)).into()
    }

    /// The address at which this machine connects to another one, and the relay between them listens.
    #[must_use]
    pub fn socket_toward(&self, other: &Machine, port: Port) -> SocketAddr {
        (other.address, self.port(port)).into()
    }
}
