//! Forwarded streams: their state machine, memory budget, statistics, and the ejection of replicas that fail them.
//!
//! No I/O and no clock: times are passed in as nanoseconds of a monotonic clock. [`Relay`] is the state machine of
//! one stream, [`Budget`] the memory budget of all streams, [`StreamStatistics`] counts how they ended, and
//! [`OutlierEjection`] ejects replicas whose streams fail. The engine carries out their decisions, see
//! [`crate::engine::serve`].

mod budget;
mod outcome;
mod outlier_ejection;
mod relay;
mod statistics;

pub use budget::{Account, Budget};
pub use outcome::{Cause, Outcome, Side};
pub use outlier_ejection::{EjectionChange, OutlierEjection};
pub use relay::{Arrival, Disconnect, End, Phase, Relay, RelayAction};
pub use statistics::{StreamStatistics, StreamSummary};
