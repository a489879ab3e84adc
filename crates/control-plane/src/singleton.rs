//! Who carries out what only one member may do at a time.

use std::cell::RefCell;
use std::rc::Rc;

use async_executor::LocalExecutor;

use crate::fleet::FleetTable;

/// The duties of a primary: list calls, and orders to replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SingletonLease {
    /// The primary's epoch; the fence number of its orders.
    pub epoch: u64,
    /// The epoch in which it became primary: no other member had the duties since.
    pub tenure: u64,
}

/// Knows whether this member has the duties.
pub trait LeaseStatus {
    /// The duties, while this member is primary within its lease.
    fn duty(&self) -> Option<SingletonLease>;
    /// Whether some member is known to be primary, this one included.
    fn knows_primary(&self) -> bool;
}

/// What each duty works with.
#[derive(Clone)]
pub struct SingletonContext {
    /// Runs the duty's calls.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Knows whether this member has the duty.
    pub holder: Rc<dyn LeaseStatus>,
    /// The table of replicas.
    pub table: Rc<RefCell<FleetTable>>,
}
