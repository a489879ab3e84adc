//! A program under test as a child process.

use std::fs::File;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use rustix::process::{Pid, kill_process};
use snafu::{OptionExt, ResultExt};

pub use rustix::process::Signal;

use crate::error::{IoSnafu, Result, TimedOutSnafu};
use crate::wait::wait_for;

/// The environment variable with the path of the settings file.
const SETTINGS_VARIABLE: &str = "TULIPRIDGE_SETTINGS";

/// A program with its settings, running or not. Dropping the value kills the process.
#[derive(Debug)]
pub struct Process {
    binary: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Describes a program that is not started yet; its standard error is appended to the file `log`.
    #[must_use]
    pub fn new(binary: PathBuf, settings: PathBuf, log: PathBuf) -> Process {
        Process { binary, settings, log, child: None }
    }

    /// Spawns the process with the settings file, and appends its standard error to the log.
    ///
    /// # Errors
    ///
    /// [`HarnessError::Io`](crate::error::HarnessError::Io) if the log can't be opened or the program can't be started.
    pub fn start(&mut self) -> Result<()> {
        let action = || format!("start {}", self.binary.display());
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.with_context(|_| IoSnafu { action: format!("open {}", self.log.display()) })?;
        let child = Command::new(&self.binary)
            .env(SETTINGS_VARIABLE, &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .with_context(|_| IoSnafu { action: action() })?;
        self.child = Some(child);
        Ok(())
    }

    /// The process id; `None` if the program was not started or its exit has been collected.
    #[must_use]
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal; does nothing without a process.
    ///
    /// # Errors
    ///
    /// [`HarnessError::Io`](crate::error::HarnessError::Io) if the signal can't be sent.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let Some(child) = &self.child else { return Ok(()) };
        kill_process(Pid::from_child(child), signal)
            .map_err(std::io::Error::from)
            .with_context(|_| IoSnafu { action: format!("send a signal to {}", self.binary.display()) })
    }

    /// The exit status, if the process has ended and its exit was not collected before; `None` otherwise.
    pub fn take_exit(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok().flatten()?;
        self.child = None;
        Some(status)
    }

    /// Kills the process and waits for its exit; does nothing without a process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM and waits for the exit.
    ///
    /// # Errors
    ///
    /// [`HarnessError::Io`](crate::error::HarnessError::Io) if the signal can't be sent;
    /// [`HarnessError::TimedOut`](crate::error::HarnessError::TimedOut) if the process runs after `timeout`.
    pub fn terminate(&mut self, timeout: Duration) -> Result<ExitStatus> {
        self.signal(Signal::TERM)?;
        self.wait_for_exit(timeout)
    }

    /// Waits for the exit of the process.
    ///
    /// # Errors
    ///
    /// [`HarnessError::TimedOut`](crate::error::HarnessError::TimedOut) if the process runs after `timeout`, or does not exist.
    pub fn wait_for_exit(&mut self, timeout: Duration) -> Result<ExitStatus> {
        let condition = format!("the exit of {}", self.binary.display());
        let child =
            self.child.as_mut().with_context(|| TimedOutSnafu { condition: condition.clone(), timeout })?;
        let status = wait_for(&condition, timeout, || child.try_wait().ok().flatten())?;
        self.child = None;
        Ok(status)
    }

    /// The log of all runs of the program; empty if it can't be read.
    #[must_use]
    pub fn log_text(&self) -> String {
        std::fs::read(&self.log)
            .map(|bytes| String::from_utf8_lossy(&bytes).into_owned())
            .unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
