#![forbid(unsafe_code)]
#![warn(missing_docs)]
#![doc = include_str!("../README.md")]

pub mod admission;
pub mod api_keys;
pub mod config;
pub mod conformance;
pub mod demo_replica;
pub mod engine;
pub mod front;
pub mod limits;
pub mod names;
pub mod net;
pub mod process;
pub mod settings;
pub mod store;
pub mod stream;
pub mod syslog;

pub use tulipridge_load_balancer::{LoadBalancer, list_schedule, types};
