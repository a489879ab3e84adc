//! Operators of the simulated cluster: their calls, how members handle them, and a linearizability checker.

pub(crate) mod call;
pub(crate) mod client;
pub(crate) mod event;
pub(crate) mod linearizability;
pub(crate) mod member;
pub(crate) mod register;
pub(crate) mod workload;
