//! Data of a report, and its JSON form.

use serde::{Deserialize, Serialize};

use super::error::ReportError;
use crate::experiment::Fault;
use crate::record::RunSummary;
use crate::time::{SECOND, nanos};

/// Results of a simulation, identical to the byte for the same experiment and seed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Report {
    /// Title of the experiment.
    #[serde(rename = "about")]
    pub description: String,
    /// Seed of all random streams.
    pub seed: u64,
    /// Number of gateways.
    pub gateways: u32,
    /// Number of replicas at the start.
    pub replicas: u32,
    /// Mean requests per second, not counting retries.
    #[serde(rename = "rate")]
    pub requests_per_s: f64,
    /// Faults, ordered by start.
    pub faults: Vec<FaultMarker>,
    /// Statistics of the run of each policy.
    pub runs: Vec<RunSummary>,
}

/// A fault in the form shown in the report. The JSON form is an array of the fields.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(from = "(String, String, f64)", into = "(String, String, f64)")]
pub struct FaultMarker {
    /// Name in the experiment.
    pub name: String,
    /// Description of the fault, with the affected fraction if there is one.
    pub description: String,
    /// Start in seconds after the warm-up.
    pub at_s: f64,
}

impl FaultMarker {
    pub(super) fn new(name: &str, fault: &Fault) -> FaultMarker {
        let fraction =
            fault.fraction.map_or(String::new(), |fraction| format!("{:.0}% of ", fraction * 100.0));
        FaultMarker {
            name: name.to_owned(),
            description: fraction + fault.kind.description(),
            at_s: nanos(fault.start) as f64 / SECOND as f64,
        }
    }
}

impl From<(String, String, f64)> for FaultMarker {
    fn from((name, description, at_s): (String, String, f64)) -> FaultMarker {
        FaultMarker { name, description, at_s }
    }
}

impl From<FaultMarker> for (String, String, f64) {
    fn from(marker: FaultMarker) -> (String, String, f64) {
        (marker.name, marker.description, marker.at_s)
    }
}

impl Report {
    /// Encodes the report as JSON.
    ///
    /// # Errors
    ///
    /// Returns [`ReportError::Json`] if encoding fails.
    pub fn json(&self) -> Result<String, ReportError> {
        let text = serde_json::to_string_pretty(self).map_err(|source| ReportError::Json { source })?;
        Ok(text + "\n")
    }

    /// Returns the names of the intervals, which are the same for all policies.
    pub(super) fn interval_names(&self) -> Vec<&str> {
        let intervals = self.runs.first().map_or(&[][..], |run| &run.intervals);
        intervals.iter().map(|interval| interval.name.as_str()).collect()
    }
}
