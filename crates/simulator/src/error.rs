//! Errors of the commands.

use std::error::Error;
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

use tulipridge::settings::SettingsError;
use tulipridge_simulator::report::ReportError;

/// An error that makes a command fail.
#[derive(Debug)]
pub(crate) enum CommandError {
    /// Reading or writing a file or folder failed.
    File {
        /// Path of the file or folder.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The experiment is invalid.
    Experiment {
        /// First invalid value, with file, position and key.
        source: SettingsError,
    },
    /// A file is not a valid report.
    InvalidReport {
        /// Path of the file or folder.
        path: PathBuf,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// Simulating an experiment, or rendering or comparing reports failed.
    Report {
        /// Error of the report.
        source: ReportError,
    },
}

impl CommandError {
    pub(crate) fn file(path: &Path, source: io::Error) -> CommandError {
        CommandError::File { path: path.to_owned(), source }
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::File { path, source } => write!(formatter, "{}: {source}", path.display()),
            CommandError::Experiment { source } => write!(formatter, "{source}"),
            CommandError::InvalidReport { path, source } => {
                write!(formatter, "{}: not a valid report: {source}", path.display())
            }
            CommandError::Report { source } => write!(formatter, "{source}"),
        }
    }
}

impl Error for CommandError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            CommandError::File { source, .. } => Some(source),
            CommandError::Experiment { .. } => None,
            CommandError::InvalidReport { source, .. } => Some(source),
            CommandError::Report { source } => Some(source),
        }
    }
}

impl From<SettingsError> for CommandError {
    fn from(source: SettingsError) -> CommandError {
        CommandError::Experiment { source }
    }
}

impl From<ReportError> for CommandError {
    fn from(source: ReportError) -> CommandError {
        CommandError::Report { source }
    }
}
