//! A panic's message on its way out.

use std::backtrace::{Backtrace, BacktraceStatus};
use std::panic;
use std::thread;
use std::time::{Duration, Instant};

use super::queue::Gauge;

/// Has panics told as a line of the log, behind those before it, with a moment in which to get out. The usual
/// message goes straight to standard error: with a pipe there that is full, the thread that panics would wait for
/// ever instead of ending the program.
pub(super) fn to_log(gauge: Gauge, moment: Duration) {
    let usual = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        // A message that the log is told to leave out comes out as if there were no log.
        if !log::log_enabled!(log::Level::Error) {
            return usual(info);
        }
        let said = info.payload();
        let words = said.downcast_ref::<&str>().copied();
        let words =
            words.or_else(|| said.downcast_ref::<String>().map(String::as_str)).unwrap_or("no words");
        let at = info.location().map(ToString::to_string).unwrap_or_default();
        // Taken where the environment asks for it.
        let trace = Backtrace::capture();
        match trace.status() {
            BacktraceStatus::Captured => log::error!(at = at, trace:% = trace; "panicked: {words}"),
            _ => log::error!(at = at; "panicked: {words}"),
        }
        let from = Instant::now();
        while !gauge.is_out() && from.elapsed() < moment {
            thread::sleep(Duration::from_millis(1));
        }
    }));
}
