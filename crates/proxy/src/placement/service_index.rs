//! The index of a service within the placement.

/// The index of the load balancer of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ServiceIndex(pub(super) usize);
