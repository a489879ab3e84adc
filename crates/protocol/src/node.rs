//! Names of processes.

use std::fmt;
use std::net::Ipv4Addr;

use musli::{Decode, Encode};

/// A member of the control plane: a machine's address and the generation of its disk.
///
/// A disk that was formatted at the first start of the whole system has generation 0. One that was formatted
/// later has a random generation, so a machine whose disk was lost is a different member from the one before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct NodeId {
    /// The machine's IPv4 address as a number.
    pub ip: u32,
    /// The generation of its disk.
    pub generation: u64,
}

impl NodeId {
    /// A member by its address and the generation of its disk.
    #[must_use]
    pub fn new(ip: Ipv4Addr, generation: u64) -> Self {
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
        write!(f, "{}/{:x}", self.address(), self.generation)
    }
}
