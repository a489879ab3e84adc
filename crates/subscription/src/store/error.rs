//! Errors of updates that can't be applied.

use std::fmt;

use snafu::Snafu;

/// Error of an update that can't be applied. The subscriber reconnects and sends its known positions again.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum FeedError {
    /// The base of a delta differs from the table's current position.
    #[snafu(display("a delta of the {table} does not start from the known position"))]
    Gap {
        /// Table that the delta is for.
        table: Table,
    },
}

/// A table that is delivered as a snapshot followed by deltas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Table {
    /// Configuration set by the operator.
    Configuration,
    /// Table of replicas.
    Fleet,
    /// Prefix-cache index.
    CacheIndex,
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Table::Configuration => "configuration",
            Table::Fleet => "fleet",
            Table::CacheIndex => "prefix-cache index",
        })
    }
}
