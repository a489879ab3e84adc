//! Peer sampling: partial views of which processes exist, shuffled between neighbors.
//!
//! [`view::View`] is the logic (a variant of the Cyclon protocol), without I/O and without a clock; it
//! counts time in ticks. [`socket::Exchange`] runs it over datagrams.

pub mod datagram;
mod entry_table;
pub mod socket;
pub mod view;

pub use socket::Exchange;
pub use view::{Request, View};
