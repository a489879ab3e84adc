//! The network, a module for each peer.

pub mod discovery;
pub mod edge;
pub mod handover;
pub mod keeper;
pub mod listen;
pub mod mgmt;
pub mod objects;
pub mod parcel;
pub mod peers;
pub mod room;
pub mod servers;

pub use jetway::{Wire, bound_buffers, http, within};
