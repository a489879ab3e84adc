//! How long one member has been primary without interruption.

use std::fmt;

use tulipridge_protocol::number::Epoch;

/// The epoch in which a member became primary, while it stays primary through later epochs: equal tenures mean that no
/// other member was primary between.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tenure(pub Epoch);

impl fmt::Display for Tenure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
