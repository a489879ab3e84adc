//! Runs the real programs of the system on loopback and injects faults.
//!
//! A [`Deployment`](deployment::Deployment) has control-plane members and edge machines (agent and proxy), each with a
//! separate address. All data between two machines passes a relay of the [`Network`](network::Network), which can stall
//! each direction, or reset the connections at a given byte. The platform's list, the replicas and the operator are
//! stand-ins. [`demo`] runs such a deployment for interactive use. [`mutation`] injects faults into the sources instead
//! and checks that a test fails for each.

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
