//! Records the events of a run, and computes its statistics.

mod interval;
mod outcome;
mod recorder;
mod replica_history;
mod statistics;
mod summary;
mod window;

pub use self::outcome::RequestOutcome;
pub use self::recorder::{Recorder, RunCounters};
pub use self::replica_history::ReplicaState;
pub use self::summary::{IntervalSummary, ReplicaSummary, RunSummary, Window};
pub use self::window::{HERD_INTERVAL, WINDOW_DURATION};
