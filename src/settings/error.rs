//! Errors of reading a settings file.

use std::fmt;

/// The first error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The file.
    pub file: String,
    /// The position of the key, if it is known.
    pub position: Option<FilePosition>,
    /// The dotted path of the key; empty for an error of the file itself.
    pub key: String,
    /// The problem, or the values that are allowed.
    pub problem: String,
}

/// A position in a text file, counted from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FilePosition {
    /// The line.
    pub line: usize,
    /// The column, in characters.
    pub column: usize,
}

/// A value that is out of its range or inconsistent with another value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    /// The dotted path of the key.
    pub key: String,
    /// The problem, or the values that are allowed.
    pub problem: String,
}

impl InvalidSetting {
    /// Creates the error for the value at `key`.
    #[must_use]
    pub fn new(key: impl Into<String>, problem: impl Into<String>) -> InvalidSetting {
        InvalidSetting { key: key.into(), problem: problem.into() }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if let Some(FilePosition { line, column }) = self.position {
            write!(f, ":{line}:{column}")?;
        }
        if !self.key.is_empty() {
            write!(f, ": {}", self.key)?;
        }
        write!(f, ": {}", self.problem)
    }
}

impl std::error::Error for SettingsError {}
