//! The data of a report, and its JSON form.

use serde::{Deserialize, Serialize};

use super::error::ReportError;
use crate::experiment::Fault;
use crate::record::RunSummary;
use crate::time::{SECOND, nanos};

/// The results of a simulation, the same to the byte for the same experiment and seed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Report {
    /// The title of the experiment.
    #[serde(rename = "about")]
    pub description: String,
    /// The seed.
    pub seed: u64,
    /// The number of gateways.
    pub gateways: u32,
    /// The number of replicas.
    pub replicas: u32,
    /// Requests per second, retries not counted.
    #[serde(rename = "rate")]
    pub requests_per_s: f64,
    /// The faults, in the order of their starts.
    pub faults: Vec<FaultMarker>,
    /// The statistics of each policy.
    pub runs: Vec<RunSummary>,
}

/// A fault as the report shows it. In JSON it is an array of its fields.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(from = "(String, String, f64)", into = "(String, String, f64)")]
pub struct FaultMarker {
    /// The name in the experiment.
    pub name: String,
    /// What fails.
    pub description: String,
    /// The start in seconds after the warm-up.
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
    /// The report as JSON.
    ///
    /// # Errors
    ///
    /// [`ReportError::Json`] if it can't be encoded.
    pub fn json(&self) -> Result<String, ReportError> {
        let text = serde_json::to_string_pretty(self).map_err(|source| ReportError::Json { source })?;
        Ok(text + "\n")
    }

    /// The names of the intervals, which are the same for all policies.
    pub(super) fn interval_names(&self) -> Vec<&str> {
        let intervals = self.runs.first().map_or(&[][..], |run| &run.intervals);
        intervals.iter().map(|interval| interval.name.as_str()).collect()
    }
}
