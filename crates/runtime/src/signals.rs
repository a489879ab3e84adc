//! The signals by which the platform stops a process or has it reload its settings.

use async_signal::Signals;
use futures_lite::StreamExt;
use snafu::{ResultExt, Snafu};

/// The signal handlers can't be registered.
#[derive(Debug, Snafu)]
#[snafu(display("signal handlers can't be registered: {source}"))]
pub struct SignalError {
    source: std::io::Error,
}

/// The action that a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// SIGTERM or SIGINT: drain, then exit.
    Stop,
    /// SIGHUP: the settings file has changed.
    Reload,
}

/// The signals that the process received, in the order of their arrival.
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
