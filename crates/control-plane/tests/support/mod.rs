//! A simulated cluster in virtual time: network, disks, clocks, and a checker of what must always hold;
//! and calls of an operator.

#![allow(dead_code, reason = "each test program uses a part of it")]

pub mod checker;
pub mod clock;
pub mod disk;
pub mod history;
pub mod machine;
pub mod operator;
pub mod payload;
pub mod random;
pub mod reference;
pub mod scenario;
pub mod simulation;
pub mod state_calls;
