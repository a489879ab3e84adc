//! Peer sampling: each process keeps a partial view of the processes that exist, and shuffles entries with its
//! neighbors.
//!
//! [`view::View`] is the protocol logic, a variant of Cyclon, without I/O and without a clock; time is counted in
//! ticks. [`socket::Exchange`] runs it over UDP.

pub mod datagram;
mod entry_table;
pub mod socket;
pub mod view;

pub use socket::Exchange;
pub use view::{OutgoingOffer, View};
