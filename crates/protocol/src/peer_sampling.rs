//! Datagrams of peer sampling: each process has a partial view of the others, and shuffles entries with one of them at
//! a time. The protocol is a variant of Cyclon (Voulgaris, Gavidia and van Steen 2005).

use musli::{Decode, Encode};

use crate::node::NodeId;

/// A datagram of the shuffle.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Shuffle {
    /// The request of a shuffle: offers entries in exchange for as many.
    Offer {
        /// The sender's own entry.
        from: Entry,
        /// Some entries of its view.
        entries: Vec<Entry>,
    },
    /// The reply to an offer.
    Reply {
        /// The sender's own entry.
        from: Entry,
        /// Some entries of its view.
        entries: Vec<Entry>,
    },
}

/// A process as it stands in the views of others.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Entry {
    /// The machine, and the incarnation of the process (a control member: the generation of its disk).
    pub id: NodeId,
    /// The role of the process.
    pub role: Role,
    /// Its zone.
    pub zone: String,
    /// Ticks since the process itself sent this entry; the lowest age is the freshest.
    pub age: u32,
}

/// The role of a process that takes part in the shuffle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Role {
    /// An agent beside a proxy.
    Agent,
    /// A member of the control plane.
    Control,
}
