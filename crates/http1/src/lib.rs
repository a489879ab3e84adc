//! HTTP/1.1 and server-sent events over connections that don't block, each within its limits.
//!
//! [`Wire`] is a connection with what was read from it, [`http`] has the parsers, and [`WireLimits`] the bounds
//! that both keep to.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod http;
mod limits;
mod wire;

pub use limits::WireLimits;
pub use wire::{Wire, bound_buffers, within};
