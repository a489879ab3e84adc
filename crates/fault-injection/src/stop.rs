//! The request to end: SIGINT or SIGTERM.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use async_signal::{Signal, Signals};
use futures_lite::{StreamExt, future};
use snafu::ResultExt;

use crate::error::{IoSnafu, Result};

/// Whether the process was asked to end. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct StopRequest {
    is_requested: Arc<AtomicBool>,
}

impl StopRequest {
    /// A request that SIGINT (Ctrl-C) or SIGTERM makes from now on; they don't end the process any more.
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
            // Dropping the signals would give back their default effect, which is to end at once.
            std::mem::forget(signals);
        });
        Ok(stop)
    }

    /// Requests the end.
    pub fn request(&self) {
        self.is_requested.store(true, Ordering::Relaxed);
    }

    /// Whether the end was requested.
    #[must_use]
    pub fn is_requested(&self) -> bool {
        self.is_requested.load(Ordering::Relaxed)
    }
}
