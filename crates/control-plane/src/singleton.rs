//! The singleton lease: the right to do what only one member may do at a time, which is to read the platform's list of
//! replicas, to follow the caches, and to order weights. The primary has it while it is within its lease.

use std::cell::RefCell;
use std::rc::Rc;

use async_executor::LocalExecutor;
use tulipridge_protocol::number::Epoch;

use crate::fleet::FleetTable;
use crate::tenure::Tenure;

/// The right to act as the only one of all members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SingletonLease {
    /// The primary's epoch: the fencing token of its orders.
    pub epoch: Epoch,
    /// The tenure of the primary: while it stays the same, no other member had the lease between.
    pub tenure: Tenure,
}

/// Knows whether this member has the singleton lease.
pub trait LeaseStatus {
    /// The lease; none while this member is not primary, not within its lease, or has yet to apply what was committed
    /// before.
    fn singleton_lease(&self) -> Option<SingletonLease>;
    /// Whether some member is known to be primary, this one included.
    fn knows_primary(&self) -> bool;
}

/// What each singleton role works with.
#[derive(Clone)]
pub struct SingletonContext {
    /// Runs the role's calls.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Knows whether this member has the lease.
    pub lease_status: Rc<dyn LeaseStatus>,
    /// The table of replicas.
    pub table: Rc<RefCell<FleetTable>>,
}
