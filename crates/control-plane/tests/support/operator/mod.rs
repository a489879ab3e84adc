//! Operators of the simulated cluster: their calls, the members' side of them, and a checker of the answers.

pub mod call;
pub mod client;
pub mod desk;
pub mod event;
pub mod linearizability;
pub mod register;
pub mod script;
