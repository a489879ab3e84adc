//! Requests to stop the process by SIGINT or SIGTERM.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use async_signal::{Signal, Signals};
use futures_lite::{StreamExt, future};
use snafu::ResultExt;

use crate::error::{IoSnafu, Result};

/// A flag that is set when the process has to stop. Clones share the flag.
#[derive(Clone, Debug, Default)]
pub struct StopRequest {
    is_requested: Arc<AtomicBool>,
}

impl StopRequest {
    /// Installs handlers for SIGINT (Ctrl-C) and SIGTERM that set the flag instead of ending the process.
    ///
    /// # Errors
    ///
    /// [`HarnessError::Io`](crate::error::HarnessError::Io) if no handler can be installed.
    pub fn on_signals() -> Result<StopRequest> {
        let mut signals = Signals::new([Signal::Int, Signal::Term])
            .context(IoSnafu { action: "listen for SIGINT and SIGTERM" })?;
        let stop = StopRequest::default();
        let requested = stop.clone();
        thread::spawn(move || {
            if future::block_on(signals.next()).is_some() {
                requested.request();
            }
            // Dropping the signals would restore their default effect, which ends the process at once.
            std::mem::forget(signals);
        });
        Ok(stop)
    }

    /// Sets the flag.
    pub fn request(&self) {
        self.is_requested.store(true, Ordering::Relaxed);
    }

    /// Whether the flag is set.
    #[must_use]
    pub fn is_requested(&self) -> bool {
        self.is_requested.load(Ordering::Relaxed)
    }
}
