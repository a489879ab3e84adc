//! Streams that are passed on: their life, what they may hold, how they end, and what their ends say of a real
//! server.
//!
//! Nothing here does I/O or reads a clock; times are handed in as nanoseconds of one clock that never runs
//! backwards. [`Relay`] is the life of one stream, [`Budget`] what all of them share, [`Ledger`] the record of
//! how they ended, and [`OutlierEjection`] what a run of bad ends means for a real server's use. The engine carries
//! out what they decide, see [`crate::engine::serve`].

mod budget;
mod ledger;
mod outcome;
mod outlier_ejection;
mod relay;

pub use budget::{Account, Budget};
pub use ledger::{Figures, Ledger};
pub use outcome::{Cause, Outcome, Side};
pub use outlier_ejection::{Change, OutlierEjection};
pub use relay::{End, Leaving, Phase, Relay, RelayAction};
