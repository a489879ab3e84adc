//! Why settings can't be used.

use std::fmt;
use std::path::PathBuf;

use snafu::Snafu;

/// One fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The field, as a path from the document's root.
    pub field: String,
    /// What is wrong with it.
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

/// Why settings can't be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum SettingsError {
    /// The variable that names the file is not set.
    #[snafu(display("the variable {variable} does not name a settings file"))]
    NoPath {
        /// The variable.
        variable: &'static str,
    },
    /// The file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    Unreadable {
        /// The file.
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
    #[snafu(display("{}", join(findings)))]
    Invalid {
        /// All faults that were found.
        findings: Vec<Finding>,
    },
}

fn join(findings: &[Finding]) -> String {
    findings.iter().map(Finding::to_string).collect::<Vec<_>>().join("; ")
}
