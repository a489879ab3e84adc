//! Simulates a fleet in virtual time: many gateways with the real decision module, against emulated replicas.
//!
//! `docs/simulator.md` says how to use it, `docs/design/simulator.md` why it is so. Modules import one way: `time` and
//! `random`; `experiment`; `replica`, `policy` and `record`; `fleet`; `report`.

pub mod experiment;
pub mod fleet;
pub mod policy;
pub mod random;
pub mod record;
pub mod replica;
pub mod report;
pub mod time;
