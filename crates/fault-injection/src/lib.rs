//! Runs the real programs of the system on loopback and injects faults.
//!
//! A [`Deployment`](deployment::Deployment) has members and edge machines, each with addresses of its own. All that
//! one machine sends to another passes a relay of the [`Network`](network::Network), which can hold it, cut it off at
//! any byte, or reset it, in one direction or both. The platform's list, the replicas and the operator are stand-ins.

pub mod address;
pub mod claims;
pub mod client;
pub mod deployment;
pub mod disk;
pub mod error;
pub mod figures;
pub mod kills;
pub mod machine;
pub mod measure;
pub mod network;
pub mod operator;
pub mod platform;
pub mod process;
pub mod programs;
pub mod relay;
pub mod replica;
pub mod status;
pub mod wait;
