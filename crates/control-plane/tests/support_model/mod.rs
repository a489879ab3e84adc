//! An explorer of all histories of a small cluster of real state machines, within bounds.
//!
//! - [`setup`]: what stays the same in all histories;
//! - [`member`], [`clock`], [`disk`]: one machine; the clock is that of the simulated cluster too;
//! - [`world`]: one state of the cluster, and what each action does to it;
//! - [`outputs`], [`incarnations`], [`orders`]: the parts of it around the members' state machines;
//! - [`actions`]: which actions are possible in a state, and the budgets that bound them;
//! - [`invariants`]: what must hold in every state;
//! - [`faults`]: promises that are broken on purpose, outside the code under test;
//! - [`breaks`]: the bounds within which each of them is seen;
//! - [`explorer`]: depth-first search with de-duplication of states;
//! - [`prefixes`]: scripted beginnings that lead to states worth exploring.

pub(crate) mod actions;
pub(crate) mod breaks;
#[path = "../support/clock.rs"]
pub(crate) mod clock;
pub(crate) mod disk;
pub(crate) mod explorer;
pub(crate) mod faults;
pub(crate) mod incarnations;
pub(crate) mod invariants;
pub(crate) mod member;
pub(crate) mod orders;
pub(crate) mod outputs;
pub(crate) mod prefixes;
pub(crate) mod setup;
pub(crate) mod world;
