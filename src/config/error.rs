//! Why a configuration can't be used.

use std::io;

use snafu::Snafu;

use crate::settings::SettingsError;

/// Why the files of a gateway can't be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ConfigError {
    /// Nothing names the platform's file.
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
    /// The platform's file is JSON, but no object.
    #[snafu(display("{path}: not an object"))]
    NotAnObject {
        /// The file.
        path: String,
    },
    /// A value in the platform's file can't be used.
    #[snafu(display("{path}: {source}"))]
    InvalidValue {
        /// The file.
        path: String,
        /// The value, and what is wrong with it.
        source: ValueError,
    },
    /// The program's own settings can't be used.
    #[snafu(context(false), display("{source}"))]
    Settings {
        /// The file, and what is wrong with it.
        source: SettingsError,
    },
    /// No thread could be started to read the files.
    #[snafu(display("no thread to read the files: {source}"))]
    NoThread {
        /// The error of the operating system.
        source: io::Error,
    },
}

/// A value that is missing or can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)), display("{key}: {problem}"))]
pub struct ValueError {
    /// Its path in the file.
    pub key: String,
    /// What is wrong with it, or what is allowed.
    pub problem: String,
}
