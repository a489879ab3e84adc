//! Identifies the period for which a member is primary without interruption.

use std::fmt;

use tulipridge_protocol::number::Epoch;

/// The epoch in which a member became primary. It stays the same while the member remains primary through later
/// epochs. If the tenures at two points in time are equal, no other member was primary between them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tenure(pub Epoch);

impl fmt::Display for Tenure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
