//! The singleton lease: the right to perform the singleton roles, which only one member may perform at a time. The
//! roles are polling the platform's replica list, following cache events, and commanding replicas to load weights. The
//! primary holds the singleton lease while its lease as primary is valid.

use std::cell::RefCell;
use std::rc::Rc;

use async_executor::LocalExecutor;
use tulipridge_protocol::number::Epoch;

use crate::fleet::FleetTable;
use crate::tenure::Tenure;

/// The right of one member to perform the singleton roles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SingletonLease {
    /// The primary's epoch, which is the fencing token of its load commands.
    pub epoch: Epoch,
    /// The tenure of the primary. If two leases have the same tenure, no other member held the lease between them.
    pub tenure: Tenure,
}

/// Provides the singleton lease of this member and whether any primary is known.
pub trait LeaseStatus {
    /// The lease, or `None` while this member is not primary, is not within its lease, or has not yet applied
    /// everything that was committed before its current epoch.
    fn singleton_lease(&self) -> Option<SingletonLease>;
    /// Whether a member, which may be this one, is known to be primary.
    fn knows_primary(&self) -> bool;
}

/// The context shared by the singleton roles.
#[derive(Clone)]
pub struct SingletonContext {
    /// Runs the roles' calls.
    pub executor: Rc<LocalExecutor<'static>>,
    /// The status of the singleton lease at this member.
    pub lease_status: Rc<dyn LeaseStatus>,
    /// The table of replicas.
    pub table: Rc<RefCell<FleetTable>>,
}
