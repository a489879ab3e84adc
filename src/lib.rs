#![forbid(unsafe_code)]
#![warn(missing_docs)]
#![doc = include_str!("../README.md")]

pub mod ahead;
pub mod aside;
pub mod config;
pub mod conformance;
pub mod engine;
pub mod front;
pub mod lag;
pub mod lifecycle;
pub mod limits;
pub mod names;
pub mod net;
pub mod overlap;
pub mod quota;
pub mod seats;
pub mod settings;
pub mod store;
pub mod stream;
pub mod syslog;
pub mod toys;

pub use signpost::{Gateway, cold, pace, types};
