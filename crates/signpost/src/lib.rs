//! Which replica a request goes to, decided without a clock and without I/O: events in, actions out.
//!
//! [`Gateway`] is one gateway's state machine. [`types`] has its settings, events and actions; [`cold`] says how
//! much work a cold replica may be sent, and [`pace`] when the list service is called.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod choice;
pub mod cold;
pub mod load;
pub mod pace;
pub mod types;

pub use choice::Gateway;
