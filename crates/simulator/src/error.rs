//! Errors of the program's commands.

use std::error::Error;
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

use tulipridge::settings::SettingsError;
use tulipridge_simulator::report::ReportError;

/// Why a command failed.
#[derive(Debug)]
pub(crate) enum CommandError {
    /// A file or folder could not be read or written.
    File {
        /// Its path.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The experiment is invalid.
    Experiment {
        /// The first invalid value, with file, position and key.
        source: SettingsError,
    },
    /// A file is not a report.
    InvalidReport {
        /// Its path.
        path: PathBuf,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// A report could not be made, written or compared.
    Report {
        /// The error.
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
                write!(formatter, "{}: no report: {source}", path.display())
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
