//! A simulated cluster in virtual time: network, disks, clocks, simulated operators, and a checker of
//! invariants; and builders of operators' calls.

#![allow(dead_code, reason = "each test binary uses only some of the modules")]

pub(crate) mod checker;
pub(crate) mod clock;
pub(crate) mod disk;
pub(crate) mod history;
pub(crate) mod machine;
pub(crate) mod operator;
pub(crate) mod payload;
pub(crate) mod random;
pub(crate) mod reference;
pub(crate) mod scenario;
pub(crate) mod simulation;
pub(crate) mod state_calls;
