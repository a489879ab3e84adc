#![forbid(unsafe_code)]
#![warn(missing_docs)]
//! The fleet laboratory: many gateways with the real decision module, in virtual time, against emulated real
//! servers. `docs/lab.md` says how to use it, `docs/design/lab.md` why it is so.

pub mod chance;
pub mod experiment;
pub mod fleet;
pub mod policy;
pub mod record;
pub mod replica;
pub mod report;
pub mod time;
