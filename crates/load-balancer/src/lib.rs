//! Which replica a request goes to, decided without a clock and without I/O: events in, actions out.
//!
//! [`Gateway`] is one gateway's state machine. [`types`] has its settings, events and actions; [`cold`] says how
//! much work a cold replica may be sent, and [`pace`] when the list service is called. What a decision rests on is
//! estimated in [`demand`], [`load`] and [`record`].

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod choice;
pub mod cold;
pub mod demand;
pub mod load;
pub mod pace;
pub mod record;
pub mod types;

pub use choice::Gateway;
