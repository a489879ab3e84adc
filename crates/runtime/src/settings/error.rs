//! Errors of reading and validating the settings.

use std::fmt;
use std::path::PathBuf;

use snafu::Snafu;

/// A fault that the validation of a settings file found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The field, as a path from the document's root.
    pub field: String,
    /// Description of the fault.
    pub problem: String,
}

impl Finding {
    pub(super) fn new(field: impl Into<String>, problem: impl Into<String>) -> Self {
        Finding { field: field.into(), problem: problem.into() }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.problem)
    }
}

/// An error of reading or validating the settings.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum SettingsError {
    /// The environment variable that names the settings file is not set.
    #[snafu(display("the environment variable {variable}, which names the settings file, is not set"))]
    NoPath {
        /// Name of the environment variable.
        variable: &'static str,
    },
    /// The file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The text is not YAML.
    #[snafu(display("not YAML: {source}"))]
    NotYaml {
        /// The parser's error, with line and column.
        source: serde_norway::Error,
    },
    /// Fields are missing, of the wrong type or out of range.
    #[snafu(display("{}", join_findings(findings)))]
    Invalid {
        /// The findings, at least one.
        findings: Vec<Finding>,
    },
}

fn join_findings(findings: &[Finding]) -> String {
    findings.iter().map(Finding::to_string).collect::<Vec<_>>().join("; ")
}
