//! Errors of simulations and their reports.

use std::error::Error;
use std::fmt;

use tulipridge::types::SettingsError;

use crate::experiment::PolicyKind;

/// An error in simulating an experiment, or in encoding, rendering or comparing reports.
#[derive(Debug)]
pub enum ReportError {
    /// The load balancer rejected the settings of the experiment.
    Settings {
        /// Policy that was simulated.
        policy: PolicyKind,
        /// Error of the load balancer.
        source: SettingsError,
    },
    /// The thread of a simulation panicked.
    Panicked {
        /// Policy that was simulated.
        policy: PolicyKind,
    },
    /// The report could not be encoded as JSON.
    Json {
        /// Error of the JSON encoder.
        source: serde_json::Error,
    },
    /// The page could not be rendered.
    Page {
        /// Error of the template engine.
        source: minijinja::Error,
    },
    /// A plot could not be drawn.
    Plot {
        /// Name of the plot's file, without the extension.
        plot: String,
        /// Error of the plotting library, whose functions return different types.
        source: Box<dyn Error + Send + Sync>,
    },
    /// The reports to be compared have different experiments or seeds.
    DifferentExperiments {
        /// Experiment of the earlier report.
        before: ExperimentId,
        /// Experiment of the later report.
        after: ExperimentId,
    },
}

/// Identity of the experiment of a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExperimentId {
    /// Title.
    pub description: String,
    /// Seed of all random streams.
    pub seed: u64,
}

impl fmt::Display for ExperimentId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "'{}' with seed {}", self.description, self.seed)
    }
}

impl fmt::Display for ReportError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReportError::Settings { policy, source } => {
                write!(formatter, "policy {}: {source}", policy.name())
            }
            ReportError::Panicked { policy } => {
                write!(formatter, "policy {}: the simulation panicked", policy.name())
            }
            ReportError::Json { source } => {
                write!(formatter, "the report can't be encoded as JSON: {source}")
            }
            ReportError::Page { source } => write!(formatter, "the page can't be rendered: {source}"),
            ReportError::Plot { plot, source } => {
                write!(formatter, "the plot {plot} can't be drawn: {source}")
            }
            ReportError::DifferentExperiments { before, after } => {
                write!(formatter, "the reports are of different experiments: {before} and {after}")
            }
        }
    }
}

impl Error for ReportError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            ReportError::Settings { source, .. } => Some(source),
            ReportError::Json { source } => Some(source),
            ReportError::Page { source } => Some(source),
            ReportError::Plot { source, .. } => Some(source.as_ref()),
            ReportError::Panicked { .. } | ReportError::DifferentExperiments { .. } => None,
        }
    }
}
