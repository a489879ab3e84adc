//! The true load of the fleet, which only the oracle uses.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// True load of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReplicaLoad {
    /// Attempts in flight from all gateways.
    pub in_flight: f64,
    /// Maximum number of requests in the batch.
    pub batch_size: f64,
}

/// Load of all replicas by name. The fleet updates it, and the policies read it.
pub type SharedFleetLoad = Rc<RefCell<BTreeMap<String, ReplicaLoad>>>;
