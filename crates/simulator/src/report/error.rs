//! Errors of simulations and their reports.

use std::error::Error;
use std::fmt;

use tulipridge::types::SettingsError;

use crate::experiment::PolicyKind;

/// Why a report could not be made, written or compared.
#[derive(Debug)]
pub enum ReportError {
    /// The load balancer has rejected the experiment's settings.
    Settings {
        /// The simulated policy.
        policy: PolicyKind,
        /// The load balancer's error.
        source: SettingsError,
    },
    /// A simulation has panicked.
    Panicked {
        /// The simulated policy.
        policy: PolicyKind,
    },
    /// The report could not be encoded as JSON.
    Json {
        /// The encoder's error.
        source: serde_json::Error,
    },
    /// The page could not be rendered.
    Page {
        /// The template engine's error.
        source: minijinja::Error,
    },
    /// A plot could not be drawn.
    Plot {
        /// The name of the plot's file, without its extension.
        plot: String,
        /// The plotting library's error, whose type differs from step to step.
        source: Box<dyn Error + Send + Sync>,
    },
    /// Two reports to be compared are of different experiments or seeds.
    DifferentExperiments {
        /// The earlier report.
        before: ExperimentId,
        /// The later report.
        after: ExperimentId,
    },
}

/// The experiment of a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExperimentId {
    /// Its title.
    pub description: String,
    /// Its seed.
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
            ReportError::Json { source } => write!(formatter, "the report can't be encoded: {source}"),
            ReportError::Page { source } => write!(formatter, "the page can't be rendered: {source}"),
            ReportError::Plot { plot, source } => {
                write!(formatter, "the plot {plot} can't be drawn: {source}")
            }
            ReportError::DifferentExperiments { before, after } => {
                write!(formatter, "not the same experiment: {before}, and {after}")
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
