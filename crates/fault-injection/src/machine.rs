//! A machine: its addresses, and the ports that the programs on it take.

use std::net::{Ipv4Addr, SocketAddr};

use crate::address::PortBlock;
use crate::error::Result;

/// Which machine of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineId(pub u8);

/// A port, from the first of the machine's block. The first four follow from the settings' `sparePorts`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u16)]
pub enum Port {
    /// Member to member.
    Control = 0,
    /// A member's feed.
    Feed = 1,
    /// Partial views (UDP).
    Views = 2,
    /// A agent's feed, on 127.0.0.1.
    LocalFeed = 3,
    /// The operator's interface of a member, and the platform's list.
    Api = 4,
    /// A proxy's clients.
    Front = 5,
    /// A proxy's check of readiness.
    Ready = 6,
}

/// A machine. Its block of ports differs from those of all others, although the programs take them to be alike: so
/// what it dials at another machine's address is a port of its own block, where a relay listens.
#[derive(Debug)]
pub struct Machine {
    /// Which one.
    pub id: MachineId,
    /// Its name in settings and logs.
    pub name: String,
    /// Its address.
    pub address: Ipv4Addr,
    ports: PortBlock,
}

impl Machine {
    /// A machine at this address, with ports of its own.
    pub fn new(id: MachineId, name: String, address: Ipv4Addr) -> Result<Machine> {
        Ok(Machine { id, name, address, ports: PortBlock::reserve()? })
    }

    /// The number of a port in this machine's block.
    #[must_use]
    pub fn port(&self, port: Port) -> u16 {
        self.ports.first + port as u16
    }

    /// Where this machine listens.
    #[must_use]
    pub fn socket(&self, port: Port) -> SocketAddr {
        (self.address, self.port(port)).into()
    }

    /// Where this machine dials another one, and the relay between them listens.
    #[must_use]
    pub fn socket_toward(&self, other: &Machine, port: Port) -> SocketAddr {
        (other.address, self.port(port)).into()
    }
}
