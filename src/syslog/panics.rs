//! Reports panics as log lines.

use std::backtrace::{Backtrace, BacktraceStatus};
use std::panic;
use std::thread;
use std::time::{Duration, Instant};

use super::queue::DrainStatus;

/// Installs a panic hook that writes a log line and waits up to `timeout` for it to be written. The default hook writes
/// to standard error itself: with a full pipe there, the panicking thread would block instead of ending the process.
pub(super) fn install_hook(drain_status: DrainStatus, timeout: Duration) {
    let default_hook = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        // If the log level excludes errors, the default hook reports the panic.
        if !log::log_enabled!(log::Level::Error) {
            return default_hook(info);
        }
        let payload = info.payload();
        let message = payload.downcast_ref::<&str>().copied();
        let message = message.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
        let message = message.unwrap_or("without a message");
        let at = info.location().map(ToString::to_string).unwrap_or_default();
        // Captured only if the environment enables backtraces.
        let trace = Backtrace::capture();
        match trace.status() {
            BacktraceStatus::Captured => log::error!(at = at, trace:% = trace; "panicked: {message}"),
            _ => log::error!(at = at; "panicked: {message}"),
        }
        let start = Instant::now();
        while !drain_status.is_drained() && start.elapsed() < timeout {
            thread::sleep(Duration::from_millis(1));
        }
    }));
}
