//! Why an update does not apply.

use std::fmt;

use snafu::Snafu;

/// Why an update can't be applied. The subscriber reconnects and states its known positions again.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum FeedError {
    /// A delta starts from another position than the one that is known here.
    #[snafu(display("a delta of the {table} does not start from the known position"))]
    Gap {
        /// The table that the delta is for.
        table: Table,
    },
}

/// A table that is delivered as a snapshot and deltas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Table {
    /// The operator's configuration.
    Configuration,
    /// The table of replicas.
    Fleet,
    /// The prefix-cache index.
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
