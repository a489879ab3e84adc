//! The true load of the fleet, which only the oracle sees.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The load of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReplicaLoad {
    /// Attempts in flight to it, from all gateways.
    pub in_flight: f64,
    /// The maximum number of requests in its batch.
    pub batch_size: f64,
}

/// The load of all replicas by name, shared by the fleet with its policies.
pub type SharedFleetLoad = Rc<RefCell<BTreeMap<String, ReplicaLoad>>>;
