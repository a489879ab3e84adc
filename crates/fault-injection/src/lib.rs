//! Runs the real programs of the system on loopback and injects faults.
//!
//! A [`Deployment`](deployment::Deployment) has control-plane members and edge machines (agent and proxy), each with
//! addresses of its own. All that one machine sends to another passes a relay of the [`Network`](network::Network),
//! which can stall it, reset it at any byte, or both directions. The platform's list, the replicas and the operator
//! are stand-ins. [`demo`] runs such a deployment for somebody who wants to see the system at work. [`mutation`] injects
//! faults into the sources instead, and shows that a test notices each.

pub mod address;
pub mod client;
pub mod consistency;
pub mod demo;
pub mod deployment;
pub mod disk;
pub mod duration_summary;
pub mod error;
pub mod kill_test;
pub mod machine;
pub mod measurement;
pub mod mutation;
pub mod network;
pub mod operator;
pub mod platform;
pub mod process;
pub mod programs;
pub mod relay;
pub mod replica;
pub mod status;
pub mod stop;
pub mod wait;
