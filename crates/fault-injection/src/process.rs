//! One of the programs, running or not.

use std::fs::File;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use rustix::process::{Pid, kill_process};
use snafu::{OptionExt, ResultExt};

pub use rustix::process::Signal;

use crate::error::{Result, SystemSnafu, TimedOutSnafu};
use crate::wait::wait_for;

/// The variable that names the settings file.
const SETTINGS_VARIABLE: &str = "TULIPRIDGE_SETTINGS";

/// A program with its settings; it is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    binary: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// A program that does not run yet.
    #[must_use]
    pub fn new(binary: PathBuf, settings: PathBuf, log: PathBuf) -> Process {
        Process { binary, settings, log, child: None }
    }

    /// Starts it; its log goes behind what earlier runs have left.
    pub fn start(&mut self) -> Result<()> {
        let action = || format!("start {}", self.binary.display());
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.with_context(|_| SystemSnafu { action: format!("open {}", self.log.display()) })?;
        let child = Command::new(&self.binary)
            .env(SETTINGS_VARIABLE, &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .with_context(|_| SystemSnafu { action: action() })?;
        self.child = Some(child);
        Ok(())
    }

    /// Its number; none if it does not run.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal, if it runs.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let Some(child) = &self.child else { return Ok(()) };
        kill_process(Pid::from_child(child), signal)
            .map_err(std::io::Error::from)
            .with_context(|_| SystemSnafu { action: format!("send a signal to {}", self.binary.display()) })
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks it to end with SIGTERM, and waits for that.
    pub fn terminate(&mut self, limit: Duration) -> Result<ExitStatus> {
        self.signal(Signal::TERM)?;
        self.wait_for_end(limit)
    }

    /// Waits until it ends by itself.
    pub fn wait_for_end(&mut self, limit: Duration) -> Result<ExitStatus> {
        let what = format!("the end of {}", self.binary.display());
        let child = self.child.as_mut().with_context(|| TimedOutSnafu { what: what.clone(), limit })?;
        let status = wait_for(&what, limit, || child.try_wait().ok().flatten())?;
        self.child = None;
        Ok(status)
    }

    /// What it has logged, in all its runs.
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
