//! What every process of the system needs at its start: its settings, its command line, logs as JSON lines,
//! signals and a monotonic clock.

pub mod clock;
pub mod command_line;
pub mod logging;
pub mod settings;
pub mod signals;
