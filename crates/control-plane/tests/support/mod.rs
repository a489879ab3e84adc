//! A simulated cluster in virtual time: network, disks, clocks, and a checker of what must always hold;
//! and calls of an operator.

#![allow(dead_code, reason = "each test program uses a part of it")]

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
