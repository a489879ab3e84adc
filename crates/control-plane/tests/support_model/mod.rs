//! An explorer of all histories of a small cluster of real state machines, within bounds.
//!
//! - [`setup`]: what stays the same in all histories;
//! - [`member`], [`clock`], [`disk`]: one machine; the clock is that of the simulated cluster too;
//! - [`world`]: one state of the cluster, and what each action does to it;
//! - [`outputs`], [`lives`], [`orders`]: the parts of it around the members' state machines;
//! - [`actions`]: which actions are possible in a state, and the budgets that bound them;
//! - [`invariants`]: what must hold in every state;
//! - [`faults`]: promises that are broken on purpose, outside the code under test;
//! - [`breaks`]: the bounds within which each of them is seen;
//! - [`explorer`]: depth-first search with de-duplication of states;
//! - [`prefixes`]: scripted beginnings that lead to states worth exploring.

pub mod actions;
pub mod breaks;
#[path = "../support/clock.rs"]
pub mod clock;
pub mod disk;
pub mod explorer;
pub mod faults;
pub mod invariants;
pub mod lives;
pub mod member;
pub mod orders;
pub mod outputs;
pub mod prefixes;
pub mod setup;
pub mod world;
