//! Errors of reading the configuration.

use std::io;

use snafu::Snafu;

use crate::settings::SettingsError;

/// An error of reading the files of a gateway.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ConfigError {
    /// Neither the command line nor the environment names the platform's file.
    #[snafu(display(
        "no configuration: name the platform's JSON with --config FILE or EDGE_CONFIG, or try \
        'tulipridge demo', which needs none"
    ))]
    NoFile,
    /// A file can't be read.
    #[snafu(display("{path}: {source}"))]
    Unreadable {
        /// The file.
        path: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The platform's file is not JSON.
    #[snafu(display("{path}: {source}"))]
    NotJson {
        /// The file.
        path: String,
        /// The parser's error, with line and column.
        source: serde_json::Error,
    },
    /// The platform's file is JSON, but not an object.
    #[snafu(display("{path}: not an object"))]
    NotAnObject {
        /// The file.
        path: String,
    },
    /// A value in the platform's file is missing or invalid.
    #[snafu(display("{path}: {source}"))]
    InvalidValue {
        /// The file.
        path: String,
        /// The key of the value, and the problem.
        source: ValueError,
    },
    /// The program's own settings are invalid.
    #[snafu(context(false), display("{source}"))]
    Settings {
        /// The file, the key and the problem.
        source: SettingsError,
    },
    /// The thread that reads the files could not be started.
    #[snafu(display("cannot start a thread to read the files: {source}"))]
    NoThread {
        /// The error of the operating system.
        source: io::Error,
    },
}

/// A missing or invalid value.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)), display("{key}: {problem}"))]
pub struct ValueError {
    /// The path of the value in the file.
    pub key: String,
    /// The problem, or the values that are allowed.
    pub problem: String,
}
