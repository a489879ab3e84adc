//! The signals by which the platform talks to a process.

use async_signal::Signals;
use futures_lite::StreamExt;
use snafu::{ResultExt, Snafu};

/// Why signals can't be awaited.
#[derive(Debug, Snafu)]
#[snafu(display("signals can't be awaited: {source}"))]
pub struct SignalError {
    source: std::io::Error,
}

/// What the platform asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// SIGTERM or SIGINT: finish what is held and end.
    Stop,
    /// SIGHUP: the settings file has changed.
    Reload,
}

/// The requests of the platform, in their order.
#[derive(Debug)]
pub struct SignalStream {
    signals: Signals,
}

impl SignalStream {
    /// Takes over the signals, which end the process no longer by themselves.
    pub fn new() -> Result<Self, SignalError> {
        use async_signal::Signal::{Hup, Int, Term};
        Ok(SignalStream { signals: Signals::new([Term, Int, Hup]).context(SignalSnafu)? })
    }

    /// Waits for the next request.
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
