//! Identifies a service within the placement.

/// The position of a service among the load balancers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ServiceIndex(pub(super) usize);
