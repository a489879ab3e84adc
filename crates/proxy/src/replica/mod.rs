//! The side of the replicas: which there are, the connections to them, and one attempt to have one answer.
//!
//! [`replicas`] knows which may be sent requests, [`pool`] keeps their [`connection`]s, [`attempt`] writes a request
//! and reads what comes, [`reply`] reads the head of an answer, and [`outcome`] is the table of what follows.

pub mod attempt;
pub mod connection;
pub mod expiry;
pub mod outcome;
pub mod pool;
pub mod replicas;
pub mod reply;
