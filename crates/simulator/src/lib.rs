//! Simulator of a fleet in simulated time: many gateways with their real load balancer, and emulated replicas.
//!
//! Usage is described in `docs/simulator.md`, and the design in `docs/design/simulator.md`. Modules import only those
//! before them in this order: `time` and `random`; `experiment`; `replica`, `policy` and `record`; `fleet`; `report`.

pub mod experiment;
pub mod fleet;
pub mod policy;
pub mod random;
pub mod record;
pub mod replica;
pub mod report;
pub mod time;
