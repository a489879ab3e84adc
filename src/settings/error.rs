//! Why settings can't be used.

use std::fmt;

/// Why a settings file can't be used: the first fault of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The file.
    pub file: String,
    /// Where the key stands, if that is known.
    pub position: Option<FilePosition>,
    /// The key, with those it lies in; empty for the file as such.
    pub key: String,
    /// What is wrong with it, or what is allowed.
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

/// A value that is out of its range, or does not go with another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    /// The key, with those it lies in.
    pub key: String,
    /// What is wrong with it, or what is allowed.
    pub problem: String,
}

impl InvalidSetting {
    /// For the value at `key`.
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
