//! Partial views: each process knows some others and shuffles what it knows with one of them at a time, by
//! datagram.

use musli::{Decode, Encode};

use crate::node::NodeId;

/// A datagram of the shuffle.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Shuffle {
    /// Offers entries and asks for as many.
    Offer {
        /// Who offers.
        from: Entry,
        /// Some entries of its view.
        entries: Vec<Entry>,
    },
    /// Answers an offer.
    Reply {
        /// Who answers.
        from: Entry,
        /// Some entries of its view.
        entries: Vec<Entry>,
    },
}

/// A process as others know it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Entry {
    /// The machine, and the incarnation of the process (a control member: the generation of its disk).
    pub id: NodeId,
    /// The role of the process.
    pub role: Role,
    /// Its zone.
    pub zone: String,
    /// Shuffles since the process itself told of this entry; the lowest is the freshest.
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
