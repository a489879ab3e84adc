//! The signals that the platform sends to a process.

use async_signal::Signals;
use futures_lite::StreamExt;
use snafu::{ResultExt, Snafu};

/// The signals can't be received.
#[derive(Debug, Snafu)]
#[snafu(display("signals can't be awaited: {source}"))]
pub struct SignalError {
    source: std::io::Error,
}

/// A signal by its meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// SIGTERM or SIGINT: drain and end.
    Stop,
    /// SIGHUP: the settings file has changed.
    Reload,
}

/// The signals of the platform, in their order.
#[derive(Debug)]
pub struct SignalStream {
    signals: Signals,
}

impl SignalStream {
    /// Registers handlers, so that the signals no longer end the process by themselves.
    ///
    /// # Errors
    /// [`SignalError`] if the handlers can't be registered.
    pub fn new() -> Result<Self, SignalError> {
        use async_signal::Signal::{Hup, Int, Term};
        Ok(SignalStream { signals: Signals::new([Term, Int, Hup]).context(SignalSnafu)? })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> ProcessSignal {
        loop {
            match self.signals.next().await {
                Some(Ok(async_signal::Signal::Hup)) => return ProcessSignal::Reload,
                Some(Ok(_)) => return ProcessSignal::Stop,
                Some(Err(error)) => log::warn!(error:% = error; "a signal can't be read"),
                None => futures_lite::future::pending().await,
            }
        }
    }
}
