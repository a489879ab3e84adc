//! The gateway of `tulipridge serve`: one process that accepts requests in two dialects, sends each to a replica and
//! relays the response. `README.md` ("The gateway") describes each module.
//!
//! The load balancer is the package `tulipridge-load-balancer`, re-exported here. This package provides its clock, its
//! timers and its network connections.

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
