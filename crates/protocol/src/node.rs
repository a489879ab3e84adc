//! Identifiers of processes.

use std::fmt;
use std::net::Ipv4Addr;

use musli::{Decode, Encode};
use tulipridge_configuration::integer_newtypes;

integer_newtypes! {
    /// Distinguishes incarnations of a process on one machine: a member's by its disk, an agent's by its start.
    Generation(u64);
}

impl Generation {
    /// The generation of a disk that was formatted at the first start of the complete system.
    pub const FIRST: Generation = Generation(0);
}

/// The id of a process: its machine's address and a generation.
///
/// The generation of a member of the control plane is that of its disk. A disk that was formatted at the first start
/// of the complete system has generation 0. A disk that was formatted later has a random generation, so a machine
/// whose disk was lost becomes a different member. The generation of an agent is drawn at random at each start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct NodeId {
    /// The machine's IPv4 address as a number.
    pub ip: u32,
    /// Distinguishes incarnations of the process on one machine.
    pub generation: Generation,
}

impl NodeId {
    /// The id of the process on the machine with this address.
    #[must_use]
    pub fn new(ip: Ipv4Addr, generation: Generation) -> Self {
        NodeId { ip: u32::from(ip), generation }
    }

    /// The machine's address.
    #[must_use]
    pub fn address(&self) -> Ipv4Addr {
        Ipv4Addr::from(self.ip)
    }
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}", self.address(), self.generation.0)
    }
}
