//! Datagrams of peer sampling: each process has a partial view of the others, and exchanges entries with one of them
//! at a time. The protocol is a variant of Cyclon (Voulgaris, Gavidia and van Steen 2005).

use musli::{Decode, Encode};

use crate::node::NodeId;

/// A datagram of a shuffle, the exchange of entries between two processes.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Shuffle {
    /// The request of a shuffle: offers entries in exchange for the same number.
    Offer {
        /// The sender's own entry.
        from: Entry,
        /// Entries of the sender's view.
        entries: Vec<Entry>,
    },
    /// The response to an offer.
    Reply {
        /// The sender's own entry.
        from: Entry,
        /// Entries of the sender's view.
        entries: Vec<Entry>,
    },
}

/// An entry of a view, which describes a process.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Entry {
    /// The machine, and the incarnation of the process (for a member of the control plane, the generation of its disk).
    pub id: NodeId,
    /// The role of the process.
    pub role: Role,
    /// The zone of the process.
    pub zone: String,
    /// Ticks since the process itself sent this entry; the entry with the lowest age is the freshest.
    pub age: u32,
}

/// The role of a process that takes part in the shuffle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Role {
    /// An agent, on the machine of a proxy.
    Agent,
    /// A member of the control plane.
    Control,
}
