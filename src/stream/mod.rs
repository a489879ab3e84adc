//! Streams that are forwarded: their state, their memory, how they end, and what their ends say about a replica.
//!
//! No I/O and no clock; times are handed in as nanoseconds of a monotonic clock. [`Relay`] is the state machine of one
//! stream, [`Budget`] the memory that all of them share, [`StreamStatistics`] the record of how they ended, and
//! [`OutlierEjection`] decides from bad ends whether a replica is used. The engine carries out their decisions, see
//! [`crate::engine::serve`].

mod budget;
mod outcome;
mod outlier_ejection;
mod relay;
mod statistics;

pub use budget::{Account, Budget};
pub use outcome::{Cause, Outcome, Side};
pub use outlier_ejection::{Change, OutlierEjection};
pub use relay::{Arrival, End, Leaving, Phase, Relay, RelayAction};
pub use statistics::{Figures, StreamStatistics};
