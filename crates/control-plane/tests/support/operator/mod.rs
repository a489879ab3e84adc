//! Operators of the simulated cluster: their calls, the members' side of them, and a checker of the answers.

pub(crate) mod call;
pub(crate) mod client;
pub(crate) mod desk;
pub(crate) mod event;
pub(crate) mod linearizability;
pub(crate) mod register;
pub(crate) mod script;
