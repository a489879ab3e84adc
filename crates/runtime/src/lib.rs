//! Parts that all programs of the system share: the settings file, the command line, logs as JSON lines, signals and a
//! monotonic clock.

pub mod clock;
pub mod command_line;
pub mod logging;
pub mod settings;
pub mod signals;
