//! Bounded model checker: explores every history of a small cluster of real state machines.
//!
//! - [`setup`]: the configuration of the cluster, constant during an exploration;
//! - [`member`], [`clock`], [`disk`]: one machine; the simulated cluster uses the same clock;
//! - [`cluster`]: the state of the cluster, and the effect of each action;
//! - [`outputs`], [`incarnations`], [`requests`]: the environment of the members' state machines;
//! - [`actions`]: the actions enabled in a state, and the budgets that bound them;
//! - [`invariants`]: the properties checked in every state;
//! - [`faults`]: faults injected outside the code under test, each of which violates a guarantee;
//! - [`fault_cases`]: the bounds within which each fault is detected;
//! - [`explorer`]: depth-first search with deduplication of states;
//! - [`initial_states`]: scripts that bring the cluster to the state in which an exploration starts.

pub(crate) mod actions;
#[path = "../support/clock.rs"]
pub(crate) mod clock;
pub(crate) mod cluster;
pub(crate) mod disk;
pub(crate) mod explorer;
pub(crate) mod fault_cases;
pub(crate) mod faults;
pub(crate) mod incarnations;
pub(crate) mod initial_states;
pub(crate) mod invariants;
pub(crate) mod member;
pub(crate) mod outputs;
pub(crate) mod requests;
pub(crate) mod setup;
